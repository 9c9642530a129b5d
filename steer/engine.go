package steer

import (
	"cmp"
	"maps"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// MaxFlows bounds the number of tracked flows, at about 100 bytes of memory each.
	MaxFlows = 1 << 17
	// openingRetention is how long an unanswered opening packet is tracked: callers give up after 1.4 s.
	openingRetention = 2 * time.Second
	// flowRetention is how long a flow without packets is tracked. When a flow is no longer tracked, only its part of the
	// load estimate is lost.
	flowRetention = 15 * time.Second
	// waitRetention is how long a request counts as pending without a packet of its flow. Callers retransmit unanswered
	// data after 200 and 600 ms, so after this time the flow must go through another balancer.
	waitRetention = time.Second
	// sweepBatch is the number of flows that are checked for expiry with each opening packet.
	sweepBatch = 4
)

// flowState is the tracked state of a flow.
type flowState struct {
	token       directory.Token
	opened      bool          // the caller has acknowledged the target's answer
	waiting     bool          // for an answer of the target
	missCounted bool          // the wait was counted as a miss of the target
	hasRequest  bool          // answerStart is known
	queued      uint8         // requests per slot that the request found waiting, in queueUnit; 0 if a slot was free
	sentEnd     uint32        // sequence number after the last byte of the caller
	lastAck     uint32        // last acknowledgement of the caller
	answerStart uint32        // lastAck when the last request arrived
	waitStart   time.Duration // when the flow or its last request began to wait
	lastPacket  time.Duration // time of the last packet
}

// wait is the wait of a flow for an answer of its target.
type wait struct {
	key     FlowKey
	start   time.Duration // when the wait began
	checkAt time.Duration // when to check whether packets of the flow still arrive here
}

// Engine decides what is done with packets. It is not safe for concurrent use.
type Engine struct {
	flows       map[FlowKey]flowState
	expiryOrder []FlowKey // flows in the order in which they are checked for expiry
	waits       []wait    // approximately in the order of their start, for expiry
	loads       map[string]*load
	demands     map[string]*demand // by service
	answerSizes map[directory.Endpoint]*answerSizes
	// lastFailingUpdate is when it was last decided which targets fail.
	lastFailingUpdate time.Duration
	view              *View
	lastDecision      time.Duration // time of the last decision
	// slowChanges and handOnChanges are changes that are not yet logged.
	slowChanges   []SlowChange
	handOnChanges []HandOnChange
	doubted       map[directory.Token]bool // targets on which some balancer has evidence of silence
	peers         Peers                    // evidence of the other balancers
	cutOffUntil   time.Duration            // until when evidence of silence from here does not count
	// fenced makes the engine drop opening packets, because the process was paused and its view may be out of date.
	fenced bool
	cold   *ColdLimits // nil if opening packets to cold targets are not limited
}

// NewEngine returns an engine without a view, which drops every packet.
func NewEngine() *Engine {
	return &Engine{
		flows: map[FlowKey]flowState{}, loads: map[string]*load{}, demands: map[string]*demand{},
		answerSizes: map[directory.Endpoint]*answerSizes{}, doubted: map[directory.Token]bool{},
	}
}

// SetView makes a view the current one. Targets that did not restart keep their observed load.
func (e *Engine) SetView(v *View) {
	e.view = v
	if e.cold != nil {
		e.cold.attach(v)
	}
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
	e.setReferences(v)
	e.updateRooms(e.lastDecision)
	for name := range e.loads {
		if !present[name] {
			delete(e.loads, name)
		}
	}
	maps.DeleteFunc(e.answerSizes, func(endpoint directory.Endpoint, _ *answerSizes) bool { return v.routes[endpoint] == nil })
}

// SetFenced sets whether opening packets are dropped. They are of no use after a long pause of the process: their
// callers have given up or sent copies elsewhere. Packets of open flows are forwarded all the same.
func (e *Engine) SetFenced(fenced bool) { e.fenced = fenced }

// LimitCold limits the opening packets to cold targets. The engine owns the limits from now on.
func (e *Engine) LimitCold(limits *ColdLimits) { e.cold = limits }

