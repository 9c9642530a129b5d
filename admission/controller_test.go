package admission

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

func requestOf(state *forward.ServiceState, port uint16) forward.Request {
	k := flow.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port), 1)
	return forward.Request{Key: k, Hash: k.Hash(), Service: state, View: stateView{state}}
}

// fill occupies every slot and returns the port of the next flow.
func fill(t *testing.T, c *Controller, state *forward.ServiceState) uint16 {
	t.Helper()
	for port := range uint16(targetCount * slotsPerTarget) {
		if v := c.Admit(0, requestOf(state, port)); v.Outcome != forward.Admitted {
			t.Fatalf("flow %d with free slots: got %+v, want it admitted", port, v)
		}
	}
	return targetCount * slotsPerTarget
}

// Guards against a flow that gets two verdicts or none, a refusal with the wrong code, and a slot that leaks when a waiting
// flow is cancelled.
func TestVerdicts(t *testing.T) {
	const ms = time.Millisecond
	limit := bundle.Limits{SlotsPerTarget: slotsPerTarget}
	c, state := New(nil), newState("short", bundle.ClassUrgent, 50*ms, limit)
	next := fill(t, c, state)
	for range 2 { // the first packet and its retransmission
		if v := c.Admit(0, requestOf(state, next)); v.Outcome != forward.Waiting {
			t.Fatalf("flow without a free slot: got %+v, want it to wait", v)
		}
	}
	if r := c.Poll(49*ms, nil); len(r) != 0 {
		t.Fatalf("before the deadline: got verdicts %+v, want none", r)
	}
	if r := c.Poll(50*ms, nil); len(r) != 1 ||
		r[0].Verdict != (forward.Verdict{Outcome: forward.Refused, Code: resultcode.RefusedDeadline}) {
		t.Fatalf("at the deadline: got verdicts %+v, want one refusal with RefusedDeadline", r)
	}
	// A cancelled flow frees its slot, whether it still waits or was admitted and not polled.
	c.Admit(60*ms, requestOf(state, next+1))
	c.Admit(60*ms, requestOf(state, next+2))
	c.Cancel(61*ms, requestOf(state, next+1).Key)
	c.Done(62*ms, state.Info.ID, state.Table.Targets[0].ID, ms, false)
	c.Cancel(63*ms, requestOf(state, next+2).Key)
	if r := c.Poll(64*ms, nil); len(r) != 0 {
		t.Fatalf("got verdicts %+v on cancelled flows, want none", r)
	}
	if v := c.Admit(65*ms, requestOf(state, next+3)); v != (forward.Verdict{Outcome: forward.Admitted, Target: 0}) {
		t.Fatalf("after a cancelled flow freed its slot: got %+v, want admission to target 0", v)
	}
	for i := range state.Targets {
		state.Targets[i].Eligible = false
	}
	if v := c.Admit(66*ms, requestOf(state, next+4)); v.Code != resultcode.RefusedNoTarget {
		t.Fatalf("without an eligible target: got %+v, want RefusedNoTarget", v)
	}
	// Work of a service without a deadline is refused after the burst wait.
	c, state = New(nil), newState("short", bundle.ClassBulk, 0, limit)
	c.Admit(0, requestOf(state, fill(t, c, state)))
	if r := c.Poll(maxBurstWait, nil); len(r) != 1 || r[0].Verdict.Code != resultcode.RefusedNoSlot {
		t.Fatalf("after the longest wait: got verdicts %+v, want one refusal with RefusedNoSlot", r)
	}
	// Sessions are limited by the number of connections only.
	c, state = New(nil), newState("session", bundle.ClassUrgent, 0,
		bundle.Limits{SlotsPerTarget: 1, ConnectionsPerTarget: slotsPerTarget})
	state.Info.Kind = bundle.KindSession
	if v := c.Admit(0, requestOf(state, fill(t, c, state))); v.Code != resultcode.RefusedConnections {
		t.Fatalf("beyond the connection limit: got %+v, want RefusedConnections", v)
	}
	// A service that left the bundle is removed after its last flow ends.
	c.UpdateServices(0, nil)
	for range targetCount * slotsPerTarget {
		for _, target := range state.Table.Targets {
			c.Done(0, state.Info.ID, target.ID, 0, false)
		}
	}
	if c.UpdateServices(0, nil); len(c.services) != 0 {
		t.Fatal("a service that left the bundle is kept after its last flow ended")
	}
	// Without a limit everything is admitted.
	c, state = New(nil), newState("short", bundle.ClassBulk, 0, bundle.Limits{})
	if v := c.Admit(0, requestOf(state, fill(t, c, state))); v.Outcome != forward.Admitted {
		t.Fatalf("without a slot limit: got %+v, want it admitted", v)
	}
}

