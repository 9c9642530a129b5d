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
	// yieldLoad is by how many waiting requests for each slot the first choice must be above the second one before the
	// second is taken. Smaller differences would give the copies of an opening packet that reach two balancers to two
	// targets.
	yieldLoad = 0.5
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

// pick returns the target of a new flow, or nil when the service has none.
func (v *View) pick(r *directory.Route, key FlowKey, now time.Duration) *Target {
	hash := key.hash()
	p := v.pools[service(r, hash)]
	if p == nil {
		return nil
	}
	if t := choose(p.local, hash, now, false); t != nil {
		return t
	}
	if t := choose(p.remote, hash, now, false); t != nil {
		return t
	}
	// Every target is suspect: a wrong suspicion must not empty a service.
	if t := choose(p.local, hash, now, true); t != nil {
		return t
	}
	return choose(p.remote, hash, now, true)
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

// choose ranks the targets by weighted rendezvous hashing and takes the first, unless it is clearly more loaded than
// the second.
func choose(targets []*Target, hash uint64, now time.Duration, suspects bool) *Target {
	var first, second *Target
	best, next := math.Inf(-1), math.Inf(-1)
	for _, t := range targets {
		if !suspects && t.load.suspect(now) {
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
	if second != nil && first.waiting() > second.waiting()+yieldLoad {
		return second
	}
	return first
}

// score is the rank of the target for a flow, weighted by its capacity.
func (t *Target) score(hash uint64, now time.Duration) float64 {
	weight := float64(t.Capacity)
	if t.isCold(now) {
		weight *= coldWeight
	}
	uniform := (float64(flow.Mix(hash, t.seed)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// waiting is the number of waiting requests for each slot, as far as this balancer has seen them.
func (t *Target) waiting() float64 { return float64(t.load.pending) / float64(t.Capacity) }
