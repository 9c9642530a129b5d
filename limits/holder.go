package limits

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// renewAfter leaves room for two lost renewals in one Term.
	renewAfter = LeaseTerm / 3
	// idleAfter is how long a lease is kept without need while nobody else waits for it.
	idleAfter = 200 * time.Millisecond
	// askGap is the least time between two requests for one resource, except for slots that are given up. urgentGap is the
	// same for urgent work that waits.
	askGap    = 10 * time.Millisecond
	urgentGap = 2 * time.Millisecond
	// contendedFor is how long a holder takes a resource to be contended after its ledger said so. It does not ask there
	// while it can ask elsewhere, and keeps nothing idle.
	contendedFor = 20 * time.Millisecond
	// turnAfter is how long waiting work asks the same resources: long enough for a recalled slot to arrive.
	turnAfter = 25 * time.Millisecond
)

// Holder keeps the leases of one balancer. It is safe for use by several goroutines.
type Holder struct {
	mu          sync.Mutex
	host        membership.HostID
	incarnation uint64
	sequence    uint64
	leases      map[ResourceID]*lease
	groups      map[GroupID]*group
	order       []*group // in the order of creation, so that a seeded run repeats
}

// GroupID names resources that can stand in for each other, such as the slots of all targets of a service.
type GroupID uint64

// group holds the leases that waiting work can use.
type group struct {
	leases  []*lease
	waiting [classCount]int
	turn    int
	turned  time.Duration
}

// Resource describes to a Holder what it may lease.
type Resource struct {
	ID    ResourceID
	Group GroupID
	Limit uint32
	// ReservedUrgent is how many slots bulk work never gets.
	ReservedUrgent uint32
	Ledger         membership.HostID // member that keeps the ledger; 0 when none is known
}

type lease struct {
	Resource
	slots     slots // usable until validTil
	validTil  time.Duration
	inUse     [classCount]uint32
	waiting   [classCount]uint32
	peak      uint32 // most slots needed since peakAt
	peakAt    time.Duration
	promised  slots  // of the newest request
	asked     uint32 // Need of the newest request
	askedUrg  uint32
	sentAt    time.Duration
	accepted  Grant
	pending   []pending
	contended time.Duration // when the ledger last said that others wait; 0 when they do not
	fresh     bool          // nothing has been sent to this ledger yet
}

// pending is a request whose grant may still arrive.
type pending struct {
	sequence uint64
	sentAt   time.Duration
	most     slots // the promise of later requests
}

// NewHolder returns a holder without leases.
func NewHolder(host membership.HostID, incarnation uint64) *Holder {
	return &Holder{host: host, incarnation: incarnation, leases: make(map[ResourceID]*lease), groups: make(map[GroupID]*group)}
}

// Set adds a resource or changes its limit or ledger. Leases of a former ledger end with their term. The group of a
// resource does not change.
func (h *Holder) Set(r Resource) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[r.ID]
	if l == nil {
		l = &lease{}
		h.leases[r.ID] = l
		g := h.groups[r.Group]
		if g == nil {
			// Holders start to ask at different resources, so that they do not all ask the same one.
			g = &group{turn: int(uint64(h.host) % (1 << 30))}
			h.groups[r.Group] = g
			h.order = append(h.order, g)
		}
		g.leases = append(g.leases, l)
	}
	if l.Ledger != r.Ledger {
		l.pending, l.fresh = nil, true
	}
	l.Resource = r
}

// Remove forgets a resource that is no longer in the bundle, once nothing uses it. It reports whether it did.
func (h *Holder) Remove(id ResourceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[id]
	if l == nil || l.used().all > 0 {
		return l == nil
	}
	delete(h.leases, id)
	g := h.groups[l.Group]
	g.leases = slices.DeleteFunc(g.leases, func(x *lease) bool { return x == l })
	return true
}

// used returns the slots in use.
func (l *lease) used() slots { return slots{l.inUse[Urgent] + l.inUse[Bulk], l.inUse[Bulk]} }

// usable returns the leased slots; a lease that has ended has none.
func (l *lease) usable(now time.Duration) slots {
	if now >= l.validTil {
		return slots{}
	}
	return l.slots
}

func (l *lease) free(now time.Duration, c Class) uint32 {
	usable, used := l.usable(now), l.used()
	free := minus(usable.all, used.all)
	if c == Bulk {
		free = min(free, minus(usable.bulk, used.bulk))
	}
	return free
}

// Free returns how many slots can be taken at time now.
func (h *Holder) Free(now time.Duration, r ResourceID, c Class) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[r]; l != nil {
		return int(l.free(now, c))
	}
	return 0
}

// Acquire takes a slot and reports whether one was free. The time must be read after any pause of the caller: a lease
// that ended during a pause is gone.
func (h *Holder) Acquire(now time.Duration, r ResourceID, c Class) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[r]
	if l == nil || l.free(now, c) == 0 {
		return false
	}
	l.inUse[c]++
	return true
}

// Adopt counts work that already runs at the target, such as a flow that came from another balancer. It needs no free
// slot and is given back with Release.
func (h *Holder) Adopt(r ResourceID, c Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[r]; l != nil {
		l.inUse[c]++
	}
}

// Release gives back a slot that Acquire or Adopt took.
func (h *Holder) Release(_ time.Duration, r ResourceID, c Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[r]; l != nil {
		l.inUse[c] = minus(l.inUse[c], 1)
	}
}

// SetWaiting tells how many pieces of work wait for a slot of the group.
func (h *Holder) SetWaiting(_ time.Duration, id GroupID, c Class, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[id]; g != nil {
		g.waiting[c] = max(0, waiting)
	}
}

