package limits

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// renewInterval allows for two lost renewals in one LeaseTerm.
	renewInterval = LeaseTerm / 3
	// idleTimeout is how long unneeded slots are kept while no other holder needs them.
	idleTimeout = 200 * time.Millisecond
	// minRequestInterval is the minimum time between two requests for one resource, except for requests that return slots.
	// minUrgentInterval is the same for waiting urgent work.
	minRequestInterval = 10 * time.Millisecond
	minUrgentInterval  = 2 * time.Millisecond
	// contentionTimeout is how long a holder considers a resource contended after its ledger reported it. Meanwhile it prefers
	// to request slots of other resources, and keeps no idle slots.
	contentionTimeout = 20 * time.Millisecond
	// rotationInterval is how long waiting work requests slots of the same resources, so that a recalled slot can arrive.
	rotationInterval = 25 * time.Millisecond
)

// Holder keeps the leases of one balancer. It is safe for use by several goroutines.
type Holder struct {
	mu          sync.Mutex
	host        membership.HostID
	incarnation uint64
	sequence    uint64
	leases      map[ResourceID]*lease
	groups      map[GroupID]*group
	order       []*group // in the order of creation, so that runs with the same seed are identical
}

// GroupID identifies a set of interchangeable resources, such as the slots of all targets of a service.
type GroupID uint64

// group is the set of leases of interchangeable resources. Waiting work can use any of them.
type group struct {
	leases     []*lease
	waiting    [classCount]int
	firstLease int
	rotatedAt  time.Duration
}

// Resource describes a resource that a Holder may lease.
type Resource struct {
	ID    ResourceID
	Group GroupID
	Limit uint32
	// ReservedUrgent is the number of slots that bulk work never gets.
	ReservedUrgent uint32
	Ledger         membership.HostID // member that owns the ledger; 0 when none is known
}

type lease struct {
	Resource
	slots           slots // usable until validUntil
	validUntil      time.Duration
	inUse           [classCount]uint32
	waiting         [classCount]uint32
	peakNeed        uint32 // most slots needed since peakNeedAt
	peakNeedAt      time.Duration
	committed       slots  // Keep and KeepBulk of the newest request
	requested       uint32 // Need of the newest request
	requestedUrgent uint32
	sentAt          time.Duration
	lastGrant       Grant
	pending         []pendingRequest
	contendedAt     time.Duration // when the ledger last reported contention; 0 without contention
	unsent          bool          // no request has been sent to this ledger yet
}

// pendingRequest is a request whose grant may still arrive.
type pendingRequest struct {
	sequence uint64
	sentAt   time.Duration
	maxSlots slots // lowest commitment of later requests
}

// NewHolder returns a holder without leases.
func NewHolder(host membership.HostID, incarnation uint64) *Holder {
	return &Holder{host: host, incarnation: incarnation, leases: make(map[ResourceID]*lease), groups: make(map[GroupID]*group)}
}

// Set adds a resource or changes its limit or ledger. Leases of a previous ledger end with their term. The group of a
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
			// Holders start at different resources, so that they do not all request the same one.
			g = &group{firstLease: int(uint64(h.host) % (1 << 30))}
			h.groups[r.Group] = g
			h.order = append(h.order, g)
		}
		g.leases = append(g.leases, l)
	}
	if l.Ledger != r.Ledger {
		l.pending, l.unsent = nil, true
	}
	l.Resource = r
}

// Remove removes a resource that is no longer in the bundle, unless its slots are in use. It reports whether the resource is
// gone.
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

// usable returns the leased slots, none after the lease has expired.
func (l *lease) usable(now time.Duration) slots {
	if now >= l.validUntil {
		return slots{}
	}
	return l.slots
}

func (l *lease) free(now time.Duration, c Class) uint32 {
	usable, used := l.usable(now), l.used()
	free := saturatingSub(usable.all, used.all)
	if c == Bulk {
		free = min(free, saturatingSub(usable.bulk, used.bulk))
	}
	return free
}

// Free returns how many slots can be acquired at time now.
func (h *Holder) Free(now time.Duration, r ResourceID, c Class) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[r]; l != nil {
		return int(l.free(now, c))
	}
	return 0
}

// Acquire acquires a slot and reports whether one was free. The caller must read now after any pause of its process, because a
// lease may have expired during the pause.
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

// Adopt counts work that already runs at the target, such as a flow taken over from another balancer. It needs no free slot.
// Release ends it.
func (h *Holder) Adopt(r ResourceID, c Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[r]; l != nil {
		l.inUse[c]++
	}
}

// Release releases a slot that Acquire or Adopt counted.
func (h *Holder) Release(_ time.Duration, r ResourceID, c Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[r]; l != nil {
		l.inUse[c] = saturatingSub(l.inUse[c], 1)
	}
}

// SetWaiting sets how many pieces of work wait for a slot of the group.
func (h *Holder) SetWaiting(_ time.Duration, id GroupID, c Class, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[id]; g != nil {
		g.waiting[c] = max(0, waiting)
	}
}

// assignWaiting distributes the waiting work over the resources to request: uncontended resources first, and urgent work
// before bulk work.
func (g *group) assignWaiting(now time.Duration) {
	for _, l := range g.leases {
		l.waiting = [classCount]uint32{}
	}
	if len(g.leases) == 0 || g.waiting == [classCount]int{} {
		return
	}
	if now-g.rotatedAt >= rotationInterval {
		g.firstLease, g.rotatedAt = g.firstLease+1, now
	}
	remaining := g.waiting
	for _, contended := range []bool{false, true} {
		for assigned := true; assigned; {
			assigned = false
			for i := range g.leases {
				l := g.leases[(i+g.firstLease)%len(g.leases)]
				if l.isContended(now) == contended && l.need() < l.Limit {
					assigned = l.takeWaiting(&remaining) || assigned
				}
			}
		}
	}
}

