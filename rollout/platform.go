package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// readersPerDataCentre is the number of balancers that watch the platform. The second one covers the time until the failure
// of the first is detected.
const readersPerDataCentre = 2

// watchTimeout is the time for which the platform holds a watch without a new bundle. It is well under maxReadAge, so that a
// reader that receives no new bundle is not taken for one whose reads fail.
const watchTimeout = 1500 * time.Millisecond

// maxReadAge is the time without a successful read after which any balancer may read.
const maxReadAge = 3 * time.Second

// fallbackSpacing is the mean time between fallback reads of different members: each waits for a random time in proportion
// to the number of members, and the first successful read makes the others skip theirs.
const fallbackSpacing = 100 * time.Millisecond

// actingReaderTime is how long a balancer continues to read after a successful fallback read.
const actingReaderTime = 10 * time.Second

// Rate limit of the reads of one balancer. In normal operation only several publications within a second reach it.
const (
	readsPerSecond = 2
	readBurst      = 4
)

// Bounds of a reader's exponential backoff after failed reads.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoffPerMember times the number of members is the mean delay after a failed read of a balancer that is not a reader, so
// that the rate of calls to a failing platform does not grow with the number of members.
const backoffPerMember = 500 * time.Millisecond

// lostReadMargin is the time after watchTimeout at which a read counts as lost. The platform client times out earlier.
const lostReadMargin = 30 * time.Second

// readAgePerHop is added to the age of a read that a peer reports, so that the age grows with each hop between peers.
const readAgePerHop = 50 * time.Millisecond

// initialPeerWait is how long a balancer without a bundle queries its peers before it reads the platform.
const initialPeerWait = time.Second

// keyNotValidRetryDelay is the time after which a bundle that was refused because its key was not valid is read again.
const keyNotValidRetryDelay = time.Minute

type readState struct {
	pending           bool
	pendingSince      time.Duration
	revision          string
	nextReadAt        time.Duration
	failures          int
	fallbackAt        time.Duration // 0 when no fallback read is planned
	actingReaderUntil time.Duration
	lastRead          time.Duration // latest known successful read in the data centre
	everRead          bool
	rereadAt          time.Duration // when the same revision is read again; 0 when that is not planned
}

// rankReaders selects the readers among the live members of the data centre by rendezvous hashing.
func (c *Core) rankReaders() {
	var ranked []membership.HostID
	if !c.leaving {
		ranked = append(ranked, c.cfg.Self)
	}
	for _, id := range c.local {
		if c.peers[id].member.State != membership.Leaving {
			ranked = append(ranked, id)
		}
	}
	salt := xxhash.Sum64String(c.cfg.DataCentre)
	slices.SortFunc(ranked, func(a, b membership.HostID) int {
		return cmp.Compare(flow.Mix(uint64(b), salt), flow.Mix(uint64(a), salt))
	})
	c.readers = [readersPerDataCentre]membership.HostID{}
	copy(c.readers[:], ranked)
}

func (c *Core) isReader() bool { return c.hasMemberView && slices.Contains(c.readers[:], c.cfg.Self) }

// readIfDue starts a platform read when one is due and the rate limit allows it.
func (c *Core) readIfDue() {
	r := &c.reading
	if r.pending && c.now-r.pendingSince > watchTimeout+lostReadMargin {
		r.pending = false
	}
	if r.pending || c.now < r.nextReadAt || c.isWaitingForPeers() ||
		!(c.isReader() || c.now < r.actingReaderUntil || c.isFallbackDue()) {
		return
	}
	if !c.budget.AllowN(time.Unix(0, 0).Add(c.now), 1) {
		return
	}
	if r.rereadAt != 0 && c.now >= r.rereadAt {
		r.revision, r.rereadAt = "", 0
	}
	r.pending, r.pendingSince, r.fallbackAt = true, c.now, 0
	c.emit(WatchPlatform{After: r.revision, Wait: watchTimeout})
}

// isWaitingForPeers reports whether a balancer without a bundle still waits for its peers. They are queried before the
// platform, because the platform may return an older or a conflicting bundle.
func (c *Core) isWaitingForPeers() bool {
	if c.newest().bundle != nil || c.now-c.startedAt >= initialPeerWait {
		return false
	}
	return !c.hasMemberView || slices.ContainsFunc(c.local, func(id membership.HostID) bool {
		version, _ := c.peers[id].known.newest()
		return !c.peers[id].announced || version > 0
	})
}

// isFallbackDue reports whether the balancer is to read although it is not a reader, because no read in the data centre is
// known to have succeeded within maxReadAge.
func (c *Core) isFallbackDue() bool {
	r := &c.reading
	if c.now-r.lastRead <= maxReadAge {
		r.fallbackAt = 0
		return false
	}
	if r.fallbackAt == 0 {
		r.fallbackAt = c.now + c.jitter(time.Duration(len(c.local)+1)*fallbackSpacing)
	}
	return c.now >= r.fallbackAt
}

// jitter returns a random time below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(max(int64(limit), 1)))
}

func (c *Core) readSucceeded(revision string) {
	r := &c.reading
	if !c.isReader() && c.now-r.lastRead > maxReadAge {
		r.actingReaderUntil = c.now + actingReaderTime
	}
	if r.failures > 0 {
		c.addTimelineEvent("platform-read-restored", 0, resultcode.OK, "")
	}
	r.pending, r.failures, r.nextReadAt = false, 0, c.now
	r.lastRead, r.everRead = c.now, true
	if revision != "" {
		r.revision = revision
	}
}

func (c *Core) platformNotModified(e PlatformNotModified) {
	c.readSucceeded(e.Revision)
	c.readIfDue()
}

func (c *Core) platformBundle(e PlatformBundle) {
	c.readSucceeded(e.Revision)
	if code := c.evaluate(e.Envelope, 0); code == resultcode.BundleKeyNotValid {
		c.reading.rereadAt = c.now + keyNotValidRetryDelay
	}
	c.readIfDue()
}

func (c *Core) platformFailed(e PlatformFailed) {
	r := &c.reading
	delay := min(minBackoff<<min(r.failures, 10), maxBackoff)
	if !c.isReader() {
		delay = max(delay, time.Duration(len(c.local)+1)*backoffPerMember)
		r.fallbackAt = 0
	}
	r.pending, r.failures = false, r.failures+1
	r.nextReadAt = c.now + delay/2 + c.jitter(delay)
	if r.failures > 1 {
		return
	}
	code := resultcode.Of(e.Err)
	if code == resultcode.BundleTooLarge { // the platform responded, but with a bundle over the size limit
		c.reportRefusal(BundleRefused{Code: code, Err: e.Err})
		return
	}
	c.addTimelineEvent("platform-read-failed", 0, code, "")
}
