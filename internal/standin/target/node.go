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

// Node is one target. The lock of its stack guards all mutable fields.
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

	counters     Counters
	behaviour    Behaviour
	leavingSince time.Duration // when the target began to leave; 0 if it is not leaving
	coldSince    time.Duration // start of the cold phase
	silentSince  time.Duration // start of SilentOld; flows opened until then are silent
	udpFlows     map[netip.AddrPort]*udpFlow
	running      int // number of running requests
	queue        []*job
	runningJobs  []*job // running requests that have a timer, for cancellation
	reports      []report
	openConns    int
}

func newNode(spec Spec, o Options, clock process.Clock, registry *Registry, seed uint64, log *logrus.Entry) *Node {
	random := rand.New(rand.NewPCG(o.Seed, seed))
	n := &Node{
		spec: spec, clock: clock, registry: registry, fabric: o.Fabric.AddrPort, random: random, encoder: wire.NewEncoder(),
		log: log.WithField("target", spec.Address), udpFlows: make(map[netip.AddrPort]*udpFlow),
	}
	n.stack = minitcp.NewStack(minitcp.Config{Send: n.send, Accept: n.accept, Unmatched: n.recordUnmatched, Random: random})
	n.counters.Address, n.counters.Service = spec.Address.String(), spec.Service
	n.SetBehaviour(spec.Behaviour)
	return n
}

func (n *Node) openSocket(port uint16) error {
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

// handle processes one Geneve packet.
func (n *Node) handle(b []byte) {
	vni, inner, err := wire.DecodeGeneve(b)
	var p wire.Packet
	if err == nil {
		p, err = n.decoder.Decode(inner)
	}
	if n.filter(vni, &p, err) {
		if p.Kind == wire.TCP {
			n.stack.Input(n.clock.Now(), &p)
		} else {
			n.withLock(func() { n.handleUDP(&p, inner) })
		}
	}
}

func (n *Node) withLock(fn func()) { n.stack.Do(n.clock.Now(), fn) }

// filter counts a packet and reports whether it is to be processed.
func (n *Node) filter(vni uint32, p *wire.Packet, err error) bool {
	ok := true
	n.withLock(func() {
		n.counters.Packets++
		switch {
		case err != nil:
			n.counters.Malformed++
			n.log.WithField("event", "malformed").Warn(err)
			ok = false
		case p.Kind != wire.TCP && p.Kind != wire.UDP:
			ok = false // an ICMP error about a packet of this target
		case vni != n.spec.VNI || (len(n.spec.Endpoints) > 0 && !slices.Contains(n.spec.Endpoints, p.Dst)):
			n.recordForeign(vni, p)
			ok = false
		case n.behaviour.Silent || n.inSilentFlow(p):
			ok = false
		}
	})
	return ok
}

func (n *Node) recordForeign(vni uint32, p *wire.Packet) {
	n.counters.Foreign++
	n.log.WithFields(logrus.Fields{"event": "foreign", "vni": vni, "from": p.Src, "to": p.Dst}).Error("wrong VNI or endpoint")
}

// inSilentFlow reports whether the packet belongs to a flow that is silent because of SilentOld.
func (n *Node) inSilentFlow(p *wire.Packet) bool {
	if !n.behaviour.SilentOld {
		return false
	}
	if p.Kind == wire.UDP {
		f := n.udpFlows[p.Src]
		return f != nil && f.openedAt <= n.silentSince
	}
	c := n.stack.Conn(p.Dst, p.Src)
	if c == nil {
		return false
	}
	s, ok := c.Value.(*session)
	return ok && s.openedAt <= n.silentSince
}

// send sends a packet to the fabric. The stack must be locked.
func (n *Node) send(p *wire.Packet) {
	b, err := n.encoder.Encode(n.spec.VNI, p)
	if err == nil && !n.behaviour.Silent {
		_, _ = n.conn.WriteToUDPAddrPort(b, n.fabric)
	}
}

// sendProhibited refuses an inner packet with an ICMP error.
func (n *Node) sendProhibited(inner []byte) {
	if b, err := n.encoder.EncodeProhibited(n.spec.VNI, inner); err == nil {
		_, _ = n.conn.WriteToUDPAddrPort(b, n.fabric)
	}
}

// admit decides whether to accept a new flow, and records the decision.
func (n *Node) admit(caller netip.AddrPort) bool {
	refused := true
	switch {
	case n.behaviour.Shed != "":
		n.counters.Shed++
	case n.spec.Connections > 0 && n.openConns >= n.spec.Connections:
		n.counters.OverLimit++
	default:
		refused = false
		n.counters.NewFlows++
	}
	if n.leavingSince > 0 {
		age := (n.stack.Now() - n.leavingSince).Milliseconds()
		n.counters.LastNewFlowMS = max(1, age)
		if age > NewFlowGraceMS {
			n.counters.LateFlows++
			n.log.WithFields(logrus.Fields{"event": "late-flow", "from": caller, "age_ms": age}).Warn("late new flow at a leaving target")
		}
	}
	n.registry.RecordFlow(FlowID{Caller: caller, Service: n.spec.Service}, n.spec.Address, refused)
	return !refused
}

// accept implements minitcp.Config.Accept. The stack must be locked.
func (n *Node) accept(syn *wire.Packet) (minitcp.Handler, minitcp.Verdict) {
	if !n.admit(syn.Src) {
		return nil, minitcp.Rejected
	}
	n.openConns++
	n.counters.MaxConns = max(n.counters.MaxConns, n.openConns)
	return &session{node: n, openedAt: n.stack.Now()}, minitcp.Accepted
}

// recordUnmatched records a segment of a flow that this target does not know. The stack must be locked.
func (n *Node) recordUnmatched(p *wire.Packet) {
	n.registry.RecordUnmatched(FlowID{Caller: p.Src, Service: n.spec.Service}, n.spec.Address)
}

// SetBehaviour replaces the behaviour and records when a leaving, cold or silent phase begins.
func (n *Node) SetBehaviour(b Behaviour) {
	n.withLock(func() {
		now := max(n.stack.Now(), 1)
		leaving := b.Drain || b.Leaving
		switch {
		case leaving && n.leavingSince == 0:
			n.leavingSince = now
			n.counters.LastNewFlowMS = 0
		case !leaving:
			n.leavingSince = 0
		}
		if b.ColdMS > 0 && n.behaviour.ColdMS == 0 {
			n.coldSince = now
		}
		if b.SilentOld && !n.behaviour.SilentOld {
			n.silentSince = now
		}
		n.behaviour = b
	})
}

// Counters returns a copy of the counters.
func (n *Node) Counters() Counters {
	stack := n.stack.Counters()
	var c Counters
	n.withLock(func() {
		c = n.counters
		c.Connections, c.InFlight, c.Queue = n.openConns, n.running, len(n.queue)
	})
	c.Strays, c.Resets, c.Retransmitted = stack.Unmatched, stack.Resets, stack.Retransmissions
	return c
}

// session is one TCP connection.
type session struct {
	node         *Node
	openedAt     time.Duration
	splitter     message.FrameSplitter
	pushTimer    *minitcp.Timer
	pushSequence uint32
	closed       bool
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
		s.handleRequest(c, b)
	}
}

