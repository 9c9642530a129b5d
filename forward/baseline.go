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

// Baseline holds the targets that determined the default targets of a bucket's flows when the bucket was first received
// without entries for them. Flows that have sent nothing since then are still on these defaults, even if other bundles
// have come into force. A balancer that hands the bucket over sends the baseline with the grant, unless the bundle in
// force gives the same defaults.
type Baseline struct {
	Services []BaselineService
	// Recent holds the targets of the bundles that were in force recently, for a balancer that has started since.
	Recent [][]BaselineService
	tables map[flow.ServiceID]*placement.Table
}

// BaselineService holds the targets of a service in the order of its bundle.
type BaselineService struct {
	Service flow.ServiceID
	Targets []BaselineTarget
}

// BaselineTarget holds the attributes of a target that the choice of a default target depends on.
type BaselineTarget struct {
	ID     flow.TargetID
	Weight uint32
	Drain  bool
}

// currentBaseline returns the targets of the bundle in force, or nil when there is none.
func currentBaseline(st *lookupState) *Baseline {
	if st.Bundle == nil {
		return nil
	}
	b := &Baseline{tables: make(map[flow.ServiceID]*placement.Table)}
	for id, sv := range st.services {
		b.tables[id] = sv.Table
	}
	return b
}

// table returns the targets that the baseline holds for a service, or nil when it holds none.
func (b *Baseline) table(sv *service) *placement.Table {
	if b == nil {
		return nil
	}
	return b.tables[sv.id]
}

// withMissingServices returns b completed from now with the services that the sender left out because their defaults
// had not changed.
func (b *Baseline) withMissingServices(now *Baseline) *Baseline {
	if now == nil {
		return b
	}
	out := &Baseline{tables: maps.Clone(now.tables)}
	maps.Copy(out.tables, b.tables)
	return out
}

// Baseline returns the baseline of a bucket for the balancer that the bucket is handed over to. It returns nil when the
// baseline gives every flow the same default as the bundle in force and no other bundle was in force recently.
func (e *Engine) Baseline(now time.Duration, b ownership.Bucket) *Baseline {
	st := e.state.Load()
	if st == nil || st.baselines[b] == nil {
		return nil
	}
	out := &Baseline{Services: st.differingServices(st.baselines[b])}
	for _, p := range e.history.list() {
		if services := st.differingServices(p.baseline); p.recent(now) && len(services) > 0 {
			out.Recent = append(out.Recent, services)
		}
	}
	if len(out.Services) == 0 && len(out.Recent) == 0 {
		return nil
	}
	return out
}

// differingServices returns the services for which b gives other defaults than the bundle in force.
func (st *lookupState) differingServices(b *Baseline) (out []BaselineService) {
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

// InstallBaseline installs the baseline of a bucket that this balancer is about to own, as received in a grant. Without
// it, the targets in force when the bucket is received become the baseline.
func (e *Engine) InstallBaseline(b ownership.Bucket, baseline *Baseline) {
	if baseline == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedBaselines[b] = newBaseline(baseline.Services)
	for _, services := range baseline.Recent {
		e.history.add(newBaseline(services))
	}
}

// newBaseline returns a baseline that consists of the given services.
func newBaseline(services []BaselineService) *Baseline {
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

// sameDefaults reports whether both tables give every flow the same default target.
func sameDefaults(a, b *placement.Table) bool {
	return a == b || slices.EqualFunc(a.Targets, b.Targets, func(x, y bundle.TargetInfo) bool {
		return x.ID == y.ID && x.Weight == y.Weight && x.Drain == y.Drain
	})
}

// baselineTarget returns the target that a running flow without an entry is on, or nil. Every flow that was opened since
// the bucket was received has an entry, and flows that were off their defaults at that time were received with the
// bucket. The flow is therefore on its default target according to the baseline of the bucket.
func (q *query) baselineTarget() *target {
	t, _ := q.st.baselineTarget(q.ep.service, q.bucket, q.hash)
	return t
}

// baselineTarget returns the target that a running flow without an entry is on, or nil. fromBaseline is false when the
// baseline has the same table for the service as the bundle in force, or none.
func (st *lookupState) baselineTarget(sv *service, b ownership.Bucket, hash uint64) (t *target, fromBaseline bool) {
	table := st.baselines[b].table(sv)
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

// Equal reports whether both baselines list the same targets.
func (b *Baseline) Equal(o *Baseline) bool {
	return equalServices(b.Services, o.Services) && slices.EqualFunc(b.Recent, o.Recent, equalServices)
}

func equalServices(a, b []BaselineService) bool {
	return slices.EqualFunc(a, b, func(x, y BaselineService) bool {
		return x.Service == y.Service && slices.Equal(x.Targets, y.Targets)
	})
}
