package flow

import (
	"errors"
	"math/bits"
	"math/rand/v2"
	"sync"
)

// Errors of Table.Update.
var (
	ErrFull        = errors.New("flow table is full")
	ErrPendingFull = errors.New("flow table holds too many unconfirmed flows")
)

const (
	shardBits  = 6
	shardCount = 1 << shardBits
	// slotsPerEntry keeps a full shard at a load of 80%, where a probe for an absent key looks at 13 tags on average.
	slotsPerEntry = 1.25
	// pendingShare is the part of the capacity that pending flows may take, so that a flood of them leaves room for
	// the others.
	pendingShare = 4
)

// Table is a hash table of flows with a fixed capacity. It is safe for use by several goroutines.
//
// Each shard is an array with linear probing. A separate array holds one byte of each key's hash, so that a lookup
// reads one line of tags and, nearly always, one entry.
type Table struct {
	seed   uint64
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	tags     []uint8 // 0 when the slot is empty
	entries  []Entry
	used     int
	pending  int
	capacity int
	cursor   int // next slot to sweep
	_        [24]byte
}

// LookupResult tells whether a key is in the table and, if not, whether it can be added.
type LookupResult uint8

// Results of a lookup.
const (
	Found          LookupResult = iota
	Free                        // absent; any flow can be added
	FreeNonPending              // absent; only flows that are not pending can be added
	Full                        // absent; nothing can be added
)

// NewTable returns a table for capacity flows. Its memory is allocated at once and does not grow.
func NewTable(capacity int) *Table {
	t := &Table{seed: rand.Uint64()} // a caller that cannot see the seed cannot choose keys that collide
	each := (capacity + shardCount - 1) / shardCount
	slots := int(float64(each)*slotsPerEntry) + 1
	slab := make([]Entry, shardCount*slots)
	adviseHugePages(slab)
	for i := range t.shards {
		t.shards[i] = shard{
			capacity: each, tags: make([]uint8, slots), entries: slab[i*slots : (i+1)*slots : (i+1)*slots],
		}
	}
	return t
}

// Update runs fn on the entry of k under the shard lock. When k is absent, fn gets a new entry, which is stored if fn
// returns true. A present entry is removed if fn returns false. The error is ErrFull or ErrPendingFull when a new
// entry was not stored for lack of room.
func (t *Table) Update(k Key, nowMS uint32, fn func(e *Entry, found bool) (keep bool)) error {
	result := Found
	var refused State
	t.Visit(&k, k.Hash(), nowMS, func(e *Entry, r LookupResult) bool {
		result = r
		keep := fn(e, r == Found)
		if !keep {
			result = Found
		}
		refused = e.state
		return keep
	})
	switch {
	case result == Full:
		return ErrFull
	case result == FreeNonPending && refused.Pending():
		return ErrPendingFull
	}
	return nil
}

// Visit is Update for callers that know the hash of the key and need to know the room before they decide. A new
// entry is stored only when its state fits the room.
func (t *Table) Visit(k *Key, hash uint64, nowMS uint32, fn func(e *Entry, result LookupResult) (keep bool)) {
	x := Mix(hash, t.seed)
	s := &t.shards[x>>(64-shardBits)]
	tag := tagOf(x)
	s.mu.Lock()
	i := s.home(x)
	for ; s.tags[i] != 0; i = s.after(i) {
		if s.tags[i] == tag && s.entries[i].is(k) {
			s.visitFound(t, i, fn)
			s.mu.Unlock()
			return
		}
	}
	s.visitAbsent(i, tag, k, nowMS, fn)
	s.mu.Unlock()
}

func (s *shard) visitFound(t *Table, i int, fn func(*Entry, LookupResult) bool) {
	e := &s.entries[i]
	before := e.state.Pending()
	keep := fn(e, Found)
	s.count(before, keep && e.state.Pending())
	if !keep {
		s.remove(t, i)
	}
}

func (s *shard) visitAbsent(i int, tag uint8, k *Key, nowMS uint32, fn func(*Entry, LookupResult) bool) {
	result := Free
	switch {
	case s.used >= s.capacity:
		result = Full
	case s.pending >= s.capacity/pendingShare:
		result = FreeNonPending
	}
	// The empty slot itself is the scratch entry, so that nothing is allocated; without a tag nobody reads it.
	e := &s.entries[i]
	*e = Entry{caller: k.Caller, endpoint: k.Endpoint, callerPort: k.CallerPort}
	e.Renew(nowMS)
	if !fn(e, result) || result == Full || result == FreeNonPending && e.state.Pending() {
		return
	}
	s.tags[i] = tag
	s.used++
	s.count(false, e.state.Pending())
}

func (s *shard) count(before, after bool) {
	switch {
	case before && !after:
		s.pending--
	case after && !before:
		s.pending++
	}
}

// remove empties slot i and moves later entries of the same run back, so that no probe stops too early.
func (s *shard) remove(t *Table, i int) {
	s.used--
	for j := s.after(i); s.tags[j] != 0; j = s.after(j) {
		k := s.entries[j].Key()
		if h := s.home(Mix(k.Hash(), t.seed)); s.distance(h, j) >= s.distance(i, j) {
			s.tags[i], s.entries[i] = s.tags[j], s.entries[j]
			i = j
		}
	}
	s.tags[i] = 0
}

// distance returns the steps from slot a forward to slot b.
func (s *shard) distance(a, b int) int {
	if b >= a {
		return b - a
	}
	return b - a + len(s.tags)
}

// home maps the hash bits below the shard number evenly to the slots.
func (s *shard) home(x uint64) int {
	high, _ := bits.Mul64(x<<shardBits, uint64(len(s.tags)))
	return int(high)
}

func (s *shard) after(i int) int {
	if i++; i < len(s.tags) {
		return i
	}
	return 0
}

// tagOf returns the low hash bits as a tag that is never 0. home depends on the high bits.
func tagOf(x uint64) uint8 { return uint8(x) | 1 }

// Len returns the number of flows in the table.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.used
		s.mu.Unlock()
	}
	return n
}

// Pending returns the number of flows that have not shown that both ends take part.
func (t *Table) Pending() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.pending
		s.mu.Unlock()
	}
	return n
}

// Range runs fn on every entry under its shard's lock and removes entries for which fn returns false. An entry that a
// removal moves may be visited twice.
func (t *Table) Range(fn func(e *Entry) (keep bool)) {
	for i := range t.shards {
		t.rangeSlots(&t.shards[i], 0, len(t.shards[i].tags), fn)
	}
}

// Sweep runs fn on the entries of part 1/parts of every shard, going on where the last call stopped.
func (t *Table) Sweep(parts int, fn func(e *Entry) (keep bool)) {
	for i := range t.shards {
		s := &t.shards[i]
		n := len(s.tags)
		step := (n + parts - 1) / parts
		from := s.cursor
		to := min(from+step, n)
		t.rangeSlots(s, from, to, fn)
		s.cursor = to
		if to == n {
			s.cursor = 0
		}
	}
}

func (t *Table) rangeSlots(s *shard, from, to int, fn func(e *Entry) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := from; i < to; {
		if s.tags[i] == 0 {
			i++
			continue
		}
		e := &s.entries[i]
		before := e.state.Pending()
		keep := fn(e)
		s.count(before, keep && e.state.Pending())
		if keep {
			i++
			continue
		}
		s.remove(t, i) // slot i may now hold another entry
	}
}
