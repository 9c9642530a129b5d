package forward

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// callerRetryTime is how long repetitions of an unanswered datagram can arrive: callers repeat it for 10 s, and 2 s are
// allowed for network delay.
const callerRetryTime = 12 * time.Second

// unknownFromCaller decides about a packet of a caller for a flow that has no entry. It also reports whether it
// has filled in the entry, which is then kept.
func (e *Engine) unknownFromCaller(q *query, en *flow.Entry, result flow.LookupResult) (Decision, bool) {
	if q.p.Protocol == flow.TCP && (!q.p.Has(SYN) || q.p.Has(ACK)) {
		return e.adoptFromCaller(q, en, result, q.baselineTarget())
	}
	if behind, current := e.behind(q); behind {
		return e.deferToPeer(q, en, result, current)
	}
	if e.outcomeUnknown(q) {
		return drop(resultcode.OutcomeUnknown), false
	}
	return e.place(q, en, result)
}

// recentTakeover reports whether the bucket was taken over after a failure so recently that retransmissions may arrive of
// packets that its earlier owner forwarded for flows that are not known here.
func (q *query) recentTakeover() bool { return q.takenOverWithin(takeoverWindow) }

func (q *query) takenOverWithin(d time.Duration) bool {
	at := q.st.Buckets[q.bucket].TakenOverAt
	return at != 0 && q.now-at < d
}

// outcomeUnknown reports whether a datagram may repeat a request that the earlier owner sent to a target other than the
// one that would be selected now, because the default is not eligible or another bundle was in force recently. This also
// applies after a planned handover, since requests on their default targets are not handed over.
func (e *Engine) outcomeUnknown(q *query) bool {
	sv := q.ep.service
	if q.p.Protocol != flow.UDP || sv.Info.Idempotent {
		return false
	}
	d := sv.defaultTarget(q.hash)
	// With slots, admission selects any target with a free one, and exceptions of the last 100 ms may be lost with the owner.
	slotLimited := sv.short && sv.Info.Limits.SlotsPerTarget > 0
	if slotLimited && q.takenOverWithin(callerRetryTime) || q.recentTakeover() && e.history.incomplete(q.now) {
		return true
	}
	// Callers repeat for longer than takeoverWindow, because nothing is refused while a lost member may still be running.
	recent := q.recentTakeover() || e.ownerChanges.recent(q.bucket, q.now) || q.st.PossiblyPartitioned
	return recent && (!sv.eligible(d) || q.baselineTarget() != d || !e.history.sameDefault(sv, q.hash, d.id, q.now))
}

// adoptable reports whether a connection without an entry can be assumed to be on its default target: the exceptions of
// its bucket are complete, or the service is idempotent.
func (q *query) adoptable() bool {
	return q.st.Buckets[q.bucket].InSync || q.ep.service.Info.Idempotent
}

// resetUnknown resets a connection whose target cannot be determined. Soon after the loss of a member the owner may be on
// the other side of a partition, where the connection is intact; the packet is then dropped, and its sender retransmits.
func (q *query) resetUnknown() Decision {
	if q.st.LostRecently {
		return drop(resultcode.PacketUnknownFlow)
	}
	return q.reset(resultcode.PacketUnknownFlow)
}

// adoptFromCaller adds an entry for a running connection on the target t, or resets the connection. The packet is also
// delivered when the table has no room for an entry, since the target is a pure function of the flow.
func (e *Engine) adoptFromCaller(q *query, en *flow.Entry, result flow.LookupResult, t *target) (Decision, bool) {
	if q.p.Has(SYN) {
		return drop(resultcode.PacketMalformed), false // only targets answer a SYN
	}
	if !q.adoptable() {
		return q.resetUnknown(), false
	}
	if t == nil {
		return q.reset(resultcode.PacketNoTarget), false
	}
	if q.p.Has(RST) || result != flow.Free {
		return q.deliver(t), false
	}
	e.initEntry(q, en, t)
	e.reportException(q, en)
	en.FromCaller(q.p.segment(), q.nowMS)
	return q.deliver(t), true
}

// reportException reports the flow of a new entry to the sink if it is an exception.
func (e *Engine) reportException(q *query, en *flow.Entry) {
	if q.ep.service.needsCopy(q.hash, en.Target) {
		en.Flags |= flow.FlagException
		e.sink.ExceptionAdded(q.bucket, Exception{Key: q.key, Target: en.Target})
	}
}

// initEntry fills in the entry of a flow that is placed on a target.
func (e *Engine) initEntry(q *query, en *flow.Entry, t *target) {
	en.Target, en.Epoch = t.id, q.st.epochs[q.bucket]
	en.Step(q.p.event(q.direction))
	e.countOpen(q.st, en)
}

