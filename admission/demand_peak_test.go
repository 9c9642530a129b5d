package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/placement"
)

const (
	workMean  = 25 * time.Millisecond
	workMin   = 5 * time.Millisecond
	capacity  = float64(targetCount*slotsPerTarget) / 0.030 // pieces of work a second
	peakStart = 10 * time.Second
	peakRise  = 3 * time.Second
	peakHold  = 20 * time.Second
	afterPeak = 10 * time.Second
	peakEnd   = peakStart + peakRise + peakHold
)

// demandPeak returns a rate that starts at base, rises to six times base within 3 s, stays there for 20 s and drops to base.
func demandPeak(base float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		switch {
		case now < peakStart || now >= peakEnd:
			return base
		case now < peakStart+peakRise:
			return base * (1 + 5*float64(now-peakStart)/float64(peakRise))
		}
		return 6 * base
	}
}

type peakResult struct {
	urgentInTime, goodput      float64
	longestWait, recovery      time.Duration
	bulkInTime                 float64
	bulkRefused, urgentRefused int
	overruns                   int
	exceptions                 float64
}

// runDemandPeak simulates a demand peak with base rates of 0.15 of capacity for urgent work and 0.35 for bulk work, so that at
// the peak urgent work alone demands 0.9 of capacity and all work 3 times capacity.
func runDemandPeak(seed uint64, policy forward.Admission, reserved int) peakResult {
	return simulateDemandPeak(seed, 0.15, reserved, func(*simulation, *forward.ServiceState) forward.Admission { return policy })
}

// simulateDemandPeak simulates a demand peak with a base rate of urgentFraction of capacity for urgent work.
func simulateDemandPeak(
	seed uint64, urgentFraction float64, reserved int, policy func(*simulation, *forward.ServiceState) forward.Admission,
) peakResult {
	limits := bundle.Limits{SlotsPerTarget: slotsPerTarget, ReservedUrgentSlots: reserved}
	urgent := newState("urgent", bundle.ClassUrgent, 250*time.Millisecond, limits)
	bulk := newState("bulk", bundle.ClassBulk, time.Second, limits)
	s := newSimulation(seed, nil,
		load{
			state: urgent, rate: demandPeak(urgentFraction * capacity), peakRate: 6 * urgentFraction * capacity,
			mean: workMean, minimum: workMin,
		},
		load{state: bulk, rate: demandPeak(0.35 * capacity), peakRate: 2.1 * capacity, mean: workMean, minimum: workMin})
	s.policy = policy(s, urgent)
	s.measured = func(arrived time.Duration) bool { return arrived >= peakStart && arrived < peakEnd }
	var r peakResult
	var usefulTime time.Duration
	const seconds = int((peakEnd + afterPeak + time.Second) / time.Second)
	var slow, all [seconds]int
	holdStart := peakStart + peakRise
	s.onDone = func(j *job, latency time.Duration) {
		d := s.loads[j.load].state.Info.Deadline
		if latency <= d && s.now >= holdStart && s.now < peakEnd {
			usefulTime += s.now - j.started
		}
		if latency-j.duration > queueDelayTarget {
			slow[s.now/time.Second]++
		}
		all[s.now/time.Second]++
	}
	s.onRefused = func(*job) {
		slow[s.now/time.Second]++
		all[s.now/time.Second]++
	}
	s.run(peakEnd + afterPeak)
	u, b := s.outcomes[0], s.outcomes[1]
	r.urgentInTime = float64(u.inTime) / float64(u.offered)
	r.bulkInTime = float64(b.inTime) / float64(b.offered)
	r.goodput = usefulTime.Seconds() / (peakHold.Seconds() * targetCount * slotsPerTarget)
	r.longestWait = max(u.longestWait, b.longestWait)
	// Service has recovered in the first second in which at most 1% of the work waits for longer than 20 ms or is refused.
	r.recovery = afterPeak
	for i := int(peakEnd / time.Second); i < seconds-1; i++ {
		if slow[i]*100 <= all[i] {
			r.recovery = time.Duration(i)*time.Second - peakEnd
			break
		}
	}
	r.bulkRefused, r.urgentRefused, r.overruns = b.refused, u.refused, s.overruns
	r.exceptions = float64(u.exceptions+b.exceptions) / float64(u.offered+b.offered-u.refused-b.refused)
	return r
}

// Guards against an admission policy that makes urgent work miss its deadline, wastes slots, or is slow to recover from a
// demand peak. The bounds are those of the design page, section 1.5.
func TestDemandPeak(t *testing.T) {
	seed := *seed
	log := func(name string, r peakResult) {
		t.Logf("%-22s in time: urgent %.4f, bulk %.3f; goodput %.3f; longest wait %6s ms; recovery %s; refused: urgent %d, bulk %d; exceptions %.2f",
			name, r.urgentInTime, r.bulkInTime, r.goodput, ms(r.longestWait), r.recovery.Round(time.Millisecond),
			r.urgentRefused, r.bulkRefused, r.exceptions)
	}
	t.Logf("seed %d", seed)
	r := runDemandPeak(seed, New(nil), 1)
	log("controller", r)
	if r.urgentInTime < 0.99 || r.goodput < 0.95 || r.recovery > 2*time.Second {
		t.Errorf("want at least 0.99 of urgent work in time, goodput of at least 0.95, and recovery within 2 s")
	}
	if !*compare {
		return
	}
	log("reserved 0", runDemandPeak(seed, New(nil), 0))
	for name, p := range map[string]ablation{
		"without wait limit": {noWaitLimit: true}, "without classes": {noClasses: true}, "without fair share": {noFairShare: true},
		"without last-slot rule": {noLastSlot: true}, "without default target": {noDefault: true},
	} {
		c := New(nil)
		c.ablation = p
		log(name, runDemandPeak(seed, c, 1))
	}
	log("urgent alone 1.5 of capacity", simulateDemandPeak(seed, 0.25, 1,
		func(*simulation, *forward.ServiceState) forward.Admission { return New(nil) }))
	log("plain hash", runDemandPeak(seed, &unbounded{strategy: placement.HRW{}}, 0))
	log("least connections", runDemandPeak(seed, &unbounded{strategy: placement.LeastLoad{}}, 0))
}
