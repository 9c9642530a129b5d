package minitcp

import "github.com/marigoldwood/marigoldwood/internal/standin/wire"

// seqBefore reports whether sequence number a precedes b.
func seqBefore(a, b uint32) bool { return int32(a-b) < 0 }

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
			c.terminate(Refused)
		}
	case p.Flags.Has(wire.SYN) && acked:
		c.receiveNext = p.Seq + 1
		c.peerWindow = uint32(p.Window)
		c.sendUnacked = p.Ack
		c.ackPending = true
		c.establish()
		c.sendPendingAck()
	case p.Flags.Has(wire.ACK):
		c.stack.sendReset(p)
	}
}

func (c *Conn) establish() {
	c.state = established
	c.resetRetransmission()
	c.handler.Opened(c)
	c.output()
}

// resetRetransmission resets the retransmission state when the peer has acknowledged new data.
func (c *Conn) resetRetransmission() {
	c.firstTimeoutAt = 0
	c.duplicateAcks = 0
	if c.sendNext == c.sendUnacked {
		c.stack.timers.stop(&c.timer)
		return
	}
	c.armRetransmission(initialRTO)
}

// inputReset accepts only resets inside the receive window, so that a late reset of another connection is ignored.
func (c *Conn) inputReset(p *wire.Packet) {
	if p.Seq-c.receiveNext < receiveWindow {
		c.stack.counters.Resets++
		c.terminate(Reset)
	}
}

// inputRepeatedSYN answers a retransmitted SYN or SYN-ACK, whose first answer was lost.
func (c *Conn) inputRepeatedSYN(p *wire.Packet) {
	if c.state == synReceived && p.Seq+1 == c.receiveNext {
		c.transmit(wire.SYN|wire.ACK, c.sendUnacked, nil)
		return
	}
	c.transmit(wire.ACK, c.sendNext, nil)
}

func (c *Conn) inputEstablished(p *wire.Packet) {
	if seqBefore(c.sendNext, p.Ack) { // acknowledges data that was never sent
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
	c.enterTimeWaitIfDone()
}

func (c *Conn) sendPendingAck() {
	if c.ackPending && c.state != closed {
		c.transmit(wire.ACK, c.sendNext, nil)
	}
}

func (c *Conn) inputAck(p *wire.Packet) {
	acked := p.Ack - c.sendUnacked
	if seqBefore(p.Ack, c.sendUnacked) {
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
	c.sendBuffer = c.sendBuffer[min(acked, uint32(len(c.sendBuffer))):]
	if len(c.sendBuffer) == 0 {
		c.sendBuffer = nil
	}
	c.sendUnacked = p.Ack
	c.resetRetransmission()
}

func (c *Conn) inputDuplicateAck(p *wire.Packet) {
	if len(p.Payload) > 0 || c.sendNext == c.sendUnacked || p.Flags.Has(wire.FIN) {
		return
	}
	c.duplicateAcks++
	if c.duplicateAcks == duplicateAckThreshold {
		c.retransmit()
	}
}

// inputData delivers the data and FIN of a segment, and of buffered segments that follow it.
func (c *Conn) inputData(p *wire.Packet) {
	fin := p.Flags.Has(wire.FIN)
	if len(p.Payload) == 0 && !fin {
		return
	}
	c.ackPending = true
	if seqBefore(c.receiveNext, p.Seq) {
		if len(c.outOfOrder) < maxOutOfOrder && p.Seq-c.receiveNext < receiveWindow {
			c.outOfOrder = append(c.outOfOrder, segment{seq: p.Seq, data: append([]byte(nil), p.Payload...), fin: fin})
		}
		return
	}
	c.deliver(segment{seq: p.Seq, data: p.Payload, fin: fin})
	for delivered := true; delivered && c.state != closed; {
		delivered = c.deliverBuffered()
	}
}

// deliverBuffered delivers one buffered segment that is now in order, and reports whether there was one.
func (c *Conn) deliverBuffered() bool {
	for i, s := range c.outOfOrder {
		if !seqBefore(c.receiveNext, s.seq) {
			c.outOfOrder = append(c.outOfOrder[:i], c.outOfOrder[i+1:]...)
			c.deliver(s)
			return true
		}
	}
	return false
}

// deliver passes the new part of a segment to the handler. The segment must not start after receiveNext.
func (c *Conn) deliver(s segment) {
	if c.finReceived {
		return
	}
	received := c.receiveNext - s.seq
	if received > uint32(len(s.data)) {
		return
	}
	data := s.data[received:]
	c.receiveNext += uint32(len(data))
	if s.fin {
		c.finReceived = true
		c.receiveNext++
	}
	if len(data) > 0 {
		c.handler.Received(c, data)
	}
	if s.fin && c.state != closed {
		c.handler.PeerClosed(c)
	}
}

// enterTimeWaitIfDone enters TIME-WAIT and reports the end once both sides have closed. The connection keeps answering
// for a while, because its last acknowledgement can be lost.
func (c *Conn) enterTimeWaitIfDone() {
	if c.state != established || !c.finReceived || !c.finAcked {
		return
	}
	c.state = timeWait
	c.armRetransmission(timeWaitDuration)
	c.handler.Closed(c, Finished)
}
