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
	// queueDelayTarget is the longest wait in a standing queue. A queue is standing when its oldest flow has waited longer
	// than this throughout the last queueDelayInterval. A longer wait in it gains nothing, because the queue does not drain
	// faster.
	queueDelayTarget   = 20 * time.Millisecond
	queueDelayInterval = 100 * time.Millisecond
	// maxBurstWait is the longest wait in a queue that is not standing. A burst that does not drain within it is a standing
	// queue.
	maxBurstWait = queueDelayInterval
	// maxWaiting is the number of flows from which a queue accepts only flows of callers within their equal share, up to
	// twice that number. It limits the memory that callers can make the balancer use.
	maxWaiting = 4096
	// bulkServedWindow is how long after bulk work got a slot urgent work is assumed to be within capacity. A burst of urgent
	// work leaves bulk work without a slot for some 100 ms; urgent work above capacity does so permanently.
	bulkServedWindow = time.Second
	// fairQuantum is the number of pieces of work by which callers may differ before the one with less goes first. Without it
	// the order among callers with equal demand is arbitrary, and some of their flows wait longer than queueDelayTarget.
	fairQuantum = 4
)

// waitingFlow is a flow that waits for a slot.
type waitingFlow struct {
	key     flow.Key
	hash    uint64
	service *service
	since   time.Duration
	prefix  netip.Prefix
}

// pool is the set of services that share targets.
type pool struct {
	services     []*service
	group        limits.GroupID
	reported     [2]int        // waiting flows by class, as last reported to the leases
	lastBulkSlot time.Duration // when bulk work last got a slot
	byKey        map[flow.Key]*waitingFlow
}

// queue holds the waiting flows of one service: one list for each caller prefix.
type queue struct {
	callers       map[netip.Prefix]*caller
	active        []*caller // callers with waiting flows
	waiting       int
	virtualTime   float64       // served of the caller that was served last
	belowTargetAt time.Duration // last time at which no flow had waited longer than queueDelayTarget
}

// caller is the fair-queueing state of one caller prefix in one queue.
type caller struct {
	prefix netip.Prefix
	flows  []*waitingFlow
	served float64 // virtual time of the caller: pieces of work that it was given
}

func newPool(g limits.GroupID) *pool { return &pool{group: g, byKey: make(map[flow.Key]*waitingFlow)} }

// longestWait returns how long the oldest flow has waited.
func (q *queue) longestWait(now time.Duration) time.Duration {
	var longest time.Duration
	for _, c := range q.active {
		longest = max(longest, now-c.flows[0].since)
	}
	return longest
}

func (q *queue) isStanding(now time.Duration) bool {
	return q.waiting > 0 && now-q.belowTargetAt > queueDelayInterval
}

// prefixOf returns the prefix that fair shares are counted for: /24 for IPv4 and /56 for IPv6, the usual size of one site.
func prefixOf(k flow.Key) netip.Prefix {
	addr := k.CallerAddrPort().Addr()
	bits := 56
	if addr.Is4() {
		bits = 24
	}
	p, _ := addr.Prefix(bits) // the prefix length is valid for the address family
	return p
}

// enqueue adds a flow to its queue and returns OK, or returns the reason to refuse it.
func (p *pool) enqueue(now time.Duration, w *waitingFlow, ablation ablation) resultcode.Code {
	q := &w.service.queue
	if w.service.waitLimit(now, ablation) <= 0 {
		return resultcode.RefusedDeadline
	}
	if ablation.noFairShare {
		w.prefix = netip.Prefix{}
	}
	c := q.callers[w.prefix]
	if q.waiting >= maxWaiting && (c == nil || len(c.flows) > maxWaiting/max(1, len(q.active))) {
		return resultcode.RefusedFairShare
	}
	if q.waiting >= 2*maxWaiting {
		return resultcode.RefusedNoSlot
	}
	if q.waiting == 0 {
		q.belowTargetAt = now
	}
	if c == nil {
		c = &caller{prefix: w.prefix, served: q.virtualTime}
		q.callers[w.prefix] = c
	}
	if len(c.flows) == 0 {
		c.served = max(c.served, q.virtualTime)
		q.active = append(q.active, c)
	}
	c.flows = append(c.flows, w)
	q.waiting++
	p.byKey[w.key] = w
	return resultcode.OK
}

