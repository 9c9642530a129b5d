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

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against a process that blocks, or whose memory grows, because nobody reads its log, and against dropped lines that
// are not counted.
func TestBoundedNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	done := make(chan struct{})
	const lines = 100_000
	go func() {
		defer close(done)
		for i := range lines {
			if i == lines/2 {
				time.Sleep(2 * flushInterval) // the first half is in the blocked write, the second in the buffer
			}
			fmt.Fprintf(b, "line=%d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while nobody reads the log")
	}
	close(out.release)
	b.Close()
	select {
	case <-b.stopped: // Close waits for closeTimeout only, and the lines may still be written then
	case <-time.After(10 * time.Second):
		t.Fatal("the writer does not end")
	}
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
	if size > 2*maxPendingBytes || written+dropped != lines || dropped == 0 {
		t.Errorf("%d lines with %d bytes written and %d dropped, of %d lines", written, size, dropped, lines)
	}
}

// Guards against lines that are buffered when the process ends and are not written.
func TestBoundedWritesAtClose(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out)
	fmt.Fprintln(b, "last")
	b.Close()
	if out.String() != "last\n" {
		t.Errorf("got %q, want the line that was buffered at Close", out.String())
	}
}

// Guards against a process that outlives its grace period because nobody reads its log.
func TestBoundedCloseDoesNotWaitForReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		b := NewBoundedWriter(out)
		fmt.Fprintln(b, "line")
		time.Sleep(2 * flushInterval) // the write blocks now
		started := time.Now()
		closed := make(chan struct{})
		go func() {
			b.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(time.Minute):
			t.Error("Close waits without limit for the reader of the log")
		}
		if took := time.Since(started); took > closeTimeout {
			t.Errorf("Close took %v, more than closeTimeout", took)
		}
		close(out.release)
		<-closed
	})
}
