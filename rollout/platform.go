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

// readersPerDataCentre is the number of balancers that watch the platform; the second one covers the time until the
// loss of the first is noticed.
const readersPerDataCentre = 2

// readWait is how long a watch waits at the platform. It is well under readSilence, so that a reader without news
// does not look like a reader without success.
const readWait = 1500 * time.Millisecond

// readSilence is the time without a successful read after which any balancer reads.
const readSilence = 3 * time.Second

// fallbackSpread is the mean time between fallback reads of different members: they wait for a random time in
// proportion to their number, and the first success keeps the others from reading.
const fallbackSpread = 100 * time.Millisecond

// actingTime is how long a balancer goes on reading after a successful fallback read.
const actingTime = 10 * time.Second

// Bounds of the reads of one balancer. Only several publications within a second meet them in normal operation.
const (
	readsPerSecond = 2
	readBurst      = 4
)

// Bounds of the delay of a reader after failed reads.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoffPerMember times the number of members is the mean delay after a failed read of a balancer that is not a
// reader, so that the calls to a failing platform do not grow with the members.
const backoffPerMember = 500 * time.Millisecond

// answerGrace is how long after its wait a read is taken for lost. The platform client gives up earlier.
const answerGrace = 30 * time.Second

// hopAge is added to the age of a read that a peer reports, so that a report does not stay young by being passed on.
const hopAge = 50 * time.Millisecond

// peersFirst is how long a balancer without a bundle asks its peers before it reads the platform.
const peersFirst = time.Second

// retryKeyNotValid is the time after which a bundle whose key was not valid is read again.
const retryKeyNotValid = time.Minute

type reading struct {
	pending     bool
	pendingFrom time.Duration
	revision    string
	nextAt      time.Duration
	failures    int
	fallbackAt  time.Duration // 0 when no fallback read is planned
	actingUntil time.Duration
	lastRead    time.Duration // newest known successful read in the data centre
	everRead    bool
	rereadAt    time.Duration // 0 when no second reading of the same revision is planned
}

// rankReaders ranks the live members of the data centre by rendezvous hash.
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

func (c *Core) isReader() bool { return c.viewed && slices.Contains(c.readers[:], c.cfg.Self) }

// read starts a platform read when one is due.
func (c *Core) read() {
	r := &c.reading
	if r.pending && c.now-r.pendingFrom > readWait+answerGrace {
		r.pending = false
	}
	if r.pending || c.now < r.nextAt || c.asksPeersFirst() || !(c.isReader() || c.now < r.actingUntil || c.fallbackDue()) {
		return
	}
	if !c.budget.AllowN(time.Unix(0, 0).Add(c.now), 1) {
		return
	}
	if r.rereadAt != 0 && c.now >= r.rereadAt {
		r.revision, r.rereadAt = "", 0
	}
	r.pending, r.pendingFrom, r.fallbackAt = true, c.now, 0
	c.emit(WatchPlatform{After: r.revision, Wait: readWait})
}

// asksPeersFirst reports whether a balancer without a bundle still waits for its peers. The platform may offer an
// older or a conflicting bundle, so the peers are asked first.
func (c *Core) asksPeersFirst() bool {
	if c.newest().bundle != nil || c.now-c.started >= peersFirst {
		return false
	}
	return !c.viewed || slices.ContainsFunc(c.local, func(id membership.HostID) bool {
		version, _ := c.peers[id].known.newest()
		return !c.peers[id].heard || version > 0
	})
}

// fallbackDue reports whether the balancer reads although it is not a reader, because no read is known to have
// succeeded lately.
func (c *Core) fallbackDue() bool {
	r := &c.reading
	if c.now-r.lastRead <= readSilence {
		r.fallbackAt = 0
		return false
	}
	if r.fallbackAt == 0 {
		r.fallbackAt = c.now + c.jitter(time.Duration(len(c.local)+1)*fallbackSpread)
	}
	return c.now >= r.fallbackAt
}

// jitter returns a random time below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(max(int64(limit), 1)))
}

func (c *Core) readSucceeded(revision string) {
	r := &c.reading
	if !c.isReader() && c.now-r.lastRead > readSilence {
		r.actingUntil = c.now + actingTime
	}
	if r.failures > 0 {
		c.event("platform-read-restored", 0, resultcode.OK, "")
	}
	r.pending, r.failures, r.nextAt = false, 0, c.now
	r.lastRead, r.everRead = c.now, true
	if revision != "" {
		r.revision = revision
	}
}

func (c *Core) platformNotModified(e PlatformNotModified) {
	c.readSucceeded(e.Revision)
	c.read()
}

func (c *Core) platformBundle(e PlatformBundle) {
	c.readSucceeded(e.Revision)
	if code := c.offer(e.Envelope, 0); code == resultcode.BundleKeyNotValid {
		c.reading.rereadAt = c.now + retryKeyNotValid
	}
	c.read()
}

func (c *Core) platformFailed(e PlatformFailed) {
	r := &c.reading
	delay := min(minBackoff<<min(r.failures, 10), maxBackoff)
	if !c.isReader() {
		delay = max(delay, time.Duration(len(c.local)+1)*backoffPerMember)
		r.fallbackAt = 0
	}
	r.pending, r.failures = false, r.failures+1
	r.nextAt = c.now + delay/2 + c.jitter(delay)
	if r.failures > 1 {
		return
	}
	code := resultcode.Of(e.Err)
	if code == resultcode.BundleTooLarge { // the platform answers, with what no balancer takes
		c.reportRefusal(BundleRefused{Code: code, Err: e.Err})
		return
	}
	c.event("platform-read-failed", 0, code, "")
}
