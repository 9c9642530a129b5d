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

// Protocol timing. A member that dies is declared gone after the wait for the next ping to it, two ack timeouts and
// the suspicion time.
const (
	ProbeInterval  = 250 * time.Millisecond
	AckTimeout     = 150 * time.Millisecond
	SuspicionTime  = time.Second
	IndirectProbes = 2

	contactInterval = 2 * time.Second // between pings to hosts that are not live members, and to other data centres
	refreshLimit    = time.Second     // after a pause, how long to wait for a peer before going on alone
	goneRetention   = 10 * time.Minute
	maxRemote       = 2048 // members of other data centres; bounds memory against a wrong host list
)

// Config describes the local member.
type Config struct {
	Self  Member           // Incarnation should be the wall clock at start, so that a restart raises it
	Seeds []netip.AddrPort // probe addresses to contact until they are members
	Clock *timeline.Clock  // stamps messages; may be nil
}

// member is what the core knows of one member.
type member struct {
	Member
	announced State // what the member said last, without suspicion
	suspected bool
	expires   time.Duration // end of the suspicion
	contested bool          // suspected only because another member says that it is gone
	pings     int           // sent while contested
	goneAt    time.Duration

	returned   bool // it was gone and came back, last at returnedAt
	returnedAt time.Duration
	misses     int // failed samples of a member of another data centre
}

// Core keeps the membership as one balancer sees it. It is not safe for use by several goroutines.
type Core struct {
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	out    []Effect
	self   *member
	local  LocalChanged
	owners []HostID

	members map[HostID]*member // of this data centre, without self
	remote  map[HostID]*member // of other data centres
	order   []HostID           // probe order
	next    int                // position in order

	candidates []Candidate
	contact    int // position in the list of contacts
	sequence   uint64
	probes     []*probe
	relays     map[uint64]relay
	gossip     map[HostID]int // transmissions left of the update about a member

	nextProbe, nextContact time.Duration
	lastHeard              time.Duration
	wokeAt                 time.Duration
	lastChange             time.Duration
	digest                 uint64 // cached viewDigest, 0 when it must be computed
	sync                   syncState
	refreshUntil           time.Duration // 0 when no refresh is under way
	rejoins                []time.Duration
	holdUntil              time.Duration
}

// New returns a core that starts at time now.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Core {
	c := &Core{
		cfg: cfg, rng: rng, now: now,
		members: make(map[HostID]*member), remote: make(map[HostID]*member),
		relays: make(map[uint64]relay), gossip: make(map[HostID]int),
		nextProbe: now, nextContact: now, lastHeard: now, wokeAt: now - refreshLimit,
	}
	cfg.Self.ID = NewHostID(cfg.Self.Name)
	c.self = &member{Member: cfg.Self, announced: cfg.Self.State}
	c.local = LocalChanged{State: cfg.Self.State, LastPlatformRead: -1}
	return c
}

// Handle applies an event at time now, which never goes back, and returns the effects.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.now, c.out = max(c.now, now), nil
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
		c.wake()
	}
	c.updateOwners()
	return c.out
}

// NextTick returns the time at which the next Tick has work to do.
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
	if c.refreshUntil > 0 {
		at = min(at, c.refreshUntil)
	}
	return at
}

// Self returns the local member.
func (c *Core) Self() Member { return c.self.Member }

// Members returns the known members of this data centre, with the local one, in ascending order of ID.
func (c *Core) Members() []Member {
	all := []Member{c.self.Member}
	for _, m := range c.members {
		all = append(all, m.Member)
	}
	return sorted(all)
}

// Remote returns the known members of other data centres in ascending order of ID.
func (c *Core) Remote() []Member {
	var all []Member
	for _, m := range c.remote {
		all = append(all, m.Member)
	}
	return sorted(all)
}

// Owners returns the members of this data centre that own buckets, in ascending order of ID.
func (c *Core) Owners() []HostID { return slices.Clone(c.owners) }

func sorted(all []Member) []Member {
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

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
		c.contactAbsent()
		c.sampleRemote()
		c.forget()
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

// viewDigest summarizes the incarnations and states of this data centre, so that two members notice that their views
// differ although every update has been retransmitted as often as it may be.
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

// forget drops members that have been gone for long. Until then their incarnation is kept, so that late messages of
// theirs are refused.
func (c *Core) forget() {
	for _, all := range []map[HostID]*member{c.members, c.remote} {
		for id, m := range all {
			if m.announced == Gone && c.now-m.goneAt > goneRetention {
				delete(all, id)
				delete(c.gossip, id)
			}
		}
	}
}
