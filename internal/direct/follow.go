package direct

import (
	"context"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// readResult is the outcome of a read of the store.
type readResult struct {
	read  directory.Read
	page  directory.Page
	err   error
	asked time.Duration // when it was sent
	took  time.Duration
}

// storeReader carries out the reads that the control goroutine asks for, one at a time.
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
	page, err := r.ask(ctx, next)
	return readResult{read: next, page: page, err: err, asked: started, took: r.clock() - started}
}

// ask carries out a read. An answer that makes the decoder panic is a failed read.
func (r *storeReader) ask(ctx context.Context, next directory.Read) (page directory.Page, err error) {
	defer resultcode.Recover(&err)
	if next.Kind == directory.ReadWatch {
		page.Batch, err = r.source.Watch(ctx, next.After, next.Wait)
		return page, err
	}
	return r.source.List(ctx, next.Page, next.Kind == directory.ReadAudit)
}

// sleep returns false when the context ends first.
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
