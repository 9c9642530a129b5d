package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// evacuate returns a view of the targets in which the data centres are evacuated.
func evacuate(targets []directory.TargetEntry, dataCentres ...string) *View {
	s := snapshot(targets...)
	s.Evacuations = map[string]directory.EvacuationEntry{}
	for _, dc := range dataCentres {
		s.Evacuations[dc] = directory.EvacuationEntry{Active: true}
	}
	return NewView(s, local)
}

// Guards against opening packets, also copies and also to lapsed targets, that reach an evacuated data centre, and against packets of open
// flows that no longer do.
func TestEvacuatedDataCentre(t *testing.T) {
	targets := fiveTargets(local)
	targets[3].Presence = directory.Lapsed
	spare := knownTarget(9, remote)
	e := engine(append(targets, spare)...)
	first := e.Decide(openingPacket(1), 0)
	if first.Action != Forward || first.Target.DataCentre != local {
		t.Fatalf("before the evacuation: %+v", first)
	}
	open := first.Target.Token
	e.SetView(evacuate(append(targets, spare), local))
	copied := openingPacket(1)
	copied.Acknowledgement = 1
	if d := e.Decide(copied, 50*time.Millisecond); d.Action != Forward || d.Target.DataCentre != remote {
		t.Errorf("a copy of an opening packet: %+v, want the target of the other data centre", d)
	}
	for n := range 200 {
		if d := e.Decide(openingPacket(n+2), time.Second); d.Action != Forward || d.Target.DataCentre != remote {
			t.Fatalf("new flow: %+v, want the target of the other data centre", d)
		}
	}
	if d := e.Decide(dataPacket(1, open, 1), time.Second); d.Action != Forward || d.Target.Token != open {
		t.Errorf("packet of an open flow: %+v, want its target", d)
	}
}

// Guards against callers that wait in vain when every data centre with targets of the service is evacuated.
func TestNothingLeftAfterEvacuation(t *testing.T) {
	e := NewEngine()
	e.SetView(evacuate(append(fiveTargets(local), knownTarget(9, remote)), local, remote))
	if d := e.Decide(openingPacket(1), 0); d.Action != Refuse || d.Code != resultcode.RefusedNoTarget {
		t.Errorf("new flow: %+v, want a refusal at once", d)
	}
}
