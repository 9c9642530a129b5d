package forward

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
)

// maxPastBundles is the number of earlier bundles that are kept. No more than these come into force within historyTime.
const maxPastBundles = 4

// historyTime is how long the targets of an earlier bundle are taken into account: another balancer may have had it in
// force for some seconds longer, and retransmissions of packets that it forwarded arrive up to takeoverWindow later.
const historyTime = 2 * takeoverWindow

// bundleHistory holds the targets of the bundles that were in force before the current one.
type bundleHistory struct {
	past atomic.Pointer[[]pastBundle]
	// started is when the first bundle came into force, nanoseconds; 0: never; -1: not yet timestamped.
	started atomic.Int64
}

type pastBundle struct {
	baseline   *Baseline
	replacedAt time.Duration // -1 until the next sweep sets it
}

// add records a bundle that is being replaced, unless the history has one with the same defaults. Calls must not overlap
// with each other or with timestamp.
func (h *bundleHistory) add(b *Baseline) {
	for _, p := range h.list() {
		if maps.EqualFunc(p.baseline.tables, b.tables, sameDefaults) {
			return
		}
	}
	past := append([]pastBundle{{b, -1}}, h.list()...)
	past = past[:min(len(past), maxPastBundles)]
	h.past.Store(&past)
}

// timestamp sets the time of the changes that were recorded since the last call to now.
func (h *bundleHistory) timestamp(now time.Duration) {
	h.started.CompareAndSwap(-1, max(int64(now), 1))
	past := append([]pastBundle(nil), h.list()...)
	for i := range past {
		if past[i].replacedAt < 0 {
			past[i].replacedAt = now
		}
	}
	h.past.Store(&past)
}

// start records that a bundle is in force.
func (h *bundleHistory) start() { h.started.CompareAndSwap(0, -1) }

// incomplete reports whether other balancers may recently have had bundles in force that this balancer has not seen.
func (h *bundleHistory) incomplete(now time.Duration) bool {
	started := h.started.Load()
	return started == -1 || now-time.Duration(started) < historyTime
}

// recent reports whether the bundle was in force within historyTime.
func (p *pastBundle) recent(now time.Duration) bool {
	return p.replacedAt < 0 || now-p.replacedAt < historyTime
}

// list returns the earlier bundles, the last one first.
func (h *bundleHistory) list() []pastBundle {
	if past := h.past.Load(); past != nil {
		return *past
	}
	return nil
}

// sameDefault reports whether id is the flow's default target by every earlier bundle that was in force recently.
func (h *bundleHistory) sameDefault(sv *service, hash uint64, id flow.TargetID, now time.Duration) bool {
	for _, p := range h.list() {
		table := p.baseline.table(sv)
		if table == nil || table == sv.Table || !p.recent(now) {
			continue
		}
		if i := table.Default(hash); i < 0 || table.Targets[i].ID != id {
			return false
		}
	}
	return true
}
