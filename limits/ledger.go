package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// rotateAfter is how long a holder keeps a slot that others wait for when there are fewer slots than holders. Shorter
	// times spend a larger part of the slot's time on moving it.
	rotateAfter = 250 * time.Millisecond
	// loadMargin is how much later than the end of a lease a load must have been measured to count, to cover the time that
	// a report spends on the network.
	loadMargin = 500 * time.Millisecond
)

// LedgerSettings describe what a ledger divides.
type LedgerSettings struct {
	Limit          uint32
	ReservedUrgent uint32        // slots that bulk work never gets
	Linger         time.Duration // longest time that work goes on after its lease ended
}

// Ledger grants the leases of one resource. It is used by one goroutine.
type Ledger struct {
	resource ResourceID
	settings LedgerSettings
	openAt   time.Duration
	entries  []*entry
}

// entry is what the ledger knows of one holder and class. When a holder restarts, the entry of its former life stays
// until its work is over.
type entry struct {
	from        membership.HostID
	class       Class
	incarnation uint64
	sequence    uint64
	round       uint32
	counted     uint32 // the most slots that the holder can have in use
	granted     uint32 // by the newest grant
	inUse       uint32
	want        uint32
	expires     time.Duration
	heldSince   time.Duration // since when granted is above 0
	waitsSince  time.Duration // since when want is above granted
	former      bool          // a higher incarnation of the holder exists
	changed     bool          // the holder must be told
}

// NewLedger returns a ledger. With takeover set, another ledger may have granted leases up to now, so this one grants
// nothing for one Term; it already records what holders report.
func NewLedger(now time.Duration, resource ResourceID, settings LedgerSettings, takeover bool) *Ledger {
	l := &Ledger{resource: resource, settings: settings, openAt: now}
	if takeover {
		l.openAt = now + Term
	}
	return l
}

// SetLimits changes what the ledger divides. A lower limit takes effect as holders give up or finish what they have.
func (l *Ledger) SetLimits(now time.Duration, settings LedgerSettings) []Grant {
	l.settings = settings
	return l.Tick(now)
}

// Request handles a request at time now and returns the grants to send.
func (l *Ledger) Request(now time.Duration, r Request) []Grant {
	if r.Class >= classCount || r.Resource != l.resource {
		return nil
	}
	e := l.entryFor(now, r)
	if e == nil {
		return nil
	}
	e.sequence, e.round = r.Sequence, 0
	e.counted, e.inUse, e.want = max(r.Keep, r.InUse), r.InUse, r.Want
	e.granted = min(e.counted, e.want)
	e.expires = now + Term
	e.changed = true
	return l.Tick(now)
}

// entryFor returns the entry that a request updates, or nil when the request is old.
func (l *Ledger) entryFor(now time.Duration, r Request) *entry {
	for _, e := range l.entries {
		if e.former || e.from != r.From || e.class != r.Class {
			continue
		}
		switch {
		case r.Incarnation < e.incarnation || (r.Incarnation == e.incarnation && r.Sequence <= e.sequence):
			return nil
		case r.Incarnation == e.incarnation:
			return e
		}
		e.former, e.granted, e.want = true, 0, 0
	}
	e := &entry{from: r.From, class: r.Class, incarnation: r.Incarnation, heldSince: now, waitsSince: now}
	l.entries = append(l.entries, e)
	return e
}

// Load tells how many pieces of work the target itself had in progress at time at. It must come from a target whose
// reports are trusted.
func (l *Ledger) Load(now, at time.Duration, inProgress uint32) []Grant {
	for _, e := range l.entries {
		if at-loadMargin > e.expires {
			e.counted = min(e.counted, inProgress)
		}
	}
	return l.Tick(now)
}

// Tick drops what has ended, divides free slots and returns the grants to send. It is due every 100 ms.
func (l *Ledger) Tick(now time.Duration) []Grant {
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		return now > e.expires+l.settings.Linger || (e.former && e.counted == 0)
	})
	for _, e := range l.entries {
		if now >= e.expires {
			e.granted, e.want = 0, 0
		}
	}
	if now < l.openAt {
		return nil
	}
	l.shrink()
	l.divide(now)
	l.recall(now)
	return l.grants(now)
}

