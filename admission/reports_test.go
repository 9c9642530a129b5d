package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/placement"
)

const (
	reportLag  = 5 * time.Second
	slowCount  = 3
	slowFactor = 4
)

// watched is a fleet without slot limits whose balancers place by what their health trackers say.
type watched struct {
	fleet
	trackers []*health.Tracker
	seen     []map[flow.TargetID]*health.Seen
	states   []*forward.ServiceState
	reports  [][targetCount]uint32 // load of every target, once for every 100 ms
	lying    bool
}

func newWatched(s *simulation, n int, state *forward.ServiceState, lying bool) *watched {
	w := &watched{fleet: fleet{s: s, owner: make(map[flow.Key]int)}, lying: lying}
	var members []membership.HostID
	for i := range n {
		members = append(members, membership.HostID(i+1))
	}
	for i := range n {
		t := health.NewTracker(members[i], 1, health.Settings{SlowStart: time.Second})
		t.Handle(0, health.Bundle{DataCentre: "dc", Services: []*bundle.ServiceInfo{state.Info}})
		t.Handle(0, health.Members{Members: members})
		w.trackers = append(w.trackers, t)
		w.controllers = append(w.controllers, New(nil))
		w.seen = append(w.seen, make(map[flow.TargetID]*health.Seen))
		w.states = append(w.states, state)
		for _, x := range state.Info.Resolved {
			w.seen[i][x.ID] = &health.Seen{Target: x.ID}
		}
	}
	s.policy = w
	s.at(0, w.tick)
	return w
}

func (w *watched) tick() {
	now := w.s.now
	var load [targetCount]uint32
	for i := range load {
		load[i] = uint32(w.s.busy[i] + len(w.s.queues[i]))
	}
	w.reports = append(w.reports, load)
	for i, t := range w.trackers {
		for _, x := range w.states[i].Info.Resolved {
			e := w.seen[i][x.ID]
			c := w.controllers[i].targets[x.Addr]
			if c != nil {
				e.InFlight, e.Oldest = uint32(len(c.running)), 0
				for _, r := range c.running {
					e.Oldest = max(e.Oldest, now-r.started)
				}
			}
			t.Handle(now, *e)
			*e = health.Seen{Target: x.ID}
		}
		for _, f := range t.Handle(now, health.Tick{}) {
			w.effect(i, f)
		}
		state := *w.states[i]
		state.Targets = t.States(now, state.Info.ID, nil)
		w.states[i] = &state
	}
	w.s.at(now+100*time.Millisecond, w.tick)
}

func (w *watched) effect(i int, f health.Effect) {
	switch f := f.(type) {
	case health.Probe:
		at := max(0, len(w.reports)-1-int(reportLag/(100*time.Millisecond)))
		load := w.reports[at][targetIndex[f.Target]]
		if w.lying && targetIndex[f.Target] < slowCount {
			load = 0
		}
		w.trackers[i].Handle(w.s.now, health.Probed{Target: f.Target, At: w.s.now, Observation: health.Observation{InFlight: load}})
	case health.SendReports:
		for j, t := range w.trackers {
			if j != i {
				t.Handle(w.s.now, health.Reports{From: membership.HostID(i + 1), Incarnation: 1, Sequence: f.Sequence, Reports: f.Reports})
			}
		}
	}
}

func (w *watched) Ask(now time.Duration, r forward.Request) forward.Verdict {
	i := int(r.Hash>>52) % len(w.controllers)
	r.Service = w.states[i]
	r.View = stateView{r.Service}
	w.owner[r.Key] = i
	return w.controllers[i].Ask(now, r)
}

func (w *watched) Done(now time.Duration, s flow.ServiceID, t flow.TargetID, took time.Duration, refused bool) {
	i := w.owner[w.s.ended]
	delete(w.owner, w.s.ended)
	w.controllers[i].Done(now, s, t, took, refused)
	e := w.seen[i][t]
	e.Answers++
	e.Took += took
}

// runWatched returns p99 in milliseconds and the maximum over the mean of work in progress, averaged over time.
func runWatched(seed uint64, strategy string, lying bool) (p99, imbalance float64) {
	state := newState("short", bundle.ClassUrgent, 0, bundle.Limits{})
	state.Strategy, _ = placement.ByName(strategy, 0)
	for i := range state.Info.Resolved {
		state.Info.Resolved[i].HealthPort = 80
	}
	s := newSimulation(seed, nil, load{state: state, rate: constant(0.5 * capacity), peak: 0.5 * capacity, mean: workMean, minimum: workMin})
	w := newWatched(s, 8, state, lying)
	s.speed = func(target int, _ time.Duration) float64 {
		if target < slowCount {
			return 1.0 / slowFactor
		}
		return 1
	}
	s.run(60 * time.Second)
	for _, load := range w.reports[200:] {
		highest, sum := uint32(0), uint32(0)
		for _, l := range load {
			highest, sum = max(highest, l), sum+l
		}
		imbalance += float64(highest) * targetCount / float64(max(1, sum)) / float64(len(w.reports)-200)
	}
	return float64(s.outcomes[0].short.ValueAtQuantile(99)) / 1000, imbalance
}

// Guards against targets that attract work by reporting that they are idle while they are slow. The bound is that of the
// design page, section 1.5.
func TestMisleadingReports(t *testing.T) {
	for _, strategy := range []string{"bounded", "p2c", "leastload"} {
		p99, imbalance := runWatched(*seed, strategy, false)
		p99Lying, imbalanceLying := runWatched(*seed, strategy, true)
		t.Logf("seed %d, %d of %d targets %d times slower, reports lag %s, %-9s: p99 %.1f ms, imbalance %.2f; when they report no load %.1f ms, %.2f",
			*seed, slowCount, targetCount, slowFactor, reportLag, strategy, p99, imbalance, p99Lying, imbalanceLying)
		if strategy == "bounded" && (p99Lying > 1.25*p99 || imbalanceLying > 1.25*imbalance) {
			t.Errorf("want both within 1.25 times those with truthful reports")
		}
	}
}
