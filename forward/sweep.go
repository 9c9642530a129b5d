package forward

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ConnectionReset describes a connection to be reset at both ends.
type ConnectionReset struct {
	Key              flow.Key
	Caller, Endpoint netip.AddrPort
	Target           netip.AddrPort // outer address; not valid when the target is not known
	VNI              uint32
	SeqToCaller      uint32 // sequence number that the caller expects next
	SeqToTarget      uint32 // sequence number that the target expects next
	Code             resultcode.Code
}

const (
	// sweepParts is the number of Sweep calls that cover the whole table. At one call every 100 ms this takes 2 s. With
	// 500,000 flows, faster sweeps take more than 1% of a core.
	sweepParts = 20
	// foreignIdleMS is how long an entry of a bucket that another balancer owns is kept after its last packet, so that
	// Collect still finds it.
	foreignIdleMS = 30_000
)

// Sweep processes 1/sweepParts of the table. It removes entries that are expired or out of date, closes silent
// connections, and appends the resets for them to dst. It is meant to be called every 100 ms.
func (e *Engine) Sweep(now time.Duration, dst []ConnectionReset) []ConnectionReset {
	st := e.state.Load()
	e.timestampChanges(now)
	if st == nil {
		return dst
	}
	nowMS := uint32(now.Milliseconds())
	settled := e.ownerChanges.settled(now)
	e.table.Sweep(sweepParts, func(en *flow.Entry) bool {
		en.ClampAge(nowMS)
		if settled && !en.Expired(nowMS) && !en.Has(flow.FlagSilent) && en.State() != flow.Deferred {
			return true // the usual case; hashing these keys would take most of the time of a sweep
		}
		k := en.Key()
		hash := k.Hash()
		b := ownership.BucketOf(hash)
		owned := st.owns(b)
		if owned && en.Epoch == st.epochs[b] {
			e.resolveDeferred(st, &k, hash, en)
		}
		switch {
		case en.Expired(nowMS),
			owned && en.Epoch != st.epochs[b],
			!owned && en.IdleMS(nowMS) > foreignIdleMS && en.State() != flow.Waiting:
			if !owned {
				en.Flags &^= flow.FlagException // the exception belongs to the new owner, so it is not reported as removed
			}
			e.endAccounting(st, now, &k, en)
			return false
		case owned && en.Has(flow.FlagSilent) && connected(en.State()):
			dst = e.resetConnection(st, now, &k, en, resultcode.FlowSilent, dst)
		}
		return true
	})
	return dst
}

// timestampChanges sets the time of the changes that Publish has recorded since the last call.
func (e *Engine) timestampChanges(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownerChanges.timestamp(now)
	e.history.timestamp(now)
}

// connected reports whether a state is that of a connection that can be reset as silent.
func connected(s flow.State) bool {
	return s == flow.Established || s == flow.CallerClosing || s == flow.TargetClosing || s == flow.Adopted
}

// ResetTarget closes the TCP flows of a failed target and appends the resets for them to dst. Entries of UDP flows of
// idempotent services are removed, so that their next packet is placed on another target; those of other services are
// kept, because their requests may have run.
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
			e.endAccounting(st, now, &k, en)
			return false
		}
		dst = e.resetConnection(st, now, &k, en, resultcode.OutcomeUnknown, dst)
		return true
	})
	return dst
}

// resetConnection closes a flow and appends the resets for its two ends to dst, unless its endpoint is no longer known.
func (e *Engine) resetConnection(
	st *lookupState, now time.Duration, k *flow.Key, en *flow.Entry, code resultcode.Code, dst []ConnectionReset,
) []ConnectionReset {
	reset := ConnectionReset{Key: *k, Caller: k.CallerAddrPort(), Code: code}
	reset.SeqToCaller, reset.SeqToTarget = en.ResetSequences()
	ep, t := st.byID[k.Endpoint], st.target(en.Target)
	e.endAccounting(st, now, k, en)
	en.SetState(flow.Closed)
	en.Touch(uint32(now.Milliseconds()))
	e.counters.countCode(code)
	if ep == nil {
		return dst
	}
	reset.Endpoint = ep.addr
	if t != nil && t.service == ep.service {
		reset.Target, reset.VNI = t.addr, t.vni
	}
	return append(dst, reset)
}

