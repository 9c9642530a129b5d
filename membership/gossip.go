package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// retransmitFactor is multiplied by the binary logarithm of the number of members to get the number of transmissions of
// an update. With 3, an update reaches all of 118 members at 10% packet loss.
const retransmitFactor = 3

// queueUpdate queues the update about a member for gossip.
func (c *Core) queueUpdate(id HostID) {
	c.transmissionsLeft[id] = retransmitFactor * bits.Len(uint(len(c.probeOrder)+1))
}

// message builds a message to a member. to is nil when the receiver is not known.
func (c *Core) message(kind Kind, sequence uint64, to *member) Message {
	msg := Message{Kind: kind, Sequence: sequence, Sender: c.update(c.self), Status: c.status()}
	if to != nil && to.DataCentre != c.self.DataCentre {
		return msg
	}
	msg.ViewDigest = c.viewDigest()
	msg.Updates = c.pickUpdates(to)
	return msg
}

func (c *Core) status() Status {
	s := Status{InForce: c.local.InForce, Staged: c.local.Staged, PlatformAge: -1}
	if c.local.LastPlatformRead >= 0 {
		s.PlatformAge = c.now - c.local.LastPlatformRead
	}
	if c.cfg.Clock != nil {
		s.Stamp = c.cfg.Clock.Next()
	}
	return s
}

func (c *Core) update(m *member) Update {
	return Update{
		Name: m.Name, DataCentre: m.DataCentre, Address: m.Probe.Addr(),
		DataPort: m.Data.Port(), ProbePort: m.Probe.Port(), PeerPort: m.Peer.Port(),
		Incarnation: m.Incarnation, State: m.announced, Suspected: m.suspected && !m.verifying,
	}
}

// pickUpdates selects the updates with the most transmissions left. A suspicion of the receiver, or its declaration as
// gone, comes first, so that the receiver can refute it.
func (c *Core) pickUpdates(to *member) []Update {
	var updates []Update
	if to != nil && (to.suspected || to.announced == Gone) {
		u := c.update(to)
		u.Suspected = to.suspected
		updates = append(updates, u)
	}
	ids := make([]HostID, 0, len(c.transmissionsLeft))
	for id := range c.transmissionsLeft {
		if id != c.self.ID && (to == nil || id != to.ID) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b HostID) int {
		return cmp.Or(cmp.Compare(c.transmissionsLeft[b], c.transmissionsLeft[a]), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), MaxUpdates-len(updates))] {
		if m := c.members[id]; m != nil {
			updates = append(updates, c.update(m))
		}
		if c.transmissionsLeft[id]--; c.transmissionsLeft[id] <= 0 {
			delete(c.transmissionsLeft, id)
		}
	}
	return updates
}

// syncState tracks the transfer of the full member list from one member, MaxUpdates at a time.
type syncState struct {
	peer         HostID
	cursor       HostID
	sequence     uint64
	lastProgress time.Duration
	retries      int
	active       bool
}

// Differences between views are left to gossip for settleTime after the last change. Then the full member list is
// fetched, at most once per syncInterval to bound the cost.
const (
	settleTime     = 2 * time.Second
	syncInterval   = 5 * time.Second
	maxSyncRetries = 4
)

func (c *Core) startSync(m *member) {
	c.sync = syncState{peer: m.ID, lastProgress: c.now, active: true}
	c.sendSync(m)
}

func (c *Core) sendSync(m *member) {
	c.sequence++
	c.sync.sequence = c.sequence
	msg := c.message(Ping, c.sequence, m)
	msg.Sync, msg.Cursor = true, c.sync.cursor
	c.emit(Send{To: m.Probe, Message: msg})
}

func (c *Core) retrySync() {
	if !c.sync.active || c.now-c.sync.lastProgress < ProbeInterval {
		return
	}
	m := c.members[c.sync.peer]
	if c.sync.retries++; m == nil || m.announced == Gone || c.sync.retries > maxSyncRetries {
		c.sync.active = false
		if other := c.pickMembers(1); len(other) == 1 && c.refreshDeadline > 0 {
			c.startSync(other[0])
		}
		return
	}
	c.sync.lastProgress = c.now
	c.sendSync(m)
}

// fillSyncAck replaces the updates of an ack by those about the members that follow the cursor in order of ID.
func (c *Core) fillSyncAck(ack *Message, to *member, after HostID) {
	ack.Sync, ack.Updates = true, nil
	if to.suspected {
		ack.Updates = append(ack.Updates, c.update(to))
	}
	for _, id := range c.sortedMembers() {
		if id <= after {
			continue
		}
		if len(ack.Updates) == MaxUpdates {
			return
		}
		ack.Updates = append(ack.Updates, c.update(c.members[id]))
		ack.Cursor = id
	}
	ack.Cursor = 0
}

func (c *Core) handleSyncAck(m *member, msg *Message) {
	if c.refreshDeadline > 0 && (!msg.Sync || msg.Cursor == 0) {
		c.refreshDeadline = 0
		c.emit(Refreshed{})
	}
	if !msg.Sync {
		return
	}
	if !c.sync.active {
		c.sync = syncState{active: true}
	}
	c.sync.peer, c.sync.lastProgress, c.sync.retries, c.sync.cursor = m.ID, c.now, 0, msg.Cursor
	if msg.Cursor == 0 {
		c.sync.active = false
		return
	}
	c.sendSync(m)
}

func (c *Core) compareViews(m *member, msg *Message) {
	if msg.ViewDigest == 0 || msg.ViewDigest == c.viewDigest() || c.sync.active {
		return
	}
	if c.now-c.lastChange >= settleTime && c.now-c.sync.lastProgress >= syncInterval {
		c.startSync(m)
	}
}
