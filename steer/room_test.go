package steer

import (
	"math"
	"testing"
	"time"
)

// Replays half of the targets of one data centre that become 4 and 8 times slower at a use of 0.8, which its fast half cannot serve, while
// the others have room. Guards against a queue at the slow targets, and against work that is kept in a data centre without room.
func TestSlowTargetsOfBusyDataCentre(t *testing.T) {
	for _, factor := range []float64{4, 8} {
		for seed := range uint64(3) {
			f := newUnevenFleet(seed, 40, "a", "b", "c")
			use := func(dc int, _ time.Duration) float64 { return [...]float64{0.8, 0.4, 0.4}[dc] }
			f.run(0, 3*time.Second, use)
			for _, v := range f.servers[:20] {
				v.slowdown = factor
			}
			f.run(3*time.Second, 9*time.Second, use)
			if inTime, _ := f.shares(3*time.Second+adaptTime, 8*time.Second); inTime < goalInTime {
				t.Errorf("%.0f times slower, seed %d: %.3f in time, want %.2f", factor, seed, inTime, goalInTime)
			}
		}
	}
}

// Replays demand in waves that differ in phase between data centres: the peak is 1.2 times what one can serve, and 0.65 of
// all. Guards against queues in one data centre while others have free slots, and against flows that are handed on in vain.
func TestWavesOfDemand(t *testing.T) {
	wave := func(dc int, now time.Duration) float64 {
		return 0.65 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/12+float64(dc)/3))
	}
	for seed := range uint64(3) {
		f := newUnevenFleet(seed, 20, "a", "b", "c")
		f.run(0, 15*time.Second, wave)
		if inTime, remote := f.shares(adaptTime, 14*time.Second); inTime < goalInTime || remote > 0.4 {
			t.Errorf("seed %d: %.3f in time, %.3f to other data centres, want %.2f and at most 0.4", seed, inTime, remote, goalInTime)
		}
	}
}

// Replays constant demand of 1.3 times what one data centre can serve. Guards against a part handed on that swings, and against flows that
// the other data centres hand back.
func TestHandingOnDoesNotSwing(t *testing.T) {
	use := func(dc int, _ time.Duration) float64 { return [...]float64{1.3, 0.4, 0.4}[dc] }
	for seed := range uint64(3) {
		f := newUnevenFleet(seed, 20, "a", "b", "c")
		least, most := 1.0, 0.0
		f.run(0, 4*time.Second, use)
		for now := 4 * time.Second; now < 10*time.Second; now += 500 * time.Millisecond {
			f.run(now, now+500*time.Millisecond, use)
			part := f.engines["a"][0].demands["ingest"].room.handedOn
			least, most = min(least, part), max(most, part)
			if back := f.engines["b"][0].demands["ingest"].room.handedOn; back > 0 {
				t.Errorf("seed %d, %v: a data centre with room hands on %.2f", seed, now, back)
			}
		}
		if least < 0.2 || most-least > 0.25 {
			t.Errorf("seed %d: between %.2f and %.2f are handed on, want at least 0.2 and a range of 0.25", seed, least, most)
		}
	}
}

// Replays a data centre that loses 16 of 20 targets. Guards against a queue at the rest while the other data centres have free slots.
func TestDataCentreLosesTargets(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(seed, 20, "a", "b", "c")
		f.run(0, 3*time.Second, constant(0.3))
		for _, v := range f.servers[:16] {
			v.down = true
		}
		f.publish()
		f.run(3*time.Second, 9*time.Second, constant(0.3))
		if inTime, _ := f.shares(3*time.Second+adaptTime, 8*time.Second); inTime < goalInTime {
			t.Errorf("seed %d: %.3f in time, want %.2f", seed, inTime, goalInTime)
		}
	}
}

// Guards against traffic between data centres while all are as busy as planned.
func TestNothingIsHandedOnWhereNothingIsWrong(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(seed, 20, "a", "b", "c")
		f.run(0, 8*time.Second, constant(0.7))
		for _, dc := range f.centres {
			if part := f.engines[dc][0].demands["ingest"].room.handedOn; part > 0 {
				t.Errorf("seed %d: data centre %s hands on %.2f of its new flows", seed, dc, part)
			}
		}
	}
}
