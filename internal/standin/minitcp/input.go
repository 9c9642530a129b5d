package minitcp

import "github.com/marigoldwood/marigoldwood/internal/standin/wire"

// before reports whether sequence number a comes before b.
func before(a, b uint32) bool { return int32(a-b) < 0 }

func (c *Conn) input(p *wire.Packet) {
	switch {
	case c.state == synSent:
		c.inputSYNSent(p)
	case p.Flags.Has(wire.RST):
		c.inputReset(p)
	case p.Flags.Has(wire.SYN):
		c.inputRepeatedSYN(p)
	case p.Flags.Has(wire.ACK):
		c.inputEstablished(p)
	}
}

func (c *Conn) inputSYNSent(p *wire.Packet) {
	acked := p.Flags.Has(wire.ACK) && p.Ack == c.sendNext
	switch {
	case p.Flags.Has(wire.RST):
		if acked {
			c.stack.counters.Resets++
			c.end(Refused)
		}
	case p.Flags.Has(wire.SYN) && acked:
		c.receiveNext = p.Seq + 1
		c.peerWindow = uint32(p.Window)
		c.sendUnacked = p.Ack
		c.ackPending = true
		c.establish()
		c.sendPendingAck()
	case p.Flags.Has(wire.ACK):
		c.stack.reject(p)
	}
}

func (c *Conn) establish() {
	c.state = established
	c.progress()
	c.handler.Opened(c)
	c.output()
}

// progress notes that the other side acknowledged something new.
func (c *Conn) progress() {
	c.firstTimeout = 0
	c.dupAcks = 0
	if c.sendNext == c.sendUnacked {
		c.stack.timers.stop(&c.timer)
		return
	}
	c.armRetransmission(firstTimeout)
}

// inputReset accepts only resets inside the receive window, so that a late reset of another connection is ignored.
func (c *Conn) inputReset(p *wire.Packet) {
	if p.Seq-c.receiveNext < receiveWindow {
		c.stack.counters.Resets++
		c.end(Reset)
	}
}

// inputRepeatedSYN answers a repeated SYN or SYN-ACK, whose answer was lost.
func (c *Conn) inputRepeatedSYN(p *wire.Packet) {
	if c.state == synReceived && p.Seq+1 == c.receiveNext {
		c.transmit(wire.SYN|wire.ACK, c.sendUnacked, nil)
		return
	}
	c.transmit(wire.ACK, c.sendNext, nil)
}

func (c *Conn) inputEstablished(p *wire.Packet) {
	if before(c.sendNext, p.Ack) { // acknowledges what was never sent
		c.transmit(wire.ACK, c.sendNext, nil)
		return
	}
	c.peerWindow = uint32(p.Window)
	if c.state == synReceived {
		if p.Ack != c.sendNext {
			return
		}
		c.sendUnacked = p.Ack
		c.establish()
	} else {
		c.inputAck(p)
	}
	if c.state == closed {
		return
	}
	c.inputData(p)
	if c.state == closed {
		return
	}
	c.output()
	c.sendPendingAck()
	c.finishIfDone()
}

func (c *Conn) sendPendingAck() {
	if c.ackPending && c.state != closed {
		c.transmit(wire.ACK, c.sendNext, nil)
	}
}

func (c *Conn) inputAck(p *wire.Packet) {
	acked := p.Ack - c.sendUnacked
	if before(p.Ack, c.sendUnacked) {
		return
	}
	if acked == 0 {
		c.inputDuplicateAck(p)
		return
	}
	if c.finSent && p.Ack == c.sendNext {
		c.finAcked = true
		acked--
	}
	c.buffer = c.buffer[min(acked, uint32(len(c.buffer))):]
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
	c.sendUnacked = p.Ack
	c.progress()
}

func (c *Conn) inputDuplicateAck(p *wire.Packet) {
	if len(p.Payload) > 0 || c.sendNext == c.sendUnacked || p.Flags.Has(wire.FIN) {
		return
	}
	c.dupAcks++
	if c.dupAcks == duplicateAcks {
		c.retransmit()
	}
}

// inputData takes the data and FIN of a segment, and of kept segments that follow it.
func (c *Conn) inputData(p *wire.Packet) {
	fin := p.Flags.Has(wire.FIN)
	if len(p.Payload) == 0 && !fin {
		return
	}
	c.ackPending = true
	if before(c.receiveNext, p.Seq) {
		if len(c.outOfOrder) < outOfOrderLimit && p.Seq-c.receiveNext < receiveWindow {
			c.outOfOrder = append(c.outOfOrder, segment{seq: p.Seq, data: append([]byte(nil), p.Payload...), fin: fin})
		}
		return
	}
	c.take(segment{seq: p.Seq, data: p.Payload, fin: fin})
	for taken := true; taken && c.state != closed; {
		taken = c.takeKept()
	}
}

// takeKept takes one kept segment that is now in order.
func (c *Conn) takeKept() bool {
	for i, s := range c.outOfOrder {
		if !before(c.receiveNext, s.seq) {
			c.outOfOrder = append(c.outOfOrder[:i], c.outOfOrder[i+1:]...)
			c.take(s)
			return true
		}
	}
	return false
}

// take passes the new part of a segment that does not start after receiveNext.
func (c *Conn) take(s segment) {
	if c.peerFin {
		return
	}
	old := c.receiveNext - s.seq
	if old > uint32(len(s.data)) {
		return
	}
	data := s.data[old:]
	c.receiveNext += uint32(len(data))
	if s.fin {
		c.peerFin = true
		c.receiveNext++
	}
	if len(data) > 0 {
		c.handler.Received(c, data)
	}
	if s.fin && c.state != closed {
		c.handler.PeerClosed(c)
	}
}

// finishIfDone ends the connection once both sides have closed. The side that closed first keeps answering for a
// while, because its last acknowledgement can be lost.
func (c *Conn) finishIfDone() {
	if c.state != established || !c.peerFin || !c.finAcked {
		return
	}
	c.state = timeWaiting
	c.armRetransmission(timeWait)
	c.handler.Closed(c, Finished)
}
