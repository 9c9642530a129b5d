package forward

import (
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/ownership"
)

// moves notes when this balancer last became the owner of each bucket or ceased to be. A new owner does not know the
// packets that the earlier one forwarded to default targets, of which there are no copies.
type moves struct {
	pending atomic.Bool
	last    atomic.Int64                        // when a bucket last moved, nanoseconds
	at      [ownership.BucketCount]atomic.Int64 // nanoseconds; 0: never, movePending: not stamped yet
}

const movePending = -1

// add notes a bucket that moves now. Publish has no clock, so the next sweep stamps the time.
func (m *moves) add(b ownership.Bucket) {
	m.at[b].Store(movePending)
	m.pending.Store(true)
}

// stamp gives the buckets that were added since the last call the time now.
func (m *moves) stamp(now time.Duration) {
	if !m.pending.Swap(false) {
		return
	}
	m.last.Store(int64(now))
	for b := range m.at {
		m.at[b].CompareAndSwap(movePending, max(int64(now), 1))
	}
}

// settleTime is twice the time for which sweeps keep entries of buckets that have moved away.
const settleTime = 2 * foreignIdleMS * time.Millisecond

// settled reports whether sweeps have had the time to remove every entry that a move has made invalid.
func (m *moves) settled(now time.Duration) bool {
	return !m.pending.Load() && now-time.Duration(m.last.Load()) > settleTime
}

// recent reports whether the bucket moved within takeoverWindow.
func (m *moves) recent(b ownership.Bucket, now time.Duration) bool {
	at := m.at[b].Load()
	return at == movePending || at != 0 && now-time.Duration(at) < takeoverWindow
}