// DelayedDecision is the decision about a flow that waited for admission.
type DelayedDecision struct {
	Key      flow.Key
	Decision Decision
}

// Poll appends to dst the decisions about flows whose wait for admission has ended.
func (e *Engine) Poll(now time.Duration, dst []DelayedDecision) []DelayedDecision {
	st := e.state.Load()
	if st == nil {
		return dst
	}
	e.released = e.admission.Poll(now, e.released[:0])
	for i := range e.released {
		r := &e.released[i]
		dst = append(dst, DelayedDecision{Key: r.Key, Decision: e.decideReleased(st, now, r)})
	}
	return dst
}

// decideReleased decides about a flow whose wait for admission has ended.
func (e *Engine) decideReleased(st *lookupState, now time.Duration, r *Released) Decision {
	q := query{st: st, now: now, nowMS: uint32(now.Milliseconds()), direction: ToTarget, key: r.Key, hash: r.Key.Hash()}
	q.bucket = ownership.BucketOf(q.hash)
	q.ep = st.byID[r.Key.Endpoint]
	d := drop(resultcode.PacketUnknownFlow)
	if q.ep == nil {
		e.returnSlot(&q, flow.ServiceID(0), r)
		e.removeEntry(&q)
		return d
	}
	q.p = &Packet{Protocol: q.ep.service.Info.Proto, Flags: SYN}
	if !st.owns(q.bucket) || st.Fenced {
		e.returnSlot(&q, q.ep.service.id, r)
		e.removeEntry(&q)
		return e.count(q.forwardToPeer(st.Buckets[q.bucket].Peer, resultcode.PacketNoOwner))
	}
	applied := false
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, result flow.LookupResult) (keep bool) {
		if result != flow.Found || en.State() != flow.Waiting || en.Epoch != st.epochs[q.bucket] {
			return result == flow.Found
		}
		applied = true
		if r.Verdict.Outcome != Admitted {
			d = e.refuse(&q, r.Verdict.Code)
			return false
		}
		en.Touch(q.nowMS)
		d, keep = e.admit(&q, en, r.Verdict)
		return keep
	})
	if !applied {
		e.returnSlot(&q, q.ep.service.id, r)
	}
	return e.count(d)
}

// returnSlot returns the slot of a flow that was admitted after its wait but can no longer be placed.
func (e *Engine) returnSlot(q *query, id flow.ServiceID, r *Released) {
	if r.Verdict.Outcome != Admitted {
		return
	}
	target := r.Verdict.ID
	if sv := q.st.services[id]; sv != nil && target == 0 && r.Verdict.Target >= 0 && r.Verdict.Target < len(sv.Table.Targets) {
		target = sv.Table.Targets[r.Verdict.Target].ID
	}
	e.admission.Done(q.now, id, target, 0, false)
}

// removeEntry removes the entry of a flow if it is waiting. Its verdict has already been received.
func (e *Engine) removeEntry(q *query) {
	e.table.Visit(&q.key, q.hash, q.nowMS, func(en *flow.Entry, result flow.LookupResult) bool {
		return result == flow.Found && en.State() != flow.Waiting
	})
}

// Cancel withdraws a flow that waits for admission when its packet could not be held.
func (e *Engine) Cancel(now time.Duration, k flow.Key) {
	st := e.state.Load()
	e.table.Visit(&k, k.Hash(), uint32(now.Milliseconds()), func(en *flow.Entry, result flow.LookupResult) bool {
		if result != flow.Found || en.State() != flow.Waiting {
			return result == flow.Found
		}
		e.endAccounting(st, now, &k, en)
		return false
	})
}

// IsWaiting reports whether a flow waits for admission.
func (e *Engine) IsWaiting(k flow.Key) (waits bool) {
	e.table.Visit(&k, k.Hash(), 0, func(en *flow.Entry, result flow.LookupResult) bool {
		waits = result == flow.Found && en.State() == flow.Waiting
		return result == flow.Found
	})
	return waits
}

// EndpointOf returns the ID of the endpoint that the packet of a caller is sent to, or 0 when there is none.
func (e *Engine) EndpointOf(p *Packet) flow.EndpointID {
	if st := e.state.Load(); st != nil {
		if ep := st.endpoint(p.Protocol, p.Destination); ep != nil {
			return ep.id
		}
	}
	return 0
}
