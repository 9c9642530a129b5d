package forward

import (
	"slices"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// ReconcileExceptions checks the running flows of owned buckets whose default or eligible targets differ between two
// snapshots, for example when a bundle is staged, when it comes into force, or when a target is no longer eligible. It
// reports the flows that become exceptions under next to the sink and returns their number. Exceptions that are no longer
// needed are removed only when next holds the bundle in force, since a staged bundle may take effect at some balancers
// before others. With old nil it checks every flow.
func (e *Engine) ReconcileExceptions(old, next *Snapshot) (n int) { return e.update(old, next, true) }

// AddExceptions is ReconcileExceptions without the removal of exceptions.
func (e *Engine) AddExceptions(old, next *Snapshot) (n int) { return e.update(old, next, false) }

// update implements ReconcileExceptions and AddExceptions.
func (e *Engine) update(old, next *Snapshot, removeStale bool) (added int) {
	st := e.state.Load()
	if st == nil || next == nil || next.Bundle == nil {
		return 0
	}
	removeStale = removeStale && st.Bundle == next.Bundle
	services := changedServices(old, next)
	if len(services) == 0 {
		return 0
	}
	e.table.Range(func(en *flow.Entry) bool {
		k := en.Key()
		ep := next.Bundle.EndpointByID(k.Endpoint)
		if ep == nil || services[ep.Service.ID] == nil {
			return true
		}
		hash := k.Hash()
		b := ownership.BucketOf(hash)
		if !st.owns(b) || en.Epoch != st.epochs[b] {
			return true
		}
		e.resolveDeferred(st, &k, hash, en)
		if !en.State().Open() {
			return true
		}
		needs := services[ep.Service.ID].needsCopy(hash, en.Target)
		switch {
		case needs && !en.Has(flow.FlagException):
			en.Flags |= flow.FlagException
			e.sink.ExceptionAdded(b, Exception{Key: k, Target: en.Target})
			added++
		case !needs && en.Has(flow.FlagException) && removeStale:
			en.Flags &^= flow.FlagException
			e.sink.ExceptionRemoved(b, k)
		}
		return true
	})
	return added
}

// changedServices returns the services of next for which old may place a flow on another target. Computing a default
// target takes longer than the rest of the scan, so the flows of the other services are skipped.
func changedServices(old, next *Snapshot) map[flow.ServiceID]*service {
	out := make(map[flow.ServiceID]*service)
	for _, info := range next.Bundle.ServiceInfos() {
		ss := next.Services[info.ID]
		if ss == nil || old != nil && samePlacement(old.Services[info.ID], ss) {
			continue
		}
		sv := newService(info, ss)
		for i := range ss.Table.Targets {
			sv.targets[i] = &target{id: ss.Table.Targets[i].ID, service: sv, position: i}
		}
		out[info.ID] = sv
	}
	return out
}

// newService returns a service whose targets are not filled in yet.
func newService(info *bundle.ServiceInfo, ss *ServiceState) *service {
	short := info.Kind == bundle.KindShort
	replicated := !short || !info.Idempotent
	return &service{
		ServiceState: ss, id: info.ID, short: short, replicated: replicated, prefersDefault: replicated && info.Proto == flow.UDP,
		targets: make([]*target, len(ss.Table.Targets)),
	}
}

// samePlacement reports whether every flow has the same default target in both states and the same targets are eligible.
func samePlacement(a, b *ServiceState) bool {
	return a != nil && a.Info.Kind == b.Info.Kind && a.Info.Idempotent == b.Info.Idempotent && a.Info.Proto == b.Info.Proto &&
		sameDefaults(a.Table, b.Table) &&
		slices.EqualFunc(a.Targets, b.Targets, func(x, y TargetState) bool { return x.Eligible == y.Eligible })
}
