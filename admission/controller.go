// Package admission decides which new flows are given to a target at once, which wait, and which are refused.
//
// Services of kind short with a slot limit are admitted when a slot of a target is free. The package does no I/O and
// never refuses a flow after it was admitted, so a refusal means that nothing was sent.
package admission

import (
	"net/netip"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Leases is the part of limits.Holder that admission uses.
type Leases interface {
	Free(now time.Duration, r limits.ResourceID, c limits.Class) int
	Acquire(now time.Duration, r limits.ResourceID, c limits.Class) bool
	Release(now time.Duration, r limits.ResourceID, c limits.Class)
	Wait(now time.Duration, g limits.GroupID, c limits.Class, waiting int)
	Adopt(r limits.ResourceID, c limits.Class)
}

var _ Leases = (*limits.Holder)(nil)

// Controller implements forward.Admission.
type Controller struct {
	mu       sync.Mutex
	leases   Leases // nil: this balancer alone uses the targets, and holds every slot
	parts    parts
	services map[flow.ServiceID]*service
	targets  map[netip.Addr]*target
	pools    map[limits.GroupID]*pool
	order    []*pool // in the order of creation, so that a seeded run repeats
	released []forward.Released
	held     map[flow.Key]hold // admitted from a queue, not yet polled
}

var _ forward.Admission = (*Controller)(nil)

// parts switches parts of the policy off, to measure what each contributes.
type parts struct {
	noWaitLimit, noClasses, noFairShare, noLastSlot, noDefault bool
}

// hold is a slot that was taken for a flow whose verdict has not been polled.
type hold struct {
	service *service
	target  int
	started time.Duration
}

// New returns a controller that takes slots from leases. With nil leases the controller divides the
// limits of the bundle itself, as the only balancer.
func New(leases Leases) *Controller {
	return &Controller{
		leases: leases, services: make(map[flow.ServiceID]*service), targets: make(map[netip.Addr]*target),
		pools: make(map[limits.GroupID]*pool), held: make(map[flow.Key]hold),
	}
}

// Admit implements forward.Admission.
func (c *Controller) Admit(now time.Duration, r forward.Request) forward.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.observe(r.Service)
	if s == nil {
		return refuse(resultcode.RefusedNoTarget)
	}
	if s.pool.byKey[r.Key] != nil {
		return forward.Verdict{Outcome: forward.Waiting} // a repeated first packet
	}
	if h, found := c.held[r.Key]; found {
		c.unhold(r.Key)
		return forward.Verdict{Outcome: forward.Admitted, Target: h.target}
	}
	s.budget.request(now)
	switch {
	case s.isSession():
		return c.askSession(now, s, r)
	case s.slots() == 0:
		return c.place(now, s, r, resultcode.RefusedNoTarget, nil)
	}
	return c.askSlot(now, s, r)
}

// askSession places a long-lived connection, which only the connection limit can refuse.
func (c *Controller) askSession(now time.Duration, s *service, r forward.Request) forward.Verdict {
	if s.state.Info.Limits.ConnectionsPerTarget == 0 {
		return c.place(now, s, r, resultcode.RefusedNoTarget, nil)
	}
	return c.place(now, s, r, resultcode.RefusedConnections, func(i int) bool { return c.connectionFree(s, i) })
}

// place asks the service's strategy for a target among those that are eligible and allowed.
func (c *Controller) place(now time.Duration, s *service, r forward.Request, full resultcode.Code, allowed func(int) bool) forward.Verdict {
	v := &s.view
	v.base, v.allowed = r.View, allowed
	i := s.state.Strategy.Pick(r.Hash, s.state.Table, v)
	v.base, v.allowed = nil, nil
	if i < 0 {
		if !s.anyEligible() {
			full = resultcode.RefusedNoTarget
		}
		return refuse(full)
	}
	s.start(now, i)
	return forward.Verdict{Outcome: forward.Admitted, Target: i}
}

func (c *Controller) askSlot(now time.Duration, s *service, r forward.Request) forward.Verdict {
	if !s.anyEligible() {
		return refuse(resultcode.RefusedNoTarget)
	}
	p := s.pool
	w := &waiting{key: r.Key, hash: r.Hash, service: s, since: now, prefix: prefixOf(r.Key)}
	if len(p.byKey) == 0 {
		if i := c.takeSlot(now, w); i >= 0 {
			return forward.Verdict{Outcome: forward.Admitted, Target: i}
		}
	}
	if code := p.admitToQueue(now, w, c.parts); code != resultcode.OK {
		return refuse(code)
	}
	c.dispatch(now, p)
	c.tellDemand(now, p)
	if h, found := c.held[r.Key]; found {
		c.unhold(r.Key)
		return forward.Verdict{Outcome: forward.Admitted, Target: h.target}
	}
	return forward.Verdict{Outcome: forward.Waiting}
}

