package health

import (
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
)

// cluster simulates balancers that exchange reports, and targets that answer probes.
type cluster struct {
	t        *testing.T
	now      time.Duration
	info     *bundle.ServiceInfo
	trackers map[membership.HostID]*Tracker
	order    []membership.HostID
	answers  map[flow.TargetID]Observation
	isolated map[membership.HostID]bool // members whose reports are lost
	effects  map[membership.HostID][]Effect
}

func newCluster(t *testing.T, members, targets int) *cluster {
	g := &cluster{
		t: t, now: time.Minute, trackers: make(map[membership.HostID]*Tracker), answers: make(map[flow.TargetID]Observation),
		isolated: make(map[membership.HostID]bool), effects: make(map[membership.HostID][]Effect),
	}
	g.info = &bundle.ServiceInfo{Service: bundle.Service{Name: "s"}, ID: flow.NewServiceID("s")}
	for i := range targets {
		addr := netip.AddrFrom4([4]byte{127, 2, 0, byte(i + 1)})
		g.info.Resolved = append(g.info.Resolved, bundle.TargetInfo{
			ID: flow.NewTargetID("s", "dc", addr), Addr: addr, DataCentre: "dc", Weight: 1, HealthPort: 80,
		})
	}
	for i := range members {
		g.order = append(g.order, membership.HostID(i+1))
	}
	for _, m := range g.order {
		g.join(m, 1)
	}
	return g
}

func (g *cluster) join(m membership.HostID, incarnation uint64) {
	g.trackers[m] = NewTracker(m, incarnation, Settings{})
	g.handle(m, Bundle{DataCentre: "dc", Services: []*bundle.ServiceInfo{g.info}})
	g.handle(m, Members{g.order})
}

func (g *cluster) handle(m membership.HostID, e Event) {
	g.effects[m] = append(g.effects[m], g.trackers[m].Handle(g.now, e)...)
}

func (g *cluster) handleAll(e Event) {
	for _, m := range g.order {
		g.handle(m, e)
	}
}

// run advances time in steps of 100 ms, answers probes, and delivers reports to the other members.
func (g *cluster) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 100 * time.Millisecond
		for _, m := range g.order {
			g.effects[m] = g.effects[m][:0]
			g.handle(m, Tick{})
			for _, f := range append([]Effect(nil), g.effects[m]...) {
				switch e := f.(type) {
				case Probe:
					g.handle(m, Probed{Target: e.Target, At: g.now, Observation: g.answers[e.Target]})
				case SendReports:
					g.deliver(m, e)
				}
			}
		}
	}
}

func (g *cluster) deliver(from membership.HostID, e SendReports) {
	for _, m := range g.order {
		if m != from && !g.isolated[from] {
			g.handle(m, Reports{From: from, Incarnation: 1, Sequence: e.Sequence, Reports: e.Reports})
		}
	}
}

func (g *cluster) states(m membership.HostID) []forward.TargetState {
	return g.trackers[m].States(g.now, g.info.ID, nil)
}

func (g *cluster) state(m membership.HostID, target int) State {
	s, _ := g.trackers[m].Status(g.now, g.info.Resolved[target].ID)
	return s.State
}

func (g *cluster) eligibleCount(m membership.HostID) int {
	n := 0
	for _, s := range g.states(m) {
		if s.Eligible {
			n++
		}
	}
	return n
}

