package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// copyGrace is how long a restored store must have answered before a record from its copy replaces a newer one that was known: a
	// target that has left is removed after three write intervals of 770 ms, and one that is alive has written again.
	copyGrace = 3 * time.Second
	// evacuationHold is how long an evacuation that a restored store lacks stays in force, so that the operator can request it again.
	evacuationHold = 5 * time.Second
	// maxKeptChanges bounds the kept records that are sent to a host that has all changes of the store.
	maxKeptChanges = 64
)

// Restoration describes what a directory knew and kept when it learned that the store was restored from a copy.
type Restoration struct {
	Before      Revision // last known revision of the earlier era
	Unlisted    int      // targets that the copy lacks
	Older       int      // targets of which the copy has an older record
	Evacuations int      // evacuations that the copy lacks
	// KnownVersion and Version are the versions of the configuration that was known and that of the copy, 0 for none.
	KnownVersion, Version uint64
	// Answered is the time since the store last answered in the earlier era.
	Answered time.Duration
}

// isOtherEra reports whether the records of a batch cannot be merged, because they are of another era than those that are known. A new
// era starts with a complete list.
func (d *Directory) isOtherEra(b *Batch) bool {
	era, known := b.Revision.Era(), d.revision.Era()
	return !b.Provisional && (era < known || era > known && d.complete && !b.Complete)
}

// startEra prepares for the first complete list of a new era. Answers of earlier eras prove nothing about what is missing from it.
func (d *Directory) startEra(b *Batch, now time.Duration, events []Event) []Event {
	if b.Provisional || b.Revision.Era() <= d.revision.Era() {
		return events
	}
	r := d.compareWithCopy(b)
	r.Before, r.Answered = d.revision, now-d.answeredAt
	for _, known := range d.targets {
		known.removedBefore = known.removed && d.presence(known, now) != Lapsed
	}
	d.answering, d.confirmedAt, d.keepsLost = false, never, true
	if !d.complete { // nothing was known for certain
		return events
	}
	return append(events, Event{Kind: StoreRestored, Revision: b.Revision, Restoration: r})
}

// compareWithCopy counts what is known and missing from the first list of a new era, or older in it.
func (d *Directory) compareWithCopy(b *Batch) *Restoration {
	r := &Restoration{}
	if d.configuration != nil {
		r.KnownVersion = d.configuration.Version
	}
	if b.Configuration != nil {
		r.Version = b.Configuration.Version
	}
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		c := &b.Changes[i]
		listed[c.Name] = true
		if known := d.targets[c.Name]; known != nil && c.Target != nil && compareRecords(c.Target, &known.target) < 0 {
			r.Older++
		}
	}
	for name, known := range d.targets {
		if !known.removed && !listed[name] {
			r.Unlisted++
		}
	}
	evacuated := make(map[string]bool, len(b.Evacuations))
	for _, e := range b.Evacuations {
		evacuated[e.DataCentre] = !e.Removed
	}
	for dataCentre, known := range d.evacuations {
		if !known.removed && !evacuated[dataCentre] {
			r.Evacuations++
		}
	}
	return r
}

// compareRecords orders the records of a target by the time at which it wrote them.
func compareRecords(a, b *Target) int {
	return cmp.Or(cmp.Compare(a.StartedMS, b.StartedMS), cmp.Compare(a.Sequence, b.Sequence))
}

// isSameRecord reports whether two records of a target differ at most in the remaining warm-up time.
func isSameRecord(a, b Target) bool {
	a.ColdFor, b.ColdFor = 0, 0
	return a == b
}

// keepKnown applies a record from a restored store that is not newer than the known one, from an earlier era. It returns false
// if the record is to be applied like any other.
func (r *targetState) keepKnown(c *Change) bool {
	if r.revision.Era() == c.Revision.Era() {
		return r.withheld != nil && compareRecords(c.Target, &r.target) < 0 && r.withhold(c)
	}
	order := compareRecords(c.Target, &r.target)
	if order > 0 {
		return false
	}
	if order < 0 || r.removed || r.obscured || !isSameRecord(*c.Target, r.target) {
		return r.withhold(c)
	}
	r.revision, r.withheld = c.Revision, nil
	return true
}

