package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// LedgerOwner returns the member that keeps the ledger of a resource, by rendezvous hashing, or 0 without members.
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

// SetMembers takes the members of the data centre that own buckets. A ledger that moves away is returned, for a planned
// move, as the Handover to send to its new owner; a ledger that arrives grants nothing until its Handover or one Term has
// passed.
func (b *LedgerSet) SetMembers(now time.Duration, members []membership.HostID) map[membership.HostID][]Handover {
	b.members = slices.Clone(members)
	return b.assign(now)
}

// SetResources takes what the bundle in force limits, and returns grants that a changed limit leads to.
func (b *LedgerSet) SetResources(now time.Duration, resources map[ResourceID]LedgerSettings) ([]Grant, map[membership.HostID][]Handover) {
	b.resources = maps.Clone(resources)
	moved := b.assign(now)
	var grants []Grant
	for _, r := range b.sorted() {
		if l := b.ledgers[r]; l.settings != b.resources[r] {
			grants = append(grants, l.SetLimits(now, b.resources[r])...)
		}
	}
	return grants, moved
}

func (b *LedgerSet) assign(now time.Duration) map[membership.HostID][]Handover {
	moved := make(map[membership.HostID][]Handover)
	for _, r := range b.sorted() {
		_, limited := b.resources[r]
		owner := LedgerOwner(b.members, r)
		if limited && owner == b.host {
			continue
		}
		if limited && owner != 0 {
			moved[owner] = append(moved[owner], b.ledgers[r].handover(now))
		}
		delete(b.ledgers, r)
	}
	for r, settings := range b.resources {
		if b.ledgers[r] == nil && LedgerOwner(b.members, r) == b.host {
			b.ledgers[r] = NewLedger(now, r, settings, true)
		}
	}
	return moved
}

// sorted returns the resources of the ledgers in a fixed order, so that a seeded run repeats.
func (b *LedgerSet) sorted() []ResourceID { return slices.Sorted(maps.Keys(b.ledgers)) }

// HandleRequest handles a request. Requests for ledgers that this host does not own are dropped; their senders learn of the
// owner from the members.
func (b *LedgerSet) HandleRequest(now time.Duration, r Request) []Grant {
	if l := b.ledgers[r.Resource]; l != nil {
		return l.HandleRequest(now, r)
	}
	return nil
}

// ObserveLoad passes a trusted load of a target to its ledger.
func (b *LedgerSet) ObserveLoad(now time.Duration, r ResourceID, at time.Duration, inProgress uint32) []Grant {
	if l := b.ledgers[r]; l != nil {
		return l.ObserveLoad(now, at, inProgress)
	}
	return nil
}

// AcceptHandover takes over a ledger from its former owner.
func (b *LedgerSet) AcceptHandover(now time.Duration, h Handover) []Grant {
	if l := b.ledgers[h.Resource]; l != nil {
		return l.accept(now, h)
	}
	return nil
}

// Tick lets every ledger pass time. It is due every 100 ms.
func (b *LedgerSet) Tick(now time.Duration) []Grant {
	var grants []Grant
	for _, r := range b.sorted() {
		grants = append(grants, b.ledgers[r].Tick(now)...)
	}
	return grants
}

// Handover is what a ledger knows, for a planned move to another host. The former owner grants nothing after it.
type Handover struct {
	Resource ResourceID
	Holders  []HolderState
}

// HolderState is what a ledger knows of one holder.
type HolderState struct {
	From                         membership.HostID
	Incarnation                  uint64
	Sequence                     uint64
	Round                        uint32
	Outstanding, OutstandingBulk uint32        // slots that count against the limit; the bulk part
	Granted, GrantedBulk         uint32        // slots of the newest grant; the bulk part
	ExpiresIn                    time.Duration // time left until the lease ends; negative when it has
	Superseded                   bool
}

func (l *Ledger) handover(now time.Duration) Handover {
	h := Handover{Resource: l.resource}
	for _, e := range l.entries {
		h.Holders = append(h.Holders, HolderState{
			From: e.from, Incarnation: e.incarnation, Sequence: e.sequence, Round: e.round, Superseded: e.former,
			Outstanding: e.counted.all, OutstandingBulk: e.counted.bulk, Granted: e.granted.all, GrantedBulk: e.granted.bulk, ExpiresIn: e.expires - now,
		})
	}
	return h
}

// accept adds what the former owner knew and opens the ledger. What a holder itself has reported since is newer. The time
// that the handover spent on its way makes leases end later here than at the holder, which is the safe side.
func (l *Ledger) accept(now time.Duration, h Handover) []Grant {
	if now >= l.openAt {
		return nil // the ledger may have granted these slots anew
	}
	for _, s := range h.Holders {
		e := &entry{
			from: s.From, incarnation: s.Incarnation, sequence: s.Sequence, round: s.Round, former: s.Superseded,
			counted: slots{s.Outstanding, s.OutstandingBulk}, granted: slots{s.Granted, s.GrantedBulk}, expires: now + s.ExpiresIn,
			heldSince: now, waitsSince: now,
		}
		at := slices.IndexFunc(l.entries, func(x *entry) bool { return x.from == s.From && !x.former })
		switch {
		case at < 0 || s.Superseded:
			l.entries = append(l.entries, e)
		case l.entries[at].incarnation > s.Incarnation:
			e.former, e.granted = true, slots{}
			l.entries = append(l.entries, e)
		case l.entries[at].incarnation < s.Incarnation || l.entries[at].sequence < s.Sequence:
			l.entries[at] = e
		}
	}
	l.openAt = now
	return l.Tick(now)
}
