package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// workWeight is the weight of an answer in the estimate of a service's work time. Some answers take several times as long as
	// the mean, and the mean itself hardly changes.
	workWeight = 1.0 / 32
	// waitAverage is the time over which the expected wait is averaged, about that between two reports of load. A caller repeats
	// a refused request within milliseconds: a peak of a moment must not refuse all its tries.
	waitAverage = 300 * time.Millisecond
	// waitShare is the part of a route's slack that a request may expect to wait before flows of the route are refused. The slack
	// is the route's objective less the time of the work. The rest of it is for more urgent flows, which are not refused, for
	// requests on open flows, and for work that takes longer than the mean; docs/decisions/0005 compares shares.
	waitShare = 0.3
	// admissionSeed makes refusals independent of the ranking of targets, which uses the same hash of the flow.
	admissionSeed = 0x9e3779b97f4a7c15
	// demandHalfLife is the time in which the flows that a route has opened lose half of their weight.
	demandHalfLife = time.Second
	// demandShare is the part of a service's new flows from which on a route counts for its load. Flows of routes below that are
	// not refused: they are too few to relieve the service, and a refusal on a new route looks like a missing one. On the
	// measured sites a route that carries work opens a tenth or more.
	demandShare = 0.05
)

// overloaded takes in a new flow of the route, for which t was chosen, and reports whether it is refused because the service has more
// work than it can answer in time.
func (e *Engine) overloaded(r *directory.Route, t *Target, key FlowKey, now time.Duration) bool {
	d := t.demand
	d.asked(r, now)
	d.update(e.view.pools[t.Service], now)
	return !t.load.suspect(now) && !t.hasRoom(r, now) && d.refuses(r, key.hash())
}

// demand is what a balancer knows of the load of a service.
type demand struct {
	work    time.Duration // for which a request takes a slot, 0 when nothing is known
	wait    time.Duration // of a new request for a slot, averaged over waitAverage
	updated time.Duration // when wait was updated
	noQueue time.Duration // when wait was last no longer than work
	routes  map[directory.Endpoint]*routeDemand
	halved  time.Duration // when the flows of routes last lost half of their weight
}

// routeDemand is what a route adds to the demand of a service.
type routeDemand struct {
	priority int
	flows    float64 // new ones, weighted by their age
}

func newDemand() *demand { return &demand{routes: map[directory.Endpoint]*routeDemand{}} }

// answered takes in the time until the answer to a request that found a free slot. Others tell nothing of the work: they queued,
// or the target turned them away.
func (d *demand) answered(took time.Duration) {
	if d.work == 0 {
		d.work = took
	}
	d.work += time.Duration(workWeight * float64(took-d.work))
}

// asked takes in a new flow of a route.
func (d *demand) asked(r *directory.Route, now time.Duration) {
	if now-d.halved >= demandHalfLife {
		d.halved = now
		for endpoint, other := range d.routes {
			if other.flows /= 2; other.flows < 1 {
				delete(d.routes, endpoint)
			}
		}
	}
	route := d.routes[r.Endpoint]
	if route == nil {
		route = &routeDemand{}
		d.routes[r.Endpoint] = route
	}
	route.priority = r.Priority
	route.flows++
}

// update takes in the load of the targets that are not suspect.
func (d *demand) update(p *pool, now time.Duration) {
	var pending, slots float64
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			if !t.load.suspect(now) {
				pending, slots = pending+t.pending(), slots+t.slots(now)
			}
		}
	}
	if slots == 0 {
		return
	}
	if now-d.updated >= queueAge { // nothing is known of the time since then
		d.noQueue = now
	}
	passed := min(float64(now-d.updated)/float64(waitAverage), 1)
	d.wait += time.Duration(passed * float64(d.expectedWait(pending, slots)-d.wait))
	d.updated = now
	if d.wait <= d.work {
		d.noQueue = now
	}
}

// expectedWait is how long a new request waits for one of the slots while pending requests are ahead of it.
func (d *demand) expectedWait(pending, slots float64) time.Duration {
	return time.Duration(max(pending+1-slots, 0) / slots * float64(d.work))
}

// tolerated returns the wait up to which no flow of the route is refused, and how much longer a wait is at which every one is.
// Where the work alone takes longer than the objective, refusals do not help before the queue is as long as the work.
func (d *demand) tolerated(r *directory.Route) (wait, ramp time.Duration) {
	slack := max(r.Objective-d.work, d.work)
	return max(time.Duration(waitShare*float64(slack)), d.work), slack
}

// refuses reports whether a flow of the route is refused because the service has had more work for queueAge than it answers within
// the route's objective: a shorter queue, as after a loss of power, is served. The load of a single target is no ground for a refusal:
// in the time between two reports a target answers several requests. The part of the flows that is refused grows with the wait.
func (d *demand) refuses(r *directory.Route, hash uint64) bool {
	if r.Objective <= 0 || d.work == 0 || d.updated-d.noQueue < queueAge || !d.isBulk(r) {
		return false
	}
	wait, ramp := d.tolerated(r)
	return uniform(hash, admissionSeed) < float64(d.wait-wait)/float64(ramp)
}

// isBulk reports whether the route has a good part of the service's new flows and none that has is less urgent.
func (d *demand) isBulk(r *directory.Route) bool {
	total := 0.0
	for _, other := range d.routes {
		total += other.flows
	}
	counts := func(other *routeDemand) bool { return other != nil && other.flows >= demandShare*total }
	for _, other := range d.routes {
		if counts(other) && other.priority > r.Priority {
			return false
		}
	}
	return counts(d.routes[r.Endpoint])
}

// hasRoom reports whether the target is expected to answer a new flow of the route within the route's objective.
func (t *Target) hasRoom(r *directory.Route, now time.Duration) bool {
	if r.Objective <= 0 {
		return true
	}
	wait, _ := t.demand.tolerated(r)
	return t.demand.expectedWait(t.pending(), t.slots(now)) <= wait
}

// hasFreeSlot reports whether a new request would not queue at the target.
func (t *Target) hasFreeSlot(now time.Duration) bool { return t.pending()+1 <= t.slots(now) }
