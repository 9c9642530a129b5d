package forward

import (
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
	e.table.Visit(&x.Key, hash, nowMS, func(en *flow.Entry, room flow.Room) bool {
		if room == flow.NoRoom {
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
		en.SetState(state)
		e.countOpen(st, en)
		return true
	})
	return stored
}

// Collect removes the entries of buckets that this balancer no longer owns and returns their exceptions. It is called
// after Quiesce, when no traffic goroutine decides about the buckets any more.
func (e *Engine) Collect(now time.Duration, buckets ...ownership.Bucket) []Exception {
	return e.collect(now, buckets, e.isException)
}

// CollectAll is Collect for all open flows but those that can be placed again. A new owner that has all of them can
// keep them on their targets when a bundle changes later; without an entry it cannot tell such a flow from one that
// was opened after the change.
func (e *Engine) CollectAll(now time.Duration, buckets ...ownership.Bucket) []Exception {
	return e.collect(now, buckets, func(st *state, k *flow.Key, hash uint64, en *flow.Entry) bool {
		ep := st.byID[k.Endpoint]
		return e.isException(st, k, hash, en) || en.State().Open() && ep != nil && ep.service.copied
	})
}

func (e *Engine) collect(now time.Duration, buckets []ownership.Bucket,
	want func(*state, *flow.Key, uint64, *flow.Entry) bool,
) []Exception {
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
		if en.Epoch+1 == st.epochs[b] && en.Target != 0 && en.State() != flow.Deferred && want(st, &k, hash, en) {
			out = append(out, Exception{Key: k, Target: en.Target})
		}
		en.Flags &^= flow.FlagException // the grant carries the copy on; it is not removed
		e.finish(st, now, &k, en)
		return false
	})
	return out
}

// isException reports whether a flow needs a copy now or will need one under a staged bundle.
func (e *Engine) isException(st *state, k *flow.Key, hash uint64, en *flow.Entry) bool {
	if en.Has(flow.FlagException) {
		return true
	}
	ep := st.byID[k.Endpoint]
	return ep != nil && ep.service.needsCopy(hash, en.Target)
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
