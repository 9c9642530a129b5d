package control

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/admission"
	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// defaultLinger bounds how long work may continue after the end of its lease, for services without a deadline.
	defaultLinger = 30 * time.Second
	// ledgerInterval is how often ledgers remove ended leases and distribute free slots.
	ledgerInterval = 100 * time.Millisecond
)

// leases holds the ledgers that this balancer keeps, and the ledger settings and the ledger's owner for each resource of
// the bundle.
type leases struct {
	ledgers  map[limits.ResourceID]*limits.Ledger
	settings map[limits.ResourceID]limits.LedgerSettings
	owners   map[limits.ResourceID]membership.HostID
	nextTick time.Duration
}

func newLeases() leases {
	return leases{
		ledgers:  make(map[limits.ResourceID]*limits.Ledger),
		settings: make(map[limits.ResourceID]limits.LedgerSettings),
		owners:   make(map[limits.ResourceID]membership.HostID),
	}
}

// updateLedgers adapts the ledgers to a change of the owners or of the bundle.
func (l *Loop) updateLedgers() {
	b := l.rollout.InForce()
	if b == nil {
		return
	}
	l.leases.settings = make(map[limits.ResourceID]limits.LedgerSettings)
	for _, s := range b.ServiceInfos() {
		if s.Limits.SlotsPerTarget == 0 {
			continue
		}
		table := l.table(b, s)
		for _, t := range table.Targets {
			l.updateLedger(limits.SlotResource(l.cfg.Self.DataCentre, t.Addr), admission.SlotGroup(table), slotSettings(s))
		}
	}
	for r := range l.leases.owners {
		if _, found := l.leases.settings[r]; !found && l.cfg.Holder.Remove(r) {
			delete(l.leases.ledgers, r)
			delete(l.leases.owners, r)
		}
	}
}

func slotSettings(s *bundle.ServiceInfo) limits.LedgerSettings {
	return limits.LedgerSettings{
		Limit: uint32(s.Limits.SlotsPerTarget), ReservedUrgent: uint32(s.Limits.ReservedUrgentSlots),
		Linger: cmp.Or(s.Deadline, defaultLinger),
	}
}

// updateLedger sets the limits and the owner of a resource, and creates or deletes its ledger as the owner requires.
func (l *Loop) updateLedger(r limits.ResourceID, group limits.GroupID, settings limits.LedgerSettings) {
	l.leases.settings[r] = settings
	owner := ledgerOwner(l.owners.Members(), r)
	previous := l.leases.owners[r]
	l.leases.owners[r] = owner
	l.cfg.Holder.Set(limits.Resource{ID: r, Group: group, Limit: settings.Limit, Ledger: owner})
	if owner != l.cfg.Self.ID {
		delete(l.leases.ledgers, r)
		return
	}
	if ledger := l.leases.ledgers[r]; ledger != nil {
		l.sendGrants(ledger.SetLimits(l.now, settings))
		return
	}
	// Another member may have granted leases before, unless this balancer was alone from the start.
	takeover := previous != 0 || len(l.owners.Members()) > 1
	l.leases.ledgers[r] = limits.NewLedger(l.now, r, settings, takeover)
}

// ledgerOwner selects the member that keeps the ledger of a resource by rendezvous hashing. It returns 0 without members.
func ledgerOwner(members []membership.HostID, r limits.ResourceID) membership.HostID {
	var best membership.HostID
	var bestScore uint64
	for _, id := range members {
		if score := flow.Mix(uint64(id), uint64(r)); best == 0 || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

func (l *Loop) tickLedgers() {
	if l.now < l.leases.nextTick {
		return
	}
	l.leases.nextTick = l.now + ledgerInterval
	var grants []limits.Grant
	for _, ledger := range l.leases.ledgers {
		grants = append(grants, ledger.Tick(l.now)...)
	}
	l.sendGrants(grants)
}

// apply sends the copies and the lease requests that are due.
func (fastTick) apply(l *Loop) {
	l.sendCopies()
	byOwner := make(map[membership.HostID][]limits.Request)
	for _, s := range l.cfg.Holder.Tick(l.now) {
		r := s.Request
		r.Incarnation = cmp.Or(r.Incarnation, l.cfg.Self.Incarnation)
		byOwner[s.To] = append(byOwner[s.To], r)
	}
	for owner, requests := range byOwner {
		if owner == l.cfg.Self.ID {
			l.receiveLeaseRequests(owner, requests)
			continue
		}
		l.send(owner, &peer.LeaseRequest{Requests: requests})
	}
}

func (l *Loop) receiveLeaseRequests(from membership.HostID, requests []limits.Request) {
	var grants []limits.Grant
	for _, r := range requests {
		if ledger := l.leases.ledgers[r.Resource]; ledger != nil && r.From == from {
			grants = append(grants, ledger.HandleRequest(l.now, r)...)
		}
	}
	l.sendGrants(grants)
}

func (l *Loop) sendGrants(grants []limits.Grant) {
	byHolder := make(map[membership.HostID][]limits.Grant)
	for _, g := range grants {
		byHolder[g.To] = append(byHolder[g.To], g)
	}
	for holder, granted := range byHolder {
		if holder == l.cfg.Self.ID {
			l.receiveLeaseGrants(holder, granted)
			continue
		}
		l.send(holder, &peer.LeaseGrant{Grants: granted})
	}
}

// updateLedgerLoad passes the load that a target reports to its ledger, unless the target's reports are distrusted.
func (l *Loop) updateLedgerLoad(id flow.TargetID, at time.Duration, o health.Observation) {
	_, t, found := l.target(id)
	status, known := l.health.Status(l.now, id)
	if !found || !known || status.Distrusted != "" {
		return
	}
	if ledger := l.leases.ledgers[l.slotResource(t.Addr)]; ledger != nil {
		l.sendGrants(ledger.ObserveLoad(l.now, at, o.InFlight))
	}
}

func (l *Loop) slotResource(addr netip.Addr) limits.ResourceID {
	return limits.SlotResource(l.cfg.Self.DataCentre, addr)
}
