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
	timeWait
	closed
)

const (
	segmentSize           = 1400  // bytes of data in one segment; leaves room for Geneve within 1,500 bytes
	receiveWindow         = 65535 // bytes; there is no window scaling
	congestionWindow      = 16 * segmentSize
	maxOutOfOrder         = 32 // segments buffered per connection until a gap is filled
	duplicateAckThreshold = 3  // duplicate acknowledgements that start a retransmission (RFC 5681, section 3.2)
)

// Conn is one connection. Its methods must be called from a callback or from Stack.Do.
type Conn struct {
	// Value holds data of the user of the connection; the stack does not use it.
	Value any

	stack   *Stack
	pair    socketPair
	handler Handler
	state   state

	sendUnacked    uint32 // oldest unacknowledged sequence number
	sendNext       uint32
	sendBuffer     []byte // unacknowledged and unsent bytes, from sendUnacked
	peerWindow     uint32
	closeRequested bool // Close was called; no more data is queued
	finSent        bool
	finAcked       bool
	duplicateAcks  int

	receiveNext uint32
	outOfOrder  []segment
	finReceived bool
	ackPending  bool

	timer          Timer
	rto            time.Duration
	firstTimeoutAt time.Duration // time of the first timeout of the oldest unacknowledged byte; 0 when none
}

type segment struct {
	seq  uint32
	data []byte
	fin  bool
}

// Local returns the local address.
func (c *Conn) Local() netip.AddrPort { return c.pair.local }

// Remote returns the address of the peer.
func (c *Conn) Remote() netip.AddrPort { return c.pair.remote }

// Open reports whether the handshake is complete and the connection has not ended.
func (c *Conn) Open() bool { return c.state == established }

// Unacknowledged returns the number of written bytes that the peer has not acknowledged.
func (c *Conn) Unacknowledged() int { return len(c.sendBuffer) }

// Write queues data for sending.
func (c *Conn) Write(data []byte) {
	if c.state == closed || c.closeRequested {
		return
	}
	c.sendBuffer = append(c.sendBuffer, data...)
	c.output()
}

// Close sends a FIN after the queued data.
func (c *Conn) Close() {
	if c.state == closed || c.closeRequested {
		return
	}
	c.closeRequested = true
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
	c.terminate(Aborted)
}

// Kill ends the connection with the reason, without sending anything.
func (c *Conn) Kill(reason Reason) { c.terminate(reason) }

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

// output sends queued data as far as the windows allow, and the FIN after all data.
func (c *Conn) output() {
	if c.state != established {
		return
	}
	window := min(c.peerWindow, congestionWindow)
	for !c.finSent {
		sent := c.sendNext - c.sendUnacked
		unsent := uint32(len(c.sendBuffer)) - sent
		if unsent == 0 || sent >= window {
			break
		}
		n := min(unsent, segmentSize, window-sent)
		c.transmit(wire.ACK|wire.PSH, c.sendNext, c.sendBuffer[sent:sent+n])
		c.sendNext += n
	}
	if c.closeRequested && !c.finSent && c.sendNext-c.sendUnacked == uint32(len(c.sendBuffer)) {
		c.finSent = true
		c.transmit(wire.FIN|wire.ACK, c.sendNext, nil)
		c.sendNext++
	}
	if c.sendNext != c.sendUnacked && c.timer.index == 0 {
		c.armRetransmission(initialRTO)
	}
}

func (c *Conn) armRetransmission(d time.Duration) {
	c.rto = d
	c.stack.timers.schedule(&c.timer, c.stack.now+d)
}

// handleTimer retransmits the oldest unacknowledged segment, or removes a connection at the end of TIME-WAIT.
func (c *Conn) handleTimer() {
	if c.state == timeWait {
		c.remove()
		return
	}
	now := c.stack.now
	if c.firstTimeoutAt == 0 {
		c.firstTimeoutAt = now
	}
	if now-c.firstTimeoutAt >= c.stack.config.UserTimeout || (c.state < established && now-c.firstTimeoutAt >= synTimeout) {
		c.terminate(TimedOut)
		return
	}
	c.retransmit()
	c.armRetransmission(min(2*c.rto, maxRTO))
}

// synTimeout bounds the wait for an answer to a SYN; five SYNs are sent in this time.
const synTimeout = 8 * time.Second

func (c *Conn) retransmit() {
	c.stack.counters.Retransmissions++
	switch c.state {
	case synSent:
		c.transmit(wire.SYN, c.sendUnacked, nil)
	case synReceived:
		c.transmit(wire.SYN|wire.ACK, c.sendUnacked, nil)
	case established:
		sent := c.sendNext - c.sendUnacked
		n := min(uint32(len(c.sendBuffer)), segmentSize, sent)
		if n > 0 {
			c.transmit(wire.ACK|wire.PSH, c.sendUnacked, c.sendBuffer[:n])
		} else if c.finSent && !c.finAcked {
			c.transmit(wire.FIN|wire.ACK, c.sendNext-1, nil)
		}
	}
}

// terminate removes the connection and reports its end, unless that was reported on entering TIME-WAIT.
func (c *Conn) terminate(reason Reason) {
	if c.state == closed {
		return
	}
	reported := c.state == timeWait
	c.remove()
	if !reported {
		c.handler.Closed(c, reason)
	}
}

func (c *Conn) remove() {
	c.state = closed
	c.stack.timers.stop(&c.timer)
	if c.stack.conns[c.pair] == c {
		delete(c.stack.conns, c.pair)
	}
	c.sendBuffer, c.outOfOrder = nil, nil
}