// Guards against a caller prefix with excess demand that takes the slots of the others, or has them refused in its place.
func TestCallerFairShare(t *testing.T) {
	seed := *seed
	run := func(p ablation) (light, heavy float64) {
		c := New(nil)
		c.ablation = p
		state := newState("short", bundle.ClassUrgent, 250*time.Millisecond, bundle.Limits{SlotsPerTarget: slotsPerTarget})
		// Nine prefixes demand 0.05 of capacity each, and one demands 2.5 times capacity.
		s := newSimulation(seed, c, load{
			state: state, rate: constant(2.95 * capacity), peakRate: 2.95 * capacity, mean: workMean, minimum: workMin,
			callers: func(r *rand.Rand) netip.Addr {
				x := r.Float64() * 2.95 / 0.05
				return netip.AddrFrom4([4]byte{127, 1, byte(min(9, x)), byte(r.IntN(256))})
			},
		})
		var answered, all [2]float64
		count := func(j *job) int { return int(prefixOf(j.key).Addr().As4()[2]) / 9 }
		s.onDone = func(j *job, _ time.Duration) { answered[count(j)]++; all[count(j)]++ }
		s.onRefused = func(j *job) { all[count(j)]++ }
		s.run(10 * time.Second)
		return answered[0] / all[0], answered[1] / all[1]
	}
	light, heavy := run(ablation{})
	lightOff, heavyOff := run(ablation{noFairShare: true})
	t.Logf("seed %d: answered of light prefixes %.3f, of the heavy one %.3f; without fair share %.3f, %.3f",
		seed, light, heavy, lightOff, heavyOff)
	if light < 0.99 {
		t.Errorf("%.3f of the work of prefixes within their share was answered, want at least 0.99", light)
	}
}

// Guards against retries beyond the budget, a budget that outlasts its window of 10 s or never recovers, and hedging of work
// that must not run twice.
func TestRetryBudgetAndHedge(t *testing.T) {
	c, state := New(nil), newState("short", bundle.ClassUrgent, 0, bundle.Limits{SlotsPerTarget: slotsPerTarget})
	id := state.Info.ID
	for port := range uint16(40) {
		c.Admit(time.Second, requestOf(state, port))
		c.Done(time.Second, id, state.Table.Targets[0].ID, 10*time.Millisecond, false)
	}
	retries := func(now time.Duration) (n int) {
		for c.AllowRetry(now, id) {
			n++
		}
		return n
	}
	if got := retries(2 * time.Second); got != 4 {
		t.Errorf("%d retries allowed after 40 requests, want 4 (10%%)", got)
	}
	if got := retries(12 * time.Second); got != 0 {
		t.Errorf("%d retries allowed without a request in the last 10 s, want 0", got)
	}
	for port := range uint16(100) {
		c.Admit(13*time.Second, requestOf(state, 100+port))
	}
	c.Poll(14*time.Second, nil)
	if c.AllowHedge(14*time.Second, id, 5*time.Millisecond) || !c.AllowHedge(14*time.Second, id, 20*time.Millisecond) {
		t.Error("want a hedge after 20 ms and none after 5 ms when all answers took 10 ms")
	}
	state.Info.Idempotent = false
	if c.AllowHedge(14*time.Second, id, 20*time.Millisecond) {
		t.Error("hedge of a service that is not idempotent was allowed")
	}
}

// Guards against data races, and against slots that leak or are given out twice when goroutines share one controller.
func TestConcurrentUse(t *testing.T) {
	c, state := New(nil), newState("short", bundle.ClassUrgent, 50*time.Millisecond, bundle.Limits{SlotsPerTarget: slotsPerTarget})
	var polling, workers sync.WaitGroup
	verdicts, stop := sync.Map{}, make(chan struct{})
	polling.Go(func() {
		for now := time.Duration(0); ; now += time.Millisecond {
			for _, r := range c.Poll(now, nil) {
				verdicts.Store(r.Key, r.Verdict)
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	})
	for w := range uint16(4) {
		workers.Go(func() {
			for i := range uint16(500) {
				r := requestOf(state, w*1000+i)
				v := c.Admit(0, r)
				for v.Outcome == forward.Waiting {
					if got, found := verdicts.Load(r.Key); found {
						v = got.(forward.Verdict)
					}
				}
				if v.Outcome == forward.Admitted && i >= 10 {
					c.Done(0, state.Info.ID, state.Table.Targets[v.Target].ID, 0, false)
				}
			}
		})
	}
	workers.Wait()
	close(stop)
	polling.Wait()
	used := 0
	for _, x := range c.targets {
		used += x.slotsInUse[limits.Urgent]
		if x.slotsInUse[limits.Urgent] > slotsPerTarget {
			t.Errorf("%d slots of a target in use, want at most %d", x.slotsInUse[limits.Urgent], slotsPerTarget)
		}
	}
	if used != 40 {
		t.Errorf("%d slots in use at the end, want the 40 that were not released", used)
	}
}
