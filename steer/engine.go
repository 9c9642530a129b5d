package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// MaxFlows bounds the memory for flows at about 100 bytes each.
	MaxFlows = 1 << 17
	// openingRetention is how long an unanswered opening packet is remembered: callers give up after 1.4 s.
	openingRetention = 2 * time.Second
	// flowRetention is how long a flow without packets is remembered. A forgotten flow loses nothing but its part in the
	// load estimate.
	flowRetention = 15 * time.Second
	// waitRetention is how long a request is waited for without a packet of its flow: callers repeat unanswered data after
	// 200 and 600 ms, so the flow is then carried by another balancer.
	waitRetention = time.Second
	// sweepBatch is the number of flows looked at for expiry with each opening packet.
	sweepBatch = 4
)

// flowState is what is remembered of a flow.
type flowState struct {
	token    directory.Token
	opened   bool          // the caller has answered the target
	waiting  bool          // for an answer of the target
	alone    bool          // the request found a free slot at the target
	reported bool          // its silence was counted
	sent     uint32        // end of the caller's data
	received uint32        // the caller's last acknowledgement
	since    time.Duration // when the wait began
	last     time.Duration // last packet
}

// wait is a wait of a flow for its target.
type wait struct {
	key   FlowKey
	since time.Duration // start of the wait
	look  time.Duration // when to look whether the flow is still carried here
}

// Engine decides about packets. One goroutine may use it.
type Engine struct {
	flows   map[FlowKey]flowState
	order   []FlowKey // flows in the order of their opening, for expiry
	waits   []wait    // in about the order of their start, for expiry
	loads   map[string]*load
	demands map[string]*demand // by service
	view    *View
	decided time.Duration // when the last packet was decided about
	// fenced drops opening packets, because this process stood still and may act on an old view.
	fenced bool
}

// NewEngine returns an engine without a view, which drops every packet.
func NewEngine() *Engine {
	return &Engine{flows: map[FlowKey]flowState{}, loads: map[string]*load{}, demands: map[string]*demand{}}
}

// SetView puts a view in force.
func (e *Engine) SetView(v *View) {
	e.view = v
	present := make(map[string]bool, len(v.tokens))
	for _, t := range v.tokens {
		present[t.Name] = true
		l := e.loads[t.Name]
		if l == nil || l.startedMS != t.StartedMS {
			l = &load{startedMS: t.StartedMS}
			e.loads[t.Name] = l
		}
		t.load = l
		if t.demand = e.demands[t.Service]; t.demand == nil {
			t.demand = newDemand()
			e.demands[t.Service] = t.demand
		}
	}
	for name := range e.loads {
		if !present[name] {
			delete(e.loads, name)
		}
	}
}

// SetFenced tells whether the process stood still for so long that waiting opening packets are of no use: their callers have
// given up or sent copies elsewhere. Packets of open flows are forwarded all the same.
func (e *Engine) SetFenced(fenced bool) { e.fenced = fenced }

// View returns the view in force, or nil.
func (e *Engine) View() *View { return e.view }

// Flows returns the number of flows that are remembered.
func (e *Engine) Flows() int { return len(e.flows) }

// FlowInfo is what is remembered of a flow.
type FlowInfo struct {
	Target  *Target
	Open    bool          // the caller has answered the target
	Waiting time.Duration // for the target's answer, 0 when nothing waits
	Idle    time.Duration // since the last packet
}

// Lookup returns what is remembered of a flow, and false when nothing is.
func (e *Engine) Lookup(key FlowKey, now time.Duration) (FlowInfo, bool) {
	f, found := e.flows[key]
	if !found || e.view == nil {
		return FlowInfo{}, false
	}
	info := FlowInfo{Target: e.view.Resolve(f.token), Open: f.opened, Idle: now - f.last}
	if f.waiting {
		info.Waiting = now - f.since
	}
	return info, info.Target != nil
}

// Decide returns what is done with a packet.
func (e *Engine) Decide(p *Packet, now time.Duration) Decision {
	if e.view == nil {
		return Decision{Action: Drop, Code: resultcode.NotReady}
	}
	if now-e.decided >= lostAfter {
		e.forgetSilence()
	}
	e.decided = now
	e.expireWaits(now)
	switch {
	case !p.Open:
		return e.carry(p, now)
	case e.fenced:
		return Decision{Action: Drop, Code: resultcode.PacketFenced}
	}
	return e.open(p, now)
}

