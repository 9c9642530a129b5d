// Package admission admits, queues or refuses new flows.
//
// A flow of a service of kind short with a slot limit is admitted when a slot of a target is free. The package does no I/O
// and never refuses a flow after admitting it, so a refusal means that nothing was sent to a target.
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
	SetWaiting(now time.Duration, g limits.GroupID, c limits.Class, waiting int)
	Adopt(r limits.ResourceID, c limits.Class)
}

var _ Leases = (*limits.Holder)(nil)

// Controller implements forward.Admission.
type Controller struct {
	mu       sync.Mutex
	leases   Leases // nil when this balancer is the only one and may use every slot
	ablation ablation
	services map[flow.ServiceID]*service
	targets  map[netip.Addr]*target
	pools    map[limits.GroupID]*pool
	order    []*pool // in the order of creation, so that runs with the same seed are identical
	released []forward.Released
	pending  map[flow.Key]pendingAdmission // flows admitted from a queue whose verdict Poll has not returned yet
}

var _ forward.Admission = (*Controller)(nil)

// ablation disables parts of the policy, to measure the effect of each.
type ablation struct {
	noWaitLimit, noClasses, noFairShare, noLastSlot, noDefault bool
}

// pendingAdmission is a slot acquired for a queued flow whose verdict has not been polled.
type pendingAdmission struct {
	service *service
	target  int
	started time.Duration
}

// New returns a controller that acquires slots from leases. With nil leases it is the only balancer and enforces the limits
// of the bundle itself.
func New(leases Leases) *Controller {
	return &Controller{
		leases: leases, services: make(map[flow.ServiceID]*service), targets: make(map[netip.Addr]*target),
		pools: make(map[limits.GroupID]*pool), pending: make(map[flow.Key]pendingAdmission),
	}
}

// Admit implements forward.Admission.
func (c *Controller) Admit(now time.Duration, r forward.Request) forward.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.updateService(r.Service)
	if s == nil {
		return refuse(resultcode.RefusedNoTarget)
	}
	if s.pool.byKey[r.Key] != nil {
		return forward.Verdict{Outcome: forward.Waiting} // a retransmitted first packet
	}
	if h, found := c.pending[r.Key]; found {
		c.removePending(r.Key)
		return forward.Verdict{Outcome: forward.Admitted, Target: h.target}
	}
	s.budget.recordRequest(now)
	switch {
	case s.isSession():
		return c.askSession(now, s, r)
	case s.slotLimit() == 0:
		return c.place(now, s, r, resultcode.RefusedNoTarget, nil)
	}
	return c.askSlot(now, s, r)
}

// askSession places a long-lived connection. Only the connection limit or a lack of eligible targets refuses it.
func (c *Controller) askSession(now time.Duration, s *service, r forward.Request) forward.Verdict {
	if s.state.Info.Limits.ConnectionsPerTarget == 0 {
		return c.place(now, s, r, resultcode.RefusedNoTarget, nil)
	}
	return c.place(now, s, r, resultcode.RefusedConnections, func(i int) bool { return c.hasFreeConnection(s, i) })
}

// place lets the service's strategy choose among the targets that are eligible and allowed; nil allows all. It refuses with
// noneAllowed when there are eligible targets but none is allowed.
func (c *Controller) place(
	now time.Duration, s *service, r forward.Request, noneAllowed resultcode.Code, allowed func(int) bool,
) forward.Verdict {
	v := &s.view
	v.base, v.allowed = r.View, allowed
	i := s.state.Strategy.Pick(r.Hash, s.state.Table, v)
	v.base, v.allowed = nil, nil
	if i < 0 {
		if !s.anyEligible() {
			noneAllowed = resultcode.RefusedNoTarget
		}
		return refuse(noneAllowed)
	}
	s.start(now, i)
	return forward.Verdict{Outcome: forward.Admitted, Target: i}
}

