package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/placement"
)

const (
	workMean   = 25 * time.Millisecond
	workMin    = 5 * time.Millisecond
	capacity   = float64(targetCount*slotsPerTarget) / 0.030 // pieces of work a second
	crestStart = 10 * time.Second
	crestRise  = 3 * time.Second
	crestTop   = 20 * time.Second
	afterCrest = 10 * time.Second
	crestEnd   = crestStart + crestRise + crestTop
)

// crest returns a rate that is base, rises to six times that within 3 s, stays for 20 s and falls at once.
func crest(base float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		switch {
		case now < crestStart || now >= crestEnd:
			return base
		case now < crestStart+crestRise:
			return base * (1 + 5*float64(now-crestStart)/float64(crestRise))
		}
		return 6 * base
	}
}

type crestResult struct {
	urgentInTime, goodput      float64
	longest, normal            time.Duration
	bulkInTime                 float64
	bulkRefused, urgentRefused int
	overrun                    int
	exceptions                 float64
}

// runCrest offers urgent work of urgentPart, 0.15 unless said otherwise, and bulk work of 0.35 of capacity, so that at the top urgent work alone is 0.9 of
// capacity and all work 3 times capacity.
func runCrest(seed uint64, policy forward.Admission, reserved int) crestResult {
	return offerCrest(seed, 0.15, reserved, func(*simulation, *forward.ServiceState) forward.Admission { return policy })
}

func offerCrest(seed uint64, urgentPart float64, reserved int, policy func(*simulation, *forward.ServiceState) forward.Admission) crestResult {
	limits := bundle.Limits{SlotsPerTarget: slotsPerTarget, ReservedUrgentSlots: reserved}
	urgent := newState("urgent", bundle.ClassUrgent, 250*time.Millisecond, limits)
	bulk := newState("bulk", bundle.ClassBulk, time.Second, limits)
	s := newSimulation(seed, nil,
		load{state: urgent, rate: crest(urgentPart * capacity), peak: 6 * urgentPart * capacity, mean: workMean, minimum: workMin},
		load{state: bulk, rate: crest(0.35 * capacity), peak: 2.1 * capacity, mean: workMean, minimum: workMin})
	s.policy = policy(s, urgent)
	s.counts = func(arrived time.Duration) bool { return arrived >= crestStart && arrived < crestEnd }
	var r crestResult
	var useful time.Duration
	const seconds = int((crestEnd + afterCrest + time.Second) / time.Second)
	var slow, all [seconds]int
	top := crestStart + crestRise
	s.onDone = func(j *job, latency time.Duration) {
		d := s.loads[j.load].state.Info.Deadline
		if latency <= d && s.now >= top && s.now < crestEnd {
			useful += s.now - j.started
		}
		if latency-j.takes > standingGoal {
			slow[s.now/time.Second]++
		}
		all[s.now/time.Second]++
	}
	s.onRefused = func(*job) {
		slow[s.now/time.Second]++
		all[s.now/time.Second]++
	}
	s.run(crestEnd + afterCrest)
	u, b := s.outcomes[0], s.outcomes[1]
	r.urgentInTime = float64(u.inTime) / float64(u.offered)
	r.bulkInTime = float64(b.inTime) / float64(b.offered)
	r.goodput = useful.Seconds() / (crestTop.Seconds() * targetCount * slotsPerTarget)
	r.longest = max(u.longest, b.longest)
	// Normal is the first second in which at most 1% of the work waits for longer than 20 ms or is refused.
	r.normal = afterCrest
	for i := int(crestEnd / time.Second); i < seconds-1; i++ {
		if slow[i]*100 <= all[i] {
			r.normal = time.Duration(i)*time.Second - crestEnd
			break
		}
	}
	r.bulkRefused, r.urgentRefused, r.overrun = b.refused, u.refused, s.overrun
	r.exceptions = float64(u.exceptions+b.exceptions) / float64(u.offered+b.offered-u.refused-b.refused)
	return r
}

// Guards against an admission policy that lets urgent work miss its deadline, wastes slots, or stays slow after a demand
// peak. The bounds are those of the design page, section 1.5.
func TestCrest(t *testing.T) {
	seed := *seed
	log := func(name string, r crestResult) {
		t.Logf("%-22s urgent in time %.4f  bulk in time %.3f  goodput %.3f  longest wait %6s ms  normal after %s  refused urgent %d bulk %d  exceptions %.2f",
			name, r.urgentInTime, r.bulkInTime, r.goodput, ms(r.longest), r.normal.Round(time.Millisecond), r.urgentRefused, r.bulkRefused, r.exceptions)
	}
	t.Logf("seed %d", seed)
	r := runCrest(seed, New(nil), 1)
	log("controller", r)
	if r.urgentInTime < 0.99 || r.goodput < 0.95 || r.normal > 2*time.Second {
		t.Errorf("goals missed: urgent in time 0.99, goodput 0.95, normal within 2 s")
	}
	if !*compare {
		return
	}
	log("reserved 0", runCrest(seed, New(nil), 0))
	for name, p := range map[string]parts{
		"without wait limit": {noWaitLimit: true}, "without classes": {noClasses: true}, "without fair share": {noFairShare: true},
		"without last-slot rule": {noLastSlot: true}, "without default target": {noDefault: true},
	} {
		c := New(nil)
		c.parts = p
		log(name, runCrest(seed, c, 1))
	}
	log("urgent alone 1.5 of capacity", offerCrest(seed, 0.25, 1, func(*simulation, *forward.ServiceState) forward.Admission { return New(nil) }))
	log("plain hash", runCrest(seed, &unbounded{strategy: placement.HRW{}}, 0))
	log("least connections", runCrest(seed, &unbounded{strategy: placement.LeastLoad{}}, 0))
}
