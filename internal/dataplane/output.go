package dataplane

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/packet"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// output collects the packets of a batch and sends them.
type output struct {
	engine  *forward.Engine
	fabric  netip.AddrPort
	writer  *udpbatch.Writer
	replies []byte // space for the replies of one batch
	used    int
}

const replySpace = geneve.MaxHeaderBytes + packet.MaxReplyBytes

func newOutput(d *Dataplane, conn *udpbatch.Conn) *output {
	return &output{
		engine: d.config.Engine, fabric: d.config.Fabric,
		writer: udpbatch.NewWriter(conn, batchSize), replies: make([]byte, batchSize*replySpace),
	}
}

// forward sends the inner packet at b[at:end] where the decision says. The buffer needs geneve.MaxHeaderBytes before it.
func (o *output) forward(d *forward.Decision, b []byte, at, end int) {
	h := geneve.Header{VNI: d.VNI}
	to := d.Addr()
	switch d.Action {
	case forward.ForwardPeer:
		h = geneve.Header{VNI: geneve.VNIPeer, HasPeer: true, Peer: d.Peer()}
	case forward.SendCaller:
		h.VNI, to = geneve.VNICaller, o.fabric
	}
	o.add(b[geneve.Encode(b, at, &h):end], to)
}

// reply builds and sends the answer to a refused or reset packet. original is the inner packet.
func (o *output) reply(d *forward.Decision, original []byte, p *forward.Packet) {
	if o.used+replySpace > len(o.replies) {
		o.flush()
	}
	space := o.replies[o.used : o.used+replySpace]
	o.used += replySpace
	built := space[geneve.MaxHeaderBytes:geneve.MaxHeaderBytes]
	if d.Reply == forward.ReplyRefused {
		built = packet.AppendProhibited(built, original, p)
	} else {
		built = packet.AppendReset(built, p)
	}
	o.finish(space, len(built), d.Direction == forward.ToTarget, d.Addr(), d.VNI)
}

// finish sends a packet of n bytes that was built behind the headroom of space.
func (o *output) finish(space []byte, n int, toCaller bool, target netip.AddrPort, vni uint32) {
	h, to := geneve.Header{VNI: vni}, target
	if toCaller {
		h.VNI, to = geneve.VNICaller, o.fabric
	}
	at := geneve.MaxHeaderBytes
	o.add(space[geneve.Encode(space, at, &h):at+n], to)
}

// end resets both ends of a connection.
func (o *output) end(e *forward.ConnectionReset) {
	for _, toCaller := range []bool{true, false} {
		if !toCaller && !e.Target.IsValid() {
			continue
		}
		if o.used+replySpace > len(o.replies) {
			o.flush()
		}
		space := o.replies[o.used : o.used+replySpace]
		o.used += replySpace
		built := space[geneve.MaxHeaderBytes:geneve.MaxHeaderBytes]
		if toCaller {
			built = packet.AppendRST(built, e.Endpoint, e.Caller, e.SeqToCaller, 0, false)
		} else {
			built = packet.AppendRST(built, e.Caller, e.Endpoint, e.SeqToTarget, 0, false)
		}
		o.finish(space, len(built), toCaller, e.Target, e.VNI)
	}
}

func (o *output) add(b []byte, to netip.AddrPort) {
	if o.writer.Full() {
		o.countFailed(o.writer.Flush())
	}
	if !o.writer.Add(b, to) {
		o.engine.CountDrop(resultcode.PacketSendFailed, 1)
	}
}

// flush sends everything that was added.
func (o *output) flush() {
	o.countFailed(o.writer.Flush())
	o.used = 0
}

// discard forgets everything that was added and returns the number of packets.
func (o *output) discard() int {
	o.used = 0
	return o.writer.Reset()
}

func (o *output) countFailed(n int) {
	o.engine.CountDrop(resultcode.PacketSendFailed, n)
}
