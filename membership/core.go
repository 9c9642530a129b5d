package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// Protocol timing. A failed member is declared gone after the wait for the next ping to it, two ack timeouts and the
// suspicion time.
const (
	ProbeInterval  = 250 * time.Millisecond
	AckTimeout     = 150 * time.Millisecond
	SuspicionTime  = time.Second
	IndirectProbes = 2

	contactInterval  = 2 * time.Second // between pings to hosts that are not live members, and to other data centres
	refreshTimeout   = time.Second     // how long to wait for a peer's view after a pause
	goneRetention    = 10 * time.Minute
	maxRemoteMembers = 2048 // members of other data centres; bounds the memory that a wrong host list costs
)

// Config describes the local member.
type Config struct {
	Self  Member           // Incarnation should be the wall-clock time at start, so that a restart raises it
	Seeds []netip.AddrPort // probe addresses to ping until they are members
	Clock *timeline.Clock  // time-stamps messages; may be nil
}

// member is the local record of one member.
type member struct {
	Member
	announced         State // last state that the member announced, without suspicion
	suspected         bool
	expires           time.Duration // end of the suspicion
	verifying         bool          // suspected only because another member reported it gone
	verificationPings int           // pings sent while verifying
	goneAt            time.Duration

	rejoined     bool // it was gone and came back, last at rejoinedAt
	rejoinedAt   time.Duration
	missedProbes int // unanswered probes in a row; only for members of other data centres
}

// Core keeps the membership as one balancer sees it. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	effects []Effect
	self    *member
	local   LocalChanged
	owners  []HostID

	members    map[HostID]*member // of this data centre, without self
	remote     map[HostID]*member // of other data centres
	probeOrder []HostID           // shuffled after each round
	orderIndex int                // next position in probeOrder

	candidates        []Candidate
	contactIndex      int // advances by one with each ping to an absent host
	sequence          uint64
	probes            []*probe
	relays            map[uint64]relay
	transmissionsLeft map[HostID]int // gossip queue: how often the update about a member is still to be sent

	nextProbe, nextContact time.Duration
	lastHeard              time.Duration
	resumedAt              time.Duration
	lastChange             time.Duration
	digest                 uint64 // cached viewDigest, 0 when it must be computed
	sync                   syncState
	refreshDeadline        time.Duration // 0 when no refresh is in progress
	rejoinTimes            []time.Duration
	holdUntil              time.Duration
}

// New returns a core that starts at time now. It takes random choices from rng.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Core {
	c := &Core{
		cfg: cfg, rng: rng, now: now,
		members: make(map[HostID]*member), remote: make(map[HostID]*member),
		relays: make(map[uint64]relay), transmissionsLeft: make(map[HostID]int),
		nextProbe: now, nextContact: now, lastHeard: now, resumedAt: now - refreshTimeout,
	}
	cfg.Self.ID = NewHostID(cfg.Self.Name)
	c.self = &member{Member: cfg.Self, announced: cfg.Self.State}
	c.local = LocalChanged{State: cfg.Self.State, LastPlatformRead: -1}
	return c
}

// Handle applies an event at time now and returns the effects. An earlier time than that of the last event counts as
// that one.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.now, c.effects = max(c.now, now), nil
	switch e := e.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(e.From, &e.Message)
	case HostList:
		c.setCandidates(e.Candidates)
	case LocalChanged:
		c.setLocal(e)
	case PauseDetected:
		c.resume()
	}
	c.updateOwners()
	return c.effects
}

// NextTick returns the time at which the next Tick is due.
func (c *Core) NextTick() time.Duration {
	at := min(c.nextProbe, c.nextContact)
	for _, p := range c.probes {
		at = min(at, p.deadline)
	}
	for _, m := range c.members {
		if m.suspected {
			at = min(at, m.expires)
		}
	}
	if c.refreshDeadline > 0 {
		at = min(at, c.refreshDeadline)
	}
	return at
}

// Self returns the local member.
func (c *Core) Self() Member { return c.self.Member }

// Members returns the known members of this data centre, including the local one, in ascending order of ID.
func (c *Core) Members() []Member {
	all := []Member{c.self.Member}
	for _, m := range c.members {
		all = append(all, m.Member)
	}
	return sortByID(all)
}

// Remote returns the known members of other data centres in ascending order of ID.
func (c *Core) Remote() []Member {
	var all []Member
	for _, m := range c.remote {
		all = append(all, m.Member)
	}
	return sortByID(all)
}

// Owners returns the members of this data centre that own buckets, in ascending order of ID.
func (c *Core) Owners() []HostID { return slices.Clone(c.owners) }

func sortByID(all []Member) []Member {
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) tick() {
	c.expireHold()
	c.expireProbes()
	c.expireSuspicions()
	c.endRefresh()
	if c.now >= c.nextProbe {
		c.nextProbe = max(c.nextProbe+ProbeInterval, c.now)
		c.probeNext()
		c.probeSuspects()
		c.retrySync()
	}
	if c.now >= c.nextContact {
		c.nextContact = c.now + contactInterval
		c.pingAbsentHost()
		c.probeRemoteMember()
		c.removeExpired()
	}
}

func (c *Core) updateOwners() {
	var owners []HostID
	if c.self.State.OwnsBuckets() {
		owners = append(owners, c.self.ID)
	}
	for id, m := range c.members {
		if m.State.OwnsBuckets() {
			owners = append(owners, id)
		}
	}
	slices.Sort(owners)
	if slices.Equal(owners, c.owners) {
		return
	}
	c.owners = owners
	c.emit(ViewChanged{Owners: slices.Clone(owners)})
}

// viewDigest returns a digest of the incarnations and states of this data centre's members. Two members compare it to
// notice that their views differ although every update has used up its retransmissions.
func (c *Core) viewDigest() uint64 {
	if c.digest != 0 {
		return c.digest
	}
	digest := memberDigest(c.self)
	for _, m := range c.members {
		if m.announced != Gone {
			digest += memberDigest(m)
		}
	}
	c.digest = max(digest, 1)
	return c.digest
}

func memberDigest(m *member) uint64 {
	var b [17]byte
	for i := range 8 {
		b[i], b[8+i] = byte(m.ID>>(8*i)), byte(m.Incarnation>>(8*i))
	}
	b[16] = byte(m.announced)
	return xxhash.Sum64(b[:])
}

// removeExpired removes members that have been gone for goneRetention. Until then their incarnation is kept, so that
// delayed messages from them are rejected.
func (c *Core) removeExpired() {
	for _, all := range []map[HostID]*member{c.members, c.remote} {
		for id, m := range all {
			if m.announced == Gone && c.now-m.goneAt > goneRetention {
				delete(all, id)
				delete(c.transmissionsLeft, id)
			}
		}
	}
}
