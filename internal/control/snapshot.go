package control

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/placement"
)

// publish publishes a snapshot of the current control state to the traffic goroutines.
func (l *Loop) publish() {
	previous := l.cfg.Engine.Snapshot()
	l.snapshotStale = false
	l.cfg.Engine.Publish(l.snapshot(l.rollout.InForce()))
	if l.copiesStale {
		l.copiesStale = false
		l.updateCopies(previous)
	}
}

// updateCopies adapts the copies to a change of default or eligible targets. While copies for two bundles are kept, none
// is removed.
func (l *Loop) updateCopies(previous *forward.Snapshot) {
	if l.dropCopiesAt != 0 {
		l.cfg.Engine.AddExceptions(previous, l.cfg.Engine.Snapshot())
		return
	}
	l.cfg.Engine.ReconcileExceptions(previous, l.cfg.Engine.Snapshot())
}

// snapshot returns a snapshot of the control state with the given bundle, which may be nil.
func (l *Loop) snapshot(b *bundle.Bundle) *forward.Snapshot {
	status := l.rollout.Status(l.now)
	s := &forward.Snapshot{
		Self: l.cfg.Self.ID, Incarnation: l.members.Self().Incarnation, DataCentre: l.cfg.Self.DataCentre,
		Bundle: b, Behind: status.Behind, CurrentPeer: status.CurrentPeer,
		Map: l.owners, Buckets: l.handover.States(),
		Peers:               make(map[membership.HostID]netip.AddrPort),
		PeerAddrs:           make(map[netip.Addr]membership.HostID),
		Services:            make(map[flow.ServiceID]*forward.ServiceState),
		TargetAddrs:         make(map[netip.Addr]*bundle.ServiceInfo),
		Retired:             make(map[flow.TargetID]forward.RetiredTarget, len(l.retired)),
		PossiblyPartitioned: l.possiblyPartitioned(),
		LostRecently:        l.lostRecently(),
		Fenced:              l.refreshingView, Stopping: l.lifecycle.leaving,
	}
	for _, m := range l.peers() {
		s.Peers[m.ID] = m.Data
		s.PeerAddrs[m.Data.Addr()] = m.ID
	}
	for id, r := range l.retired {
		s.Retired[id] = r
	}
	if b != nil {
		l.addServices(s)
	}
	return s
}

// addServices adds the services of the snapshot's bundle.
func (l *Loop) addServices(s *forward.Snapshot) {
	for _, info := range s.Bundle.ServiceInfos() {
		table := l.table(s.Bundle, info)
		s.Services[info.ID] = &forward.ServiceState{
			Info: info, Table: table, Strategy: l.strategy(info), Targets: l.health.States(l.now, info.ID, nil),
			ConnectionLimit: l.connectionLimit(info),
		}
		if len(s.Services[info.ID].Targets) != len(table.Targets) {
			s.Services[info.ID].Targets = defaultTargetStates(len(table.Targets)) // of a staged bundle, unknown to the health tracker
		}
		for _, t := range table.Targets {
			s.TargetAddrs[t.Addr] = info
		}
	}
}

// connectionLimit returns this balancer's share of the connection limit of a service's targets, 0 for no limit.
func (l *Loop) connectionLimit(info *bundle.ServiceInfo) int {
	n := max(len(l.owners.Members()), 1)
	return (info.Limits.ConnectionsPerTarget + n - 1) / n
}

// defaultTargetStates returns states for n targets whose health is not tracked: eligible, with a full share.
func defaultTargetStates(n int) []forward.TargetState {
	states := make([]forward.TargetState, n)
	for i := range states {
		states[i] = forward.TargetState{Eligible: true, Usable: true, Share: 1}
	}
	return states
}

// table returns the placement table of a service. The tables of the bundle that was last asked for are cached.
func (l *Loop) table(b *bundle.Bundle, info *bundle.ServiceInfo) *placement.Table {
	if l.tables.bundle != b {
		l.tables = tableCache{bundle: b, tables: make(map[flow.ServiceID]*placement.Table)}
	}
	t := l.tables.tables[info.ID]
	if t == nil {
		t = placement.NewTable(info, l.cfg.Self.DataCentre)
		l.tables.tables[info.ID] = t
	}
	return t
}

// tableCache holds the placement tables of one bundle.
type tableCache struct {
	bundle *bundle.Bundle
	tables map[flow.ServiceID]*placement.Table
}

// strategy returns the placement strategy of a service. The validation of bundles admits known strategy names only, so
// that the fallback to HRW is not reached.
func (l *Loop) strategy(info *bundle.ServiceInfo) placement.Strategy {
	s, err := placement.ByName(info.Placement.Strategy, info.Placement.LoadFactor)
	if err != nil {
		return placement.HRW{}
	}
	return s
}
