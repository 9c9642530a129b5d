package minitcp

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

type state uint8

const (
	synSent state = iota
	synReceived
	established // also while one side has closed
	timeWaiting
	closed
)

const (
	segmentSize      = 1400  // bytes of data in one segment; leaves room for Geneve within 1,500 bytes
	receiveWindow    = 65535 // bytes; there is no window scaling
	congestionWindow = 16 * segmentSize
	outOfOrderLimit  = 32 // segments kept per connection until a gap closes
	duplicateAcks    = 3  // duplicate acknowledgements that start a retransmission (RFC 5681, section 3.2)
)

// Conn is one connection. Its methods must be called from a callback or from Stack.Do.
type Conn struct {
	// Value is for the user of the connection.
	Value any

	stack   *Stack
	pair    pair
	handler Handler
	state   state

	sendUnacked uint32 // oldest unacknowledged sequence number
	sendNext    uint32
	buffer      []byte // unacknowledged and unsent bytes, from sendUnacked
	peerWindow  uint32
	closing     bool // no more data will be written
	finSent     bool
	finAcked    bool
	dupAcks     int

	receiveNext uint32
	outOfOrder  []segment
	peerFin     bool
	ackPending  bool

	timer        Timer
	backoff      time.Duration
	firstTimeout time.Duration // time of the first timeout of the oldest unacknowledged byte; 0 when none
}

type segment struct {
	seq  uint32
	data []byte
	fin  bool
}

// Local returns the address of this side.
func (c *Conn) Local() netip.AddrPort { return c.pair.local }

// Remote returns the address of the other side.
func (c *Conn) Remote() netip.AddrPort { return c.pair.remote }

// Open reports whether the handshake is complete and the connection has not ended.
func (c *Conn) Open() bool { return c.state == established }

// Unacknowledged returns the number of written bytes that the other side has not acknowledged.
func (c *Conn) Unacknowledged() int { return len(c.buffer) }

// Write queues data for sending.
func (c *Conn) Write(data []byte) {
	if c.state == closed || c.closing {
		return
	}
	c.buffer = append(c.buffer, data...)
	c.output()
}

// Close sends a FIN after the queued data.
func (c *Conn) Close() {
	if c.state == closed || c.closing {
		return
	}
	c.closing = true
	c.output()
}

// Abort sends a reset and ends the connection.
func (c *Conn) Abort() {
	if c.state == closed {
		return
	}
	if c.state != synSent {
		c.transmit(wire.RST|wire.ACK, c.sendNext, nil)
	}
	c.end(Aborted)
}

// Kill ends the connection with the reason, without sending anything.
func (c *Conn) Kill(reason Reason) { c.end(reason) }

func (c *Conn) transmit(flags wire.Flags, seq uint32, payload []byte) {
	p := wire.Packet{
		Kind: wire.TCP, Src: c.pair.local, Dst: c.pair.remote,
		Flags: flags, Seq: seq, Window: receiveWindow, Payload: payload,
	}
	if flags.Has(wire.ACK) {
		p.Ack = c.receiveNext
		c.ackPending = false
	}
	c.stack.config.Send(&p)
}

// output sends what the windows allow.
func (c *Conn) output() {
	if c.state != established {
		return
	}
	window := min(c.peerWindow, congestionWindow)
	for !c.finSent {
		sent := c.sendNext - c.sendUnacked
		unsent := uint32(len(c.buffer)) - sent
		if unsent == 0 || sent >= window {
			break
		}
		n := min(unsent, segmentSize, window-sent)
		c.transmit(wire.ACK|wire.PSH, c.sendNext, c.buffer[sent:sent+n])
		c.sendNext += n
	}
	if c.closing && !c.finSent && c.sendNext-c.sendUnacked == uint32(len(c.buffer)) {
		c.finSent = true
		c.transmit(wire.FIN|wire.ACK, c.sendNext, nil)
		c.sendNext++
	}
	if c.sendNext != c.sendUnacked && c.timer.index == 0 {
		c.armRetransmission(firstTimeout)
	}
}

func (c *Conn) armRetransmission(d time.Duration) {
	c.backoff = d
	c.stack.timers.schedule(&c.timer, c.stack.now+d)
}

// timeout retransmits the oldest unacknowledged segment, or ends a connection in its final wait.
func (c *Conn) timeout() {
	if c.state == timeWaiting {
		c.remove()
		return
	}
	now := c.stack.now
	if c.firstTimeout == 0 {
		c.firstTimeout = now
	}
	if now-c.firstTimeout >= c.stack.config.UserTimeout || (c.state < established && now-c.firstTimeout >= synGiveUp) {
		c.end(TimedOut)
		return
	}
	c.retransmit()
	c.armRetransmission(min(2*c.backoff, largestTimeout))
}

// synGiveUp bounds the wait for an answer to a SYN; five SYNs are sent in this time.
const synGiveUp = 8 * time.Second

func (c *Conn) retransmit() {
	c.stack.counters.Retransmissions++
	switch c.state {
	case synSent:
		c.transmit(wire.SYN, c.sendUnacked, nil)
	case synReceived:
		c.transmit(wire.SYN|wire.ACK, c.sendUnacked, nil)
	case established:
		sent := c.sendNext - c.sendUnacked
		n := min(uint32(len(c.buffer)), segmentSize, sent)
		if n > 0 {
			c.transmit(wire.ACK|wire.PSH, c.sendUnacked, c.buffer[:n])
		} else if c.finSent && !c.finAcked {
			c.transmit(wire.FIN|wire.ACK, c.sendNext-1, nil)
		}
	}
}

// end ends the connection at once.
func (c *Conn) end(reason Reason) {
	if c.state == closed {
		return
	}
	final := c.state == timeWaiting
	c.remove()
	if !final {
		c.handler.Closed(c, reason)
	}
}

func (c *Conn) remove() {
	c.state = closed
	c.stack.timers.stop(&c.timer)
	if c.stack.conns[c.pair] == c {
		delete(c.stack.conns, c.pair)
	}
	c.buffer, c.outOfOrder = nil, nil
}
