package rollout

import (
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// announceFanOut is the number of peers to which a change is announced immediately. Each of them announces it in turn, so
// that 118 balancers, the planned size of a data centre, are reached in three rounds.
const announceFanOut = 8

// repeatInterval is the time between announcements while some peer lacks a change. It allows for an answer over a round
// trip of 100 ms.
const repeatInterval = 200 * time.Millisecond

// repeatDuration is how long an activation is announced to peers that do not report it. After that, only probes carry it.
const repeatDuration = 2 * time.Second

// repairDelay is the time after a change before the readers announce it again to peers that lack it. Until then almost all
// peers seem to lack it, because announcements between them are still in progress.
const repairDelay = 500 * time.Millisecond

// repairFanOut is the number of lacking peers to which a reader repeats an announcement at a time.
const repairFanOut = 4

// replyInterval is the minimum time between announcements in reply to one peer.
const replyInterval = 100 * time.Millisecond

// compareInterval is the mean time between comparisons of bundles with one member of each other data centre.
const compareInterval = time.Second

func (c *Core) announce(to []membership.HostID) {
	if len(to) > 0 {
		c.emit(Announce{To: to})
	}
}

// announceChange announces a newly staged or activated bundle to peers and all readers.
func (c *Core) announceChange() {
	c.nextAnnouncement = c.now + repeatInterval
	to := c.sample(c.local, announceFanOut)
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
	for _, dc := range c.otherCentres {
		to = append(to, c.sample(c.remote[dc], 1)...)
	}
	c.announce(to)
}

// compareDataCentres announces the readers' bundles to the other data centres, so that versions that only some data centres
// have are found.
func (c *Core) compareDataCentres() {
	if c.now < c.nextComparison || !c.isReader() {
		return
	}
	c.nextComparison = c.now + compareInterval/2 + c.jitter(compareInterval)
	c.announceRemote()
}

// repeatAnnouncement compensates for lost announcements while peers lack a change, and queries peers while there is no
// bundle.
func (c *Core) repeatAnnouncement() {
	if c.now < c.nextAnnouncement {
		return
	}
	c.nextAnnouncement = c.now + repeatInterval
	if c.newest().bundle == nil {
		if c.now-c.startedAt > initialPeerWait { // neither peers nor platform have responded: query less often
			c.nextAnnouncement = c.now + c.jitter(initialPeerWait) + repeatInterval
		}
		c.announce(c.sample(c.local, announceFanOut))
		if c.isReader() {
			c.announceRemote()
		}
		return
	}
	if c.staged.bundle == nil && c.now-c.inForceAt > repeatDuration {
		return
	}
	var to, lacking []membership.HostID
	for _, id := range c.local {
		switch {
		case slices.Contains(c.readers[:], id) && c.staged.bundle != nil:
			to = append(to, id) // a reader may hold the bundle without knowing that it is staged on this host
		case !c.hasCaughtUp(id):
			lacking = append(lacking, id)
		}
	}
	// Every host announces its changes to the readers, so that only they know which peers lack the change.
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

// hasCaughtUp reports whether a peer is known to have the newest bundle of this balancer staged or, when none is staged
// here, in force.
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
	p.known, p.announced, p.announcedAt = a, true, c.now
	if a.DataCentre == c.cfg.DataCentre {
		c.recordPeerRead(a.SinceReadMS)
	} else {
		c.lastContact[a.DataCentre] = c.now
	}
	c.detectConflict(a)
	if (c.isBehind(a) || c.mayExpectReply(a)) && c.now >= p.nextReply {
		p.nextReply = c.now + replyInterval
		c.announce([]membership.HostID{a.Host})
	}
}

// isBehind reports whether the sender of an announcement lacks a version that this balancer announces. An older version in
// force is expected for a short time after an activation, while the announcements propagate.
func (c *Core) isBehind(a Announcement) bool {
	if version, _ := a.newest(); version < c.newest().version() {
		return true
	}
	return a.InForce < c.inForce.version() && a.DataCentre == c.cfg.DataCentre && c.now-c.inForceAt > repeatInterval
}

// mayExpectReply reports whether an announcement from a reader may be the repetition for hosts whose own announcement the
// reader did not receive. Such an announcement is answered although the sender has the same bundles.
func (c *Core) mayExpectReply(a Announcement) bool {
	since := c.now - c.changedAt()
	return !c.isReader() && slices.Contains(c.readers[:], a.Host) && repairDelay < since && since < repeatDuration
}

// recordPeerRead records the latest platform read that a peer of the data centre knows of, by its age in milliseconds.
func (c *Core) recordPeerRead(sinceMS int64) {
	if sinceMS < 0 {
		return
	}
	at := c.now - time.Duration(sinceMS)*time.Millisecond - readAgePerHop
	if r := &c.reading; !r.everRead || at > r.lastRead {
		r.lastRead = max(at, r.lastRead)
		r.everRead = true
	}
}

// detectConflict reports a conflict when a peer announces different content under a version that is held here, or a conflict
// of that version.
func (c *Core) detectConflict(a Announcement) {
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

// reportConflict reports that a version exists with two contents. Announcements make every other host report it, too.
func (c *Core) reportConflict(version uint64, from membership.HostID) {
	if version == c.conflictVersion || version < c.newest().version() {
		return
	}
	c.conflictVersion = version
	c.reportRefusal(BundleRefused{
		Version: version, Code: resultcode.BundleVersionConflict, From: from,
		Err: resultcode.Errorf(resultcode.BundleVersionConflict, "version", "%d exists with two contents", version),
	})
	c.announce(c.sample(c.local, announceFanOut))
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
