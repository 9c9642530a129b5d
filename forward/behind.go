package forward

import (
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// deferToPeer forwards a new flow to a member that has a newer bundle in force. That member sends it to its default target.
// The entry of a connection records that its later segments are to be forwarded too.
func (e *Engine) deferToPeer(q *query, en *flow.Entry, result flow.LookupResult, current membership.HostID) (Decision, bool) {
	if q.p.Protocol == flow.UDP && !q.ep.service.Info.Idempotent {
		// A duplicate might be decided by yet another bundle, and the request would run at two targets.
		return drop(resultcode.PacketNoOwner), false
	}
	d := q.forwardToPeer(current, resultcode.PacketNoOwner)
	if q.p.Protocol == flow.UDP || d.Action != ForwardPeer {
		return d, false
	}
	if result != flow.Free {
		return drop(resultcode.PacketTableFull), false
	}
	en.Epoch = q.st.epochs[q.bucket]
	en.Step(flow.EventDefer)
	return d, true
}

// deferredFromCaller decides about a packet of a flow that was forwarded to a member with a newer bundle. Until a target
// has answered, the flow may still be placed on another one.
func (e *Engine) deferredFromCaller(q *query, en *flow.Entry) (Decision, bool) {
	lowBits := uint16(en.Target) // of the target that has answered, or 0
	if t := q.ep.service.targetByLowBits(lowBits); lowBits != 0 && t != nil {
		en.Renew(q.nowMS)
		return e.adoptFromCaller(q, en, flow.Free, t)
	}
	if behind, current := e.behind(q); behind {
		q.targetBits = lowBits
		en.Touch(q.nowMS)
		return q.forwardToPeer(current, resultcode.PacketNoOwner), true
	}
	if lowBits != 0 || !q.p.Has(SYN) {
		// The newer bundle has not arrived here yet. The caller retransmits; if the bundle does not arrive, the entry expires.
		return drop(resultcode.PacketNoTarget), true
	}
	en.Renew(q.nowMS)
	return e.place(q, en, flow.Free)
}

// deferredFromTarget returns an answer of a deferred flow to the caller and records which target sent it. The balancer
// that received the answer has checked that the target belongs to the service.
func (e *Engine) deferredFromTarget(q *query, en *flow.Entry) Decision {
	if en.Target == 0 {
		en.Target = flow.TargetID(q.targetBits)
	}
	if uint16(en.Target) != q.targetBits {
		return drop(resultcode.PacketForeignSource)
	}
	return decide(SendCaller, ToCaller)
}

// resolveDeferred turns the entry of a deferred flow into that of an established one, if the target that has answered is
// in the bundle in force here.
func (e *Engine) resolveDeferred(st *lookupState, k *flow.Key, hash uint64, en *flow.Entry) {
	ep := st.byID[k.Endpoint]
	if en.State() != flow.Deferred || en.Target == 0 || ep == nil {
		return
	}
	t := ep.service.targetByLowBits(uint16(en.Target))
	if t == nil {
		return
	}
	en.Target = t.id
	en.SetState(flow.Established)
	e.countOpen(st, en)
	if ep.service.needsCopy(hash, t.id) {
		en.Flags |= flow.FlagException
		e.sink.ExceptionAdded(ownership.BucketOf(hash), Exception{Key: *k, Target: t.id})
	}
}

// decideByDefault decides without an entry about a flow that this balancer does not own, because the owner has an older
// bundle or the balancers do not agree on the owner. It uses only the default target, which the owner computes as well.
// sentByOwner reports that the owner has forwarded the packet because it has no entry.
func (e *Engine) decideByDefault(q *query, sentByOwner bool) Decision {
	sv := q.ep.service
	t := sv.defaultTarget(q.hash)
	if sentByOwner && q.direction == ToTarget && q.targetBits != 0 {
		return q.deliver(sv.targetByLowBits(q.targetBits)) // the owner knows which target has answered
	}
	if t == nil {
		return drop(resultcode.PacketNoTarget)
	}
	if q.direction == ToCaller {
		if uint16(t.id) != q.targetBits {
			return drop(resultcode.PacketUnknownFlow)
		}
		return decide(SendCaller, ToCaller)
	}
	opens := q.p.Protocol == flow.UDP || q.p.Has(SYN)
	if sentByOwner && q.info.VNI != 0 && (!opens || q.p.Protocol == flow.UDP && !sv.Info.Idempotent) {
		// The sender has the service in its bundle, so as the owner it would have decided about this packet or dropped it. It
		// has forwarded the packet because it still regards this balancer, which has restarted, as the owner.
		return drop(resultcode.PacketNoOwner)
	}
	switch {
	case opens && !sv.eligible(t), opens && q.p.Protocol == flow.UDP && !sv.Info.Idempotent && !sentByOwner:
		return drop(resultcode.PacketNoOwner)
	case !opens && !sentByOwner && !q.adoptable():
		return drop(resultcode.PacketUnknownFlow)
	}
	return q.deliver(t)
}
