package admission

import (
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/placement"
)

const (
	durationWindow = 10 * time.Second
	// durationLearned is the number of answers from which a service's durations are used, and durationRefresh after how
	// many they are updated within a window.
	durationLearned = 20
	durationRefresh = 200
	// reportWeight is the weight of a reported load beside the own work in progress. With reports that lag by 5 s, full
	// weight gives a p99 of answers 1.4 times that with a quarter, and no weight twice that (TestMisleadingReports).
	reportWeight = 0.25
)

// service is what the controller knows of one service.
type service struct {
	state   *forward.ServiceState
	class   limits.Class
	pool    *pool
	targets []*target // by position in the service's table
	byID    map[flow.TargetID]*target
	view    loadView
	took    *hdrhistogram.Histogram // microseconds, of the current window
	turned  time.Duration
	typical time.Duration // median, 0 until learned
	late    time.Duration // 95th percentile, 0 until learned
	budget  budget
	queue   queue
}

// target is what the controller knows of one target address. Services that list the same address share it.
type target struct {
	slots    limits.ResourceID
	seen     seen
	running  []run // work of this balancer; for sessions only counted
	inFlight map[*service]int
	counts   [2]int // slots in use by class
}

// run is one piece of work in progress.
type run struct {
	service *service
	started time.Duration
}

// observe records the newest state of a service and returns what is known of it, or nil without targets.
func (c *Controller) observe(state *forward.ServiceState) *service {
	if state == nil || len(state.Table.Targets) == 0 {
		return nil
	}
	s := c.services[state.Info.ID]
	if s == nil {
		s = &service{queue: queue{callers: make(map[netip.Prefix]*caller)}}
		s.took = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)
		c.services[state.Info.ID] = s
	}
	if s.state == state {
		return s
	}
	tableChanged := s.state == nil || s.state.Table != state.Table
	s.state = state
	s.class = limits.Urgent
	if state.Info.Class == bundle.ClassBulk {
		s.class = limits.Bulk
	}
	if tableChanged {
		c.setTargets(s)
	}
	return s
}

// removeMissing forgets services that are not in a snapshot, once no flow of theirs waits or runs.
func (c *Controller) removeMissing(states map[flow.ServiceID]*forward.ServiceState) {
	for id, s := range c.services {
		inUse := slices.ContainsFunc(s.targets, func(t *target) bool { return t.inFlight[s] > 0 })
		if states[id] != nil || s.queue.waiting > 0 || inUse {
			continue
		}
		delete(c.services, id)
		s.pool.services = slices.DeleteFunc(s.pool.services, func(x *service) bool { return x == s })
		for _, t := range s.targets {
			delete(t.inFlight, s)
		}
	}
}

func (c *Controller) setTargets(s *service) {
	s.targets, s.byID = nil, make(map[flow.TargetID]*target)
	for i := range s.state.Table.Targets {
		info := &s.state.Table.Targets[i]
		t := c.targets[info.Addr]
		if t == nil {
			t = &target{
				slots:    limits.SlotsOf(info.DataCentre, info.Addr),
				inFlight: make(map[*service]int),
			}
			c.targets[info.Addr] = t
		}
		s.targets = append(s.targets, t)
		s.byID[info.ID] = t
	}
	s.view.service = s
	group := SlotGroup(s.state.Table)
	p := c.pools[group]
	if p == nil {
		p = newPool(group)
		c.pools[group] = p
		c.order = append(c.order, p)
	}
	if s.pool != p {
		s.pool = p
		p.services = append(p.services, s)
	}
}

// SlotGroup returns the group of the slots of a table's targets. Services whose tables start at the same address share
// their targets, and so the group.
func SlotGroup(t *placement.Table) limits.GroupID {
	return limits.GroupID(limits.SlotsOf(t.Targets[0].DataCentre, lowestAddr(t)))
}

func lowestAddr(t *placement.Table) netip.Addr {
	lowest := t.Targets[0].Addr
	for i := range t.Targets {
		if t.Targets[i].Addr.Less(lowest) {
			lowest = t.Targets[i].Addr
		}
	}
	return lowest
}

func (s *service) slots() int { return s.state.Info.Limits.SlotsPerTarget }

func (s *service) anyEligible() bool {
	return slices.ContainsFunc(s.state.Targets, func(t forward.TargetState) bool { return t.Eligible })
}

func (s *service) isSession() bool { return s.state.Info.Kind == bundle.KindSession }

// resource returns what a flow of the service takes of a target, and whether it is leased. Connections are not.
func (s *service) resource(t *target) (limits.ResourceID, bool) {
	return t.slots, !s.isSession() && s.slots() > 0
}

// start records that work starts at the target at position i.
func (s *service) start(now time.Duration, i int) { s.startAt(now, s.targets[i]) }

func (s *service) startAt(now time.Duration, t *target) {
	t.inFlight[s]++
	if !s.isSession() {
		t.counts[s.class]++
		t.running = append(t.running, run{s, now})
	}
}

// remove forgets the work of a service that started closest to the given time. It reports false when there is none.
func (t *target) remove(s *service, started time.Duration) bool {
	if t.inFlight[s] == 0 {
		return false
	}
	t.inFlight[s]--
	best, bestGap := -1, time.Duration(0)
	for i, r := range t.running {
		if gap := (r.started - started).Abs(); r.service == s && (best < 0 || gap < bestGap) {
			best, bestGap = i, gap
		}
	}
	if best >= 0 {
		t.counts[s.class]--
		t.running = slices.Delete(t.running, best, best+1)
	}
	return true
}

// observeDuration learns from the duration of one answer.
func (s *service) observeDuration(now, took time.Duration) {
	if now-s.turned >= durationWindow {
		s.learn()
		s.took.Reset()
		s.turned = now
	}
	_ = s.took.RecordValue(max(1, took.Microseconds())) // a value out of range is longer than any deadline
	if n := s.took.TotalCount(); n%durationRefresh == 0 || (n == durationLearned && s.typical == 0) {
		s.learn()
	}
}

// learn takes the durations of the current window, if there are enough.
func (s *service) learn() {
	if s.took.TotalCount() < durationLearned {
		return
	}
	s.typical = time.Duration(s.took.ValueAtQuantile(50)) * time.Microsecond
	s.late = time.Duration(s.took.ValueAtQuantile(95)) * time.Microsecond
}

// loadView shows a strategy the targets that may be used, with the work of this balancer counted at once.
type loadView struct {
	service *service
	base    placement.View
	allowed func(int) bool
}

// Eligible implements placement.View.
func (v *loadView) Eligible(i int) bool {
	return v.base.Eligible(i) && (v.allowed == nil || v.allowed(i))
}

// Load implements placement.View. The own work in progress is exact but covers one balancer only; the report covers all
// but lags, and balancers that all follow a lagging report move their work to and fro together.
func (v *loadView) Load(i int) float64 {
	return float64(v.service.targets[i].inFlight[v.service]) + reportWeight*v.base.Load(i)
}

// Share implements placement.View.
func (v *loadView) Share(i int) float64 { return v.base.Share(i) }
