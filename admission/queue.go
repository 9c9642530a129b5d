package admission

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// standingGoal is the wait that a standing queue is held to. A queue whose oldest flow has waited longer than that at
	// every moment of the last standingAfter is standing: waiting longer in it serves nobody, because work leaves it no
	// faster.
	standingGoal  = 20 * time.Millisecond
	standingAfter = 100 * time.Millisecond
	// burstWait is the longest wait in a queue that is not standing. A burst that does not pass within it is a standing
	// queue.
	burstWait = standingAfter
	// maxWaiting bounds the flows that wait in one queue, and with it the memory that callers can make the balancer use.
	maxWaiting = 4096
	// bulkServed is how long after bulk work got a slot urgent work is taken to be within capacity. Urgent work that comes
	// in bursts leaves bulk work no slot for some 100 ms; urgent work above capacity does for good.
	bulkServed = time.Second
	// fairQuantum is how many pieces of work callers may differ by before the one with less goes first. Without it the
	// order among callers with equal demand is arbitrary, and some of their flows wait past the goal.
	fairQuantum = 4
)

// waiting is a flow that waits for a slot.
type waiting struct {
	key     flow.Key
	hash    uint64
	service *service
	since   time.Duration
	prefix  netip.Prefix
}

// pool is the set of services that share targets.
type pool struct {
	services []*service
	group    limits.GroupID
	told     [2]int        // waiting flows by class, as the leases know them
	bulkAt   time.Duration // when bulk work last got a slot
	byKey    map[flow.Key]*waiting
}

// queue holds the waiting flows of one service: one list for each caller prefix.
type queue struct {
	callers map[netip.Prefix]*caller
	order   []*caller // callers with waiting flows
	waiting int
	virtual float64       // work given to the caller served last, in pieces
	goalAt  time.Duration // when no flow last had waited longer than standingGoal
}

// caller is the state of one caller prefix in one queue.
type caller struct {
	prefix netip.Prefix
	flows  []*waiting
	served float64 // virtual time: work given to the prefix
}

func newPool(g limits.GroupID) *pool { return &pool{group: g, byKey: make(map[flow.Key]*waiting)} }

// oldest returns how long the flow that waits longest has waited.
func (q *queue) oldest(now time.Duration) time.Duration {
	var longest time.Duration
	for _, c := range q.order {
		longest = max(longest, now-c.flows[0].since)
	}
	return longest
}

func (q *queue) standing(now time.Duration) bool {
	return q.waiting > 0 && now-q.goalAt > standingAfter
}

// prefixOf returns the prefix that shares are counted for: /24 for IPv4 and /56 for IPv6, the usual size of one site.
func prefixOf(k flow.Key) netip.Prefix {
	addr := k.CallerAddrPort().Addr()
	bits := 56
	if addr.Is4() {
		bits = 24
	}
	p, _ := addr.Prefix(bits) // the length fits the address
	return p
}

// admitToQueue lets a flow wait, or returns why it is refused.
func (p *pool) admitToQueue(now time.Duration, w *waiting, off parts) resultcode.Code {
	q := &w.service.queue
	if w.service.waitLimit(now, off) <= 0 {
		return resultcode.RefusedDeadline
	}
	if off.noFairShare {
		w.prefix = netip.Prefix{}
	}
	c := q.callers[w.prefix]
	if q.waiting >= maxWaiting && (c == nil || len(c.flows) > maxWaiting/max(1, len(q.order))) {
		return resultcode.RefusedFairShare
	}
	if q.waiting >= 2*maxWaiting {
		return resultcode.RefusedNoSlot
	}
	if q.waiting == 0 {
		q.goalAt = now
	}
	if c == nil {
		c = &caller{prefix: w.prefix, served: q.virtual}
		q.callers[w.prefix] = c
	}
	if len(c.flows) == 0 {
		c.served = max(c.served, q.virtual)
		q.order = append(q.order, c)
	}
	c.flows = append(c.flows, w)
	q.waiting++
	p.byKey[w.key] = w
	return resultcode.OK
}

