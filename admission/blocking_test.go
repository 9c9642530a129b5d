package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/placement"
)

// blockingResult holds quantiles of the answer time of short work in milliseconds, and the answered fraction.
type blockingResult struct{ p50, p99, p999, answered float64 }

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// runMixed simulates one service of which longFraction of the work runs 100 times longer. The rate is such that slots are busy
// for the fraction utilization of the time when 5% of the work is long.
func runMixed(seed uint64, policy forward.Admission, longFraction, utilization float64) blockingResult {
	state := newState("short", bundle.ClassUrgent, 0, bundle.Limits{SlotsPerTarget: slotsPerTarget})
	const mean = 10 * time.Millisecond
	const meanFactor = 0.95 + 0.05*100
	rate := utilization * targetCount * slotsPerTarget / (mean.Seconds() * meanFactor)
	s := newSimulation(seed, policy, load{
		state: state, rate: constant(rate), peakRate: rate, mean: 8 * time.Millisecond, minimum: 2 * time.Millisecond,
		longFraction: longFraction, longMultiplier: 100,
	})
	s.run(120 * time.Second)
	return resultOf(&s.outcomes[0])
}

// runArchive simulates a service of short work and a second service on the same targets, whose work runs 100 times longer.
func runArchive(seed uint64, policy forward.Admission, archive bool) blockingResult {
	limits := bundle.Limits{SlotsPerTarget: slotsPerTarget}
	short := newState("short", bundle.ClassUrgent, 0, limits)
	long := newState("archive", bundle.ClassUrgent, 0, limits)
	rate := 0.0
	if archive {
		rate = 60 // more than all slots can do, as in a batch that arrives at once
	}
	s := newSimulation(seed, policy,
		load{state: short, rate: constant(400), peakRate: 400, mean: 8 * time.Millisecond, minimum: 2 * time.Millisecond},
		load{state: long, rate: constant(rate), peakRate: rate, mean: 800 * time.Millisecond, minimum: 200 * time.Millisecond})
	s.run(120 * time.Second)
	return resultOf(&s.outcomes[0])
}

func resultOf(o *outcome) blockingResult {
	at := func(q float64) float64 { return float64(o.short.ValueAtQuantile(q)) / 1000 }
	return blockingResult{at(50), at(99), at(99.9), float64(o.inTime) / float64(o.offered)}
}

// Guards against head-of-line blocking of short work by work that runs 100 times longer. The bound is that of the design page,
// section 1.5. A refusal counts as the longest answer time.
func TestHeadOfLineBlocking(t *testing.T) {
	seed := *seed
	longFraction := map[bool]float64{true: 0.05}
	checkBlocking(t, []blockingCase{
		{
			"mixed, slots 0.6 busy",
			func(p forward.Admission, long bool) blockingResult { return runMixed(seed, p, longFraction[long], 0.6) },
		},
		{
			"mixed, slots 0.7 busy",
			func(p forward.Admission, long bool) blockingResult { return runMixed(seed, p, longFraction[long], 0.7) },
		},
		{"second service of long work", func(p forward.Admission, long bool) blockingResult { return runArchive(seed, p, long) }},
	})
}

// Guards against the same at a slot utilization of 0.8. See KNOWN-RED.txt.
func TestHeadOfLineBlockingAtHighUse(t *testing.T) {
	seed := *seed
	longFraction := map[bool]float64{true: 0.05}
	checkBlocking(t, []blockingCase{
		{
			"mixed, slots 0.8 busy",
			func(p forward.Admission, long bool) blockingResult { return runMixed(seed, p, longFraction[long], 0.8) },
		},
	})
}

type blockingCase struct {
	name string
	run  func(policy forward.Admission, long bool) blockingResult
}

func checkBlocking(t *testing.T, scenarios []blockingCase) {
	t.Helper()
	const goal = 1.3
	policies := []struct {
		name    string
		bounded bool
		make    func() forward.Admission
	}{
		{"controller", true, func() forward.Admission { return New(nil) }},
		{"without last-slot rule", false, func() forward.Admission { c := New(nil); c.ablation.noLastSlot = true; return c }},
		{"plain hash", false, func() forward.Admission { return &unbounded{strategy: placement.HRW{}} }},
		{"least connections", false, func() forward.Admission { return &unbounded{strategy: placement.LeastLoad{}} }},
	}
	for _, s := range scenarios {
		for _, p := range policies {
			if !p.bounded && !*compare {
				continue
			}
			with, without := s.run(p.make(), true), s.run(p.make(), false)
			t.Logf("seed %d %-28s %-24s short work p50 p99 p99.9 (ms): with long %.1f %.1f %.1f, without %.1f %.1f %.1f; p99 ratio %.2f; answered %.3f, %.3f",
				*seed, s.name, p.name, with.p50, with.p99, with.p999, without.p50, without.p99, without.p999,
				with.p99/without.p99, with.answered, without.answered)
			if p.bounded && with.p99 > goal*without.p99 {
				t.Errorf("%s: p99 of short work is %.2f times that without long work, want at most %.1f",
					s.name, with.p99/without.p99, goal)
			}
		}
	}
}
