package forward

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// repeatTime is how long callers repeat an unanswered datagram: 10 s, and some time on the way.
const repeatTime = 12 * time.Second

// unknownFromCaller decides about a packet of a flow that has no entry. It fills in the entry when the flow is to have
// one.
func (e *Engine) unknownFromCaller(q *query, en *flow.Entry, room flow.LookupResult) (Decision, bool) {
	if q.p.Protocol == flow.TCP && (!q.p.Has(SYN) || q.p.Has(ACK)) {
		return e.adoptFromCaller(q, en, room, q.earlierTarget())
	}
	if behind, current := e.behind(q); behind {
		return e.deferTo(q, en, room, current)
	}
	if e.unknownOutcome(q) {
		return drop(resultcode.OutcomeUnknown), false
	}
	return e.place(q, en, room)
}

// recentTakeover reports whether the bucket was taken over by failure so recently that its earlier owner may have
// forwarded packets of flows that are not known here.
func (q *query) recentTakeover() bool { return q.takenOverWithin(takeoverWindow) }

func (q *query) takenOverWithin(d time.Duration) bool {
	at := q.st.Buckets[q.bucket].TakenOverAt
	return at != 0 && q.now-at < d
}

// unknownOutcome reports whether a datagram may repeat a request that the earlier owner sent to a target other than the
// one that it would get now: the default is not eligible, or another bundle was in force lately. After a planned handover too,
// requests on their default targets are not known.
func (e *Engine) unknownOutcome(q *query) bool {
	sv := q.ep.service
	if q.p.Protocol != flow.UDP || sv.Info.Idempotent {
		return false
	}
	d := sv.defaultTarget(q.hash)
	// With slots, admission takes any target that has a free one, and a copy of the last 100 ms may be lost with its owner.
	slots := sv.short && sv.Info.Limits.SlotsPerTarget > 0
	if slots && q.takenOverWithin(repeatTime) || q.recentTakeover() && e.history.short(q.now) {
		return true
	}
	// Callers repeat for longer than the window after a takeover, because nothing is refused while a lost member may
	// still decide.
	recent := q.recentTakeover() || e.moves.recent(q.bucket, q.now) || q.st.PossiblyPartitioned
	return recent && (!sv.eligible(d) || q.earlierTarget() != d || !e.history.sameDefault(sv, q.hash, d.id, q.now))
}

// adoptable reports whether a connection without an entry can be taken to be on its default target.
func (q *query) adoptable() bool {
	return q.st.Buckets[q.bucket].InSync || q.ep.service.Info.Idempotent
}

// endUnknown ends a connection whose target cannot be known. Soon after a loss its owner may be on the other side of a
// partition, where the connection is whole: a packet that came to this side is then dropped and sent again.
func (q *query) endUnknown() Decision {
	if q.st.LostRecently {
		return drop(resultcode.PacketUnknownFlow)
	}
	return q.reset(resultcode.PacketUnknownFlow)
}

// adoptFromCaller takes up a running connection on the target t, or resets it. A flow that finds no room is delivered all
// the same: its target is a pure function of the flow.
func (e *Engine) adoptFromCaller(q *query, en *flow.Entry, room flow.LookupResult, t *target) (Decision, bool) {
	if q.p.Has(SYN) {
		return drop(resultcode.PacketMalformed), false // only targets answer a SYN
	}
	if !q.adoptable() {
		return q.endUnknown(), false
	}
	if t == nil {
		return q.reset(resultcode.PacketNoTarget), false
	}
	if q.p.Has(RST) || room != flow.Free {
		return q.deliver(t), false
	}
	e.enter(q, en, t)
	e.report(q, en)
	en.FromCaller(q.p.segment(), q.nowMS)
	return q.deliver(t), true
}

// report reports the flow of a new entry as an exception if it is one.
func (e *Engine) report(q *query, en *flow.Entry) {
	if q.ep.service.needsCopy(q.hash, en.Target) {
		en.Flags |= flow.FlagException
		e.sink.ExceptionAdded(q.bucket, Exception{Key: q.key, Target: en.Target})
	}
}

// enter makes an entry for a flow on a target.
func (e *Engine) enter(q *query, en *flow.Entry, t *target) {
	en.Target, en.Epoch = t.id, q.st.epochs[q.bucket]
	en.Step(q.p.event(q.direction))
	e.countOpen(q.st, en)
}

// place asks for a target for a new flow.
func (e *Engine) place(q *query, en *flow.Entry, room flow.LookupResult) (Decision, bool) {
	if room != flow.Free {
		return e.placeWithoutRoom(q), false
	}
	if q.st.Stopping && (q.st.Map == nil || q.st.Map.Backup(q.bucket) == 0) {
		return e.refuse(q, resultcode.RefusedShutdown), false // no other balancer can take the flow over
	}
	verdict := e.admission.Admit(q.now, q.request())
	switch verdict.Outcome {
	case Admitted:
		return e.admit(q, en, verdict)
	case Waiting:
		en.Epoch = q.st.epochs[q.bucket]
		en.Step(flow.EventWait)
		return decide(Hold, ToTarget), true
	}
	return e.refuse(q, verdict.Code), false
}

