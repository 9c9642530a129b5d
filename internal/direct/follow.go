package direct

import (
	"context"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// readResult is the result of a read of the store.
type readResult struct {
	read     directory.Read
	page     directory.Page
	err      error
	sentAt   time.Duration // when the read was sent
	duration time.Duration
}

// storeReader performs the reads that the control goroutine requests, one at a time.
type storeReader struct {
	source  directory.Source
	clock   Clock
	reads   chan directory.Read
	results chan readResult
}

func newStoreReader(source directory.Source, clock Clock) *storeReader {
	return &storeReader{source: source, clock: clock, reads: make(chan directory.Read, 1), results: make(chan readResult)}
}

func (r *storeReader) run(ctx context.Context) error {
	for {
		select {
		case next := <-r.reads:
			if !sleep(ctx, next.Delay) {
				return nil
			}
			select {
			case r.results <- r.read(ctx, next):
			case <-ctx.Done():
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *storeReader) read(ctx context.Context, next directory.Read) readResult {
	started := r.clock()
	page, err := r.call(ctx, next)
	return readResult{read: next, page: page, err: err, sentAt: started, duration: r.clock() - started}
}

// call performs a read. A panic of the decoder counts as a failed read.
func (r *storeReader) call(ctx context.Context, next directory.Read) (page directory.Page, err error) {
	defer resultcode.Recover(&err)
	if next.Kind == directory.ReadWatch {
		page.Batch, err = r.source.Watch(ctx, next.After, next.Wait)
		return page, err
	}
	return r.source.List(ctx, next.Page, next.Kind == directory.ReadAudit)
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
