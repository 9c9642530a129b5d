package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

var endpoint = directory.Endpoint{Address: [4]byte{127, 0, 9, 1}, Port: 443}

const (
	local  = "regina"
	remote = "brandon"
)

func knownTarget(n int, dataCentre string) directory.TargetEntry {
	return directory.TargetEntry{Target: directory.Target{
		Name: fmt.Sprintf("t-%x", n), ID: directory.TargetID(n), Service: "ingest", DataCentre: dataCentre, Capacity: 3,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 8, byte(n)}), 80), StartedMS: int64(n),
	}}
}

func snapshot(targets ...directory.TargetEntry) *directory.Snapshot {
	return &directory.Snapshot{Targets: targets, Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{{
		Endpoint: endpoint, Services: []directory.WeightedService{{Name: "ingest", Weight: 1}},
	}}}}
}

func engine(targets ...directory.TargetEntry) *Engine {
	e := NewEngine()
	e.SetView(NewView(snapshot(targets...), local))
	return e
}

func fiveTargets(dataCentre string) []directory.TargetEntry {
	var out []directory.TargetEntry
	for i := range 5 {
		out = append(out, knownTarget(i+1, dataCentre))
	}
	return out
}

func caller(n int) directory.Endpoint {
	return directory.Endpoint{Address: [4]byte{127, 1, byte(n >> 16), byte(n >> 8)}, Port: uint16(n&0xff) + 1000}
}

func openingPacket(n int) *Packet { return &Packet{Caller: caller(n), Endpoint: endpoint, Open: true} }

func dataPacket(n int, token directory.Token, sequence uint32) *Packet {
	return &Packet{
		Caller: caller(n), Endpoint: endpoint, Acknowledges: true, Acknowledgement: 7, Sequence: sequence, Payload: 100, Token: token,
	}
}

// acknowledge sends the caller's acknowledgement of the target's answer, which shows that the target is alive.
func acknowledge(e *Engine, n int, token directory.Token, now time.Duration) {
	e.Decide(&Packet{Caller: caller(n), Endpoint: endpoint, Acknowledges: true, Acknowledgement: 7, Token: token}, now)
}

// Guards against misrouted packets of an open flow that is new to the balancer, whatever its route and target state.
func TestOpenFlowFollowsToken(t *testing.T) {
	targets := fiveTargets(local)
	targets[1].Presence, targets[2].Presence, targets[3].Presence = directory.Draining, directory.Lapsed, directory.Departed
	s := snapshot(targets...)
	s.Configuration.Routes = nil
	e := NewEngine()
	e.SetView(NewView(s, remote))
	for i := range targets {
		d := e.Decide(dataPacket(i, targets[i].Token(), 1), 0)
		if d.Action != Forward || d.Target.Name != targets[i].Name {
			t.Errorf("%v target: action %v to %v, want forward to the target", targets[i].Presence, d.Action, d.Target)
		}
	}
}

// Guards against a reset of a flow whose target may be alive, and against callers that wait for an ended target.
func TestPacketsWithoutTarget(t *testing.T) {
	gone := knownTarget(1, local)
	gone.Presence = directory.Gone
	for name, tt := range map[string]struct {
		packet *Packet
		action Action
		code   resultcode.Code
	}{
		"unknown token":           {dataPacket(1, 12345, 1), Drop, resultcode.PacketUnknownFlow},
		"no token":                {dataPacket(1, 0, 1), Drop, resultcode.PacketUnknownFlow},
		"target gone":             {dataPacket(1, gone.Token(), 1), Break, resultcode.TargetGone},
		"reset to a target gone":  {&Packet{Token: gone.Token(), Reset: true}, Drop, resultcode.TargetGone},
		"no route":                {&Packet{Open: true}, Refuse, resultcode.PacketUnknownEndpoint},
		"no target for new flows": {openingPacket(1), Refuse, resultcode.RefusedNoTarget},
	} {
		if d := engine(gone).Decide(tt.packet, 0); d.Action != tt.action || d.Code != tt.code {
			t.Errorf("%s: unexpected action %v, code %v", name, d.Action, d.Code)
		}
	}
	if d := NewEngine().Decide(openingPacket(1), 0); d.Action != Drop || d.Code != resultcode.NotReady {
		t.Errorf("without a view: action %v, code %v, want drop as not ready", d.Action, d.Code)
	}
}

