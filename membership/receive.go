package membership

import (
	"net/netip"
	"slices"
)

func (c *Core) receive(from netip.AddrPort, msg *Message) {
	id := msg.Sender.ID()
	if !msg.Sender.valid() || id == c.self.ID || len(msg.Updates) > MaxUpdates {
		return
	}
	if c.cfg.Clock != nil {
		c.cfg.Clock.Observe(msg.Status.Stamp)
	}
	c.handleUpdatesAboutSelf(msg.Updates)
	if msg.Sender.DataCentre != c.self.DataCentre {
		c.receiveRemote(from, msg)
		return
	}
	if known := c.members[id]; known != nil && stale(known, &msg.Sender) {
		// The reply tells the sender what is known of it, so that it can raise its incarnation. An ack gets no reply, because
		// two members that reject each other would otherwise reply endlessly.
		if msg.Kind != Ack {
			c.emit(Send{To: from, Message: c.message(Ack, msg.Sequence, known)})
		}
		return
	}
	c.lastHeard = c.now
	c.merge(&msg.Sender, nil)
	m := c.members[id]
	if m == nil {
		return
	}
	c.applyStatus(m, &msg.Status, true)
	for i := range msg.Updates {
		c.merge(&msg.Updates[i], m)
	}
	c.replyTo(from, msg, m)
	c.compareViews(m, msg)
}

// stale reports whether a message is from an earlier incarnation of its sender, or from one that was declared gone.
func stale(known *member, u *Update) bool {
	return u.Incarnation < known.Incarnation ||
		u.Incarnation == known.Incarnation && known.announced == Gone && u.State != Gone
}

func (c *Core) replyTo(from netip.AddrPort, msg *Message, m *member) {
	switch msg.Kind {
	case Ping:
		ack := c.message(Ack, msg.Sequence, m)
		if msg.Sync {
			c.fillSyncAck(&ack, m, msg.Cursor)
		}
		c.emit(Send{To: from, Message: ack})
	case PingReq:
		c.relayPing(from, msg)
	case Ack:
		target := m.ID
		if msg.Target != 0 {
			target = msg.Target
		}
		c.handleAck(msg.Sequence, target)
		c.handleSyncAck(m, msg)
	}
}

func (c *Core) applyStatus(m *member, s *Status, local bool) {
	m.LastHeard = c.now
	m.BundleInForce, m.InForceDigest = s.InForce.Version, s.InForce.Digest
	m.BundleStaged, m.StagedDigest = s.Staged.Version, s.Staged.Digest
	m.LastPlatformRead = -1
	if s.PlatformAge >= 0 {
		m.LastPlatformRead = max(0, c.now-s.PlatformAge)
	}
	c.emit(StatusReceived{Member: m.ID, Local: local, Status: *s})
}

// handleUpdatesAboutSelf refutes suspicions and declarations of this member as gone by raising its incarnation. It reads
// every authenticated message, also from members that are gone in the local view: after a partition, both sides reject
// each other until each has raised its incarnation.
func (c *Core) handleUpdatesAboutSelf(updates []Update) {
	for i := range updates {
		u := &updates[i]
		if u.ID() != c.self.ID || u.Incarnation < c.self.Incarnation || c.self.announced == Gone {
			continue
		}
		newer := u.Incarnation > c.self.Incarnation
		if !newer && !u.Suspected && u.State <= c.self.announced {
			continue
		}
		c.self.Incarnation, c.digest = u.Incarnation+1, 0
		if u.State == Gone {
			c.rejoin()
		}
		c.queueUpdate(c.self.ID)
		c.lastChange = c.now
	}
}

// merge applies an update about a member. reporter is the sender of the message, or nil when a member reports on itself.
func (c *Core) merge(u *Update, reporter *member) {
	id := u.ID()
	if !u.valid() || id == c.self.ID || u.DataCentre != c.self.DataCentre {
		return
	}
	m := c.members[id]
	if m == nil {
		c.add(u)
		return
	}
	previous, incarnation := m.State, m.Incarnation
	switch {
	case u.Incarnation > m.Incarnation:
		c.applyHigherIncarnation(m, u)
	case u.Incarnation < m.Incarnation || m.announced == Gone:
		return
	case u.State == Gone && reporter != nil && c.needsVerification(m, reporter):
		if !m.verifying {
			c.verifyGone(m)
		}
	case u.State > m.announced:
		c.advance(m, u.State)
		c.queueUpdate(id)
	}
	if u.Suspected && (!m.suspected || m.verifying) && m.announced != Gone && u.Incarnation == m.Incarnation {
		c.setSuspected(m)
	}
	if m.State != previous || m.Incarnation != incarnation {
		c.reportChange(m, previous, false)
	}
}

// needsVerification reports whether reporter's update that m is gone may be wrong. After a partition each side has declared
// the other gone, and an isolated member all others. Applying such updates would remove members of the local side.
func (c *Core) needsVerification(m, reporter *member) bool {
	if m.announced >= Leaving || m.suspected && !m.verifying {
		return false
	}
	return m.verifying || c.now-m.LastHeard < 2*ProbeInterval || reporter.rejoined && c.now-reporter.rejoinedAt < flapWindow
}

func (c *Core) add(u *Update) {
	if u.State == Gone {
		return
	}
	m := &member{Member: u.member()}
	c.members[m.ID], c.digest = m, 0
	position := c.orderIndex
	if n := len(c.probeOrder) - c.orderIndex; n > 0 {
		position += c.rng.IntN(n + 1)
	}
	c.probeOrder = slices.Insert(c.probeOrder, position, m.ID)
	c.advance(m, u.State)
	if u.Suspected {
		c.setSuspected(m)
	}
	c.queueUpdate(m.ID)
	c.reportChange(m, Joining, true)
}

// applyHigherIncarnation applies an update with a higher incarnation: a restart when it announces an earlier state, otherwise
// a refutation.
func (c *Core) applyHigherIncarnation(m *member, u *Update) {
	updated := u.member()
	m.Data, m.Probe, m.Peer, m.Incarnation = updated.Data, updated.Probe, updated.Peer, u.Incarnation
	m.suspected, m.verifying = false, false
	c.digest = 0
	if m.announced == Gone {
		m.rejoined, m.rejoinedAt = true, c.now
		c.probeOrder = append(c.probeOrder, m.ID)
	}
	switch {
	case u.State < m.announced:
		c.transition(m, "restart")
		m.announced = Joining
	case m.State == Suspect:
		c.transition(m, "refute")
	}
	c.advance(m, u.State)
	c.queueUpdate(m.ID)
}

// advance moves a member forward to an announced state. An earlier state is ignored.
func (c *Core) advance(m *member, to State) {
	if to <= m.announced {
		return
	}
	m.announced, c.digest = to, 0
	switch to {
	case Warm:
		c.transition(m, "warm")
	case Serving:
		c.transition(m, "serve")
	case Leaving:
		c.transition(m, "leave")
	case Gone:
		m.suspected, m.verifying, m.goneAt = false, false, c.now
		c.transition(m, "expire")
	}
}
