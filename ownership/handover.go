package ownership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

// Timing of claims.
const (
	claimRetry     = 200 * time.Millisecond // first wait for an answer; doubles up to claimRetryMax
	claimRetryMax  = time.Second
	copiesLimit    = time.Second            // longest wait for the copies of an owner that is gone
	maxRedirects   = 8                      // redirects after which the next member of the ranking is asked
	inFlightLimit  = time.Second            // a grant that was sent before the map changed arrives within this time
	offerDelay     = 500 * time.Millisecond // an owner that the map does not name waits so long for a claim
	mergeLimit     = 500 * time.Millisecond // longest time without decisions while another owner's exceptions are merged
	retainGranted  = 30 * time.Second       // granted exceptions are kept so long, in case the grant is lost
	grantPartFlows = 1024                   // exceptions in one message; at most 26 KB, below the limit of 64 KiB
	maxPartFlows   = 1 << 20                // exceptions of one grant
)

// phase is the internal state of a bucket.
type phase uint8

const (
	phaseOther     phase = iota // another member is the owner
	phaseOwner                  // this member decides
	phaseAcquiring              // claimed from peer
	phaseReleasing              // granting to peer; waits for traffic to quiesce and exceptions to be collected
	phaseMerging                // owner that claims from peer, another owner; decides nothing until the grant arrives
)

// copyResult tells whether a backup has sent copies of a bucket.
type copyResult uint8

const (
	copiesNone copyResult = iota
	copiesIncomplete
	copiesComplete
)

type bucket struct {
	phase       phase
	peer        membership.HostID // other: owner; acquiring: member that the claim goes to; releasing: claimer
	via         membership.HostID // acquiring: member that named peer as the holder
	denied      membership.HostID // acquiring: member that peer named as the holder, and that is not
	alternative membership.HostID // acquiring: member that holds copies if peer does not own the bucket
	abandoned   bool              // acquiring: the map names another owner now, but a grant may be on its way
	lapsed      bool              // acquiring: this member owned the bucket before it was declared gone
	lost        bool              // acquiring: the previous owner is gone and peer is asked for copies
	inSync      bool
	takenOverAt time.Duration
	since       time.Duration // acquiring, merging: start; owner that the map does not name: since when
	next        time.Duration // next claim or offer
	wait        time.Duration
	redirects   int
	asked       int        // acquiring: members of the ranking that have been asked for the bucket
	copies      copyResult // acquiring: what the members asked so far hold as backup
	publication uint64     // releasing, merging: publication that must be quiesced
	collecting  bool
}

// BackupStore is the store of exception copies that this member holds as a backup.
type BackupStore interface {
	// Get returns the copies of a bucket and whether they are complete.
	Get(b Bucket) (Exceptions, bool)
	// Source returns the member that the copies of a bucket came from, or 0 when there are none.
	Source(b Bucket) membership.HostID
}

// granted keeps what was granted until the new owner must have it.
type granted struct {
	to         membership.HostID
	exceptions Exceptions
	inSync     bool
	until      time.Duration
	release    uint64
}

// release identifies a grant of one bucket. A grant that arrives twice must not make this member an owner again after
// it has passed the bucket on.
type release struct {
	number uint64
	bucket Bucket
}

// Handover moves buckets between this member and others. It is not safe for use by several goroutines.
type Handover struct {
	self       membership.HostID
	copies     BackupStore
	rng        *rand.Rand
	now        time.Duration
	out        []Effect
	current    *Map // nil before the first map
	reachable  map[membership.HostID]bool
	buckets    [BucketCount]bucket
	granted    map[Bucket]granted
	taken      map[release]time.Duration        // grants that were taken, and when to forget them
	parts      map[membership.HostID]Exceptions // of grants whose last message is still to come
	number     uint64
	dirty      bool
	quiesce    bool
	nextForget time.Duration
	idle       bool // no bucket waits for anything, so that a tick need not look at them
}

// NewHandover returns a handover that owns nothing.
func NewHandover(self membership.HostID, copies BackupStore, rng *rand.Rand) *Handover {
	return &Handover{
		self: self, copies: copies, rng: rng, granted: make(map[Bucket]granted), taken: make(map[release]time.Duration),
		parts: make(map[membership.HostID]Exceptions),
	}
}

// Handle applies an event at time now and returns the effects.
func (h *Handover) Handle(now time.Duration, e Event) []Effect {
	h.now, h.out, h.dirty, h.quiesce = max(h.now, now), nil, false, false
	switch e := e.(type) {
	case MapChanged:
		h.setMap(e.Map, e.Reachable)
	case ClaimReceived:
		h.claimed(e.From, e.Buckets, e.Denied)
	case GrantReceived:
		h.receiveGrant(e.From, &e.Grant)
	case Quiesced:
		h.collect(e.Number)
	case Collected:
		h.sendGranted(&e)
	case Evicted:
		h.lapse()
	case Tick:
		if h.idle {
			h.forgetGranted()
			return nil
		}
	}
	h.expire()
	h.send()
	h.idle = !h.waiting()
	if h.dirty {
		h.number++
		for b := range h.buckets {
			if k := &h.buckets[b]; (k.phase == phaseReleasing || k.phase == phaseMerging) && k.publication == 0 {
				k.publication = h.number
			}
		}
		h.emit(Publish{Number: h.number, Quiesce: h.quiesce})
	}
	return h.out
}

// States returns the bucket states to publish.
func (h *Handover) States() *[BucketCount]BucketState {
	var states [BucketCount]BucketState
	for b := range h.buckets {
		states[b] = h.buckets[b].state()
	}
	return &states
}

