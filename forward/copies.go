package forward

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
)

func bucketOf(k *flow.Key) ownership.Bucket { return ownership.BucketOf(k.Hash()) }

// Install enters flows of a bucket that this balancer is about to own, from a grant or from the copies that it held as
// backup. It returns the number that found no room.
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

func (e *Engine) install(st *state, now time.Duration, b ownership.Bucket, x *Exception) (stored bool) {
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
	e.table.Visit(&x.Key, hash, nowMS, func(en *flow.Entry, room flow.LookupResult) bool {
		if room == flow.Full {
			return false
		}
		stored = true
		if room == flow.Found {
			if st.owns(b) && en.Epoch == st.epochs[b] && en.State().Open() {
				return true // the flow has sent packets here since; its entry is newer
			}
			en.Flags &^= flow.FlagException
			e.finish(st, now, &x.Key, en)
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

// Collect removes the entries of buckets that this balancer no longer owns and returns their open flows, but those that
// can be placed again. All are returned, and not only those off the defaults: the new owner may have another bundle in
// force, or put one in force before a quiet flow sends again. Collect is called after Quiesce, when no traffic goroutine
// decides about the buckets any more. Of a flow that another balancer has placed by a newer bundle, only the low 16 bits
// of the target's ID may be known; Install recognizes them.
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
		e.resolve(st, &k, hash, en)
		if en.Epoch+1 == st.epochs[b] && en.Target != 0 && (en.State() == flow.Deferred || e.isGranted(st, &k, hash, en)) {
			out = append(out, Exception{Key: k, Target: en.Target})
		}
		en.Flags &^= flow.FlagException // the grant carries the copy on; it is not removed
		e.finish(st, now, &k, en)
		return false
	})
	return out
}

// Discard removes the entries of buckets that another balancer has decided for since they were made.
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
		en.Flags &^= flow.FlagException // the other balancer's copies replace it
		e.finish(st, now, &k, en)
		return false
	})
}

func (e *Engine) isGranted(st *state, k *flow.Key, hash uint64, en *flow.Entry) bool {
	ep := st.byID[k.Endpoint]
	return e.isNeeded(st, k, hash, en) || en.State().Open() && ep != nil && ep.service.copied
}

// isNeeded reports whether a new owner without an entry would look for the flow elsewhere: by the bundle in force, by a
// staged one, or by the base of the bucket.
func (e *Engine) isNeeded(st *state, k *flow.Key, hash uint64, en *flow.Entry) bool {
	ep := st.byID[k.Endpoint]
	if en.Has(flow.FlagException) || ep == nil {
		return en.Has(flow.FlagException)
	}
	t, earlier := st.earlierTarget(ep.service, ownership.BucketOf(hash), hash)
	return ep.service.needsCopy(hash, en.Target) || earlier && ep.service.copied && (t == nil || t.id != en.Target)
}

// Exceptions returns the exceptions of the owned buckets for which want returns true, for a new backup.
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
