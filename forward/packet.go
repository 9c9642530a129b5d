package forward

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// TCPFlags are the control bits of a TCP header.
type TCPFlags uint8

// TCP control bits that matter to decisions.
const (
	FIN TCPFlags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Packet is what decisions need of an inner packet.
type Packet struct {
	Source, Destination netip.AddrPort
	Protocol            flow.Protocol
	Flags               TCPFlags // TCP only
	Seq, Ack            uint32   // TCP only
	Payload             uint32   // bytes after the TCP or UDP header
}

// Has reports whether all of the flags are set.
func (p *Packet) Has(f TCPFlags) bool { return p.Flags&f == f }

// SequenceLength returns the number of sequence numbers that a TCP segment uses.
func (p *Packet) SequenceLength() uint32 {
	n := p.Payload
	if p.Has(SYN) {
		n++
	}
	if p.Has(FIN) {
		n++
	}
	return n
}

func (p *Packet) segment() flow.Segment {
	return flow.Segment{Seq: p.Seq, Ack: p.Ack, Length: p.SequenceLength(), HasAck: p.Has(ACK)}
}

// event returns what the packet means for the state of its flow.
func (p *Packet) event(d Direction) flow.Event {
	caller := d == ToTarget
	switch {
	case p.Protocol == flow.UDP:
		return pick(caller, flow.CallerDatagram, flow.TargetDatagram)
	case p.Has(RST):
		return pick(caller, flow.CallerRST, flow.TargetRST)
	case p.Has(SYN):
		return pick(caller, flow.CallerSYN, flow.TargetSYNACK)
	case p.Has(FIN):
		return pick(caller, flow.CallerFIN, flow.TargetFIN)
	}
	return pick(caller, flow.CallerPacket, flow.TargetPacket)
}

func pick(caller bool, a, b flow.Event) flow.Event {
	if caller {
		return a
	}
	return b
}

// Direction tells which end a packet between balancers is meant for.
type Direction uint8

// Directions of packets.
const (
	ToTarget Direction = 1
	ToCaller Direction = 2
)

// HopLimit is the number of times that a packet may be passed between balancers.
const HopLimit = 3

// PeerInfo is what balancers tell each other about a packet that they pass on.
type PeerInfo struct {
	Version     uint64 // bundle version in force at the sender
	Incarnation uint64 // of the sender
	Hops        uint8  // times that the packet was passed between balancers, including this one
	Direction   Direction
	VNI         uint32 // of the service
	// Target is the low 16 bits of the ID of the target that the packet came from. The owner uses it to drop late
	// answers of a target that the flow no longer uses. Towards the target it is that of the target that the owner
	// wants, or 0 for the default.
	Target uint16
}

// Action tells what to do with a packet.
type Action uint8

// Actions.
const (
	Drop          Action = iota
	ForwardPeer          // pass to the balancer at Decision.Addr with the option of Decision.Peer
	ForwardTarget        // deliver to the target at Decision.Addr with Decision.VNI
	SendCaller           // return to the caller through the fabric
	Refuse               // answer the caller that nothing was run
	Reset                // end the flow with a RST to the sender of the packet; the outcome is unknown
	Hold                 // keep the packet until Engine.Poll returns a decision for the flow
	actionCount
)

var actionNames = [actionCount]string{
	"drop", "forward-peer", "forward-target", "send-caller", "refuse", "reset", "hold",
}

// String returns the name of the action in kebab case.
func (a Action) String() string {
	if a < actionCount {
		return actionNames[a]
	}
	return "unknown"
}

// Reply is the kind of packet that answers a refused or reset packet.
type Reply uint8

// Replies.
const (
	NoReply      Reply = iota
	ReplyRST           // TCP RST to the sender
	ReplyRefused       // ICMP or ICMPv6 destination unreachable, administratively prohibited
)

// Decision tells what to do with a packet. Its fields are grouped because the compiler keeps a struct in registers only
// if it has at most four fields at each level; copies through memory took a quarter of the time of a decision.
type Decision struct {
	Effect
	Attributes
	to       *netip.AddrPort
	snapshot *Snapshot
}

// Effect is what is done, and to which packet.
type Effect struct {
	Action    Action
	Reply     Reply     // for Refuse and Reset
	Direction Direction // of the packet that was decided about
	hops      uint8
}

// Attributes is the reason of a decision and the network identifier towards the target.
type Attributes struct {
	Code   resultcode.Code
	source uint16
	VNI    uint32 // does not apply towards the fabric and other balancers
}

// decide returns a decision about a packet with a direction.
func decide(a Action, d Direction) Decision { return Decision{Effect: Effect{Action: a, Direction: d}} }

// Addr returns the outer destination. It is not valid where the fabric is the destination.
func (d *Decision) Addr() netip.AddrPort {
	if d.to == nil {
		return netip.AddrPort{}
	}
	return *d.to
}

// Peer returns the option for ForwardPeer.
func (d *Decision) Peer() PeerInfo {
	p := PeerInfo{Hops: d.hops, Direction: d.Direction, VNI: d.VNI, Target: d.source}
	if d.snapshot != nil && d.snapshot.Bundle != nil {
		p.Version, p.Incarnation = d.snapshot.Bundle.Version, d.snapshot.Incarnation
	}
	return p
}