// SetColdHosts sets the number of hosts of this data centre that share the limits for cold targets, or 0 if this host may send them no
// opening packets.
func (e *Engine) SetColdHosts(hosts int, now time.Duration) {
	if e.cold != nil {
		e.cold.SetHosts(hosts, now)
	}
}

// View returns the current view, or nil.
func (e *Engine) View() *View { return e.view }

// Flows returns the number of tracked flows.
func (e *Engine) Flows() int { return len(e.flows) }

// FlowInfo describes a tracked flow.
type FlowInfo struct {
	Target  *Target
	Open    bool          // the caller has acknowledged the target's answer
	Waiting time.Duration // for the target's answer, 0 when nothing is pending
	Idle    time.Duration // since the last packet
}

// Lookup returns the state of a flow, and false when it is not tracked or its target is unknown.
func (e *Engine) Lookup(key FlowKey, now time.Duration) (FlowInfo, bool) {
	f, found := e.flows[key]
	if !found || e.view == nil {
		return FlowInfo{}, false
	}
	info := FlowInfo{Target: e.view.Resolve(f.token), Open: f.opened, Idle: now - f.lastPacket}
	if f.waiting {
		info.Waiting = now - f.waitStart
	}
	return info, info.Target != nil
}

// Decide returns the decision about a packet and updates the state of its flow.
func (e *Engine) Decide(p *Packet, now time.Duration) Decision {
	if e.view == nil {
		return Decision{Action: Drop, Code: resultcode.NotReady}
	}
	if now-e.lastDecision >= lostTimeout {
		e.clearSuspicions()
		e.ignoreWaits(now)
	}
	e.lastDecision = now
	e.expireWaits(now)
	switch {
	case !p.Open:
		return e.forwardOpenFlow(p, now)
	case e.fenced:
		return Decision{Action: Drop, Code: resultcode.PacketFenced}
	}
	return e.openFlow(p, now)
}

// forwardOpenFlow forwards a packet of an open flow to the target of its token, whatever the current configuration
// says: an open flow never moves. A target resets flows that it does not have.
func (e *Engine) forwardOpenFlow(p *Packet, now time.Duration) Decision {
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
	}
	d := Decision{Action: Forward, Target: t}
	dark, probe := t.load.silence.isDark(now), false
	if dark {
		f, found := e.flows[p.Flow()]
		probe = found && !f.opened
	}
	e.observe(p, &d, now) // before isLost: the packet may show that the target answers, or that it still does not
	if dark && e.flows[p.Flow()].missCounted {
		e.reviewTarget(t, now)
	}
	if !p.Reset && !p.Finish && p.Payload > 0 && e.isLost(t, now) { // a bare acknowledgement may be a sign of life
		e.removeFlow(p.Flow())
		return Decision{Action: Break, Code: resultcode.TargetLost, Target: t, Probe: probe}
	}
	return d
}

