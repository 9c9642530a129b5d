package steer

import (
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/flow"
)

const (
	// sketchRows and sketchGroups are the dimensions of the sketch of a route's callers. Each row spreads the callers over its groups by
	// another hash. A caller shares a group with a caller of high demand in one row at times, but hardly ever in both.
	sketchRows   = 2
	sketchGroups = 256
	// refusedFlowWeight is the weight of a refused flow in the demand of its caller: callers make up to three attempts for each request.
	refusedFlowWeight = 1.0 / 3
	// fairShareInterval is the time between two computations of the fair shares.
	fairShareInterval = 50 * time.Millisecond
)

// callerDemand is a sketch of bounded size of the new flows of a route by caller, weighted by their age.
type callerDemand struct {
	rows    [sketchRows]callerGroups
	total   float64
	updated time.Duration // when the fair shares were computed
}

// callerGroups counts new flows by groups of callers.
type callerGroups struct {
	flows [sketchGroups]float64
	trust float64 // part of the differences between the counts that is not due to chance
	level float64 // demand of a group up to which its flows are admitted
}

func (c *callerDemand) record(callerHash uint64, weight float64) {
	c.total += weight
	for row := range c.rows {
		c.rows[row].flows[sketchGroup(callerHash, row)] += weight
	}
}

// sketchGroup returns the group of a caller in a row of the sketch.
func sketchGroup(callerHash uint64, row int) uint64 {
	return flow.Mix(callerHash, uint64(row)) % sketchGroups
}

// halve halves all counts.
func (c *callerDemand) halve() {
	c.total /= 2
	for row := range c.rows {
		for i := range c.rows[row].flows {
			c.rows[row].flows[i] /= 2
		}
	}
}

// share computes the levels that admit the given number of flows.
func (c *callerDemand) share(admitted float64, now time.Duration) {
	for row := range c.rows {
		c.rows[row].share(c.total/sketchGroups, admitted)
	}
	c.updated = now
}

// refusedShare returns the part of the caller's flows that exceeds its fair share.
func (c *callerDemand) refusedShare(callerHash uint64) float64 {
	least := 1.0
	for row := range c.rows {
		least = min(least, c.rows[row].refusedShare(sketchGroup(callerHash, row), c.total/sketchGroups))
	}
	return least
}

// share computes the level of max-min fairness at which the given number of flows is admitted. The counts of random arrivals differ
// with a variance equal to their mean. Only differences beyond that are differences of demand: otherwise callers would be refused or
// admitted by chance, and too many admitted.
func (g *callerGroups) share(mean, admitted float64) {
	variance := 0.0
	for _, flows := range g.flows {
		variance += (flows - mean) * (flows - mean) / sketchGroups
	}
	g.trust = 0
	if variance > mean {
		g.trust = 1 - mean/variance
	}
	demands := g.flows
	for i, flows := range g.flows {
		demands[i] = g.demand(flows, mean)
	}
	g.level = fairLevel(demands[:], admitted)
}

// demand returns the estimated demand of a group with the given count.
func (g *callerGroups) demand(flows, mean float64) float64 { return mean + g.trust*(flows-mean) }

// refusedShare returns the part of a group's flows that exceeds the level.
func (g *callerGroups) refusedShare(group uint64, mean float64) float64 {
	demand := g.demand(g.flows[group], mean)
	if demand <= g.level {
		return 0
	}
	return 1 - g.level/demand
}

// fairLevel returns the level up to which each demand is met when the room is shared by max-min fairness. It sorts the demands.
func fairLevel(demands []float64, room float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		level := room / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		room -= demand
	}
	return room
}

// refusedShareOf returns the part of the caller's flows that is refused when a part of all bulk flows of the service is: the room is
// shared by max-min fairness among the bulk routes, and the share of each route among its callers.
func (d *demand) refusedShareOf(r *directory.Route, callerHash uint64, part float64, now time.Duration) float64 {
	c := &d.routes[r.Endpoint].callers
	if now-c.updated >= fairShareInterval {
		demands, room := d.bulkDemands(), 0.0
		for _, flows := range demands {
			room += (1 - part) * flows
		}
		c.share(min(c.total, fairLevel(demands, room)), now)
	}
	return c.refusedShare(callerHash)
}

// bulkDemands returns the demands of the bulk routes.
func (d *demand) bulkDemands() []float64 {
	least, priority := d.leastSignificantFlows(), d.bulkPriority()
	var demands []float64
	for _, route := range d.routes {
		if route.flows >= least && route.priority == priority {
			demands = append(demands, route.callers.total)
		}
	}
	return demands
}
