package steer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Target is a target in a view.
type Target struct {
	directory.TargetEntry
	Token     directory.Token
	seed      uint64
	evacuated bool // its data centre is evacuated: it keeps its flows and gets no new ones
	// limitedUntil is until when an opening packet needs a permit, because the target is cold; 0 if it never does.
	limitedUntil  time.Duration
	coldPerSecond float64 // requests that it can handle per second while it is limited
	local         bool    // it is in the data centre of the balancer

	// load and demand are shared by all views and owned by the engine.
	load   *load
	demand *demand // of the service
	// permits are owned by the engine too; nil if the target is not limited or is in another data centre.
	permits *permits
}

// View is the immutable set of routes and targets by which packets are decided.
type View struct {
	Version  uint64
	routes   map[directory.Endpoint]*directory.Route
	tokens   map[directory.Token]*Target
	pools    map[string]*pool
	snapshot *directory.Snapshot

	dataCentre   string                        // of the balancer
	coldServices map[string]*directory.Service // services with a limit for cold targets; nil if there are none
	limited      []*Target                     // targets that are limited when the snapshot was taken
	cold         *ColdLimits                   // set by the engine; nil if no target is limited
}

// pool holds the targets of a service that may get new flows.
type pool struct {
	local  []*Target // in the data centre of the balancer
	remote []*Target
	// lapsed holds targets whose records disappeared while the store had trouble.
	lapsed []*Target
	// limitedUntil is until when some of the targets are limited, 0 if none are.
	limitedUntil time.Duration
	// handedOn is the part of the new flows that goes to other data centres. The engine sets it.
	handedOn float64
}

// minReadyShare is the share of a service's targets in a data centre below which lapsed targets get new flows too. When
// the store loses most records at once, the likely cause is the store or the connection to it, not the targets.
const minReadyShare = 0.5

// NewView builds a view of the snapshot for a balancer in the data centre.
func NewView(s *directory.Snapshot, dataCentre string) *View {
	v := &View{
		routes: map[directory.Endpoint]*directory.Route{}, tokens: make(map[directory.Token]*Target, len(s.Targets)),
		pools: map[string]*pool{}, snapshot: s, dataCentre: dataCentre,
	}
	if s.Configuration != nil {
		v.Version = s.Configuration.Version
		for i := range s.Configuration.Routes {
			r := &s.Configuration.Routes[i]
			v.routes[r.Endpoint] = r
		}
		v.addColdServices(s.Configuration)
	}
	for i := range s.Targets {
		v.add(&s.Targets[i], dataCentre)
	}
	for _, p := range v.pools {
		p.restoreLapsed(dataCentre)
	}
	return v
}

// add indexes a target by its token. Of two targets with the same token the one that started first keeps it, because
// its flows are open under that token; the other gets no flows until the first is forgotten.
func (v *View) add(k *directory.TargetEntry, dataCentre string) {
	t := &Target{
		TargetEntry: *k, Token: k.Token(), seed: xxhash.Sum64String(k.Name), evacuated: v.snapshot.Evacuated(k.DataCentre),
		local: k.DataCentre == dataCentre,
	}
	if other := v.tokens[t.Token]; other != nil {
		if !startedBefore(t, other) {
			return
		}
		v.removeFromPool(other)
	}
	v.tokens[t.Token] = t
	v.limit(t)
	p := v.pools[t.Service]
	if p == nil {
		p = &pool{}
		v.pools[t.Service] = p
	}
	p.limitedUntil = max(p.limitedUntil, t.limitedUntil)
	switch {
	case t.Presence == directory.Lapsed && !t.evacuated:
		p.lapsed = append(p.lapsed, t)
	case t.Presence != directory.Ready || t.evacuated:
	case t.DataCentre == dataCentre:
		p.local = append(p.local, t)
	default:
		p.remote = append(p.remote, t)
	}
}

func startedBefore(a, b *Target) bool {
	if a.StartedMS != b.StartedMS {
		return a.StartedMS < b.StartedMS
	}
	return a.Name < b.Name
}

func (v *View) removeFromPool(t *Target) {
	p := v.pools[t.Service]
	for _, list := range []*[]*Target{&p.local, &p.remote, &p.lapsed} {
		*list = slices.DeleteFunc(*list, func(other *Target) bool { return other == t })
	}
}

// restoreLapsed adds lapsed targets to those for new flows, here and in other data centres, where too few are ready.
func (p *pool) restoreLapsed(dataCentre string) {
	var local, remote []*Target
	for _, t := range p.lapsed {
		if t.DataCentre == dataCentre {
			local = append(local, t)
		} else {
			remote = append(remote, t)
		}
	}
	p.local, p.remote = withLapsed(p.local, local), withLapsed(p.remote, remote)
}

func withLapsed(ready, lapsed []*Target) []*Target {
	if float64(len(ready)) >= minReadyShare*float64(len(ready)+len(lapsed)) {
		return ready
	}
	return append(ready, lapsed...)
}

// Snapshot returns the snapshot from which the view was built.
func (v *View) Snapshot() *directory.Snapshot { return v.snapshot }

// Route returns the route of an endpoint, or nil when there is none.
func (v *View) Route(e directory.Endpoint) *directory.Route { return v.routes[e] }

// ServiceOf returns the service of the target with the token, or "" when there is none.
func (v *View) ServiceOf(t directory.Token) string {
	if target := v.tokens[t]; target != nil {
		return target.Service
	}
	return ""
}

// Resolve returns the target with the token, or nil when there is none.
func (v *View) Resolve(t directory.Token) *Target { return v.tokens[t] }

// isCold reports whether the target is still slow after its start.
func (t *Target) isCold(now time.Duration) bool { return now < t.ColdUntil }
