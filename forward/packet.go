package forward

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// TCPFlags are the control bits of a TCP header.
type TCPFlags uint8

// TCP control bits that decisions depend on.
const (
	FIN TCPFlags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Packet holds the header fields of an inner packet that decisions depend on.
type Packet struct {
	Source, Destination netip.AddrPort
	Protocol            flow.Protocol
	Flags               TCPFlags // TCP only
	Seq, Ack            uint32   // TCP only
	Payload             uint32   // bytes after the TCP or UDP header
}

// Has reports whether all of the flags are set.
func (p *Packet) Has(f TCPFlags) bool { return p.Flags&f == f }

// SequenceLength returns the number of sequence numbers that a TCP segment consumes.
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

// event returns the event that the packet is for the state of its flow.
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

// Direction tells whether a packet travels to the target or to the caller of its flow.
type Direction uint8

// Directions of packets.
const (
	ToTarget Direction = 1
	ToCaller Direction = 2
)

// HopLimit is the number of times that a packet may be forwarded between balancers.
const HopLimit = 3

// PeerInfo is the information that a balancer sends with a packet that it forwards to another one.
type PeerInfo struct {
	Version     uint64 // bundle version in force at the sender
	Incarnation uint64 // of the sender
	Hops        uint8  // times that the packet was forwarded between balancers, including this one
	Direction   Direction
	VNI         uint32 // of the service
	// Target is the low 16 bits of a target's ID. In a packet to the caller it identifies the target that sent the
	// packet; the owner uses it to drop late answers of a target that the flow no longer uses. In a packet to the target
	// it identifies the target that the owner has selected, and 0 means the default target.
	Target uint16
}

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	Drop          Action = iota
	ForwardPeer          // forward to the balancer at Decision.Addr with the option of Decision.Peer
	ForwardTarget        // deliver to the target at Decision.Addr with Decision.VNI
	SendCaller           // return to the caller through the fabric
	Refuse               // answer the caller that the request was not run
	Reset                // answer the sender of the packet with a RST; the outcome of the flow is unknown
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

// Decision is the result of deciding about a packet. Its fields are grouped because the compiler keeps a struct in
// registers only if it has at most four fields at each level; copies through memory took a quarter of the time of a
// decision.
type Decision struct {
	Effect
	Attributes
	to       *netip.AddrPort
	snapshot *Snapshot
}

// Effect holds the action of a decision and the direction of the packet that it applies to.
type Effect struct {
	Action    Action
	Reply     Reply     // for Refuse and Reset
	Direction Direction // of the packet
	hops      uint8
}

// Attributes holds the result code of a decision and the identifiers that are sent with the packet.
type Attributes struct {
	Code       resultcode.Code
	targetBits uint16 // PeerInfo.Target for ForwardPeer
	VNI        uint32 // of the service; not sent in the outer header to the fabric and to other balancers
}

// decide returns a decision with an action for a packet that travels in a direction.
func decide(a Action, d Direction) Decision { return Decision{Effect: Effect{Action: a, Direction: d}} }

// Addr returns the outer destination. It is the zero AddrPort when the packet goes to the fabric.
func (d *Decision) Addr() netip.AddrPort {
	if d.to == nil {
		return netip.AddrPort{}
	}
	return *d.to
}

// Peer returns the PeerInfo to send with a packet for ForwardPeer.
func (d *Decision) Peer() PeerInfo {
	p := PeerInfo{Hops: d.hops, Direction: d.Direction, VNI: d.VNI, Target: d.targetBits}
	if d.snapshot != nil && d.snapshot.Bundle != nil {
		p.Version, p.Incarnation = d.snapshot.Bundle.Version, d.snapshot.Incarnation
	}
	return p
}
