package forward

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ownerFromCaller decides about a packet of a caller whose flow this balancer owns.
func (e *Engine) ownerFromCaller(q *query) (d Decision) {
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, room flow.LookupResult) (keep bool) {
		if room == flow.Found && e.renewed(q, en) {
			room = flow.Free
		}
		if room != flow.Found {
			d, keep = e.unknownFromCaller(q, en, room)
			return keep
		}
		d, keep = e.knownFromCaller(q, en)
		return keep
	})
	return d
}

// renewed makes the entry a new one if it is out of date, and reports whether it did.
func (e *Engine) renewed(q *query, en *flow.Entry) bool {
	fresh := en.Epoch == q.st.epochs[q.bucket] && !en.Expired(q.nowMS)
	if fresh && !(q.direction == ToTarget && reopens(q.p, en)) {
		return false
	}
	e.finish(q.st, q.now, &q.key, en)
	en.Renew(q.nowMS)
	return true
}

// reopens reports whether the packet opens a new connection with the addresses and ports of a closed one. A SYN that
// does not come after the sequence numbers of the old connection is a late duplicate.
func reopens(p *Packet, en *flow.Entry) bool {
	return en.State() == flow.Closed && p.Has(SYN) && !p.Has(ACK) && en.IsNewSequence(p.Seq)
}

func (e *Engine) knownFromCaller(q *query, en *flow.Entry) (Decision, bool) {
	if en.State() == flow.Deferred {
		return e.deferredFromCaller(q, en)
	}
	en.Touch(q.nowMS)
	if en.State() == flow.Waiting {
		return q.whileWaiting(), true
	}
	t := q.st.target(en.Target)
	if t == nil || t.service != q.ep.service {
		return e.targetGone(q, en)
	}
	if q.movable(en, t) {
		e.finish(q.st, q.now, &q.key, en)
		en.Renew(q.nowMS)
		return e.place(q, en, flow.Free)
	}
	if q.p.Protocol == flow.UDP {
		return q.deliver(t), true
	}
	en.FromCaller(q.p.segment(), q.nowMS)
	if en.State() != flow.Established || q.p.Flags&(FIN|RST|SYN) != 0 {
		e.step(q, en)
	}
	return q.deliver(t), true
}

// movable reports whether the flow can be placed anew because its target cannot take it: a connection of which the target
// has seen only SYNs, without data, and has answered none, or a flow of idempotent datagrams.
func (q *query) movable(en *flow.Entry, t *target) bool {
	if q.p.Protocol == flow.UDP {
		return q.ep.service.Info.Idempotent && !t.usable()
	}
	return en.State() == flow.Opening && q.p.Has(SYN) && q.p.Payload == 0 && !q.ep.service.eligible(t)
}

// whileWaiting decides about a further packet of a flow that waits for admission. Datagrams of one request are kept
// together; a repeated SYN adds nothing.
func (q *query) whileWaiting() Decision {
	if q.p.Protocol == flow.UDP {
		return decide(Hold, ToTarget)
	}
	return drop(resultcode.OK)
}

// targetGone ends a flow whose target is no longer known or whose address belongs to another service.
func (e *Engine) targetGone(q *query, en *flow.Entry) (Decision, bool) {
	if q.p.Protocol == flow.UDP {
		// The entry of a request that may run only once stays, so that a duplicate is not placed elsewhere.
		return drop(resultcode.PacketNoTarget), !q.ep.service.Info.Idempotent
	}
	e.finish(q.st, q.now, &q.key, en)
	return q.reset(resultcode.PacketNoTarget), false
}

// deliver sends the packet to a target. The caller has made sure that the target belongs to the flow's service;
// the check stands here as well, before every delivery, because a wrong delivery is worse than a lost packet.
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
		t := q.ep.service.bySource(q.source)
		if t == nil {
			return drop(code)
		}
		d.to, d.VNI = &t.addr, t.vni
	}
	return d
}

// ownerFromTarget decides about a packet of a target whose flow this balancer owns.
func (e *Engine) ownerFromTarget(q *query) (d Decision) {
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, room flow.LookupResult) (keep bool) {
		if room == flow.Found && e.renewed(q, en) {
			room = flow.Free
		}
		if room != flow.Found {
			d, keep = e.unknownFromTarget(q, en, room)
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
	if en.State() == flow.Waiting || uint16(en.Target) != q.source {
		return drop(resultcode.PacketForeignSource) // a late answer of a target that the flow no longer uses
	}
	en.Touch(q.nowMS)
	d := decide(SendCaller, ToCaller)
	if q.p.Protocol == flow.UDP {
		if en.State() == flow.Unconfirmed {
			e.step(q, en)
			if q.ep.service.short { // the request is answered; the entry stays for late packets
				e.uncount(q.st, en)
				e.done(q.now, q.ep.service.id, en, q.nowMS, false)
			}
		}
		return d
	}
	en.FromTarget(q.p.segment(), q.nowMS)
	if en.State() != flow.Established || q.p.Flags&(FIN|RST|SYN) != 0 {
		if en.State() == flow.Opening && q.p.Has(RST) {
			d.Code = resultcode.TargetRefused
		}
		e.step(q, en)
	}
	return d
}

// step applies the packet to the state of its flow and reports the end of the flow.
func (e *Engine) step(q *query, en *flow.Entry) {
	before := en.State()
	en.Step(q.p.event(q.direction))
	if before.Open() && en.State() == flow.Closed {
		e.uncount(q.st, en)
		e.done(q.now, q.ep.service.id, en, q.nowMS, before == flow.Opening && q.direction == ToCaller)
	}
}

// done tells admission that a flow ended, once.
func (e *Engine) done(now time.Duration, id flow.ServiceID, en *flow.Entry, nowMS uint32, refused bool) {
	if !en.Has(flow.FlagAdmitted) {
		return
	}
	en.Flags &^= flow.FlagAdmitted
	e.admission.Done(now, id, en.Target, time.Duration(en.AgeMS(nowMS))*time.Millisecond, refused)
}

// finish ends the accounting of an entry that is removed or renewed.
func (e *Engine) finish(st *state, now time.Duration, k *flow.Key, en *flow.Entry) {
	if en.State() == flow.Waiting {
		e.admission.Cancel(now, *k)
		return
	}
	e.uncount(st, en)
	if ep := st.byID[k.Endpoint]; ep != nil {
		e.done(now, ep.service.id, en, uint32(now.Milliseconds()), false)
	} else if en.Has(flow.FlagAdmitted) {
		e.done(now, e.serviceOf(en.Target), en, uint32(now.Milliseconds()), false)
	}
	if en.Has(flow.FlagException) {
		en.Flags &^= flow.FlagException
		e.sink.ExceptionRemoved(bucketOf(k), *k)
	}
}
