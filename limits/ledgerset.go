package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// LedgerOwner returns the member that owns the ledger of a resource by rendezvous hashing, or 0 without members.
func LedgerOwner(members []membership.HostID, r ResourceID) membership.HostID {
	var best membership.HostID
	var bestScore uint64
	for _, m := range members {
		if score := flow.Mix(uint64(m), uint64(r)); best == 0 || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// LedgerSet holds the ledgers that one host owns. It is used by one goroutine.
type LedgerSet struct {
	host      membership.HostID
	members   []membership.HostID
	resources map[ResourceID]LedgerSettings
	ledgers   map[ResourceID]*Ledger
}

// NewLedgerSet returns a set without ledgers.
func NewLedgerSet(host membership.HostID) *LedgerSet {
	return &LedgerSet{host: host, resources: make(map[ResourceID]LedgerSettings), ledgers: make(map[ResourceID]*Ledger)}
}

// SetMembers sets the members of the data centre that own buckets. It returns, by new owner, the Handover of each ledger that
// moves away, to be sent if the move is planned. A ledger that moves here grants nothing until its Handover arrives or one
// LeaseTerm has passed.
func (s *LedgerSet) SetMembers(now time.Duration, members []membership.HostID) map[membership.HostID][]Handover {
	s.members = slices.Clone(members)
	return s.assign(now)
}

// SetResources sets the limited resources of the bundle in force. It returns the grants to send after changed limits, and
// handovers as SetMembers does.
func (s *LedgerSet) SetResources(
	now time.Duration, resources map[ResourceID]LedgerSettings,
) ([]Grant, map[membership.HostID][]Handover) {
	s.resources = maps.Clone(resources)
	moved := s.assign(now)
	var grants []Grant
	for _, r := range s.sortedResources() {
		if l := s.ledgers[r]; l.settings != s.resources[r] {
			grants = append(grants, l.SetLimits(now, s.resources[r])...)
		}
	}
	return grants, moved
}

func (s *LedgerSet) assign(now time.Duration) map[membership.HostID][]Handover {
	moved := make(map[membership.HostID][]Handover)
	for _, r := range s.sortedResources() {
		_, limited := s.resources[r]
		owner := LedgerOwner(s.members, r)
		if limited && owner == s.host {
			continue
		}
		if limited && owner != 0 {
			moved[owner] = append(moved[owner], s.ledgers[r].exportState(now))
		}
		delete(s.ledgers, r)
	}
	for r, settings := range s.resources {
		if s.ledgers[r] == nil && LedgerOwner(s.members, r) == s.host {
			s.ledgers[r] = NewLedger(now, r, settings, true)
		}
	}
	return moved
}

// sortedResources returns the resources of the ledgers in a fixed order, so that runs with the same seed are identical.
func (s *LedgerSet) sortedResources() []ResourceID { return slices.Sorted(maps.Keys(s.ledgers)) }

// HandleRequest handles a request and returns the grants to send. It drops requests for ledgers that this host does not own;
// their senders learn the owner from the membership.
func (s *LedgerSet) HandleRequest(now time.Duration, r Request) []Grant {
	if l := s.ledgers[r.Resource]; l != nil {
		return l.HandleRequest(now, r)
	}
	return nil
}

// ObserveLoad passes a trusted load of a target to its ledger.
func (s *LedgerSet) ObserveLoad(now time.Duration, r ResourceID, at time.Duration, inProgress uint32) []Grant {
	if l := s.ledgers[r]; l != nil {
		return l.ObserveLoad(now, at, inProgress)
	}
	return nil
}

// AcceptHandover applies the handover of a ledger from its previous owner and returns the grants to send.
func (s *LedgerSet) AcceptHandover(now time.Duration, h Handover) []Grant {
	if l := s.ledgers[h.Resource]; l != nil {
		return l.importState(now, h)
	}
	return nil
}

// Tick calls Tick of every ledger and returns the grants to send. Callers call it every 100 ms.
func (s *LedgerSet) Tick(now time.Duration) []Grant {
	var grants []Grant
	for _, r := range s.sortedResources() {
		grants = append(grants, s.ledgers[r].Tick(now)...)
	}
	return grants
}

// Handover is the state of a ledger, for a planned move to another host. The previous owner grants nothing after it.
type Handover struct {
	Resource ResourceID
	Holders  []HolderState
}

// HolderState is the state of one holder in a Handover.
type HolderState struct {
	From                         membership.HostID
	Incarnation                  uint64
	Sequence                     uint64
	Round                        uint32
	Outstanding, OutstandingBulk uint32        // slots that count against the limit, and those of them for bulk work
	Granted, GrantedBulk         uint32        // slots of the newest grant, and those of them for bulk work
	ExpiresIn                    time.Duration // time until the lease ends; negative after its end
	Superseded                   bool
}

func (l *Ledger) exportState(now time.Duration) Handover {
	h := Handover{Resource: l.resource}
	for _, e := range l.entries {
		h.Holders = append(h.Holders, HolderState{
			From: e.from, Incarnation: e.incarnation, Sequence: e.sequence, Round: e.round, Superseded: e.superseded,
			Outstanding: e.outstanding.all, OutstandingBulk: e.outstanding.bulk,
			Granted: e.granted.all, GrantedBulk: e.granted.bulk, ExpiresIn: e.expires - now,
		})
	}
	return h
}

// importState adds the state of the previous owner and lets the ledger grant leases. Later requests of a holder take precedence
// over it. Because of the transit time of the handover, leases end later here than at their holders, which is safe.
func (l *Ledger) importState(now time.Duration, h Handover) []Grant {
	if now >= l.grantsFrom {
		return nil // the ledger may have granted these slots again
	}
	for _, s := range h.Holders {
		e := &holderEntry{
			from: s.From, incarnation: s.Incarnation, sequence: s.Sequence, round: s.Round, superseded: s.Superseded,
			outstanding: slots{s.Outstanding, s.OutstandingBulk}, granted: slots{s.Granted, s.GrantedBulk},
			expires: now + s.ExpiresIn, heldSince: now, waitingSince: now,
		}
		at := slices.IndexFunc(l.entries, func(x *holderEntry) bool { return x.from == s.From && !x.superseded })
		switch {
		case at < 0 || s.Superseded:
			l.entries = append(l.entries, e)
		case l.entries[at].incarnation > s.Incarnation:
			e.superseded, e.granted = true, slots{}
			l.entries = append(l.entries, e)
		case l.entries[at].incarnation < s.Incarnation || l.entries[at].sequence < s.Sequence:
			l.entries[at] = e
		}
	}
	l.grantsFrom = now
	return l.Tick(now)
}
