package limits

import (
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	// renewAfter leaves room for two lost renewals in one Term.
	renewAfter = Term / 3
	// idleAfter is how long a lease is kept without need. Work that comes and goes within it needs no new lease.
	idleAfter = 200 * time.Millisecond
	// askGap is the least time between two requests for one resource, except for returns of recalled slots.
	askGap = 25 * time.Millisecond
)

// Holder keeps the leases of one balancer. It is safe for use by several goroutines.
type Holder struct {
	mu          sync.Mutex
	host        membership.HostID
	incarnation uint64
	sequence    uint64
	leases      map[leaseKey]*lease
	order       []*lease // in the order of creation, so that a seeded run repeats
}

type leaseKey struct {
	resource ResourceID
	class    Class
}

type lease struct {
	key      leaseKey
	ledger   membership.HostID
	slots    uint32 // usable until validTil
	validTil time.Duration
	inUse    uint32
	waiting  uint32
	peak     uint32 // most slots needed since peakAt
	peakAt   time.Duration
	promised uint32 // Keep of the newest request
	asked    uint32 // Want of the newest request
	sentAt   time.Duration
	sequence uint64
	accepted Grant
	pending  []pending
	fresh    bool // nothing has been sent to this ledger yet
}

// pending is a request whose grant may still arrive.
type pending struct {
	sequence uint64
	sentAt   time.Duration
	most     uint32 // the promise of later requests
}

// NewHolder returns a holder without leases.
func NewHolder(host membership.HostID, incarnation uint64) *Holder {
	return &Holder{host: host, incarnation: incarnation, leases: make(map[leaseKey]*lease)}
}

func (h *Holder) lease(r ResourceID, c Class) *lease {
	k := leaseKey{r, c}
	l := h.leases[k]
	if l == nil {
		l = &lease{key: k}
		h.leases[k] = l
		h.order = append(h.order, l)
	}
	return l
}

// SetLedger tells which member keeps the ledger of a resource. Leases of the former ledger end with their term.
func (h *Holder) SetLedger(r ResourceID, owner membership.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range Class(classCount) {
		if l := h.lease(r, c); l.ledger != owner {
			l.ledger, l.pending, l.fresh = owner, nil, true
		}
	}
}

// Free returns how many slots can be taken at time now.
func (h *Holder) Free(now time.Duration, r ResourceID, c Class) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[leaseKey{r, c}]; l != nil {
		return int(minus(l.usable(now), l.inUse))
	}
	return 0
}

func (l *lease) usable(now time.Duration) uint32 {
	if now >= l.validTil {
		return 0
	}
	return l.slots
}

// Acquire takes a slot and reports whether one was free. The time must be read after any pause of the caller: a lease
// that ended during a pause is gone.
func (h *Holder) Acquire(now time.Duration, r ResourceID, c Class) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[leaseKey{r, c}]
	if l == nil || l.inUse >= l.usable(now) {
		return false
	}
	l.inUse++
	return true
}

// Release gives back a slot that Acquire took.
func (h *Holder) Release(_ time.Duration, r ResourceID, c Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leases[leaseKey{r, c}]; l != nil && l.inUse > 0 {
		l.inUse--
	}
}

// Wait tells how many pieces of work wait for a slot of the resource.
func (h *Holder) Wait(_ time.Duration, r ResourceID, c Class, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease(r, c).waiting = uint32(max(0, waiting))
}

// Granted takes a grant from the ledger at host from.
func (h *Holder) Granted(now time.Duration, from membership.HostID, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[leaseKey{g.Resource, g.Class}]
	if l == nil || from != l.ledger || g.To != h.host || g.Incarnation != h.incarnation || !l.isNews(g) {
		return
	}
	for _, p := range l.pending {
		if p.sequence != g.Sequence || now >= p.sentAt+Term {
			continue
		}
		l.accepted = g
		l.slots, l.validTil = min(g.Slots, p.most), p.sentAt+Term
	}
}

// isNews reports whether a grant is later than the one accepted last.
func (l *lease) isNews(g Grant) bool {
	return g.Sequence > l.accepted.Sequence || (g.Sequence == l.accepted.Sequence && g.Round > l.accepted.Round)
}

// Tick returns the requests to send. It is due every 10 ms.
func (h *Holder) Tick(now time.Duration) []Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Send
	for _, l := range h.order {
		if l.ledger == 0 {
			continue
		}
		if want := l.need(now); l.due(now, want) {
			out = append(out, Send{To: l.ledger, Request: h.request(now, l, want)})
		}
	}
	return out
}

// need returns the slots that the holder wants: the most that it needed within idleAfter.
func (l *lease) need(now time.Duration) uint32 {
	current := l.inUse + l.waiting
	if current >= l.peak || now-l.peakAt >= idleAfter {
		l.peak, l.peakAt = current, now
	}
	return l.peak
}

func (l *lease) due(now time.Duration, want uint32) bool {
	keep := l.keep(now, want)
	switch {
	case l.fresh:
		return want > 0 || l.usable(now) > 0
	case keep < l.promised && l.usable(now) < l.promised: // recalled, or ended while work went on
		return true
	case now-l.sentAt < askGap:
		return false
	case want > l.asked && want > l.usable(now):
		return true
	case keep < l.promised: // idle
		return true
	}
	return now-l.sentAt >= renewAfter && (want > 0 || l.promised > 0 || l.asked > 0)
}

// keep returns the promise of a request that is sent now.
func (l *lease) keep(now time.Duration, want uint32) uint32 {
	return max(l.inUse, min(l.usable(now), want))
}

func (h *Holder) request(now time.Duration, l *lease, want uint32) Request {
	h.sequence++
	keep := l.keep(now, want)
	l.slots = min(l.slots, keep)
	l.sequence, l.sentAt, l.promised, l.asked = h.sequence, now, keep, want
	l.fresh = false
	live := l.pending[:0]
	for _, p := range l.pending {
		if now < p.sentAt+Term {
			p.most = min(p.most, keep)
			live = append(live, p)
		}
	}
	l.pending = append(live, pending{sequence: h.sequence, sentAt: now, most: ^uint32(0)})
	return Request{
		Resource: l.key.resource, Class: l.key.class, From: h.host, Incarnation: h.incarnation, Sequence: h.sequence,
		Keep: keep, InUse: l.inUse, Want: want,
	}
}