// free returns how many more slots can be counted for a class.
func (l *Ledger) free(c Class) uint32 {
	var all, bulk uint32
	for _, e := range l.entries {
		all += e.counted
		if e.class == Bulk {
			bulk += e.counted
		}
	}
	left := minus(l.settings.Limit, all)
	if c == Bulk {
		left = min(left, minus(minus(l.settings.Limit, l.settings.ReservedUrgent), bulk))
	}
	return left
}

// minus returns a - b, or 0 when b is larger.
func minus(a, b uint32) uint32 {
	if b > a {
		return 0
	}
	return a - b
}

// needier orders entries that want more: urgent before bulk, then by the slots held, then by the time waited.
func needier(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.granted, b.granted), cmp.Compare(a.waitsSince, b.waitsSince),
		cmp.Compare(a.from, b.from))
}

// unmet returns the entry that most needs a slot, or nil.
func (l *Ledger) unmet(canUse func(*entry) bool) *entry {
	var best *entry
	for _, e := range l.entries {
		if e.want > e.granted && canUse(e) && (best == nil || needier(e, best) < 0) {
			best = e
		}
	}
	return best
}

// shrink lowers grants until they fit the limit, which holders can exceed together after a partition or when the limit
// was lowered.
func (l *Ledger) shrink() {
	for _, c := range []Class{Bulk, Urgent} {
		for {
			var sum uint32
			var most *entry
			for _, e := range l.entries {
				if c == Bulk && e.class != Bulk {
					continue
				}
				sum += e.granted
				if e.granted > 0 && (most == nil || moreOver(e, most)) {
					most = e
				}
			}
			limit := l.settings.Limit
			if c == Bulk {
				limit = minus(limit, l.settings.ReservedUrgent)
			}
			if sum <= limit {
				break
			}
			most.granted--
			most.changed = true
		}
	}
}

// divide gives free slots one by one to the entry that needs one most.
func (l *Ledger) divide(now time.Duration) {
	for {
		e := l.unmet(func(e *entry) bool { return l.free(e.class) > 0 })
		if e == nil {
			return
		}
		if e.granted == 0 {
			e.heldSince = now
		}
		e.granted++
		e.counted = max(e.counted, e.granted)
		e.changed = true
		if e.want <= e.granted {
			e.waitsSince = now
		}
	}
}

// recall lowers grants of holders that have more than their part while others wait. The slots stay counted until the
// holders confirm, so that at most as many slots are under recall as are missing.
func (l *Ledger) recall(now time.Duration) {
	var missing, pending uint32
	for _, e := range l.entries {
		missing += minus(e.want, e.granted)
		if now < e.expires {
			pending += minus(e.counted, e.granted)
		}
	}
	for missing > pending {
		needy := l.unmet(func(*entry) bool { return true })
		victim := l.victim(now, needy)
		if victim == nil {
			return
		}
		victim.granted--
		victim.waitsSince, victim.heldSince = now, now
		victim.changed = true
		pending++
	}
}

// victim returns the entry to take a slot from for needy, or nil: first any bulk entry when needy is urgent, then an
// entry that holds at least two more slots, then one that has held its slots for rotateAfter while needy has none.
func (l *Ledger) victim(now time.Duration, needy *entry) *entry {
	var best *entry
	for _, e := range l.entries {
		if e == needy || e.granted == 0 || e.class < needy.class {
			continue
		}
		overClass := e.class > needy.class
		overShare := e.granted >= needy.granted+2
		overTime := needy.granted == 0 && now-e.heldSince >= rotateAfter
		if !overClass && !overShare && !overTime {
			continue
		}
		if best == nil || moreOver(e, best) {
			best = e
		}
	}
	return best
}

func moreOver(a, b *entry) bool {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.granted, b.granted), cmp.Compare(b.heldSince, a.heldSince)) > 0
}

func (l *Ledger) grants(now time.Duration) []Grant {
	var out []Grant
	for _, e := range l.entries {
		if !e.changed || e.former || now >= e.expires {
			continue
		}
		e.changed = false
		e.round++
		out = append(out, Grant{
			Resource: l.resource, Class: e.class, To: e.from, Incarnation: e.incarnation,
			Sequence: e.sequence, Round: e.round, Slots: e.granted,
		})
	}
	return out
}

// Counted returns how many slots count against the limit.
func (l *Ledger) Counted() uint32 {
	var all uint32
	for _, e := range l.entries {
		all += e.counted
	}
	return all
}