// waitLimit returns how long a flow may wait: never so long that an answer of typical duration would be past the
// deadline, and in a standing queue no longer than the goal. While bulk work still gets slots, urgent work waits until
// an answer would probably be late, because bulk work is to be refused first.
func (s *service) waitLimit(now time.Duration, off parts) time.Duration {
	limit := burstWait
	if s.queue.standing(now) {
		limit = standingGoal
	}
	if off.noWaitLimit {
		limit = time.Hour
	}
	d := s.state.Info.Deadline
	if d == 0 {
		return limit
	}
	if s.class == limits.Urgent && !off.noClasses && s.pool.bulkAt > 0 && now-s.pool.bulkAt < bulkServed {
		return d - max(s.typical, s.late)
	}
	return min(limit, d-s.typical)
}

// expire refuses the flows whose wait is over. Within one caller the oldest flow is first.
func (p *pool) expire(now time.Duration, off parts, refused func(*waiting, resultcode.Code)) {
	for _, s := range p.services {
		q := &s.queue
		if q.oldest(now) <= standingGoal {
			q.goalAt = now
		}
		for i := 0; i < len(q.order); i++ {
			c := q.order[i]
			for len(c.flows) > 0 {
				w := c.flows[0]
				if now-w.since < w.service.waitLimit(now, off) {
					break
				}
				code := resultcode.RefusedNoSlot
				if d := w.service.state.Info.Deadline; d > 0 && now-w.since >= d-w.service.typical {
					code = resultcode.RefusedDeadline
				}
				p.forget(w)
				refused(w, code)
			}
			if i < len(q.order) && q.order[i] != c {
				i--
			}
		}
	}
}

// next returns the waiting flow to serve, or nil when none can get a slot: urgent before bulk, then the one that waits
// longest among the fairest of every service.
func (p *pool) next(off parts, hasSlot func(*service) bool) *waiting {
	var best *waiting
	for _, s := range p.services {
		if s.queue.waiting == 0 || !hasSlot(s) {
			continue
		}
		w := s.queue.fairest().flows[0]
		if best == nil || w.before(best, off) {
			best = w
		}
	}
	return best
}

func (w *waiting) before(o *waiting, off parts) bool {
	if w.service.class != o.service.class && !off.noClasses {
		return w.service.class < o.service.class
	}
	return w.since < o.since
}

// fairest returns the caller to serve next: the one whose flow waits longest among those
// that were given at most fairQuantum more than the one that was given the least.
func (q *queue) fairest() *caller {
	least := math.Inf(1)
	for _, c := range q.order {
		least = min(least, c.served)
	}
	var best *caller
	for _, c := range q.order {
		if c.served <= least+fairQuantum && (best == nil || c.flows[0].since < best.flows[0].since) {
			best = c
		}
	}
	return best
}

// charge records that a slot was given to the flow's caller.
func (q *queue) charge(w *waiting) {
	if c := q.callers[w.prefix]; c != nil {
		q.virtual = max(q.virtual, c.served)
		c.served++
	}
}

// forget removes a flow from its queue.
func (p *pool) forget(w *waiting) {
	delete(p.byKey, w.key)
	q := &w.service.queue
	c := q.callers[w.prefix]
	i := slices.Index(c.flows, w)
	c.flows = slices.Delete(c.flows, i, i+1)
	q.waiting--
	if len(c.flows) == 0 {
		q.remove(c)
	}
}

// remove takes a caller without waiting flows out of the order. Its account is kept while others wait, so that a caller
// cannot reset it by pausing.
func (q *queue) remove(c *caller) {
	i := slices.Index(q.order, c)
	q.order = slices.Delete(q.order, i, i+1)
	if q.waiting == 0 {
		clear(q.callers)
		q.virtual = 0
	}
}
