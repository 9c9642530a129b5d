// Package steer decides where each packet of a flow goes when targets answer callers directly and every packet carries
// the token of its target. Any balancer can forward any packet; what an Engine remembers of flows only improves
// placement and is lost without harm. The package does no I/O.
package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Packet is the header of a packet from a caller.
type Packet struct {
	Caller, Endpoint directory.Endpoint
	// Open asks for a new flow; Finish and Reset end one.
	Open, Finish, Reset bool
	Acknowledges        bool
	Sequence            uint32
	// Acknowledgement is the next byte that the caller expects. In an opening packet it counts its copies.
	Acknowledgement uint32
	Payload         int // bytes
	Token           directory.Token
}

// FlowKey names a flow.
type FlowKey struct{ Caller, Endpoint directory.Endpoint }

// Flow returns the key of the packet's flow.
func (p *Packet) Flow() FlowKey { return FlowKey{Caller: p.Caller, Endpoint: p.Endpoint} }

// Action is what is done with a packet.
type Action uint8

// Actions.
const (
	Drop    Action = iota // without an answer
	Forward               // to Target, with its token
	Refuse                // with a reset that says the flow was never opened
	Break                 // with a reset that ends an open flow
)

var actionNames = [...]string{"drop", "forward", "refuse", "break"}

// String returns the name used in logs.
func (a Action) String() string { return actionNames[a] }

// Decision is what is done with a packet, and why.
type Decision struct {
	Action Action
	Code   resultcode.Code // OK for a packet that is forwarded
	Target *Target         // of a packet that is forwarded
	// Placed reports that the packet opens a flow that was placed now.
	Placed bool
	// Adopted reports that another balancer carried the flow so far.
	Adopted bool
	// OpenLatency is how long the target took to answer the opening packet, when this packet shows that it did; else 0.
	OpenLatency time.Duration
	// ExpectedWait is how long a flow that is refused as overload would wait for a slot; else 0.
	ExpectedWait time.Duration
	// Suspected reports that the packet is evidence that made its target suspect.
	Suspected *Target
}
