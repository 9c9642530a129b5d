package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
)

// withTargets returns a copy of a state in which set has changed each target.
func withTargets(state *forward.ServiceState, set func(i int, t *forward.TargetState)) *forward.ServiceState {
	c := *state
	c.Targets = append([]forward.TargetState(nil), state.Targets...)
	for i := range c.Targets {
		set(i, &c.Targets[i])
	}
	return &c
}

// runReturn keeps the targets below first away until 10 s, lets them run at a quarter of their speed for 5 s after they
// return, and has callers repeat refused work after 200 ms. With ramp, their share rises over 10 s.
func runReturn(seed uint64, targets int, ramp bool) (answered int, late float64, normal time.Duration, overrun int) {
	const away, slow = 10 * time.Second, 5 * time.Second
	state := newState("short", bundle.ClassUrgent, 250*time.Millisecond, bundle.Limits{SlotsPerTarget: slotsPerTarget})
	s := newSimulation(seed, New(nil), load{state: state, rate: constant(0.55 * capacity), peak: 0.55 * capacity, mean: workMean, minimum: workMin})
	var share func()
	share = func() {
		part := 1.0
		if ramp {
			part = min(1, 0.1+0.9*float64(s.now-away)/float64(10*time.Second))
		}
		s.loads[0].state = withTargets(state, func(i int, t *forward.TargetState) {
			if i < targets {
				t.Eligible, t.Share = s.now >= away, part
			}
		})
		s.at(s.now+100*time.Millisecond, share)
	}
	s.at(0, share)
	s.speed = func(target int, now time.Duration) float64 {
		if target < targets && now < away+slow {
			return 0.25
		}
		return 1
	}
	var good, all [61]int
	s.onDone = func(j *job, latency time.Duration) {
		all[s.now/time.Second]++
		if latency <= state.Info.Deadline {
			good[s.now/time.Second]++
		}
	}
	s.onRefused = func(*job) {
		all[s.now/time.Second]++
		s.at(s.now+200*time.Millisecond, func() { s.ask(0) })
	}
	s.counts = func(arrived time.Duration) bool { return arrived >= away }
	s.run(60 * time.Second)
	normal = 50 * time.Second
	for i := int(away / time.Second); i < len(all)-1; i++ {
		if good[i]*100 >= 99*all[i] {
			normal = time.Duration(i)*time.Second - away
			break
		}
	}
	o := &s.outcomes[0]
	return o.inTime, float64(o.late) / float64(o.inTime+o.late), normal, s.overrun
}

// Guards against targets that get their full share of work at once when they return cold, one by one at a peak or all
// after an outage.
func TestColdReturn(t *testing.T) {
	for _, targets := range []int{5, targetCount} {
		for _, ramp := range []bool{true, false} {
			answered, late, normal, overrun := runReturn(*seed, targets, ramp)
			t.Logf("seed %d, %d of %d targets return cold, ramp %t: answered in time %d, part of the answers that are late %.4f, 99%% in time after %s, overrun %d",
				*seed, targets, targetCount, ramp, answered, late, normal, overrun)
			if overrun > 0 {
				t.Errorf("%d pieces of work at targets without a free slot", overrun)
			}
		}
	}
}