// withhold keeps the known record in force instead of the one in the store, until the store has answered for copyGrace.
func (r *targetState) withhold(c *Change) bool {
	r.revision, r.withheld = c.Revision, c.Target
	return true
}

// dropWithheld forgets the record in a restored store, which is removed or overwritten. A target that had left before is removed again:
// it may have been alive meanwhile.
func (r *targetState) dropWithheld() {
	if r.withheld != nil {
		r.withheld, r.removedBefore, r.removed = nil, r.removed, false
	}
}

// applyKept merges the record by which another host treats a target that has an older one in the restored store.
func (d *Directory) applyKept(c *Change, now time.Duration, events []Event) []Event {
	known := d.targets[c.Name]
	if c.Kept == nil || known == nil || known.revision != c.Revision || d.isCopySettled(now) {
		return events
	}
	order := compareRecords(&c.Kept.Target, &known.target)
	if order < 0 || order == 0 && (known.removed || !c.Kept.Removed && known.withheld != nil) {
		return events
	}
	if known.withheld == nil {
		known.withheld = &known.target
	}
	kept := &targetState{
		target: c.Kept.Target, revision: known.revision, coldUntil: known.coldUntil, withheld: known.withheld,
		removed: c.Kept.Removed, removedAt: now,
	}
	d.targets[c.Name], d.keepsLost = kept, true
	return append(events, Event{Kind: TargetChanged, Target: &kept.target, Revision: kept.revision})
}

// isCopySettled reports whether the store has answered for copyGrace, until of late: after a pause of this process the changes meanwhile
// are not known yet.
func (d *Directory) isCopySettled(now time.Duration) bool {
	return d.answering && now-d.answeringSince >= copyGrace && now-d.confirmedAt <= relistGrace
}

// KeepsLost reports whether the directory may hold targets or evacuations that a restored store has lost.
func (d *Directory) KeepsLost() bool { return d.keepsLost }

// holdsLost reports whether the directory holds targets or evacuations that a restored store has lost.
func (d *Directory) holdsLost() bool {
	for _, r := range d.targets {
		if r.withheld != nil {
			return true
		}
	}
	for _, e := range d.evacuations {
		if e.held {
			return true
		}
	}
	return false
}

// kept returns the record by which the target is treated instead of the one in the store, or nil.
func (r *targetState) kept() *KeptRecord {
	if r.withheld == nil {
		return nil
	}
	return &KeptRecord{Target: r.target, Removed: r.removed}
}

// Settle lets the directory follow a restored store again when it has answered for long enough that all who still need
// what it has lost have written it again. It returns what changed.
func (d *Directory) Settle(now time.Duration) []Event {
	if !d.keepsLost {
		return nil
	}
	var events []Event
	if d.isCopySettled(now) {
		events = d.adoptWithheld(now, events)
	}
	// The store must also have answered of late: after a pause of this process a request may not be known yet.
	if now-d.confirmedAt <= relistGrace {
		events = d.endHeldEvacuations(now, events)
	}
	d.keepsLost = d.holdsLost()
	return events
}

func (d *Directory) endHeldEvacuations(now time.Duration, events []Event) []Event {
	for _, dataCentre := range slices.Sorted(maps.Keys(d.evacuations)) {
		if e := d.evacuations[dataCentre]; e.held && now >= e.heldUntil {
			e.held = false
			events = d.setEvacuated(dataCentre, e, false, now, events)
		}
	}
	return events
}

// adoptWithheld puts the records in force that the store still has.
func (d *Directory) adoptWithheld(now time.Duration, events []Event) []Event {
	for _, name := range slices.Sorted(maps.Keys(d.targets)) {
		r := d.targets[name]
		if r.withheld == nil {
			continue
		}
		kind := TargetChanged
		if r.removed {
			kind = TargetListed
		}
		d.targets[name] = &targetState{target: *r.withheld, revision: r.revision, coldUntil: now + r.withheld.ColdFor}
		events = append(events, Event{Kind: kind, Target: r.withheld, Revision: r.revision})
	}
	return events
}