// carry forwards a packet of an open flow to the target that its token names, whatever the configuration in force says:
// a flow stays where it is. The target itself resets a flow that it does not hold.
func (e *Engine) carry(p *Packet, now time.Duration) Decision {
	t := e.view.Resolve(p.Token)
	switch {
	case p.Token == 0 || t == nil:
		return Decision{Action: Drop, Code: resultcode.PacketUnknownFlow}
	case t.Presence == directory.Gone:
		delete(e.flows, p.Flow())
		if p.Reset {
			return Decision{Action: Drop, Code: resultcode.TargetGone}
		}
		return Decision{Action: Break, Code: resultcode.TargetGone, Target: t}
	case !p.Reset && !p.Finish && t.load.lost(now):
		e.forget(p.Flow())
		return Decision{Action: Break, Code: resultcode.TargetLost, Target: t}
	}
	d := Decision{Action: Forward, Target: t}
	e.observe(p, &d, now)
	return d
}

// open places a new flow. A copy of an opening packet follows the first one, unless the target of that one leaves it unanswered: then
// another target is tried. Should both answer, the flow opens at the one whose answer the caller acknowledges.
func (e *Engine) open(p *Packet, now time.Duration) Decision {
	e.sweep(now)
	route := e.view.Route(p.Endpoint)
	switch {
	case route == nil && e.view.snapshot.Provisional: // a moment later the route may be known, and the caller asks again
		return Decision{Action: Drop, Code: resultcode.NotReady}
	case route == nil:
		return Decision{Action: Refuse, Code: resultcode.PacketUnknownEndpoint}
	}
	key := p.Flow()
	first, silent := e.firstTarget(key, now)
	if first != nil && !silent && !first.load.suspect(now) {
		return Decision{Action: Forward, Target: first}
	}
	var suspected *Target
	if silent && !e.flows[key].reported {
		suspected = first.load.silent(first, now)
	}
	e.forget(key)
	t := e.view.pick(route, key, now, first)
	switch {
	case t == nil:
		return Decision{Action: Refuse, Code: resultcode.RefusedNoTarget, Suspected: suspected}
	case p.Acknowledgement > 0: // a copy: another balancer may have sent the first one to a target
	case e.overloaded(route, t, key, now):
		return Decision{Action: Refuse, Code: resultcode.RefusedNoSlot, ExpectedWait: t.demand.wait, Suspected: suspected}
	}
	e.remember(key, flowState{token: t.Token, waiting: true, reported: t == first, since: now, last: now})
	e.awaitAnswer(key, now, now)
	t.load.pending++
	return Decision{Action: Forward, Target: t, Placed: true, Suspected: suspected}
}

// firstTarget returns the target that an earlier copy of an opening packet went to, or nil when there is none, and whether it has
// left that copy unanswered.
func (e *Engine) firstTarget(key FlowKey, now time.Duration) (first *Target, silent bool) {
	f, found := e.flows[key]
	if !found || f.opened || now-f.since >= openingRetention {
		return nil, false
	}
	t := e.view.Resolve(f.token)
	if t == nil || t.Presence > directory.Lapsed {
		return nil, false
	}
	return t, now-f.since >= silenceAfter
}

func (e *Engine) remember(key FlowKey, f flowState) {
	if len(e.flows) >= MaxFlows {
		return
	}
	e.flows[key] = f
	e.order = append(e.order, key)
}

// awaitAnswer notes a wait that began at since, for a flow whose last packet came at last.
func (e *Engine) awaitAnswer(key FlowKey, since, last time.Duration) {
	e.waits = append(e.waits, wait{key: key, since: since, look: last + waitRetention})
}

// expireWaits forgets flows that wait but whose packets no longer come here. Without this their requests would count as load of
// the target, at this balancer and at all that it reports to, until sweep comes to them.
func (e *Engine) expireWaits(now time.Duration) {
	for len(e.waits) > 0 && now > e.waits[0].look {
		w := e.waits[0]
		e.waits = e.waits[1:]
		f, found := e.flows[w.key]
		switch {
		case !found || !f.waiting || f.since != w.since:
		case f.expired(now):
			e.forget(w.key)
		default:
			e.awaitAnswer(w.key, f.since, f.last)
		}
	}
}

// forget ends what is remembered of a flow.
func (e *Engine) forget(key FlowKey) {
	f, found := e.flows[key]
	if !found {
		return
	}
	delete(e.flows, key)
	if t := e.view.Resolve(f.token); t != nil {
		t.load.end(&f)
	}
}

// sweep looks at some of the oldest flows and forgets those that are over.
func (e *Engine) sweep(now time.Duration) {
	for range min(sweepBatch, len(e.order)) {
		key := e.order[0]
		e.order = e.order[1:]
		f, found := e.flows[key]
		switch {
		case !found:
		case f.expired(now):
			e.forget(key)
		default:
			e.order = append(e.order, key)
		}
	}
}

func (f *flowState) expired(now time.Duration) bool {
	quiet := now - f.last
	return quiet > flowRetention || f.waiting && quiet > waitRetention || !f.opened && quiet > openingRetention
}
