package health

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Settings are the periods and thresholds of a Tracker. Zero fields take the value of DefaultSettings.
type Settings struct {
	ProbeInterval    time.Duration // between probes of one target by one prober
	SlowStart        time.Duration // time in which the share of a warming target increases to 1
	ReportHalfLife   time.Duration // age at which a load report has half its weight
	StaleAfter       time.Duration // age after which an observation no longer shows whether the target is reachable
	DistrustPeriod   time.Duration // how long a report stays distrusted after the last contradiction
	BaseEjectionTime time.Duration // duration of the first ejection of an outlier; doubles with each further one
	MaxEjectionTime  time.Duration // longest ejection
}

// DefaultSettings returns the settings used in production. The two probers of a target are half an interval apart, so
// that the target's own drain signal is noticed within 0.5 s, or within 1 s when one prober is dead, plus 0.5 s of probe
// timeout. This leaves 1.5 s of the allowed 3 s for the report to reach the other balancers.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:    time.Second,
		SlowStart:        10 * time.Second,
		ReportHalfLife:   2 * time.Second,
		StaleAfter:       8 * time.Second,
		DistrustPeriod:   30 * time.Second,
		BaseEjectionTime: 5 * time.Second,
		MaxEjectionTime:  80 * time.Second,
	}
}

func (s *Settings) setDefaults() {
	d := DefaultSettings()
	s.ProbeInterval = cmp.Or(s.ProbeInterval, d.ProbeInterval)
	s.SlowStart = cmp.Or(s.SlowStart, d.SlowStart)
	s.ReportHalfLife = cmp.Or(s.ReportHalfLife, d.ReportHalfLife)
	s.StaleAfter = cmp.Or(s.StaleAfter, d.StaleAfter)
	s.DistrustPeriod = cmp.Or(s.DistrustPeriod, d.DistrustPeriod)
	s.BaseEjectionTime = cmp.Or(s.BaseEjectionTime, d.BaseEjectionTime)
	s.MaxEjectionTime = cmp.Or(s.MaxEjectionTime, d.MaxEjectionTime)
}

// Tracker holds the state of all targets of one data centre. It is used by one goroutine.
type Tracker struct {
	settings     Settings
	self         membership.HostID
	incarnation  uint64
	members      []membership.HostID
	services     []*service
	targets      map[flow.TargetID]*target
	byAddr       map[netip.Addr][]*target
	leavingHosts map[netip.Addr]bool // from the host list, also for hosts whose targets a later bundle adds
	lastBatchAt  time.Duration
	sequence     uint64
	effects      []Effect
}

type service struct {
	id               flow.ServiceID
	isSession        bool
	targets          []*target // in the order of placement.Table
	reportsCheckedAt time.Duration
}

type target struct {
	info            bundle.TargetInfo
	state           State
	since           time.Duration
	warmingSince    time.Duration
	hostLeaving     bool
	observations    []observation // the newest one of each prober
	traffic         traffic
	ejections       int
	ejectedUntil    time.Duration
	distrustedUntil time.Duration
	distrusted      bool
	distrustReason  string
	nextProbe       time.Duration
	sendNow         bool // the newest observation of this prober must be sent at once
	repeatsLeft     int  // further observations of this prober that must be sent at once
	sentAt          time.Duration
}

// NewTracker returns a tracker for the balancer self.
func NewTracker(self membership.HostID, incarnation uint64, settings Settings) *Tracker {
	settings.setDefaults()
	return &Tracker{
		settings: settings, self: self, incarnation: incarnation,
		targets: make(map[flow.TargetID]*target), byAddr: make(map[netip.Addr][]*target), leavingHosts: make(map[netip.Addr]bool),
	}
}

// Handle processes an event at time now and returns its effects. The slice is valid until the next call.
func (t *Tracker) Handle(now time.Duration, event Event) []Effect {
	t.effects = t.effects[:0]
	switch e := event.(type) {
	case Bundle:
		t.setBundle(now, e)
	case HostList:
		t.setHosts(now, e)
	case Members:
		t.setMembers(e)
	case Probed:
		t.handleProbe(now, e)
	case Reports:
		t.handleReports(now, e)
	case TrafficSample:
		t.handleTraffic(now, e)
	case Tick:
		t.tick(now)
	}
	return t.effects
}

