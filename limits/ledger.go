package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// minHoldTime is how long a holder keeps its slots when there are fewer slots than holders with work. With shorter times a
	// slot spends a larger part of its time on being moved.
	minHoldTime = 250 * time.Millisecond
	// minHeldGap is how many more slots of the group a holder must have than another one for a slot to be moved to that one. A
	// gap of one would move a slot back and forth.
	minHeldGap = 2
	// reportDelay is how long after the end of a lease a load must have been measured to count. It covers the time that a
	// report spends on the network.
	reportDelay = 500 * time.Millisecond
)

// LedgerSettings are the limits that a ledger enforces.
type LedgerSettings struct {
	Limit          uint32
	ReservedUrgent uint32        // slots that bulk work never gets
	Linger         time.Duration // longest time that work continues after its lease has ended
}

// bulkLimit returns the slots that bulk work may use.
func (s LedgerSettings) bulkLimit() uint32 { return saturatingSub(s.Limit, s.ReservedUrgent) }

// Ledger grants the leases of one resource. It is used by one goroutine.
type Ledger struct {
	resource   ResourceID
	settings   LedgerSettings
	grantsFrom time.Duration
	entries    []*holderEntry
}

// holderEntry is the ledger's state of one holder. After a restart of a holder, the entry of its previous incarnation stays
// until its work is over.
type holderEntry struct {
	from          membership.HostID
	incarnation   uint64
	sequence      uint64
	round         uint32
	outstanding   slots // the most slots that the holder can have in use
	granted       slots // slots of the newest grant
	need          uint32
	needUrgent    uint32
	held          uint32
	incoming      uint32 // recalled slots that are meant for this entry; set only within recall
	expires       time.Duration
	heldSince     time.Duration // since when the holder has had its slots
	waitingSince  time.Duration // since when need has exceeded the granted slots
	superseded    bool          // a later incarnation of the holder exists
	grantDue      bool          // a grant must be sent to the holder
	lastGrantAt   time.Duration // when a grant was last sent
	toldContended bool          // Contended of the last grant
}

// slots is a number of slots, and how many of them may be used for bulk work.
type slots struct{ all, bulk uint32 }

func (a slots) max(b slots) slots { return slots{max(a.all, b.all), max(a.bulk, b.bulk)} }

func (a slots) min(b slots) slots { return slots{min(a.all, b.all), min(a.bulk, b.bulk)} }

// saturatingSub returns a - b, or 0 if b is larger.
func saturatingSub(a, b uint32) uint32 {
	if b > a {
		return 0
	}
	return a - b
}

// NewLedger returns a ledger. With takeover set, another ledger may have granted leases until now, so this one grants nothing
// for one LeaseTerm, but records what holders report.
func NewLedger(now time.Duration, resource ResourceID, settings LedgerSettings, takeover bool) *Ledger {
	l := &Ledger{resource: resource, settings: settings, grantsFrom: now}
	if takeover {
		l.grantsFrom = now + LeaseTerm
	}
	return l
}

// SetLimits changes the limits and returns the grants to send. A lower limit takes effect as holders return or finish with
// their slots.
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
	e.outstanding = slots{r.Keep, r.KeepBulk}
	e.granted = e.outstanding
	e.need, e.needUrgent, e.held = r.Need, min(r.NeedUrgent, r.Need), r.Held
	e.expires = now + LeaseTerm
	// A request without changes is answered only when the lease must be renewed.
	e.grantDue = now-e.lastGrantAt >= renewInterval/2
	if e.need <= e.granted.all {
		e.waitingSince = now
	}
	return l.Tick(now)
}

// entryFor returns the entry that a request updates, or nil if the request is outdated.
func (l *Ledger) entryFor(now time.Duration, r Request) *holderEntry {
	for _, e := range l.entries {
		if e.superseded || e.from != r.From {
			continue
		}
		switch {
		case r.Incarnation < e.incarnation || (r.Incarnation == e.incarnation && r.Sequence <= e.sequence):
			return nil
		case r.Incarnation == e.incarnation:
			return e
		}
		e.superseded, e.granted, e.need, e.needUrgent = true, slots{}, 0, 0
	}
	e := &holderEntry{from: r.From, incarnation: r.Incarnation, heldSince: now, waitingSince: now}
	l.entries = append(l.entries, e)
	return e
}