// Guards against a log that does not show a flow that moved to another balancer or opened late.
func TestDecisionReportsAdoptionAndOpening(t *testing.T) {
	e := engine(fiveTargets(local)...)
	d := e.Decide(openingPacket(1), time.Second)
	d = e.Decide(&Packet{
		Caller: caller(1), Endpoint: endpoint, Acknowledges: true, Acknowledgement: 7, Token: d.Target.Token,
	}, 2*time.Second)
	if d.OpenLatency != time.Second || d.Adopted {
		t.Errorf("open latency %v, adopted %v, want 1s, false", d.OpenLatency, d.Adopted)
	}
	if d = e.Decide(dataPacket(2, d.Target.Token, 1), 2*time.Second); !d.Adopted || d.OpenLatency != 0 {
		t.Errorf("open latency %v, adopted %v, want 0, true", d.OpenLatency, d.Adopted)
	}
	if d = e.Decide(dataPacket(2, d.Target.Token, 101), 2*time.Second); d.Adopted {
		t.Error("a flow that is tracked already is adopted again")
	}
}

// Guards against opening packets that queued during a pause of the process and are placed although their callers have
// given up or opened the flow elsewhere, and against the loss of packets of open flows.
func TestFencingAfterPause(t *testing.T) {
	e := engine(fiveTargets(local)...)
	token := e.Decide(openingPacket(1), 0).Target.Token
	e.SetFenced(true)
	if d := e.Decide(openingPacket(2), 5*time.Second); d.Action != Drop || d.Code != resultcode.PacketFenced {
		t.Errorf("opening packet: action %v, code %v, want drop as fenced", d.Action, d.Code)
	}
	if d := e.Decide(dataPacket(1, token, 1), 5*time.Second); d.Action != Forward {
		t.Errorf("packet of an open flow: action %v, code %v, want forward", d.Action, d.Code)
	}
	e.SetFenced(false)
	if d := e.Decide(openingPacket(2), 5*time.Second); d.Action != Forward {
		t.Errorf("opening packet after the pause: action %v, code %v, want forward", d.Action, d.Code)
	}
}

// Replays the end of a partition from the store in which only the records of the local targets lapsed. Guards against
// new flows that all leave the data centre until the records are back.
func TestLapsedTargetsOfOwnDataCentre(t *testing.T) {
	var targets []directory.TargetEntry
	for i := range 5 {
		k := knownTarget(i+1, local)
		k.Presence = directory.Lapsed
		targets = append(targets, k, knownTarget(i+11, remote))
	}
	e := engine(targets...)
	for n := range 20 {
		if d := e.Decide(openingPacket(n), 0); d.Target.DataCentre != local {
			t.Fatalf("flow %d goes to %s, want the local data centre", n, d.Target.DataCentre)
		}
	}
}

// Guards against two targets with the same token: flows of the older one must stay there, and the newer one gets none.
func TestTokenCollision(t *testing.T) {
	older, newer := knownTarget(1, local), knownTarget(1, local)
	newer.Name, newer.StartedMS = "u-1", 99 // the token depends only on the ID
	for _, order := range [][]directory.TargetEntry{{older, newer}, {newer, older}} {
		v := NewView(snapshot(order...), local)
		if got := v.Resolve(older.Token()); got.Name != older.Name {
			t.Errorf("token resolves to %s, want the older target", got.Name)
		}
		if p := v.pools["ingest"]; len(p.local) != 1 || p.local[0].Name != older.Name {
			t.Errorf("%d targets get new flows, want only the older one", len(p.local))
		}
	}
}

// Replays a target that stops answering while callers keep opening flows. Guards against flows that are placed on it
// until its record is removed, and against a target that stays suspect after it answers again.
func TestUnresponsiveTarget(t *testing.T) {
	e := engine(fiveTargets(local)...)
	unresponsive, now := knownTarget(2, local).Name, 10*time.Second
	misplaced := 0
	for n := range 1000 {
		now += 10 * time.Millisecond
		d := e.Decide(openingPacket(n), now)
		if d.Target.Name != unresponsive {
			acknowledge(e, n, d.Target.Token, now+time.Millisecond)
			continue
		}
		misplaced++
		if d := e.Decide(openingPacket(n), now+200*time.Millisecond); d.Target.Name != unresponsive {
			acknowledge(e, n, d.Target.Token, now+201*time.Millisecond)
		}
	}
	// It is unresponsive for 10 s: suspectThreshold flows for each time that the target is tried, every 1.5 s.
	if most := suspectThreshold * int(10*time.Second/suspectFor+1); misplaced > most {
		t.Errorf("%d flows on an unresponsive target, want at most %d", misplaced, most)
	}
	now += suspectFor
	for n := 1000; n < 2000; n++ {
		now += 10 * time.Millisecond
		d := e.Decide(openingPacket(n), now)
		acknowledge(e, n, d.Target.Token, now+time.Millisecond)
		if d.Target.Name == unresponsive {
			return
		}
	}
	t.Error("a target that answers again gets no flows")
}

