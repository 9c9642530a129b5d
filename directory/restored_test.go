package directory

import (
	"testing"
	"time"
)

// inEra returns a revision of a restored store.
func inEra(era uint16, number uint64) Revision { return Revision(era)<<eraShift | Revision(number) }

// written returns the record that a target wrote as the given one since its start.
func written(c Change, sequence int64) Change {
	copied := *c.Target
	copied.Sequence = sequence
	c.Target = &copied
	return c
}

// restoredAt is when the directories of these tests learn of a restored store.
const restoredAt = time.Minute

// newRestoredDirectory returns a directory that knows the targets a, b, c (draining) and d (removed) and an evacuation, and then reads
// the list of a store that was restored from a copy: without b and the evacuation, and with older records of c and d.
func newRestoredDirectory() *Directory {
	d := newFilledDirectory()
	d.Apply(Batch{
		Revision: 7, Configuration: &Configuration{Version: 9, Revision: 7}, Evacuations: []Evacuation{evacuated(6)},
		Changes: []Change{written(draining("c", 5), 1), removed("d", 6)},
	}, time.Second)
	storeAnswered(d, restoredAt-time.Second, restoredAt-time.Second)
	storeAnswered(d, restoredAt, restoredAt)
	d.Apply(copyOfStore(1), restoredAt)
	return d
}

func copyOfStore(era uint16) Batch {
	return Batch{
		Complete: true, Revision: inEra(era, 4), Configuration: &Configuration{Version: 3, Revision: inEra(era, 1)},
		Changes: []Change{listed("a", inEra(era, 1)), listed("c", inEra(era, 3)), listed("d", inEra(era, 4))},
	}
}

// answer records that the store answers from the restore until the time.
func answer(d *Directory, until time.Duration) {
	storeAnswered(d, restoredAt, restoredAt)
	storeAnswered(d, until, until)
}

func expectPresences(t *testing.T, when string, d *Directory, now time.Duration, want map[string]Presence) {
	t.Helper()
	for name, presence := range want {
		if got := presenceOf(t, d, name, now); got != presence {
			t.Errorf("%s: target %s is %v, want %v", when, name, got, presence)
		}
	}
}

// Guards against a copy that brings back targets that drain or have left, and that ends living ones: their flows would be reset, and
// new flows would fail. Records that are still in the store when it has answered for copyGrace are those of living targets.
func TestTargetsOfRestoredStore(t *testing.T) {
	d := newRestoredDirectory()
	expectPresences(t, "at the restore", d, restoredAt, map[string]Presence{"a": Ready, "b": Lapsed, "c": Draining, "d": Departed})
	d.Prune(restoredAt + 2*time.Second)
	answer(d, restoredAt+relistGrace-1)
	expectPresences(t, "before relistGrace", d, restoredAt+relistGrace-1, map[string]Presence{"b": Lapsed, "c": Draining, "d": Departed})
	d.Apply(Batch{Revision: inEra(1, 5), Changes: []Change{written(listed("b", inEra(1, 5)), 1)}}, restoredAt+relistGrace-1)
	answer(d, restoredAt+copyGrace-1)
	if d.Settle(restoredAt + copyGrace - 1); !d.KeepsLost() {
		t.Error("before copyGrace: nothing is kept")
	}
	expectPresences(t, "before copyGrace", d, restoredAt+copyGrace-1, map[string]Presence{"b": Ready, "c": Draining, "d": Departed})
	answer(d, restoredAt+copyGrace)
	d.Settle(restoredAt + copyGrace)
	expectPresences(t, "after copyGrace", d, restoredAt+copyGrace, map[string]Presence{"a": Ready, "b": Ready, "c": Ready, "d": Ready})
}

// The store removes the records of the targets that have left, and the draining one writes its record again. Guards against kept records
// that hide this, and against the end of a target on evidence from before the restore.
func TestChangesAfterRestore(t *testing.T) {
	d := newRestoredDirectory()
	changes := []Change{written(draining("c", inEra(1, 5)), 2), removed("d", inEra(1, 6))}
	d.Apply(Batch{Revision: inEra(1, 6), Changes: changes}, restoredAt+time.Second)
	answer(d, restoredAt+relistGrace)
	expectPresences(t, "after the removal", d, restoredAt+relistGrace, map[string]Presence{"b": Gone, "c": Draining, "d": Departed})
	answer(d, restoredAt+copyGrace)
	d.Settle(restoredAt + copyGrace)
	answer(d, restoredAt+time.Second+relistGrace)
	expectPresences(t, "in the end", d, restoredAt+time.Second+relistGrace, map[string]Presence{"b": Gone, "c": Draining, "d": Gone})
}

