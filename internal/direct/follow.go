package direct

import (
	"context"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// readResult is the outcome of a read of the store or of a peer.
type readResult struct {
	read  directory.Read
	batch directory.Batch
	err   error
	took  time.Duration
	apply bool
}

// storeReader reads the store as its follower decides, and hands the results to the control goroutine.
type storeReader struct {
	source   directory.Source
	follower *directory.Follower
	clock    Clock
	results  chan<- readResult
}

func (r *storeReader) run(ctx context.Context) error {
	for {
		next := r.follower.Next(r.clock())
		if !sleep(ctx, next.Delay) {
			return nil
		}
		result := r.read(ctx, next)
		select {
		case r.results <- result:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *storeReader) read(ctx context.Context, next directory.Read) readResult {
	started := r.clock()
	result := readResult{read: next}
	if next.Kind == directory.ReadWatch {
		result.batch, result.err = r.source.Watch(ctx, next.After, next.Wait)
	} else {
		result.batch, result.err = r.source.List(ctx, next.Kind == directory.ReadAudit)
	}
	now := r.clock()
	result.took = now - started
	result.apply = r.follower.Done(now, next, result.batch, result.err)
	return result
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