// Guards against a caller that gives up and whose last packet is taken for an answer of its target.
func TestCallerCloseIsNoAnswer(t *testing.T) {
	for name, last := range map[string]Packet{"finish": {Finish: true}, "reset": {Reset: true}} {
		e, now := engine(knownTarget(1, local)), 10*time.Second
		var suspected *Target
		for n := range suspectThreshold {
			token := e.Decide(openingPacket(n), now).Target.Token
			suspected = e.Decide(openingPacket(n), now+200*time.Millisecond).Suspected
			last.Caller, last.Endpoint, last.Token = caller(n), endpoint, token
			e.Decide(&last, now+300*time.Millisecond)
		}
		if suspected == nil {
			t.Errorf("%s: the unresponsive target is not suspect", name)
		}
	}
}

// Replays a change of routes in the network after which requests are answered through other balancers. Guards against
// requests that a balancer counts as pending for flows that it no longer forwards.
func TestMovedFlowsAreNotPending(t *testing.T) {
	e, now := engine(fiveTargets(local)...), 10*time.Second
	for n := range 50 {
		token := e.Decide(openingPacket(n), now).Target.Token
		acknowledge(e, n, token, now)
		e.Decide(dataPacket(n, token, 1), now)
	}
	for n := 50; n < 350; n++ { // opening packets trigger the expiry of old flows
		now += 20 * time.Millisecond
		token := e.Decide(openingPacket(n), now).Target.Token
		acknowledge(e, n, token, now)
	}
	waiting := 0
	for _, l := range e.Loads(now) {
		waiting += int(l.Pending)
	}
	if waiting > 0 {
		t.Errorf("%d requests are pending 6 s after the flows moved to other balancers, want 0", waiting)
	}
}

// leaveUnanswered opens flows whose requests then go unanswered, amid other packets, and returns their token.
func leaveUnanswered(e *Engine, count int, answeredAt, now time.Duration) directory.Token {
	var token directory.Token
	for n := range count {
		token = e.Decide(openingPacket(n), answeredAt).Target.Token
		acknowledge(e, n, token, answeredAt)
	}
	for at := answeredAt; at < now; at += lostTimeout / 2 {
		e.Decide(&Packet{Caller: caller(1000), Open: true}, at)
	}
	for n := range count {
		e.Decide(dataPacket(n, token, 1), now-200*time.Millisecond)
		e.Decide(dataPacket(n, token, 1), now)
	}
	return token
}

// Replays the crash of a target. Guards against requests that wait for their deadline as the store reports the end
// late, and against resets while the target may be alive: unresponsive only here, only elsewhere, or answered just now.
func TestFlowsOfLostTargetAreReset(t *testing.T) {
	now := 10 * time.Second
	silent, full := directory.Load{Suspect: true, Silent: true}, directory.Load{Suspect: true}
	for name, c := range map[string]struct {
		flows     int
		elsewhere directory.Load
		answered  time.Duration
		want      Action
	}{
		"unresponsive here and elsewhere":         {suspectThreshold, silent, now - 2*time.Second, Break},
		"unresponsive here":                       {suspectThreshold, directory.Load{}, now - 2*time.Second, Forward},
		"unresponsive here, opens none elsewhere": {suspectThreshold, full, now - 2*time.Second, Forward},
		"one unanswered flow here":                {suspectThreshold - 1, silent, now - 2*time.Second, Forward},
		"recent answer":                           {suspectThreshold, silent, now - lostTimeout/2, Forward},
	} {
		e := engine(knownTarget(1, local))
		token := leaveUnanswered(e, c.flows, c.answered, now)
		c.elsewhere.Token = token
		e.SetPeerLoads(directory.Loads{Targets: []directory.Load{c.elsewhere}})
		d := e.Decide(dataPacket(0, token, 101), now)
		if d.Action != c.want {
			t.Errorf("%s: unexpected action %v", name, d.Action)
		}
		if d.Action == Break && (d.Code != resultcode.TargetLost || e.Flows() != c.flows-1) {
			t.Errorf("%s: code %v and %d tracked flows, want the target lost and one flow less", name, d.Code, e.Flows())
		}
	}
}

