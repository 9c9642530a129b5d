package directory

import (
	"fmt"
	"testing"
	"time"
)

func evacuated(revision Revision) Evacuation {
	return Evacuation{DataCentre: "regina", Revision: revision}
}

func takenBack(revision Revision) Evacuation {
	return Evacuation{DataCentre: "regina", Revision: revision, Removed: true}
}

// Guards against an evacuation that an older view undoes or brings back, whatever the order in which sources deliver it.
func TestEvacuation(t *testing.T) {
	for name, tt := range map[string]struct {
		batches []Batch
		want    bool
	}{
		"told of":                  {[]Batch{{Evacuations: []Evacuation{evacuated(5)}}}, true},
		"taken back":               {[]Batch{{Evacuations: []Evacuation{evacuated(5)}}, {Evacuations: []Evacuation{takenBack(6)}}}, false},
		"taken back, then older":   {[]Batch{{Evacuations: []Evacuation{takenBack(6)}}, {Evacuations: []Evacuation{evacuated(5)}}}, false},
		"again, then older end":    {[]Batch{{Evacuations: []Evacuation{evacuated(7)}}, {Evacuations: []Evacuation{takenBack(6)}}}, true},
		"missing from a list":      {[]Batch{{Evacuations: []Evacuation{evacuated(5)}}, {Complete: true, Revision: 9}}, false},
		"missing from older list":  {[]Batch{{Evacuations: []Evacuation{evacuated(5)}}, {Complete: true, Revision: 4}}, true},
		"missing from stale list":  {[]Batch{{Evacuations: []Evacuation{evacuated(5)}}, {Provisional: true}}, true},
		"in the list":              {[]Batch{{Complete: true, Revision: 9, Evacuations: []Evacuation{evacuated(5)}}}, true},
		"ended in another's list":  {[]Batch{{Complete: true, Revision: 9, Evacuations: []Evacuation{takenBack(8)}}}, false},
		"unknown data centre only": {[]Batch{{Evacuations: []Evacuation{{DataCentre: "regina/a", Revision: 5}}}}, false},
	} {
		d := newFilledDirectory()
		for _, b := range tt.batches {
			d.Apply(b, time.Second)
		}
		if got := d.Snapshot(time.Second).Evacuated("regina"); got != tt.want {
			t.Errorf("%s: evacuated %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a provisional list without the evacuations that the store holds: a host that has just started would use it to place flows.
func TestEvacuationInProvisionalList(t *testing.T) {
	d := New()
	d.Apply(Batch{Provisional: true, Changes: []Change{listed("a", 1)}, Evacuations: []Evacuation{evacuated(2)}}, time.Second)
	if !d.Snapshot(time.Second).Evacuated("regina") {
		t.Error("the data centre is not evacuated")
	}
}

// Guards against hosts that learn of an evacuation from another host and never of its end, also if that was pruned meanwhile.
func TestEvacuationFromOtherHost(t *testing.T) {
	d, other := newFilledDirectory(), newFilledDirectory()
	for i, e := range []Evacuation{evacuated(5), takenBack(6)} {
		events := d.Apply(Batch{Revision: e.Revision, Evacuations: []Evacuation{e}}, time.Second)
		if len(events) != 1 || events[0].DataCentre != "regina" {
			t.Fatalf("change %d: events %v, want one", i, events)
		}
		other.Apply(d.ChangesSince(other.Revision(), 0), time.Second)
		if got := other.Snapshot(time.Second).Evacuated("regina"); got == e.Removed {
			t.Fatalf("change %d: the other host takes the data centre for evacuated: %v", i, got)
		}
	}
	other.Apply(Batch{Revision: 7, Evacuations: []Evacuation{evacuated(7)}}, time.Second)
	d.Apply(Batch{Revision: 9, Evacuations: []Evacuation{evacuated(7), takenBack(8)}}, time.Second)
	d.Prune(time.Second + removedRetention + 1)
	other.Apply(d.ChangesSince(other.Revision(), 0), 2*time.Minute)
	if other.Snapshot(2 * time.Minute).Evacuated("regina") {
		t.Error("the end of the evacuation was pruned, and the other host has not learned of it")
	}
}

// Guards against thousands of evacuations of unknown data centres that crowd out the one that counts, or fill messages and logs.
func TestManyEvacuations(t *testing.T) {
	d := newFilledDirectory()
	list := []Evacuation{evacuated(5)}
	for i := range 5000 {
		list = append(list, Evacuation{DataCentre: fmt.Sprintf("unknown-%d", i), Revision: Revision(i + 6)})
	}
	events := d.Apply(Batch{Revision: 6000, Evacuations: list}, time.Second)
	if !d.Snapshot(time.Second).Evacuated("regina") || len(events) != 1 {
		t.Errorf("%d events, want the one of the evacuated data centre", len(events))
	}
	if n := len(d.ChangesSince(0, time.Second).Evacuations); n > maxEvacuations {
		t.Errorf("%d evacuations are sent to other hosts, at most %d are allowed", n, maxEvacuations)
	}
}
