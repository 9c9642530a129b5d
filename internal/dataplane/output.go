package dataplane

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/packet"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// peerPathCount is the number of source ports towards other balancers. The kernel of the receiver spreads packets over
// its workers by addresses and ports, so a flow always takes the port that its hash selects.
const peerPathCount = 8

// peerPaths are the sockets that send to other balancers.
type peerPaths struct{ conns [peerPathCount]*udpbatch.Conn }

func newPeerPaths(address netip.Addr) (*peerPaths, error) {
	p := &peerPaths{}
	for i := range p.conns {
		conn, err := udpbatch.Listen(netip.AddrPortFrom(address, 0))
		if err != nil {
			_ = p.close()
			return nil, err
		}
		p.conns[i] = conn
	}
	return p, nil
}

func (p *peerPaths) close() error {
	var first error
	for _, c := range p.conns {
		if c != nil {
			if err := c.Close(); err != nil && first == nil {
				first = err
			}
		}
	}
	return first
}

// output collects the packets of a batch and sends them.
type output struct {
	engine  *forward.Engine
	fabric  netip.AddrPort
	direct  *udpbatch.Writer // to fabric and targets
	peers   [peerPathCount]*udpbatch.Writer
	replies []byte // space for the replies of one batch
	used    int
}

const replySpace = geneve.MaxHeaderBytes + packet.MaxReplyBytes

func newOutput(d *Dataplane, conn *udpbatch.Conn) *output {
	o := &output{
		engine: d.config.Engine, fabric: d.config.Fabric,
		direct: udpbatch.NewWriter(conn, batchSize), replies: make([]byte, batchSize*replySpace),
	}
	for i, c := range d.paths.conns {
		o.peers[i] = udpbatch.NewWriter(c, batchSize)
	}
	return o
}

// forward sends the inner packet at b[at:end] where the decision says. The buffer needs geneve.MaxHeaderBytes before it.
func (o *output) forward(d *forward.Decision, b []byte, at, end int, p *forward.Packet) {
	h := geneve.Header{VNI: d.VNI}
	w, to := o.direct, d.Addr()
	switch d.Action {
	case forward.ForwardPeer:
		h = geneve.Header{VNI: geneve.VNIPeer, HasPeer: true, Peer: d.Peer()}
		w = o.peers[pathOf(p)]
	case forward.SendCaller:
		h.VNI, to = geneve.VNICaller, o.fabric
	}
	o.add(w, b[geneve.Put(b, at, &h):end], to)
}

// pathOf returns the same path for both directions of a flow.
func pathOf(p *forward.Packet) int {
	x := uint32(p.Source.Port())*0x9e3779b1 ^ uint32(p.Destination.Port())*0x9e3779b1
	return int(x >> 29 % peerPathCount)
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
	o.add(o.direct, space[geneve.Put(space, at, &h):at+n], to)
}

// end resets both ends of a connection.
func (o *output) end(e *forward.Ending) {
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
			built = packet.AppendRST(built, e.Endpoint, e.Caller, e.ToCaller, 0, false)
		} else {
			built = packet.AppendRST(built, e.Caller, e.Endpoint, e.ToTarget, 0, false)
		}
		o.finish(space, len(built), toCaller, e.Target, e.VNI)
	}
}

func (o *output) add(w *udpbatch.Writer, b []byte, to netip.AddrPort) {
	if w.Full() {
		o.countFailed(w.Flush())
	}
	if !w.Add(b, to) {
		o.engine.CountDrop(resultcode.PacketSendFailed, 1)
	}
}

// flush sends everything that was added.
func (o *output) flush() {
	o.countFailed(o.direct.Flush())
	for _, w := range o.peers {
		o.countFailed(w.Flush())
	}
	o.used = 0
}

// discard forgets everything that was added and returns the number of packets.
func (o *output) discard() (n int) {
	n = o.direct.Reset()
	for _, w := range o.peers {
		n += w.Reset()
	}
	o.used = 0
	return n
}

func (o *output) countFailed(n int) {
	o.engine.CountDrop(resultcode.PacketSendFailed, n)
}