// Adopt counts a flow that this balancer took over without asking for it. Done ends it like any other.
func (c *Controller) Adopt(now time.Duration, id flow.ServiceID, targetID flow.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	if s == nil || s.byID[targetID] == nil {
		return
	}
	t := s.byID[targetID]
	s.startAt(now, t)
	if r, limited := s.resource(t); limited && c.leases != nil {
		c.leases.Adopt(r, s.class)
	}
}

// Done implements forward.Admission.
func (c *Controller) Done(now time.Duration, id flow.ServiceID, targetID flow.TargetID, took time.Duration, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	if s == nil {
		return
	}
	t := s.byID[targetID]
	if t == nil {
		return
	}
	c.end(now, s, t, now-took)
	t.seen.add(took, refused)
	if !refused {
		s.observeDuration(now, took)
	}
	c.dispatch(now, s.pool)
	c.tellDemand(now, s.pool)
}

// end returns the slot or connection of a flow that started at the given time.
func (c *Controller) end(now time.Duration, s *service, t *target, started time.Duration) {
	if !t.remove(s, started) || c.leases == nil {
		return
	}
	if r, limited := s.resource(t); limited {
		c.leases.Release(now, r, s.class)
	}
}

// Cancel implements forward.Admission.
func (c *Controller) Cancel(now time.Duration, k flow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.order {
		if w := p.byKey[k]; w != nil {
			p.forget(w)
			return
		}
	}
	if h, found := c.held[k]; found {
		c.unhold(k)
		c.end(now, h.service, h.service.targets[h.target], h.started)
		c.dispatch(now, h.service.pool)
	}
}

// unhold removes the verdict of a key that has not been polled.
func (c *Controller) unhold(k flow.Key) {
	delete(c.held, k)
	for i := range c.released {
		if c.released[i].Key == k {
			c.released = append(c.released[:i], c.released[i+1:]...)
			return
		}
	}
}

// Poll implements forward.Admission. It is due every millisecond while flows wait.
func (c *Controller) Poll(now time.Duration, dst []forward.Released) []forward.Released {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.order {
		c.dispatch(now, p)
		c.tellDemand(now, p)
	}
	dst = append(dst, c.released...)
	c.released = c.released[:0]
	clear(c.held)
	return dst
}

// Observe takes the state of services from a new snapshot. Ask does the same for the service that it is asked for.
func (c *Controller) Observe(now time.Duration, states map[flow.ServiceID]*forward.ServiceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range states {
		c.observe(state)
	}
	c.removeMissing(states)
}

// dispatch gives free slots to waiting flows and refuses those that have waited too long.
func (c *Controller) dispatch(now time.Duration, p *pool) {
	p.expire(now, c.parts, func(w *waiting, code resultcode.Code) {
		c.released = append(c.released, forward.Released{Key: w.key, Verdict: refuse(code)})
	})
	for {
		w := p.next(c.parts, func(s *service) bool { return c.slotFor(now, s, 0) >= 0 })
		if w == nil {
			return
		}
		i := c.takeSlot(now, w)
		if i < 0 {
			return
		}
		p.forget(w)
		w.service.queue.charge(w)
		c.held[w.key] = hold{w.service, i, now}
		c.released = append(c.released, forward.Released{Key: w.key, Verdict: forward.Verdict{Outcome: forward.Admitted, Target: i}})
	}
}

// tellDemand tells the leases how many flows of a pool wait.
func (c *Controller) tellDemand(now time.Duration, p *pool) {
	if c.leases == nil {
		return
	}
	var waiting [2]int
	for _, s := range p.services {
		waiting[s.class] += s.queue.waiting
	}
	for class, n := range waiting {
		if n != p.told[class] {
			p.told[class] = n
			c.leases.Wait(now, p.group, limits.Class(class), n)
		}
	}
}

func refuse(code resultcode.Code) forward.Verdict {
	return forward.Verdict{Outcome: forward.Refused, Code: code}
}
