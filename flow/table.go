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
	ErrPendingFull = errors.New("flow table holds too many pending flows")
)

const (
	shardBits  = 6
	shardCount = 1 << shardBits
	// slotsPerEntry gives a full shard a load factor of 80%, at which a lookup of an absent key reads 13 tags on average.
	slotsPerEntry = 1.25
	// pendingDivisor limits pending flows to a quarter of the capacity, so that a flood of them leaves room for others.
	pendingDivisor = 4
)

// Table is a hash table of flows with a fixed capacity. It is safe for concurrent use, except for Sweep, which one
// goroutine may call at a time.
//
// Each shard is an open-addressing array with linear probing. A separate array holds one byte of each key's hash, so that
// a lookup reads one cache line of tags and, nearly always, one entry.
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
	cursor   int // slot at which the next Sweep starts
	_        [24]byte
}

// LookupResult is the result of a lookup: whether a key is in the table and, if not, whether it can be added.
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
	t := &Table{seed: rand.Uint64()} // random, so that callers cannot choose keys that collide
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

// Update calls fn with the entry of k while it holds the shard lock. When k is absent, fn gets a new entry, which is
// stored if fn returns true. A present entry is removed if fn returns false. Update returns ErrFull or ErrPendingFull
// when a new entry was not stored for lack of room.
func (t *Table) Update(k Key, nowMS uint32, fn func(e *Entry, found bool) (keep bool)) error {
	result := Found
	var state State
	t.Visit(&k, k.Hash(), nowMS, func(e *Entry, r LookupResult) bool {
		result = r
		keep := fn(e, r == Found)
		if !keep {
			result = Found
		}
		state = e.state
		return keep
	})
	switch {
	case result == Full:
		return ErrFull
	case result == FreeNonPending && state.Pending():
		return ErrPendingFull
	}
	return nil
}

// Visit is like Update, for callers that have the hash of the key and need the LookupResult to decide. A new entry is
// stored only when the LookupResult permits its state.
func (t *Table) Visit(k *Key, hash uint64, nowMS uint32, fn func(e *Entry, result LookupResult) (keep bool)) {
	x := Mix(hash, t.seed)
	s := &t.shards[x>>(64-shardBits)]
	tag := tagOf(x)
	s.mu.Lock()
	i := s.homeSlot(x)
	for ; s.tags[i] != 0; i = s.next(i) {
		if s.tags[i] == tag && s.entries[i].matches(k) {
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
	s.countPending(before, keep && e.state.Pending())
	if !keep {
		s.remove(t, i)
	}
}

func (s *shard) visitAbsent(i int, tag uint8, k *Key, nowMS uint32, fn func(*Entry, LookupResult) bool) {
	result := Free
	switch {
	case s.used >= s.capacity:
		result = Full
	case s.pending >= s.capacity/pendingDivisor:
		result = FreeNonPending
	}
	// The new entry is built in the empty slot, to avoid an allocation. Until the tag is set, no lookup reads it.
	e := &s.entries[i]
	*e = Entry{caller: k.Caller, endpoint: k.Endpoint, callerPort: k.CallerPort}
	e.Renew(nowMS)
	if !fn(e, result) || result == Full || result == FreeNonPending && e.state.Pending() {
		return
	}
	s.tags[i] = tag
	s.used++
	s.countPending(false, e.state.Pending())
}

func (s *shard) countPending(before, after bool) {
	switch {
	case before && !after:
		s.pending--
	case after && !before:
		s.pending++
	}
}

// remove empties slot i and shifts later entries of the same probe sequence back, so that no lookup stops too early.
func (s *shard) remove(t *Table, i int) {
	s.used--
	for j := s.next(i); s.tags[j] != 0; j = s.next(j) {
		k := s.entries[j].Key()
		if h := s.homeSlot(Mix(k.Hash(), t.seed)); s.distance(h, j) >= s.distance(i, j) {
			s.tags[i], s.entries[i] = s.tags[j], s.entries[j]
			i = j
		}
	}
	s.tags[i] = 0
}

// distance returns the number of steps forward from slot a to slot b, with wraparound.
func (s *shard) distance(a, b int) int {
	if b >= a {
		return b - a
	}
	return b - a + len(s.tags)
}

// homeSlot returns the slot at which probing for a hash starts. It maps the bits below the shard number evenly to the slots.
func (s *shard) homeSlot(x uint64) int {
	high, _ := bits.Mul64(x<<shardBits, uint64(len(s.tags)))
	return int(high)
}

func (s *shard) next(i int) int {
	if i++; i < len(s.tags) {
		return i
	}
	return 0
}

// tagOf returns the low hash bits as a tag that is never 0. homeSlot depends on the high bits.
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

// Pending returns the number of flows in a pending state.
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

// Range calls fn with every entry while it holds the lock of the entry's shard, and removes entries for which fn returns
// false. An entry that a removal shifts to another slot may be visited twice.
func (t *Table) Range(fn func(e *Entry) (keep bool)) {
	for i := range t.shards {
		t.rangeSlots(&t.shards[i], 0, len(t.shards[i].tags), fn)
	}
}

// Sweep is like Range for a fraction 1/parts of every shard. Each call continues where the previous one stopped.
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
		s.countPending(before, keep && e.state.Pending())
		if keep {
			i++
			continue
		}
		s.remove(t, i) // slot i may now hold another entry, so it is visited again
	}
}
