package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Source is a store that can be listed and watched. Errors are of type *resultcode.Error; PlatformHistoryGone tells
// that a watch cannot go on from the revision that it was given.
type Source interface {
	// List reads every record. A read that may be stale is cheaper, and may miss the changes of some seconds.
	List(ctx context.Context, stale bool) (Batch, error)
	// Watch waits up to wait for changes after the revision and returns them, or none.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

const (
	// watchWait is the longest wait of one watch. A connection that has gone silent is noticed after it and the timeout
	// of the client.
	watchWait = 1500 * time.Millisecond
	// watchPause lets several changes arrive in one answer, since every call to the store is paid for.
	watchPause = 200 * time.Millisecond
	// auditInterval bounds how long a change can be missed that no watch has told of.
	auditInterval = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed read. A store that is back is noticed well within the 3 s in
	// which a configuration must be in force.
	retryMin = 150 * time.Millisecond
	retryMax = 800 * time.Millisecond
)

// ReadKind is a way of reading the store.
type ReadKind uint8

// Kinds of reads.
const (
	ReadList  ReadKind = iota // the whole list
	ReadWatch                 // changes after a revision
	ReadAudit                 // a cheap list that may be stale, compared with what is known
)

var readNames = [...]string{"list", "watch", "audit"}

// String returns the name used in logs.
func (k ReadKind) String() string { return readNames[k] }

// Read is the next read of the store.
type Read struct {
	Kind  ReadKind
	After uint64        // of a watch
	Wait  time.Duration // of a watch
	Delay time.Duration // before the read
}

// Follower decides how the store is read so that no change stays unnoticed. It does no I/O.
//
// A watch continues from the newest record that was seen and not from the revision that an empty answer names: an
// answer without changes does not prove that there were none. When the store has dropped the history since then, the
// list is read anew. Audits bound the age of what a watch never tells.
type Follower struct {
	random   *rand.Rand
	listed   bool
	after    uint64
	failures int
	audited  time.Duration
	pause    bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower(random *rand.Rand) *Follower { return &Follower{random: random} }

// Resume lets the next read be a watch from a revision up to which every change is known from elsewhere.
func (f *Follower) Resume(after uint64) {
	if after > f.after {
		f.listed, f.after = true, after
	}
}

// Next returns the next read.
func (f *Follower) Next(now time.Duration) Read {
	r := Read{Kind: ReadList, Delay: f.delay()}
	if !f.listed {
		return r
	}
	if now-f.audited >= auditInterval {
		f.audited = now
		return Read{Kind: ReadAudit, Delay: r.Delay}
	}
	return Read{Kind: ReadWatch, After: f.after, Wait: watchWait, Delay: r.Delay}
}

// delay doubles with each failure up to retryMax; half of it is random, so that hosts do not read in step.
func (f *Follower) delay() time.Duration {
	if f.failures == 0 {
		if f.pause {
			return watchPause
		}
		return 0
	}
	d := min(retryMin<<min(f.failures-1, 8), retryMax)
	return d/2 + time.Duration(f.random.Int64N(int64(d/2)+1))
}

// Done notes the outcome of a read. The result reports whether the batch is to be applied.
func (f *Follower) Done(now time.Duration, r Read, b Batch, err error) (apply bool) {
	f.pause = false
	if err != nil {
		f.failures++
		if resultcode.Of(err) == resultcode.PlatformHistoryGone {
			f.listed, f.failures = false, 0
		}
		return false
	}
	f.failures = 0
	switch r.Kind {
	case ReadList:
		f.listed, f.after, f.audited = true, b.Revision, now
	case ReadWatch:
		f.after = max(f.after, b.Revision)
		f.pause = len(b.Changes) > 0 || b.Configuration != nil
	case ReadAudit:
		if newest(b) > f.after {
			f.listed = false // the watch has missed a change
		}
		return false
	}
	return true
}

// newest returns the highest revision of the records in a batch.
func newest(b Batch) uint64 {
	var revision uint64
	if b.Configuration != nil {
		revision = b.Configuration.Revision
	}
	for i := range b.Changes {
		revision = max(revision, b.Changes[i].Revision)
	}
	return revision
}
