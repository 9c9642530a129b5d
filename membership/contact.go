package membership

import (
	"net/netip"
	"slices"
)

func (c *Core) setCandidates(list []Candidate) {
	c.candidates = slices.Clone(list)
	for _, h := range list {
		if !h.Leaving {
			continue
		}
		id := NewHostID(h.Name)
		if m := c.members[id]; id == c.self.ID || m != nil && m.announced < Leaving {
			c.emit(MemberListedLeaving{Member: id})
		}
	}
}

// pingAbsentHost pings one host that is not a live member: a seed, a listed host or a member that is gone. Members join
// through these pings, and the two sides of a partition rediscover each other by them.
func (c *Core) pingAbsentHost() {
	absent := c.absentAddresses()
	if c.hasNoLivePeer() {
		c.nextContact = c.now + ProbeInterval
	}
	if len(absent) == 0 || c.self.announced >= Leaving {
		return
	}
	c.contactIndex++
	to := absent[c.contactIndex%len(absent)]
	c.sequence++
	msg := c.message(Ping, c.sequence, c.goneMemberAt(to))
	msg.Sync = c.hasNoLivePeer()
	c.emit(Send{To: to, Message: msg})
}

func (c *Core) hasNoLivePeer() bool {
	return !slices.ContainsFunc(c.probeOrder, func(id HostID) bool { return c.members[id].announced != Gone })
}

func (c *Core) goneMemberAt(at netip.AddrPort) *member {
	for _, m := range c.members {
		if m.Probe == at && m.announced == Gone {
			return m
		}
	}
	return nil
}

func (c *Core) absentAddresses() []netip.AddrPort {
	present := map[netip.AddrPort]bool{c.self.Probe: true}
	var all []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && !present[a] {
			present[a] = true
			all = append(all, a)
		}
	}
	for _, known := range []map[HostID]*member{c.members, c.remote} {
		for _, m := range known {
			if m.announced != Gone {
				present[m.Probe] = true
			}
		}
	}
	for _, a := range c.cfg.Seeds {
		add(a)
	}
	for _, h := range c.candidates {
		if !h.Leaving {
			add(h.Probe)
		}
	}
	for _, id := range c.sortedMembers() {
		add(c.members[id].Probe)
	}
	return all
}

// maxRemoteMissedProbes is the number of unanswered probes in a row after which a member of another data centre is
// declared gone here. Only the choice of peers to request bundles from depends on it.
const maxRemoteMissedProbes = 2

func (c *Core) probeRemoteMember() {
	var live []HostID
	for id, m := range c.remote {
		if m.announced != Gone {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return
	}
	slices.Sort(live)
	m := c.remote[live[c.rng.IntN(len(live))]]
	c.sequence++
	c.probes = append(c.probes, &probe{
		sequence: c.sequence, target: m.ID, sent: c.now, deadline: c.now + contactInterval/2, remote: true,
	})
	c.sendPing(m, c.sequence)
}

func (c *Core) remoteProbeFailed(id HostID) {
	m := c.remote[id]
	if m == nil || m.announced == Gone {
		return
	}
	if m.missedProbes++; m.missedProbes < maxRemoteMissedProbes {
		return
	}
	previous := m.State
	c.advance(m, Gone)
	c.reportChange(m, previous, false)
}

// receiveRemote handles a message from a member of another data centre. Such members are known only from their own
// messages and are not gossiped about, so that their number does not add to the cost of probing.
func (c *Core) receiveRemote(from netip.AddrPort, msg *Message) {
	u := &msg.Sender
	m := c.remote[u.ID()]
	if m == nil {
		if u.State == Gone || len(c.remote) >= maxRemoteMembers {
			return
		}
		m = &member{Member: u.member()}
		c.remote[m.ID] = m
		c.advance(m, u.State)
		c.reportChange(m, Joining, true)
	}
	if u.Incarnation < m.Incarnation {
		return
	}
	previous := m.State
	if u.Incarnation > m.Incarnation || m.announced == Gone && m.missedProbes >= maxRemoteMissedProbes {
		updated := u.member()
		m.Data, m.Probe, m.Peer, m.Incarnation = updated.Data, updated.Probe, updated.Peer, u.Incarnation
		c.transition(m, "restart")
		m.announced = Joining
	}
	m.missedProbes = 0
	c.advance(m, u.State)
	if m.State != previous {
		c.reportChange(m, previous, false)
	}
	c.applyStatus(m, &msg.Status, false)
	switch msg.Kind {
	case Ping:
		c.emit(Send{To: from, Message: c.message(Ack, msg.Sequence, m)})
	case Ack:
		c.handleAck(msg.Sequence, m.ID)
	}
}
