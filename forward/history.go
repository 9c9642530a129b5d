package forward

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
)

// historyLength bounds the earlier bundles that are remembered. More do not come into force within historyTime.
const historyLength = 4

// historyTime is how long the targets of an earlier bundle matter: another balancer may have had it in force for some
// seconds longer, and duplicates of the packets that it forwarded then come up to takeoverWindow later.
const historyTime = 2 * takeoverWindow

// history remembers the targets of the bundles that were in force before.
type history struct {
	past atomic.Pointer[[]pastBundle]
	// started is when the first bundle came into force, nanoseconds; 0: never, -1: not stamped yet.
	started atomic.Int64
}

type pastBundle struct {
	base     *Baseline
	replaced time.Duration // -1 until the next sweep stamps it
}

// add remembers a bundle that is replaced now, once. Calls must not overlap with each other or with stamp.
func (h *history) add(b *Baseline) {
	for _, p := range h.list() {
		if maps.EqualFunc(p.base.tables, b.tables, sameDefaults) {
			return
		}
	}
	past := append([]pastBundle{{b, -1}}, h.list()...)
	past = past[:min(len(past), historyLength)]
	h.past.Store(&past)
}

// stamp gives the bundles that were added since the last call the time now.
func (h *history) stamp(now time.Duration) {
	h.started.CompareAndSwap(-1, max(int64(now), 1))
	past := append([]pastBundle(nil), h.list()...)
	for i := range past {
		if past[i].replaced < 0 {
			past[i].replaced = now
		}
	}
	h.past.Store(&past)
}

// start notes that a bundle is in force.
func (h *history) start() { h.started.CompareAndSwap(0, -1) }

// short reports whether bundles may have been in force lately that this balancer has not seen.
func (h *history) short(now time.Duration) bool {
	started := h.started.Load()
	return started == -1 || now-time.Duration(started) < historyTime
}

// recent reports whether the bundle was in force lately.
func (p *pastBundle) recent(now time.Duration) bool {
	return p.replaced < 0 || now-p.replaced < historyTime
}

func (h *history) list() []pastBundle {
	if past := h.past.Load(); past != nil {
		return *past
	}
	return nil
}

// sameDefault reports whether the flow had the same default target in every bundle that was in force lately.
func (h *history) sameDefault(sv *service, hash uint64, id flow.TargetID, now time.Duration) bool {
	for _, p := range h.list() {
		table := p.base.table(sv)
		if table == nil || table == sv.Table || !p.recent(now) {
			continue
		}
		if i := table.Default(hash); i < 0 || table.Targets[i].ID != id {
			return false
		}
	}
	return true
}
