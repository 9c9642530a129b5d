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

// fakeStore is a store with a history of changes that can be dropped, and watches that can miss changes.
type fakeStore struct {
	revision uint64
	changes  []Change
	dropped  uint64 // history up to it is gone
	deaf     bool   // watches hear nothing
	pageSize int    // records of a page, 0 for all
	failing  int    // calls that fail from now on
}

func (s *fakeStore) write(name string) {
	s.revision++
	s.changes = append(s.changes, listed(name, s.revision))
}

func (s *fakeStore) answer(r Read) (Page, error) {
	if s.failing > 0 {
		s.failing--
		return Page{}, resultcode.Errorf(resultcode.PlatformUnavailable, "", "too many calls")
	}
	if r.Kind != ReadWatch {
		return s.list(r.Page), nil
	}
	if r.After < s.dropped {
		return Page{}, resultcode.Errorf(resultcode.PlatformHistoryGone, "watch", "gone")
	}
	var b Page
	if s.deaf {
		return b, nil
	}
	for _, c := range s.changes {
		if c.Revision > r.After {
			b.Changes, b.Revision = append(b.Changes, c), c.Revision
		}
	}
	return b, nil
}

// list returns a page of the newest record of each name.
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

// reader plays a follower against a fake store.
type reader struct {
	f     *Follower
	store *fakeStore
	now   time.Duration
	known uint64
	reads int
	// listed is the number of records of the last batch.
	listed int
}

// newReader returns a reader that knows how long the list is.
func newReader() *reader {
	r := &reader{f: NewFollower(rand.New(rand.NewPCG(1, 1))), store: &fakeStore{}}
	r.read()
	return r
}

func (r *reader) read() Read {
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

// Guards against a change that is never noticed because it was made while watches heard nothing: the watch ends without
// changes, and the history that held the change is dropped before the next watch.
func TestChangeDuringDeafWatch(t *testing.T) {
	for _, forget := range []bool{true, false} {
		r := newReader()
		r.store.write("a")
		r.read()
		r.store.deaf = true
		r.store.write("b")
		r.read() // ends without changes
		r.store.deaf = false
		if forget {
			r.store.dropped = r.store.revision
		}
		changed := r.now
		for r.known < r.store.revision {
			r.read()
			if r.now-changed > auditInterval+watchWait {
				t.Fatalf("history dropped %v: change not noticed after %v", forget, r.now-changed)
			}
		}
	}
}

// Guards against a change that no watch ever tells of.
func TestAuditFindsMissedChange(t *testing.T) {
	r := newReader()
	r.store.write("a")
	r.read()
	r.store.deaf = true
	r.store.write("b")
	changed := r.now
	for r.known < r.store.revision {
		r.read()
		if r.now-changed > auditInterval+2*watchWait {
			t.Fatalf("not noticed after %v", r.now-changed)
		}
	}
}

// Guards against a store that is flooded with reads while it fails, and against one that is back and not noticed.
func TestRetries(t *testing.T) {
	f, now := NewFollower(rand.New(rand.NewPCG(1, 1))), time.Duration(0)
	failed := resultcode.Errorf(resultcode.PlatformUnavailable, "", "refused")
	for reads := range 100 {
		r := f.Next(now)
		if reads > 0 && (r.Delay < retryMin/2 || r.Delay > retryMax) {
			t.Fatalf("pause %v before read %d", r.Delay, reads)
		}
		now += r.Delay
		f.Done(now, r, Page{}, failed)
	}
	if now < 100*retryMax/2*9/10 {
		t.Fatalf("100 reads in %v", now)
	}
}

// Guards against a call for each of many changes that are made within a moment.
func TestChangesShareAnswers(t *testing.T) {
	r := newReader()
	r.store.write("a")
	r.read()
	before, started := r.reads, r.now
	for r.now-started < 2*time.Second {
		r.store.write("a")
		r.read()
	}
	if n := r.reads - before; n > 12 {
		t.Fatalf("%d reads in %v", n, r.now-started)
	}
}

// Replays the start of many hosts at once before a store that limits calls. Guards against a list that begins anew after each
// call that was refused and so never ends, and against one that is taken for complete before its last page.
func TestListGoesOnAfterRefusedCalls(t *testing.T) {
	r := newReader()
	r.store.pageSize = 10
	for i := range 95 {
		r.store.write(fmt.Sprintf("t-%02d", i))
	}
	pages := 0
	for ; r.known == 0; pages++ {
		if pages%2 == 1 {
			r.store.failing = 1 // every second call is refused
		}
		if pages > 25 {
			t.Fatal("the list does not end")
		}
		r.read()
	}
	if r.listed != 95 || pages < 10 {
		t.Errorf("%d records after %d calls", r.listed, pages)
	}
	for range 20 { // an audit of many pages finds nothing, and watches go on
		r.read()
	}
	r.store.write("t-00")
	for reads := 0; r.known < r.store.revision; reads++ {
		if reads > 20 {
			t.Fatal("a change is not noticed")
		}
		r.read()
	}
}

// Replays a host that reads the store again because the one that read it for all has ended. Guards against an audit of many pages that
// goes before the watch which tells of the changes since.
func TestFirstReadAfterOthersReadIsWatch(t *testing.T) {
	f, now := NewFollower(rand.New(rand.NewPCG(1, 1))), time.Second
	for range 2 {
		f.Done(now, f.Next(now), Page{Batch: Batch{Complete: true, Revision: 5}}, nil)
	}
	now += 10 * auditInterval
	f.Resume(9)
	if r := f.Next(now); r.Kind != ReadWatch || r.After != 9 {
		t.Fatalf("first read is %v after %d", r.Kind, r.After)
	}
	audited := false
	for end := now + auditInterval + watchWait; now < end && !audited; now += watchWait {
		r := f.Next(now)
		audited = r.Kind == ReadAudit
		f.Done(now, r, Page{}, nil)
	}
	if !audited {
		t.Error("no audit follows")
	}
}

// Replays the start of a host before a list of one page and of many. Guards against a whole list that each of many hosts that start at
// once pays for, and against a cheap one, which may be behind, that is taken for the list itself.
func TestLongListIsReadCheaplyFirst(t *testing.T) {
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
				t.Fatalf("read %+v: %v, applied %t", r, err, applied)
			}
			provisional, applied = f.Done(0, r, page, nil)
		}
		if long := pageSize > 0; applied != long || f.FullListPending() != long {
			t.Errorf("page size %d: applied %t, paging %t", pageSize, applied, f.FullListPending())
		}
		if applied && (!provisional.Provisional || provisional.Complete || provisional.Revision != 0 || len(provisional.Changes) != 95) {
			t.Errorf("page size %d: %d records, %+v", pageSize, len(provisional.Changes), provisional)
		}
		if r.Kind != ReadList || r.Page != "" {
			t.Errorf("page size %d: then %v of page %q", pageSize, r.Kind, r.Page)
		}
	}
	// A store that refuses the cheap list is asked for the list.
	f := NewFollower(rand.New(rand.NewPCG(1, 1)))
	f.Done(0, f.Next(0), Page{}, resultcode.Errorf(resultcode.PlatformUnavailable, "", "refused"))
	if next := f.Next(0); next.Kind != ReadList {
		t.Errorf("after a refusal: %v", next.Kind)
	}
}