func (t *Tracker) emit(e Effect) { t.effects = append(t.effects, e) }

// setBundle replaces services and targets. Targets that remain keep their state.
func (t *Tracker) setBundle(now time.Duration, e Bundle) {
	old := t.targets
	t.targets, t.byAddr, t.services = make(map[flow.TargetID]*target), make(map[netip.Addr][]*target), nil
	for _, info := range e.Services {
		s := &service{id: info.ID, isSession: info.Kind == bundle.KindSession}
		for _, ti := range info.Resolved {
			if ti.DataCentre != e.DataCentre {
				continue
			}
			x := old[ti.ID]
			if x == nil {
				x = &target{since: now, hostLeaving: t.leavingHosts[ti.Addr]}
			}
			x.info = ti
			t.targets[ti.ID] = x
			t.byAddr[ti.Addr] = append(t.byAddr[ti.Addr], x)
			s.targets = append(s.targets, x)
		}
		t.services = append(t.services, s)
	}
	t.evaluateAll(now)
}

// setHosts applies the platform's host list. A host that the list no longer names keeps its last notice: the list lags, and
// absence from it does not mean that a target has returned.
func (t *Tracker) setHosts(now time.Duration, e HostList) {
	for addr, leaving := range e.Leaving {
		t.leavingHosts[addr] = leaving
		for _, x := range t.byAddr[addr] {
			x.hostLeaving = leaving
		}
	}
	t.evaluateAll(now)
}

func (t *Tracker) setMembers(e Members) {
	t.members = slices.Clone(e.Members)
	slices.Sort(t.members)
}

func (t *Tracker) tick(now time.Duration) {
	t.scheduleProbes(now)
	t.evaluateAll(now)
	t.sendReports(now)
}

func (t *Tracker) evaluateAll(now time.Duration) {
	for _, s := range t.services {
		t.evaluateService(now, s)
	}
}

func (t *Tracker) evaluateService(now time.Duration, s *service) {
	for _, x := range s.targets {
		t.advance(now, x)
	}
	t.ejectOutliers(now, s)
	t.checkReports(now, s)
}

func (t *Tracker) serviceOf(id flow.ServiceID) *service {
	for _, s := range t.services {
		if s.id == id {
			return s
		}
	}
	return nil
}

// States appends to dst the states of the service's targets for the traffic goroutines, in the order of placement.Table. When
// no target is eligible, all that are neither down nor leaving become eligible: a doubtful target is better than none, but a
// leaving target never gets new work.
func (t *Tracker) States(now time.Duration, id flow.ServiceID, dst []forward.TargetState) []forward.TargetState {
	s := t.serviceOf(id)
	if s == nil {
		return dst
	}
	start, anyEligible := len(dst), false
	mean := t.meanLoad(now, s)
	for _, x := range s.targets {
		anyEligible = anyEligible || x.state.acceptsNewFlows()
		dst = append(dst, forward.TargetState{
			Eligible: x.state.acceptsNewFlows(), Usable: x.state != Down,
			Share: t.share(now, x), ReportedLoad: t.effectiveLoad(now, s, x, mean),
		})
	}
	if !anyEligible {
		for i, x := range s.targets {
			dst[start+i].Eligible = x.state != Down && !x.isLeaving()
		}
	}
	return dst
}

// Status describes a target for operators.
type Status struct {
	Target     flow.TargetID
	State      State
	Since      time.Duration
	Notices    []string // sources of the notices that it is leaving
	Distrusted string   // why its reports are distrusted; empty if they are trusted
	Ejections  int
	Age        time.Duration // of the newest valid observation; -1 if there is none
}

// Status returns the description of a target and whether it is known.
func (t *Tracker) Status(now time.Duration, id flow.TargetID) (Status, bool) {
	x := t.targets[id]
	if x == nil {
		return Status{}, false
	}
	s := Status{Target: id, State: x.state, Since: x.since, Notices: x.notices(), Ejections: x.ejections, Age: -1}
	if x.distrusted {
		s.Distrusted = x.distrustReason
	}
	if o := x.newestAnswer(); o != nil {
		s.Age = now - o.at
	}
	return s, true
}