// ObserveLoad applies a report of the target that inProgress pieces of work were in progress at time at, and returns the
// grants to send. The reports of the target must be trusted.
func (l *Ledger) ObserveLoad(now, at time.Duration, inProgress uint32) []Grant {
	for _, e := range l.entries {
		if at-reportDelay > e.expires {
			e.outstanding = e.outstanding.min(slots{inProgress, inProgress})
		}
	}
	return l.Tick(now)
}

// Tick drops expired state, allocates free slots and returns the grants to send. Callers call it every 100 ms.
func (l *Ledger) Tick(now time.Duration) []Grant {
	l.entries = slices.DeleteFunc(l.entries, func(e *holderEntry) bool {
		return now > e.expires+l.settings.Linger || (e.superseded && e.outstanding.all == 0)
	})
	for _, e := range l.entries {
		if now >= e.expires {
			e.granted, e.need, e.needUrgent = slots{}, 0, 0
		}
	}
	if now < l.grantsFrom {
		return nil
	}
	l.reduceToLimit()
	l.allocate(now)
	l.recall(now)
	return l.dueGrants(now)
}

// Outstanding returns the number of slots that count against the limit.
func (l *Ledger) Outstanding() uint32 { return l.outstanding().all }

func (l *Ledger) outstanding() slots {
	var sum slots
	for _, e := range l.entries {
		sum.all += e.outstanding.all
		sum.bulk += e.outstanding.bulk
	}
	return sum
}

// reduceToLimit reduces grants until they are within the limit. Together they can exceed it after a partition or after the
// limit was lowered.
func (l *Ledger) reduceToLimit() {
	for {
		var sum slots
		var most, mostBulk *holderEntry
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
			most.removeSlot()
		case sum.bulk > l.settings.bulkLimit():
			mostBulk.granted.bulk--
			mostBulk.grantDue = true
		default:
			return
		}
	}
}

// removeSlot removes one slot from the grant of an entry.
func (e *holderEntry) removeSlot() {
	e.granted.all--
	e.granted.bulk = min(e.granted.bulk, e.granted.all)
	e.grantDue = true
}

// allocate grants the free slots one by one, each to the entry that needs it most.
func (l *Ledger) allocate(now time.Duration) {
	for {
		sum := l.outstanding()
		freeBulk := saturatingSub(l.settings.bulkLimit(), sum.bulk)
		if sum.all >= l.settings.Limit {
			break
		}
		e := l.neediest(freeBulk > 0)
		if e == nil {
			break
		}
		e.granted.all++
		e.held++
		if freeBulk > 0 && e.lacksBulk() {
			e.granted.bulk++
		}
		e.outstanding = e.outstanding.max(e.granted)
		e.heldSince, e.grantDue = now, true
		if e.need <= e.granted.all {
			e.waitingSince = now
		}
	}
	l.allowBulk()
}

// allowBulk permits holders to use their slots for bulk work as far as the reserve allows: first the holders that need it and
// then, unless the resource is contended, the others, which saves them a later request.
func (l *Ledger) allowBulk() {
	for _, needed := range []bool{true, false} {
		if !needed && l.settings.ReservedUrgent > 0 && l.contended() {
			return
		}
		for _, e := range l.entries {
			for e.granted.bulk < e.granted.all && (!needed || e.lacksBulk()) && l.outstanding().bulk < l.settings.bulkLimit() {
				e.granted.bulk++
				e.outstanding = e.outstanding.max(e.granted)
				e.grantDue = true
			}
		}
	}
}

// contended reports whether a holder needs more slots than it was granted.
func (l *Ledger) contended() bool {
	return l.neediest(true) != nil || slices.ContainsFunc(l.entries, (*holderEntry).lacksBulk)
}

func (e *holderEntry) lacksBulk() bool { return e.need-e.needUrgent > e.granted.bulk }

