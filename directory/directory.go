package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// retention is how long a removed target stays known for the sake of its open flows: the longest life of a flow.
	retention = 60 * time.Second
	// lapseGrace is how long a record may be missing after trouble of the store although its target lives: live targets
	// are back about 2 s after the store.
	lapseGrace = 2500 * time.Millisecond
)

// Presence tells what a snapshot says of a target.
type Presence uint8

// Presences, from the most to the least usable one.
const (
	Ready    Presence = iota // takes new flows
	Draining                 // keeps its flows and takes no new ones
	Lapsed                   // its record vanished while the store had trouble; it may live
	Departed                 // its record was removed; datagrams of its flows are still sent to it
	Gone                     // has ended for certain: its flows can be reset
)

var presenceNames = [...]string{"ready", "draining", "lapsed", "departed", "gone"}

// String returns the name used in logs.
func (p Presence) String() string { return presenceNames[p] }

// record is a target that is or was listed.
type record struct {
	target    Target
	revision  uint64
	coldUntil time.Duration
	removed   bool
	removedAt time.Duration
}

// Directory collects what was read of the store. One goroutine may use it. Times are those of a monotonic clock.
type Directory struct {
	configuration *Configuration
	records       map[string]*record
	revision      uint64 // every change up to it is known
	complete      bool   // the whole list was read once
	provisional   bool   // a list that may be behind in parts was read
	lastAnswer    time.Duration
	confirmed     time.Duration // when the last read was sent whose answer left nothing unknown
	steadySince   time.Duration // start of the present series of answers
	steady        bool
	forgotten     uint64 // newest revision of a record that was forgotten
}

// never is before every time of a monotonic clock, and far enough from the least value that differences do not overflow.
const never time.Duration = math.MinInt64 / 4

// New returns an empty directory.
func New() *Directory {
	return &Directory{records: map[string]*record{}, lastAnswer: never, confirmed: never}
}

// Revision returns the revision up to which every change is known.
func (d *Directory) Revision() uint64 { return d.revision }

// Ready reports whether routes and a list of targets have been read.
func (d *Directory) Ready() bool { return (d.complete || d.provisional) && d.configuration != nil }

// Complete reports whether routes and the whole list of targets have been read, and not only a list that may be behind.
func (d *Directory) Complete() bool { return d.complete && d.configuration != nil }

// Configuration returns the newest configuration, or nil.
func (d *Directory) Configuration() *Configuration { return d.configuration }

// Age returns the time since the store last answered, and false when it never did.
func (d *Directory) Age(now time.Duration) (time.Duration, bool) {
	return now - d.lastAnswer, d.complete
}

// StoreAnswered notes that the store answered a read, whatever the answer tells.
func (d *Directory) StoreAnswered(now time.Duration) {
	if !d.steady {
		d.steady, d.steadySince = true, now
	}
	d.lastAnswer = max(d.lastAnswer, now)
}

// StoreConfirmed notes that every change is known which the store had when a read was sent at asked.
func (d *Directory) StoreConfirmed(asked time.Duration) { d.confirmed = max(d.confirmed, asked) }

// StoreFailed notes that the store did not answer.
func (d *Directory) StoreFailed() { d.steady = false }

// StoreReportedByPeer notes what another host knows: the store answered it last at the time answered, a read that was sent at
// confirmed, after it had answered without a break for steady before that.
func (d *Directory) StoreReportedByPeer(answered, confirmed, steady time.Duration) {
	d.lastAnswer = max(d.lastAnswer, answered)
	if confirmed <= d.confirmed {
		return
	}
	d.confirmed = confirmed
	if since := confirmed - steady; !d.steady || since > d.steadySince {
		d.steady, d.steadySince = true, since
	}
}

// Confirmed returns the time since the last read was sent whose answer left nothing unknown, and for how long it had answered
// without a break before that.
func (d *Directory) Confirmed(now time.Duration) (age, steady time.Duration) {
	if !d.steady {
		return now - d.confirmed, 0
	}
	return now - d.confirmed, max(d.confirmed-d.steadySince, 0)
}

// ChangesSince returns what has changed after a revision, for another host. Removed targets are part of it, so that their open
// flows are found there too.
func (d *Directory) ChangesSince(after uint64) Batch {
	b := Batch{Revision: d.revision, Complete: d.complete && (after == 0 || after < d.forgotten)}
	if c := d.configuration; c != nil && (c.Revision > after || b.Complete) {
		b.Configuration = c
	}
	for name, r := range d.records {
		if r.revision > after || b.Complete {
			b.Changes = append(b.Changes, Change{Name: name, Revision: r.revision, Removed: r.removed, Target: &r.target})
		}
	}
	return b
}

// Event describes a change of what the directory holds, for the log.
type Event struct {
	Kind     EventKind
	Target   *Target
	Revision uint64
	Version  uint64 // of the configuration
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	TargetListed EventKind = iota
	TargetChanged
	TargetRestarted
	TargetRemoved
	ConfigurationAccepted
	ConfigurationStale
)

var eventNames = [...]string{"target-listed", "target-changed", "target-restarted", "target-removed", "configuration-accepted", "configuration-stale"}

// String returns the name used in logs.
func (k EventKind) String() string { return eventNames[k] }

