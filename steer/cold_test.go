package steer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	testOvershoot = 1.5
	testSlack     = 5
)

// coldEngine returns an engine in a data centre with targets of a service that can handle perSecond requests per second while cold.
func coldEngine(dataCentre string, perSecond float64, random *rand.Rand, targets ...directory.TargetEntry) *Engine {
	e := NewEngine()
	e.LimitCold(NewColdLimits(testOvershoot, testSlack, random))
	e.SetView(coldView(dataCentre, perSecond, targets...))
	return e
}

func coldView(dataCentre string, perSecond float64, targets ...directory.TargetEntry) *View {
	s := snapshot(targets...)
	s.Configuration.Services = []directory.Service{{Name: "ingest", ColdStart: 4 * time.Second, ColdPerSecond: perSecond}}
	return NewView(s, dataCentre)
}

func coldTargets(dataCentre string) []directory.TargetEntry {
	targets := fiveTargets(dataCentre)
	for i := range targets {
		targets[i].ColdUntil = time.Hour
	}
	return targets
}

// coldReplay replays the return of the targets of a data centre: half of its hosts run, at 10 s the other half joins, the hosts learn of
// that within 2 s, and at 30 s all restart. At first none has a share of the limits, as relay.ColdShare decides.
type coldReplay struct {
	random    *rand.Rand
	hosts     int
	perSecond float64
	engines   []*Engine
	arrivals  map[string][]time.Duration // of opening packets, by target
}

const (
	replayJoin    = 10 * time.Second
	replayRestart = 30 * time.Second
	replayEnd     = 45 * time.Second
	replaySettled = 3 * time.Second // from when on a host has a share
	// replayFlows is the number of new flows per second at each host, more than permits allow.
	replayFlows = 20
)

func (r *coldReplay) start(host int) {
	r.engines[host] = coldEngine(local, r.perSecond, r.random, coldTargets(local)...)
}

// share returns the number of hosts that share the limits as a host knows it.
func (r *coldReplay) share(host int, now time.Duration) int {
	joined := host >= r.hosts/2
	switch {
	case now < replaySettled, joined && now < replayJoin+replaySettled, now >= replayRestart && now < replayRestart+replaySettled:
		return 0
	case now < replayJoin+time.Duration(host%20)*100*time.Millisecond:
		return max(r.hosts/2, 1)
	}
	return r.hosts
}

func (r *coldReplay) run() {
	const step = 10 * time.Millisecond
	r.engines, r.arrivals = make([]*Engine, r.hosts), map[string][]time.Duration{}
	for now := time.Duration(0); now < replayEnd; now += step {
		for host := range r.engines {
			if r.engines[host] == nil || now == replayRestart {
				r.start(host)
			}
			r.engines[host].SetColdHosts(r.share(host, now), now)
			if r.random.Float64() >= replayFlows*step.Seconds() {
				continue
			}
			if d := r.engines[host].Decide(openingPacket(r.random.IntN(1<<24)), now); d.Action == Forward {
				delay := time.Duration(r.random.Float64() * float64(deliveryJitter))
				r.arrivals[d.Target.Name] = append(r.arrivals[d.Target.Name], now+delay)
			}
		}
	}
}

// Guards against hosts that together send a cold target more than it can handle in any second, while hosts join, count too few or too
// many hosts, and restart at once, and against a cold target that gets almost nothing.
func TestColdTargetsOverAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 4, 22, 119} {
		for _, perSecond := range []float64{2, 10, 40} {
			r := coldReplay{random: rand.New(rand.NewPCG(uint64(hosts), uint64(perSecond))), hosts: hosts, perSecond: perSecond}
			r.run()
			limit, most, total, targets := int(perSecond*testOvershoot+testSlack), 0, 0, coldTargets(local)
			for _, target := range targets {
				arrivals := r.arrivals[target.Name]
				slices.Sort(arrivals)
				first, before := 0, total
				for i, at := range arrivals {
					for at-arrivals[first] >= time.Second {
						first++
					}
					most = max(most, i-first+1)
					if at >= replayJoin+replaySettled && at < replayRestart {
						total++
					}
				}
				if total == before {
					t.Errorf("%d hosts, %v per second: nothing reaches %s", hosts, perSecond, target.Name)
				}
			}
			if most > limit {
				t.Errorf("%d hosts, %v per second: %d opening packets within a second, at most %d are allowed", hosts, perSecond, most, limit)
			}
			// Targets that get a quarter of what they can handle while cold relieve the others before they are warm.
			demand := replayFlows * float64(hosts) / float64(len(targets))
			rate := float64(total) / float64(len(targets)) / (replayRestart - replayJoin - replaySettled).Seconds()
			t.Logf("%d hosts, %v per second: at most %d of %d in a second, mean %.1f", hosts, perSecond, most, limit, rate)
			if rate < min(perSecond, demand)/4 {
				t.Errorf("%d hosts, %v per second: a target gets %.1f flows per second, want at least a quarter", hosts, perSecond, rate)
			}
		}
	}
}

