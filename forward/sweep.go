package forward

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ConnectionReset is a connection that is reset at both ends.
type ConnectionReset struct {
	Key              flow.Key
	Caller, Endpoint netip.AddrPort
	Target           netip.AddrPort // outer address; not valid when the target is not known
	VNI              uint32
	SeqToCaller      uint32 // sequence number that the caller accepts
	SeqToTarget      uint32 // sequence number that the target accepts
	Code             resultcode.Code
}

const (
	// sweepParts is the number of Sweep calls that pass over the whole table, in 2 s. With 500,000 flows, faster passes
	// take more than 1% of a core.
	sweepParts = 20
	// foreignIdleMS keeps entries of buckets that another balancer owns long enough for Collect.
	foreignIdleMS = 30_000
)

// Sweep passes over a twentieth of the table. It removes entries that are expired or out of date, and appends to dst the
// silent connections, which end. It is meant to be called every 100 ms.
func (e *Engine) Sweep(now time.Duration, dst []ConnectionReset) []ConnectionReset {
	st := e.state.Load()
	e.stamp(now)
	if st == nil {
		return dst
	}
	nowMS := uint32(now.Milliseconds())
	settled := e.moves.settled(now)
	e.table.Sweep(sweepParts, func(en *flow.Entry) bool {
		en.ClampAge(nowMS)
		if settled && !en.Expired(nowMS) && !en.Has(flow.FlagSilent) && en.State() != flow.Deferred {
			return true // most entries; hashing their keys would take most of the time of a sweep
		}
		k := en.Key()
		hash := k.Hash()
		b := ownership.BucketOf(hash)
		owned := st.owns(b)
		if owned && en.Epoch == st.epochs[b] {
			e.resolve(st, &k, hash, en)
		}
		switch {
		case en.Expired(nowMS),
			owned && en.Epoch != st.epochs[b],
			!owned && en.IdleMS(nowMS) > foreignIdleMS && en.State() != flow.Waiting:
			if !owned {
				en.Flags &^= flow.FlagException // the copies belong to the new owner
			}
			e.finish(st, now, &k, en)
			return false
		case owned && en.Has(flow.FlagSilent) && connected(en.State()):
			dst = e.end(st, now, &k, en, resultcode.FlowSilent, dst)
		}
		return true
	})
	return dst
}

// stamp gives the changes that Publish has noted their time.
func (e *Engine) stamp(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moves.stamp(now)
	e.history.stamp(now)
}

func connected(s flow.State) bool {
	return s == flow.Established || s == flow.CallerClosing || s == flow.TargetClosing || s == flow.Adopted
}

// ResetTarget ends the TCP flows of a target that is dead and appends them to dst. Entries of UDP flows of idempotent
// services are removed, so that their next packet is placed anew; those of other services stay, because their
// requests may have run.
func (e *Engine) ResetTarget(now time.Duration, id flow.TargetID, dst []ConnectionReset) []ConnectionReset {
	st := e.state.Load()
	if st == nil {
		return dst
	}
	e.table.Range(func(en *flow.Entry) bool {
		if en.Target != id || !en.State().Open() {
			return true
		}
		k := en.Key()
		ep := st.byID[k.Endpoint]
		if b := bucketOf(&k); ep == nil || !st.owns(b) || en.Epoch != st.epochs[b] {
			return true
		}
		if ep.service.Info.Proto == flow.UDP {
			if !ep.service.Info.Idempotent {
				return true
			}
			e.finish(st, now, &k, en)
			return false
		}
		dst = e.end(st, now, &k, en, resultcode.OutcomeUnknown, dst)
		return true
	})
	return dst
}

// end closes a flow and appends the resets for its two ends to dst.
func (e *Engine) end(
	st *state, now time.Duration, k *flow.Key, en *flow.Entry, code resultcode.Code, dst []ConnectionReset,
) []ConnectionReset {
	ending := ConnectionReset{Key: *k, Caller: k.CallerAddrPort(), Code: code}
	ending.SeqToCaller, ending.SeqToTarget = en.ResetSequences()
	ep, t := st.byID[k.Endpoint], st.target(en.Target)
	e.finish(st, now, k, en)
	en.SetState(flow.Closed)
	en.Touch(uint32(now.Milliseconds()))
	e.counters.code(code)
	if ep == nil {
		return dst
	}
	ending.Endpoint = ep.addr
	if t != nil && t.service == ep.service {
		ending.Target, ending.VNI = t.addr, t.vni
	}
	return append(dst, ending)
}

