// Package steer chooses the target of each packet when targets answer callers directly and every packet carries the
// token of its target. Any balancer can forward any packet: the state that an Engine keeps of flows only improves
// placement, and losing it breaks no flow. The package does no I/O.
package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Packet is the header of a packet from a caller.
type Packet struct {
	Caller, Endpoint directory.Endpoint
	// Open requests a new flow; Finish and Reset end one.
	Open, Finish, Reset bool
	Acknowledges        bool
	Sequence            uint32
	// Acknowledgement is the next byte that the caller expects. In an opening packet it is the number of earlier copies.
	Acknowledgement uint32
	Payload         int // bytes
	Token           directory.Token
}

// FlowKey identifies a flow by the addresses and ports of its caller and its endpoint.
type FlowKey struct{ Caller, Endpoint directory.Endpoint }

// Flow returns the key of the packet's flow.
func (p *Packet) Flow() FlowKey { return FlowKey{Caller: p.Caller, Endpoint: p.Endpoint} }

// Action is what the balancer does with a packet.
type Action uint8

// Actions.
const (
	Drop    Action = iota // discard the packet without an answer
	Forward               // send the packet to Target, with its token
	Refuse                // answer an opening packet with a reset: the flow was never opened
	Break                 // answer a packet of an open flow with a reset, which ends the flow
)

var actionNames = [...]string{"drop", "forward", "refuse", "break"}

// String returns the name used in logs.
func (a Action) String() string { return actionNames[a] }

// Decision is the action for a packet and the reason for it.
type Decision struct {
	Action Action
	Code   resultcode.Code // OK for a forwarded packet
	Target *Target         // set for a forwarded packet, and for a reset of an open flow
	// Placed reports that the packet opens a flow for which a target was chosen now.
	Placed bool
	// Adopted reports that the flow was open at another balancer before this packet.
	Adopted bool
	// Probe reports that a new flow goes to a dark target to find out whether it answers. For a packet that is reset, it reports that the
	// flow was placed here and not yet open, as that of a probe is.
	Probe bool
	// OpenLatency is how long the target took to answer the opening packet. It is set for the packet that shows the
	// answer, and 0 for all others.
	OpenLatency time.Duration
	// ExpectedWait is the averaged wait for a slot of the service when a flow is refused because of overload, and 0 otherwise.
	ExpectedWait time.Duration
	// Suspected is the target that became suspect because of this packet, or nil.
	Suspected *Target
}
