package forward

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ownerFromCaller decides about a packet of a caller whose flow this balancer owns.
func (e *Engine) ownerFromCaller(q *query) (d Decision) {
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, result flow.LookupResult) (keep bool) {
		if result == flow.Found && e.renewIfStale(q, en) {
			result = flow.Free
		}
		if result != flow.Found {
			d, keep = e.unknownFromCaller(q, en, result)
			return keep
		}
		d, keep = e.knownFromCaller(q, en)
		return keep
	})
	return d
}

// renewIfStale resets the entry to that of a new flow if it is out of date, and reports whether it did.
func (e *Engine) renewIfStale(q *query, en *flow.Entry) bool {
	fresh := en.Epoch == q.st.epochs[q.bucket] && !en.Expired(q.nowMS)
	if fresh && !(q.direction == ToTarget && reopens(q.p, en)) {
		return false
	}
	e.endAccounting(q.st, q.now, &q.key, en)
	en.Renew(q.nowMS)
	return true
}

// reopens reports whether the packet opens a new connection with the addresses and ports of a closed one. A SYN whose
// sequence number is not above those of the old connection is a late duplicate.
func reopens(p *Packet, en *flow.Entry) bool {
	return en.State() == flow.Closed && p.Has(SYN) && !p.Has(ACK) && en.IsNewSequence(p.Seq)
}

func (e *Engine) knownFromCaller(q *query, en *flow.Entry) (Decision, bool) {
	if en.State() == flow.Deferred {
		return e.deferredFromCaller(q, en)
	}
	en.Touch(q.nowMS)
	if en.State() == flow.Waiting {
		return q.decideWhileWaiting(), true
	}
	t := q.st.target(en.Target)
	if t == nil || t.service != q.ep.service {
		return e.targetGone(q, en)
	}
	if q.reassignable(en, t) {
		e.endAccounting(q.st, q.now, &q.key, en)
		en.Renew(q.nowMS)
		return e.place(q, en, flow.Free)
	}
	if q.p.Protocol == flow.UDP {
		return q.deliver(t), true
	}
	en.FromCaller(q.p.segment(), q.nowMS)
	if en.State() != flow.Established || q.p.Flags&(FIN|RST|SYN) != 0 {
		e.applyEvent(q, en)
	}
	return q.deliver(t), true
}

// reassignable reports whether the flow can be placed on another target because its own cannot accept it. This is the
// case for a connection of which the target has seen only SYNs without data and has answered none, and for a flow of
// idempotent datagrams.
func (q *query) reassignable(en *flow.Entry, t *target) bool {
	if q.p.Protocol == flow.UDP {
		return q.ep.service.Info.Idempotent && !t.usable()
	}
	return en.State() == flow.Opening && q.p.Has(SYN) && q.p.Payload == 0 && !q.ep.service.eligible(t)
}

// decideWhileWaiting decides about another packet of a flow that waits for admission. Further datagrams are held too; a
// retransmitted SYN is dropped, since the first one is held.
func (q *query) decideWhileWaiting() Decision {
	if q.p.Protocol == flow.UDP {
		return decide(Hold, ToTarget)
	}
	return drop(resultcode.OK)
}

// targetGone decides about a packet of a flow whose target is no longer known or belongs to another service, and ends the
// flow unless it is a request that may run only once.
func (e *Engine) targetGone(q *query, en *flow.Entry) (Decision, bool) {
	if q.p.Protocol == flow.UDP {
		// The entry of a non-idempotent request is kept, so that a duplicate is not placed on another target.
		return drop(resultcode.PacketNoTarget), !q.ep.service.Info.Idempotent
	}
	e.endAccounting(q.st, q.now, &q.key, en)
	return q.reset(resultcode.PacketNoTarget), false
}

// deliver sends the packet to a target. The calling function has checked that the target belongs to the flow's service.
// The check is repeated before every delivery, because a packet delivered to another service is worse than a lost one.
func (q *query) deliver(t *target) Decision {
	if t == nil || t.service != q.ep.service {
		return drop(resultcode.PacketNoTarget)
	}
	return Decision{Effect: Effect{Action: ForwardTarget, Direction: ToTarget}, Attributes: Attributes{VNI: t.vni}, to: &t.addr}
}