// place requests admission for a new flow.
func (e *Engine) place(q *query, en *flow.Entry, result flow.LookupResult) (Decision, bool) {
	if result != flow.Free {
		return e.placeWithoutEntry(q), false
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
	// Both sides of a partition may get packets of one flow. They compute the same default target, but see different loads.
	if sv.prefersDefault || sv.replicated && q.st.PossiblyPartitioned {
		if d := sv.defaultTarget(q.hash); sv.eligible(d) {
			r.View = singleTargetView{&sv.view, d.position}
		}
	}
	return r
}

// admit places an admitted flow on the target of the verdict.
func (e *Engine) admit(q *query, en *flow.Entry, v Verdict) (Decision, bool) {
	t := q.ep.service.verdictTarget(v)
	if t == nil {
		id := v.ID
		if id == 0 && v.Target >= 0 && v.Target < len(q.ep.service.Table.Targets) {
			id = q.ep.service.Table.Targets[v.Target].ID
		}
		e.admission.Done(q.now, q.ep.service.id, id, 0, false)
		return drop(resultcode.PacketNoTarget), false
	}
	e.initEntry(q, en, t)
	en.Flags |= flow.FlagAdmitted
	if q.p.Protocol == flow.TCP {
		en.FromCaller(q.p.segment(), q.nowMS)
	}
	e.reportException(q, en)
	return q.deliver(t), true
}

// verdictTarget returns the target that a verdict selects, or nil when the service has no such target.
func (sv *service) verdictTarget(v Verdict) *target {
	i := v.Target
	if v.ID != 0 {
		i = sv.Table.Index(v.ID)
	}
	if i < 0 || i >= len(sv.targets) {
		return nil
	}
	return sv.targets[i]
}

// placeWithoutEntry lets sessions open while a flood fills the table: the packet is delivered to the default target, and
// no entry is stored. Packets of short requests are dropped, because the slots of their flows could not be counted.
func (e *Engine) placeWithoutEntry(q *query) Decision {
	sv := q.ep.service
	if t := sv.defaultTarget(q.hash); !sv.short && sv.eligible(t) && t == q.baselineTarget() {
		return q.deliver(t)
	}
	return drop(resultcode.PacketTableFull)
}

// refuse answers the caller that the request was not run, if this is certain. Otherwise it drops the packet, and the
// caller times out.
func (e *Engine) refuse(q *query, code resultcode.Code) Decision {
	if !q.st.owns(q.bucket) || q.recentTakeover() || e.ownerChanges.recent(q.bucket, q.now) {
		return drop(code)
	}
	// A datagram may repeat a request that the fabric delivered to the other side of a partition. A SYN carries no request.
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
func (e *Engine) unknownFromTarget(q *query, en *flow.Entry, result flow.LookupResult) (Decision, bool) {
	answer := decide(SendCaller, ToCaller)
	if q.p.Protocol == flow.UDP {
		return e.unknownDatagramFromTarget(q, en, result)
	}
	t := q.baselineTarget()
	if d := q.ep.service.defaultTarget(q.hash); d != nil && uint16(d.id) == q.targetBits {
		t = d // the flow is on the target that answers
	}
	switch {
	case t == nil || uint16(t.id) != q.targetBits:
		return drop(resultcode.PacketUnknownFlow), false
	case q.p.Flags&(SYN|RST) != 0:
		return answer, false // the flow was placed without an entry
	case !q.adoptable():
		return q.resetUnknown(), false
	case result == flow.Full:
		return answer, false
	}
	e.initEntry(q, en, t)
	e.reportException(q, en)
	en.FromTarget(q.p.segment(), q.nowMS)
	return answer, true
}

// unknownDatagramFromTarget returns a late answer to the caller. The flow is on the target that answers, so an entry is
// added for that target.
func (e *Engine) unknownDatagramFromTarget(q *query, en *flow.Entry, result flow.LookupResult) (Decision, bool) {
	answer := decide(SendCaller, ToCaller)
	t := q.ep.service.targetByLowBits(q.targetBits)
	if behind, _ := e.behind(q); behind || result == flow.Full {
		return answer, false
	}
	if t == nil {
		return drop(resultcode.PacketUnknownFlow), false
	}
	e.initEntry(q, en, t)
	e.reportException(q, en)
	return answer, true
}

// targetByLowBits returns the target of the service, retired ones included, whose ID has the given low 16 bits, or nil.
func (sv *service) targetByLowBits(lowBits uint16) *target {
	for _, list := range [...][]*target{sv.targets, sv.retired} {
		for _, t := range list {
			if t != nil && uint16(t.id) == lowBits {
				return t
			}
		}
	}
	return nil
}
