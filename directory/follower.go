package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Source is a store that can be listed and watched. Errors are of type *resultcode.Error; the code PlatformHistoryGone means
// that a watch cannot continue from the given revision, PlatformResponse that the response is too large or cannot be decoded.
type Source interface {
	// List reads one page of records. The first page has the name "". A stale read is cheaper, and may miss the changes of
	// the last few seconds.
	List(ctx context.Context, page string, stale bool) (Page, error)
	// Watch waits up to wait for changes after the revision and returns them, or an empty batch.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Batch, error)
}

// Page is a part of a list.
type Page struct {
	Batch        // complete only if the list has a single page
	Next  string // name of the next page, "" for the last one
}

const (
	// watchWait is the maximum wait of one watch. A dead connection is detected after this time plus the timeout of the
	// client.
	watchWait = time.Second
	// watchDelay is the pause after a watch that returned changes. It lets one response carry several changes, because
	// every call to the store is billed.
	watchDelay = 200 * time.Millisecond
	// auditInterval bounds the time until a change is found that no watch has delivered.
	auditInterval = 3 * time.Second
	// retryMin and retryMax bound the delay before a retry. A recovered store is detected well within the 3 s in which a
	// configuration must be in force.
	retryMin = 150 * time.Millisecond
	retryMax = 800 * time.Millisecond
)

// ReadKind is the kind of a read of the store.
type ReadKind uint8

// Kinds of reads.
const (
	ReadList  ReadKind = iota // a page of the up-to-date list
	ReadWatch                 // changes after a revision
	ReadAudit                 // a page of a cheap list that may be stale, to detect missed changes
)

var readNames = [...]string{"list", "watch", "audit"}

// String returns the name used in logs.
func (k ReadKind) String() string { return readNames[k] }

// Read describes one read of the store.
type Read struct {
	Kind  ReadKind
	Page  string        // page of a list or an audit
	After Revision      // revision after which a watch returns changes
	Wait  time.Duration // maximum wait of a watch
	Delay time.Duration // pause before the read
}

// Follower decides which read of the store comes next, so that no change is missed for long. It does no I/O.
//
// A watch continues from the newest record seen and not from the revision that an empty response names: a response without
// changes does not prove that there were none. If the store no longer has the history since then, the list is read again.
// The same watch would fail again if its response is of no use, for example because it holds too many versions of a large record:
// the list, which has one version of each and bounded pages, is read in its place. Audits bound the delay of changes that no watch
// delivers. A response of another era than the list or the watch that it continues is not used, and the list is read again.
type Follower struct {
	rng               *rand.Rand // for retry jitter
	staleListDone     bool       // the stale list was read, failed or is skipped
	multiPage         bool       // the list has several pages
	fullListDone      bool
	watchRevision     Revision
	failures          int
	unusableWatches   int // watches since the last usable one whose response was of no use, or whose revision the store does not have
	lastAudit         time.Duration
	lastRead          time.Duration // end of the last read
	pauseAfterChanges bool
	nextPage          string // next page of the unfinished list or audit, "" if none
	auditing          bool
	partial           Batch  // pages of the unfinished list
	partialEra        uint16 // era of the store in its first page
}

// NewFollower returns a follower that has not read anything. random is the source of retry jitter.
func NewFollower(random *rand.Rand) *Follower { return &Follower{rng: random} }

// Resume makes the next read a watch after a revision up to which all changes are known from another source. It has no
// effect if the follower is already at that revision or beyond.
func (f *Follower) Resume(after Revision) {
	if after > f.watchRevision {
		f.fullListDone, f.watchRevision, f.partial = true, after, Batch{}
		f.nextPage, f.auditing = "", false
	}
}

// SkipStaleList skips the stale list that otherwise precedes the first up-to-date list.
func (f *Follower) SkipStaleList() { f.staleListDone = true }

// StaleListPending reports whether the initial stale list has pages that are still to be read.
func (f *Follower) StaleListPending() bool { return !f.fullListDone && !f.staleListDone && f.multiPage }

// FullListPending reports whether the up-to-date list is still to be read and has several pages.
func (f *Follower) FullListPending() bool { return !f.fullListDone && f.staleListDone && f.multiPage }

// Next returns the next read. The first one is a stale page, which is cheap. If the list has several pages, the others are
// also read as stale pages, because many hosts of a large fleet may start at the same time; Done returns them as a provisional
// batch. A list that failed continues with the failed page. After an interval without reads, in which other hosts read the
// store, the next read is a watch: an audit would find nothing new, and its pages would delay the first change.
func (f *Follower) Next(now time.Duration) Read {
	delay := f.delay(now)
	if now-f.lastRead >= auditInterval && !f.auditing {
		f.lastAudit = now
	}
	switch {
	case !f.fullListDone && !f.staleListDone:
		return Read{Kind: ReadAudit, Page: f.nextPage, Delay: delay}
	case !f.fullListDone:
		return Read{Kind: ReadList, Page: f.nextPage, Delay: delay}
	case f.auditing || now-f.lastAudit >= auditInterval:
		f.auditing = true
		return Read{Kind: ReadAudit, Page: f.nextPage, Delay: delay}
	}
	return Read{Kind: ReadWatch, After: f.watchRevision, Wait: watchWait, Delay: delay}
}

// delay returns the rest of the pause after the last read, which may be long ago if other hosts have read the store meanwhile.
func (f *Follower) delay(now time.Duration) time.Duration { return max(f.pause()-(now-f.lastRead), 0) }