// takeWaiting assigns one piece of the remaining work to the lease and reports whether there was any.
func (l *lease) takeWaiting(remaining *[classCount]int) bool {
	for c := range remaining {
		if remaining[c] > 0 {
			remaining[c]--
			l.waiting[c]++
			return true
		}
	}
	return false
}

func (l *lease) isContended(now time.Duration) bool {
	return l.contendedAt > 0 && now-l.contendedAt < contentionTimeout
}

// HandleGrant applies a grant from the ledger at host from. Outdated grants, and grants from a host that does not own the
// ledger, are ignored.
func (h *Holder) HandleGrant(now time.Duration, from membership.HostID, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[g.Resource]
	if l == nil || from != l.Ledger || g.To != h.host || g.Incarnation != h.incarnation || !l.isNewer(g) {
		return
	}
	for _, p := range l.pending {
		if p.sequence != g.Sequence {
			continue
		}
		l.lastGrant, l.contendedAt = g, 0
		if g.Contended {
			l.contendedAt = now
		}
		l.slots, l.validUntil = p.maxSlots.min(slots{g.Slots, g.BulkSlots}), p.sentAt+LeaseTerm
	}
}

// isNewer reports whether a grant is newer than the last one applied.
func (l *lease) isNewer(g Grant) bool {
	return g.Sequence > l.lastGrant.Sequence || (g.Sequence == l.lastGrant.Sequence && g.Round > l.lastGrant.Round)
}

// Tick returns the requests to send. Callers call it every 10 ms, and at once after a HandleGrant, Release or SetWaiting that
// changes the need, because a slot is idle until the next tick.
func (h *Holder) Tick(now time.Duration) []OutgoingRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []OutgoingRequest
	for _, g := range h.order {
		g.assignWaiting(now)
		for _, l := range g.leases {
			if l.Ledger != 0 && l.requestDue(now) {
				out = append(out, OutgoingRequest{To: l.Ledger, Request: h.newRequest(now, g, l)})
			}
		}
	}
	return out
}

func (l *lease) needUrgent() uint32 { return l.inUse[Urgent] + l.waiting[Urgent] }

func (l *lease) needBulk() uint32 { return l.inUse[Bulk] + l.waiting[Bulk] }

func (l *lease) need() uint32 { return l.needUrgent() + l.needBulk() }

// slotsToKeep returns the commitment of a request that is sent now: the slots in use, and as many other leased slots as were
// recently needed. No idle slots are kept while the resource is contended.
func (l *lease) slotsToKeep(now time.Duration) slots {
	need, contended := l.need(), l.isContended(now)
	if need >= l.peakNeed || now-l.peakNeedAt >= idleTimeout || contended {
		l.peakNeed, l.peakNeedAt = need, now
	}
	wanted := slots{l.peakNeed, l.peakNeed}
	if contended && l.ReservedUrgent > 0 {
		wanted.bulk = l.needBulk()
	}
	return l.used().max(l.usable(now).min(wanted))
}

func (l *lease) requestDue(now time.Duration) bool {
	keep, need, usable := l.slotsToKeep(now), l.need(), l.usable(now)
	outstanding := l.committed.max(usable) // as the ledger counts them
	returnsSlots := keep.all < outstanding.all
	switch {
	case l.unsent:
		return need > 0 || usable.all > 0
	case returnsSlots && (l.isContended(now) || usable.all < l.committed.all):
		return true
	case now-l.sentAt < minUrgentInterval:
		return false
	case need > usable.all && l.needUrgent() > l.requestedUrgent:
		return true
	case now-l.sentAt < minRequestInterval:
		return false
	case need > usable.all && need > l.requested, l.needBulk() > usable.bulk && l.needBulk() > l.requested-l.requestedUrgent:
		return true
	case keep.bulk < outstanding.bulk && (l.isContended(now) || usable.bulk < l.committed.bulk):
		return true
	case l.requested > usable.all && need <= usable.all, l.needUrgent() < l.requestedUrgent:
		return true // the ledger must not move slots for a past need, or leave bulk work a slot that it takes for urgent work
	}
	return now-l.sentAt >= renewInterval && (need > 0 || l.committed.all > 0 || l.requested > 0)
}

func (h *Holder) newRequest(now time.Duration, g *group, l *lease) Request {
	h.sequence++
	keep := l.slotsToKeep(now)
	l.slots = l.slots.min(keep)
	l.sentAt, l.committed, l.requested, l.requestedUrgent, l.unsent = now, keep, l.need(), l.needUrgent(), false
	valid := l.pending[:0]
	for _, p := range l.pending {
		if now < p.sentAt+LeaseTerm {
			p.maxSlots = p.maxSlots.min(keep)
			valid = append(valid, p)
		}
	}
	l.pending = append(valid, pendingRequest{sequence: h.sequence, sentAt: now, maxSlots: slots{^uint32(0), ^uint32(0)}})
	return Request{
		Resource: l.ID, From: h.host, Incarnation: h.incarnation, Sequence: h.sequence,
		Keep: keep.all, KeepBulk: keep.bulk, Need: l.requested, NeedUrgent: l.requestedUrgent, Held: g.held(now),
	}
}

// held returns the number of usable slots of all leases of the group.
func (g *group) held(now time.Duration) uint32 {
	var sum uint32
	for _, l := range g.leases {
		sum += l.usable(now).all
	}
	return sum
}