// DelayedDecision is the decision about a flow that waited.
type DelayedDecision struct {
	Key      flow.Key
	Decision Decision
}

// Poll appends to dst the decisions about flows whose wait is over.
func (e *Engine) Poll(now time.Duration, dst []DelayedDecision) []DelayedDecision {
	st := e.state.Load()
	if st == nil {
		return dst
	}
	e.released = e.admission.Poll(now, e.released[:0])
	for i := range e.released {
		r := &e.released[i]
		dst = append(dst, DelayedDecision{Key: r.Key, Decision: e.release(st, now, r)})
	}
	return dst
}

func (e *Engine) release(st *state, now time.Duration, r *Released) Decision {
	q := query{st: st, now: now, nowMS: uint32(now.Milliseconds()), direction: ToTarget, key: r.Key, hash: r.Key.Hash()}
	q.bucket = ownership.BucketOf(q.hash)
	q.ep = st.byID[r.Key.Endpoint]
	d := drop(resultcode.PacketUnknownFlow)
	if q.ep == nil {
		e.giveBack(&q, flow.ServiceID(0), r)
		e.remove(&q)
		return d
	}
	q.p = &Packet{Protocol: q.ep.service.Info.Proto, Flags: SYN}
	if !st.owns(q.bucket) || st.Fenced {
		e.giveBack(&q, q.ep.service.id, r)
		e.remove(&q)
		return e.count(q.toPeer(st.Buckets[q.bucket].Peer, resultcode.PacketNoOwner))
	}
	taken := false
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, room flow.LookupResult) (keep bool) {
		if room != flow.Found || en.State() != flow.Waiting || en.Epoch != st.epochs[q.bucket] {
			return room == flow.Found
		}
		taken = true
		if r.Verdict.Outcome != Admitted {
			d = e.refuse(&q, r.Verdict.Code)
			return false
		}
		en.Touch(q.nowMS)
		d, keep = e.admit(&q, en, r.Verdict)
		return keep
	})
	if !taken {
		e.giveBack(&q, q.ep.service.id, r)
	}
	return e.count(d)
}

// giveBack returns the slot of an admitted flow that is no longer wanted.
func (e *Engine) giveBack(q *query, id flow.ServiceID, r *Released) {
	if r.Verdict.Outcome != Admitted {
		return
	}
	target := r.Verdict.ID
	if sv := q.st.services[id]; sv != nil && target == 0 && r.Verdict.Target >= 0 && r.Verdict.Target < len(sv.Table.Targets) {
		target = sv.Table.Targets[r.Verdict.Target].ID
	}
	e.admission.Done(q.now, id, target, 0, false)
}

// remove drops the entry of a waiting flow whose verdict has been taken.
func (e *Engine) remove(q *query) {
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, room flow.LookupResult) bool {
		return room == flow.Found && en.State() != flow.Waiting
	})
}

// Cancel gives up a waiting flow whose packet could not be kept.
func (e *Engine) Cancel(now time.Duration, k flow.Key) {
	st := e.state.Load()
	e.table.Visit(&k, k.Hash(), uint32(now.Milliseconds()), func(en *flow.Entry, room flow.LookupResult) bool {
		if room != flow.Found || en.State() != flow.Waiting {
			return room == flow.Found
		}
		e.finish(st, now, &k, en)
		return false
	})
}

// IsWaiting reports whether a flow waits for admission.
func (e *Engine) IsWaiting(k flow.Key) (waits bool) {
	e.table.Visit(&k, k.Hash(), 0, func(en *flow.Entry, room flow.LookupResult) bool {
		waits = room == flow.Found && en.State() == flow.Waiting
		return room == flow.Found
	})
	return waits
}

// EndpointOf returns the ID of the endpoint that the packet of a caller is sent to, 0 when there is none.
func (e *Engine) EndpointOf(p *Packet) flow.EndpointID {
	if st := e.state.Load(); st != nil {
		if ep := st.endpoint(p.Protocol, p.Destination); ep != nil {
			return ep.id
		}
	}
	return 0
}
