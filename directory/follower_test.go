package directory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// fakeStore is a store whose history of changes can be dropped and whose watches can miss changes.
type fakeStore struct {
	revision  Revision
	changes   []Change
	droppedTo Revision // the history up to this revision was dropped
	silent    bool     // watches return no changes
	pageSize  int      // records per page, 0 for no limit
	failures  int      // number of next calls that fail
	// maxVersions is the number of changes above which the response of a watch is of no use, 0 for no limit.
	maxVersions int
}

func (s *fakeStore) write(name string) {
	s.revision++
	s.changes = append(s.changes, listed(name, s.revision))
}

func (s *fakeStore) answer(r Read) (Page, error) {
	if s.failures > 0 {
		s.failures--
		return Page{}, resultcode.Errorf(resultcode.PlatformUnavailable, "", "too many calls")
	}
	if r.Kind != ReadWatch {
		return s.list(r.Page), nil
	}
	if r.After < s.droppedTo {
		return Page{}, resultcode.Errorf(resultcode.PlatformHistoryGone, "watch", "history was dropped")
	}
	var b Page
	if s.silent {
		return b, nil
	}
	for _, c := range s.changes {
		if c.Revision > r.After {
			b.Changes, b.Revision = append(b.Changes, c), c.Revision
		}
	}
	if s.maxVersions > 0 && len(b.Changes) > s.maxVersions {
		return Page{}, resultcode.Errorf(resultcode.PlatformResponse, "watch", "too large")
	}
	return b, nil
}

// list returns the records of a page, the newest of each name.
func (s *fakeStore) list(page string) Page {
	newest := map[string]Change{}
	for _, c := range s.changes {
		newest[c.Name] = c
	}
	p := Page{Batch: Batch{Complete: true, Revision: s.revision}}
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		if name <= page {
			continue
		}
		if s.pageSize > 0 && len(p.Changes) == s.pageSize {
			p.Next = p.Changes[len(p.Changes)-1].Name
			break
		}
		p.Changes = append(p.Changes, newest[name])
	}
	return p
}

// simulatedReader runs a follower against a fake store in virtual time.
type simulatedReader struct {
	f     *Follower
	store *fakeStore
	now   time.Duration
	known Revision
	reads int
	// listed is the number of records of the last batch.
	listed int
}

// newSimulatedReader returns a reader that has completed the initial stale read.
func newSimulatedReader() *simulatedReader {
	r := &simulatedReader{f: NewFollower(rand.New(rand.NewPCG(1, 1))), store: &fakeStore{}}
	r.read()
	return r
}

func (r *simulatedReader) read() Read {
	next := r.f.Next(r.now)
	r.now += next.Delay
	b, err := r.store.answer(next)
	if next.Kind == ReadWatch && err == nil && len(b.Changes) == 0 {
		r.now += next.Wait
	}
	r.now += 4 * time.Millisecond
	r.reads++
	if b, ok := r.f.Done(r.now, next, b, err); ok {
		r.listed = len(b.Changes)
		for _, c := range b.Changes {
			r.known = max(r.known, c.Revision)
		}
	}
	return next
}

// Guards against a change that is never detected because a watch missed it: the watch ends without changes, and the history
// that contains the change is dropped before the next watch.
func TestChangeMissedByWatch(t *testing.T) {
	for _, forget := range []bool{true, false} {
		r := newSimulatedReader()
		r.store.write("a")
		r.read()
		r.store.silent = true
		r.store.write("b")
		r.read() // ends without changes
		r.store.silent = false
		if forget {
			r.store.droppedTo = r.store.revision
		}
		changed := r.now
		for r.known < r.store.revision {
			r.read()
			if r.now-changed > auditInterval+watchWait {
				t.Fatalf("history dropped %v: change not detected after %v", forget, r.now-changed)
			}
		}
	}
}

