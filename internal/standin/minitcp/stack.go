// Package minitcp is a small TCP endpoint over inner IP packets, for stand-ins that hold tens of thousands of
// connections. A stack starts no goroutines: it is passed packets and the time, and calls back with packets and events.
//
// It implements the parts of RFC 9293 that requests and long sessions need: the handshake, data in both directions,
// retransmission with backoff, FIN and RST. The congestion window is fixed, and there are no options.
package minitcp

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// Config configures a stack. Send is required.
type Config struct {
	// Send transmits a packet. The packet is valid only during the call.
	Send func(p *wire.Packet)
	// Accept decides whether a SYN is accepted. If it is nil, every SYN is answered with a reset.
	Accept func(syn *wire.Packet) (Handler, Verdict)
	// Unmatched is called for segments other than SYN and RST that belong to no connection. It may be nil.
	Unmatched func(p *wire.Packet)
	Random    *rand.Rand
	// UserTimeout is how long the same bytes are retransmitted before the connection ends as TimedOut. 0 means 30 s.
	UserTimeout time.Duration
}

// Verdict is the decision on a SYN.
type Verdict uint8

// Verdicts on a SYN.
const (
	Accepted Verdict = iota
	Rejected         // answer with a reset
	Ignored          // no answer
)

// Handler receives the events of one connection. Its methods run inside calls of the stack; they may call methods of
// the connection and of the stack's timers, but not Input, Advance or Do.
type Handler interface {
	Opened(c *Conn)
	// Received passes bytes in order. They are valid only during the call.
	Received(c *Conn, data []byte)
	// PeerClosed reports that the peer sends no more data.
	PeerClosed(c *Conn)
	// Closed reports the end of the connection, once.
	Closed(c *Conn, reason Reason)
}

// Reason tells why a connection ended.
type Reason uint8

// Reasons for the end of a connection.
const (
	Finished Reason = iota // both sides closed
	Reset                  // reset by the peer
	Refused                // reset in answer to the SYN
	TimedOut               // no answer to retransmissions
	Aborted                // reset by this side
)

var reasonNames = [...]string{"finished", "reset", "refused", "timed-out", "aborted"}

// String returns the lower-case name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Counters of a stack.
type Counters struct {
	Unmatched       uint64 // segments other than SYN and RST that belong to no connection
	Retransmissions uint64
	Resets          uint64 // received resets that ended a connection
}

type socketPair struct{ local, remote netip.AddrPort }

// Stack is a TCP endpoint. It is safe for concurrent use.
type Stack struct {
	mu       sync.Mutex
	config   Config
	conns    map[socketPair]*Conn
	timers   timerHeap
	now      time.Duration
	counters Counters
}

// Timeouts of retransmission (RTO) and of TIME-WAIT. The initial RTO of data is that of common kernels; the largest RTO is
// lower than theirs, so that a run of a few seconds shows whether a connection survives.
const (
	initialRTO         = 200 * time.Millisecond
	initialSYNRTO      = 500 * time.Millisecond
	maxRTO             = 3 * time.Second
	defaultUserTimeout = 30 * time.Second
	timeWaitDuration   = time.Second
)

// NewStack returns a stack without connections.
func NewStack(config Config) *Stack {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, 1))
	}
	if config.UserTimeout == 0 {
		config.UserTimeout = defaultUserTimeout
	}
	return &Stack{config: config, conns: make(map[socketPair]*Conn)}
}

// Do runs fn with the stack locked, so that fn may use connections and timers.
func (s *Stack) Do(now time.Duration, fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(now)
	fn()
}

// advanceTo sets the time and runs the timers that are due. Each timer sees its own due time, so that the total time of a
// chain of timers does not depend on how often Advance is called.
func (s *Stack) advanceTo(now time.Duration) {
	for t := s.timers.popDue(now); t != nil; t = s.timers.popDue(now) {
		s.now = max(s.now, t.dueAt)
		t.run()
	}
	s.now = max(s.now, now)
}

