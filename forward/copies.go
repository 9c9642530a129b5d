package forward

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
)

func bucketOf(k *flow.Key) ownership.Bucket { return ownership.BucketOf(k.Hash()) }

// Install adds entries for flows of a bucket that this balancer is about to own. The flows come from a grant or from the
// copies that this balancer held as backup. Install returns the number of flows for which the table had no room.
func (e *Engine) Install(now time.Duration, b ownership.Bucket, exceptions []Exception) (lost int) {
	st := e.state.Load()
	if st == nil {
		return len(exceptions)
	}
	for i := range exceptions {
		if !e.install(st, now, b, &exceptions[i]) {
			lost++
		}
	}
	return lost
}

func (e *Engine) install(st *lookupState, now time.Duration, b ownership.Bucket, x *Exception) (stored bool) {
	nowMS := uint32(now.Milliseconds())
	state, flags, hash := flow.Established, flow.FlagException, x.Key.Hash()
	if ep := st.byID[x.Key.Endpoint]; ep != nil {
		if ep.service.Info.Proto == flow.UDP {
			state = flow.Confirmed
		}
		if !ep.service.needsCopy(hash, x.Target) {
			flags = 0
		}
	}
	e.table.Visit(&x.Key, hash, nowMS, func(en *flow.Entry, result flow.LookupResult) bool {
		if result == flow.Full {
			return false
		}
		stored = true
		if result == flow.Found {
			if st.owns(b) && en.Epoch == st.epochs[b] && en.State().Open() {
				return true // the flow has sent packets to this balancer since, so its entry is newer
			}
			en.Flags &^= flow.FlagException
			e.endAccounting(st, now, &x.Key, en)
			en.Renew(nowMS)
		}
		en.Target, en.Epoch, en.Flags = x.Target, st.epochs[b], flags
		if x.Target <= math.MaxUint16 {
			en.Flags = 0
			en.SetState(flow.Deferred)
			return true
		}
		en.SetState(state)
		e.countOpen(st, en)
		return true
	})
	return stored
}

// Collect removes the entries of buckets that this balancer no longer owns and returns their open flows, except those
// that can be placed again. Flows on their default targets are returned too, because the new owner may have another
// bundle in force, or activate one before an idle flow sends again. Collect is called after Quiesce, when no traffic
// goroutine decides about the buckets any more. Of a flow that another balancer has placed by a newer bundle, only the
// low 16 bits of the target's ID may be known; Install recognizes such an ID.
func (e *Engine) Collect(now time.Duration, buckets ...ownership.Bucket) []Exception {
	st := e.state.Load()
	if st == nil {
		return nil
	}
	var wanted [ownership.BucketCount]bool
	for _, b := range buckets {
		wanted[b%ownership.BucketCount] = true
	}
	var out []Exception
	e.table.Range(func(en *flow.Entry) bool {
		k := en.Key()
		hash := k.Hash()
		b := ownership.BucketOf(hash)
		if !wanted[b] || st.owns(b) {
			return true
		}
		e.resolveDeferred(st, &k, hash, en)
		if en.Epoch+1 == st.epochs[b] && en.Target != 0 && (en.State() == flow.Deferred || e.mustTransfer(st, &k, hash, en)) {
			out = append(out, Exception{Key: k, Target: en.Target})
		}
		en.Flags &^= flow.FlagException // the exception is part of the grant, so it is not reported as removed
		e.endAccounting(st, now, &k, en)
		return false
	})
	return out
}

// Discard removes the entries of buckets for which another balancer has decided since the entries were added.
func (e *Engine) Discard(now time.Duration, buckets ...ownership.Bucket) {
	st := e.state.Load()
	if st == nil {
		return
	}
	var wanted [ownership.BucketCount]bool
	for _, b := range buckets {
		wanted[b%ownership.BucketCount] = true
	}
	e.table.Range(func(en *flow.Entry) bool {
		k := en.Key()
		if !wanted[bucketOf(&k)] {
			return true
		}
		en.Flags &^= flow.FlagException // the other balancer's exceptions replace it
		e.endAccounting(st, now, &k, en)
		return false
	})
}

// mustTransfer reports whether a grant must include the flow.
func (e *Engine) mustTransfer(st *lookupState, k *flow.Key, hash uint64, en *flow.Entry) bool {
	ep := st.byID[k.Endpoint]
	return e.resolvesDifferently(st, k, hash, en) || en.State().Open() && ep != nil && ep.service.replicated
}

// resolvesDifferently reports whether a new owner without an entry would assume another target for the flow, according to
// the bundle in force, a staged one, or the baseline of the bucket.
func (e *Engine) resolvesDifferently(st *lookupState, k *flow.Key, hash uint64, en *flow.Entry) bool {
	ep := st.byID[k.Endpoint]
	if en.Has(flow.FlagException) || ep == nil {
		return en.Has(flow.FlagException)
	}
	t, fromBaseline := st.baselineTarget(ep.service, ownership.BucketOf(hash), hash)
	return ep.service.needsCopy(hash, en.Target) || fromBaseline && ep.service.replicated && (t == nil || t.id != en.Target)
}

// Exceptions returns the exceptions of the owned buckets for which want returns true, to be sent to a new backup.
func (e *Engine) Exceptions(want func(ownership.Bucket) bool) []Exception {
	st := e.state.Load()
	if st == nil {
		return nil
	}
	var out []Exception
	e.table.Range(func(en *flow.Entry) bool {
		if en.Has(flow.FlagException) {
			k := en.Key()
			if b := bucketOf(&k); st.owns(b) && en.Epoch == st.epochs[b] && want(b) {
				out = append(out, Exception{Key: k, Target: en.Target})
			}
		}
		return true
	})
	return out
}
