package health

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Event is what a Tracker is told: Bundle, HostList, Members, Probed, Reports, TrafficSample or Tick.
type Event interface{ event() }

// Bundle tells that a bundle is in force.
type Bundle struct {
	DataCentre string
	Services   []*bundle.ServiceInfo
}

// HostList tells which hosts the platform lists as live (false) or leaving (true).
type HostList struct{ Leaving map[netip.Addr]bool }

// Members tells which balancers of the data centre serve, this one included.
type Members struct{ Members []membership.HostID }

// Signal is what a target says about itself.
type Signal uint8

// Signals of a target.
const (
	SignalServing Signal = iota
	SignalCold
	SignalShedding
	SignalDraining
)

// ParseSignal returns the signal that a target's health answer names.
func ParseSignal(state string) (Signal, error) {
	switch state {
	case "serving", "ok", "ready":
		return SignalServing, nil
	case "cold", "starting", "warming":
		return SignalCold, nil
	case "shedding", "overloaded":
		return SignalShedding, nil
	case "draining", "leaving":
		return SignalDraining, nil
	}
	return 0, Error.New("target state %q is not allowed: must be serving, cold, shedding or draining", state)
}

// Observation is the outcome of one probe.
type Observation struct {
	Failed      bool // no valid answer; the fields below are then those of the last valid answer
	Signal      Signal
	InFlight    uint32 // pieces of work in progress
	Connections uint32
	Queue       uint32
}

// Probed tells the outcome of a probe that this host sent.
type Probed struct {
	Target flow.TargetID
	At     time.Duration // when the probe was sent
	Observation
}

// Report is one entry of a HealthReport message between balancers.
type Report struct {
	Target              flow.TargetID
	AgeMS               uint32 // age of the observation when the message was sent; no clock is compared between hosts
	HealthyMS           uint32 // for how long the sender has seen the target healthy
	ConsecutiveFailures uint16 // consecutive failed probes
	Observation
}

// Reports tells the entries of a HealthReport from a peer.
type Reports struct {
	From        membership.HostID
	Incarnation uint64
	Sequence    uint64 // rises with every message of one incarnation
	Reports     []Report
}

// TrafficSample tells what the traffic of this host showed of a target since the last TrafficSample.
type TrafficSample struct {
	Target         flow.TargetID
	Answers        uint32        // requests that ended with an answer
	Refusals       uint32        // new connections that the target refused
	AnswerTime     time.Duration // sum of the duration of the answers
	InFlight       uint32        // work of this host in progress at the target now
	OldestInFlight time.Duration // age of the oldest work in progress
}

// Tick tells that time has passed. It is due every 100 ms.
type Tick struct{}

func (Bundle) event()        {}
func (HostList) event()      {}
func (Members) event()       {}
func (Probed) event()        {}
func (Reports) event()       {}
func (TrafficSample) event() {}
func (Tick) event()          {}

// Effect is what a Tracker wants done: Probe, SendReports, StateChanged or TrustChanged.
type Effect interface{ effect() }

// Probe asks for a probe of the target.
type Probe struct{ Target flow.TargetID }

// SendReports asks to send a batch to all peers of the data centre.
type SendReports struct {
	Sequence uint64
	Reports  []Report
}

// StateChanged tells that a target changed state.
type StateChanged struct {
	Target   flow.TargetID
	From, To State
	Cause    string // the chart's event
}

// TrustChanged tells that the reports of a target are distrusted, or trusted again when Reason is empty.
type TrustChanged struct {
	Target flow.TargetID
	Reason string
}

func (Probe) effect()        {}
func (SendReports) effect()  {}
func (StateChanged) effect() {}
func (TrustChanged) effect() {}
