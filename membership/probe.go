package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// probe is a ping that waits for its ack.
type probe struct {
	sequence uint64
	target   HostID
	sent     time.Duration
	deadline time.Duration
	indirect bool // the indirect pings have been sent
	remote   bool // a sample of another data centre, which has no indirect pings
}

// relay remembers for whom this member pings another.
type relay struct {
	origin   netip.AddrPort
	sequence uint64
	target   HostID
	expires  time.Duration
}

// A member that another one has declared gone is gone here too when it leaves contestPings pings without an answer. The
// wait for its turn is bounded by contestTime: after a partition many members are contested at once.
const (
	contestPings = 4
	contestTime  = 30 * time.Second
)

// maxSuspectPings bounds the extra pings per probe interval while many members are suspected, as after a partition;
// other members ping the rest.
const maxSuspectPings = 2

// maxRelays bounds the pings that are under way for others.
const maxRelays = 64

func (c *Core) probeNext() {
	for range len(c.order) + 1 {
		if c.next >= len(c.order) {
			c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
			c.next = 0
		}
		if len(c.order) == 0 {
			return
		}
		m := c.members[c.order[c.next]]
		if m == nil || m.announced == Gone {
			c.order = slices.Delete(c.order, c.next, c.next+1)
			continue
		}
		c.next++
		c.probe(m)
		return
	}
}

func (c *Core) probe(m *member) {
	c.sequence++
	c.probes = append(c.probes, &probe{sequence: c.sequence, target: m.ID, sent: c.now, deadline: c.now + AckTimeout})
	c.sendPing(m, c.sequence)
}

// probeSuspects pings the suspected members whose time ends first. A member that lost single packets so hears of the
// suspicion, and its answer brings the refutation even to a member that gossip has missed.
func (c *Core) probeSuspects() {
	suspects := c.suspects()
	slices.SortStableFunc(suspects, func(a, b *member) int { return cmp.Compare(a.expires, b.expires) })
	for _, m := range suspects[:min(maxSuspectPings, len(suspects))] {
		c.pingSuspect(m)
	}
}

// pingSuspect pings a suspected member directly and through one other member. The ping-req carries the suspicion to the
// helper, and the relayed ack brings back the refutation when the direct path is down.
func (c *Core) pingSuspect(m *member) {
	c.sequence++
	c.sendPing(m, c.sequence)
	for _, helper := range c.pickHelpers(m.ID, 1) {
		c.requestPing(helper, m, c.sequence)
	}
	if m.contested {
		m.pings++
		m.expires = min(m.expires, c.now+time.Duration(1+contestPings-min(m.pings, contestPings))*ProbeInterval)
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
		c.remoteFailed(p.target)
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
	c.sendPing(m, p.sequence) // a lost packet is more frequent than a lost host
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
		c.changed(m, previous, false)
	}
	c.pingSuspect(m)
}

func (c *Core) setSuspected(m *member) {
	m.suspected, m.contested, m.expires = true, false, c.now+SuspicionTime
	if m.announced == Serving {
		c.transition(m, "suspect")
	}
	c.spreadVerdict(m.ID)
}

// spreadVerdict spreads a suspicion or its outcome. A member that has heard nothing for a while may be the one that is
// cut off; it then keeps its verdict to itself instead of disturbing the others.
func (c *Core) spreadVerdict(id HostID) {
	if c.now-c.lastHeard > SuspicionTime && len(c.order) > 1 {
		delete(c.gossip, id)
		return
	}
	c.spread(id)
}

// contest follows another member's doubtful word that m is gone: m is asked, and the word is not spread.
func (c *Core) contest(m *member) {
	m.suspected, m.contested, m.pings, m.expires = true, true, 0, c.now+contestTime
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
	c.spreadVerdict(m.ID)
	c.changed(m, previous, false)
}

func (c *Core) sortedMembers() []HostID {
	ids := make([]HostID, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) acked(sequence uint64, target HostID) {
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

func (c *Core) relayPing(from netip.AddrPort, m *Message) {
	target := c.members[m.Target]
	if len(c.relays) >= maxRelays || m.Target == c.self.ID {
		return
	}
	to := m.TargetAddr
	if target != nil {
		to = target.Probe
	}
	c.sequence++
	c.relays[c.sequence] = relay{origin: from, sequence: m.Sequence, target: m.Target, expires: c.now + AckTimeout}
	c.emit(Send{To: to, Message: c.message(Ping, c.sequence, target)})
}