// openFlow places a new flow. A copy of an opening packet goes to the same target as the first one, unless that target
// has left it unanswered: then another target is tried. If both answer, the flow opens at the one whose answer the
// caller acknowledges.
func (e *Engine) openFlow(p *Packet, now time.Duration) Decision {
	e.sweep(now)
	route := e.view.Route(p.Endpoint)
	switch {
	case route == nil && e.view.snapshot.Provisional: // the route may be known when the caller retransmits
		return Decision{Action: Drop, Code: resultcode.NotReady}
	case route == nil:
		return Decision{Action: Refuse, Code: resultcode.PacketUnknownEndpoint}
	}
	key := p.Flow()
	earlier, unanswered := e.earlierTarget(key, now)
	if earlier != nil && !unanswered && !earlier.load.isSuspect(now) {
		return Decision{Action: Forward, Target: earlier}
	}
	var suspected *Target
	if unanswered && !e.flows[key].missCounted {
		suspected = earlier.load.recordOpenMiss(earlier, now)
	}
	e.removeFlow(key)
	t := e.view.pick(route, key, now, earlier)
	var probed *Target
	if p.Acknowledgement == 0 {
		probed = e.probeTarget(route, key, now)
		t = cmp.Or(probed, t)
	}
	switch {
	case t == nil && e.view.hasLimited(chooseService(route, key.hash()), now):
		return withoutPermit(p, suspected)
	case t == nil:
		return Decision{Action: Refuse, Code: resultcode.RefusedNoTarget, Suspected: suspected}
	case p.Acknowledgement > 0: // a copy: another balancer may have sent the first one to a target
	case e.overloaded(route, t, key, now):
		return Decision{Action: Refuse, Code: resultcode.RefusedNoSlot, ExpectedWait: t.demand.wait, Suspected: suspected}
	case e.isFull(route, t, now):
		return Decision{Action: Refuse, Code: resultcode.RefusedConnections, Suspected: suspected}
	}
	if t != earlier {
		t.usePermit()
	}
	if e.addFlow(key, flowState{token: t.Token, waiting: true, missCounted: t == earlier, waitStart: now, lastPacket: now}) {
		e.addWait(key, now, now)
		t.load.pending++
	}
	return Decision{Action: Forward, Target: t, Placed: true, Probe: probed != nil, Suspected: suspected}
}

// earlierTarget returns the target of an earlier copy of an opening packet, or nil when there is none, and whether the
// target has left that copy unanswered.
func (e *Engine) earlierTarget(key FlowKey, now time.Duration) (earlier *Target, unanswered bool) {
	f, found := e.flows[key]
	if !found || f.opened || now-f.waitStart >= openingRetention {
		return nil, false
	}
	t := e.view.Resolve(f.token)
	if t == nil || t.Presence > directory.Lapsed || t.evacuated {
		return nil, false
	}
	return t, now-f.waitStart >= answerTimeout
}

// addFlow starts to track a flow. It returns false at the limit of tracked flows; such a flow does not count as load.
func (e *Engine) addFlow(key FlowKey, f flowState) bool {
	if len(e.flows) >= MaxFlows {
		return false
	}
	e.flows[key] = f
	e.expiryOrder = append(e.expiryOrder, key)
	return true
}

// addWait schedules a check of a wait that began at since, for a flow whose last packet arrived at last.
func (e *Engine) addWait(key FlowKey, since, last time.Duration) {
	e.waits = append(e.waits, wait{key: key, start: since, checkAt: last + waitRetention})
}

// expireWaits removes waiting flows whose packets no longer arrive here. Without it their requests would count as load
// of the target, here and at all balancers that get this one's reports, until sweep reaches them.
func (e *Engine) expireWaits(now time.Duration) {
	for len(e.waits) > 0 && now > e.waits[0].checkAt {
		w := e.waits[0]
		e.waits = e.waits[1:]
		f, found := e.flows[w.key]
		switch {
		case !found || !f.waiting || f.waitStart != w.start:
		case f.expired(now):
			e.removeFlow(w.key)
		default:
			e.addWait(w.key, f.waitStart, f.lastPacket)
		}
	}
}

// removeFlow stops tracking a flow and removes it from the load of its target.
func (e *Engine) removeFlow(key FlowKey) {
	f, found := e.flows[key]
	if !found {
		return
	}
	delete(e.flows, key)
	if t := e.view.Resolve(f.token); t != nil {
		t.load.releaseFlow(&f)
	}
}

// sweep checks some of the oldest flows and removes those that have expired.
func (e *Engine) sweep(now time.Duration) {
	for range min(sweepBatch, len(e.expiryOrder)) {
		key := e.expiryOrder[0]
		e.expiryOrder = e.expiryOrder[1:]
		f, found := e.flows[key]
		switch {
		case !found:
		case f.expired(now):
			e.removeFlow(key)
		default:
			e.expiryOrder = append(e.expiryOrder, key)
		}
	}
}

func (f *flowState) expired(now time.Duration) bool {
	idle := now - f.lastPacket
	return idle > flowRetention || f.waiting && idle > waitRetention || !f.opened && idle > openingRetention
}
