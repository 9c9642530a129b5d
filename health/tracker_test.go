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

// group is a set of balancers that exchange reports, with targets that answer probes.
type group struct {
	t        *testing.T
	now      time.Duration
	info     *bundle.ServiceInfo
	trackers map[membership.HostID]*Tracker
	order    []membership.HostID
	answers  map[flow.TargetID]Observation
	cut      map[membership.HostID]bool // members whose messages are lost
	events   map[membership.HostID][]Effect
}

func newGroup(t *testing.T, members, targets int) *group {
	g := &group{
		t: t, now: time.Minute, trackers: make(map[membership.HostID]*Tracker), answers: make(map[flow.TargetID]Observation),
		cut: make(map[membership.HostID]bool), events: make(map[membership.HostID][]Effect),
	}
	g.info = &bundle.ServiceInfo{Service: bundle.Service{Name: "s"}, ID: flow.NewServiceID("s")}
	for i := range targets {
		addr := netip.AddrFrom4([4]byte{127, 2, 0, byte(i + 1)})
		g.info.Resolved = append(g.info.Resolved, bundle.TargetInfo{ID: flow.NewTargetID("s", "dc", addr), Addr: addr, DataCentre: "dc", Weight: 1, HealthPort: 80})
	}
	for i := range members {
		g.order = append(g.order, membership.HostID(i+1))
	}
	for _, m := range g.order {
		g.join(m, 1)
	}
	return g
}

func (g *group) join(m membership.HostID, incarnation uint64) {
	g.trackers[m] = NewTracker(m, incarnation, Settings{})
	g.tell(m, Bundle{DataCentre: "dc", Services: []*bundle.ServiceInfo{g.info}})
	g.tell(m, Members{g.order})
}

func (g *group) tell(m membership.HostID, e Event) {
	g.events[m] = append(g.events[m], g.trackers[m].Handle(g.now, e)...)
}

func (g *group) all(e Event) {
	for _, m := range g.order {
		g.tell(m, e)
	}
}

// run passes time in steps of 100 ms, answers probes, and delivers reports to the other members.
func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 100 * time.Millisecond
		for _, m := range g.order {
			g.events[m] = g.events[m][:0]
			g.tell(m, Tick{})
			for _, f := range append([]Effect(nil), g.events[m]...) {
				switch e := f.(type) {
				case Probe:
					g.tell(m, Probed{Target: e.Target, At: g.now, Observation: g.answers[e.Target]})
				case SendReports:
					g.deliver(m, e)
				}
			}
		}
	}
}

func (g *group) deliver(from membership.HostID, e SendReports) {
	for _, m := range g.order {
		if m != from && !g.cut[from] {
			g.tell(m, Reports{From: from, Incarnation: 1, Sequence: e.Sequence, Reports: e.Reports})
		}
	}
}

func (g *group) states(m membership.HostID) []forward.TargetState {
	return g.trackers[m].States(g.now, g.info.ID, nil)
}

func (g *group) state(m membership.HostID, target int) State {
	s, _ := g.trackers[m].Status(g.now, g.info.Resolved[target].ID)
	return s.State
}

func (g *group) eligible(m membership.HostID) int {
	n := 0
	for _, s := range g.states(m) {
		if s.Eligible {
			n++
		}
	}
	return n
}

// Guards against new work for a leaving target after 3 s, from any one of the three notices, with one prober of the
// target cut off.
func TestLeavingTargetLosesEligibility(t *testing.T) {
	notices := map[string]func(*group, bool){
		"bundle": func(g *group, leaving bool) {
			info := *g.info
			info.Resolved = append([]bundle.TargetInfo(nil), g.info.Resolved...)
			info.Resolved[0].Drain = leaving
			g.info = &info
			g.all(Bundle{DataCentre: "dc", Services: []*bundle.ServiceInfo{g.info}})
		},
		"host list": func(g *group, leaving bool) {
			g.all(HostList{map[netip.Addr]bool{g.info.Resolved[0].Addr: leaving}})
		},
		"target": func(g *group, leaving bool) {
			g.answers[g.info.Resolved[0].ID] = Observation{Signal: map[bool]Signal{true: SignalDraining}[leaving]}
		},
	}
	for name, give := range notices {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 5, 4)
			g.run(15 * time.Second)
			g.cut[Probers(g.order, g.info.Resolved[0].ID)[0]] = true
			give(g, true)
			g.run(3 * time.Second)
			for _, m := range g.order {
				if g.state(m, 0) != Draining || g.states(m)[0].Eligible || !g.states(m)[0].Usable {
					t.Errorf("member %d: state %s, %+v", m, g.state(m, 0), g.states(m)[0])
				}
			}
			give(g, false)
			g.run(20 * time.Second)
			for _, m := range g.order {
				if g.state(m, 0) != Serving {
					t.Errorf("member %d: state %s after the notice was withdrawn", m, g.state(m, 0))
				}
			}
		})
	}
}