func (k *bucket) state() BucketState {
	switch k.phase {
	case phaseOwner:
		return BucketState{Role: RoleOwner, InSync: k.inSync, TakenOverAt: k.takenOverAt}
	case phaseMerging:
		return BucketState{Role: RoleAcquiring}
	case phaseAcquiring:
		if k.abandoned {
			return BucketState{Role: RoleForward, Peer: k.alternative}
		}
		if k.lost {
			return BucketState{Role: RoleAcquiring}
		}
		return BucketState{Role: RoleAcquiring, Peer: k.peer}
	}
	return BucketState{Role: RoleForward, Peer: k.peer}
}

// Owned returns the number of buckets that this member still has to answer for. A leaving member stops at 0.
func (h *Handover) Owned() int {
	n := 0
	for b := range h.buckets {
		switch h.buckets[b].phase {
		case phaseOwner, phaseReleasing, phaseMerging:
			n++
		}
	}
	return n
}

// Pending returns the number of buckets that wait for a grant.
func (h *Handover) Pending() int {
	n := 0
	for b := range h.buckets {
		if h.buckets[b].phase == phaseAcquiring {
			n++
		}
	}
	return n
}

func (h *Handover) emit(e Effect) { h.out = append(h.out, e) }

// own makes this member the owner of a bucket. takenOver is the time of an unplanned takeover, or 0.
func (h *Handover) own(k *bucket, inSync bool, takenOver time.Duration) {
	*k = bucket{phase: phaseOwner, inSync: inSync, takenOverAt: takenOver}
	h.dirty = true
}

func (h *Handover) acquire(k *bucket, from, alternative membership.HostID, lost bool) {
	*k = bucket{
		phase: phaseAcquiring, peer: from, alternative: alternative, lost: lost,
		since: h.now, next: h.now, wait: claimRetry,
	}
	h.dirty = true
}

// merge starts to take a bucket over from another owner that this one meets after a partition. Both know flows that the
// other does not, so this member stops deciding before the other one does.
func (h *Handover) merge(k *bucket, from membership.HostID) {
	*k = bucket{phase: phaseMerging, peer: from, inSync: k.inSync, takenOverAt: k.takenOverAt, since: h.now}
	h.dirty, h.quiesce = true, true
}

func (h *Handover) release(k *bucket, to membership.HostID) {
	*k = bucket{phase: phaseReleasing, peer: to, inSync: k.inSync, takenOverAt: k.takenOverAt}
	h.dirty, h.quiesce = true, true
}

// send sends the claims and offers that are due, one message for each member.
func (h *Handover) send() {
	type claim struct{ to, denied membership.HostID }
	claims := make(map[claim][]Bucket)
	offers := make(map[membership.HostID][]Bucket)
	// One jitter for all buckets: with one each, the repetitions of a claim for thousands of buckets would spread over
	// thousands of messages, each with its own publication.
	jitter := h.rng.Float64()
	for b := range h.buckets {
		k := &h.buckets[b]
		if h.now < k.next {
			continue
		}
		switch {
		case k.phase == phaseAcquiring && !k.abandoned, k.phase == phaseMerging && k.collecting:
			c := claim{k.peer, k.denied}
			claims[c] = append(claims[c], Bucket(b))
		case k.phase == phaseOwner && k.since > 0:
			to := h.current.Owner(Bucket(b))
			if !h.reachable[to] {
				continue
			}
			offers[to] = append(offers[to], Bucket(b))
		default:
			continue
		}
		k.wait = min(max(2*k.wait, claimRetry), claimRetryMax)
		k.next = h.now + k.wait/2 + time.Duration(jitter*float64(k.wait/2))
	}
	ordered := slices.SortedFunc(maps.Keys(claims), func(x, y claim) int {
		return cmp.Or(cmp.Compare(x.to, y.to), cmp.Compare(x.denied, y.denied))
	})
	for _, c := range ordered {
		h.emit(SendClaim{To: c.to, Buckets: claims[c], Denied: c.denied})
	}
	for _, to := range sortedIDs(offers) {
		h.emit(SendGrant{To: to, Grant: Grant{Result: Offer, Buckets: offers[to]}})
	}
}

func sortedIDs[V any](m map[membership.HostID]V) []membership.HostID {
	ids := make([]membership.HostID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[membership.HostID])
	return ids
}

// expire ends waits that have lasted too long and drops what was kept of old grants.
func (h *Handover) expire() {
	for b := range h.buckets {
		k := &h.buckets[b]
		if k.phase == phaseAcquiring && k.lost && h.now-k.since >= copiesLimit {
			h.own(k, false, h.now)
		}
		if k.phase == phaseAcquiring && k.abandoned && h.now-k.since >= inFlightLimit {
			*k = bucket{peer: k.alternative}
		}
		if k.phase == phaseMerging && h.now-k.since >= mergeLimit {
			h.own(k, k.inSync, k.takenOverAt)
		}
	}
	h.forgetGranted()
}

// forgetGranted drops old grants, looking at them once a second: a large handover leaves thousands.
func (h *Handover) forgetGranted() {
	if h.now < h.nextForget {
		return
	}
	h.nextForget = h.now + time.Second
	for b, g := range h.granted {
		if h.now >= g.until {
			delete(h.granted, b)
		}
	}
	for r, until := range h.taken {
		if h.now >= until {
			delete(h.taken, r)
		}
	}
}

// waiting reports whether a bucket waits for an answer, a claim or its release.
func (h *Handover) waiting() bool {
	for b := range h.buckets {
		k := &h.buckets[b]
		if k.phase >= phaseAcquiring || k.since > 0 {
			return true
		}
	}
	return false
}
