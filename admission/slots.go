package admission

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/limits"
)

// longFactor is the multiple of the typical duration beyond which work counts as running long, and longFloor the
// shortest duration that does.
const (
	longFactor = 5
	longFloor  = 50 * time.Millisecond
)

// The last-slot rule keeps long-running work from filling the slots that short work needs.
//
// The threshold of a pool is longFactor times the shortest typical (median) duration of its services. A piece of work is
// long when it has run for longer than the threshold, or when its service is: the service's typical duration is above the
// threshold, or not known yet while that of another service is. A long service gets a slot of a target only if another
// slot of that target stays free of long work. Work of other services may turn out long as well; nothing known at its
// start tells.

func (p *pool) threshold() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, s := range p.services {
		if s.typical > 0 {
			shortest = min(shortest, s.typical)
		}
	}
	if shortest == math.MaxInt64 {
		return shortest
	}
	return max(longFloor, longFactor*shortest)
}

// isLong reports whether work of the service is taken to be long before it has run. Without a known threshold none is.
func (s *service) isLong(threshold time.Duration) bool {
	return s.typical > threshold || (s.typical == 0 && threshold < math.MaxInt64)
}

// long counts the pieces of long work at the target.
func (t *target) long(now, threshold time.Duration) int {
	n := 0
	for _, r := range t.running {
		if now-r.started > threshold || r.service.isLong(threshold) {
			n++
		}
	}
	return n
}

// free reports whether the target at position i has a slot for the service.
func (c *Controller) free(now time.Duration, s *service, i int) bool {
	state, t := &s.state.Targets[i], s.targets[i]
	if !state.Eligible {
		return false
	}
	used, slots := t.counts[limits.Urgent]+t.counts[limits.Bulk], s.slots()
	// During slow start only a part of the slots is used, but always one.
	if used >= max(1, int(math.Ceil(state.Share*float64(slots)))) {
		return false
	}
	if c.leases != nil {
		return c.leases.Free(now, t.slots, s.class) > 0
	}
	return s.class == limits.Urgent || t.counts[limits.Bulk] < slots-s.state.Info.Limits.ReservedUrgentSlots
}

// slotFor returns the position of the target whose slot a flow with the hash should get, or -1. Whether there is one does
// not depend on the hash.
func (c *Controller) slotFor(now time.Duration, s *service, hash uint64) int {
	threshold := s.pool.threshold()
	predicted := s.isLong(threshold)
	best, bestUsed := -1, 0
	def := s.state.Table.Default(hash)
	for i, t := range s.targets {
		if !c.free(now, s, i) {
			continue
		}
		if predicted && !c.parts.noLastSlot && s.slots() > 1 && t.long(now, threshold)+1 >= s.slots() {
			continue
		}
		if i == def && !c.parts.noDefault {
			return i
		}
		if used := len(t.running); best < 0 || used < bestUsed {
			best, bestUsed = i, used
		}
	}
	return best
}

// takeSlot takes a slot for the flow and returns the position of the target, or -1.
func (c *Controller) takeSlot(now time.Duration, w *waiting) int {
	i := c.slotFor(now, w.service, w.hash)
	if i < 0 || (c.leases != nil && !c.leases.Acquire(now, w.service.targets[i].slots, w.service.class)) {
		return -1
	}
	w.service.start(now, i)
	if w.service.class == limits.Bulk {
		w.service.pool.bulkAt = now
	}
	return i
}

// connectionFree reports whether the target at position i may get another connection of the service from this balancer.
// Connections are not leased: flows spread evenly over the balancers, so that an equal part of the limit for each keeps
// the sum below it, also while a bucket moves, without a message for each connection.
func (c *Controller) connectionFree(s *service, i int) bool {
	limit := s.state.ConnectionLimit
	if limit == 0 {
		limit = s.state.Info.Limits.ConnectionsPerTarget
	}
	return s.view.Load(i) < float64(limit)
}
