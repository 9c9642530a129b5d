package steer

import (
	"maps"
	"slices"
	"time"
)

const (
	// handOnStart is the average number of pending requests per local slot from which on a data centre hands new flows on to others. Requests
	// count as pending while their packets travel too, so that well used targets have more than one per slot.
	handOnStart = 1.6
	// handOnGoal is the number of pending requests per slot that a data centre keeps while it hands on. The gap to handOnStart keeps a
	// load near the limit from starting and ending the handing on.
	handOnGoal = 1.2
	// handOnGap is by how many pending requests per slot the other data centres must be less loaded. Traffic between data centres costs
	// money, and flows must not go back and forth between data centres that are about as busy.
	handOnGap = 0.4
	// maxHandedOn bounds the part of the new flows that is handed on. Without local flows the local load would be unknown.
	maxHandedOn = 0.95
	// minHandedOn is the part of the new flows below which nothing is handed on.
	minHandedOn = 0.02
	// roomAveragingTime is the time constant of the averaged pending requests, the time of several load reports.
	roomAveragingTime = time.Second
	// handOnRiseTime and handOnFallTime are the time constants with which the part that is handed on follows the offered load. It falls
	// more slowly than the loads of other hosts arrive, since a fast reaction to old loads swings.
	handOnRiseTime = 300 * time.Millisecond
	handOnFallTime = time.Second
	// handOnSeed makes the choice of the flows that are handed on independent of the ranking of targets.
	handOnSeed = 0xd1b54a32d192ed03
)

// room is the balancer's estimate of the room for a service in its data centre and in the others.
type room struct {
	localPending, remotePending float64 // averaged over roomAveragingTime
	localSlots, remoteSlots     float64 // of the targets that are neither suspect nor slow
	averageHandedOn             float64 // averaged like the pending requests
	handedOn                    float64 // part of the new flows that goes to other data centres, 0 if there is room here
	lastUpdate                  time.Duration
}

// updateRooms updates the estimates for all services.
func (e *Engine) updateRooms(now time.Duration) {
	for service, p := range e.view.pools {
		if d := e.demands[service]; d != nil {
			before := d.room.handedOn
			d.room.update(p, now)
			p.handedOn = d.room.handedOn
			if (before > 0) != (p.handedOn > 0) {
				e.recordHandOn(service, &d.room)
			}
		}
	}
}

func (r *room) update(p *pool, now time.Duration) {
	elapsed := max(now-r.lastUpdate, 0)
	weight := min(float64(elapsed)/float64(roomAveragingTime), 1)
	local, remote := 0.0, 0.0
	local, r.localSlots = sumLoads(p.local, now)
	remote, r.remoteSlots = sumLoads(p.remote, now)
	r.localPending += weight * (local - r.localPending)
	r.remotePending += weight * (remote - r.remotePending)
	r.averageHandedOn += weight * (r.handedOn - r.averageHandedOn)
	r.lastUpdate = max(now, r.lastUpdate)
	goal, timeConstant := r.share(), handOnFallTime
	if goal > r.handedOn {
		timeConstant = handOnRiseTime
	}
	r.handedOn += min(float64(elapsed)/float64(timeConstant), 1) * (goal - r.handedOn)
	if r.handedOn < minHandedOn && goal <= r.handedOn {
		r.handedOn = 0
	}
}

// Balance describes how the work of a service is spread by this balancer.
type Balance struct {
	Service     string
	SlowTargets int
	HandedOn    float64 // part of the new flows that goes to other data centres for lack of room here
}

// Balances returns the balance of each service of the view, sorted by service name.
func (e *Engine) Balances() []Balance {
	if e.view == nil {
		return nil
	}
	var out []Balance
	for _, service := range slices.Sorted(maps.Keys(e.view.pools)) {
		if d := e.demands[service]; d != nil {
			out = append(out, Balance{Service: service, SlowTargets: d.slow, HandedOn: d.room.handedOn})
		}
	}
	return out
}

// HandOnChange reports that new flows of a service begin or cease to be handed on to other data centres, with the loads it is based on.
type HandOnChange struct {
	Service                    string
	HandedOn                   float64 // part of the new flows, 0 when it ceases
	LocalPending, LocalSlots   float64
	RemotePending, RemoteSlots float64
}

// TakeHandOnChanges returns the changes since the last call, oldest first.
func (e *Engine) TakeHandOnChanges() []HandOnChange {
	changes := e.handOnChanges
	e.handOnChanges = nil
	return changes
}

// recordHandOn keeps a change of whether flows are handed on for the log.
func (e *Engine) recordHandOn(service string, r *room) {
	if len(e.handOnChanges) < maxSlowChanges {
		e.handOnChanges = append(e.handOnChanges, HandOnChange{
			Service: service, HandedOn: r.handedOn, LocalPending: r.localPending, LocalSlots: r.localSlots,
			RemotePending: r.remotePending, RemoteSlots: r.remoteSlots,
		})
	}
}

// sumLoads returns the pending requests and the slots of the targets that are neither suspect nor slow.
func sumLoads(targets []*Target, now time.Duration) (pending, slots float64) {
	for _, t := range targets {
		if !t.load.isSuspect(now) && t.load.extra == 0 {
			pending, slots = pending+t.pending(), slots+t.slots(now)
		}
	}
	return pending, slots
}

// share returns the part of the new flows to hand on. The offered load of the data centre is its pending requests and those that are handed
// on. The excess over handOnGoal is handed on, or over the load of all data centres if that is higher.
func (r *room) share() float64 {
	if r.remoteSlots == 0 || r.localSlots == 0 {
		return 0
	}
	here, elsewhere := r.localPending/r.localSlots, r.remotePending/r.remoteSlots
	if r.handedOn == 0 && (here < handOnStart || here-elsewhere < handOnGap) {
		return 0
	}
	goal := max(handOnGoal, (r.localPending+r.remotePending)/(r.localSlots+r.remoteSlots))
	offered := here / (1 - r.averageHandedOn)
	if offered <= goal || elsewhere > here+handOnGap {
		return 0
	}
	return min(1-goal/offered, maxHandedOn)
}

// handsOn reports whether a new flow is handed on to the target of another data centre because its own has no room.
func (p *pool) handsOn(hash uint64, remote *Target, now time.Duration) bool {
	return p.handedOn > 0 && remote != nil && uniform(hash, handOnSeed) < p.handedOn && remote.cost(now) < handOnStart
}