// spread divides the waiting work over the resources to ask: first those where nobody else waits, then the others, and
// urgent work before bulk work.
func (g *group) spread(now time.Duration) {
	for _, l := range g.leases {
		l.waiting = [classCount]uint32{}
	}
	if len(g.leases) == 0 || g.waiting == [classCount]int{} {
		return
	}
	if now-g.turned >= turnAfter {
		g.turn, g.turned = g.turn+1, now
	}
	left := g.waiting
	for _, contended := range []bool{false, true} {
		for given := true; given; {
			given = false
			for i := range g.leases {
				l := g.leases[(i+g.turn)%len(g.leases)]
				if l.isContended(now) == contended && l.need() < l.Limit {
					given = l.take(&left) || given
				}
			}
		}
	}
}

// take adds one piece of the remaining work and reports whether there was any.
func (l *lease) take(left *[classCount]int) bool {
	for c := range left {
		if left[c] > 0 {
			left[c]--
			l.waiting[c]++
			return true
		}
	}
	return false
}

func (l *lease) isContended(now time.Duration) bool {
	return l.contended > 0 && now-l.contended < contendedFor
}

// HandleGrant takes a grant from the ledger at host from.
func (h *Holder) HandleGrant(now time.Duration, from membership.HostID, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[g.Resource]
	if l == nil || from != l.Ledger || g.To != h.host || g.Incarnation != h.incarnation || !l.isNews(g) {
		return
	}
	for _, p := range l.pending {
		if p.sequence != g.Sequence {
			continue
		}
		l.accepted, l.contended = g, 0
		if g.Contended {
			l.contended = now
		}
		l.slots, l.validTil = p.most.min(slots{g.Slots, g.BulkSlots}), p.sentAt+LeaseTerm
	}
}

// isNews reports whether a grant is later than the one accepted last.
func (l *lease) isNews(g Grant) bool {
	return g.Sequence > l.accepted.Sequence || (g.Sequence == l.accepted.Sequence && g.Round > l.accepted.Round)
}

// Tick returns the requests to send. It is due every 10 ms, and at once after a Grant, a Release or a Wait that changes
// what is needed: a slot that waits for the next tick does no work.
func (h *Holder) Tick(now time.Duration) []OutgoingRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []OutgoingRequest
	for _, g := range h.order {
		g.spread(now)
		for _, l := range g.leases {
			if l.Ledger != 0 && l.due(now) {
				out = append(out, OutgoingRequest{To: l.Ledger, Request: h.request(now, g, l)})
			}
		}
	}
	return out
}

func (l *lease) needUrgent() uint32 { return l.inUse[Urgent] + l.waiting[Urgent] }

func (l *lease) needBulk() uint32 { return l.inUse[Bulk] + l.waiting[Bulk] }

func (l *lease) need() uint32 { return l.needUrgent() + l.needBulk() }

// keep returns the promise of a request that is sent now: what is in use, and as much of the rest of the lease as was
// needed lately. Nothing idle is kept while others wait.
func (l *lease) keep(now time.Duration) slots {
	need, contended := l.need(), l.isContended(now)
	if need >= l.peak || now-l.peakAt >= idleAfter || contended {
		l.peak, l.peakAt = need, now
	}
	most := slots{l.peak, l.peak}
	if contended && l.ReservedUrgent > 0 {
		most.bulk = l.needBulk()
	}
	return l.used().max(l.usable(now).min(most))
}

func (l *lease) due(now time.Duration) bool {
	keep, need, usable := l.keep(now), l.need(), l.usable(now)
	counted := l.promised.max(usable) // by the ledger
	givesUp := keep.all < counted.all
	switch {
	case l.fresh:
		return need > 0 || usable.all > 0
	case givesUp && (l.isContended(now) || usable.all < l.promised.all):
		return true
	case now-l.sentAt < urgentGap:
		return false
	case need > usable.all && l.needUrgent() > l.askedUrg:
		return true
	case now-l.sentAt < askGap:
		return false
	case need > usable.all && need > l.asked, l.needBulk() > usable.bulk && l.needBulk() > l.asked-l.askedUrg:
		return true
	case keep.bulk < counted.bulk && (l.isContended(now) || usable.bulk < l.promised.bulk):
		return true
	case l.asked > usable.all && need <= usable.all, l.needUrgent() < l.askedUrg:
		return true // the ledger must not move slots for a need that is gone, or leave bulk work a slot that it takes for urgent
	}
	return now-l.sentAt >= renewAfter && (need > 0 || l.promised.all > 0 || l.asked > 0)
}

func (h *Holder) request(now time.Duration, g *group, l *lease) Request {
	h.sequence++
	keep := l.keep(now)
	l.slots = l.slots.min(keep)
	l.sentAt, l.promised, l.asked, l.askedUrg, l.fresh = now, keep, l.need(), l.needUrgent(), false
	live := l.pending[:0]
	for _, p := range l.pending {
		if now < p.sentAt+LeaseTerm {
			p.most = p.most.min(keep)
			live = append(live, p)
		}
	}
	l.pending = append(live, pending{sequence: h.sequence, sentAt: now, most: slots{^uint32(0), ^uint32(0)}})
	return Request{
		Resource: l.ID, From: h.host, Incarnation: h.incarnation, Sequence: h.sequence,
		Keep: keep.all, KeepBulk: keep.bulk, Need: l.asked, NeedUrgent: l.askedUrg, Held: g.held(now),
	}
}

// held returns the slots of all leases of the group.
func (g *group) held(now time.Duration) uint32 {
	var sum uint32
	for _, l := range g.leases {
		sum += l.usable(now).all
	}
	return sum
}
