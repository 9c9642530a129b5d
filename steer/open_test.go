package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against two targets that answer the same opening packet although the first one answers in time: its copies go to the target
// of the first one, at the same balancer and, while loads are equal, at any other.
func TestCopiesFollowOpening(t *testing.T) {
	a, b := engine(five(local)...), engine(five(local)...)
	for n := range 200 {
		first := a.Decide(opening(n), 0)
		again := a.Decide(opening(n), silenceAfter-time.Millisecond)
		if first.Target.Name != again.Target.Name || again.Placed {
			t.Fatalf("flow %d: first to %s, copy to %s", n, first.Target.Name, again.Target.Name)
		}
		answered(a, n, first.Target.Token, 210*time.Millisecond)
		a.Decide(&Packet{Caller: caller(n), Endpoint: endpoint, Finish: true, Token: first.Target.Token}, time.Second)
		elsewhere := b.Decide(opening(n), 0)
		if elsewhere.Target.Name != first.Target.Name {
			t.Fatalf("flow %d: first to %s, copy at another balancer to %s", n, first.Target.Name, elsewhere.Target.Name)
		}
		b.forget(opening(n).Flow())
	}
}

// Replays targets that end without notice in a large fleet, whose balancers see few flows of each. Guards against a caller that repeats
// its opening packet to a silent target until it gives up, and against work that is counted at a target that does not have it.
func TestUnansweredCopyTriesAnotherTarget(t *testing.T) {
	for n := range 50 {
		e, at := engine(five(local)...), 10*time.Second
		tried := map[*Target]bool{}
		for copies, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
			p := opening(n)
			p.Acknowledgement = uint32(copies)
			d := e.Decide(p, at+after)
			if d.Action != Forward || tried[d.Target] {
				t.Fatalf("flow %d: copy %d: %v to %s, which did not answer before", n, copies, d.Action, d.Target.Name)
			}
			tried[d.Target] = true
			pending := 0
			for target := range tried {
				pending += target.load.pending
			}
			if pending != 1 || d.Target.load.pending != 1 {
				t.Fatalf("flow %d: %d requests wait, %d at the last target", n, pending, d.Target.load.pending)
			}
		}
		for target := range tried { // the first answer is late: the caller goes on with the target that it came from
			p := data(n, target.Token, 1)
			if d := e.Decide(p, at+700*time.Millisecond); d.Action != Forward || d.Target != target {
				t.Fatalf("flow %d: %v", n, d)
			}
		}
	}
}

// Guards against a service of one target that is given up because a single flow went unanswered.
func TestUnansweredCopyOfOnlyTarget(t *testing.T) {
	e, at := engine(known(1, local)), 10*time.Second
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if d := e.Decide(opening(1), at+after); d.Action != Forward || d.Suspected != nil {
			t.Errorf("after %v: %v, suspects %v", after, d.Action, d.Suspected)
		}
	}
}

// Replays a caller that uses a port again while copies of the old flow's packets are on their way. Guards against a late packet that
// reaches the target of the new flow, whose caller would get an answer that is not its own, and against a new flow that goes on at the
// target of the old one.
func TestPortInUseAgain(t *testing.T) {
	for n := range 50 {
		e, at := engine(five(local)...), 10*time.Second
		old := e.Decide(opening(n), at).Target
		e.Decide(data(n, old.Token, 1), at+10*time.Millisecond)
		e.SetPeerLoads([]directory.Load{{Token: old.Token, Pending: 40}}) // so that the new flow goes to another target
		again := e.Decide(opening(n), at+time.Second)
		if !again.Placed || again.Target == old {
			t.Fatalf("flow %d: placed %t, at the old target %t", n, again.Placed, again.Target == old)
		}
		for i, token := range []directory.Token{again.Target.Token, old.Token, again.Target.Token, old.Token} {
			d := e.Decide(data(n, token, uint32(1000*i)), at+time.Second+time.Duration(i)*10*time.Millisecond)
			if d.Action != Forward || d.Target.Token != token {
				t.Fatalf("flow %d: packet of the target %d goes to %s", n, token, d.Target.Name)
			}
		}
	}
}

// Replays the first moments of a host whose list may be behind. Guards against a refusal of a flow whose route was added a moment ago.
func TestUnknownRouteInProvisionalView(t *testing.T) {
	for provisional, want := range map[bool]Action{true: Drop, false: Refuse} {
		s := snapshot(five(local)...)
		s.Provisional = provisional
		e := NewEngine()
		e.SetView(NewView(s, local))
		p := opening(1)
		p.Endpoint.Port++
		if d := e.Decide(p, time.Second); d.Action != want {
			t.Errorf("provisional %t: %v, want %v", provisional, d.Action, want)
		}
		if d := e.Decide(opening(2), time.Second); d.Action != Forward {
			t.Errorf("provisional %t: known route: %v", provisional, d.Action)
		}
	}
}

// Guards against new flows on targets that leave, and against a service that is emptied because the store lost most of
// its records at once.
func TestNewFlowsByPresence(t *testing.T) {
	for name, tt := range map[string]struct {
		presence directory.Presence
		count    int // targets with it, of five
		used     bool
	}{
		"draining":         {directory.Draining, 4, false},
		"departed":         {directory.Departed, 4, false},
		"few lapsed":       {directory.Lapsed, 2, false},
		"most lapsed":      {directory.Lapsed, 4, true},
		"all lapsed":       {directory.Lapsed, 5, true},
		"draining, by all": {directory.Draining, 5, false},
	} {
		targets := five(local)
		for i := range tt.count {
			targets[i].Presence = tt.presence
		}
		e, used := engine(targets...), false
		for n := range 100 {
			if d := e.Decide(opening(n), 0); d.Target != nil && d.Target.Presence == tt.presence {
				used = true
			}
		}
		if used != tt.used {
			t.Errorf("%s: used %v, want %v", name, used, tt.used)
		}
	}
}
