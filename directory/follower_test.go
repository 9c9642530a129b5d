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

func newReader() *reader {
	return &reader{f: NewFollower(rand.New(rand.NewPCG(1, 1))), store: &fakeStore{}}
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
