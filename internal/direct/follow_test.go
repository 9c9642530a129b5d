package direct

import (
	"context"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// faultySource is a store whose answers to watches make the decoder panic.
type faultySource struct{}

func (faultySource) List(context.Context, string, bool) (directory.Page, error) {
	return directory.Page{Batch: directory.Batch{Complete: true, Revision: 7}}, nil
}

func (faultySource) Watch(context.Context, uint64, time.Duration) (directory.Batch, error) {
	panic("answer that nobody expected")
}

// Guards against a process that ends because of one answer of the store.
func TestReaderOutlivesPanic(t *testing.T) {
	r := newStoreReader(faultySource{}, provideClock())
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- r.run(ctx) }()
	for _, want := range []resultcode.Code{resultcode.Internal, resultcode.OK, resultcode.Internal} {
		kind := directory.ReadList
		if want == resultcode.Internal {
			kind = directory.ReadWatch
		}
		r.reads <- directory.Read{Kind: kind}
		if result := <-r.results; resultcode.Of(result.err) != want {
			t.Errorf("got %v, want %v", result.err, want)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