// Guards against new work for a leaving target later than 3 s after any one of the three kinds of notice, when the reports of
// one prober of the target are lost.
func TestLeavingTargetLosesEligibility(t *testing.T) {
	notices := map[string]func(*cluster, bool){
		"bundle": func(g *cluster, leaving bool) {
			info := *g.info
			info.Resolved = append([]bundle.TargetInfo(nil), g.info.Resolved...)
			info.Resolved[0].Drain = leaving
			g.info = &info
			g.handleAll(Bundle{DataCentre: "dc", Services: []*bundle.ServiceInfo{g.info}})
		},
		"host list": func(g *cluster, leaving bool) {
			g.handleAll(HostList{map[netip.Addr]bool{g.info.Resolved[0].Addr: leaving}})
		},
		"target": func(g *cluster, leaving bool) {
			g.answers[g.info.Resolved[0].ID] = Observation{Signal: map[bool]Signal{true: SignalDraining}[leaving]}
		},
	}
	for name, setLeaving := range notices {
		t.Run(name, func(t *testing.T) {
			g := newCluster(t, 5, 4)
			g.run(15 * time.Second)
			g.isolated[Probers(g.order, g.info.Resolved[0].ID)[0]] = true
			setLeaving(g, true)
			g.run(3 * time.Second)
			for _, m := range g.order {
				if g.state(m, 0) != Draining || g.states(m)[0].Eligible || !g.states(m)[0].Usable {
					t.Errorf("member %d, 3 s after the notice: state %s, %+v, want draining, usable and not eligible",
						m, g.state(m, 0), g.states(m)[0])
				}
			}
			setLeaving(g, false)
			g.run(20 * time.Second)
			for _, m := range g.order {
				if g.state(m, 0) != Serving {
					t.Errorf("member %d: state %s 20 s after the notice was withdrawn, want serving", m, g.state(m, 0))
				}
			}
		})
	}
}

// Guards against a dead target that keeps getting flows, a returning target that gets its full share at once, and a target that
// loses its flows because a single prober cannot reach it.
func TestDeadTargetAndReturn(t *testing.T) {
	g := newCluster(t, 5, 4)
	g.run(15 * time.Second)
	id := g.info.Resolved[1].ID
	g.answers[id] = Observation{Failed: true}
	g.run(6 * time.Second)
	for _, m := range g.order {
		if s := g.states(m)[1]; g.state(m, 1) != Down || s.Eligible || s.Usable {
			t.Fatalf("member %d: state %s, %+v of a dead target, want down, neither eligible nor usable", m, g.state(m, 1), s)
		}
	}
	g.answers[id] = Observation{}
	g.run(3 * time.Second)
	if s := g.states(1)[1]; g.state(1, 1) != Warming || !s.Eligible || s.Share > 0.5 {
		t.Fatalf("state %s, %+v 3 s after the return, want warming, eligible, and a share of at most 0.5", g.state(1, 1), s)
	}
	// One prober gets no more answers, the other one does.
	failing := Probers(g.order, id)[0]
	for range 60 {
		g.handle(failing, Probed{Target: id, At: g.now, Observation: Observation{Failed: true}})
	}
	if g.state(failing, 1) == Down || g.eligibleCount(failing) != 4 {
		t.Fatalf("state %s, %d eligible targets at the prober without answers, want a state other than down and 4 eligible",
			g.state(failing, 1), g.eligibleCount(failing))
	}
}

// Guards against ejection of more than half of the targets, against ejection of none, and against a permanent ejection.
func TestOutlierEjectionFloor(t *testing.T) {
	g := newCluster(t, 1, 6)
	g.run(15 * time.Second)
	refuseFirst := func(targets int) {
		for i := range 6 {
			sample := TrafficSample{Target: g.info.Resolved[i].ID, Answers: 20}
			if i < targets {
				sample.Answers, sample.Refusals = 0, 20
			}
			g.handle(1, sample)
		}
	}
	refuseFirst(1)
	g.run(100 * time.Millisecond)
	if got := g.eligibleCount(1); got != 5 {
		t.Fatalf("%d eligible after one of 6 refused everything, want 5", got)
	}
	g.run(6 * time.Second)
	if g.state(1, 0) != Warming {
		t.Fatalf("state %s after the first ejection, want warming", g.state(1, 0))
	}
	refuseFirst(5)
	g.run(100 * time.Millisecond)
	if got := g.eligibleCount(1); got != 3 {
		t.Fatalf("%d eligible after 5 of 6 refused everything, want 3", got)
	}
	g.run(6 * time.Second)
	if g.state(1, 0) != Suspect {
		t.Fatalf("state %s 6 s after the second ejection, want suspect because it lasts longer", g.state(1, 0))
	}
}