// Guards against a target that left just before the restore and gets new flows because the store counts as not answering since.
func TestTargetThatLeftBeforeRestore(t *testing.T) {
	d := newFilledDirectory()
	storeAnswered(d, restoredAt, restoredAt)
	d.Apply(Batch{Revision: 5, Changes: []Change{removed("a", 5)}}, restoredAt)
	d.Apply(Batch{Complete: true, Revision: inEra(1, 4), Changes: []Change{listed("b", inEra(1, 2))}}, restoredAt)
	expectPresences(t, "after the list", d, restoredAt, map[string]Presence{"a": Departed, "b": Ready, "c": Lapsed})
}

// A host learns of the restore from another one, whose freshness it has not taken over yet. Guards against targets that end because
// the store had answered before the restore, and against changes of one era that are merged with another.
func TestRestoreLearnedFromPeer(t *testing.T) {
	d, peer := newFilledDirectory(), newRestoredDirectory()
	storeAnswered(d, restoredAt, restoredAt)
	if changes := peer.ChangesSince(d.Revision(), restoredAt); !changes.Complete {
		t.Error("a host of the earlier era does not get the complete content")
	}
	d.Apply(Batch{Revision: inEra(1, 5), Changes: []Change{removed("a", inEra(1, 5))}}, restoredAt)
	expectPresences(t, "after changes of another era", d, restoredAt, map[string]Presence{"a": Ready})
	d.Apply(peer.ChangesSince(d.Revision(), restoredAt), restoredAt)
	if age, steady := d.Confirmed(restoredAt); age < time.Hour || steady != 0 {
		t.Errorf("the store counts as answering for %v, %v ago, before the first answer of the new era", steady, age)
	}
	expectPresences(t, "after the list", d, restoredAt, map[string]Presence{"a": Ready, "b": Lapsed, "c": Draining, "d": Departed})
	d.Apply(Batch{
		Revision: 20, Changes: []Change{listed("e", 20), removed("a", 19)}, Configuration: &Configuration{Version: 11, Revision: 18},
	}, restoredAt)
	expectPresences(t, "after changes of the earlier era", d, restoredAt, map[string]Presence{"a": Ready})
	if len(d.Snapshot(restoredAt).Targets) != 4 || d.Configuration().Version != 11 {
		t.Errorf("targets %+v, version %d, want 4 and the version of the earlier era", d.Snapshot(restoredAt).Targets, d.Configuration().Version)
	}
}

// Guards against a host that restarts, knows only the copy and sends new flows to targets that drain or have left, or into a data centre
// whose evacuation the store has lost, although other hosts know better.
func TestCopyOnlyHostLearnsWhatIsLost(t *testing.T) {
	d, restarted := newRestoredDirectory(), New()
	restarted.Apply(copyOfStore(1), restoredAt)
	for range 2 { // the second time, nothing is new
		restarted.Apply(d.ChangesSince(restarted.Revision(), restoredAt+time.Second), restoredAt+time.Second)
	}
	later := New()
	later.Apply(Batch{Complete: true, Revision: inEra(1, 9), Changes: []Change{listed("a", inEra(1, 1))}}, restoredAt)
	later.Apply(d.ChangesSince(later.Revision(), restoredAt+time.Second), restoredAt+time.Second)
	if targets := later.Snapshot(restoredAt + time.Second).Targets; len(targets) != 1 {
		t.Errorf("a host whose list shows that targets were removed knows %+v from a host that is behind", targets)
	}
	now := restoredAt + time.Second
	expectPresences(t, "after the reply", restarted, now, map[string]Presence{"a": Ready, "c": Draining, "d": Departed})
	if !restarted.Snapshot(now).Evacuated("regina") {
		t.Error("the restarted host does not know the evacuation")
	}
	for _, host := range []*Directory{d, restarted} {
		answer(host, restoredAt+evacuationHold)
		host.Settle(restoredAt + evacuationHold)
		expectPresences(t, "in the end", host, restoredAt+evacuationHold, map[string]Presence{"a": Ready, "c": Ready, "d": Ready})
		if host.Snapshot(restoredAt + evacuationHold).Evacuated("regina") {
			t.Error("the evacuation has not ended with the hold of the first host")
		}
	}
}

