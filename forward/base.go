package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/placement"
)

// Baseline holds the targets that flows of a bucket had as defaults when the bucket was first received without entries for
// them. Flows that have been quiet since are on these defaults, whatever bundles have followed. A balancer that hands
// the bucket over passes the base on, unless the bundle in force gives the same defaults.
type Baseline struct {
	Services []BaselineService
	// Recent holds the targets of the bundles that were in force lately, for a balancer that has started since.
	Recent [][]BaselineService
	tables map[flow.ServiceID]*placement.Table
}

// BaselineService holds the targets of a service in the order of its bundle.
type BaselineService struct {
	Service flow.ServiceID
	Targets []BaselineTarget
}

// BaselineTarget is what the default target of a flow depends on.
type BaselineTarget struct {
	ID     flow.TargetID
	Weight uint32
	Drain  bool
}

// newBase returns the targets in force, or nil without a bundle.
func newBase(st *state) *Baseline {
	if st.Bundle == nil {
		return nil
	}
	b := &Baseline{tables: make(map[flow.ServiceID]*placement.Table)}
	for id, sv := range st.services {
		b.tables[id] = sv.Table
	}
	return b
}

// table returns the targets that the service had, or nil when it did not exist.
func (b *Baseline) table(sv *service) *placement.Table {
	if b == nil {
		return nil
	}
	return b.tables[sv.id]
}

// complete returns b with the tables of the services that it leaves out because they had the same defaults as now.
func (b *Baseline) complete(now *Baseline) *Baseline {
	if now == nil {
		return b
	}
	out := &Baseline{tables: maps.Clone(now.tables)}
	maps.Copy(out.tables, b.tables)
	return out
}

// Baseline returns the base of a bucket for the balancer that it is handed over to, or nil when it gives every flow the same
// default as the bundle in force, and no other was in force lately.
func (e *Engine) Baseline(now time.Duration, b ownership.Bucket) *Baseline {
	st := e.state.Load()
	if st == nil || st.bases[b] == nil {
		return nil
	}
	out := &Baseline{Services: st.differing(st.bases[b])}
	for _, p := range e.history.list() {
		if services := st.differing(p.base); p.recent(now) && len(services) > 0 {
			out.Recent = append(out.Recent, services)
		}
	}
	if len(out.Services) == 0 && len(out.Recent) == 0 {
		return nil
	}
	return out
}

// differing returns the services to which b gives other defaults than the bundle in force.
func (st *state) differing(b *Baseline) (out []BaselineService) {
	for id, sv := range st.services {
		table := b.tables[id]
		if table == nil || sameDefaults(table, sv.Table) {
			continue
		}
		s := BaselineService{Service: id}
		for i := range table.Targets {
			t := &table.Targets[i]
			s.Targets = append(s.Targets, BaselineTarget{ID: t.ID, Weight: t.Weight, Drain: t.Drain})
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y BaselineService) int { return cmp.Compare(x.Service, y.Service) })
	return out
}

// InstallBaseline takes the base of a bucket that this balancer is about to own, from a grant. Without it the targets in
// force when the bucket is received are the base.
func (e *Engine) InstallBaseline(b ownership.Bucket, base *Baseline) {
	if base == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[b] = baseOf(base.Services)
	for _, services := range base.Recent {
		e.history.add(baseOf(services))
	}
}

func baseOf(services []BaselineService) *Baseline {
	out := &Baseline{tables: make(map[flow.ServiceID]*placement.Table)}
	for _, s := range services {
		table := &placement.Table{}
		for _, t := range s.Targets {
			table.Targets = append(table.Targets, bundle.TargetInfo{ID: t.ID, Weight: t.Weight, Drain: t.Drain})
		}
		out.tables[s.Service] = table
	}
	return out
}

func sameDefaults(a, b *placement.Table) bool {
	return a == b || slices.EqualFunc(a.Targets, b.Targets, func(x, y bundle.TargetInfo) bool {
		return x.ID == y.ID && x.Weight == y.Weight && x.Drain == y.Drain
	})
}

// earlierTarget returns the target that a running connection without an entry is on, or nil. Every flow that was opened
// since the bucket was received has an entry, and flows off the defaults of then were received with it. The flow was
// therefore on its default target by the base of the bucket.
func (q *query) earlierTarget() *target {
	t, _ := q.st.earlierTarget(q.ep.service, q.bucket, q.hash)
	return t
}

// earlierTarget also reports whether the base decides, and not the bundle in force.
func (st *state) earlierTarget(sv *service, b ownership.Bucket, hash uint64) (t *target, earlier bool) {
	table := st.bases[b].table(sv)
	if table == nil || table == sv.Table {
		return sv.defaultTarget(hash), false
	}
	i := table.Default(hash)
	if i < 0 {
		return nil, true
	}
	t = st.target(table.Targets[i].ID)
	if t == nil || t.service != sv {
		return nil, true
	}
	return t, true
}

// Equal reports whether both bases list the same targets.
func (b *Baseline) Equal(o *Baseline) bool {
	return equalServices(b.Services, o.Services) && slices.EqualFunc(b.Recent, o.Recent, equalServices)
}

func equalServices(a, b []BaselineService) bool {
	return slices.EqualFunc(a, b, func(x, y BaselineService) bool {
		return x.Service == y.Service && slices.Equal(x.Targets, y.Targets)
	})
}
