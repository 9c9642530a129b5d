package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// cannotBeInTime reports whether no target that a new flow of the route may use can answer it before its caller gives up, so that it is
// refused at once instead of after a wait. Loads are as old as a report: the wait must have been too long in its average over
// waitAveragingTime too. t is the target that was chosen.
func (d *demand) cannotBeInTime(r *directory.Route, t *Target, now time.Duration) bool {
	if r.Timeout <= 0 || d.serviceTime == 0 || t.load.isSuspect(now) {
		return false
	}
	left := max(r.Timeout-d.serviceTime, 0) // for the wait
	return d.wait > left && d.shortestWait(r) > left
}

// updateShortestQueues records the shortest queues after an update of the load.
func (d *demand) updateShortestQueues(reserved, bulk *work) {
	switch {
	case bulk.targets == 0:
		d.shortestQueue, d.shortestBulkQueue = reserved.shortestQueue, reserved.shortestQueue
	case reserved.targets == 0:
		d.shortestQueue, d.shortestBulkQueue = bulk.shortestQueue, bulk.shortestQueue
	default:
		d.shortestQueue, d.shortestBulkQueue = min(reserved.shortestQueue, bulk.shortestQueue), bulk.shortestQueue
	}
}

// shortestWait returns the shortest expected wait at a target that flows of the route may use, at the last update.
func (d *demand) shortestWait(r *directory.Route) time.Duration {
	queue := d.shortestQueue
	if d.reserve.active && d.isBulk(r) {
		queue = d.shortestBulkQueue
	}
	return time.Duration(queue * float64(d.serviceTime))
}

// pickFree returns a target with a free slot that flows of the route may use, or nil when there is none. No flow is refused while there
// is one.
func (v *View) pickFree(r *directory.Route, d *demand, hash uint64, now time.Duration) *Target {
	if d.shortestWait(r) > 0 {
		return nil
	}
	bulk := d.reserve.active && d.isBulk(r)
	return v.placeable(chooseService(r, hash), now, nil).choose(hash, now, func(t *Target) bool {
		return t.hasFreeSlot(now) && !t.load.recentMiss(now) && !t.load.isSuspect(now) && !t.isFailing(r, now) && !(bulk && d.reserve.holds(t))
	})
}
