package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/placement"
)

// The harness is a discrete-event simulation around a forward.Admission. Work arrives at random. Each target has a number
// of slots, and a queue for the work that the policy gives it beyond them.

// compare also runs the baselines and the policy with parts disabled, for the tables of decision 0004.
var compare = flag.Bool("compare", false, "run baselines and ablations")

var seed = flag.Uint64("seed", 1, "seed of the simulated work")

const (
	slotsPerTarget = 3
	targetCount    = 15
)

// load describes the work offered to one service.
type load struct {
	state          *forward.ServiceState
	rate           func(now time.Duration) float64 // arrivals a second
	peakRate       float64                         // highest value of rate
	mean           time.Duration                   // of the exponentially distributed part of the duration
	minimum        time.Duration                   // added to that part
	longFraction   float64                         // of the work that is long
	longMultiplier float64                         // of the duration of long work
	callers        func(r *rand.Rand) netip.Addr
}

// outcome counts the results of the work of one service.
type outcome struct {
	offered, inTime, late, refused int
	exceptions                     int                     // not on the flow's default target
	short                          *hdrhistogram.Histogram // answer times of short work, microseconds
	longestWait                    time.Duration
}

type job struct {
	arrived, started, duration time.Duration
	load                       int
	long                       bool
	target                     int
	key                        flow.Key
}

type simEvent struct {
	at time.Duration
	do func()
}

type simulation struct {
	now       time.Duration
	events    []simEvent // sorted by time, the latest first
	random    *rand.Rand
	policy    forward.Admission
	loads     []load
	outcomes  []outcome
	busy      [targetCount]int
	queues    [targetCount][]*job
	waiting   map[flow.Key]*job
	onDone    func(j *job, latency time.Duration)
	onRefused func(j *job)
	measured  func(arrived time.Duration) bool // whether the outcome covers work that arrived at this time; nil covers all
	port      uint32
	lastDone  flow.Key // flow of the current call of Done
	overruns  int      // pieces of work that were given to a target without a free slot
}

func newSimulation(seed uint64, policy forward.Admission, loads ...load) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), policy: policy, loads: loads, waiting: make(map[flow.Key]*job)}
	for range loads {
		s.outcomes = append(s.outcomes, outcome{
			short: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		})
	}
	return s
}

func (s *simulation) at(t time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, t, func(e simEvent, t time.Duration) int {
		if e.at > t {
			return -1
		}
		return 1 // inserted before earlier events of the same time, so that those run first
	})
	s.events = slices.Insert(s.events, i, simEvent{t, do})
}

func (s *simulation) run(until time.Duration) {
	for i := range s.loads {
		s.arrive(i)
	}
	s.poll()
	for last := len(s.events) - 1; last >= 0 && s.events[last].at <= until; last = len(s.events) - 1 {
		e := s.events[last]
		s.events = s.events[:last]
		s.now = e.at
		e.do()
	}
}

// poll calls Poll every millisecond, as a traffic goroutine does.
func (s *simulation) poll() {
	s.deliverVerdicts()
	s.at(s.now+time.Millisecond, s.poll)
}

func (s *simulation) deliverVerdicts() {
	for _, r := range s.policy.Poll(s.now, nil) {
		if j := s.waiting[r.Key]; j != nil {
			delete(s.waiting, r.Key)
			s.applyVerdict(j, r.Verdict)
		}
	}
}

func (s *simulation) arrive(i int) {
	highest := s.loads[i].peakRate // candidates a second; thinning them gives the rate at each moment
	if highest == 0 {
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / highest * float64(time.Second))
	s.at(s.now+gap, func() {
		if s.random.Float64() < s.loads[i].rate(s.now)/highest {
			s.request(i)
		}
		s.arrive(i)
	})
}

func (s *simulation) request(i int) {
	l := &s.loads[i]
	j := &job{arrived: s.now, load: i, duration: l.minimum + time.Duration(s.random.ExpFloat64()*float64(l.mean))}
	if s.random.Float64() < l.longFraction {
		j.long = true
		j.duration = time.Duration(float64(j.duration) * l.longMultiplier)
	}
	s.port++
	caller := netip.AddrFrom4([4]byte{127, 1, byte(s.random.IntN(64)), 1})
	if l.callers != nil {
		caller = l.callers(s.random)
	}
	j.key = flow.Key{Caller: caller.As16(), CallerPort: uint16(s.port), Endpoint: flow.EndpointID(s.port>>16 + uint32(i)<<20)}
	if s.measured == nil || s.measured(s.now) {
		s.outcomes[i].offered++
	}
	r := forward.Request{Key: j.key, Hash: j.key.Hash(), Service: l.state, View: stateView{l.state}}
	v := s.policy.Admit(s.now, r)
	if v.Outcome == forward.Waiting {
		s.waiting[j.key] = j
		return
	}
	s.applyVerdict(j, v)
}

