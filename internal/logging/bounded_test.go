package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against a process that stands still, or grows, because nobody reads its log, and against lines that are lost
// without a word.
func TestBoundedNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	done := make(chan struct{})
	const lines = 100_000
	go func() {
		defer close(done)
		for i := range lines {
			if i == lines/2 {
				time.Sleep(2 * flushInterval) // the first half fills the write that is under way, the second what is pending
			}
			fmt.Fprintf(b, "line=%d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writes block")
	}
	close(out.release)
	b.Close()
	written, size, dropped := 0, 0, 0
	for line := range strings.Lines(out.got.String()) {
		var count int
		if _, err := fmt.Sscanf(line, "event=log-lines-dropped count=%d\n", &count); err == nil {
			dropped += count
			continue
		}
		written++
		size += len(line)
	}
	if size > 2*pendingBytes || written+dropped != lines || dropped == 0 {
		t.Errorf("%d lines of %d bytes written, %d dropped of %d", written, size, dropped, lines)
	}
}

// Guards against the last lines of a process that are lost when it ends.
func TestBoundedWritesAtClose(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out)
	fmt.Fprintln(b, "last")
	b.Close()
	if out.String() != "last\n" {
		t.Errorf("got %q", out.String())
	}
}

// Guards against a process that outlives its grace period because nobody reads its log.
func TestBoundedCloseDoesNotWaitForReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		b := NewBoundedWriter(out)
		fmt.Fprintln(b, "line")
		time.Sleep(2 * flushInterval) // the write is under way
		started := time.Now()
		closed := make(chan struct{})
		go func() {
			b.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(time.Minute):
			t.Error("Close waits for the reader")
		}
		if took := time.Since(started); took > closeTimeout {
			t.Errorf("Close took %v", took)
		}
		close(out.release)
		<-closed
	})
}
