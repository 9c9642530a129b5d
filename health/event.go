package health

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Event is an input of a Tracker: Bundle, HostList, Members, Probed, Reports, TrafficSample or Tick.
type Event interface{ event() }

// Bundle is the event that a bundle is in force.
type Bundle struct {
	DataCentre string
	Services   []*bundle.ServiceInfo
}

// HostList is the platform's host list: whether each host is leaving (true) or live (false).
type HostList struct{ Leaving map[netip.Addr]bool }

// Members is the list of the serving balancers of the data centre, this one included.
type Members struct{ Members []membership.HostID }

// Signal is the state that a target reports of itself.
type Signal uint8

// Signals of a target.
const (
	SignalServing Signal = iota
	SignalCold
	SignalShedding
	SignalDraining
)

// ParseSignal returns the signal for the state in a target's health answer, or an error of class Error for an unknown state.
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
	Failed      bool // no valid answer; the other fields are those of the last valid answer
	Signal      Signal
	InFlight    uint32 // pieces of work in progress
	Connections uint32
	Queue       uint32
}

// Probed is the outcome of a probe that this host sent.
type Probed struct {
	Target flow.TargetID
	At     time.Duration // when the probe was sent
	Observation
}

// Report is one entry of a HealthReport message between balancers.
type Report struct {
	Target              flow.TargetID
	AgeMS               uint32 // age of the observation when the message was sent; clocks of hosts are not compared
	HealthyMS           uint32 // for how long the sender has observed the target as healthy
	ConsecutiveFailures uint16 // consecutive failed probes
	Observation
}

// Reports are the entries of a HealthReport message from a peer.
type Reports struct {
	From        membership.HostID
	Incarnation uint64
	Sequence    uint64 // increases with every message of one incarnation
	Reports     []Report
}

// TrafficSample holds the results of the traffic between this host and a target since the previous sample.
type TrafficSample struct {
	Target         flow.TargetID
	Answers        uint32        // requests that ended with an answer
	Refusals       uint32        // new connections that the target refused
	AnswerTime     time.Duration // sum of the durations of the answers
	InFlight       uint32        // work of this host in progress at the target now
	OldestInFlight time.Duration // age of the oldest work in progress
}

// Tick is the event that time has passed. It is due every 100 ms.
type Tick struct{}

func (Bundle) event()        {}
func (HostList) event()      {}
func (Members) event()       {}
func (Probed) event()        {}
func (Reports) event()       {}
func (TrafficSample) event() {}
func (Tick) event()          {}

// Effect is an output of a Tracker: Probe, SendReports, StateChanged or TrustChanged.
type Effect interface{ effect() }

// Probe requests a probe of the target.
type Probe struct{ Target flow.TargetID }

// SendReports requests that the reports be sent to all peers of the data centre.
type SendReports struct {
	Sequence uint64
	Reports  []Report
}

// StateChanged is a change of the state of a target.
type StateChanged struct {
	Target   flow.TargetID
	From, To State
	Cause    string // name of the state chart's event
}

// TrustChanged means that the reports of a target are distrusted, or trusted again if Reason is empty.
type TrustChanged struct {
	Target flow.TargetID
	Reason string
}

func (Probe) effect()        {}
func (SendReports) effect()  {}
func (StateChanged) effect() {}
func (TrustChanged) effect() {}
