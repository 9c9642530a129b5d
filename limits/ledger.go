package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// rotateAfter is how long a holder keeps its slots when there are fewer slots than holders with work. Shorter times
	// spend a larger part of a slot's time on moving it.
	rotateAfter = 250 * time.Millisecond
	// heldGap is how many more slots of the group a holder must have for one to be moved to another. A gap of one would
	// move a slot back and forth.
	heldGap = 2
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

// bulkLimit returns the slots that bulk work may use.
func (s LedgerSettings) bulkLimit() uint32 { return minus(s.Limit, s.ReservedUrgent) }

// Ledger grants the leases of one resource. It is used by one goroutine.
type Ledger struct {
	resource ResourceID
	settings LedgerSettings
	openAt   time.Duration
	entries  []*entry
}

// entry is what the ledger knows of one holder. When a holder restarts, the entry of its former life stays until its work
// is over.
type entry struct {
	from        membership.HostID
	incarnation uint64
	sequence    uint64
	round       uint32
	counted     slots // the most that the holder can have in use
	granted     slots // by the newest grant
	need        uint32
	needUrgent  uint32
	held        uint32
	coming      uint32 // slots under recall that are meant for this entry; only set within recall
	expires     time.Duration
	heldSince   time.Duration // since when the holder has the slots it has
	waitsSince  time.Duration // since when need is above what is granted
	former      bool          // a higher incarnation of the holder exists
	changed     bool          // the holder must be told
	answered    time.Duration // when a grant was last sent
	told        bool          // that others wait
}

// slots is a number of slots, and how many of them may be used for bulk work.
type slots struct{ all, bulk uint32 }

func (a slots) max(b slots) slots { return slots{max(a.all, b.all), max(a.bulk, b.bulk)} }

func (a slots) min(b slots) slots { return slots{min(a.all, b.all), min(a.bulk, b.bulk)} }

// minus returns a - b, or 0 when b is larger.
func minus(a, b uint32) uint32 {
	if b > a {
		return 0
	}
	return a - b
}

// NewLedger returns a ledger. With takeover set, another ledger may have granted leases up to now, so this one grants
// nothing for one Term; it already records what holders report.
func NewLedger(now time.Duration, resource ResourceID, settings LedgerSettings, takeover bool) *Ledger {
	l := &Ledger{resource: resource, settings: settings, openAt: now}
	if takeover {
		l.openAt = now + LeaseTerm
	}
	return l
}

// SetLimits changes what the ledger divides. A lower limit takes effect as holders give up or finish what they have.
func (l *Ledger) SetLimits(now time.Duration, settings LedgerSettings) []Grant {
	l.settings = settings
	return l.Tick(now)
}

// HandleRequest handles a request at time now and returns the grants to send.
func (l *Ledger) HandleRequest(now time.Duration, r Request) []Grant {
	if r.Resource != l.resource || r.KeepBulk > r.Keep {
		return nil
	}
	e := l.entryFor(now, r)
	if e == nil {
		return nil
	}
	e.sequence, e.round = r.Sequence, 0
	e.counted = slots{r.Keep, r.KeepBulk}
	e.granted = e.counted
	e.need, e.needUrgent, e.held = r.Need, min(r.NeedUrgent, r.Need), r.Held
	e.expires = now + LeaseTerm
	// A request that changes nothing is answered only when the lease needs to be renewed.
	e.changed = now-e.answered >= renewAfter/2
	if e.need <= e.granted.all {
		e.waitsSince = now
	}
	return l.Tick(now)
}

// entryFor returns the entry that a request updates, or nil when the request is old.
func (l *Ledger) entryFor(now time.Duration, r Request) *entry {
	for _, e := range l.entries {
		if e.former || e.from != r.From {
			continue
		}
		switch {
		case r.Incarnation < e.incarnation || (r.Incarnation == e.incarnation && r.Sequence <= e.sequence):
			return nil
		case r.Incarnation == e.incarnation:
			return e
		}
		e.former, e.granted, e.need, e.needUrgent = true, slots{}, 0, 0
	}
	e := &entry{from: r.From, incarnation: r.Incarnation, heldSince: now, waitsSince: now}
	l.entries = append(l.entries, e)
	return e
}

