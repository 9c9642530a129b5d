package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// removedRetention is how long a removed target is kept so that packets of its open flows can be forwarded: the longest
	// lifetime of a flow.
	removedRetention = 60 * time.Second
	// relistGrace is how long the record of a live target may be missing after a store failure: live targets are listed
	// again about 2 s after the store recovers.
	relistGrace = 2500 * time.Millisecond
)

// Presence is the availability of a target according to a snapshot.
type Presence uint8

// Values of Presence, from the most to the least usable one.
const (
	Ready    Presence = iota // accepts new flows
	Draining                 // keeps its flows and accepts no new ones
	Obscured                 // its last record is unusable: it keeps its flows and gets no new ones until the next usable record
	Lapsed                   // its record disappeared during a store failure; the target may be alive
	Departed                 // its record was removed; datagrams of its flows are still sent to it
	Gone                     // has certainly terminated: its flows can be reset
)

var presenceNames = [...]string{"ready", "draining", "obscured", "lapsed", "departed", "gone"}

// String returns the name used in logs.
func (p Presence) String() string { return presenceNames[p] }

// targetState is the state of a target that is or was listed in the store.
type targetState struct {
	target        Target
	revision      Revision
	coldUntil     time.Duration
	obscured      bool // the last record before a removal was unusable
	removed       bool
	removedAt     time.Duration
	removedBefore bool // it had left before the store was restored from a copy, and was not taken for alive
	// withheld is the record in a restored store, if target is a newer one that the store has lost.
	withheld *Target
}

// Directory holds the configuration and targets read from the store. It is not safe for concurrent use. Times are readings
// of a monotonic clock.
type Directory struct {
	configuration  *Configuration
	targets        map[string]*targetState
	evacuations    map[string]*evacuationState // by data centre
	revision       Revision                    // all changes up to it are known
	complete       bool                        // a full list has been applied
	provisional    bool                        // a list that may be stale in parts has been applied
	answeredAt     time.Duration
	confirmedAt    time.Duration // send time of the last read whose response brought this directory up to date
	answeringSince time.Duration // start of the current run of successful reads
	answering      bool
	// removalsAfter is the revision after which all removals are known: earlier ones were pruned, or are only missing from a list.
	removalsAfter Revision
	keepsLost     bool // a restored store may have lost targets or evacuations that are held here
}

// never is earlier than any reading of a monotonic clock, and far enough from the minimum that differences do not overflow.
const never time.Duration = math.MinInt64 / 4

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		targets: map[string]*targetState{}, evacuations: map[string]*evacuationState{}, answeredAt: never, confirmedAt: never,
	}
}

// Revision returns the revision up to which every change is known.
func (d *Directory) Revision() Revision { return d.revision }

// Ready reports whether a configuration and a list of targets, complete or provisional, have been applied.
func (d *Directory) Ready() bool { return (d.complete || d.provisional) && d.configuration != nil }

// Complete reports whether a configuration and a complete list of targets have been applied. A provisional list does not count.
func (d *Directory) Complete() bool { return d.complete && d.configuration != nil }

// Configuration returns the newest configuration, or nil.
func (d *Directory) Configuration() *Configuration { return d.configuration }

// Age returns the time since the store last answered, and false while no complete list has been applied.
func (d *Directory) Age(now time.Duration) (time.Duration, bool) {
	return now - d.answeredAt, d.complete
}

// StoreAnswered records that the store answered a read, whatever the response contained.
func (d *Directory) StoreAnswered(now time.Duration) {
	if !d.answering {
		d.answering, d.answeringSince = true, now
	}
	d.answeredAt = max(d.answeredAt, now)
}

// StoreConfirmed records that all changes are known that the store had when a read was sent at sentAt.
func (d *Directory) StoreConfirmed(sentAt time.Duration) { d.confirmedAt = max(d.confirmedAt, sentAt) }

// StoreFailed records that the store did not answer a read.
func (d *Directory) StoreFailed() { d.answering = false }

// StoreReportedByPeer records the freshness of another host: the store last answered it at answered, its last read that
// left nothing unknown was sent at confirmed, and the store had answered every read during steady before that.
func (d *Directory) StoreReportedByPeer(answered, confirmed, steady time.Duration) {
	d.answeredAt = max(d.answeredAt, answered)
	if confirmed <= d.confirmedAt {
		return
	}
	d.confirmedAt = confirmed
	if since := confirmed - steady; !d.answering || since > d.answeringSince {
		d.answering, d.answeringSince = true, since
	}
}

// Confirmed returns the time since the last read was sent whose response brought this directory up to date, and for how
// long the store had answered every read before that.
func (d *Directory) Confirmed(now time.Duration) (age, steady time.Duration) {
	if !d.answering {
		return now - d.confirmedAt, 0
	}
	return now - d.confirmedAt, max(d.confirmedAt-d.answeringSince, 0)
}