// Guards against a change that is never detected because no watch ever delivers it.
func TestAuditFindsMissedChange(t *testing.T) {
	r := newSimulatedReader()
	r.store.write("a")
	r.read()
	r.store.silent = true
	r.store.write("b")
	changed := r.now
	for r.known < r.store.revision {
		r.read()
		if r.now-changed > auditInterval+2*watchWait {
			t.Fatalf("change not detected after %v", r.now-changed)
		}
	}
}

// Guards against a flood of reads while the store fails, and against a delay so long that the recovered store is not detected
// in time.
func TestRetries(t *testing.T) {
	f, now := NewFollower(rand.New(rand.NewPCG(1, 1))), time.Duration(0)
	failed := resultcode.Errorf(resultcode.PlatformUnavailable, "", "refused")
	for reads := range 100 {
		r := f.Next(now)
		if reads > 0 && (r.Delay < retryMin/2 || r.Delay > retryMax) {
			t.Fatalf("delay %v before read %d is not between retryMin/2 and retryMax", r.Delay, reads)
		}
		now += r.Delay
		f.Done(now, r, Page{}, failed)
	}
	if now < 100*retryMax/2*9/10 {
		t.Fatalf("100 failing reads took only %v", now)
	}
}

// A record is written more often than the response of a watch can hold. Guards against the same watch again and again until an audit is
// due: the newest version must be known within a few calls.
func TestListAfterUnusableWatch(t *testing.T) {
	r := newSimulatedReader()
	r.store.write("a")
	r.read()
	r.store.maxVersions = 10
	for range 26 {
		r.store.write("a")
	}
	started := r.now
	for reads := 0; r.known < r.store.revision; reads++ {
		if reads == 3 {
			t.Fatalf("newest version is not known after %d reads", reads)
		}
		r.read()
	}
	if took := r.now - started; took > 100*time.Millisecond {
		t.Errorf("newest version is known after %v, want it after a watch and a list without a delay", took)
	}
	r.store.write("b")
	if next := r.read(); next.Kind != ReadWatch || r.known != r.store.revision {
		t.Errorf("got %v and revision %d after the list, want a watch from its revision that returns %d", next.Kind, r.known, r.store.revision)
	}
}

// Guards against an audit that cannot be read and keeps the host from watching the store.
func TestAuditTooLarge(t *testing.T) {
	f, now := NewFollower(rand.New(rand.NewPCG(1, 1))), time.Second
	for range 2 {
		f.Done(now, f.Next(now), Page{Batch: Batch{Complete: true, Revision: 5}}, nil)
	}
	watches := 0
	for end := now + 4*auditInterval; now < end; now += watchWait {
		r := f.Next(now)
		now += r.Delay
		if r.Kind == ReadWatch {
			watches++
			f.Done(now, r, Page{}, nil)
		} else {
			f.Done(now, r, Page{}, resultcode.Errorf(resultcode.PlatformResponse, "audit", "too large"))
		}
	}
	if watches < 6 {
		t.Errorf("%d watches beside failing audits in %v, want at least 6", watches, 4*auditInterval)
	}
}

// Guards against a flood of calls to a store whose watches all end with a response that is of no use.
func TestUnusableWatchesAreDelayed(t *testing.T) {
	r := newSimulatedReader()
	r.store.write("a")
	r.read()
	r.store.maxVersions = 1
	before, started := r.reads, r.now
	for r.now-started < 10*time.Second {
		r.store.write("a")
		r.store.write("a")
		r.read()
	}
	if n := r.reads - before; n > 50 {
		t.Errorf("%d calls in 10 s, want at most 50", n)
	}
}

// Guards against one call for each of many changes that are made within a short time.
func TestChangesShareAnswers(t *testing.T) {
	r := newSimulatedReader()
	r.store.write("a")
	r.read()
	before, started := r.reads, r.now
	for r.now-started < 2*time.Second {
		r.store.write("a")
		r.read()
	}
	if n := r.reads - before; n > 12 {
		t.Fatalf("%d reads in %v, want at most 12", n, r.now-started)
	}
}

