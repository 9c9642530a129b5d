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
	// List reads the records of one page. The first page is the one after "". A read that may be stale is cheaper, and may
	// miss the changes of some seconds.
	List(ctx context.Context, page string, stale bool) (Page, error)
	// Watch waits up to wait for changes after the revision and returns them, or none.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Page is a part of a list.
type Page struct {
	Batch        // of a list that is complete when it has one page
	Next  string // the page after this one, "" after the last
}

const (
	// watchWait is the longest wait of one watch. A connection that has gone silent is noticed after it and the timeout
	// of the client.
	watchWait = time.Second
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
	Page  string        // of a list or an audit
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
	probed   bool // a cheap list has shown how long the list is
	long     bool // it has several pages
	listed   bool
	after    uint64
	failures int
	audited  time.Duration
	done     time.Duration // when the last read was done
	pause    bool
	page     string // next page of the list or audit that is under way, "" for none
	auditing bool
	pages    Batch // of the list that is under way
}

// NewFollower returns a follower that has read nothing.
func NewFollower(random *rand.Rand) *Follower { return &Follower{random: random} }

// Resume lets the next read be a watch from a revision up to which every change is known from elsewhere.
func (f *Follower) Resume(after uint64) {
	if after > f.after {
		f.listed, f.after, f.pages = true, after, Batch{}
		f.page, f.auditing = "", false
	}
}

// SkipStaleList leaves out the cheap list before the first one.
func (f *Follower) SkipStaleList() { f.probed = true }

// StaleListPending reports whether a cheap list is under way that has further pages.
func (f *Follower) StaleListPending() bool { return !f.listed && !f.probed && f.long }

// FullListPending reports whether a list of several pages is due or under way.
func (f *Follower) FullListPending() bool { return !f.listed && f.probed && f.long }

// Next returns the next read. The first one is a cheap page that may be behind. If the list has further pages they are read as
// cheaply, because many hosts of a large fleet may start at once: Done returns them as a provisional batch. A list that failed
// goes on with the page that failed. After a time in which the store was read elsewhere the next read is a watch: an audit tells
// nothing new, and its pages would delay the first change.
func (f *Follower) Next(now time.Duration) Read {
	delay := f.delay()
	if now-f.done >= auditInterval && !f.auditing {
		f.audited = now
	}
	switch {
	case !f.listed && !f.probed:
		return Read{Kind: ReadAudit, Page: f.page, Delay: delay}
	case !f.listed:
		return Read{Kind: ReadList, Page: f.page, Delay: delay}
	case f.auditing || now-f.audited >= auditInterval:
		f.auditing = true
		return Read{Kind: ReadAudit, Page: f.page, Delay: delay}
	}
	return Read{Kind: ReadWatch, After: f.after, Wait: watchWait, Delay: delay}
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

// Done notes the outcome of a read. It returns the batch to apply, and false when there is none. The page of a watch has
// no next one.
func (f *Follower) Done(now time.Duration, r Read, p Page, err error) (Batch, bool) {
	f.pause, f.done = false, now
	if err != nil {
		f.failed(now, r, err)
		return Batch{}, false
	}
	f.failures = 0
	switch {
	case r.Kind == ReadList:
		return f.listPage(now, r, p)
	case r.Kind == ReadAudit && !f.listed:
		return f.provisionalPage(r, p)
	case r.Kind == ReadAudit:
		f.auditPage(now, p)
		return Batch{}, false
	}
	f.after = max(f.after, p.Revision)
	f.pause = len(p.Changes) > 0 || p.Configuration != nil
	return p.Batch, true
}

func (f *Follower) failed(now time.Duration, r Read, err error) {
	f.failures++
	if resultcode.Of(err) == resultcode.PlatformHistoryGone {
		f.listed, f.failures = false, 0
	}
	if r.Kind == ReadAudit { // the next audit starts anew
		f.probed, f.auditing, f.page, f.audited = true, false, "", now
	}
}

// provisionalPage collects the pages of a cheap list. A single page is not worth while: the list itself is one call.
func (f *Follower) provisionalPage(r Read, p Page) (Batch, bool) {
	if r.Page == "" {
		f.long, f.pages = p.Next != "", Batch{Provisional: true}
	}
	f.collect(p)
	if f.page = p.Next; f.page != "" {
		return Batch{}, false
	}
	f.probed = true
	return f.takePages(), f.long
}

// listPage collects the pages of a list. The revision of the first one counts, because pages are no snapshot: changes that
// were made meanwhile come with the watch.
func (f *Follower) listPage(now time.Duration, r Read, p Page) (Batch, bool) {
	if r.Page == "" {
		f.pages = Batch{Complete: true, Revision: p.Revision}
	}
	f.collect(p)
	if f.page = p.Next; f.page != "" {
		return Batch{}, false
	}
	batch := f.takePages()
	f.listed, f.after, f.audited = true, batch.Revision, now
	return batch, true
}

func (f *Follower) collect(p Page) {
	f.pages.Changes = append(f.pages.Changes, p.Changes...)
	if p.Configuration != nil {
		f.pages.Configuration = p.Configuration
	}
}

func (f *Follower) takePages() Batch {
	batch := f.pages
	f.pages = Batch{}
	return batch
}

// auditPage compares a page with what is known, and starts a list when the watch has missed a change.
func (f *Follower) auditPage(now time.Duration, p Page) {
	f.page = p.Next
	if newest(p.Batch) > f.after {
		f.listed, f.page = false, ""
	}
	if f.page == "" {
		f.auditing, f.audited = false, now
	}
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