// waitLimit returns how long a flow may wait: never so long that an answer of median duration would miss the deadline, and
// no longer than queueDelayTarget in a standing queue. While bulk work still gets slots, urgent work waits until its answer
// would probably be late, because bulk work is refused first.
func (s *service) waitLimit(now time.Duration, ablation ablation) time.Duration {
	limit := maxBurstWait
	if s.queue.isStanding(now) {
		limit = queueDelayTarget
	}
	if ablation.noWaitLimit {
		limit = time.Hour
	}
	deadline := s.state.Info.Deadline
	if deadline == 0 {
		return limit
	}
	if s.class == limits.Urgent && !ablation.noClasses && s.pool.lastBulkSlot > 0 && now-s.pool.lastBulkSlot < bulkServedWindow {
		return deadline - max(s.median, s.p95)
	}
	return min(limit, deadline-s.median)
}

// expire refuses the flows that have reached their wait limit. The flows of a caller are ordered by arrival.
func (p *pool) expire(now time.Duration, ablation ablation, refused func(*waitingFlow, resultcode.Code)) {
	for _, s := range p.services {
		q := &s.queue
		if q.longestWait(now) <= queueDelayTarget {
			q.belowTargetAt = now
		}
		for i := 0; i < len(q.active); i++ {
			c := q.active[i]
			for len(c.flows) > 0 {
				w := c.flows[0]
				if now-w.since < w.service.waitLimit(now, ablation) {
					break
				}
				code := resultcode.RefusedNoSlot
				if d := w.service.state.Info.Deadline; d > 0 && now-w.since >= d-w.service.median {
					code = resultcode.RefusedDeadline
				}
				p.dequeue(w)
				refused(w, code)
			}
			if i < len(q.active) && q.active[i] != c {
				i--
			}
		}
	}
}

// next returns the waiting flow to serve next, or nil when none can get a slot: urgent before bulk, then the one that has
// waited longest among the next flows of all services.
func (p *pool) next(ablation ablation, hasSlot func(*service) bool) *waitingFlow {
	var best *waitingFlow
	for _, s := range p.services {
		if s.queue.waiting == 0 || !hasSlot(s) {
			continue
		}
		w := s.queue.nextCaller().flows[0]
		if best == nil || w.before(best, ablation) {
			best = w
		}
	}
	return best
}

func (w *waitingFlow) before(o *waitingFlow, ablation ablation) bool {
	if w.service.class != o.service.class && !ablation.noClasses {
		return w.service.class < o.service.class
	}
	return w.since < o.since
}

// nextCaller returns the caller to serve next: the one whose oldest flow has waited longest among the callers that were
// given at most fairQuantum pieces of work more than the caller that was given the least.
func (q *queue) nextCaller() *caller {
	least := math.Inf(1)
	for _, c := range q.active {
		least = min(least, c.served)
	}
	var best *caller
	for _, c := range q.active {
		if c.served <= least+fairQuantum && (best == nil || c.flows[0].since < best.flows[0].since) {
			best = c
		}
	}
	return best
}

// charge counts a slot towards the virtual time of the flow's caller.
func (q *queue) charge(w *waitingFlow) {
	if c := q.callers[w.prefix]; c != nil {
		q.virtualTime = max(q.virtualTime, c.served)
		c.served++
	}
}

// dequeue removes a flow from its queue.
func (p *pool) dequeue(w *waitingFlow) {
	delete(p.byKey, w.key)
	q := &w.service.queue
	c := q.callers[w.prefix]
	i := slices.Index(c.flows, w)
	c.flows = slices.Delete(c.flows, i, i+1)
	q.waiting--
	if len(c.flows) == 0 {
		q.deactivate(c)
	}
}

// deactivate removes a caller without waiting flows from the active list. Its virtual time is kept while others wait, so that
// a caller cannot reset it by pausing.
func (q *queue) deactivate(c *caller) {
	i := slices.Index(q.active, c)
	q.active = slices.Delete(q.active, i, i+1)
	if q.waiting == 0 {
		clear(q.callers)
		q.virtualTime = 0
	}
}
