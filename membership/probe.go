package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// probe is a ping that awaits its ack.
type probe struct {
	sequence uint64
	target   HostID
	sent     time.Duration
	deadline time.Duration
	indirect bool // the indirect pings were sent
	remote   bool // to a member of another data centre, without indirect pings
}

// relay is an indirect ping that this member sends on behalf of another.
type relay struct {
	origin   netip.AddrPort
	sequence uint64
	target   HostID
	expires  time.Duration
}

// A member that another one reported gone is declared gone here too after maxVerificationPings unanswered pings. Because
// many members are verified at once after a partition, verificationTimeout bounds the wait for these pings.
const (
	maxVerificationPings = 4
	verificationTimeout  = 30 * time.Second
)

// maxSuspectPings bounds the extra pings per probe interval while many members are suspected, as after a partition. Other
// members ping the rest.
const maxSuspectPings = 2

// maxRelays bounds the indirect pings in flight on behalf of other members.
const maxRelays = 64

func (c *Core) probeNext() {
	for range len(c.probeOrder) + 1 {
		if c.orderIndex >= len(c.probeOrder) {
			c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
			c.orderIndex = 0
		}
		if len(c.probeOrder) == 0 {
			return
		}
		m := c.members[c.probeOrder[c.orderIndex]]
		if m == nil || m.announced == Gone {
			c.probeOrder = slices.Delete(c.probeOrder, c.orderIndex, c.orderIndex+1)
			continue
		}
		c.orderIndex++
		c.probe(m)
		return
	}
}

func (c *Core) probe(m *member) {
	c.sequence++
	c.probes = append(c.probes, &probe{sequence: c.sequence, target: m.ID, sent: c.now, deadline: c.now + AckTimeout})
	c.sendPing(m, c.sequence)
}

// probeSuspects pings the suspected members whose suspicion expires first. A member that lost only single packets thereby
// learns of the suspicion, and its ack carries the refutation even to a member that gossip did not reach.
func (c *Core) probeSuspects() {
	suspects := c.suspects()
	slices.SortStableFunc(suspects, func(a, b *member) int { return cmp.Compare(a.expires, b.expires) })
	for _, m := range suspects[:min(maxSuspectPings, len(suspects))] {
		c.pingSuspect(m)
	}
}

// pingSuspect pings a suspected member directly and indirectly through a helper. The ping-req carries the suspicion to the
// helper, and the relayed ack carries the refutation back when the direct path is down.
func (c *Core) pingSuspect(m *member) {
	c.sequence++
	c.sendPing(m, c.sequence)
	for _, helper := range c.pickHelpers(m.ID, 1) {
		c.requestPing(helper, m, c.sequence)
	}
	if m.verifying {
		m.verificationPings++
		m.expires = min(m.expires,
			c.now+time.Duration(1+maxVerificationPings-min(m.verificationPings, maxVerificationPings))*ProbeInterval)
	}
}

func (c *Core) suspects() []*member {
	var all []*member
	for _, m := range c.members {
		if m.suspected {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (c *Core) sendPing(m *member, sequence uint64) {
	msg := c.message(Ping, sequence, m)
	c.emit(Send{To: m.Probe, Message: msg})
}

func (c *Core) expireProbes() {
	due := c.probes
	c.probes = nil
	for _, p := range due {
		if c.now < p.deadline {
			c.probes = append(c.probes, p)
			continue
		}
		c.probeFailed(p)
	}
	for sequence, r := range c.relays {
		if c.now >= r.expires {
			delete(c.relays, sequence)
		}
	}
}

func (c *Core) probeFailed(p *probe) {
	if p.remote {
		c.remoteProbeFailed(p.target)
		return
	}
	m := c.members[p.target]
	if m == nil || m.announced == Gone {
		return
	}
	if p.indirect {
		c.suspect(m)
		return
	}
	p.indirect, p.deadline = true, c.now+AckTimeout
	c.probes = append(c.probes, p)
	c.sendPing(m, p.sequence) // lost packets are more frequent than failed hosts
	for _, helper := range c.pickHelpers(p.target, IndirectProbes) {
		c.requestPing(helper, m, p.sequence)
	}
}

func (c *Core) requestPing(helper, target *member, sequence uint64) {
	msg := c.message(PingReq, sequence, helper)
	msg.Target, msg.TargetAddr = target.ID, target.Probe
	c.emit(Send{To: helper.Probe, Message: msg})
}

func (c *Core) pickHelpers(target HostID, n int) []*member {
	var live []*member
	for _, id := range c.sortedMembers() {
		if m := c.members[id]; id != target && m.announced != Gone && !m.suspected {
			live = append(live, m)
		}
	}
	c.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// suspect starts a suspicion after a failed probe.
func (c *Core) suspect(m *member) {
	if m.suspected {
		return
	}
	previous := m.State
	c.setSuspected(m)
	if m.State != previous {
		c.reportChange(m, previous, false)
	}
	c.pingSuspect(m)
}

func (c *Core) setSuspected(m *member) {
	m.suspected, m.verifying, m.expires = true, false, c.now+SuspicionTime
	if m.announced == Serving {
		c.transition(m, "suspect")
	}
	c.queueSuspicionUpdate(m.ID)
}

// queueSuspicionUpdate queues the update about a suspicion or its outcome. A member that has received no message for longer
// than SuspicionTime may itself be isolated and does not gossip its suspicions, which would disturb the others.
func (c *Core) queueSuspicionUpdate(id HostID) {
	if c.now-c.lastHeard > SuspicionTime && len(c.probeOrder) > 1 {
		delete(c.transmissionsLeft, id)
		return
	}
	c.queueUpdate(id)
}

// verifyGone handles an uncertain report that m is gone: m is pinged, and the report is not gossiped further.
func (c *Core) verifyGone(m *member) {
	m.suspected, m.verifying, m.verificationPings, m.expires = true, true, 0, c.now+verificationTimeout
	if m.announced == Serving {
		c.transition(m, "suspect")
	}
}

func (c *Core) expireSuspicions() {
	for _, m := range c.suspects() {
		if c.now >= m.expires {
			c.declareGone(m)
		}
	}
}

func (c *Core) declareGone(m *member) {
	previous := m.State
	c.advance(m, Gone)
	c.queueSuspicionUpdate(m.ID)
	c.reportChange(m, previous, false)
}

func (c *Core) sortedMembers() []HostID {
	ids := make([]HostID, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) handleAck(sequence uint64, target HostID) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p.sequence == sequence && p.target == target })
	r, found := c.relays[sequence]
	if !found || r.target != target {
		return
	}
	delete(c.relays, sequence)
	msg := c.message(Ack, r.sequence, nil)
	msg.Target = target
	c.emit(Send{To: r.origin, Message: msg})
}

func (c *Core) relayPing(from netip.AddrPort, msg *Message) {
	target := c.members[msg.Target]
	if len(c.relays) >= maxRelays || msg.Target == c.self.ID {
		return
	}
	to := msg.TargetAddr
	if target != nil {
		to = target.Probe
	}
	c.sequence++
	c.relays[c.sequence] = relay{origin: from, sequence: msg.Sequence, target: msg.Target, expires: c.now + AckTimeout}
	c.emit(Send{To: to, Message: c.message(Ping, c.sequence, target)})
}
