package rollout

import (
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// fanOut is the number of peers that a change is announced to at once. Every receiver announces in turn, so that
// 118 balancers, the size planned for one data centre, are reached in three rounds.
const fanOut = 8

// repeatInterval is the time between announcements while some peer lacks a change. It leaves a round trip of 100 ms
// time for the answer.
const repeatInterval = 200 * time.Millisecond

// repeatTime is how long an activation is announced to peers that do not show it. Probes go on after that.
const repeatTime = 2 * time.Second

// repairDelay is how long after a change the readers leave the others to the announcements of their neighbours. Until
// then almost every host seems to lack it.
const repairDelay = 500 * time.Millisecond

// repairFanOut is the number of peers that a reader tells again at a time.
const repairFanOut = 4

// replyInterval bounds the announcements in reply to one peer.
const replyInterval = 100 * time.Millisecond

// compareInterval is the mean time between comparisons with one member of each other data centre.
const compareInterval = time.Second

func (c *Core) announce(to []membership.HostID) {
	if len(to) > 0 {
		c.emit(Announce{To: to})
	}
}

// announceChange tells the peers of a newly staged or activated bundle.
func (c *Core) announceChange() {
	c.announceAt = c.now + repeatInterval
	to := c.sample(c.local, fanOut)
	for _, id := range c.readers {
		if c.peers[id] != nil && !slices.Contains(to, id) {
			to = append(to, id)
		}
	}
	c.announce(to)
	if c.isReader() {
		c.announceRemote()
	}
}

// announceRemote announces to one member of each other data centre.
func (c *Core) announceRemote() {
	var to []membership.HostID
	for _, dc := range c.centres {
		to = append(to, c.sample(c.remote[dc], 1)...)
	}
	c.announce(to)
}

// compareDataCentres lets the readers find versions that the other data centres have and this one lacks, or the
// reverse.
func (c *Core) compareDataCentres() {
	if c.now < c.compareAt || !c.isReader() {
		return
	}
	c.compareAt = c.now + compareInterval/2 + c.jitter(compareInterval)
	c.announceRemote()
}

// repeatAnnouncement repairs lost announcements while peers lack a change, and asks the peers while there is no bundle.
func (c *Core) repeatAnnouncement() {
	if c.now < c.announceAt {
		return
	}
	c.announceAt = c.now + repeatInterval
	if c.newest().bundle == nil {
		if c.now-c.started > peersFirst { // with neither peers nor platform: ask less often
			c.announceAt = c.now + c.jitter(peersFirst) + repeatInterval
		}
		c.announce(c.sample(c.local, fanOut))
		if c.isReader() {
			c.announceRemote()
		}
		return
	}
	if c.staged.bundle == nil && c.now-c.inForceAt > repeatTime {
		return
	}
	var to, lacking []membership.HostID
	for _, id := range c.local {
		switch {
		case slices.Contains(c.readers[:], id) && c.staged.bundle != nil:
			to = append(to, id) // a reader may hold the bundle without knowing that it is staged here
		case !c.hasCaughtUp(id):
			lacking = append(lacking, id)
		}
	}
	// Only the readers are told of everyone's state, so that only they know who lacks the change.
	if c.isReader() && c.now-c.changedAt() > repairDelay {
		to = append(to, c.sample(lacking, repairFanOut)...)
	}
	c.announce(to)
}

// changedAt returns the time of the last change of the staged bundle or the one in force.
func (c *Core) changedAt() time.Duration {
	if c.staged.bundle != nil {
		return c.stagedAt
	}
	return c.inForceAt
}

// hasCaughtUp reports whether a peer shows the state of the newest bundle that this balancer shows.
func (c *Core) hasCaughtUp(id membership.HostID) bool {
	known := &c.peers[id].known
	if c.staged.bundle != nil {
		version, _ := known.newest()
		return version >= c.staged.version()
	}
	return known.InForce >= c.inForce.version()
}

func (c *Core) peerAnnounced(a Announcement) {
	p := c.peers[a.Host]
	if p == nil || a.DataCentre != p.member.DataCentre {
		return
	}
	p.known, p.heard, p.heardAt = a, true, c.now
	if a.DataCentre == c.cfg.DataCentre {
		c.hearRead(a.SinceReadMS)
	} else {
		c.contact[a.DataCentre] = c.now
	}
	c.compareContent(a)
	if (c.lags(a) || c.isAsked(a)) && c.now >= p.nextReply {
		p.nextReply = c.now + replyInterval
		c.announce([]membership.HostID{a.Host})
	}
}

// lags reports whether the sender of an announcement lacks something that this balancer's announcement tells. An older
// version in force is expected for a short time after the activation, while the announcements spread.
func (c *Core) lags(a Announcement) bool {
	if version, _ := a.newest(); version < c.newest().version() {
		return true
	}
	return a.InForce < c.inForce.version() && a.DataCentre == c.cfg.DataCentre && c.now-c.inForceAt > repeatInterval
}

// isAsked reports whether an announcement from a reader that has the same bundles may be the repetition for hosts whose
// own announcement was lost.
func (c *Core) isAsked(a Announcement) bool {
	since := c.now - c.changedAt()
	return !c.isReader() && slices.Contains(c.readers[:], a.Host) && repairDelay < since && since < repeatTime
}

// hearRead takes in the age of a read that a peer of the data centre knows of.
func (c *Core) hearRead(sinceMS int64) {
	if sinceMS < 0 {
		return
	}
	at := c.now - time.Duration(sinceMS)*time.Millisecond - hopAge
	if r := &c.reading; !r.everRead || at > r.lastRead {
		r.lastRead = max(at, r.lastRead)
		r.everRead = true
	}
}

// compareContent finds a peer that holds other content under a version that is held here, or knows of one.
func (c *Core) compareContent(a Announcement) {
	own := c.Announcement(c.now)
	for _, version := range [...]uint64{own.InForce, own.Staged} {
		mine, held := own.digestOf(version)
		theirs, found := a.digestOf(version)
		if held && found && mine != theirs {
			c.reportConflict(version, a.Host)
		}
		if held && a.Conflict == version {
			c.reportConflict(version, a.Host)
		}
	}
}

// reportConflict shows on this host, and through its announcements on every other one, that a version exists with two
// contents.
func (c *Core) reportConflict(version uint64, from membership.HostID) {
	if version == c.conflict || version < c.newest().version() {
		return
	}
	c.conflict = version
	c.reportRefusal(BundleRefused{
		Version: version, Code: resultcode.BundleVersionConflict, From: from,
		Err: resultcode.Errorf(resultcode.BundleVersionConflict, "version", "%d exists with two contents", version),
	})
	c.announce(c.sample(c.local, fanOut))
}

func (c *Core) peerInForce(e PeerInForce) {
	p := c.peers[e.From]
	if p == nil || e.Version <= p.known.InForce {
		return
	}
	if e.Digest == (DigestPrefix{}) && p.known.Staged == e.Version {
		e.Digest = p.known.StagedDigest
	}
	p.known.InForce, p.known.InForceDigest = e.Version, e.Digest
}