func (s *simulation) applyVerdict(j *job, v forward.Verdict) {
	o := &s.outcomes[j.load]
	o.longestWait = max(o.longestWait, s.now-j.arrived)
	if v.Outcome == forward.Refused {
		if s.measured == nil || s.measured(j.arrived) {
			o.refused++
		}
		if !j.long { // a refusal counts as the longest answer time
			_ = o.short.RecordValue(int64(time.Hour / time.Microsecond))
		}
		if s.onRefused != nil {
			s.onRefused(j)
		}
		return
	}
	j.target, j.started = v.Target, s.now
	if (s.measured == nil || s.measured(j.arrived)) && s.loads[j.load].state.Table.Default(j.key.Hash()) != v.Target {
		o.exceptions++
	}
	if s.busy[j.target] < slotsPerTarget {
		s.startWork(j)
		return
	}
	s.overruns++
	s.queues[j.target] = append(s.queues[j.target], j)
}

func (s *simulation) startWork(j *job) {
	s.busy[j.target]++
	o := &s.outcomes[j.load]
	o.longestWait = max(o.longestWait, s.now-j.arrived)
	s.at(s.now+j.duration, func() {
		s.busy[j.target]--
		s.finishWork(j)
		if q := s.queues[j.target]; len(q) > 0 && s.busy[j.target] < slotsPerTarget {
			s.queues[j.target] = q[1:]
			s.startWork(q[0])
		}
	})
}

func (s *simulation) finishWork(j *job) {
	l, o := &s.loads[j.load], &s.outcomes[j.load]
	latency := s.now - j.arrived
	if s.measured != nil && !s.measured(j.arrived) {
		o = &outcome{short: o.short}
	}
	if d := l.state.Info.Deadline; d == 0 || latency <= d {
		o.inTime++
	} else {
		o.late++
	}
	if !j.long {
		_ = o.short.RecordValue(latency.Microseconds())
	}
	if s.onDone != nil {
		s.onDone(j, latency)
	}
	s.lastDone = j.key
	s.policy.Done(s.now, l.state.Info.ID, l.state.Table.Targets[j.target].ID, s.now-j.started, false)
	s.deliverVerdicts()
}

// stateView is the view of a service's state that the traffic goroutines pass to Ask.
type stateView struct{ state *forward.ServiceState }

func (v stateView) Eligible(i int) bool { return v.state.Targets[i].Eligible }
func (v stateView) Load(i int) float64  { return v.state.Targets[i].ReportedLoad }
func (v stateView) Share(i int) float64 { return v.state.Targets[i].Share }

// targetIndex maps every target of the tests to its position.
var targetIndex = map[flow.TargetID]int{}

// newState returns a service of kind short. All services of a test share their targets.
func newState(name, class string, deadline time.Duration, limits bundle.Limits) *forward.ServiceState {
	info := &bundle.ServiceInfo{
		Service: bundle.Service{
			Name: name, Class: class, Kind: bundle.KindShort, Limits: limits, Idempotent: true, Retry: bundle.Retry{BudgetPercent: 10},
		},
		ID: flow.NewServiceID(name), Deadline: deadline,
	}
	for i := range targetCount {
		addr := netip.AddrFrom4([4]byte{127, 2, 0, byte(i + 1)})
		targetIndex[flow.NewTargetID(name, "dc", addr)] = i
		info.Resolved = append(info.Resolved, bundle.TargetInfo{
			ID: flow.NewTargetID(name, "dc", addr), Addr: addr, DataCentre: "dc", Weight: 1,
		})
	}
	s := &forward.ServiceState{Info: info, Table: placement.NewTable(info, "dc"), Strategy: placement.Bounded{LoadFactor: 1.1}}
	for range targetCount {
		s.Targets = append(s.Targets, forward.TargetState{Eligible: true, Usable: true, Share: 1})
	}
	return s
}

// unbounded is the baseline without admission control: every flow is placed at once.
type unbounded struct {
	strategy placement.Strategy
	inFlight [targetCount]float64
}

func (u *unbounded) Admit(_ time.Duration, r forward.Request) forward.Verdict {
	i := u.strategy.Pick(r.Hash, r.Service.Table, u)
	u.inFlight[i]++
	return forward.Verdict{Outcome: forward.Admitted, Target: i}
}

func (u *unbounded) Done(_ time.Duration, _ flow.ServiceID, id flow.TargetID, _ time.Duration, _ bool) {
	u.inFlight[targetIndex[id]]--
}

func (u *unbounded) Cancel(time.Duration, flow.Key)                                  {}
func (u *unbounded) Poll(_ time.Duration, dst []forward.Released) []forward.Released { return dst }

func (u *unbounded) Eligible(int) bool { return true }

func (u *unbounded) Load(i int) float64 { return u.inFlight[i] }

func (u *unbounded) Share(int) float64 { return 1 }

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
