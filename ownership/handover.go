package ownership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

// Timing of claims and bounds of grants.
const (
	claimRetryMin   = 200 * time.Millisecond // first delay before a claim is repeated; doubles up to claimRetryMax
	claimRetryMax   = time.Second
	copiesTimeout   = time.Second            // maximum wait for the copies of a failed owner
	maxRedirects    = 8                      // redirects after which the next member in the ranking is asked
	inFlightTimeout = time.Second            // maximum time in flight of a grant sent before the map changed
	offerDelay      = 500 * time.Millisecond // time that an owner which the map does not name waits for a claim before it offers
	mergeTimeout    = 500 * time.Millisecond // maximum time without new decisions while another owner's exceptions are merged
	grantRetention  = 30 * time.Second       // retention of granted exceptions, in case the grant is lost
	maxMessageFlows = 1024                   // exceptions in one message; at most 26 KB, below the message limit of 64 KiB
	maxGrantFlows   = 1 << 20                // exceptions in one grant
)

// phase is the internal state of a bucket in the handover protocol.
type phase uint8

const (
	phaseNotOwner  phase = iota // another member is the owner
	phaseOwner                  // this member is the owner
	phaseAcquiring              // claimed from peer
	phaseReleasing              // being granted to peer; waits until traffic is quiesced and the exceptions are collected
	phaseMerging                // owner that claims from peer, a second owner; makes no new decisions until the grant arrives
)

// copyResult tells whether a backup has sent copies of a bucket, and whether they were complete.
type copyResult uint8

const (
	copiesNone copyResult = iota
	copiesIncomplete
	copiesComplete
)

type bucket struct {
	phase        phase
	peer         membership.HostID // not owner: owner; acquiring, merging: member that the claim is sent to; releasing: claimer
	redirectedBy membership.HostID // acquiring: member that redirected to peer
	denied       membership.HostID // acquiring: member that peer redirected to and that does not hold the bucket
	fallback     membership.HostID // acquiring: backup to ask if peer has failed; once abandoned, the owner in the map
	abandoned    bool              // acquiring: the map now names another owner, but a grant may still be in flight
	evicted      bool              // acquiring: this member owned the bucket when it was declared gone
	ownerLost    bool              // acquiring: the previous owner has failed and peer is asked for its copies
	inSync       bool
	takenOverAt  time.Duration
	waitingSince time.Duration // start of acquiring or merging, or of the wait of an owner that the map does not name
	nextSend     time.Duration // time of the next claim or offer
	retryDelay   time.Duration
	redirects    int
	membersAsked int        // acquiring: number of members in the ranking that have been asked
	copiesFound  copyResult // acquiring: best copies that the members asked so far have sent
	publication  uint64     // releasing, merging: publication that traffic must be quiesced to
	collecting   bool
}

// BackupStore holds the exception copies for which this member is the backup.
type BackupStore interface {
	// Get returns the copies of a bucket and whether they are complete.
	Get(b Bucket) (Exceptions, bool)
	// Source returns the member that sent the copies of a bucket, or 0 if there are none.
	Source(b Bucket) membership.HostID
}

// sentGrant retains a granted bucket until the new owner has confirmed it or grantRetention has passed.
type sentGrant struct {
	to         membership.HostID
	exceptions Exceptions
	inSync     bool
	expiresAt  time.Duration
	release    uint64
}

// grantKey identifies the grant of one bucket. A duplicate grant must not make this member the owner again after it has
// passed the bucket on.
type grantKey struct {
	release uint64
	bucket  Bucket
}

// Handover moves ownership of buckets between this member and others. It is not safe for concurrent use.
type Handover struct {
	self            membership.HostID
	copies          BackupStore
	rng             *rand.Rand
	now             time.Duration
	effects         []Effect
	currentMap      *Map // nil until the first map is set
	reachable       map[membership.HostID]bool
	buckets         [BucketCount]bucket
	sentGrants      map[Bucket]sentGrant
	acceptedGrants  map[grantKey]time.Duration       // accepted grants and when they expire
	partialGrants   map[membership.HostID]Exceptions // exceptions of grants whose last message has not arrived
	lastPublication uint64
	dirty           bool
	quiesce         bool
	nextGrantExpiry time.Duration
	idle            bool // no bucket waits for anything, so that a tick can skip them all
}

// NewHandover returns a handover of a member that owns no buckets.
func NewHandover(self membership.HostID, copies BackupStore, rng *rand.Rand) *Handover {
	return &Handover{
		self: self, copies: copies, rng: rng, sentGrants: make(map[Bucket]sentGrant), acceptedGrants: make(map[grantKey]time.Duration),
		partialGrants: make(map[membership.HostID]Exceptions),
	}
}

