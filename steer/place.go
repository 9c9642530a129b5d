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
	// coldWeight is the weight of a target that is still slow after its start.
	coldWeight = 0.5
	// remotePenalty is by how many waiting requests per slot a target of another data centre must be less loaded than a local
	// one. Traffic between data centres costs money.
	remotePenalty = 2.0
)

// hash returns the hash that spreads flows over targets. It is the same on every balancer.
func (k FlowKey) hash() uint64 {
	var b [12]byte
	copy(b[:], k.Caller.Address[:])
	binary.BigEndian.PutUint16(b[4:], k.Caller.Port)
	copy(b[6:], k.Endpoint.Address[:])
	binary.BigEndian.PutUint16(b[10:], k.Endpoint.Port)
	return xxhash.Sum64(b[:])
}

// pick returns the target of a new flow, or nil when the service has none. tried is the target that left an earlier
// copy of the flow's opening packet unanswered, or nil. Targets that leave flows unanswered are used only when there
// are no others: a wrong suspicion must not leave a service without targets.
func (v *View) pick(r *directory.Route, key FlowKey, now time.Duration, tried *Target) *Target {
	hash := key.hash()
	p := v.placeable(chooseService(r, hash), now, tried)
	if p == nil {
		return nil
	}
	for _, usable := range [...]func(*Target) bool{
		func(t *Target) bool {
			return t != tried && !t.load.recentMiss(now) && !t.load.isSuspect(now) && !t.isFailing(r, now)
		},
		func(t *Target) bool { return t != tried && !t.load.isSuspect(now) && !t.isFailing(r, now) },
		func(t *Target) bool { return t != tried && !t.load.isSuspect(now) },
		func(t *Target) bool { return !t.load.isSuspect(now) },
		func(*Target) bool { return true },
	} {
		if t := p.choose(hash, now, usable); t != nil {
			return t
		}
	}
	return nil
}

// choose returns the target of a new flow among those that usable accepts, or nil when there is none.
func (p *pool) choose(hash uint64, now time.Duration, usable func(*Target) bool) *Target {
	local, probe := lessLoaded(p.local, hash, now, usable)
	if probe {
		return local
	}
	remote, _ := lessLoaded(p.remote, hash, now, usable)
	if local == nil || p.handsOn(hash, remote, now) || remote != nil && local.cost(now) > remote.cost(now)+remotePenalty {
		return remote
	}
	return local
}

// chooseService returns the service of a new flow by the weights of the route.
func chooseService(r *directory.Route, hash uint64) string {
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

// Ranking holds the targets that a new flow may go to, regardless of their load.
type Ranking struct {
	Routed        bool // there is a route for the endpoint
	Service       string
	First, Second *Target // nil when there is none
}

// Rank returns the ranking of targets for a flow in this view, which must be the current one of an engine.
func (v *View) Rank(key FlowKey, now time.Duration) Ranking {
	route := v.Route(key.Endpoint)
	if route == nil {
		return Ranking{}
	}
	hash := key.hash()
	r := Ranking{Routed: true, Service: chooseService(route, hash)}
	p := v.pools[r.Service]
	if p == nil {
		return r
	}
	if r.First, r.Second = topTwo(p.local, hash, now, nil); r.First == nil {
		r.First, r.Second = topTwo(p.remote, hash, now, nil)
	}
	return r
}

// lessLoaded returns the less loaded of the first two targets by rendezvous hashing. Reported loads are as old as the time
// between two reports: if all balancers took the least loaded of all targets, they would send their flows to the same one.
//
// A slow target that comes first gets the flow as a probe although the second is faster: its answer shows whether the target has recovered.
func lessLoaded(targets []*Target, hash uint64, now time.Duration, usable func(*Target) bool) (t *Target, probe bool) {
	first, second := topTwo(targets, hash, now, usable)
	switch {
	case second == nil || first.demand.isSpreading():
		return first, false
	case first.load.extra > 0 && second.load.extra == 0 && first.hasFreeSlot(now):
		return first, true
	case second.cost(now) < first.cost(now):
		return second, false
	}
	return first, false
}

// topTwo returns the first two targets of the flow's ranking by weighted rendezvous hashing, among those that usable
// accepts; a nil usable accepts all.
func topTwo(targets []*Target, hash uint64, now time.Duration, usable func(*Target) bool) (first, second *Target) {
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

// pending returns the number of requests that wait for the target, here and by the reports of other balancers.
func (t *Target) pending() float64 {
	return float64(t.load.pending) + float64(t.load.peers.Pending) + t.load.peersMean
}

// slots returns the number of requests that the target works on concurrently, reduced while it is cold.
func (t *Target) slots(now time.Duration) float64 {
	if t.isCold(now) {
		return coldWeight * float64(t.Capacity)
	}
	return float64(t.Capacity)
}

// cost returns the pending requests of the target per slot. Idle open flows do not count: a target that has just
// started has none, and would get all new flows that may go to it while it is still slow. A target that is slow compared with its service
// counts as having the pending requests with which a usual target would take as long.
func (t *Target) cost(now time.Duration) float64 {
	perSlot := t.pending() / t.slots(now)
	return perSlot + t.load.extra*(1+perSlot)
}

// score returns the rendezvous score of the target for a flow, weighted by its slots and speed.
func (t *Target) score(hash uint64, now time.Duration) float64 {
	return -t.slots(now) / t.probeDivisor() / math.Log(uniform(hash, t.seed))
}

// uniform returns a number between 0 and 1 that depends only on the flow's hash and the seed.
func uniform(hash, seed uint64) float64 { return (float64(flow.Mix(hash, seed)>>11) + 0.5) / (1 << 53) }