// askSlot admits a flow when a slot is free, and queues or refuses it otherwise.
func (c *Controller) askSlot(now time.Duration, s *service, r forward.Request) forward.Verdict {
	if !s.anyEligible() {
		return refuse(resultcode.RefusedNoTarget)
	}
	p := s.pool
	w := &waitingFlow{key: r.Key, hash: r.Hash, service: s, since: now, prefix: prefixOf(r.Key)}
	if len(p.byKey) == 0 {
		if i := c.acquireSlot(now, w); i >= 0 {
			return forward.Verdict{Outcome: forward.Admitted, Target: i}
		}
	}
	if code := p.enqueue(now, w, c.ablation); code != resultcode.OK {
		return refuse(code)
	}
	c.dispatch(now, p)
	c.reportDemand(now, p)
	if h, found := c.pending[r.Key]; found {
		c.removePending(r.Key)
		return forward.Verdict{Outcome: forward.Admitted, Target: h.target}
	}
	return forward.Verdict{Outcome: forward.Waiting}
}

// Adopt accounts for a flow that this balancer took over from another one without calling Ask. Done ends it like any other.
func (c *Controller) Adopt(now time.Duration, id flow.ServiceID, targetID flow.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	if s == nil || s.byID[targetID] == nil {
		return
	}
	t := s.byID[targetID]
	s.startOn(now, t)
	if r, limited := s.leasedResource(t); limited && c.leases != nil {
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
	c.release(now, s, t, now-took)
	t.sample.add(took, refused)
	if !refused {
		s.recordDuration(now, took)
	}
	c.dispatch(now, s.pool)
	c.reportDemand(now, s.pool)
}

// release returns the slot or connection of a flow that started at the given time.
func (c *Controller) release(now time.Duration, s *service, t *target, started time.Duration) {
	if !t.removeExecution(s, started) || c.leases == nil {
		return
	}
	if r, limited := s.leasedResource(t); limited {
		c.leases.Release(now, r, s.class)
	}
}

// Cancel implements forward.Admission.
func (c *Controller) Cancel(now time.Duration, k flow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.order {
		if w := p.byKey[k]; w != nil {
			p.dequeue(w)
			return
		}
	}
	if h, found := c.pending[k]; found {
		c.removePending(k)
		c.release(now, h.service, h.service.targets[h.target], h.started)
		c.dispatch(now, h.service.pool)
	}
}

// removePending removes the verdict of an admitted flow that has not been polled.
func (c *Controller) removePending(k flow.Key) {
	delete(c.pending, k)
	for i := range c.released {
		if c.released[i].Key == k {
			c.released = append(c.released[:i], c.released[i+1:]...)
			return
		}
	}
}

// Poll implements forward.Admission. Callers call it every millisecond while flows wait.
func (c *Controller) Poll(now time.Duration, dst []forward.Released) []forward.Released {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.order {
		c.dispatch(now, p)
		c.reportDemand(now, p)
	}
	dst = append(dst, c.released...)
	c.released = c.released[:0]
	clear(c.pending)
	return dst
}

// UpdateServices applies the states of a new snapshot and removes services that it lacks. Ask applies the state of the
// service that it is called for.
func (c *Controller) UpdateServices(now time.Duration, states map[flow.ServiceID]*forward.ServiceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range states {
		c.updateService(state)
	}
	c.removeMissing(states)
}

// dispatch refuses flows that have waited too long and assigns free slots to the others.
func (c *Controller) dispatch(now time.Duration, p *pool) {
	p.expire(now, c.ablation, func(w *waitingFlow, code resultcode.Code) {
		c.released = append(c.released, forward.Released{Key: w.key, Verdict: refuse(code)})
	})
	for {
		w := p.next(c.ablation, func(s *service) bool { return c.findSlot(now, s, 0) >= 0 })
		if w == nil {
			return
		}
		i := c.acquireSlot(now, w)
		if i < 0 {
			return
		}
		p.dequeue(w)
		w.service.queue.charge(w)
		c.pending[w.key] = pendingAdmission{w.service, i, now}
		c.released = append(c.released, forward.Released{
			Key: w.key, Verdict: forward.Verdict{Outcome: forward.Admitted, Target: i},
		})
	}
}

// reportDemand reports changes in the number of waiting flows of a pool to the leases.
func (c *Controller) reportDemand(now time.Duration, p *pool) {
	if c.leases == nil {
		return
	}
	var waiting [2]int
	for _, s := range p.services {
		waiting[s.class] += s.queue.waiting
	}
	for class, count := range waiting {
		if count != p.reported[class] {
			p.reported[class] = count
			c.leases.SetWaiting(now, p.group, limits.Class(class), count)
		}
	}
}

func refuse(code resultcode.Code) forward.Verdict {
	return forward.Verdict{Outcome: forward.Refused, Code: code}
}
