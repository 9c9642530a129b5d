package admission

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/limits"
)

// longFactor is the multiple of the median duration from which work counts as long, and minLongDuration the shortest
// duration that does.
const (
	longFactor      = 5
	minLongDuration = 50 * time.Millisecond
)

// The last-slot rule keeps long-running work from occupying all slots that short work needs.
//
// The threshold of a pool is longFactor times the shortest median duration of its services. A piece of work is long when it
// has run for longer than the threshold, or when its service is long: the median duration of the service is above the
// threshold, or is not known yet while that of another service is. A long service gets a slot of a target only if another
// slot of that target stays free of long work. Work of other services may also turn out to be long, which cannot be
// predicted when it starts.

func (p *pool) longThreshold() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, s := range p.services {
		if s.median > 0 {
			shortest = min(shortest, s.median)
		}
	}
	if shortest == math.MaxInt64 {
		return shortest
	}
	return max(minLongDuration, longFactor*shortest)
}

// isLong reports whether work of the service is predicted to be long. No service is long while the threshold is unknown.
func (s *service) isLong(threshold time.Duration) bool {
	return s.median > threshold || (s.median == 0 && threshold < math.MaxInt64)
}

// longRunning returns the number of pieces of long work in progress at the target.
func (t *target) longRunning(now, threshold time.Duration) int {
	n := 0
	for _, r := range t.running {
		if now-r.started > threshold || r.service.isLong(threshold) {
			n++
		}
	}
	return n
}

// hasFreeSlot reports whether the target at position i has a free slot for the service.
func (c *Controller) hasFreeSlot(now time.Duration, s *service, i int) bool {
	state, t := &s.state.Targets[i], s.targets[i]
	if !state.Eligible {
		return false
	}
	used, slots := t.slotsInUse[limits.Urgent]+t.slotsInUse[limits.Bulk], s.slotLimit()
	// During slow start only a part of the slots is used, but at least one.
	if used >= max(1, int(math.Ceil(state.Share*float64(slots)))) {
		return false
	}
	if c.leases != nil {
		return c.leases.Free(now, t.resource, s.class) > 0
	}
	return s.class == limits.Urgent || t.slotsInUse[limits.Bulk] < slots-s.state.Info.Limits.ReservedUrgentSlots
}

// findSlot returns the position of the target whose slot a flow with the hash should get, or -1 when no slot is available.
// Availability does not depend on the hash.
func (c *Controller) findSlot(now time.Duration, s *service, hash uint64) int {
	threshold := s.pool.longThreshold()
	long := s.isLong(threshold)
	best, bestUsed := -1, 0
	defaultTarget := s.state.Table.Default(hash)
	for i, t := range s.targets {
		if !c.hasFreeSlot(now, s, i) {
			continue
		}
		if long && !c.ablation.noLastSlot && s.slotLimit() > 1 && t.longRunning(now, threshold)+1 >= s.slotLimit() {
			continue
		}
		if i == defaultTarget && !c.ablation.noDefault {
			return i
		}
		if used := len(t.running); best < 0 || used < bestUsed {
			best, bestUsed = i, used
		}
	}
	return best
}

// acquireSlot acquires a slot for the flow and returns the position of its target, or -1 when no slot is available.
func (c *Controller) acquireSlot(now time.Duration, w *waitingFlow) int {
	i := c.findSlot(now, w.service, w.hash)
	if i < 0 || (c.leases != nil && !c.leases.Acquire(now, w.service.targets[i].resource, w.service.class)) {
		return -1
	}
	w.service.start(now, i)
	if w.service.class == limits.Bulk {
		w.service.pool.lastBulkSlot = now
	}
	return i
}

// hasFreeConnection reports whether the target at position i may get another connection of the service from this balancer.
// Connections are not leased: flows are spread evenly over the balancers, so an equal part of the limit for each balancer
// keeps the sum below the limit, also while a bucket moves, without a message for each connection.
func (c *Controller) hasFreeConnection(s *service, i int) bool {
	limit := s.state.ConnectionLimit
	if limit == 0 {
		limit = s.state.Info.Limits.ConnectionsPerTarget
	}
	return s.view.Load(i) < float64(limit)
}
