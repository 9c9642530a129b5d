// Package rollout spreads bundles over the balancers and puts them in force.
//
// Two readers per data centre watch the platform. A balancer that accepts a new version stages it and announces it;
// the others compare the announced digests with their own and fetch what they lack from a peer. A staged version is put
// in force when every live member of the data centre has staged it, when a peer has it in force, or at a deadline.
// Versions never fall. No message is relied on: what a lost one would have told is found by the next comparison of
// digests.
//
// The package does no I/O: events and a clock value go in, effects come out.
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

// pauseGap is the time without events after which what is known of the peers is out of date. It is the bound at
// which traffic is fenced.
const pauseGap = 500 * time.Millisecond

// refreshTime is how long a balancer that was paused listens to its peers before a deadline makes it act alone. It is
// the time for which it stays fenced when no peer answers.
const refreshTime = time.Second

// Config identifies the balancer.
type Config struct {
	Self       membership.HostID
	DataCentre string
	Keys       bundle.Keyring
	Wall       time.Time // wall clock at the first event
}

// held is a bundle that this balancer holds, with its state in the bundle chart.
type held struct {
	bundle *bundle.Bundle
	state  string
	sum    uint64 // xxhash64 of the envelope
	keyID  string // key that signed it
}

// base is an envelope that a delta can build on.
type base struct {
	sum      uint64 // xxhash64 of the envelope
	envelope []byte
}

// maxBases bounds the earlier envelopes that are kept for deltas, at most 8 MB. At 440 changes a day they let a
// balancer that was paused for some minutes catch up by a delta.
const maxBases = 8

// peer is what is known of another balancer.
type peer struct {
	member    membership.Member
	known     Announcement
	heardAt   time.Duration // time of the last announcement
	heard     bool
	nextReply time.Duration // earliest time of the next announcement in reply
}

// Core holds the bundles of one balancer. It is not safe for use by several goroutines.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	budget  *rate.Limiter
	now     time.Duration
	started time.Duration
	running bool
	wall    time.Time // wall clock at wallAt
	wallAt  time.Duration
	effects []Effect

	peers      map[membership.HostID]*peer // live members but for the balancer itself
	local      []membership.HostID         // those of the own data centre, in ascending order
	remote     map[string][]membership.HostID
	centres    []string // other data centres, in ascending order
	viewed     bool     // a member view has arrived
	leaving    bool     // the balancer itself is leaving
	readers    [readersPerDataCentre]membership.HostID
	contact    map[string]time.Duration // last announcement from each other data centre
	inForce    held
	staged     held
	older      []base        // earlier bundles in force, newest first
	stagedAt   time.Duration // when the staged bundle was accepted
	waitsSince time.Duration // when the first of the staged bundles that replaced each other was accepted
	activateAt time.Duration // deadline of the staged bundle
	inForceAt  time.Duration
	announceAt time.Duration // next repetition of the announcement
	compareAt  time.Duration // next comparison with other data centres

	reading  reading
	fetch    *fetch
	deltas   map[uint64][]byte              // by sum of the old envelope; all lead to the newest bundle
	refused  map[DigestPrefix]time.Duration // digests that are not fetched, and until when
	lastCode resultcode.Code
	rejected rejected
	conflict uint64
}

// New returns a core without a bundle.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, rng: rng, budget: rate.NewLimiter(readsPerSecond, readBurst), wall: cfg.Wall,
		peers: map[membership.HostID]*peer{}, contact: map[string]time.Duration{},
		deltas: map[uint64][]byte{}, refused: map[DigestPrefix]time.Duration{},
	}
}

// Handle takes in an event at now, the time since process start, and returns what to do.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	if !c.running {
		c.running, c.started, c.wallAt, c.now = true, now, now, now
		c.reading.lastRead = now // counts from the start, so that a fresh balancer gives the readers their time
	}
	gap := now - c.now
	c.now = max(c.now, now)
	if gap > pauseGap {
		c.wake()
	}
	switch e := e.(type) {
	case Tick:
		if !e.Wall.IsZero() {
			c.wall, c.wallAt = e.Wall, c.now
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
		c.serve(e)
	case PeerData:
		c.peerData(e)
	case MemberView:
		c.memberView(e.Members)
	}
	c.activate()
	c.pursue()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) event(kind string, version uint64, code resultcode.Code, detail string) {
	c.emit(AddTimeline{timeline.Event{Kind: kind, Version: version, Code: uint16(code), Detail: detail}})
}

