package target

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
	"github.com/marigoldwood/marigoldwood/internal/standin/process"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// Node is one target. The lock of its stack guards all fields that change.
type Node struct {
	spec     Spec
	clock    process.Clock
	log      *logrus.Entry
	registry *Registry
	stack    *minitcp.Stack
	conn     *net.UDPConn
	fabric   netip.AddrPort
	encoder  *wire.Encoder
	decoder  wire.Decoder // used by the receiving goroutine alone
	random   *rand.Rand

	counters   Counters
	behaviour  Behaviour
	noticeAt   time.Duration // when the target began to leave; 0 when it does not
	coldAt     time.Duration
	silentFrom time.Duration // flows older than this are silent
	udp        map[netip.AddrPort]*udpFlow
	running    int
	queue      []*job
	active     []*job
	reports    []report
	conns      int
}

func newNode(spec Spec, o Options, clock process.Clock, registry *Registry, seed uint64, log *logrus.Entry) *Node {
	random := rand.New(rand.NewPCG(o.Seed, seed))
	n := &Node{
		spec: spec, clock: clock, registry: registry, fabric: o.Fabric.AddrPort, random: random, encoder: wire.NewEncoder(),
		log: log.WithField("target", spec.Address), udp: make(map[netip.AddrPort]*udpFlow),
	}
	n.stack = minitcp.NewStack(minitcp.Config{Send: n.send, Accept: n.accept, Unmatched: n.stray, Random: random})
	n.counters.Address, n.counters.Service = spec.Address.String(), spec.Service
	n.SetBehaviour(spec.Behaviour)
	return n
}

func (n *Node) listen(port uint16) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.spec.Address, port)))
	if err != nil {
		return err
	}
	n.conn = conn
	return conn.SetReadBuffer(socketBuffer)
}

// socketBuffer is the receive buffer of each target's socket in bytes.
const socketBuffer = 1 << 20

func (n *Node) receive() {
	buffer := make([]byte, wire.MaxPacket)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		n.handle(buffer[:size])
	}
}

// handle handles one packet in Geneve.
func (n *Node) handle(b []byte) {
	vni, inner, err := wire.DecodeGeneve(b)
	var p wire.Packet
	if err == nil {
		p, err = n.decoder.Decode(inner)
	}
	if n.check(vni, &p, err) {
		if p.Kind == wire.TCP {
			n.stack.Input(n.clock.Now(), &p)
		} else {
			n.do(func() { n.inputUDP(&p, inner) })
		}
	}
}

func (n *Node) do(fn func()) { n.stack.Do(n.clock.Now(), fn) }

// check counts a packet and reports whether it is to be handled.
func (n *Node) check(vni uint32, p *wire.Packet, err error) bool {
	ok := true
	n.do(func() {
		n.counters.Packets++
		switch {
		case err != nil:
			n.counters.Malformed++
			n.log.WithField("event", "malformed").Warn(err)
			ok = false
		case p.Kind != wire.TCP && p.Kind != wire.UDP:
			ok = false // an ICMP error about a packet of ours
		case vni != n.spec.VNI || (len(n.spec.Endpoints) > 0 && !slices.Contains(n.spec.Endpoints, p.Dst)):
			n.foreign(vni, p)
			ok = false
		case n.behaviour.Silent || n.silentFlow(p):
			ok = false
		}
	})
	return ok
}

func (n *Node) foreign(vni uint32, p *wire.Packet) {
	n.counters.Foreign++
	n.log.WithFields(logrus.Fields{"event": "foreign", "vni": vni, "from": p.Src, "to": p.Dst}).Error("foreign packet")
}

// silentFlow reports whether the packet belongs to a flow that is silent on demand.
func (n *Node) silentFlow(p *wire.Packet) bool {
	if !n.behaviour.SilentOld {
		return false
	}
	if p.Kind == wire.UDP {
		f := n.udp[p.Src]
		return f != nil && f.since <= n.silentFrom
	}
	c := n.stack.Conn(p.Dst, p.Src)
	if c == nil {
		return false
	}
	s, ok := c.Value.(*session)
	return ok && s.since <= n.silentFrom
}

// send transmits a packet to the fabric. The stack is locked.
func (n *Node) send(p *wire.Packet) {
	b, err := n.encoder.Encode(n.spec.VNI, p)
	if err == nil && !n.behaviour.Silent {
		_, _ = n.conn.WriteToUDPAddrPort(b, n.fabric)
	}
}

// prohibit refuses an inner packet by ICMP.
func (n *Node) prohibit(inner []byte) {
	if b, err := n.encoder.EncodeProhibited(n.spec.VNI, inner); err == nil {
		_, _ = n.conn.WriteToUDPAddrPort(b, n.fabric)
	}
}