// Guards against a service without any eligible target when all are doubtful, and against a leaving target in its place.
func TestFallback(t *testing.T) {
	g := newCluster(t, 1, 3)
	if got := g.eligibleCount(1); got != 3 {
		t.Fatalf("%d eligible before the first probe, want 3", got)
	}
	for _, x := range g.info.Resolved[:2] {
		g.answers[x.ID] = Observation{Signal: SignalCold}
	}
	g.answers[g.info.Resolved[2].ID] = Observation{Signal: SignalDraining}
	g.run(2 * time.Second)
	if s := g.states(1); !s[0].Eligible || !s[1].Eligible || s[2].Eligible {
		t.Fatalf("got %+v, want the two cold targets eligible and the draining one not", s)
	}
}

// Guards against trust in a target that reports no load while its answers are slow or its work takes long, and against old
// reports of low load that attract work.
func TestContradictingReports(t *testing.T) {
	for name, misleading := range map[string]TrafficSample{
		"slow":  {Answers: 10, AnswerTime: time.Second},
		"holds": {InFlight: 2, OldestInFlight: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := newCluster(t, 2, 5)
			for i, x := range g.info.Resolved {
				if i > 0 {
					g.answers[x.ID] = Observation{InFlight: 10}
				}
			}
			g.run(15 * time.Second)
			trusted := g.states(1)[0].ReportedLoad
			for i, x := range g.info.Resolved {
				sample := TrafficSample{Answers: 10, AnswerTime: 100 * time.Millisecond, InFlight: 1}
				if i == 0 {
					sample = misleading
				}
				sample.Target = x.ID
				g.handle(1, sample)
			}
			g.run(600 * time.Millisecond)
			s, _ := g.trackers[1].Status(g.now, g.info.Resolved[0].ID)
			if s.Distrusted == "" || trusted > 2 || g.states(1)[0].ReportedLoad < 10 {
				t.Fatalf("status %+v, load %.1f before and %.1f after, want distrusted, at most 2 before and at least 10 after",
					s, trusted, g.states(1)[0].ReportedLoad)
			}
			if s, _ := g.trackers[1].Status(g.now, g.info.Resolved[1].ID); s.Distrusted != "" {
				t.Fatalf("target with correct reports is distrusted: %s", s.Distrusted)
			}
		})
	}
	g := newCluster(t, 1, 2)
	g.answers[g.info.Resolved[1].ID] = Observation{InFlight: 10}
	g.run(15 * time.Second)
	g.now += 20 * time.Second
	if s := g.states(1); s[0].ReportedLoad < 4 || s[1].ReportedLoad > 6 {
		t.Fatalf("loads %.1f and %.1f from reports of 20 s ago, want at least 4 and at most 6", s[0].ReportedLoad, s[1].ReportedLoad)
	}
}

// Guards against an old or duplicated report that overrides a newer one.
func TestReportOrder(t *testing.T) {
	g := newCluster(t, 3, 1)
	id := g.info.Resolved[0].ID
	report := func(incarnation, sequence uint64, signal Signal) State {
		g.now += 10 * time.Millisecond
		g.handle(1, Reports{
			From: 9, Incarnation: incarnation, Sequence: sequence,
			Reports: []Report{{Target: id, Observation: Observation{Signal: signal}}},
		})
		return g.state(1, 0)
	}
	for i, step := range []struct {
		incarnation, sequence uint64
		signal                Signal
		want                  State
	}{
		{1, 5, SignalDraining, Draining},
		{1, 4, SignalServing, Draining},
		{1, 5, SignalServing, Draining},
		{2, 1, SignalServing, Warming},
		{1, 9, SignalDraining, Warming},
	} {
		if got := report(step.incarnation, step.sequence, step.signal); got != step.want {
			t.Fatalf("step %d: state %s, want %s", i, got, step.want)
		}
	}
}