func (q *query) request() Request {
	sv := q.ep.service
	r := Request{Key: q.key, Hash: q.hash, Service: sv.ServiceState, View: &sv.view}
	// Both sides of a partition may get packets of one flow. They agree on its default target, but not on loads.
	if sv.steady || sv.copied && q.st.PossiblyPartitioned {
		if d := sv.defaultTarget(q.hash); sv.eligible(d) {
			r.View = onlyView{&sv.view, d.position}
		}
	}
	return r
}

// admit puts an admitted flow on its target.
func (e *Engine) admit(q *query, en *flow.Entry, v Verdict) (Decision, bool) {
	t := q.ep.service.chosen(v)
	if t == nil {
		id := v.ID
		if id == 0 && v.Target >= 0 && v.Target < len(q.ep.service.Table.Targets) {
			id = q.ep.service.Table.Targets[v.Target].ID
		}
		e.admission.Done(q.now, q.ep.service.id, id, 0, false)
		return drop(resultcode.PacketNoTarget), false
	}
	e.enter(q, en, t)
	en.Flags |= flow.FlagAdmitted
	if q.p.Protocol == flow.TCP {
		en.FromCaller(q.p.segment(), q.nowMS)
	}
	e.report(q, en)
	return q.deliver(t), true
}

// chosen returns the target that a verdict names, or nil when the service has no such target.
func (sv *service) chosen(v Verdict) *target {
	i := v.Target
	if v.ID != 0 {
		i = sv.Table.Index(v.ID)
	}
	if i < 0 || i >= len(sv.targets) {
		return nil
	}
	return sv.targets[i]
}

// placeWithoutRoom lets sessions open while a flood fills the table: without an entry a flow goes to its default
// target. Short work is dropped, because its slots could not be counted.
func (e *Engine) placeWithoutRoom(q *query) Decision {
	sv := q.ep.service
	if t := sv.defaultTarget(q.hash); !sv.short && sv.eligible(t) && t == q.earlierTarget() {
		return q.deliver(t)
	}
	return drop(resultcode.PacketTableFull)
}

// refuse answers that nothing was run, when this is certain. Otherwise the packet is dropped, and the caller finds out
// by itself.
func (e *Engine) refuse(q *query, code resultcode.Code) Decision {
	if !q.st.owns(q.bucket) || q.recentTakeover() || e.moves.recent(q.bucket, q.now) {
		return drop(code)
	}
	// A datagram may repeat a request that the fabric handed to the other side of a partition. A SYN carries no request.
	if q.p.Protocol == flow.UDP && q.st.PossiblyPartitioned {
		return drop(code)
	}
	d := decide(Refuse, ToTarget)
	d.Reply, d.Code = ReplyRefused, code
	if q.p.Protocol == flow.TCP {
		d.Reply = ReplyRST
	}
	return d
}

// unknownFromTarget decides about a packet of a target for a flow without an entry.
func (e *Engine) unknownFromTarget(q *query, en *flow.Entry, room flow.LookupResult) (Decision, bool) {
	answer := decide(SendCaller, ToCaller)
	if q.p.Protocol == flow.UDP {
		return e.unknownDatagram(q, en, room)
	}
	t := q.earlierTarget()
	if d := q.ep.service.defaultTarget(q.hash); d != nil && uint16(d.id) == q.source {
		t = d // the target that answers is the one that has the flow
	}
	switch {
	case t == nil || uint16(t.id) != q.source:
		return drop(resultcode.PacketUnknownFlow), false
	case q.p.Flags&(SYN|RST) != 0:
		return answer, false // for a flow that was placed without room
	case !q.adoptable():
		return q.endUnknown(), false
	case room == flow.Full:
		return answer, false
	}
	e.enter(q, en, t)
	e.report(q, en)
	en.FromTarget(q.p.segment(), q.nowMS)
	return answer, true
}

// unknownDatagram passes a late answer on. The target that answers is the one that has the flow, so the flow is put
// there.
func (e *Engine) unknownDatagram(q *query, en *flow.Entry, room flow.LookupResult) (Decision, bool) {
	answer := decide(SendCaller, ToCaller)
	t := q.ep.service.bySource(q.source)
	if behind, _ := e.behind(q); behind || room == flow.Full {
		return answer, false
	}
	if t == nil {
		return drop(resultcode.PacketUnknownFlow), false
	}
	e.enter(q, en, t)
	e.report(q, en)
	return answer, true
}

// bySource returns the target of the service whose ID ends in the given bits, or nil. Retired targets count.
func (sv *service) bySource(low uint16) *target {
	for _, list := range [...][]*target{sv.targets, sv.retired} {
		for _, t := range list {
			if t != nil && uint16(t.id) == low {
				return t
			}
		}
	}
	return nil
}