// admit decides about a new flow and records it.
func (n *Node) admit(caller netip.AddrPort) bool {
	refused := true
	switch {
	case n.behaviour.Shed != "":
		n.counters.Shed++
	case n.spec.Connections > 0 && n.conns >= n.spec.Connections:
		n.counters.OverLimit++
	default:
		refused = false
		n.counters.NewFlows++
	}
	if n.noticeAt > 0 {
		age := (n.stack.Now() - n.noticeAt).Milliseconds()
		n.counters.LastNewFlowMS = max(1, age)
		if age > NewFlowGraceMS {
			n.counters.LateFlows++
			n.log.WithFields(logrus.Fields{"event": "late-flow", "from": caller, "age_ms": age}).Warn("new flow at a leaving target")
		}
	}
	n.registry.RecordFlow(FlowID{Caller: caller, Service: n.spec.Service}, n.spec.Address, refused)
	return !refused
}

// accept decides about a SYN. The stack is locked.
func (n *Node) accept(syn *wire.Packet) (minitcp.Handler, minitcp.Verdict) {
	if !n.admit(syn.Src) {
		return nil, minitcp.Rejected
	}
	n.conns++
	n.counters.MaxConns = max(n.counters.MaxConns, n.conns)
	return &session{node: n, since: n.stack.Now()}, minitcp.Accepted
}

// stray records a segment of a flow that this target does not know. The stack is locked.
func (n *Node) stray(p *wire.Packet) {
	n.registry.RecordUnmatched(FlowID{Caller: p.Src, Service: n.spec.Service}, n.spec.Address)
}

// SetBehaviour replaces the behaviour.
func (n *Node) SetBehaviour(b Behaviour) {
	n.do(func() {
		now := max(n.stack.Now(), 1)
		leaving := b.Drain || b.Leaving
		switch {
		case leaving && n.noticeAt == 0:
			n.noticeAt = now
			n.counters.LastNewFlowMS = 0
		case !leaving:
			n.noticeAt = 0
		}
		if b.ColdMS > 0 && n.behaviour.ColdMS == 0 {
			n.coldAt = now
		}
		if b.SilentOld && !n.behaviour.SilentOld {
			n.silentFrom = now
		}
		n.behaviour = b
	})
}

// Counters returns a copy of the counters.
func (n *Node) Counters() Counters {
	stack := n.stack.Counters()
	var c Counters
	n.do(func() {
		c = n.counters
		c.Connections, c.InFlight, c.Queue = n.conns, n.running, len(n.queue)
	})
	c.Strays, c.Resets, c.Retransmitted = stack.Unmatched, stack.Resets, stack.Retransmissions
	return c
}

// session is one TCP connection.
type session struct {
	node     *Node
	since    time.Duration
	splitter message.FrameSplitter
	feed     *minitcp.Timer
	pushed   uint32
	ended    bool
}

// Opened implements minitcp.Handler.
func (s *session) Opened(c *minitcp.Conn) { c.Value = s }

// Received implements minitcp.Handler.
func (s *session) Received(c *minitcp.Conn, data []byte) {
	s.splitter.Add(data)
	for {
		b, err := s.splitter.Next()
		if err != nil {
			s.node.counters.Malformed++
			c.Abort()
			return
		}
		if b == nil {
			return
		}
		s.request(c, b)
	}
}

func (s *session) request(c *minitcp.Conn, b []byte) {
	var r message.Request
	if message.Decode(b, &r) != nil {
		s.node.counters.Malformed++
		return
	}
	if r.Sequence == 1 {
		s.node.registry.RecordRequest(FlowID{Caller: c.Remote(), Service: s.node.spec.Service})
	}
	if r.PushIntervalMS > 0 && s.feed == nil {
		s.push(c, &r)
	}
	s.node.submit(&r, s, func(a *message.Response) {
		if s.ended {
			return
		}
		if frame, err := message.EncodeFrame(a); err == nil {
			c.Write(frame)
		}
	})
}

// push sends data of the feed at intervals.
func (s *session) push(c *minitcp.Conn, r *message.Request) {
	n, interval, size := s.node, time.Duration(r.PushIntervalMS)*time.Millisecond, int(r.ResponseBytes)
	s.feed = n.stack.After(interval, func() {
		if s.ended {
			return
		}
		s.pushed++
		a := message.Response{ID: r.ID, Sequence: s.pushed, Status: message.Push, Service: n.spec.Service, Target: n.counters.Address}
		a.FillBody(size)
		if frame, err := message.EncodeFrame(&a); err == nil {
			c.Write(frame)
		}
		s.push(c, r)
	})
}

// PeerClosed implements minitcp.Handler.
func (s *session) PeerClosed(c *minitcp.Conn) { c.Close() }

// Closed implements minitcp.Handler.
func (s *session) Closed(_ *minitcp.Conn, _ minitcp.Reason) {
	if s.ended {
		return
	}
	s.ended = true
	s.node.conns--
	s.node.stack.Stop(s.feed)
	s.node.cancelQueued(s)
}
