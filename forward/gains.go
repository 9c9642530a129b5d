package forward

import (
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/ownership"
)

// gains notes when this balancer became the owner of each bucket that another balancer owned before. Such an owner may
// have forwarded packets of flows to their default targets, of which there are no copies.
type gains struct {
	pending atomic.Bool
	at      [ownership.BucketCount]atomic.Int64 // nanoseconds; 0: never, gainPending: not stamped yet
}

const gainPending = -1

// add notes a bucket that is gained now. Publish has no clock, so the next sweep stamps the time.
func (g *gains) add(b ownership.Bucket) {
	g.at[b].Store(gainPending)
	g.pending.Store(true)
}

// stamp gives the buckets that were added since the last call the time now.
func (g *gains) stamp(now time.Duration) {
	if !g.pending.Swap(false) {
		return
	}
	for b := range g.at {
		g.at[b].CompareAndSwap(gainPending, max(int64(now), 1))
	}
}

// recent reports whether the bucket was gained within takeoverWindow.
func (g *gains) recent(b ownership.Bucket, now time.Duration) bool {
	at := g.at[b].Load()
	return at == gainPending || at != 0 && now-time.Duration(at) < takeoverWindow
}