// ChangesSince returns the changes after a revision, for another host. They include removed targets, so that the other host
// can forward packets of their open flows, and what a restored store has lost. A host gets everything if it is of another era, or behind
// removals that are no longer known here.
func (d *Directory) ChangesSince(after Revision, now time.Duration) Batch {
	b := Batch{
		Revision: d.revision,
		Complete: d.complete && (after == 0 || after < d.removalsAfter || after.Era() != d.revision.Era()),
	}
	if c := d.configuration; c != nil && (c.Revision > after || b.Complete) {
		b.Configuration = c
	}
	resent := 0 // records that the other host may know already
	for name, r := range d.targets {
		if r.revision > after || b.Complete {
			b.Changes = append(b.Changes, r.change(name))
		} else if r.withheld != nil && resent < maxKeptChanges {
			b.Changes = append(b.Changes, r.change(name))
			resent++
		}
	}
	b.Evacuations = d.evacuationsSince(after, b.Complete, now)
	return b
}

// change describes the target to another host.
func (r *targetState) change(name string) Change {
	if r.withheld != nil {
		return Change{Name: name, Revision: r.revision, Kept: r.kept(), Target: r.withheld}
	}
	return Change{Name: name, Revision: r.revision, Removed: r.removed, Unusable: r.obscured, Target: &r.target}
}

// Event describes a change of the directory, for the log.
type Event struct {
	Kind       EventKind
	Target     *Target
	DataCentre string // of an evacuation
	Revision   Revision
	Version    uint64 // of the configuration
	// Restoration is set for StoreRestored.
	Restoration *Restoration
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	TargetListed EventKind = iota
	TargetChanged
	TargetRestarted
	TargetObscured
	TargetRemoved
	ConfigurationAccepted
	ConfigurationStale
	EvacuationStarted
	EvacuationEnded
	StoreRestored
)

var eventNames = [...]string{
	"target-listed", "target-changed", "target-restarted", "target-obscured", "target-removed", "configuration-accepted", "configuration-stale",
	"evacuation-started", "evacuation-ended", "store-restored",
}

// String returns the name used in logs.
func (k EventKind) String() string { return eventNames[k] }

// Apply merges a batch and returns what changed. Records and configurations older than the known ones are ignored, so that
// batches from several sources may arrive in any order. Of a batch of an earlier era only the configuration is used.
func (d *Directory) Apply(b Batch, now time.Duration) []Event {
	if b.Provisional && d.complete {
		return nil
	}
	d.provisional = d.provisional || b.Provisional
	var events []Event
	if !d.isOtherEra(&b) {
		events = d.startEra(&b, now, events)
	}
	if b.Configuration != nil {
		events = d.applyConfiguration(b.Configuration, events)
	}
	if d.isOtherEra(&b) {
		return events
	}
	for i := range b.Changes {
		events = d.applyChange(&b.Changes[i], now, events)
		events = d.applyKept(&b.Changes[i], now, events)
	}
	for i := range b.Evacuations {
		events = d.applyEvacuation(&b.Evacuations[i], now, events)
	}
	if b.Complete {
		events = d.removeUnlistedEvacuations(&b, now, events)
		events = d.removeUnlisted(&b, now, events)
		d.complete, d.removalsAfter = true, max(d.removalsAfter, b.Revision)
	}
	d.limitEvacuations()
	d.revision = max(d.revision, b.Revision)
	return events
}

// applyConfiguration ignores earlier versions: a stale replica may answer a read.
func (d *Directory) applyConfiguration(c *Configuration, events []Event) []Event {
	if d.configuration != nil && c.Version <= d.configuration.Version {
		if c.Version < d.configuration.Version {
			events = append(events, Event{Kind: ConfigurationStale, Version: c.Version, Revision: c.Revision})
		}
		return events
	}
	d.configuration = c
	return append(events, Event{Kind: ConfigurationAccepted, Version: c.Version, Revision: c.Revision})
}

func (d *Directory) applyChange(c *Change, now time.Duration, events []Event) []Event {
	known := d.targets[c.Name]
	if known != nil && c.Revision <= known.revision {
		return events
	}
	if known == nil && c.Kept != nil && c.Revision <= d.revision {
		return events // sent again by a host that does not know of the removal
	}
	if c.Removed || c.Unusable {
		return d.applyWithoutRecord(c, known, now, events)
	}
	if known != nil && known.keepKnown(c) {
		return events
	}
	kind := TargetListed
	if known != nil && !known.removed {
		kind = TargetChanged
		if known.target.StartedMS != c.Target.StartedMS {
			kind = TargetRestarted
		}
	}
	d.targets[c.Name] = &targetState{target: *c.Target, revision: c.Revision, coldUntil: now + c.Target.ColdFor}
	return append(events, Event{Kind: kind, Target: c.Target, Revision: c.Revision})
}