// Many hosts start at once and the store limits calls. Guards against a list that starts again after each refused call and so
// never completes, and against one that counts as complete before its last page.
func TestListContinuesAfterRefusedCalls(t *testing.T) {
	r := newSimulatedReader()
	r.store.pageSize = 10
	for i := range 95 {
		r.store.write(fmt.Sprintf("t-%02d", i))
	}
	pages := 0
	for ; r.known == 0; pages++ {
		if pages%2 == 1 {
			r.store.failures = 1 // every second call is refused
		}
		if pages > 25 {
			t.Fatal("list not complete after 25 calls")
		}
		r.read()
	}
	if r.listed != 95 || pages < 10 {
		t.Errorf("got %d records after %d calls, want 95 after at least 10", r.listed, pages)
	}
	for range 20 { // an audit of many pages finds no change, and watches continue
		r.read()
	}
	r.store.write("t-00")
	for reads := 0; r.known < r.store.revision; reads++ {
		if reads > 20 {
			t.Fatal("change not detected after 20 reads")
		}
		r.read()
	}
}

// The host that read the store for all others terminates, and another host reads the store again. Guards against an audit of
// many pages that delays the watch and with it the changes made meanwhile.
func TestFirstReadAfterTakeoverIsWatch(t *testing.T) {
	f, now := NewFollower(rand.New(rand.NewPCG(1, 1))), time.Second
	for range 2 {
		f.Done(now, f.Next(now), Page{Batch: Batch{Complete: true, Revision: 5}}, nil)
	}
	now += 10 * auditInterval
	f.Resume(9)
	if r := f.Next(now); r.Kind != ReadWatch || r.After != 9 {
		t.Fatalf("first read is %v after revision %d, want watch after 9", r.Kind, r.After)
	}
	audited := false
	for end := now + auditInterval + watchWait; now < end && !audited; now += watchWait {
		r := f.Next(now)
		audited = r.Kind == ReadAudit
		f.Done(now, r, Page{}, nil)
	}
	if !audited {
		t.Error("no audit follows the watches")
	}
}

// A host stops reading the store after failed reads, or after one with changes, because another host reads it, and takes over
// minutes later. Guards against a first read that still waits for the pause after the last one.
func TestTakeoverWithoutOldBackoff(t *testing.T) {
	for name, last := range map[string]error{
		"after failures": resultcode.Errorf(resultcode.PlatformUnavailable, "", "refused"), "after changes": nil,
	} {
		f, now := NewFollower(rand.New(rand.NewPCG(1, 1))), time.Second
		for range 2 {
			f.Done(now, f.Next(now), Page{Batch: Batch{Complete: true, Revision: 5}}, nil)
		}
		for range 5 {
			f.Done(now, f.Next(now), Page{Batch: Batch{Revision: 6, Changes: []Change{{Name: "a", Revision: 6}}}}, last)
		}
		if r := f.Next(now); r.Delay == 0 {
			t.Errorf("%s: no delay before the next read", name)
		}
		if r := f.Next(now + time.Minute); r.Kind != ReadWatch || r.Delay != 0 {
			t.Errorf("%s: after a minute: got %v after a delay of %v, want a watch at once", name, r.Kind, r.Delay)
		}
	}
}

