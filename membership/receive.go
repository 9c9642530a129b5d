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
	c.readOwnUpdates(msg.Updates)
	if msg.Sender.DataCentre != c.self.DataCentre {
		c.receiveRemote(from, msg)
		return
	}
	if known := c.members[id]; known != nil && stale(known, &msg.Sender) {
		// The reply tells the sender what is known of it, so that it can raise its incarnation. Acks get no reply: two
		// members that refuse each other would answer for ever.
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
	c.readStatus(m, &msg.Status, true)
	for i := range msg.Updates {
		c.merge(&msg.Updates[i], m)
	}
	c.answer(from, msg, m)
	c.compareViews(m, msg)
}

// stale reports that a message is from an earlier incarnation of its sender, or from one that was declared gone.
func stale(known *member, u *Update) bool {
	return u.Incarnation < known.Incarnation ||
		u.Incarnation == known.Incarnation && known.announced == Gone && u.State != Gone
}

func (c *Core) answer(from netip.AddrPort, msg *Message, m *member) {
	switch msg.Kind {
	case Ping:
		ack := c.message(Ack, msg.Sequence, m)
		if msg.Sync {
			c.fillSync(&ack, m, msg.Cursor)
		}
		c.emit(Send{To: from, Message: ack})
	case PingReq:
		c.relayPing(from, msg)
	case Ack:
		target := m.ID
		if msg.Target != 0 {
			target = msg.Target
		}
		c.acked(msg.Sequence, target)
		c.continueSync(m, msg)
	}
}

func (c *Core) readStatus(m *member, s *Status, local bool) {
	m.LastHeard = c.now
	m.BundleInForce, m.InForceDigest = s.InForce.Version, s.InForce.Digest
	m.BundleStaged, m.StagedDigest = s.Staged.Version, s.Staged.Digest
	m.LastPlatformRead = -1
	if s.PlatformAge >= 0 {
		m.LastPlatformRead = max(0, c.now-s.PlatformAge)
	}
	c.emit(StatusReceived{Member: m.ID, Local: local, Status: *s})
}

// readOwnUpdates looks for what others say of this member. It is done for every authenticated message, also those of
// members that are themselves taken for gone: after a partition both sides refuse each other until each has raised
// its incarnation.
func (c *Core) readOwnUpdates(updates []Update) {
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
		c.spread(c.self.ID)
		c.lastChange = c.now
	}
}

// merge applies what a message of the member by says about a member. by is nil when a member speaks of itself.
func (c *Core) merge(u *Update, by *member) {
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
		c.replace(m, u)
	case u.Incarnation < m.Incarnation || m.announced == Gone:
		return
	case u.State == Gone && by != nil && c.doubts(m, by):
		if !m.contested {
			c.contest(m)
		}
	case u.State > m.announced:
		c.advance(m, u.State)
		c.spread(id)
	}
	if u.Suspected && (!m.suspected || m.contested) && m.announced != Gone && u.Incarnation == m.Incarnation {
		c.setSuspected(m)
	}
	if m.State != previous || m.Incarnation != incarnation {
		c.changed(m, previous, false)
	}
}

// doubts reports whether the word of by that m is gone may be wrong. After a partition each side has declared the other
// gone, and a member that was cut off all others; to believe it would remove the members of the own side.
func (c *Core) doubts(m, by *member) bool {
	if m.announced >= Leaving || m.suspected && !m.contested {
		return false
	}
	return m.contested || c.now-m.LastHeard < 2*ProbeInterval || by.returned && c.now-by.returnedAt < flapWindow
}

func (c *Core) add(u *Update) {
	if u.State == Gone {
		return
	}
	m := &member{Member: u.member()}
	c.members[m.ID], c.digest = m, 0
	at := c.next
	if n := len(c.order) - c.next; n > 0 {
		at += c.rng.IntN(n + 1)
	}
	c.order = slices.Insert(c.order, at, m.ID)
	c.advance(m, u.State)
	if u.Suspected {
		c.setSuspected(m)
	}
	c.spread(m.ID)
	c.changed(m, Joining, true)
}

// replace takes over a higher incarnation: a refutation when the announced state has not gone back, otherwise a
// restart.
func (c *Core) replace(m *member, u *Update) {
	fresh := u.member()
	m.Data, m.Probe, m.Peer, m.Incarnation = fresh.Data, fresh.Probe, fresh.Peer, u.Incarnation
	m.suspected, m.contested = false, false
	c.digest = 0
	if m.announced == Gone {
		m.returned, m.returnedAt = true, c.now
		c.order = append(c.order, m.ID)
	}
	switch {
	case u.State < m.announced:
		c.transition(m, "restart")
		m.announced = Joining
	case m.State == Suspect:
		c.transition(m, "refute")
	}
	c.advance(m, u.State)
	c.spread(m.ID)
}

// advance moves a member forward to the state that it announces.
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
		m.suspected, m.contested, m.goneAt = false, false, c.now
		c.transition(m, "expire")
	}
}
