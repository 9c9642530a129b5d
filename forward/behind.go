package forward

import (
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// deferTo passes a new flow to a member that has a newer bundle in force. That member sends it to its default target. The
// entry of a connection notes that the later segments belong there too.
func (e *Engine) deferTo(q *query, en *flow.Entry, room flow.LookupResult, current membership.HostID) (Decision, bool) {
	if q.p.Protocol == flow.UDP && !q.ep.service.Info.Idempotent {
		// A duplicate might be decided by yet another bundle, and the request run at two targets.
		return drop(resultcode.PacketNoOwner), false
	}
	d := q.toPeer(current, resultcode.PacketNoOwner)
	if q.p.Protocol == flow.UDP || d.Action != ForwardPeer {
		return d, false
	}
	if room != flow.Free {
		return drop(resultcode.PacketTableFull), false
	}
	en.Epoch = q.st.epochs[q.bucket]
	en.Step(flow.EventDefer)
	return d, true
}

// deferredFromCaller decides about a packet of a flow that was passed to a member with a newer bundle. Until a target
// has answered, the flow may still be placed anew.
func (e *Engine) deferredFromCaller(q *query, en *flow.Entry) (Decision, bool) {
	low := uint16(en.Target) // of the target that has answered, else 0
	if t := q.ep.service.bySource(low); low != 0 && t != nil {
		en.Renew(q.nowMS)
		return e.adoptFromCaller(q, en, flow.Free, t)
	}
	if behind, current := e.behind(q); behind {
		q.source = low
		en.Touch(q.nowMS)
		return q.toPeer(current, resultcode.PacketNoOwner), true
	}
	if low != 0 || !q.p.Has(SYN) {
		// The newer bundle is not known here yet. The caller sends again; without news the entry expires.
		return drop(resultcode.PacketNoTarget), true
	}
	en.Renew(q.nowMS)
	return e.place(q, en, flow.Free)
}

// deferredFromTarget passes on an answer to a deferred flow and notes which target sent it. The balancer that received
// it has checked that the target belongs to the service.
func (e *Engine) deferredFromTarget(q *query, en *flow.Entry) Decision {
	if en.Target == 0 {
		en.Target = flow.TargetID(q.source)
	}
	if uint16(en.Target) != q.source {
		return drop(resultcode.PacketForeignSource)
	}
	return decide(SendCaller, ToCaller)
}

// resolve makes the entry of a deferred flow an ordinary one when the target that has answered is known here.
func (e *Engine) resolve(st *state, k *flow.Key, hash uint64, en *flow.Entry) {
	ep := st.byID[k.Endpoint]
	if en.State() != flow.Deferred || en.Target == 0 || ep == nil {
		return
	}
	t := ep.service.bySource(uint16(en.Target))
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

// byDefault decides without an entry about a flow that another balancer owns: its owner is behind, or no balancer
// agrees who owns it. It relies only on the default target, which the owner will compute as well. asked tells that the
// owner has passed the packet on because it has no entry.
func (e *Engine) byDefault(q *query, asked bool) Decision {
	sv := q.ep.service
	t := sv.defaultTarget(q.hash)
	if asked && q.direction == ToTarget && q.source != 0 {
		return q.deliver(sv.bySource(q.source)) // the owner has seen which target answers
	}
	if t == nil {
		return drop(resultcode.PacketNoTarget)
	}
	if q.direction == ToCaller {
		if uint16(t.id) != q.source {
			return drop(resultcode.PacketUnknownFlow)
		}
		return decide(SendCaller, ToCaller)
	}
	opens := q.p.Protocol == flow.UDP || q.p.Has(SYN)
	if asked && q.info.VNI != 0 && (!opens || q.p.Protocol == flow.UDP && !sv.Info.Idempotent) {
		// The sender knows the service, so it would have decided about this packet itself or dropped it. It passes the packet
		// on because it still takes this balancer, which has restarted, for the owner.
		return drop(resultcode.PacketNoOwner)
	}
	switch {
	case opens && !sv.eligible(t), opens && q.p.Protocol == flow.UDP && !sv.Info.Idempotent && !asked:
		return drop(resultcode.PacketNoOwner)
	case !opens && !asked && !q.adoptable():
		return drop(resultcode.PacketUnknownFlow)
	}
	return q.deliver(t)
}