// Apply takes over a batch and returns what changed. Records and configurations that are older than what is known are
// left out, so that batches of several sources may arrive in any order.
func (d *Directory) Apply(b Batch, now time.Duration) []Event {
	if b.Provisional && d.complete {
		return nil
	}
	d.provisional = d.provisional || b.Provisional
	var events []Event
	if b.Configuration != nil {
		events = d.configure(b.Configuration, events)
	}
	for i := range b.Changes {
		events = d.change(&b.Changes[i], now, events)
	}
	if b.Complete {
		events = d.removeUnlisted(&b, now, events)
		d.complete = true
	}
	d.revision = max(d.revision, b.Revision)
	return events
}

// configure never goes back to an earlier version: a read may be answered by a replica that is behind.
func (d *Directory) configure(c *Configuration, events []Event) []Event {
	if d.configuration != nil && c.Version <= d.configuration.Version {
		if c.Version < d.configuration.Version {
			events = append(events, Event{Kind: ConfigurationStale, Version: c.Version, Revision: c.Revision})
		}
		return events
	}
	d.configuration = c
	return append(events, Event{Kind: ConfigurationAccepted, Version: c.Version, Revision: c.Revision})
}

func (d *Directory) change(c *Change, now time.Duration, events []Event) []Event {
	known := d.records[c.Name]
	if known != nil && c.Revision <= known.revision {
		return events
	}
	if c.Removed {
		return d.removal(c, known, now, events)
	}
	kind := TargetListed
	if known != nil && !known.removed {
		kind = TargetChanged
		if known.target.StartedMS != c.Target.StartedMS {
			kind = TargetRestarted
		}
	}
	d.records[c.Name] = &record{target: *c.Target, revision: c.Revision, coldUntil: now + c.Target.ColdFor}
	return append(events, Event{Kind: kind, Target: c.Target, Revision: c.Revision})
}

func (d *Directory) removal(c *Change, known *record, now time.Duration, events []Event) []Event {
	if known == nil {
		if c.Target == nil {
			return events // nothing can be open at a target that was never known
		}
		known = &record{target: *c.Target}
		d.records[c.Name] = known
	}
	known.revision = c.Revision
	return d.remove(known, now, events)
}

func (d *Directory) remove(r *record, now time.Duration, events []Event) []Event {
	if r.removed {
		return events
	}
	r.removed, r.removedAt = true, now
	return append(events, Event{Kind: TargetRemoved, Target: &r.target, Revision: r.revision})
}

// removeUnlisted removes the targets that a complete list lacks, except those that were written after it was read.
func (d *Directory) removeUnlisted(b *Batch, now time.Duration, events []Event) []Event {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Name] = true // also when the list tells of a removed one
	}
	for _, name := range slices.Sorted(maps.Keys(d.records)) {
		r := d.records[name]
		if !listed[name] && r.revision <= b.Revision {
			r.revision = b.Revision
			events = d.remove(r, now, events)
		}
	}
	return events
}

// Prune forgets targets that were removed so long ago that no flow of theirs can be open.
func (d *Directory) Prune(now time.Duration) {
	maps.DeleteFunc(d.records, func(_ string, r *record) bool {
		if !r.removed || now-r.removedAt <= retention {
			return false
		}
		d.forgotten = max(d.forgotten, r.revision)
		return true
	})
}

// presence classifies a record. A removal counts as the end of the target only when the store has answered without
// a break for long enough that a live target would be listed again, and a read that was sent after that has been answered:
// time alone proves nothing, since this process may have stood still.
func (d *Directory) presence(r *record, now time.Duration) Presence {
	switch {
	case !r.removed && r.target.Draining:
		return Draining
	case !r.removed:
		return Ready
	case d.steady && d.confirmed-max(d.steadySince, r.removedAt) >= lapseGrace:
		return Gone
	case r.target.Draining && d.steady && r.removedAt-d.steadySince >= lapseGrace:
		return Gone // it announced its end
	case !r.target.Draining && now-r.removedAt < lapseGrace && (!d.steady || r.removedAt-d.steadySince < lapseGrace):
		return Lapsed
	}
	return Departed
}

// TargetEntry is a target in a snapshot.
type TargetEntry struct {
	Target
	Presence  Presence
	ColdUntil time.Duration
	Revision  uint64
}

// Snapshot is what the directory holds at one moment. It is immutable.
type Snapshot struct {
	Configuration *Configuration
	Targets       []TargetEntry // by name
	Revision      uint64
	// Provisional reports that routes and targets may be missing that the store has had for a while.
	Provisional bool
	TakenAt     time.Duration
	// NextChange is when time alone changes the presence of a target, 0 when it does not.
	NextChange time.Duration
}

// Snapshot returns the present state.
func (d *Directory) Snapshot(now time.Duration) *Snapshot {
	s := &Snapshot{Configuration: d.configuration, Revision: d.revision, Provisional: !d.complete, TakenAt: now, Targets: make([]TargetEntry, 0, len(d.records))}
	for _, r := range d.records {
		k := TargetEntry{Target: r.target, Presence: d.presence(r, now), ColdUntil: r.coldUntil, Revision: r.revision}
		if r.removed && k.Presence != Gone {
			s.NextChange = now + lapseGrace/4
		}
		s.Targets = append(s.Targets, k)
	}
	slices.SortFunc(s.Targets, func(a, b TargetEntry) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
