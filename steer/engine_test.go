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

// known returns a target with the given number.
func known(n int, dataCentre string) directory.TargetEntry {
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

func five(dataCentre string) []directory.TargetEntry {
	var out []directory.TargetEntry
	for i := range 5 {
		out = append(out, known(i+1, dataCentre))
	}
	return out
}

func caller(n int) directory.Endpoint {
	return directory.Endpoint{Address: [4]byte{127, 1, byte(n >> 16), byte(n >> 8)}, Port: uint16(n&0xff) + 1000}
}

func opening(n int) *Packet { return &Packet{Caller: caller(n), Endpoint: endpoint, Open: true} }

func data(n int, token directory.Token, sequence uint32) *Packet {
	return &Packet{Caller: caller(n), Endpoint: endpoint, Acknowledges: true, Acknowledgement: 7, Sequence: sequence, Payload: 100, Token: token}
}

// answered plays the caller's answer to the target, which shows that the target lives.
func answered(e *Engine, n int, token directory.Token, now time.Duration) {
	e.Decide(&Packet{Caller: caller(n), Endpoint: endpoint, Acknowledges: true, Acknowledgement: 7, Token: token}, now)
}

// Guards against packets of an open flow that go astray at a balancer that has never seen the flow, whatever became of
// the route and the state of the target.
func TestOpenFlowFollowsToken(t *testing.T) {
	targets := five(local)
	targets[1].Presence, targets[2].Presence, targets[3].Presence = directory.Draining, directory.Lapsed, directory.Departed
	s := snapshot(targets...)
	s.Configuration.Routes = nil
	e := NewEngine()
	e.SetView(NewView(s, remote))
	for i := range targets {
		d := e.Decide(data(i, targets[i].Token(), 1), 0)
		if d.Action != Forward || d.Target.Name != targets[i].Name {
			t.Errorf("target %v: %v to %v", targets[i].Presence, d.Action, d.Target)
		}
	}
}

// Guards against a reset of a flow whose target may live, and against callers that wait for a target that has ended.
func TestPacketsWithoutTarget(t *testing.T) {
	gone := known(1, local)
	gone.Presence = directory.Gone
	for name, tt := range map[string]struct {
		packet *Packet
		action Action
		code   resultcode.Code
	}{
		"unknown token":           {data(1, 12345, 1), Drop, resultcode.PacketUnknownFlow},
		"no token":                {data(1, 0, 1), Drop, resultcode.PacketUnknownFlow},
		"target gone":             {data(1, gone.Token(), 1), Break, resultcode.TargetGone},
		"reset to a target gone":  {&Packet{Token: gone.Token(), Reset: true}, Drop, resultcode.TargetGone},
		"no route":                {&Packet{Open: true}, Refuse, resultcode.PacketUnknownEndpoint},
		"no target for new flows": {opening(1), Refuse, resultcode.RefusedNoTarget},
	} {
		if d := engine(gone).Decide(tt.packet, 0); d.Action != tt.action || d.Code != tt.code {
			t.Errorf("%s: %v, %v", name, d.Action, d.Code)
		}
	}
	if d := NewEngine().Decide(opening(1), 0); d.Action != Drop || d.Code != resultcode.NotReady {
		t.Errorf("without a view: %v, %v", d.Action, d.Code)
	}
}

// Guards against a flow that moves to another balancer, or opens late, without a trace in the log.
func TestDecisionTellsOfAdoptionAndOpening(t *testing.T) {
	e := engine(five(local)...)
	d := e.Decide(opening(1), time.Second)
	d = e.Decide(&Packet{Caller: caller(1), Endpoint: endpoint, Acknowledges: true, Acknowledgement: 7, Token: d.Target.Token}, 2*time.Second)
	if d.Opened != time.Second || d.Adopted {
		t.Errorf("opened after %v, adopted %v", d.Opened, d.Adopted)
	}
	if d = e.Decide(data(2, d.Target.Token, 1), 2*time.Second); !d.Adopted || d.Opened != 0 {
		t.Errorf("opened after %v, adopted %v", d.Opened, d.Adopted)
	}
	if d = e.Decide(data(2, d.Target.Token, 101), 2*time.Second); d.Adopted {
		t.Error("adopted twice")
	}
}

// Guards against opening packets that waited while the process stood still and are placed although their callers have
// given up or opened the flow elsewhere, and against packets of open flows that are lost with them.
func TestFencedAfterPause(t *testing.T) {
	e := engine(five(local)...)
	token := e.Decide(opening(1), 0).Target.Token
	e.SetFenced(true)
	if d := e.Decide(opening(2), 5*time.Second); d.Action != Drop || d.Code != resultcode.PacketFenced {
		t.Errorf("opening packet: %v, %v", d.Action, d.Code)
	}
	if d := e.Decide(data(1, token, 1), 5*time.Second); d.Action != Forward {
		t.Errorf("packet of an open flow: %v, %v", d.Action, d.Code)
	}
	e.SetFenced(false)
	if d := e.Decide(opening(2), 5*time.Second); d.Action != Forward {
		t.Errorf("after the pause: %v, %v", d.Action, d.Code)
	}
}

// Replays the end of a cut between this data centre and the store: the records of its own targets lapsed meanwhile, those of
// another data centre did not. Guards against flows that all leave the data centre until the records are back.
func TestLapsedTargetsOfOwnDataCentre(t *testing.T) {
	var targets []directory.TargetEntry
	for i := range 5 {
		k := known(i+1, local)
		k.Presence = directory.Lapsed
		targets = append(targets, k, known(i+11, remote))
	}
	e := engine(targets...)
	for n := range 20 {
		if d := e.Decide(opening(n), 0); d.Target.DataCentre != local {
			t.Fatalf("flow %d goes to %s", n, d.Target.DataCentre)
		}
	}
}

// Guards against two targets under one token: flows of the older one must stay there, and the newer one gets none.
func TestTokenCollision(t *testing.T) {
	older, newer := known(1, local), known(1, local)
	newer.Name, newer.StartedMS = "u-1", 99 // the token depends on the identity alone
	for _, order := range [][]directory.TargetEntry{{older, newer}, {newer, older}} {
		v := NewView(snapshot(order...), local)
		if got := v.Resolve(older.Token()); got.Name != older.Name {
			t.Errorf("token resolves to %s", got.Name)
		}
		if p := v.pools["ingest"]; len(p.local) != 1 || p.local[0].Name != older.Name {
			t.Errorf("%d targets get new flows", len(p.local))
		}
	}
}

// Replays a target that falls silent while callers keep opening flows. Guards against flows that go on being placed on it
// until its record is removed, and against a suspicion that outlasts its return.
func TestSilentTarget(t *testing.T) {
	e := engine(five(local)...)
	dark, now := known(2, local).Name, 10*time.Second
	lost := 0
	for n := range 1000 {
		now += 10 * time.Millisecond
		d := e.Decide(opening(n), now)
		if d.Target.Name != dark {
			answered(e, n, d.Target.Token, now+time.Millisecond)
			continue
		}
		lost++
		if d := e.Decide(opening(n), now+200*time.Millisecond); d.Target.Name != dark {
			answered(e, n, d.Target.Token, now+201*time.Millisecond)
		}
	}
	// 10 s of darkness: two flows for each time that the target is tried, every 1.5 s.
	if most := silentFlows * int(10*time.Second/suspicion+1); lost > most {
		t.Errorf("%d flows on a silent target, at most %d expected", lost, most)
	}
	now += suspicion
	for n := 1000; n < 2000; n++ {
		now += 10 * time.Millisecond
		d := e.Decide(opening(n), now)
		answered(e, n, d.Target.Token, now+time.Millisecond)
		if d.Target.Name == dark {
			return
		}
	}
	t.Error("a target that answers again gets no flows")
}

// Guards against a caller that gives up and is taken for a sign of life of its target.
func TestEndByCallerIsNoAnswer(t *testing.T) {
	for name, last := range map[string]Packet{"finish": {Finish: true}, "reset": {Reset: true}} {
		e, now := engine(known(1, local)), 10*time.Second
		var suspected *Target
		for n := range silentFlows {
			token := e.Decide(opening(n), now).Target.Token
			suspected = e.Decide(opening(n), now+200*time.Millisecond).Suspected
			last.Caller, last.Endpoint, last.Token = caller(n), endpoint, token
			e.Decide(&last, now+300*time.Millisecond)
		}
		if suspected == nil {
			t.Errorf("%s: the silent target is not suspect", name)
		}
	}
}

// Replays a change of the rotation: requests are answered through other balancers. Guards against load that a balancer goes
// on seeing on a target for flows that it no longer carries.
func TestMovedFlowsDoNotWaitHere(t *testing.T) {
	e, now := engine(five(local)...), 10*time.Second
	for n := range 50 {
		token := e.Decide(opening(n), now).Target.Token
		answered(e, n, token, now)
		e.Decide(data(n, token, 1), now)
	}
	for n := 50; n < 350; n++ { // opening packets let the engine look at old flows
		now += 20 * time.Millisecond
		token := e.Decide(opening(n), now).Target.Token
		answered(e, n, token, now)
	}
	waiting := 0
	for _, l := range e.Loads(now) {
		waiting += int(l.Pending)
	}
	if waiting > 0 {
		t.Errorf("%d requests wait 6 s after the flows moved away", waiting)
	}
}

// silence plays flows at the target that are open and then go unanswered, beside other packets, and returns their token.
func silence(e *Engine, flows int, answeredAt, now time.Duration) directory.Token {
	var token directory.Token
	for n := range flows {
		token = e.Decide(opening(n), answeredAt).Target.Token
		answered(e, n, token, answeredAt)
	}
	for at := answeredAt; at < now; at += lostAfter / 2 {
		e.Decide(&Packet{Caller: caller(1000), Open: true}, at)
	}
	for n := range flows {
		e.Decide(data(n, token, 1), now-200*time.Millisecond)
		e.Decide(data(n, token, 1), now)
	}
	return token
}

// Replays the crash of a target with open flows. Guards against requests on its flows that wait until their deadline, because
// the store tells of the end seconds later, and against resets for want of proof: a target that is only silent here, only
// elsewhere, or that showed a sign of life a moment ago may live.
func TestFlowsOfLostTargetAreReset(t *testing.T) {
	now := 10 * time.Second
	suspect := func(token directory.Token) []directory.Load { return []directory.Load{{Token: token, Suspect: true}} }
	for name, c := range map[string]struct {
		flows     int
		elsewhere bool
		answered  time.Duration
		want      Action
	}{
		"silent here and elsewhere": {silentFlows, true, now - 2*time.Second, Break},
		"silent here":               {silentFlows, false, now - 2*time.Second, Forward},
		"one flow here":             {silentFlows - 1, true, now - 2*time.Second, Forward},
		"sign of life":              {silentFlows, true, now - lostAfter/2, Forward},
	} {
		e := engine(known(1, local))
		token := silence(e, c.flows, c.answered, now)
		if c.elsewhere {
			e.SetOthers(suspect(token))
		}
		d := e.Decide(data(0, token, 101), now)
		if d.Action != c.want {
			t.Errorf("%s: %v", name, d.Action)
		}
		if d.Action == Break && (d.Code != resultcode.TargetLost || e.Flows() != c.flows-1) {
			t.Errorf("%s: code %v, %d flows", name, d.Code, e.Flows())
		}
	}
}

// Replays a balancer that stood still: the repetitions of its callers wait in the socket, and the answers of their targets were
// acknowledged elsewhere. Guards against resets of living flows at waking.
func TestPauseIsNoProofOfLoss(t *testing.T) {
	e, at := engine(known(1, local)), 10*time.Second
	const flows = 5
	var token directory.Token
	for n := range flows {
		token = e.Decide(opening(n), at).Target.Token
		answered(e, n, token, at)
		e.Decide(data(n, token, 1), at)
	}
	e.SetOthers([]directory.Load{{Token: token, Suspect: true}})
	woken := at + 3*time.Second
	for range 2 {
		for n := range flows {
			if d := e.Decide(data(n, token, 1), woken); d.Action != Forward {
				t.Fatalf("flow %d: %v", n, d.Action)
			}
		}
	}
}

// Guards against a target that is never used again after two balancers took it for lost.
func TestLostTargetIsTriedAgain(t *testing.T) {
	now := 10 * time.Second
	e := engine(known(1, local))
	token := silence(e, silentFlows, now-2*time.Second, now)
	e.SetOthers([]directory.Load{{Token: token, Suspect: true}})
	for at := now; at < now+lostSuspicion; at += 50 * time.Millisecond {
		e.Decide(data(9, token, 1), at)
	}
	if d := e.Decide(data(9, token, 1), now+lostSuspicion+time.Millisecond); d.Action != Forward {
		t.Errorf("%v after the suspicion", d.Action)
	}
}

// Guards against memory that grows with flows that were never finished.
func TestFlowsExpire(t *testing.T) {
	e, now := engine(five(local)...), time.Duration(0)
	most := 0
	for n := range 100_000 {
		now += time.Millisecond
		d := e.Decide(opening(n), now)
		if n%2 == 0 {
			answered(e, n, d.Target.Token, now)
		}
		most = max(most, e.Flows())
	}
	if want := int((flowRetention + openingRetention) / time.Millisecond); most > want {
		t.Errorf("%d flows remembered, at most %d are recent", most, want)
	}
}

// Guards against packets that cost memory, since each one would add to the work of the garbage collector.
func TestCarryDoesNotAllocate(t *testing.T) {
	e := engine(five(local)...)
	d := e.Decide(opening(1), 0)
	answered(e, 1, d.Target.Token, 0)
	p := data(1, d.Target.Token, 1)
	if n := testing.AllocsPerRun(1000, func() { e.Decide(p, time.Second); p.Sequence += 100 }); n != 0 {
		t.Errorf("%v allocations for each packet", n)
	}
}

// Guards against an operator who is told the wrong state of a flow that callers complain about.
func TestLookup(t *testing.T) {
	e := engine(known(1, local))
	p := opening(1)
	key := p.Flow()
	if _, found := e.Lookup(key, 0); found {
		t.Error("a flow that was never seen is known")
	}
	token := e.Decide(p, 0).Target.Token
	at := 100 * time.Millisecond
	if f, found := e.Lookup(key, at); !found || f.Open || f.Waiting != at || f.Quiet != at || f.Target.Token != token {
		t.Errorf("opening: %+v, %v", f, found)
	}
	answered(e, 1, token, at)
	if f, _ := e.Lookup(key, 2*at); !f.Open || f.Waiting != 0 || f.Quiet != at {
		t.Errorf("open: %+v", f)
	}
	e.Decide(data(1, token, 1), 2*at)
	if f, _ := e.Lookup(key, 5*at); !f.Open || f.Waiting != 3*at {
		t.Errorf("waiting: %+v", f)
	}
}

// Replays balancers that restart one after the other, so that the fabric hands the packets of waiting flows to others. Guards
// against requests that count as load of their targets for as long as few new flows come.
func TestFlowsThatMovedAreNoLoad(t *testing.T) {
	e := engine(five(local)...)
	token := e.Decide(opening(0), 0).Target.Token
	const flows = 2000
	for n := range flows {
		e.Decide(opening(n), 0)
		answered(e, n, token, 0)
		e.Decide(data(n, token, 1), 0)
	}
	now := waitRetention + time.Millisecond
	e.Decide(data(0, token, 1), now/2) // repeated here
	for _, l := range e.Loads(now) {
		if l.Token == token && l.Pending != 1 {
			t.Errorf("%d requests wait, of which all but 1 have moved", l.Pending)
		}
	}
}
