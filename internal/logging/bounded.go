package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// pendingBytes bounds what is kept for a reader that does not read.
	pendingBytes = 256 << 10
	// flushInterval joins the lines of a moment into one write, since each write costs a system call.
	flushInterval = 200 * time.Millisecond
	// closeTimeout bounds the wait for a reader that does not read: a process ends within its grace period all the same.
	closeTimeout = 100 * time.Millisecond
)

// BoundedWriter is a writer that never blocks its callers. Lines that find no room are counted and left out.
type BoundedWriter struct {
	out     io.Writer
	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
}

// NewBoundedWriter returns a writer to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a line. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > pendingBytes {
		b.dropped++
	} else {
		b.pending = append(b.pending, line...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is pending and ends the writer. Lines that the reader has not taken after closeTimeout are lost.
func (b *BoundedWriter) Close() {
	close(b.stop)
	select {
	case <-b.stopped:
	case <-time.After(closeTimeout):
	}
}

func (b *BoundedWriter) run() {
	defer close(b.stopped)
	var spare []byte
	for {
		select {
		case <-b.wake:
		case <-b.stop:
			b.flush(spare)
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-b.stop:
		}
		spare = b.flush(spare)
	}
}

// flush writes the pending lines and returns a buffer for the next ones.
func (b *BoundedWriter) flush(spare []byte) []byte {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "event=log-lines-dropped count=%d\n", dropped)
	}
	if len(lines) > 0 {
		// There is no other place to report to when the log itself cannot be written.
		_, _ = b.out.Write(lines)
	}
	return lines
}
