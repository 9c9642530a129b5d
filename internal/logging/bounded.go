package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the size of the buffered lines when the reader of the log does not keep up.
	maxPendingBytes = 256 << 10
	// flushInterval is how long lines are collected for one write, because each write costs a system call.
	flushInterval = 200 * time.Millisecond
	// closeTimeout limits the time that Close waits for the reader of the log, so that the process ends within its grace period
	// even if nobody reads the log.
	closeTimeout = 100 * time.Millisecond
)

// BoundedWriter is an asynchronous writer with a buffer of limited size. Write never blocks: lines that do not fit into the
// buffer are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
}

// NewBoundedWriter returns a writer to out. It starts a goroutine that Close ends.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go b.run()
	return b
}

// Write buffers a line, or drops it if the buffer is full. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > maxPendingBytes {
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

// Close writes the buffered lines and ends the writer. Lines that are not written within closeTimeout may be lost.
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

// flush writes the buffered lines, and the number of dropped lines if there are any. It installs spare as the buffer for further
// lines and returns the old buffer for reuse.
func (b *BoundedWriter) flush(spare []byte) []byte {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "event=log-lines-dropped count=%d\n", dropped)
	}
	if len(lines) > 0 {
		// The error is ignored because a failure of the log cannot be logged.
		_, _ = b.out.Write(lines)
	}
	return lines
}
