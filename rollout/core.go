// Package rollout distributes bundles among the balancers and puts them in force.
//
// Two readers per data centre watch the platform. A balancer that accepts a new version stages and announces it; the others
// compare the announced digests with their own and fetch missing versions from a peer. A staged version is put in force when
// every live member of the data centre has staged it, when a peer has it in force, or at a deadline. The version in force
// never decreases. The protocol tolerates message loss: the next comparison of digests finds what a lost message would
// have reported.
//
// The package does no I/O: the caller passes in events with the current time and carries out the returned effects.
package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// pauseThreshold is the time without events after which the state known of the peers is considered outdated. Traffic is
// fenced after the same time.
const pauseThreshold = 500 * time.Millisecond

// refreshTimeout is how long a balancer waits for announcements of its peers after a pause before the activation deadline
// can take effect. It equals the time for which the balancer stays fenced when no peer responds.
const refreshTimeout = time.Second

// Config identifies the balancer.
type Config struct {
	Self       membership.HostID
	DataCentre string
	Keys       bundle.Keyring
	Wall       time.Time // wall clock at the first event
}

// heldBundle is a bundle that this balancer stores, with its state in the bundle chart.
type heldBundle struct {
	bundle *bundle.Bundle
	state  string
	sum    uint64 // xxhash64 of the envelope
	keyID  string // ID of the signing key
}

// deltaBase is an envelope that a delta can be computed from.
type deltaBase struct {
	sum      uint64 // xxhash64 of the envelope
	envelope []byte
}

// maxBases bounds the number of earlier envelopes that are kept for deltas, which take at most 8 MB. At 440 changes a day
// they let a balancer catch up by a delta after a pause of some minutes.
const maxBases = 8

// peer is the local record of another balancer.
type peer struct {
	member      membership.Member
	known       Announcement
	announcedAt time.Duration // time of the last announcement
	announced   bool
	nextReply   time.Duration // earliest time of the next announcement in reply
}

// Core holds the bundles of one balancer. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	budget      *rate.Limiter
	now         time.Duration
	startedAt   time.Duration
	hasStarted  bool
	wallClock   time.Time // wall clock at wallClockAt
	wallClockAt time.Duration
	effects     []Effect

	peers              map[membership.HostID]*peer // live members without the balancer itself
	local              []membership.HostID         // peers in this data centre, in ascending order
	remote             map[string][]membership.HostID
	otherCentres       []string // other data centres, in ascending order
	hasMemberView      bool     // a MemberView was received
	leaving            bool     // the balancer itself is leaving
	readers            [readersPerDataCentre]membership.HostID
	lastContact        map[string]time.Duration // last announcement from each other data centre
	inForce            heldBundle
	staged             heldBundle
	olderBases         []deltaBase   // earlier bundles in force, newest first
	stagedAt           time.Duration // when the staged bundle was accepted
	firstStagedAt      time.Duration // when the first in the current series of staged bundles was accepted
	activationDeadline time.Duration // of the staged bundle
	inForceAt          time.Duration
	nextAnnouncement   time.Duration // when the announcement is repeated
	nextComparison     time.Duration // with other data centres

	reading           readState
	fetch             *fetch
	deltas            map[uint64][]byte              // to the newest bundle; keyed by the XOR of both envelopes' sums
	fetchBlockedUntil map[DigestPrefix]time.Duration // digests that are not fetched before the given time
	lastRefusal       resultcode.Code
	rejected          rejectedEnvelope
	conflictVersion   uint64
}

// New returns a core without a bundle. It takes random choices from rng.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, rng: rng, budget: rate.NewLimiter(readsPerSecond, readBurst), wallClock: cfg.Wall,
		peers: map[membership.HostID]*peer{}, lastContact: map[string]time.Duration{},
		deltas: map[uint64][]byte{}, fetchBlockedUntil: map[DigestPrefix]time.Duration{},
	}
}

// Handle applies an event at now, the time since process start, and returns the effects. An earlier time than that of the
// last event counts as that one.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	if !c.hasStarted {
		c.hasStarted, c.startedAt, c.wallClockAt, c.now = true, now, now, now
		c.reading.lastRead = now // maxReadAge starts now, so that a restarted balancer at first leaves reading to the readers
	}
	gap := now - c.now
	c.now = max(c.now, now)
	if gap > pauseThreshold {
		c.resume()
	}
	switch e := e.(type) {
	case Tick:
		if !e.Wall.IsZero() {
			c.wallClock, c.wallClockAt = e.Wall, c.now
		}
		c.tick()
	case PlatformBundle:
		c.platformBundle(e)
	case PlatformNotModified:
		c.platformNotModified(e)
	case PlatformFailed:
		c.platformFailed(e)
	case PeerAnnounced:
		c.peerAnnounced(e.Announcement)
	case PeerInForce:
		c.peerInForce(e)
	case PeerRequested:
		c.answerRequest(e)
	case PeerData:
		c.peerData(e)
	case MemberView:
		c.setMembers(e.Members)
	}
	c.activateIfDue()
	c.updateFetch()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) addTimelineEvent(kind string, version uint64, code resultcode.Code, detail string) {
	c.emit(AddTimeline{timeline.Event{Kind: kind, Version: version, Code: uint16(code), Detail: detail}})
}

