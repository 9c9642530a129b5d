package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxEvacuations bounds the evacuations that are kept. Beyond it, those of data centres without targets are forgotten, the oldest first.
const maxEvacuations = 256

// Evacuation is the write or removal of the operator's request that a data centre's targets get no new flows.
type Evacuation struct {
	DataCentre string
	Revision   Revision // orders all changes of the store
	Removed    bool     // the request was taken back, or is not in the store
	// Hold is how much longer the request stays in force although a restored store has lost it; 0 if the store has not lost it.
	Hold time.Duration
}

// Validate reports whether the change names a data centre and has values in range.
func (e *Evacuation) Validate() error {
	if !validName(e.DataCentre) {
		return Error.New("evacuation of a data centre with a name of %d bytes", len(e.DataCentre))
	}
	if e.Hold < 0 || e.Hold > evacuationHold {
		return Error.New("hold %v of an evacuation is not between 0 and %v", e.Hold, evacuationHold)
	}
	return nil
}

// evacuationState is the state of a request that is or was in the store.
type evacuationState struct {
	revision  Revision
	removed   bool
	changedAt time.Duration
	held      bool          // in force although a restored store has lost the request
	heldUntil time.Duration // when a held one ends
}

// applyEvacuation merges one change. Changes that are older than the known one are ignored.
func (d *Directory) applyEvacuation(e *Evacuation, now time.Duration, events []Event) []Event {
	known := d.evacuations[e.DataCentre]
	switch {
	case e.Hold > 0:
		return d.applyHeldEvacuation(e, known, now, events)
	case known == nil && e.Removed: // a removal is kept so that a list that is older cannot bring the request back
		d.evacuations[e.DataCentre] = &evacuationState{revision: e.Revision, removed: true, changedAt: now}
		return events
	case known == nil:
		known = &evacuationState{removed: true}
		d.evacuations[e.DataCentre] = known
	case e.Revision <= known.revision:
		return events
	}
	if e.Removed && !known.removed && e.Revision.Era() > known.revision.Era() { // the sender holds it no longer, or never knew it
		known.hold(e.Revision, now+evacuationHold)
		return events
	}
	known.revision, known.held = e.Revision, false
	return d.setEvacuated(e.DataCentre, known, !e.Removed, now, events)
}

// applyHeldEvacuation merges an evacuation that another host keeps in force although the restored store has lost it.
func (d *Directory) applyHeldEvacuation(e *Evacuation, known *evacuationState, now time.Duration, events []Event) []Event {
	until := now + e.Hold
	switch {
	case known == nil:
		known = &evacuationState{removed: true}
		d.evacuations[e.DataCentre] = known
	case e.Revision < known.revision, e.Revision == known.revision && !known.removed:
		return events
	case e.Revision == known.revision && now-known.changedAt < evacuationHold:
		return events // it was held here too, and has ended
	}
	known.hold(e.Revision, until)
	d.keepsLost = true
	return d.setEvacuated(e.DataCentre, known, true, now, events)
}

// hold keeps an evacuation in force that the store has lost.
func (e *evacuationState) hold(revision Revision, until time.Duration) {
	e.revision, e.held, e.heldUntil = revision, true, until
}

// setEvacuated records whether a data centre is evacuated. It returns events with one more if that has changed.
func (d *Directory) setEvacuated(dataCentre string, known *evacuationState, evacuated bool, now time.Duration, events []Event) []Event {
	if known.removed == !evacuated {
		return events
	}
	known.removed, known.changedAt = !evacuated, now
	if !d.hasTargets(dataCentre) {
		return events
	}
	kind := EvacuationStarted
	if !evacuated {
		kind = EvacuationEnded
	}
	return append(events, Event{Kind: kind, DataCentre: dataCentre, Revision: known.revision})
}

// hasTargets reports whether targets of the data centre are known.
func (d *Directory) hasTargets(dataCentre string) bool {
	for _, r := range d.targets {
		if r.target.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// limitEvacuations forgets evacuations beyond maxEvacuations: a data centre that nobody knows may be a misspelled one, and any number
// of them must not crowd out the others or exceed a message between hosts.
func (d *Directory) limitEvacuations() {
	if len(d.evacuations) <= maxEvacuations {
		return
	}
	used := make(map[string]bool)
	for _, r := range d.targets {
		used[r.target.DataCentre] = true
	}
	var unused []string
	for dataCentre := range d.evacuations {
		if !used[dataCentre] {
			unused = append(unused, dataCentre)
		}
	}
	slices.SortFunc(unused, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.evacuations[a].revision, d.evacuations[b].revision), cmp.Compare(a, b))
	})
	for _, dataCentre := range unused[:min(len(unused), len(d.evacuations)-maxEvacuations)] {
		delete(d.evacuations, dataCentre)
	}
}

// removeUnlistedEvacuations ends the evacuations that are missing from a complete list, except those written after the list was read.
func (d *Directory) removeUnlistedEvacuations(b *Batch, now time.Duration, events []Event) []Event {
	listed := make(map[string]bool, len(b.Evacuations))
	for i := range b.Evacuations {
		listed[b.Evacuations[i].DataCentre] = true // even if the list marks it as removed
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(d.evacuations)) {
		known := d.evacuations[dataCentre]
		if listed[dataCentre] || known.removed || known.revision > b.Revision {
			continue
		}
		switch {
		case known.revision.Era() < b.Revision.Era():
			known.hold(b.Revision, now+evacuationHold)
		case !known.held: // the end of a held one is not in any list
			known.revision = b.Revision
			events = d.setEvacuated(dataCentre, known, false, now, events)
		}
	}
	return events
}

// evacuationsSince returns the held evacuations and the changes after a revision, or all if all is set, sorted by data centre.
func (d *Directory) evacuationsSince(after Revision, all bool, now time.Duration) []Evacuation {
	var changes []Evacuation
	for _, dataCentre := range slices.Sorted(maps.Keys(d.evacuations)) {
		e := d.evacuations[dataCentre]
		change := Evacuation{DataCentre: dataCentre, Revision: e.revision, Removed: e.removed || e.held}
		if e.held {
			change.Hold = max(e.heldUntil-now, 0)
		}
		if e.revision <= after && !all && change.Hold == 0 {
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

// pruneEvacuations deletes requests that were taken back so long ago that no list without that change can arrive.
func (d *Directory) pruneEvacuations(now time.Duration) {
	maps.DeleteFunc(d.evacuations, func(_ string, e *evacuationState) bool {
		if !e.removed || now-e.changedAt <= removedRetention {
			return false
		}
		d.removalsAfter = max(d.removalsAfter, e.revision)
		return true
	})
}

// EvacuationEntry is the state of an evacuation in a snapshot.
type EvacuationEntry struct {
	// Active reports that the data centre is evacuated. Otherwise the evacuation has ended.
	Active bool
	Since  time.Duration // when this directory learned of the start or the end
}

// evacuationEntries returns the evacuations of data centres that have targets.
func (d *Directory) evacuationEntries() map[string]EvacuationEntry {
	entries := make(map[string]EvacuationEntry)
	for _, r := range d.targets {
		if e := d.evacuations[r.target.DataCentre]; e != nil {
			entries[r.target.DataCentre] = EvacuationEntry{Active: !e.removed, Since: e.changedAt}
		}
	}
	return entries
}