// Guards against a limit that lets a flow wait in vain, that is enforced by hosts of other data centres by sending anyway, that refuses a
// flow which may have run, and that concerns open flows or services without a limit.
func TestColdLimitAtOneHost(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := coldEngine(local, 10, random, coldTargets(local)...)
	if d := e.Decide(openingPacket(1), time.Second); d.Action != Refuse || d.Code != resultcode.RefusedCold {
		t.Errorf("only limited targets, no permit: %+v, want a refusal", d)
	}
	copied := openingPacket(1)
	copied.Acknowledgement = 1
	if d := e.Decide(copied, time.Second); d.Action != Drop || d.Code != resultcode.RefusedCold {
		t.Errorf("copy whose first packet another host may have sent to a target: %+v, want no answer", d)
	}
	if d := e.Decide(dataPacket(2, coldTargets(local)[0].Token(), 1), time.Second); d.Action != Forward {
		t.Errorf("open flow at a limited target: %+v, want forward", d)
	}
	other := coldEngine(remote, 10, random, append(coldTargets(local), knownTarget(9, remote))...)
	other.SetColdHosts(1, 0)
	unlimited := coldEngine(local, 0, random, coldTargets(local)...)
	for n := range 100 {
		now := time.Duration(n) * 50 * time.Millisecond
		if d := other.Decide(openingPacket(n), now); d.Action != Forward || d.Target.DataCentre != remote {
			t.Fatalf("host of another data centre: %+v, want the target that is not limited", d)
		}
		if d := unlimited.Decide(openingPacket(n), now); d.Action != Forward {
			t.Fatalf("service without a limit: %+v, want forward", d)
		}
	}
	e.SetColdHosts(1, 0)
	if d := e.Decide(openingPacket(3), time.Hour); d.Action != Forward {
		t.Errorf("target that is warm: %+v, want forward", d)
	}
}

// Guards against copies that need a permit although their target has had the flow already, and against copies to another target without
// one.
func TestColdLimitOfCopies(t *testing.T) {
	targets := coldTargets(local)[:2]
	e := coldEngine(local, 2, rand.New(rand.NewPCG(2, 1)), targets...)
	e.SetColdHosts(1, 0)
	now, first := time.Duration(0), Decision{}
	for ; first.Action != Forward; now += 10 * time.Millisecond {
		first = e.Decide(openingPacket(1), now)
	}
	e.SetColdHosts(0, now)
	copied := openingPacket(1)
	for copied.Acknowledgement = 1; copied.Acknowledgement <= 2; copied.Acknowledgement++ {
		now += 200 * time.Millisecond
		if d := e.Decide(copied, now); d.Action != Forward || d.Target.Name != first.Target.Name {
			t.Errorf("copy %d without a permit: %+v, want the same target again", copied.Acknowledgement, d)
		}
	}
	e.SetColdHosts(1, now)
	now += 200 * time.Millisecond
	other := e.view.Resolve(targets[0].Token())
	if other.Name == first.Target.Name {
		other = e.view.Resolve(targets[1].Token())
	}
	for !other.permits.available(now) {
		now += 10 * time.Millisecond
	}
	if d := e.Decide(copied, now); d.Action != Forward || d.Target != other || other.permits.available(now) {
		t.Errorf("copy with a permit: %+v, want the other target and the permit used", d)
	}
}

// Guards against targets that count as warm after an evacuation, before their records say how cold they are.
func TestColdAfterEvacuation(t *testing.T) {
	targets := append(fiveTargets(local), knownTarget(9, remote))
	targets[1].ColdUntil = 30 * time.Second
	s := snapshot(targets...)
	s.TakenAt = 10 * time.Second
	s.Configuration.Services = []directory.Service{{Name: "ingest", ColdStart: 4 * time.Second, ColdPerSecond: 10}}
	s.Evacuations = map[string]directory.EvacuationEntry{local: {Since: 9 * time.Second}, remote: {Active: true, Since: 9 * time.Second}}
	v := NewView(s, local)
	for now, want := range map[time.Duration]int{10 * time.Second: 5, 15*time.Second - 1: 5, 15 * time.Second: 1, 30 * time.Second: 0} {
		if got := len(v.Limited(now)); got != want {
			t.Errorf("at %v: %d limited targets, want %d", now, got, want)
		}
	}
}

// Guards against a permit for the time before the number of hosts changed, at the rate after it.
func TestPermitsAfterChangeOfHosts(t *testing.T) {
	p := &permits{interval: 10 * time.Second}
	p.setInterval(time.Second, 9*time.Second)
	if p.available(9 * time.Second) {
		t.Error("a permit is available before the first interval has passed")
	}
	if !p.available(9*time.Second + 110*time.Millisecond) {
		t.Error("the rest of the interval does not pass at the new rate")
	}
}