// reset answers a TCP segment with a RST, unless it is a RST itself.
func (q *query) reset(code resultcode.Code) Decision {
	if q.p.Protocol != flow.TCP || q.p.Has(RST) {
		return drop(code)
	}
	d := decide(Reset, q.direction)
	d.Reply, d.Code = ReplyRST, code
	if q.direction == ToCaller {
		t := q.ep.service.targetByLowBits(q.targetBits)
		if t == nil {
			return drop(code)
		}
		d.to, d.VNI = &t.addr, t.vni
	}
	return d
}

// ownerFromTarget decides about a packet of a target whose flow this balancer owns.
func (e *Engine) ownerFromTarget(q *query) (d Decision) {
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, result flow.LookupResult) (keep bool) {
		if result == flow.Found && e.renewIfStale(q, en) {
			result = flow.Free
		}
		if result != flow.Found {
			d, keep = e.unknownFromTarget(q, en, result)
			return keep
		}
		if en.State() == flow.Deferred {
			en.Touch(q.nowMS)
			d = e.deferredFromTarget(q, en)
			return true
		}
		d = e.knownFromTarget(q, en)
		return true
	})
	return d
}

func (e *Engine) knownFromTarget(q *query, en *flow.Entry) Decision {
	if en.State() == flow.Waiting || uint16(en.Target) != q.targetBits {
		return drop(resultcode.PacketForeignSource) // a late answer from a target that the flow no longer uses
	}
	en.Touch(q.nowMS)
	d := decide(SendCaller, ToCaller)
	if q.p.Protocol == flow.UDP {
		if en.State() == flow.Unconfirmed {
			e.applyEvent(q, en)
			if q.ep.service.short { // the request is answered; the entry is kept for late packets
				e.uncountOpen(q.st, en)
				e.reportDone(q.now, q.ep.service.id, en, q.nowMS, false)
			}
		}
		return d
	}
	en.FromTarget(q.p.segment(), q.nowMS)
	if en.State() != flow.Established || q.p.Flags&(FIN|RST|SYN) != 0 {
		if en.State() == flow.Opening && q.p.Has(RST) {
			d.Code = resultcode.TargetRefused
		}
		e.applyEvent(q, en)
	}
	return d
}

// applyEvent updates the state of the flow with the packet, and ends the accounting of a flow that the packet closes.
func (e *Engine) applyEvent(q *query, en *flow.Entry) {
	before := en.State()
	en.Step(q.p.event(q.direction))
	if before.Open() && en.State() == flow.Closed {
		e.uncountOpen(q.st, en)
		e.reportDone(q.now, q.ep.service.id, en, q.nowMS, before == flow.Opening && q.direction == ToCaller)
	}
}

// reportDone reports the end of an admitted flow to admission, at most once per flow.
func (e *Engine) reportDone(now time.Duration, id flow.ServiceID, en *flow.Entry, nowMS uint32, refused bool) {
	if !en.Has(flow.FlagAdmitted) {
		return
	}
	en.Flags &^= flow.FlagAdmitted
	e.admission.Done(now, id, en.Target, time.Duration(en.AgeMS(nowMS))*time.Millisecond, refused)
}

// endAccounting releases what an entry that is removed or renewed holds: the request that waits for admission, or the
// open-flow count, the admission slot and the exception of the flow.
func (e *Engine) endAccounting(st *lookupState, now time.Duration, k *flow.Key, en *flow.Entry) {
	if en.State() == flow.Waiting {
		e.admission.Cancel(now, *k)
		return
	}
	e.uncountOpen(st, en)
	if ep := st.byID[k.Endpoint]; ep != nil {
		e.reportDone(now, ep.service.id, en, uint32(now.Milliseconds()), false)
	} else if en.Has(flow.FlagAdmitted) {
		e.reportDone(now, e.serviceOf(en.Target), en, uint32(now.Milliseconds()), false)
	}
	if en.Has(flow.FlagException) {
		en.Flags &^= flow.FlagException
		e.sink.ExceptionRemoved(bucketOf(k), *k)
	}
}