// wake follows a pause: what is known of the peers is old, so that deadlines that passed meanwhile must wait for it.
func (c *Core) wake() {
	if c.staged.bundle != nil {
		c.activateAt = max(c.activateAt, c.now+refreshTime)
	}
	c.announce(c.sample(c.local, fanOut))
}

func (c *Core) tick() {
	c.repeatAnnouncement()
	c.compareDataCentres()
	c.checkFetch()
	c.read()
}

// newest returns the bundle with the highest version that is held.
func (c *Core) newest() held {
	if c.staged.bundle != nil {
		return c.staged
	}
	return c.inForce
}

func (h held) version() uint64 {
	if h.bundle == nil {
		return 0
	}
	return h.bundle.Version
}

func (c *Core) memberView(members []membership.Member) {
	live := map[membership.HostID]*peer{}
	c.local, c.remote, c.centres = nil, map[string][]membership.HostID{}, nil
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
	c.peers, c.viewed = live, true
	slices.Sort(c.local)
	for dc, ids := range c.remote {
		slices.Sort(ids)
		c.centres = append(c.centres, dc)
	}
	slices.Sort(c.centres)
	c.rankReaders()
}

// sample returns up to n of ids in random order.
func (c *Core) sample(ids []membership.HostID, n int) []membership.HostID {
	picked := slices.Clone(ids)
	c.rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// Status describes the bundles of the balancer to operators.
type Status struct {
	InForce, Staged uint64 // versions, 0 when none
	Behind          bool   // a peer of the data centre has a newer version in force
	// CurrentPeer is the peer to which new flows are forwarded while behind.
	CurrentPeer  membership.HostID
	Reader       bool          // watches the platform
	SinceRead    time.Duration // since the newest platform read in the data centre that is known; -1 for never
	SinceContact map[string]time.Duration
	LastRefusal  resultcode.Code
	Conflict     uint64 // version of which two contents were seen, 0 when none
	KeyID        string // key that signed the bundle in force
	// KeyNotAfter is the end of validity of that key, zero for none. A host that starts later refuses the bundle in force,
	// so that a new version has to be signed with another key before.
	KeyNotAfter time.Time
}

// Status returns the status at now.
func (c *Core) Status(now time.Duration) Status {
	s := Status{
		InForce: c.inForce.version(), Staged: c.staged.version(), Reader: c.isReader(),
		SinceRead: -1, SinceContact: map[string]time.Duration{}, LastRefusal: c.lastCode, Conflict: c.conflict,
		KeyID: c.inForce.keyID, KeyNotAfter: c.cfg.Keys[c.inForce.keyID].NotAfter,
	}
	s.CurrentPeer = c.ahead()
	s.Behind = s.CurrentPeer != 0
	if c.reading.everRead {
		s.SinceRead = now - c.reading.lastRead
	}
	for dc, at := range c.contact {
		s.SinceContact[dc] = now - at
	}
	return s
}

// InForce returns the bundle in force, or nil.
func (c *Core) InForce() *bundle.Bundle { return c.inForce.bundle }

// Staged returns the staged bundle, or nil.
func (c *Core) Staged() *bundle.Bundle { return c.staged.bundle }

// Announcement returns what probes carry at now.
func (c *Core) Announcement(now time.Duration) Announcement {
	a := Announcement{
		Host: c.cfg.Self, DataCentre: c.cfg.DataCentre, SinceReadMS: -1, Conflict: c.conflict,
		InForce: c.inForce.version(), InForceDigest: PrefixOf(c.inForce.bundle),
		Staged: c.staged.version(), StagedDigest: PrefixOf(c.staged.bundle),
	}
	if c.reading.everRead {
		a.SinceReadMS = (now - c.reading.lastRead).Milliseconds()
	}
	return a
}

// ahead returns the peer of the data centre with the highest version in force above the own, or 0. Which one is taken
// among equals differs from balancer to balancer, so that the new flows of all that are behind do not go to one.
func (c *Core) ahead() membership.HostID {
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