// Replays a balancer that was paused: retransmissions of its callers queued in the socket, and the answers of their
// targets were acknowledged elsewhere. Guards against resets of live flows when it resumes.
func TestPauseDoesNotResetFlows(t *testing.T) {
	e, at := engine(knownTarget(1, local)), 10*time.Second
	const flows = 5
	var token directory.Token
	for n := range flows {
		token = e.Decide(openingPacket(n), at).Target.Token
		acknowledge(e, n, token, at)
		e.Decide(dataPacket(n, token, 1), at)
	}
	e.SetPeerLoads(directory.Loads{Targets: []directory.Load{{Token: token, Suspect: true, Silent: true}}})
	resumed := at + 3*time.Second
	for range 2 {
		for n := range flows {
			if d := e.Decide(dataPacket(n, token, 1), resumed); d.Action != Forward {
				t.Fatalf("flow %d: action %v, want forward", n, d.Action)
			}
		}
	}
}

// Guards against a target that is never used again after two balancers took it for lost.
func TestLostTargetIsTriedAgain(t *testing.T) {
	now := 10 * time.Second
	e := engine(knownTarget(1, local))
	token := leaveUnanswered(e, suspectThreshold, now-2*time.Second, now)
	e.SetPeerLoads(directory.Loads{Targets: []directory.Load{{Token: token, Suspect: true, Silent: true}}})
	for at := now; at < now+lostSuspectFor; at += 50 * time.Millisecond {
		e.Decide(dataPacket(9, token, 1), at)
	}
	if d := e.Decide(dataPacket(9, token, 1), now+lostSuspectFor+time.Millisecond); d.Action != Forward {
		t.Errorf("action %v after lostSuspectFor, want forward", d.Action)
	}
}

// Guards against memory that grows with flows that were never finished.
func TestFlowsExpire(t *testing.T) {
	e, now := engine(fiveTargets(local)...), time.Duration(0)
	most := 0
	for n := range 100_000 {
		now += time.Millisecond
		d := e.Decide(openingPacket(n), now)
		if n%2 == 0 {
			acknowledge(e, n, d.Target.Token, now)
		}
		most = max(most, e.Flows())
	}
	if want := int((flowRetention + openingRetention) / time.Millisecond); most > want {
		t.Errorf("%d flows are tracked, want at most %d", most, want)
	}
}

// Guards against allocations for each packet, which add to the work of the garbage collector.
func TestForwardOpenFlowDoesNotAllocate(t *testing.T) {
	e := engine(fiveTargets(local)...)
	d := e.Decide(openingPacket(1), 0)
	acknowledge(e, 1, d.Target.Token, 0)
	p := dataPacket(1, d.Target.Token, 1)
	if n := testing.AllocsPerRun(1000, func() { e.Decide(p, time.Second); p.Sequence += 100 }); n != 0 {
		t.Errorf("%v allocations for each packet, want 0", n)
	}
}

// Guards against a wrong state of a flow in the answer to an operator who looks into a complaint.
func TestLookup(t *testing.T) {
	e := engine(knownTarget(1, local))
	p := openingPacket(1)
	key := p.Flow()
	if _, found := e.Lookup(key, 0); found {
		t.Error("a flow that was never seen is found")
	}
	token := e.Decide(p, 0).Target.Token
	at := 100 * time.Millisecond
	if f, found := e.Lookup(key, at); !found || f.Open || f.Waiting != at || f.Idle != at || f.Target.Token != token {
		t.Errorf("opening flow: unexpected state %+v, found %v", f, found)
	}
	acknowledge(e, 1, token, at)
	if f, _ := e.Lookup(key, 2*at); !f.Open || f.Waiting != 0 || f.Idle != at {
		t.Errorf("open flow: unexpected state %+v", f)
	}
	e.Decide(dataPacket(1, token, 1), 2*at)
	if f, _ := e.Lookup(key, 5*at); !f.Open || f.Waiting != 3*at {
		t.Errorf("waiting flow: unexpected state %+v", f)
	}
}

// Replays restarts that move flows between balancers. Guards against moved requests that still count as load.
func TestPendingExpiresWithoutNewFlows(t *testing.T) {
	e := engine(fiveTargets(local)...)
	token := e.Decide(openingPacket(0), 0).Target.Token
	const flows = 2000
	for n := range flows {
		e.Decide(openingPacket(n), 0)
		acknowledge(e, n, token, 0)
		e.Decide(dataPacket(n, token, 1), 0)
	}
	now := waitRetention + time.Millisecond
	e.Decide(dataPacket(0, token, 1), now/2) // retransmitted here
	for _, l := range e.Loads(now) {
		if l.Token == token && l.Pending != 1 {
			t.Errorf("%d requests are pending, want 1: the others have moved", l.Pending)
		}
	}
}
