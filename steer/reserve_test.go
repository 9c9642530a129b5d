package steer

import (
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Guards against balancers that reserve different targets, so that bulk flows reach all of them, and against a data centre of which
// all targets are reserved.
func TestBalancersReserveTheSameTargets(t *testing.T) {
	var targets []directory.TargetEntry
	for i := range 40 {
		targets = append(targets, knownTarget(i+1, [...]string{local, remote}[i%2]))
	}
	here := NewView(snapshot(targets...), local)
	slices.Reverse(targets)
	there := NewView(snapshot(targets...), remote)
	s := reserve{active: true, share: 0.3}
	count := map[string]int{}
	for token, target := range here.tokens {
		if s.holds(target) != s.holds(there.tokens[token]) {
			t.Errorf("target %s is reserved by one of the balancers", target.Name)
		}
		if s.holds(target) {
			count[target.DataCentre]++
		}
	}
	if count[local] != 6 || count[remote] != 6 {
		t.Errorf("reserved targets by data centre: %v, want 0.3 of 20", count)
	}
}

// Guards against bulk flows that take the room of urgent ones while targets are reserved, and against a reserve that outlives the
// flows that showed the overload.
func TestReservedTargetsGetNoBulkFlows(t *testing.T) {
	s := newLoadedService(1, 20)
	var warm tally
	s.run(0, time.Second, &warm, &warm, 40, 10)
	e := s.engines[0]
	d := e.demands["ingest"]
	now := time.Second
	d.reserve = reserve{active: true, share: 0.3, sizedAt: now, lastOverloaded: now}
	for n := range 6 {
		bulk := e.Decide(openingPacket(1000+n), now)
		urgent := e.Decide(&Packet{Caller: caller(2000 + n), Endpoint: urgentEndpoint, Open: true}, now)
		if d.reserve.holds(bulk.Target) || !d.reserve.holds(urgent.Target) {
			t.Errorf("reserved targets: bulk flow %v, urgent flow %v, want false, true",
				d.reserve.holds(bulk.Target), d.reserve.holds(urgent.Target))
		}
	}
	if d.reserve.inForce(now + reserveHold) {
		t.Error("targets are reserved although no flow has shown an overload since")
	}
}

// Replays queues of which none is worked off within the time of the route, before and after one target has a free slot. Guards
// against flows that wait in vain, against refusals while a target has room, and against refusals of copies.
func TestFlowsThatCannotBeInTimeAreRefused(t *testing.T) {
	s := newLoadedService(3, 5)
	var warm tally
	s.run(0, time.Second, &warm, &warm, 40, 10)
	e := s.engines[0]
	e.View().Route(urgentEndpoint).Timeout = 300 * time.Millisecond
	loads := directory.Loads{}
	for token := range e.View().tokens {
		loads.Targets = append(loads.Targets, directory.Load{Token: token, Pending: 40})
	}
	e.SetPeerLoads(loads)
	n, now := 3000, time.Second
	open := func(copies uint32) Decision {
		n++
		now += 10 * time.Millisecond
		return e.Decide(&Packet{Caller: caller(n), Endpoint: urgentEndpoint, Open: true, Acknowledgement: copies}, now)
	}
	for range 100 {
		open(0)
	}
	if d := open(0); d.Action != Refuse || d.Code != resultcode.RefusedNoSlot || d.ExpectedWait < 300*time.Millisecond {
		t.Errorf("all queues are too long: action %v, code %v, expected wait %v, want a refusal", d.Action, d.Code, d.ExpectedWait)
	}
	if d := open(1); d.Action != Forward {
		t.Errorf("a copy of an opening packet: action %v, want forward", d.Action)
	}
	now += 2 * waitRetention // the flows opened so far no longer count as load
	if d := open(0); d.Action != Refuse {
		t.Errorf("all queues are too long by the reports alone: action %v, want refuse", d.Action)
	}
	loads.Targets[0].Pending = 0
	e.SetPeerLoads(loads)
	if d := open(0); d.Action != Forward {
		t.Errorf("a target has a free slot: action %v, code %v, want forward", d.Action, d.Code)
	}
}

// Guards against refusals on a route whose time is shorter than the service time while targets have room.
func TestShortTimeIsNoOverload(t *testing.T) {
	s := newLoadedService(3, 5)
	var warm tally
	s.run(0, time.Second, &warm, &warm, 40, 10)
	e := s.engines[0]
	e.View().Route(urgentEndpoint).Timeout = meanServiceTime / 4
	if d := e.Decide(&Packet{Caller: caller(3000), Endpoint: urgentEndpoint, Open: true}, time.Second); d.Action != Forward {
		t.Errorf("action %v, code %v, want forward", d.Action, d.Code)
	}
}

// Replays an overload in which one target has a free slot at each moment. Guards against refusals while a target has room.
func TestNothingIsRefusedWhileATargetHasRoom(t *testing.T) {
	e := newLoadedService(6, 20).fillTargets()
	now := 2 * time.Second
	refusals := func(free *Target) (n int) {
		for range 50 {
			now += 10 * time.Millisecond
			if free != nil {
				free.load.peers.Pending, free.load.pending = 0, 0
			}
			if e.Decide(openingPacket(int(now/time.Millisecond)), now).Action == Refuse {
				n++
			}
		}
		return n
	}
	for range 3 {
		refusals(nil)
	}
	if refusals(nil) == 0 {
		t.Fatal("no flow is refused although all targets are full")
	}
	var last *Target // of the order in which targets are reserved: bulk flows may use it
	for _, target := range e.View().tokens {
		if last == nil || target.reservePosition > last.reservePosition {
			last = target
		}
	}
	if n := refusals(last); n > 0 {
		t.Errorf("%d of 50 flows were refused although a target has free slots", n)
	}
}

// Guards against the refusal of a flow that this balancer has offered to a target, if the copy of its opening packet has lost its count.
func TestOfferedFlowsAreNotRefused(t *testing.T) {
	e := newLoadedService(6, 20).fillTargets()
	now := 2 * time.Second
	open := func(network byte, n int) Decision {
		p := openingPacket(0)
		p.Caller.Address = [4]byte{127, 3, network, byte(n)}
		return e.Decide(p, now)
	}
	for n := range 150 {
		open(1, n)
		now += 10 * time.Millisecond
	}
	var offered []int
	for n := range 30 {
		if open(2, n).Action == Forward {
			offered = append(offered, n)
		}
	}
	if len(offered) == 0 || len(offered) == 30 {
		t.Fatalf("%d of 30 flows are placed, want some", len(offered))
	}
	for range 3 { // in other turns of the callers
		now += turnDuration
		for _, n := range offered {
			if d := open(2, n); d.Action != Forward {
				t.Errorf("flow %d: action %v, code %v, want forward", n, d.Action, d.Code)
			}
		}
	}
}