// neediest returns the entry that needs a slot most, or nil. With bulk unset, only needs for urgent work count.
func (l *Ledger) neediest(bulk bool) *holderEntry {
	var best *holderEntry
	for _, e := range l.entries {
		if e.need <= e.granted.all+e.incoming || (!bulk && !e.lacksUrgent()) {
			continue
		}
		if best == nil || compareNeed(e, best) < 0 {
			best = e
		}
	}
	return best
}

func (e *holderEntry) lacksUrgent() bool { return e.needUrgent > e.granted.all+e.incoming }

// compareNeed orders entries that need slots: urgent needs first, then fewer slots held of the group, then longer waits.
func compareNeed(a, b *holderEntry) int {
	return cmp.Or(compareBool(b.lacksUrgent(), a.lacksUrgent()), cmp.Compare(a.held+a.incoming, b.held+b.incoming),
		cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.from, b.from))
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

// recall reduces the grants of holders with more than their share while others need slots. Recalled slots stay outstanding
// until their holders confirm. They are set off against the needs of the neediest entries, so that no more slots are recalled
// than are missing.
func (l *Ledger) recall(now time.Duration) {
	for _, e := range l.entries {
		if now >= e.expires {
			continue
		}
		for range saturatingSub(e.outstanding.all, e.granted.all) {
			if receiver := l.neediest(true); receiver != nil {
				receiver.incoming++
			}
		}
	}
	for receiver := l.neediest(true); receiver != nil; receiver = l.neediest(true) {
		victim := l.victim(now, receiver)
		if victim == nil {
			break
		}
		receiver.incoming++
		victim.removeSlot()
		victim.held = saturatingSub(victim.held, 1)
		victim.waitingSince, victim.heldSince = now, now
	}
	for _, e := range l.entries {
		e.incoming = 0
	}
}

// Reasons to recall a slot from a holder, in descending priority.
const (
	recallSurplus    = iota // the holder has more slots than it needs
	recallLowerClass        // it has more than it needs for urgent work, and the receiver lacks slots for urgent work
	recallOverShare         // it holds more slots of the group than the receiver
	recallOverTime          // it has held its slots for minHoldTime, and the receiver has none
	recallNone
)

// victim returns the entry to recall a slot from for receiver, or nil.
func (l *Ledger) victim(now time.Duration, receiver *holderEntry) *holderEntry {
	var best *holderEntry
	bestReason := recallNone
	for _, e := range l.entries {
		if e == receiver || e.granted.all == 0 {
			continue
		}
		reason := e.recallReason(now, receiver)
		if reason < bestReason || (reason == bestReason && reason < recallNone && e.held > best.held) {
			best, bestReason = e, reason
		}
	}
	return best
}

func (e *holderEntry) recallReason(now time.Duration, receiver *holderEntry) int {
	urgentOnly := e.granted.all <= e.needUrgent
	switch {
	case e.granted.all > e.need:
		return recallSurplus
	case receiver.lacksUrgent() && !urgentOnly:
		return recallLowerClass
	case urgentOnly && !receiver.lacksUrgent():
		return recallNone
	case e.held >= receiver.held+receiver.incoming+minHeldGap:
		return recallOverShare
	case receiver.held+receiver.incoming == 0 && now-e.heldSince >= minHoldTime:
		return recallOverTime
	}
	return recallNone
}

// dueGrants returns the grants that are new to their holders.
func (l *Ledger) dueGrants(now time.Duration) []Grant {
	contended := l.contended()
	var out []Grant
	for _, e := range l.entries {
		// A holder that is not informed of contention may keep an idle slot that it has not reported.
		mustSend := e.grantDue || contended != e.toldContended && (e.granted.all > 0 || e.need > 0)
		if !mustSend || e.superseded || now >= e.expires {
			continue
		}
		e.grantDue, e.toldContended, e.lastGrantAt = false, contended, now
		e.round++
		out = append(out, Grant{
			Resource: l.resource, To: e.from, Incarnation: e.incarnation, Sequence: e.sequence, Round: e.round,
			Slots: e.granted.all, BulkSlots: e.granted.bulk, Contended: contended,
		})
	}
	return out
}
