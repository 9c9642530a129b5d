package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// reserveSeed makes the order in which targets are reserved independent of the ranking of targets for flows.
	reserveSeed = 0x2545f4914f6cdd1d
	// maxReservedShare bounds the reserved part of the slots, so that bulk flows keep targets.
	maxReservedShare = 0.75
	// reserveStart is how long a queue must last before targets are reserved. A reserve refuses no flow, so it starts before refusals.
	reserveStart = 250 * time.Millisecond
	// reserveEndWait is the averaged wait, as a part of the service time, below which the overload counts as over.
	reserveEndWait = 0.25
	// reserveHold is how long the overload must have been over before the reserve ends.
	reserveHold = time.Second
	// reserveInterval is the time between two changes of the size of a reserve.
	reserveInterval = time.Second
	// reservedRefusalDelay is how long a queue must last before bulk flows are refused while targets are reserved. At the highest
	// demand that is expected, 12 times the usual, the queues of targets fill within a second.
	reservedRefusalDelay = 500 * time.Millisecond
	// reservedRamp is the time from the shortest wait at which bulk flows are refused to that at which all are, in service times, while
	// targets are reserved. A longer queue keeps no more slots busy, and targets that reject work reject urgent work too.
	reservedRamp = 2
)

// reserve is the part of a service's targets that gets no new bulk flows while the service is overloaded, so that urgent flows find
// room. Its size is the urgent part of the work.
type reserve struct {
	active         bool
	share          float64       // of the slots of each data centre, 0 while not active
	sizedAt        time.Duration // when share was last set
	lastOverloaded time.Duration // when the averaged wait was last above reserveEndWait
}

// holds reports whether the target is reserved.
func (s *reserve) holds(t *Target) bool { return t.reservePosition < s.share }

// inForce reports whether targets are reserved: without new flows it is not known for longer whether the service is overloaded.
func (s *reserve) inForce(now time.Duration) bool {
	return s.active && now-s.lastOverloaded < reserveHold
}

// update starts, resizes or ends the reserve.
func (s *reserve) update(d *demand, now time.Duration) {
	if float64(d.wait) > reserveEndWait*float64(d.serviceTime) {
		s.lastOverloaded = now
	}
	switch {
	case !s.active:
		if s.active = d.serviceTime > 0 && d.lastUpdate-d.lastNoQueue > reserveStart && d.urgentShare() > 0; s.active {
			s.resize(d, now)
		}
	case !s.inForce(now):
		s.active, s.share = false, 0
	case now-s.sizedAt >= reserveInterval:
		s.resize(d, now)
	}
}

func (s *reserve) resize(d *demand, now time.Duration) {
	s.share, s.sizedAt = min(d.urgentShare(), maxReservedShare), now
}

// recordRequest counts a request on an open flow of a route. r is nil when the endpoint no longer has a route.
func (d *demand) recordRequest(r *directory.Route) {
	if r != nil {
		d.route(r).requests++
	}
}

// urgentShare returns the part of the counted requests that belongs to routes more urgent than bulk. Refused flows do not count.
func (d *demand) urgentShare() float64 {
	bulk := d.bulkPriority()
	var urgent, total float64
	for _, route := range d.routes {
		total += route.requests
		if route.priority < bulk {
			urgent += route.requests
		}
	}
	if total == 0 {
		return 0
	}
	return urgent / total
}

// bulkPriority returns the priority of the least urgent routes that have a significant share of the service's new flows.
func (d *demand) bulkPriority() int {
	least, priority := d.leastSignificantFlows(), 0
	for _, route := range d.routes {
		if route.flows >= least {
			priority = max(priority, route.priority)
		}
	}
	return priority
}

// orderForReserve gives each target its position in the order in which the targets of its data centre are reserved. The order is the
// same on all balancers that know the same targets, and hardly changes with the targets.
func (p *pool) orderForReserve() {
	byDataCentre := map[string][]*Target{}
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			byDataCentre[t.DataCentre] = append(byDataCentre[t.DataCentre], t)
		}
	}
	for _, targets := range byDataCentre {
		slices.SortFunc(targets, func(a, b *Target) int {
			return cmp.Or(cmp.Compare(uniform(a.seed, reserveSeed), uniform(b.seed, reserveSeed)), cmp.Compare(a.Name, b.Name))
		})
		total, before := 0, 0
		for _, t := range targets {
			total += t.Capacity
		}
		for _, t := range targets {
			t.reservePosition = (float64(before) + float64(t.Capacity)/2) / float64(max(total, 1))
			before += t.Capacity
		}
	}
}

// chooseByReserve returns the target of a new flow while targets are reserved: urgent flows go to reserved targets, or to others if
// those have no free slot and the others are less loaded, and bulk flows go to targets that are not reserved. It returns nil if there is
// no reserve or no such target.
func (p *pool) chooseByReserve(r *directory.Route, hash uint64, now time.Duration, usable func(*Target) bool) *Target {
	if p.demand == nil || !p.demand.reserve.inForce(now) {
		return nil
	}
	choose := func(reserved bool) *Target {
		return p.choose(hash, now, func(t *Target) bool { return p.demand.reserve.holds(t) == reserved && usable(t) })
	}
	if p.demand.isBulk(r) {
		return choose(false)
	}
	t := choose(true)
	if t == nil || t.hasFreeSlot(now) {
		return t
	}
	if other := choose(false); other != nil && other.cost(now) < t.cost(now) {
		return other
	}
	return t
}
