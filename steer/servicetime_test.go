package steer

import (
	"math"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Replays half of the targets of all data centres that become 4 and 8 times slower. Guards against slow targets that hold a
// queue while others are idle. The goal holds where the fast half has twice the slots that the demand needs; where it has just
// enough, the requests that find out about the slow targets may be late too. A factor of 4 takes more answers, and up to a
// second more, to tell from varied work.
func TestSlowTargetsGetLessWork(t *testing.T) {
	for _, c := range []struct{ factor, use, want float64 }{
		{4, 0.25, goalInTime}, {8, 0.25, goalInTime}, {4, 0.4, 0.9}, {8, 0.4, 0.9},
	} {
		for seed := range uint64(3) {
			f := newUnevenFleet(seed, 40, "a", "b", "c")
			f.run(0, 3*time.Second, constant(c.use))
			f.slow(0, 20, c.factor)
			f.run(3*time.Second, 9*time.Second, constant(c.use))
			from := 3*time.Second + adaptTime
			if c.factor < 8 {
				from += time.Second
			}
			if inTime, _ := f.shares(from, 8*time.Second); inTime < c.want {
				t.Errorf("%.0f times slower, use %.2f, seed %d: %.3f in time, want %.2f", c.factor, c.use, seed, inTime, c.want)
			}
		}
	}
}

// Guards against a target that recovers and gets no share of the work for long, because nothing is sent there.
func TestRecoveredTargetsGetTheirShare(t *testing.T) {
	for seed := range uint64(3) {
		f := newUnevenFleet(seed, 40, "a", "b", "c")
		f.run(0, 2*time.Second, constant(0.25))
		f.slow(0, 20, 8)
		f.run(2*time.Second, 7*time.Second, constant(0.25))
		if share := f.shareOf(20, 5*time.Second, 7*time.Second); share > 0.1 || share == 0 {
			t.Errorf("seed %d: slow targets get %.3f of the work, want a small share for probes", seed, share)
		}
		f.slow(0, 20, 1)
		f.run(7*time.Second, 13*time.Second, constant(0.25))
		if share := f.shareOf(20, 11*time.Second, 13*time.Second); share < 0.4 {
			t.Errorf("seed %d: recovered targets get %.3f of the work 4 s later, want 0.4 of a fair 0.5", seed, share)
		}
	}
}

// Replays targets that answer each request at once because they fail. Guards against usual targets that count as slow beside them, which
// would make the failing ones more attractive.
func TestFastFailuresDoNotMakeOthersSlow(t *testing.T) {
	for _, failing := range []int{2, 10, 25} {
		f := newUnevenFleet(3, 40, "a", "b", "c")
		f.run(0, 3*time.Second, constant(0.4))
		for i, v := range f.servers {
			v.failing = i%40 < failing
		}
		for now := 3 * time.Second; now < 12*time.Second; now += 500 * time.Millisecond {
			f.run(now, now+500*time.Millisecond, constant(0.4))
			if n := f.slowTargets(); n > 1 {
				t.Errorf("%d of 40 targets fail fast, %v: %d usual targets are slow, want at most 1 of 120", failing, now, n)
			}
		}
	}
}

// Guards against decisions that differ where all targets are alike: with work that varies, different work per route, and cold targets.
func TestAlikeTargetsAreNeverSlow(t *testing.T) {
	logNormal := func(f *unevenFleet) float64 { return math.Exp(0.5 * f.random.NormFloat64()) }
	cold := func(f *unevenFleet) {
		f.slow(0, 4, 1.6)
		for i := range f.entries {
			if i%f.perDC < 4 {
				f.entries[i].ColdUntil = time.Minute
			}
		}
		f.publish()
	}
	for name, c := range map[string]struct {
		changes int
		prepare func(*unevenFleet)
	}{
		"log-normal work":                     {0, func(f *unevenFleet) { f.work = logNormal }},
		"log-normal work, different by route": {0, func(f *unevenFleet) { f.work, f.heavy = logNormal, 0.2 }},
		"log-normal work, cold targets":       {0, func(f *unevenFleet) { f.work = logNormal; cold(f) }},
		"some requests take 7 times as long":  {strayChanges, func(*unevenFleet) {}},
		"the same, different work by route":   {strayChanges, func(f *unevenFleet) { f.heavy = 0.2 }},
		"the same, cold targets":              {strayChanges, cold},
	} {
		for _, use := range []float64{0.25, 0.4} {
			for seed := range uint64(3) {
				f := newUnevenFleet(seed, 40, "a", "b", "c")
				c.prepare(f)
				f.run(0, 6*time.Second, constant(use))
				inTime, remote := f.shares(time.Second, 5*time.Second)
				if f.changes > c.changes || remote > 0.005 || inTime < 0.98 {
					t.Errorf("%s, use %.2f, seed %d: %d changes, %.3f to other data centres, %.3f in time, want %d, 0.005 and 0.98", name,
						use, seed, f.changes, remote, inTime, c.changes)
				}
			}
		}
	}
}

// Guards against a target that counts as slow because the process was paused while a request waited.
func TestAnswersAfterPauseAreNoEvidence(t *testing.T) {
	e := engine(fiveTargets(local)...)
	token := e.Decide(openingPacket(1), time.Second).Target.Token
	acknowledge(e, 1, token, time.Second)
	now, acknowledged := time.Second, uint32(7)
	request := func(took time.Duration) {
		p := dataPacket(1, token, acknowledged)
		p.Acknowledgement = acknowledged
		e.Decide(p, now)
		now, acknowledged = now+took, acknowledged+100
		p.Payload, p.Acknowledgement = 0, acknowledged
		e.Decide(p, now)
	}
	l := e.View().Resolve(token).load
	for range 2 * minReferenceAnswers {
		request(unevenWork)
	}
	request(lostTimeout)
	if l.times.excess > 0 {
		t.Errorf("the answer after a pause has an excess of %.1f, want none", l.times.excess)
	}
	request(8 * unevenWork)
	if l.times.excess < 2.5 {
		t.Errorf("an answer of 8 times the usual time has an excess of %.1f, want 3", l.times.excess)
	}
}

// Guards against reports that make a target slow before the hosts that saw usual answers have added theirs, and against a factor where most
// targets are slow and the others may answer fast because they fail.
func TestReportedAnswerTimes(t *testing.T) {
	for _, c := range []struct {
		slow, updates int
		applies       bool
	}{{1, peerUpdates - 1, false}, {1, peerUpdates, true}, {3, peerUpdates, true}, {4, peerUpdates, false}} {
		targets := fiveTargets(local)
		e := engine(targets...)
		var loads directory.Loads
		for i := range c.slow {
			loads.Times = append(loads.Times, directory.TargetTimes{Token: targets[i].Token(), Times: directory.NewAnswerTimes(20, 60)})
		}
		for i := range c.updates {
			e.SetPeerLoads(loads)
			e.Loads(time.Duration(i+1) * 300 * time.Millisecond)
		}
		e.Loads(2 * time.Second)
		if got := len(e.Slowdowns()); got != c.slow && c.applies || got > 0 && !c.applies {
			t.Errorf("%d slow targets in %d updates: %d have a factor, want all: %v", c.slow, c.updates, got, c.applies)
		}
	}
}