// ObserveLoad tells how many pieces of work the target itself had in progress at time at. It must come from a target whose
// reports are trusted.
func (l *Ledger) ObserveLoad(now, at time.Duration, inProgress uint32) []Grant {
	for _, e := range l.entries {
		if at-loadMargin > e.expires {
			e.counted = e.counted.min(slots{inProgress, inProgress})
		}
	}
	return l.Tick(now)
}

// Tick drops what has ended, divides free slots and returns the grants to send. It is due every 100 ms.
func (l *Ledger) Tick(now time.Duration) []Grant {
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		return now > e.expires+l.settings.Linger || (e.former && e.counted.all == 0)
	})
	for _, e := range l.entries {
		if now >= e.expires {
			e.granted, e.need, e.needUrgent = slots{}, 0, 0
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

// Outstanding returns how many slots count against the limit.
func (l *Ledger) Outstanding() uint32 { return l.counted().all }

func (l *Ledger) counted() slots {
	var sum slots
	for _, e := range l.entries {
		sum.all += e.counted.all
		sum.bulk += e.counted.bulk
	}
	return sum
}

// shrink lowers grants until they fit the limit, which holders can exceed together after a partition or when the limit
// was lowered.
func (l *Ledger) shrink() {
	for {
		var sum slots
		var most, mostBulk *entry
		for _, e := range l.entries {
			sum.all += e.granted.all
			sum.bulk += e.granted.bulk
			if most == nil || e.granted.all > most.granted.all {
				most = e
			}
			if mostBulk == nil || e.granted.bulk > mostBulk.granted.bulk {
				mostBulk = e
			}
		}
		switch {
		case sum.all > l.settings.Limit:
			most.lower()
		case sum.bulk > l.settings.bulkLimit():
			mostBulk.granted.bulk--
			mostBulk.changed = true
		default:
			return
		}
	}
}

// lower takes one slot from the grant of an entry.
func (e *entry) lower() {
	e.granted.all--
	e.granted.bulk = min(e.granted.bulk, e.granted.all)
	e.changed = true
}

// divide gives free slots one by one to the entry that needs one most.
func (l *Ledger) divide(now time.Duration) {
	for {
		sum := l.counted()
		freeBulk := minus(l.settings.bulkLimit(), sum.bulk)
		if sum.all >= l.settings.Limit {
			break
		}
		e := l.unmet(freeBulk > 0)
		if e == nil {
			break
		}
		e.granted.all++
		e.held++
		if freeBulk > 0 && e.lacksBulk() {
			e.granted.bulk++
		}
		e.counted = e.counted.max(e.granted)
		e.heldSince, e.changed = now, true
		if e.need <= e.granted.all {
			e.waitsSince = now
		}
	}
	l.allowBulk()
}

// allowBulk lets holders use slots that they have for bulk work while the reserve stays untouched: first those that need
// it, then, unless somebody waits, the others, so that they need not ask later.
func (l *Ledger) allowBulk() {
	for _, needed := range []bool{true, false} {
		if !needed && l.settings.ReservedUrgent > 0 && l.contended() {
			return
		}
		for _, e := range l.entries {
			for e.granted.bulk < e.granted.all && (!needed || e.lacksBulk()) && l.counted().bulk < l.settings.bulkLimit() {
				e.granted.bulk++
				e.counted = e.counted.max(e.granted)
				e.changed = true
			}
		}
	}
}

// contended reports whether a holder needs more than it has.
func (l *Ledger) contended() bool {
	return l.unmet(true) != nil || slices.ContainsFunc(l.entries, (*entry).lacksBulk)
}

func (e *entry) lacksBulk() bool { return e.need-e.needUrgent > e.granted.bulk }

// unmet returns the entry that most needs a slot, or nil. Without free slots for bulk work only urgent needs count.
func (l *Ledger) unmet(bulk bool) *entry {
	var best *entry
	for _, e := range l.entries {
		if e.need <= e.granted.all+e.coming || (!bulk && !e.lacksUrgent()) {
			continue
		}
		if best == nil || needier(e, best) < 0 {
			best = e
		}
	}
	return best
}

func (e *entry) lacksUrgent() bool { return e.needUrgent > e.granted.all+e.coming }

// needier orders entries that need more: urgent needs first, then by the slots held of the group, then by the time waited.
func needier(a, b *entry) int {
	return cmp.Or(compareBool(b.lacksUrgent(), a.lacksUrgent()), cmp.Compare(a.held+a.coming, b.held+b.coming),
		cmp.Compare(a.waitsSince, b.waitsSince), cmp.Compare(a.from, b.from))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// recall lowers grants of holders that have more than their part while others wait. The slots stay counted until the
// holders confirm. Slots that are already under recall are meant for the entries that need them most, so that no more are
// recalled than are missing.
func (l *Ledger) recall(now time.Duration) {
	for _, e := range l.entries {
		if now >= e.expires {
			continue
		}
		for range minus(e.counted.all, e.granted.all) {
			if needy := l.unmet(true); needy != nil {
				needy.coming++
			}
		}
	}
	for needy := l.unmet(true); needy != nil; needy = l.unmet(true) {
		victim := l.victim(now, needy)
		if victim == nil {
			break
		}
		needy.coming++
		victim.lower()
		victim.held = minus(victim.held, 1)
		victim.waitsSince, victim.heldSince = now, now
	}
	for _, e := range l.entries {
		e.coming = 0
	}
}

// Reasons to take a slot from a holder, the best one first.
const (
	surplus   = iota // it has more than it needs
	lessClass        // it has more than it needs for urgent work, and another one lacks slots for urgent work
	overShare        // it holds more of the group
	overTime         // it has held its slots for long, and another one has none
	noReason
)

// victim returns the entry to take a slot from for needy, or nil.
func (l *Ledger) victim(now time.Duration, needy *entry) *entry {
	var best *entry
	bestReason := noReason
	for _, e := range l.entries {
		if e == needy || e.granted.all == 0 {
			continue
		}
		reason := e.reasonToTake(now, needy)
		if reason < bestReason || (reason == bestReason && reason < noReason && e.held > best.held) {
			best, bestReason = e, reason
		}
	}
	return best
}

func (e *entry) reasonToTake(now time.Duration, needy *entry) int {
	urgentOnly := e.granted.all <= e.needUrgent
	switch {
	case e.granted.all > e.need:
		return surplus
	case needy.lacksUrgent() && !urgentOnly:
		return lessClass
	case urgentOnly && !needy.lacksUrgent():
		return noReason
	case e.held >= needy.held+needy.coming+heldGap:
		return overShare
	case needy.held+needy.coming == 0 && now-e.heldSince >= rotateAfter:
		return overTime
	}
	return noReason
}

func (l *Ledger) grants(now time.Duration) []Grant {
	contended := l.contended()
	var out []Grant
	for _, e := range l.entries {
		// A holder that does not know that others wait may keep an idle slot that it has not reported.
		mustTell := e.changed || contended != e.told && (e.granted.all > 0 || e.need > 0)
		if !mustTell || e.former || now >= e.expires {
			continue
		}
		e.changed, e.told, e.answered = false, contended, now
		e.round++
		out = append(out, Grant{
			Resource: l.resource, To: e.from, Incarnation: e.incarnation, Sequence: e.sequence, Round: e.round,
			Slots: e.granted.all, BulkSlots: e.granted.bulk, Contended: contended,
		})
	}
	return out
}
