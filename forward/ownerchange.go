package forward

import (
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/ownership"
)

// ownerChanges records when this balancer last gained or lost the ownership of each bucket. A new owner does not know
// about packets that the earlier one forwarded to default targets, since such flows are not copied.
type ownerChanges struct {
	pending    atomic.Bool                         // there are changes without a time
	lastChange atomic.Int64                        // time of the last change of any bucket, nanoseconds
	changedAt  [ownership.BucketCount]atomic.Int64 // nanoseconds; 0: never; timePending: not yet timestamped
}

// timePending stands for the time of a change that is not yet timestamped.
const timePending = -1

// record records that the ownership of a bucket changes. Publish does not get the time, so the next sweep sets it.
func (m *ownerChanges) record(b ownership.Bucket) {
	m.changedAt[b].Store(timePending)
	m.pending.Store(true)
}

// timestamp sets the time of the changes that were recorded since the last call to now.
func (m *ownerChanges) timestamp(now time.Duration) {
	if !m.pending.Swap(false) {
		return
	}
	m.lastChange.Store(int64(now))
	for b := range m.changedAt {
		m.changedAt[b].CompareAndSwap(timePending, max(int64(now), 1))
	}
}

// settleTime is twice the time for which sweeps keep entries of buckets that another balancer owns.
const settleTime = 2 * foreignIdleMS * time.Millisecond

// settled reports whether sweeps have had enough time to remove every entry that a change of ownership has made invalid.
func (m *ownerChanges) settled(now time.Duration) bool {
	return !m.pending.Load() && now-time.Duration(m.lastChange.Load()) > settleTime
}

// recent reports whether the ownership of the bucket changed within takeoverWindow.
func (m *ownerChanges) recent(b ownership.Bucket, now time.Duration) bool {
	at := m.changedAt[b].Load()
	return at == timePending || at != 0 && now-time.Duration(at) < takeoverWindow
}
