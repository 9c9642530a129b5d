package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// totals returns the numbers of pending requests and open flows over all targets.
func totals(e *Engine) (pending, open int) {
	for _, l := range e.loads {
		pending, open = pending+l.pending, open+l.open
	}
	return pending, open
}

// Replays a flood of opening packets, after which no flow is left. Guards against flows beyond the limit of tracked ones that
// count as load of their targets until these restart.
func TestUntrackedFlowsAreNoLoad(t *testing.T) {
	e, now := engine(fiveTargets(local)...), 10*time.Second
	for n := range MaxFlows + 500 {
		d := e.Decide(openingPacket(n), now)
		if n >= MaxFlows {
			e.Decide(dataPacket(n, d.Target.Token, 1), now)
		}
	}
	if pending, open := totals(e); pending != MaxFlows || open != 0 || e.Flows() != MaxFlows {
		t.Errorf("%d pending, %d open, %d flows, want %d, 0, %[4]d", pending, open, e.Flows(), MaxFlows)
	}
	e.Decide(dataPacket(0, e.Decide(openingPacket(0), now).Target.Token, 1), now+openingRetention+time.Second)
	if pending, open := totals(e); pending != 0 || open != e.Flows() {
		t.Errorf("%d pending and %d open requests of %d flows after all callers gave up, want no pending ones", pending, open, e.Flows())
	}
}

// Replays a caller that reuses a port while the end of its old flow is still in transit. Guards against a late packet that ends
// the tracking of the new flow, or counts as an answer of its target.
func TestLateEndOfReusedPort(t *testing.T) {
	for _, end := range []Packet{{Finish: true}, {Reset: true}} {
		e, now := engine(fiveTargets(local)...), 10*time.Second
		old := e.Decide(openingPacket(1), now).Target
		acknowledge(e, 1, old.Token, now)
		e.SetPeerLoads(directory.Loads{Targets: []directory.Load{{Token: old.Token, Pending: 40}}}) // so that the new flow goes to another target
		now += time.Second
		target := e.Decide(openingPacket(1), now).Target
		acknowledge(e, 1, target.Token, now)
		e.Decide(dataPacket(1, target.Token, 1), now)
		late := dataPacket(1, old.Token, 1)
		late.Finish, late.Reset, late.Payload, late.Acknowledgement = end.Finish, end.Reset, 0, 5000
		if d := e.Decide(late, now+time.Millisecond); d.Action != Forward || d.Target != old {
			t.Errorf("the late packet: %v to %v, want forward to the old target", d.Action, d.Target)
		}
		f, found := e.Lookup(openingPacket(1).Flow(), now+10*time.Millisecond)
		if !found || f.Target != target || f.Waiting != 10*time.Millisecond {
			t.Errorf("the new flow is tracked %t, waiting %v, want true, 10ms", found, f.Waiting)
		}
	}
}
