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
	// minDurationSamples is the number of answers from which the quantiles of a service's durations are used, and
	// durationUpdateInterval the number of answers between two updates within a window.
	minDurationSamples     = 20
	durationUpdateInterval = 200
	// reportedLoadWeight is the weight of a target's reported load relative to this balancer's own work in progress. With
	// reports that lag by 5 s, a weight of 1 makes the p99 answer time 1.4 times that at 0.25, and a weight of 0 twice that.
	reportedLoadWeight = 0.25
)

// service is the admission state of one service.
type service struct {
	state       *forward.ServiceState
	class       limits.Class
	pool        *pool
	targets     []*target // by position in the service's table
	byID        map[flow.TargetID]*target
	view        loadView
	durations   *hdrhistogram.Histogram // of answers in the current window, in microseconds
	windowStart time.Duration
	median      time.Duration // median duration, 0 until enough answers are known
	p95         time.Duration // 95th percentile of the durations, 0 until enough answers are known
	budget      retryBudget
	queue       queue
}

// target is the admission state of one target address. Services that list the same address share it.
type target struct {
	resource   limits.ResourceID
	sample     trafficSample
	running    []execution // work of this balancer in progress; sessions are only counted, by inFlight
	inFlight   map[*service]int
	slotsInUse [2]int // slots in use by class
}

// execution is a piece of work in progress.
type execution struct {
	service *service
	started time.Duration
}

// updateService stores the newest state of a service and returns the service, or nil when it has no targets.
func (c *Controller) updateService(state *forward.ServiceState) *service {
	if state == nil || len(state.Table.Targets) == 0 {
		return nil
	}
	s := c.services[state.Info.ID]
	if s == nil {
		s = &service{queue: queue{callers: make(map[netip.Prefix]*caller)}}
		s.durations = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)
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

// removeMissing removes services that are not in a snapshot, once none of their flows waits or runs.
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
				resource: limits.SlotResource(info.DataCentre, info.Addr),
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

// SlotGroup returns the group of the slots of a table's targets. Tables with the same lowest address are assumed to list the
// same targets, and share the group.
func SlotGroup(t *placement.Table) limits.GroupID {
	return limits.GroupID(limits.SlotResource(t.Targets[0].DataCentre, lowestAddr(t)))
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

func (s *service) slotLimit() int { return s.state.Info.Limits.SlotsPerTarget }

func (s *service) anyEligible() bool {
	return slices.ContainsFunc(s.state.Targets, func(t forward.TargetState) bool { return t.Eligible })
}

func (s *service) isSession() bool { return s.state.Info.Kind == bundle.KindSession }

// leasedResource returns the slots of the target, and whether a flow of the service uses a leased slot there. Connections are
// not leased.
func (s *service) leasedResource(t *target) (limits.ResourceID, bool) {
	return t.resource, !s.isSession() && s.slotLimit() > 0
}

// start records a piece of work that starts at the target at position i.
func (s *service) start(now time.Duration, i int) { s.startOn(now, s.targets[i]) }

func (s *service) startOn(now time.Duration, t *target) {
	t.inFlight[s]++
	if !s.isSession() {
		t.slotsInUse[s.class]++
		t.running = append(t.running, execution{s, now})
	}
}

// removeExecution removes the piece of work of a service that started closest to the given time. It reports false when the
// service has no work at the target.
func (t *target) removeExecution(s *service, started time.Duration) bool {
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
		t.slotsInUse[s.class]--
		t.running = slices.Delete(t.running, best, best+1)
	}
	return true
}

// recordDuration records the duration of one answer.
func (s *service) recordDuration(now, took time.Duration) {
	if now-s.windowStart >= durationWindow {
		s.updateQuantiles()
		s.durations.Reset()
		s.windowStart = now
	}
	_ = s.durations.RecordValue(max(1, took.Microseconds())) // an error means more than an hour, longer than any deadline
	if n := s.durations.TotalCount(); n%durationUpdateInterval == 0 || (n == minDurationSamples && s.median == 0) {
		s.updateQuantiles()
	}
}

// updateQuantiles computes the quantiles of the current window, if it holds enough answers.
func (s *service) updateQuantiles() {
	if s.durations.TotalCount() < minDurationSamples {
		return
	}
	s.median = time.Duration(s.durations.ValueAtQuantile(50)) * time.Microsecond
	s.p95 = time.Duration(s.durations.ValueAtQuantile(95)) * time.Microsecond
}

// loadView is the view that a strategy gets: the targets that may be used, with the work of this balancer included at once.
type loadView struct {
	service *service
	base    placement.View
	allowed func(int) bool
}

// Eligible implements placement.View.
func (v *loadView) Eligible(i int) bool {
	return v.base.Eligible(i) && (v.allowed == nil || v.allowed(i))
}

// Load implements placement.View. This balancer's work in progress is exact but covers one balancer only. The reported load
// covers all balancers but lags, and balancers that all follow a lagging report shift their work back and forth together.
func (v *loadView) Load(i int) float64 {
	return float64(v.service.targets[i].inFlight[v.service]) + reportedLoadWeight*v.base.Load(i)
}

// Share implements placement.View.
func (v *loadView) Share(i int) float64 { return v.base.Share(i) }