// Guards against an evacuation that ends because a restored store has lost it, before the operator can request it again, that does not end
// at all, or that ends on a host that has not heard from the store since.
func TestEvacuationOfRestoredStore(t *testing.T) {
	change := func(e Evacuation) Batch { return Batch{Revision: e.Revision, Evacuations: []Evacuation{e}} }
	list := Batch{Complete: true, Revision: inEra(1, 8), Evacuations: []Evacuation{evacuated(inEra(1, 8))}}
	for name, tt := range map[string]struct {
		batches  []Batch
		answered time.Duration // when the store last answered, after the restore
		now      time.Duration // after the restore
		want     bool
	}{
		"before the end of the hold":  {answered: evacuationHold - 1, now: evacuationHold - 1, want: true},
		"after it":                    {answered: evacuationHold, now: evacuationHold},
		"after it, without the store": {answered: time.Second, now: time.Minute, want: true},
		"requested again":             {batches: []Batch{change(evacuated(inEra(1, 5)))}, answered: time.Minute, now: time.Minute, want: true},
		"withdrawn":                   {batches: []Batch{change(takenBack(inEra(1, 5)))}, answered: time.Second, now: time.Second},
		"lost again":                  {batches: []Batch{copyOfStore(2)}, answered: evacuationHold + 1, now: evacuationHold + 1, want: true},
		"listed again":                {batches: []Batch{copyOfStore(1), list}, answered: time.Minute, now: time.Minute, want: true},
		"missing from another list":   {batches: []Batch{copyOfStore(1)}, answered: time.Second, now: time.Second, want: true},
	} {
		d := newRestoredDirectory()
		for _, b := range tt.batches {
			d.Apply(b, restoredAt+2*time.Second)
		}
		answer(d, restoredAt+tt.answered)
		d.Settle(restoredAt + tt.now)
		if got := d.Snapshot(restoredAt + tt.now).Evacuated("regina"); got != tt.want {
			t.Errorf("%s: evacuated %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a route of an earlier version that comes back, and against what is kept in the first of two eras and lost in the second.
func TestTwoRestores(t *testing.T) {
	d := newRestoredDirectory()
	events := d.Apply(copyOfStore(2), restoredAt+time.Second)
	if r := events[0].Restoration; r == nil || r.Before != inEra(1, 4) || r.Older != 1 || r.KnownVersion != 9 || r.Version != 3 {
		t.Errorf("first event %+v with %+v, want the second restore", events[0], r)
	}
	want := map[string]Presence{"a": Ready, "b": Lapsed, "c": Draining, "d": Departed}
	expectPresences(t, "after two restores", d, restoredAt+time.Second, want)
	if d.Configuration().Version != 9 || d.Revision() != inEra(2, 4) {
		t.Errorf("version %d at revision %v, want 9 at 2.4", d.Configuration().Version, d.Revision())
	}
}

// Guards against a malformed message of another host whose kept record is used without the checks that records must pass.
func TestUnusableKeptRecord(t *testing.T) {
	kept := func(name string, capacity int) *KeptRecord {
		k := &KeptRecord{Target: *target(name)}
		k.Target.Capacity = capacity
		return k
	}
	for name, c := range map[string]Change{
		"without a record":    {Name: "a", Revision: 9, Removed: true, Kept: kept("a", 1)},
		"beside a removal":    {Name: "a", Revision: 9, Removed: true, Target: target("a"), Kept: kept("a", 1)},
		"of another target":   {Name: "a", Revision: 9, Target: target("a"), Kept: kept("b", 1)},
		"with capacity of 0":  {Name: "a", Revision: 9, Target: target("a"), Kept: kept("a", 0)},
		"beside a broken one": {Name: "a", Revision: 9, Target: &kept("a", 0).Target, Kept: kept("a", 1)},
	} {
		b := Batch{Changes: []Change{c}, Evacuations: []Evacuation{{DataCentre: "regina", Hold: evacuationHold + 1}}}
		if errors := b.RejectUnusable(); len(errors) != 2 || b.Changes[0].Kept != nil || len(b.Evacuations) != 0 {
			t.Errorf("%s: %+v remains, errors %v, want no kept record and no evacuation", name, b, errors)
		}
	}
}
