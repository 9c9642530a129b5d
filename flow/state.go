package flow

import (
	_ "embed"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/chart"
)

//go:embed flow.yaml
var flowChart []byte

// State is the state of a flow. Its transitions are defined in flow.yaml.
type State uint8

// States of a flow, in the order of stateNames.
const (
	New           State = iota // not in the table
	Waiting                    // the first packet waits for admission
	Deferred                   // TCP: placed by another balancer with a newer bundle
	Opening                    // TCP: a SYN was forwarded
	Answered                   // TCP: the target answered the SYN
	Adopted                    // TCP: first seen in mid-connection, not yet answered by the target
	Established                // TCP: both ends take part
	CallerClosing              // TCP: the caller sent FIN
	TargetClosing              // TCP: the target sent FIN
	Closed                     // TCP: both ends sent FIN, or one sent RST
	Unconfirmed                // UDP: the target has not answered
	Confirmed                  // UDP: the target has answered
	stateCount
)

var stateNames = []string{
	"new", "waiting", "deferred", "opening", "answered", "adopted", "established", "caller-closing", "target-closing", "closed",
	"unconfirmed", "confirmed",
}

// String returns the name of the state in flow.yaml.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Event is a cause of state transitions: mostly a packet, by its sender and type.
type Event uint8

// Events of a flow, in the order of eventNames.
const (
	EventWait Event = iota
	EventDefer
	CallerSYN
	CallerPacket
	CallerFIN
	CallerRST
	CallerDatagram
	TargetSYNACK
	TargetPacket
	TargetFIN
	TargetRST
	TargetDatagram
	eventCount
)

var eventNames = []string{
	"wait", "defer", "caller-syn", "caller-packet", "caller-fin", "caller-rst", "caller-datagram",
	"target-syn-ack", "target-packet", "target-fin", "target-rst", "target-datagram",
}

// transitions returns the transition table of flow.yaml. It is built on first use, so that programs that only hash flows
// start faster.
var transitions = sync.OnceValue(compileChart)

func compileChart() *[stateCount][eventCount]State {
	out := &[stateCount][eventCount]State{}
	table, err := chart.MustLoad(flowChart).Table(stateNames, eventNames)
	if err != nil {
		panic(err)
	}
	for s := range table {
		for e, next := range table[s] {
			out[s][e] = State(next)
		}
	}
	return out
}

// Next returns the state after an event.
func (s State) Next(e Event) State { return transitions()[s][e] }

// Pending reports whether it is not yet confirmed that both ends take part in the flow.
func (s State) Pending() bool { return pending[s] }

// Open reports whether the flow counts as open at its target.
func (s State) Open() bool { return s != New && s != Waiting && s != Deferred && s != Closed }

var pending = [16]bool{Waiting: true, Deferred: true, Opening: true, Answered: true, Adopted: true, Unconfirmed: true}

// Idle timeouts of entries.
const (
	// HalfOpenTimeout covers the SYN retransmissions of common stacks at 1, 3 and 7 s.
	HalfOpenTimeout = 10 * time.Second
	// EstablishedTimeout lets a session without keep-alives be idle for hours.
	EstablishedTimeout = 6 * time.Hour
	// ClosingTimeout lets one end continue to send after the other has closed its half of the connection.
	ClosingTimeout = 15 * time.Minute
	// ClosedTimeout lets the last segments and their retransmissions pass.
	ClosedTimeout = 10 * time.Second
	// UDPTimeout is the minimum that RFC 4787, section 4.3, requires. With a shorter one, a late duplicate of a request
	// could be placed as a new request.
	UDPTimeout = 2 * time.Minute
)

var timeoutMS = [16]int32{
	Waiting:       int32(ClosingTimeout.Milliseconds()), // admission ends the wait; the timeout only applies if a verdict is lost
	Deferred:      int32(HalfOpenTimeout.Milliseconds()),
	Opening:       int32(HalfOpenTimeout.Milliseconds()),
	Answered:      int32(HalfOpenTimeout.Milliseconds()),
	Adopted:       int32(HalfOpenTimeout.Milliseconds()),
	Established:   int32(EstablishedTimeout.Milliseconds()),
	CallerClosing: int32(ClosingTimeout.Milliseconds()),
	TargetClosing: int32(ClosingTimeout.Milliseconds()),
	Closed:        int32(ClosedTimeout.Milliseconds()),
	Unconfirmed:   int32(UDPTimeout.Milliseconds()),
	Confirmed:     int32(UDPTimeout.Milliseconds()),
}
