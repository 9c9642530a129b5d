package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against two targets that answer the same opening packet although the first one answers in time. Copies go to
// the same target as the first one, at the same balancer and, while loads are equal, at any other.
func TestCopiesFollowOpening(t *testing.T) {
	a, b := engine(fiveTargets(local)...), engine(fiveTargets(local)...)
	for n := range 200 {
		first := a.Decide(openingPacket(n), 0)
		again := a.Decide(openingPacket(n), answerTimeout-time.Millisecond)
		if first.Target.Name != again.Target.Name || again.Placed {
			t.Fatalf("flow %d: first goes to %s, copy to %s, want the same target", n, first.Target.Name, again.Target.Name)
		}
		acknowledge(a, n, first.Target.Token, 210*time.Millisecond)
		a.Decide(&Packet{Caller: caller(n), Endpoint: endpoint, Finish: true, Token: first.Target.Token}, time.Second)
		elsewhere := b.Decide(openingPacket(n), 0)
		if elsewhere.Target.Name != first.Target.Name {
			t.Fatalf("flow %d: first goes to %s, copy at another balancer to %s", n, first.Target.Name, elsewhere.Target.Name)
		}
		b.removeFlow(openingPacket(n).Flow())
	}
}

// Replays targets that crash in a large fleet, where each balancer has few flows at each. Guards against a caller that
// retransmits its opening packet to an unresponsive target until it gives up, and against requests that are counted at
// a target that does not have them.
func TestUnansweredCopyTriesAnotherTarget(t *testing.T) {
	for n := range 50 {
		e, at := engine(fiveTargets(local)...), 10*time.Second
		tried := map[*Target]bool{}
		for copies, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
			p := openingPacket(n)
			p.Acknowledgement = uint32(copies)
			d := e.Decide(p, at+after)
			if d.Action != Forward || tried[d.Target] {
				t.Fatalf("flow %d: copy %d: %v to %s, want forward to an untried target", n, copies, d.Action, d.Target.Name)
			}
			tried[d.Target] = true
			pending := 0
			for target := range tried {
				pending += target.load.pending
			}
			if pending != 1 || d.Target.load.pending != 1 {
				t.Fatalf("flow %d: %d requests are pending, %d at the last target, want 1 and 1", n, pending, d.Target.load.pending)
			}
		}
		for target := range tried { // whichever answer arrives first: the caller goes on with that target
			p := dataPacket(n, target.Token, 1)
			if d := e.Decide(p, at+700*time.Millisecond); d.Action != Forward || d.Target != target {
				t.Fatalf("flow %d: decision %v, want forward to the target that answered", n, d)
			}
		}
	}
}

// Guards against a service whose only target is given up because a single flow went unanswered.
func TestUnansweredCopyOfOnlyTarget(t *testing.T) {
	e, at := engine(knownTarget(1, local)), 10*time.Second
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if d := e.Decide(openingPacket(1), at+after); d.Action != Forward || d.Suspected != nil {
			t.Errorf("after %v: action %v, suspected %v, want forward without a suspicion", after, d.Action, d.Suspected)
		}
	}
}

// Replays a caller that reuses a port while copies of the old flow's packets are still in transit. Guards against a
// late packet that reaches the target of the new flow, whose caller would get an answer to another request, and against
// a new flow that continues at the target of the old one.
func TestReusedCallerPort(t *testing.T) {
	for n := range 50 {
		e, at := engine(fiveTargets(local)...), 10*time.Second
		old := e.Decide(openingPacket(n), at).Target
		e.Decide(dataPacket(n, old.Token, 1), at+10*time.Millisecond)
		e.SetPeerLoads(directory.Loads{Targets: []directory.Load{{Token: old.Token, Pending: 40}}}) // so that the new flow goes to another target
		again := e.Decide(openingPacket(n), at+time.Second)
		if !again.Placed || again.Target == old {
			t.Fatalf("flow %d: placed %t, at the old target %t, want true, false", n, again.Placed, again.Target == old)
		}
		for i, token := range []directory.Token{again.Target.Token, old.Token, again.Target.Token, old.Token} {
			d := e.Decide(dataPacket(n, token, uint32(1000*i)), at+time.Second+time.Duration(i)*10*time.Millisecond)
			if d.Action != Forward || d.Target.Token != token {
				t.Fatalf("flow %d: packet with token %d goes to %s, want the target of the token", n, token, d.Target.Name)
			}
		}
	}
}

// Replays the start of a host, when its list may be out of date. Guards against a refusal of a flow whose route was
// added a moment ago.
func TestUnknownRouteInProvisionalView(t *testing.T) {
	for provisional, want := range map[bool]Action{true: Drop, false: Refuse} {
		s := snapshot(fiveTargets(local)...)
		s.Provisional = provisional
		e := NewEngine()
		e.SetView(NewView(s, local))
		p := openingPacket(1)
		p.Endpoint.Port++
		if d := e.Decide(p, time.Second); d.Action != want {
			t.Errorf("provisional %t: unknown route: action %v, want %v", provisional, d.Action, want)
		}
		if d := e.Decide(openingPacket(2), time.Second); d.Action != Forward {
			t.Errorf("provisional %t: known route: action %v, want forward", provisional, d.Action)
		}
	}
}

// Guards against new flows on targets that are leaving, and against a service that is left without targets because the
// store lost most of its records at once.
func TestNewFlowsByPresence(t *testing.T) {
	for name, tt := range map[string]struct {
		presence directory.Presence
		count    int // targets with this presence, out of five
		used     bool
	}{
		"draining":     {directory.Draining, 4, false},
		"obscured":     {directory.Obscured, 4, false},
		"departed":     {directory.Departed, 4, false},
		"few lapsed":   {directory.Lapsed, 2, false},
		"most lapsed":  {directory.Lapsed, 4, true},
		"all lapsed":   {directory.Lapsed, 5, true},
		"all draining": {directory.Draining, 5, false},
	} {
		targets := fiveTargets(local)
		for i := range tt.count {
			targets[i].Presence = tt.presence
		}
		e, used := engine(targets...), false
		for n := range 100 {
			if d := e.Decide(openingPacket(n), 0); d.Target != nil && d.Target.Presence == tt.presence {
				used = true
			}
		}
		if used != tt.used {
			t.Errorf("%s: targets get new flows %v, want %v", name, used, tt.used)
		}
	}
}
