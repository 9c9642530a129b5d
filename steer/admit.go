package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// serviceTimeWeight is the weight of one answer in the moving average of a service's service time. Some answers take
	// several times the mean, and the mean itself hardly changes.
	serviceTimeWeight = 1.0 / 32
	// waitAveragingTime is the time constant of the averaged wait, about the time between two load reports. A caller
	// retries a refused request within milliseconds: a momentary peak must not refuse all its attempts.
	waitAveragingTime = 300 * time.Millisecond
	// toleratedWaitShare is the part of a route's slack that a request may be expected to wait before flows of the route
	// are refused. The slack is the route's objective less the service time. The rest of it is for more urgent flows,
	// which are not refused, for requests on open flows, and for requests that take longer than the mean;
	// docs/decisions/0005 compares shares.
	toleratedWaitShare = 0.3
	// admissionSeed makes refusals independent of the ranking of targets, which uses the same hash of the flow.
	admissionSeed = 0x9e3779b97f4a7c15
	// demandHalfLife is the time in which the counted new flows of a route lose half of their weight.
	demandHalfLife = time.Second
	// minDemandShare is the share of a service's new flows from which a route counts for its load. Flows of routes below it are
	// not refused: they are too few to relieve the service, and a refusal on a new route looks as if the route were missing. On
	// the measured sites a route that carries work opens a tenth or more.
	minDemandShare = 0.05
)

// overloaded counts a new flow of the route, for which t was chosen, and reports whether the flow is refused because
// the service has more work than it can answer in time.
func (e *Engine) overloaded(r *directory.Route, t *Target, key FlowKey, now time.Duration) bool {
	d := t.demand
	d.recordFlow(r, now)
	d.update(e.view.placeable(t.Service, now, nil), now)
	return !t.load.isSuspect(now) && !t.meetsObjective(r, now) && d.shouldRefuse(r, key.hash())
}

// demand is a balancer's estimate of the load of a service.
type demand struct {
	serviceTime time.Duration // for which a request occupies a slot, 0 while unknown
	wait        time.Duration // of a new request for a slot, averaged over waitAveragingTime
	lastUpdate  time.Duration // of wait
	lastNoQueue time.Duration // when wait was last no longer than serviceTime
	routes      map[directory.Endpoint]*routeDemand
	lastHalved  time.Duration // when the flows of routes last lost half of their weight
	lastAnswer  time.Duration // of any target of the service, 0 for none
	lastProbe   time.Duration // when a new flow was last placed although all targets seem to be full
	answers     answers       // recent answers on flows of this balancer

	references map[directory.Endpoint]*reference // usual answer times by route
	slow       int                               // targets that are slow
	slowNow    int                               // those counted so far in the present update
	mostSlow   bool                              // too many are slow for the others to be the usual ones
	resumed    time.Duration                     // times of requests before it are not used

	room room
}

// routeDemand is the part of a service's demand that comes from one route.
type routeDemand struct {
	priority int
	flows    float64 // new flows, weighted by their age
}

func newDemand() *demand { return &demand{routes: map[directory.Endpoint]*routeDemand{}} }

// recordServiceTime averages the answer time of a request that found a free slot. Others say nothing about the service time:
// they queued, or the target rejected them.
func (d *demand) recordServiceTime(took time.Duration) {
	if d.serviceTime == 0 {
		d.serviceTime = took
	}
	d.serviceTime += time.Duration(serviceTimeWeight * float64(took-d.serviceTime))
}

// recordFlow counts a new flow of a route.
func (d *demand) recordFlow(r *directory.Route, now time.Duration) {
	if now-d.lastHalved >= demandHalfLife {
		d.lastHalved = now
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

// update adds the present load of the targets that are not suspect to the averaged wait.
func (d *demand) update(p *pool, now time.Duration) {
	var pending, slots float64
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			if !t.load.isSuspect(now) {
				pending, slots = pending+t.pending(), slots+t.slots(now)
			}
		}
	}
	if slots == 0 {
		return
	}
	if now-d.lastUpdate >= minQueueDuration { // the queue may have been gone since the last update
		d.lastNoQueue = now
	}
	weight := min(float64(now-d.lastUpdate)/float64(waitAveragingTime), 1)
	d.wait += time.Duration(weight * float64(d.expectedWait(pending, slots)-d.wait))
	d.lastUpdate = now
	if d.wait <= d.serviceTime {
		d.lastNoQueue = now
	}
}

// expectedWait returns how long a new request waits for one of the slots when pending requests are ahead of it.
func (d *demand) expectedWait(pending, slots float64) time.Duration {
	return time.Duration(max(pending+1-slots, 0) / slots * float64(d.serviceTime))
}

// toleratedWait returns the wait up to which no flow of the route is refused, and how much longer the wait must be for
// every flow to be refused. Where the service time alone exceeds the objective, refusals do not help before the queue
// is as long as the service time.
func (d *demand) toleratedWait(r *directory.Route) (wait, ramp time.Duration) {
	slack := max(r.Objective-d.serviceTime, d.serviceTime)
	return max(time.Duration(toleratedWaitShare*float64(slack)), d.serviceTime), slack
}

// shouldRefuse reports whether a flow of the route is refused because the service has had more work for minQueueDuration than
// it answers within the route's objective. A shorter queue, as after a power outage, is served. The load of one target is no
// reason: between two reports a target answers several requests. The refused part of the flows grows with the wait.
func (d *demand) shouldRefuse(r *directory.Route, hash uint64) bool {
	if r.Objective <= 0 || d.serviceTime == 0 || d.lastUpdate-d.lastNoQueue < minQueueDuration || !d.isBulk(r) {
		return false
	}
	wait, ramp := d.toleratedWait(r)
	return uniform(hash, admissionSeed) < float64(d.wait-wait)/float64(ramp)
}

// isBulk reports whether the route has a significant share of the service's new flows and none that has is less urgent.
func (d *demand) isBulk(r *directory.Route) bool {
	least := d.leastSignificantFlows()
	for _, other := range d.routes {
		if other.flows >= least && other.priority > r.Priority {
			return false
		}
	}
	return d.isSignificant(r)
}

// isSignificant reports whether the route has a significant share of the service's new flows.
func (d *demand) isSignificant(r *directory.Route) bool {
	route := d.routes[r.Endpoint]
	return route != nil && route.flows >= d.leastSignificantFlows()
}

// leastSignificantFlows returns the number of new flows from which a route counts for the load of the service.
func (d *demand) leastSignificantFlows() float64 {
	total := 0.0
	for _, other := range d.routes {
		total += other.flows
	}
	return minDemandShare * total
}

// meetsObjective reports whether the target is expected to answer a new flow of the route within the route's objective.
func (t *Target) meetsObjective(r *directory.Route, now time.Duration) bool {
	if r.Objective <= 0 {
		return true
	}
	wait, _ := t.demand.toleratedWait(r)
	return t.demand.expectedWait(t.pending(), t.slots(now)) <= wait
}

// hasFreeSlot reports whether a new request would not queue at the target.
func (t *Target) hasFreeSlot(now time.Duration) bool { return t.pending()+1 <= t.slots(now) }