// Handle processes an event at time now and returns its effects.
func (h *Handover) Handle(now time.Duration, e Event) []Effect {
	h.now, h.effects, h.dirty, h.quiesce = max(h.now, now), nil, false, false
	switch e := e.(type) {
	case MapChanged:
		h.setMap(e.Map, e.Reachable)
	case ClaimReceived:
		h.handleClaim(e.From, e.Buckets, e.Denied)
	case GrantReceived:
		h.handleGrant(e.From, &e.Grant)
	case Quiesced:
		h.collectReleased(e.Number)
	case Collected:
		h.grantCollected(&e)
	case Evicted:
		h.handleEviction()
	case Tick:
		if h.idle {
			h.expireGrants()
			return nil
		}
	}
	h.expireWaits()
	h.sendClaimsAndOffers()
	h.idle = !h.waiting()
	if h.dirty {
		h.lastPublication++
		for b := range h.buckets {
			if k := &h.buckets[b]; (k.phase == phaseReleasing || k.phase == phaseMerging) && k.publication == 0 {
				k.publication = h.lastPublication
			}
		}
		h.emit(Publish{Number: h.lastPublication, Quiesce: h.quiesce})
	}
	return h.effects
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
			return BucketState{Role: RoleForward, Peer: k.fallback}
		}
		if k.ownerLost {
			return BucketState{Role: RoleAcquiring}
		}
		return BucketState{Role: RoleAcquiring, Peer: k.peer}
	}
	return BucketState{Role: RoleForward, Peer: k.peer}
}

// Owned returns the number of buckets that this member owns or has not finished releasing. A leaving member can stop
// when it is 0.
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

// Pending returns the number of buckets that are being acquired.
func (h *Handover) Pending() int {
	n := 0
	for b := range h.buckets {
		if h.buckets[b].phase == phaseAcquiring {
			n++
		}
	}
	return n
}

func (h *Handover) emit(e Effect) { h.effects = append(h.effects, e) }

// becomeOwner makes this member the owner of a bucket. takenOver is the time of an unplanned takeover, 0 for none.
func (h *Handover) becomeOwner(k *bucket, inSync bool, takenOver time.Duration) {
	*k = bucket{phase: phaseOwner, inSync: inSync, takenOverAt: takenOver}
	h.dirty = true
}

func (h *Handover) startAcquire(k *bucket, from, fallback membership.HostID, ownerLost bool) {
	*k = bucket{
		phase: phaseAcquiring, peer: from, fallback: fallback, ownerLost: ownerLost,
		waitingSince: h.now, nextSend: h.now, retryDelay: claimRetryMin,
	}
	h.dirty = true
}

// startMerge starts to take over a bucket from a second owner, which is found after a partition. Each of the two knows
// flows that the other does not, so this member stops making decisions before the other does.
func (h *Handover) startMerge(k *bucket, from membership.HostID) {
	*k = bucket{phase: phaseMerging, peer: from, inSync: k.inSync, takenOverAt: k.takenOverAt, waitingSince: h.now}
	h.dirty, h.quiesce = true, true
}

func (h *Handover) startRelease(k *bucket, to membership.HostID) {
	*k = bucket{phase: phaseReleasing, peer: to, inSync: k.inSync, takenOverAt: k.takenOverAt}
	h.dirty, h.quiesce = true, true
}

// sendClaimsAndOffers sends the claims and offers that are due, batched by recipient.
func (h *Handover) sendClaimsAndOffers() {
	type claim struct{ to, denied membership.HostID }
	claims := make(map[claim][]Bucket)
	offers := make(map[membership.HostID][]Bucket)
	// All buckets share one jitter value: with one each, the retries of a claim for thousands of buckets would spread over
	// thousands of messages, each with its own publication.
	jitter := h.rng.Float64()
	for b := range h.buckets {
		k := &h.buckets[b]
		if h.now < k.nextSend {
			continue
		}
		switch {
		case k.phase == phaseAcquiring && !k.abandoned, k.phase == phaseMerging && k.collecting:
			c := claim{k.peer, k.denied}
			claims[c] = append(claims[c], Bucket(b))
		case k.phase == phaseOwner && k.waitingSince > 0:
			to := h.currentMap.Owner(Bucket(b))
			if !h.reachable[to] {
				continue
			}
			offers[to] = append(offers[to], Bucket(b))
		default:
			continue
		}
		k.retryDelay = min(max(2*k.retryDelay, claimRetryMin), claimRetryMax)
		k.nextSend = h.now + k.retryDelay/2 + time.Duration(jitter*float64(k.retryDelay/2))
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

// expireWaits ends the waits that have timed out and drops expired grants.
func (h *Handover) expireWaits() {
	for b := range h.buckets {
		k := &h.buckets[b]
		if k.phase == phaseAcquiring && k.ownerLost && h.now-k.waitingSince >= copiesTimeout {
			h.becomeOwner(k, false, h.now)
		}
		if k.phase == phaseAcquiring && k.abandoned && h.now-k.waitingSince >= inFlightTimeout {
			*k = bucket{peer: k.fallback}
		}
		if k.phase == phaseMerging && h.now-k.waitingSince >= mergeTimeout {
			h.becomeOwner(k, k.inSync, k.takenOverAt)
		}
	}
	h.expireGrants()
}

// expireGrants drops expired grants. It checks them only once a second, since a large handover leaves thousands.
func (h *Handover) expireGrants() {
	if h.now < h.nextGrantExpiry {
		return
	}
	h.nextGrantExpiry = h.now + time.Second
	for b, g := range h.sentGrants {
		if h.now >= g.expiresAt {
			delete(h.sentGrants, b)
		}
	}
	for r, until := range h.acceptedGrants {
		if h.now >= until {
			delete(h.acceptedGrants, r)
		}
	}
}

// waiting reports whether any bucket waits for an answer, a claim or its release.
func (h *Handover) waiting() bool {
	for b := range h.buckets {
		k := &h.buckets[b]
		if k.phase >= phaseAcquiring || k.waitingSince > 0 {
			return true
		}
	}
	return false
}
