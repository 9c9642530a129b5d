package steer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/flow"
)

const (
	// coldWeight is the weight of a target that is slow after its start.
	coldWeight = 0.5
	// remoteCost is by how much a target of another data centre must be less loaded than one of the own, in waiting
	// requests for each slot. Bytes between data centres are paid for.
	remoteCost = 2.0
)

// hash spreads flows over targets. It is the same on every balancer.
func (k FlowKey) hash() uint64 {
	var b [12]byte
	copy(b[:], k.Caller.Address[:])
	binary.BigEndian.PutUint16(b[4:], k.Caller.Port)
	copy(b[6:], k.Endpoint.Address[:])
	binary.BigEndian.PutUint16(b[10:], k.Endpoint.Port)
	return xxhash.Sum64(b[:])
}

// pick returns the target of a new flow, or nil when the service has none. silent is the target that has left an earlier copy of the
// flow's opening packet unanswered, or nil. Targets that leave flows unanswered are used only when there are no others: a wrong
// suspicion must not empty a service.
func (v *View) pick(r *directory.Route, key FlowKey, now time.Duration, silent *Target) *Target {
	hash := key.hash()
	p := v.pools[service(r, hash)]
	if p == nil {
		return nil
	}
	for _, usable := range [...]func(*Target) bool{
		func(t *Target) bool { return t != silent && !t.load.doubted(now) && !t.load.suspect(now) },
		func(t *Target) bool { return t != silent && !t.load.suspect(now) },
		func(t *Target) bool { return !t.load.suspect(now) },
		func(*Target) bool { return true },
	} {
		if t := p.choose(hash, now, usable); t != nil {
			return t
		}
	}
	return nil
}

// choose returns the target of a new flow of those that are usable, or nil when there is none.
func (p *pool) choose(hash uint64, now time.Duration, usable func(*Target) bool) *Target {
	local, remote := choose(p.local, hash, now, usable), choose(p.remote, hash, now, usable)
	if local == nil || remote != nil && local.cost(now) > remote.cost(now)+remoteCost {
		return remote
	}
	return local
}

// service returns the service of a new flow by the weights of the route.
func service(r *directory.Route, hash uint64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	n := int(flow.Mix(hash, uint64(total)) % uint64(max(total, 1)))
	for _, s := range r.Services {
		if n -= s.Weight; n < 0 {
			return s.Name
		}
	}
	return r.Services[0].Name
}

// Ranking tells which targets a new flow may go to, whatever their load.
type Ranking struct {
	Routed        bool // there is a route for the endpoint
	Service       string
	First, Second *Target // nil when there is none
}

// Rank returns the ranking of a flow in this view.
func (v *View) Rank(key FlowKey, now time.Duration) Ranking {
	route := v.Route(key.Endpoint)
	if route == nil {
		return Ranking{}
	}
	hash := key.hash()
	r := Ranking{Routed: true, Service: service(route, hash)}
	p := v.pools[r.Service]
	if p == nil {
		return r
	}
	if r.First, r.Second = firstTwo(p.local, hash, now, nil); r.First == nil {
		r.First, r.Second = firstTwo(p.remote, hash, now, nil)
	}
	return r
}

// choose takes the less loaded of the first two targets by rendezvous hashing. Loads that other balancers reported are
// old by the time between two reports; taking the least loaded of all would send every balancer's flows to the same target.
func choose(targets []*Target, hash uint64, now time.Duration, usable func(*Target) bool) *Target {
	first, second := firstTwo(targets, hash, now, usable)
	if second != nil && second.cost(now) < first.cost(now) {
		return second
	}
	return first
}

// firstTwo returns the first two targets of the flow's ranking by weighted rendezvous hashing, of those that usable
// accepts; nil accepts all.
func firstTwo(targets []*Target, hash uint64, now time.Duration, usable func(*Target) bool) (first, second *Target) {
	best, next := math.Inf(-1), math.Inf(-1)
	for _, t := range targets {
		if usable != nil && !usable(t) {
			continue
		}
		switch s := t.score(hash, now); {
		case s > best:
			second, next = first, best
			first, best = t, s
		case s > next:
			second, next = t, s
		}
	}
	return first, second
}

// pending is the number of requests that wait for the target, as far as the balancers have told each other.
func (t *Target) pending() float64 { return float64(t.load.pending) + float64(t.load.others.Pending) }

// slots is the number of requests that the target works on at a time, at the usual speed.
func (t *Target) slots(now time.Duration) float64 {
	if t.isCold(now) {
		return coldWeight * float64(t.Capacity)
	}
	return float64(t.Capacity)
}

// cost is the load of the target for each slot. Open flows that wait for nothing are no part of it: a target that has just started has
// none, and would get every new flow that may go to it while it is slow.
func (t *Target) cost(now time.Duration) float64 { return t.pending() / t.slots(now) }

// score is the rank of the target for a flow, weighted by its slots.
func (t *Target) score(hash uint64, now time.Duration) float64 {
	return -t.slots(now) / math.Log(uniform(hash, t.seed))
}

// uniform returns a number between 0 and 1 that depends on the flow and the seed alone.
func uniform(hash, seed uint64) float64 { return (float64(flow.Mix(hash, seed)>>11) + 0.5) / (1 << 53) }
