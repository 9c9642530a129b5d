package direct

import (
	"context"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// panickingSource is a store client that panics in watches.
type panickingSource struct{}

func (panickingSource) List(context.Context, string, bool) (directory.Page, error) {
	return directory.Page{Batch: directory.Batch{Complete: true, Revision: 7}}, nil
}

func (panickingSource) Watch(context.Context, directory.Revision, time.Duration) (directory.Batch, error) {
	panic("unexpected response")
}

// Guards against a crash of the process when a response of the store causes a panic.
func TestReaderSurvivesPanic(t *testing.T) {
	r := newStoreReader(panickingSource{}, provideClock())
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
			t.Errorf("got error %v, want code %v", result.err, want)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