// resume handles the end of a pause. The state known of the peers is outdated, so that an activation deadline that passed
// meanwhile is postponed until the peers have had time to announce theirs.
func (c *Core) resume() {
	if c.staged.bundle != nil {
		c.activationDeadline = max(c.activationDeadline, c.now+refreshTimeout)
	}
	c.announce(c.sample(c.local, announceFanOut))
}

func (c *Core) tick() {
	c.repeatAnnouncement()
	c.compareDataCentres()
	c.retryFetch()
	c.readIfDue()
}

// newest returns the held bundle with the highest version.
func (c *Core) newest() heldBundle {
	if c.staged.bundle != nil {
		return c.staged
	}
	return c.inForce
}

func (h heldBundle) version() uint64 {
	if h.bundle == nil {
		return 0
	}
	return h.bundle.Version
}

func (c *Core) setMembers(members []membership.Member) {
	live := map[membership.HostID]*peer{}
	c.local, c.remote, c.otherCentres = nil, map[string][]membership.HostID{}, nil
	c.leaving = false
	for _, m := range members {
		c.leaving = c.leaving || m.ID == c.cfg.Self && m.State == membership.Leaving
		if m.ID == c.cfg.Self || m.State == membership.Gone {
			continue
		}
		p := c.peers[m.ID]
		if p == nil {
			p = &peer{}
		}
		p.member = m
		live[m.ID] = p
		if m.DataCentre == c.cfg.DataCentre {
			c.local = append(c.local, m.ID)
		} else {
			c.remote[m.DataCentre] = append(c.remote[m.DataCentre], m.ID)
		}
	}
	c.peers, c.hasMemberView = live, true
	slices.Sort(c.local)
	for dc, ids := range c.remote {
		slices.Sort(ids)
		c.otherCentres = append(c.otherCentres, dc)
	}
	slices.Sort(c.otherCentres)
	c.rankReaders()
}

// sample returns up to n randomly chosen elements of ids.
func (c *Core) sample(ids []membership.HostID, n int) []membership.HostID {
	picked := slices.Clone(ids)
	c.rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// Status describes the bundles of the balancer.
type Status struct {
	InForce, Staged uint64 // versions, 0 when none
	Behind          bool   // a peer of the data centre has a newer version in force
	// CurrentPeer is the peer to which new flows are forwarded while Behind is set. Its version in force is the newest known.
	CurrentPeer  membership.HostID
	Reader       bool          // the balancer is one of those that watch the platform
	SinceRead    time.Duration // time since the latest known platform read in the data centre; -1 when there was none
	SinceContact map[string]time.Duration
	LastRefusal  resultcode.Code
	Conflict     uint64 // version that was seen with two contents, 0 when none
	KeyID        string // ID of the key that signed the bundle in force
	// KeyNotAfter is the end of that key's validity, zero for none. A host that starts later refuses the bundle in force,
	// so that a new version signed with another key has to be published before.
	KeyNotAfter time.Time
}

// Status returns the status at now.
func (c *Core) Status(now time.Duration) Status {
	s := Status{
		InForce: c.inForce.version(), Staged: c.staged.version(), Reader: c.isReader(),
		SinceRead: -1, SinceContact: map[string]time.Duration{}, LastRefusal: c.lastRefusal, Conflict: c.conflictVersion,
		KeyID: c.inForce.keyID, KeyNotAfter: c.cfg.Keys[c.inForce.keyID].NotAfter,
	}
	s.CurrentPeer = c.peerAhead()
	s.Behind = s.CurrentPeer != 0
	if c.reading.everRead {
		s.SinceRead = now - c.reading.lastRead
	}
	for dc, at := range c.lastContact {
		s.SinceContact[dc] = now - at
	}
	return s
}

// InForce returns the bundle in force, or nil.
func (c *Core) InForce() *bundle.Bundle { return c.inForce.bundle }

// Staged returns the staged bundle, or nil.
func (c *Core) Staged() *bundle.Bundle { return c.staged.bundle }

// Announcement returns the announcement that probes carry at now.
func (c *Core) Announcement(now time.Duration) Announcement {
	a := Announcement{
		Host: c.cfg.Self, DataCentre: c.cfg.DataCentre, SinceReadMS: -1, Conflict: c.conflictVersion,
		InForce: c.inForce.version(), InForceDigest: PrefixOf(c.inForce.bundle),
		Staged: c.staged.version(), StagedDigest: PrefixOf(c.staged.bundle),
	}
	if c.reading.everRead {
		a.SinceReadMS = (now - c.reading.lastRead).Milliseconds()
	}
	return a
}

// peerAhead returns the peer of the data centre with the highest version in force, or 0 when none is above the local one.
// Ties are broken differently on each balancer, so that the new flows of all that are behind do not go to a single peer.
func (c *Core) peerAhead() membership.HostID {
	if len(c.local) == 0 {
		return 0
	}
	best := slices.MaxFunc(c.local, func(a, b membership.HostID) int {
		return cmp.Or(cmp.Compare(c.peers[a].known.InForce, c.peers[b].known.InForce),
			cmp.Compare(flow.Mix(uint64(a), uint64(c.cfg.Self)), flow.Mix(uint64(b), uint64(c.cfg.Self))))
	})
	if c.peers[best].known.InForce > c.inForce.version() {
		return best
	}
	return 0
}