func (s *session) handleRequest(c *minitcp.Conn, b []byte) {
	var r message.Request
	if message.Decode(b, &r) != nil {
		s.node.counters.Malformed++
		return
	}
	if r.Sequence == 1 {
		s.node.registry.RecordRequest(FlowID{Caller: c.Remote(), Service: s.node.spec.Service})
	}
	if r.PushIntervalMS > 0 && s.pushTimer == nil {
		s.schedulePush(c, &r)
	}
	s.node.submit(&r, s, func(response *message.Response) {
		if s.closed {
			return
		}
		if frame, err := message.EncodeFrame(response); err == nil {
			c.Write(frame)
		}
	})
}

// schedulePush sends a push after the interval that the request asks for, and repeats that until the session closes.
func (s *session) schedulePush(c *minitcp.Conn, r *message.Request) {
	n, interval, size := s.node, time.Duration(r.PushIntervalMS)*time.Millisecond, int(r.ResponseBytes)
	s.pushTimer = n.stack.After(interval, func() {
		if s.closed {
			return
		}
		s.pushSequence++
		response := message.Response{
			ID: r.ID, Sequence: s.pushSequence, Status: message.Push, Service: n.spec.Service, Target: n.counters.Address,
		}
		response.FillBody(size)
		if frame, err := message.EncodeFrame(&response); err == nil {
			c.Write(frame)
		}
		s.schedulePush(c, r)
	})
}

// PeerClosed implements minitcp.Handler.
func (s *session) PeerClosed(c *minitcp.Conn) { c.Close() }

// Closed implements minitcp.Handler.
func (s *session) Closed(_ *minitcp.Conn, _ minitcp.Reason) {
	if s.closed {
		return
	}
	s.closed = true
	s.node.openConns--
	s.node.stack.Stop(s.pushTimer)
	s.node.cancelQueued(s)
}
