package dataplane

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/packet"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// output collects the outgoing packets of a batch and sends them together.
type output struct {
	engine  *forward.Engine
	fabric  netip.AddrPort
	writer  *udpbatch.Writer
	replies []byte // buffer for the replies of one batch
	used    int    // bytes of replies in use
}

// replyBufferBytes is the buffer size of one reply with its Geneve header.
const replyBufferBytes = geneve.MaxHeaderBytes + packet.MaxReplyBytes

func newOutput(d *Dataplane, conn *udpbatch.Conn) *output {
	return &output{
		engine: d.config.Engine, fabric: d.config.Fabric,
		writer: udpbatch.NewWriter(conn, batchSize), replies: make([]byte, batchSize*replyBufferBytes),
	}
}

// forward sends the inner packet b[start:end] to the destination of the decision. It writes the Geneve header into b before
// start, which must be at least geneve.MaxHeaderBytes.
func (o *output) forward(d *forward.Decision, b []byte, start, end int) {
	h := geneve.Header{VNI: d.VNI}
	to := d.Addr()
	switch d.Action {
	case forward.ForwardPeer:
		h = geneve.Header{VNI: geneve.VNIPeer, HasPeer: true, Peer: d.Peer()}
	case forward.SendCaller:
		h.VNI, to = geneve.VNICaller, o.fabric
	}
	o.add(b[geneve.Encode(b, start, &h):end], to)
}

// reply sends the reply of a decision, an ICMP error or a TCP reset, to the sender of a packet. original is the inner packet.
func (o *output) reply(d *forward.Decision, original []byte, p *forward.Packet) {
	if o.used+replyBufferBytes > len(o.replies) {
		o.flush()
	}
	buffer := o.replies[o.used : o.used+replyBufferBytes]
	o.used += replyBufferBytes
	inner := buffer[geneve.MaxHeaderBytes:geneve.MaxHeaderBytes]
	if d.Reply == forward.ReplyRefused {
		inner = packet.AppendProhibited(inner, original, p)
	} else {
		inner = packet.AppendReset(inner, p)
	}
	o.addEncapsulated(buffer, len(inner), d.Direction == forward.ToTarget, d.Addr(), d.VNI)
}

// addEncapsulated adds a Geneve header to the inner packet that starts at geneve.MaxHeaderBytes in buffer, and sends it to
// the fabric or the target.
func (o *output) addEncapsulated(buffer []byte, innerBytes int, toCaller bool, target netip.AddrPort, vni uint32) {
	h, to := geneve.Header{VNI: vni}, target
	if toCaller {
		h.VNI, to = geneve.VNICaller, o.fabric
	}
	start := geneve.MaxHeaderBytes
	o.add(buffer[geneve.Encode(buffer, start, &h):start+innerBytes], to)
}

// addResets resets both ends of a connection, or only the caller's when the target is unknown.
func (o *output) addResets(e *forward.ConnectionReset) {
	for _, toCaller := range []bool{true, false} {
		if !toCaller && !e.Target.IsValid() {
			continue
		}
		if o.used+replyBufferBytes > len(o.replies) {
			o.flush()
		}
		buffer := o.replies[o.used : o.used+replyBufferBytes]
		o.used += replyBufferBytes
		inner := buffer[geneve.MaxHeaderBytes:geneve.MaxHeaderBytes]
		if toCaller {
			inner = packet.AppendRST(inner, e.Endpoint, e.Caller, e.SeqToCaller, 0, false)
		} else {
			inner = packet.AppendRST(inner, e.Caller, e.Endpoint, e.SeqToTarget, 0, false)
		}
		o.addEncapsulated(buffer, len(inner), toCaller, e.Target, e.VNI)
	}
}

// add queues an encapsulated packet and sends the queued ones first when the queue is full.
func (o *output) add(b []byte, to netip.AddrPort) {
	if o.writer.Full() {
		o.countFailed(o.writer.Flush())
	}
	if !o.writer.Add(b, to) {
		o.engine.CountDrop(resultcode.PacketSendFailed, 1)
	}
}

// flush sends all queued packets.
func (o *output) flush() {
	o.countFailed(o.writer.Flush())
	o.used = 0
}

// discard drops all queued packets and returns their number.
func (o *output) discard() int {
	o.used = 0
	return o.writer.Reset()
}

func (o *output) countFailed(n int) {
	o.engine.CountDrop(resultcode.PacketSendFailed, n)
}
