package steer

import (
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
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