// Now returns the time of the current call. It is valid inside callbacks and Do.
func (s *Stack) Now() time.Duration { return s.now }

// After runs fn once after d, inside a later call of the stack. It must be called from a callback or Do.
func (s *Stack) After(d time.Duration, fn func()) *Timer {
	t := &Timer{run: fn}
	s.timers.schedule(t, s.now+d)
	return t
}

// Stop stops a timer. It must be called from a callback or Do.
func (s *Stack) Stop(t *Timer) {
	if t != nil {
		s.timers.stop(t)
	}
}

// Advance runs the timers that are due.
func (s *Stack) Advance(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(now)
}

// Dial opens a connection. It must be called from a callback or Do.
func (s *Stack) Dial(local, remote netip.AddrPort, h Handler) *Conn {
	c := s.newConn(socketPair{local, remote}, h)
	c.state = synSent
	c.transmit(wire.SYN, c.sendUnacked, nil)
	c.armRetransmission(initialSYNRTO)
	return c
}

func (s *Stack) newConn(p socketPair, h Handler) *Conn {
	c := &Conn{stack: s, pair: p, handler: h}
	c.timer.run = c.handleTimer
	c.sendUnacked = s.config.Random.Uint32()
	c.sendNext = c.sendUnacked + 1
	s.conns[p] = c
	return c
}

// Len returns the number of connections, including those in TIME-WAIT.
func (s *Stack) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Counters returns a copy of the counters.
func (s *Stack) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Input handles a received packet.
func (s *Stack) Input(now time.Duration, p *wire.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(now)
	if c := s.conns[socketPair{p.Dst, p.Src}]; c != nil {
		if c.state != timeWait || !p.Flags.Has(wire.SYN) {
			c.input(p)
			return
		}
		c.remove()
	}
	s.inputWithoutConn(p)
}

func (s *Stack) inputWithoutConn(p *wire.Packet) {
	switch {
	case p.Flags.Has(wire.RST):
		return
	case p.Flags.Has(wire.SYN) && !p.Flags.Has(wire.ACK):
		s.inputSYN(p)
	default:
		s.counters.Unmatched++
		if s.config.Unmatched != nil {
			s.config.Unmatched(p)
		}
		s.sendReset(p)
	}
}

func (s *Stack) inputSYN(p *wire.Packet) {
	verdict := Rejected
	var h Handler
	if s.config.Accept != nil {
		h, verdict = s.config.Accept(p)
	}
	switch verdict {
	case Accepted:
		c := s.newConn(socketPair{p.Dst, p.Src}, h)
		c.state = synReceived
		c.receiveNext = p.Seq + 1
		c.peerWindow = uint32(p.Window)
		c.transmit(wire.SYN|wire.ACK, c.sendUnacked, nil)
		c.armRetransmission(initialSYNRTO)
	case Rejected:
		s.sendReset(p)
	}
}

// sendReset answers a segment that belongs to no connection with a reset (RFC 9293, section 3.10.7.1).
func (s *Stack) sendReset(p *wire.Packet) {
	reset := wire.Packet{Kind: wire.TCP, Src: p.Dst, Dst: p.Src, Flags: wire.RST, Seq: p.Ack}
	if !p.Flags.Has(wire.ACK) {
		reset.Flags = wire.RST | wire.ACK
		reset.Seq, reset.Ack = 0, p.Seq+segmentLength(p)
	}
	s.config.Send(&reset)
}

// segmentLength returns the length of a segment in sequence numbers.
func segmentLength(p *wire.Packet) uint32 {
	n := uint32(len(p.Payload))
	if p.Flags.Has(wire.SYN) {
		n++
	}
	if p.Flags.Has(wire.FIN) {
		n++
	}
	return n
}

// Conn returns the connection between two addresses, or nil. It must be called from a callback or Do.
func (s *Stack) Conn(local, remote netip.AddrPort) *Conn { return s.conns[socketPair{local, remote}] }