// Guards against a dead target that keeps getting flows, one whose prober alone is cut off losing them, and a target
// that returns to its full share at once.
func TestDeadTargetAndReturn(t *testing.T) {
	g := newGroup(t, 5, 4)
	g.run(15 * time.Second)
	id := g.info.Resolved[1].ID
	g.answers[id] = Observation{Failed: true}
	g.run(6 * time.Second)
	for _, m := range g.order {
		if s := g.states(m)[1]; g.state(m, 1) != Down || s.Eligible || s.Usable {
			t.Fatalf("member %d: state %s, %+v", m, g.state(m, 1), s)
		}
	}
	g.answers[id] = Observation{}
	g.run(3 * time.Second)
	if s := g.states(1)[1]; g.state(1, 1) != Warming || !s.Eligible || s.Share > 0.5 {
		t.Fatalf("state %s, %+v", g.state(1, 1), s)
	}
	// One prober sees nothing any more, the other does.
	blind := Probers(g.order, id)[0]
	for range 60 {
		g.tell(blind, Probed{Target: id, At: g.now, Observation: Observation{Failed: true}})
	}
	if g.state(blind, 1) == Down || g.eligible(blind) != 4 {
		t.Fatalf("state %s at the prober that sees nothing, %d eligible", g.state(blind, 1), g.eligible(blind))
	}
}

// Guards against ejection of more than half of the targets, of none, and against ejection without end.
func TestOutlierEjectionFloor(t *testing.T) {
	g := newGroup(t, 1, 6)
	g.run(15 * time.Second)
	refuse := func(targets int) {
		for i := range 6 {
			seen := Seen{Target: g.info.Resolved[i].ID, Answers: 20}
			if i < targets {
				seen.Answers, seen.Refusals = 0, 20
			}
			g.tell(1, seen)
		}
	}
	refuse(1)
	g.run(100 * time.Millisecond)
	if got := g.eligible(1); got != 5 {
		t.Fatalf("%d eligible after one of 6 refused everything", got)
	}
	g.run(6 * time.Second)
	if g.state(1, 0) != Warming {
		t.Fatalf("state %s after the first ejection", g.state(1, 0))
	}
	refuse(5)
	g.run(100 * time.Millisecond)
	if got := g.eligible(1); got != 3 {
		t.Fatalf("%d eligible after 5 of 6 refused everything, want 3", got)
	}
	g.run(6 * time.Second)
	if g.state(1, 0) != Suspect {
		t.Fatalf("state %s 6 s after the second ejection, want a longer one", g.state(1, 0))
	}
}

// Guards against no target at all when all are doubtful, and against the use of a leaving target in that case.
func TestFallback(t *testing.T) {
	g := newGroup(t, 1, 3)
	if got := g.eligible(1); got != 3 {
		t.Fatalf("%d eligible before the first probe", got)
	}
	for _, x := range g.info.Resolved[:2] {
		g.answers[x.ID] = Observation{Signal: SignalCold}
	}
	g.answers[g.info.Resolved[2].ID] = Observation{Signal: SignalDraining}
	g.run(2 * time.Second)
	if s := g.states(1); !s[0].Eligible || !s[1].Eligible || s[2].Eligible {
		t.Fatalf("%+v", s)
	}
}

// Guards against trust in a target that reports no load while its answers are slow or its slots stay taken, and against
// old reports that attract work.
func TestContradictingReports(t *testing.T) {
	for name, liar := range map[string]Seen{
		"slow":  {Answers: 10, Took: time.Second},
		"holds": {InFlight: 2, Oldest: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 2, 5)
			for i, x := range g.info.Resolved {
				if i > 0 {
					g.answers[x.ID] = Observation{InFlight: 10}
				}
			}
			g.run(15 * time.Second)
			trusted := g.states(1)[0].ReportedLoad
			for i, x := range g.info.Resolved {
				seen := Seen{Answers: 10, Took: 100 * time.Millisecond, InFlight: 1}
				if i == 0 {
					seen = liar
				}
				seen.Target = x.ID
				g.tell(1, seen)
			}
			g.run(600 * time.Millisecond)
			s, _ := g.trackers[1].Status(g.now, g.info.Resolved[0].ID)
			if s.Distrusted == "" || trusted > 2 || g.states(1)[0].ReportedLoad < 10 {
				t.Fatalf("status %+v, load %.1f before and %.1f after", s, trusted, g.states(1)[0].ReportedLoad)
			}
			if s, _ := g.trackers[1].Status(g.now, g.info.Resolved[1].ID); s.Distrusted != "" {
				t.Fatalf("truthful target distrusted: %s", s.Distrusted)
			}
		})
	}
	g := newGroup(t, 1, 2)
	g.answers[g.info.Resolved[1].ID] = Observation{InFlight: 10}
	g.run(15 * time.Second)
	g.now += 20 * time.Second
	if s := g.states(1); s[0].ReportedLoad < 4 || s[1].ReportedLoad > 6 {
		t.Fatalf("loads %.1f and %.1f from reports of 20 s ago, want near the mean", s[0].ReportedLoad, s[1].ReportedLoad)
	}
}

// Guards against an old or repeated report that overrides a newer one.
func TestReportOrder(t *testing.T) {
	g := newGroup(t, 3, 1)
	id := g.info.Resolved[0].ID
	report := func(incarnation, sequence uint64, signal Signal) State {
		g.now += 10 * time.Millisecond
		g.tell(1, Reports{From: 9, Incarnation: incarnation, Sequence: sequence, Reports: []Report{{Target: id, Observation: Observation{Signal: signal}}}})
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