// pause returns the pause after the last read: the exponential backoff after failures, up to retryMax. Half of it is random, so
// that hosts do not retry in step.
func (f *Follower) pause() time.Duration {
	failures := f.failures + max(f.unusableWatches-1, 0) // the first one is followed by the list at once
	if failures == 0 {
		if f.pauseAfterChanges {
			return watchDelay
		}
		return 0
	}
	d := min(retryMin<<min(failures-1, 8), retryMax)
	return d/2 + time.Duration(f.rng.Int64N(int64(d/2)+1))
}

// Done records the result of a read. It returns the batch to apply, or false if there is none. The result of a watch is
// passed as a page without a next one.
func (f *Follower) Done(now time.Duration, r Read, p Page, err error) (Batch, bool) {
	f.pauseAfterChanges, f.lastRead = false, now
	if err != nil {
		f.readFailed(now, r, err)
		return Batch{}, false
	}
	f.failures = 0
	switch {
	case f.isOtherEra(r, p):
		f.restart(r, p)
		return Batch{}, false
	case r.Kind == ReadList:
		return f.addListPage(now, r, p)
	case r.Kind == ReadAudit && !f.fullListDone:
		return f.addStalePage(r, p)
	case r.Kind == ReadAudit:
		f.checkAuditPage(now, p)
		return Batch{}, false
	}
	f.unusableWatches = 0
	f.watchRevision = max(f.watchRevision, p.Revision)
	f.pauseAfterChanges = !p.IsEmpty()
	return p.Batch, true
}

func (f *Follower) readFailed(now time.Duration, r Read, err error) {
	f.failures++
	code := resultcode.Of(err)
	if code == resultcode.PlatformHistoryGone || code == resultcode.PlatformResponse && r.Kind == ReadWatch {
		f.fullListDone, f.failures = false, 0
		f.unusableWatches++
	}
	if r.Kind == ReadAudit { // the next audit starts with the first page
		f.staleListDone, f.auditing, f.nextPage, f.lastAudit = true, false, "", now
	}
}

// isOtherEra reports whether a response is of another era of the store than the list or the watch that it continues. A list begins with
// any era.
func (f *Follower) isOtherEra(r Read, p Page) bool {
	switch {
	case r.Kind == ReadWatch:
		return p.Revision.Era() != r.After.Era()
	case r.Kind == ReadAudit && f.fullListDone:
		return p.Revision.Era() != f.watchRevision.Era()
	}
	return r.Page != "" && p.Revision.Era() != f.partialEra
}

// restart makes the next read the first page of the up-to-date list, because the store was restored from a copy since the watch or the
// list began.
func (f *Follower) restart(r Read, p Page) {
	f.fullListDone, f.staleListDone, f.auditing, f.nextPage, f.partial = false, true, false, "", Batch{}
	f.unusableWatches++
	if start := p.Revision - Revision(p.Revision.Number()); start > f.watchRevision {
		f.watchRevision = start // a source that is still in the earlier era does not replace the list
	}
}

// addStalePage collects the pages of the initial stale list. It returns them after the last page, unless there is only one:
// the up-to-date list then takes only one call and follows at once.
func (f *Follower) addStalePage(r Read, p Page) (Batch, bool) {
	if r.Page == "" {
		f.multiPage, f.partial, f.partialEra = p.Next != "", Batch{Provisional: true}, p.Revision.Era()
	}
	f.collect(p)
	if f.nextPage = p.Next; f.nextPage != "" {
		return Batch{}, false
	}
	f.staleListDone = true
	return f.takePartial(), f.multiPage
}

// addListPage collects the pages of a list. The revision of the list is that of the first page, because the pages are no
// consistent snapshot: the watch then delivers the changes made while they were read.
func (f *Follower) addListPage(now time.Duration, r Read, p Page) (Batch, bool) {
	if r.Page == "" {
		f.partial, f.partialEra = Batch{Complete: true, Revision: p.Revision}, p.Revision.Era()
	}
	f.collect(p)
	if f.nextPage = p.Next; f.nextPage != "" {
		return Batch{}, false
	}
	batch := f.takePartial()
	f.fullListDone, f.watchRevision, f.lastAudit = true, batch.Revision, now
	return batch, true
}

func (f *Follower) collect(p Page) {
	f.partial.Changes = append(f.partial.Changes, p.Changes...)
	f.partial.Evacuations = append(f.partial.Evacuations, p.Evacuations...)
	if p.Configuration != nil {
		f.partial.Configuration = p.Configuration
	}
}

func (f *Follower) takePartial() Batch {
	batch := f.partial
	f.partial = Batch{}
	return batch
}

// checkAuditPage compares a page with the newest known revision, and schedules a full list if the watch has missed a change.
func (f *Follower) checkAuditPage(now time.Duration, p Page) {
	f.nextPage = p.Next
	if newestRevision(p.Batch) > f.watchRevision {
		f.fullListDone, f.nextPage = false, ""
	}
	if f.nextPage == "" {
		f.auditing, f.lastAudit = false, now
	}
}

// newestRevision returns the highest revision of the records in a batch.
func newestRevision(b Batch) Revision {
	var revision Revision
	if b.Configuration != nil {
		revision = b.Configuration.Revision
	}
	for i := range b.Changes {
		revision = max(revision, b.Changes[i].Revision)
	}
	for i := range b.Evacuations {
		revision = max(revision, b.Evacuations[i].Revision)
	}
	return revision
}