// A host starts and reads a list of one page or of many. Guards against an expensive up-to-date read of all pages by each of
// many hosts that start at once, and against a stale list that counts as the up-to-date one.
func TestLongListIsReadStaleFirst(t *testing.T) {
	for _, pageSize := range []int{0, 10} {
		f, store := NewFollower(rand.New(rand.NewPCG(1, 1))), &fakeStore{pageSize: pageSize}
		for i := range 95 {
			store.write(fmt.Sprintf("t-%02d", i))
		}
		var provisional Batch
		applied := false
		r := f.Next(0)
		for ; r.Kind == ReadAudit; r = f.Next(0) {
			page, err := store.answer(r)
			if err != nil || applied || f.FullListPending() {
				t.Fatalf("read %+v before the stale list is complete: error %v, batch returned before: %t", r, err, applied)
			}
			provisional, applied = f.Done(0, r, page, nil)
		}
		if long := pageSize > 0; applied != long || f.FullListPending() != long {
			t.Errorf("page size %d: batch returned: %t, full list pending: %t, want both only with several pages",
				pageSize, applied, f.FullListPending())
		}
		if applied && (!provisional.Provisional || provisional.Complete || provisional.Revision != 0 || len(provisional.Changes) != 95) {
			t.Errorf("page size %d: got %d records, want a provisional batch of 95: %+v", pageSize, len(provisional.Changes), provisional)
		}
		if r.Kind != ReadList || r.Page != "" {
			t.Errorf("page size %d: next read is %v of page %q, want list of the first page", pageSize, r.Kind, r.Page)
		}
	}
	// If the store refuses the stale list, the up-to-date list is read.
	f := NewFollower(rand.New(rand.NewPCG(1, 1)))
	f.Done(0, f.Next(0), Page{}, resultcode.Errorf(resultcode.PlatformUnavailable, "", "refused"))
	if next := f.Next(0); next.Kind != ReadList {
		t.Errorf("after a refused stale read: got %v, want list", next.Kind)
	}
}

// restoredList returns a page of the list in an era.
func restoredList(era uint16, number uint64, next string) Page {
	return Page{Batch: Batch{Complete: true, Revision: inEra(era, number), Changes: []Change{listed("a", inEra(era, 1))}}, Next: next}
}

// Guards against changes of a restored store that are merged with what was read before, and against a list of pages from two eras: some
// targets would be missing from it. The list must be read again from its first page, with pauses if that happens again and again.
func TestRestoreBetweenResponses(t *testing.T) {
	nothingNew := Page{Batch: Batch{Revision: inEra(2, 0)}}
	for name, tt := range map[string]struct {
		before []Page // of the list
		read   Read
		page   Page
	}{
		"watch":               {[]Page{restoredList(1, 9, "")}, Read{Kind: ReadWatch, After: inEra(1, 9)}, restoredList(2, 10, "")},
		"watch, nothing new":  {[]Page{restoredList(1, 9, "")}, Read{Kind: ReadWatch, After: inEra(1, 9)}, nothingNew},
		"watch, earlier era":  {[]Page{restoredList(1, 9, "")}, Read{Kind: ReadWatch, After: inEra(1, 9)}, Page{}},
		"audit":               {[]Page{restoredList(1, 9, "")}, Read{Kind: ReadAudit}, restoredList(2, 2, "")},
		"second page of list": {[]Page{restoredList(1, 9, "a")}, Read{Kind: ReadList, Page: "a"}, restoredList(2, 9, "")},
	} {
		f := NewFollower(rand.New(rand.NewPCG(1, 1)))
		f.SkipStaleList()
		for _, p := range tt.before {
			f.Done(0, Read{Kind: ReadList}, p, nil)
		}
		if b, ok := f.Done(0, tt.read, tt.page, nil); ok {
			t.Errorf("%s: %+v is to be applied", name, b)
		}
		if next := f.Next(0); next.Kind != ReadList || next.Page != "" || next.Delay != 0 {
			t.Errorf("%s: the next read is %+v, want the first page of the list at once", name, next)
		}
		for range 3 {
			f.Done(0, Read{Kind: ReadList}, restoredList(1, 9, ""), nil)
			f.Done(0, Read{Kind: ReadWatch, After: inEra(1, 9)}, nothingNew, nil)
		}
		if next := f.Next(0); next.Delay < retryMin/2 {
			t.Errorf("%s: after four restores in a row the next read is %+v, want a pause of at least %v", name, next, retryMin/2)
		}
	}
}