// applyWithoutRecord applies a removal or an unusable record. The target keeps its last usable record, by which its open flows are
// forwarded.
func (d *Directory) applyWithoutRecord(c *Change, known *targetState, now time.Duration, events []Event) []Event {
	if known == nil {
		if c.Target == nil {
			return events // no flow can be open at a target that was never known
		}
		known = &targetState{target: *c.Target}
		d.targets[c.Name] = known
	}
	known.revision = c.Revision
	known.dropWithheld()
	if c.Removed {
		known.obscured = known.obscured || c.Unusable
		return d.markRemoved(known, now, events)
	}
	if known.obscured && !known.removed {
		return events
	}
	// After a removal too: the target may have written its record again before it was overwritten.
	known.obscured, known.removed, known.removedBefore = true, false, false
	return append(events, Event{Kind: TargetObscured, Target: &known.target, Revision: c.Revision})
}

func (d *Directory) markRemoved(r *targetState, now time.Duration, events []Event) []Event {
	if r.removed {
		return events
	}
	r.removed, r.removedAt = true, now
	return append(events, Event{Kind: TargetRemoved, Target: &r.target, Revision: r.revision})
}

// removeUnlisted removes the targets that are missing from a complete list, except those written after the list was read.
func (d *Directory) removeUnlisted(b *Batch, now time.Duration, events []Event) []Event {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Name] = true // even if the list marks it as removed
	}
	for _, name := range slices.Sorted(maps.Keys(d.targets)) {
		r := d.targets[name]
		if !listed[name] && r.revision <= b.Revision {
			r.revision = b.Revision
			r.dropWithheld()
			events = d.markRemoved(r, now, events)
		}
	}
	return events
}

// Prune deletes targets that were removed so long ago that none of their flows can be open, and evacuations that ended as long ago.
func (d *Directory) Prune(now time.Duration) {
	d.pruneEvacuations(now)
	maps.DeleteFunc(d.targets, func(_ string, r *targetState) bool {
		if !r.removed || r.withheld != nil || now-r.removedAt <= removedRetention {
			return false
		}
		d.removalsAfter = max(d.removalsAfter, r.revision)
		return true
	})
}

// presence classifies a target. A removed target counts as terminated only when the store has answered every read for long
// enough that a live target would be listed again, and then answers a read sent after that. Elapsed time alone is no
// evidence, because this process may have been paused.
func (d *Directory) presence(r *targetState, now time.Duration) Presence {
	switch {
	case !r.removed && r.obscured:
		return Obscured
	case !r.removed && r.target.Draining:
		return Draining
	case !r.removed:
		return Ready
	case r.withheld != nil:
		return Departed // a restored store has a record of it
	case d.answering && d.confirmedAt-max(d.answeringSince, r.removedAt) >= relistGrace:
		return Gone
	case r.target.Draining && !r.obscured && d.answering && r.removedAt-d.answeringSince >= relistGrace:
		return Gone // it announced its shutdown, and removed the record itself
	case r.target.Draining || r.removedBefore || now-r.removedAt >= relistGrace:
	case !d.answering || r.removedAt-d.answeringSince < relistGrace:
		return Lapsed
	}
	return Departed
}

// TargetEntry is a target in a snapshot, with its presence.
type TargetEntry struct {
	Target
	Presence  Presence
	ColdUntil time.Duration
	Revision  Revision
}

// Snapshot is the content of a directory at one time. It is immutable.
type Snapshot struct {
	Configuration *Configuration
	Targets       []TargetEntry // sorted by name
	// Evacuations holds the evacuations of data centres that have targets, also those that have ended.
	Evacuations map[string]EvacuationEntry
	Revision    Revision
	// Provisional reports that no complete list has been applied: routes and targets that the store holds may be missing.
	Provisional bool
	TakenAt     time.Duration
	// NextChange is when to take the next snapshot, because the presence of a target can change without new records; 0 if
	// none can.
	NextChange time.Duration
}

// Snapshot returns the content of the directory at now.
func (d *Directory) Snapshot(now time.Duration) *Snapshot {
	s := &Snapshot{
		Configuration: d.configuration, Revision: d.revision, Provisional: !d.complete, TakenAt: now,
		Targets: make([]TargetEntry, 0, len(d.targets)), Evacuations: d.evacuationEntries(),
	}
	for _, r := range d.targets {
		k := TargetEntry{Target: r.target, Presence: d.presence(r, now), ColdUntil: r.coldUntil, Revision: r.revision}
		if r.removed && k.Presence != Gone {
			s.NextChange = now + relistGrace/4
		}
		s.Targets = append(s.Targets, k)
	}
	slices.SortFunc(s.Targets, func(a, b TargetEntry) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Evacuated reports whether the targets of a data centre get no new flows.
func (s *Snapshot) Evacuated(dataCentre string) bool { return s.Evacuations[dataCentre].Active }
