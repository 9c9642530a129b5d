package flow

import (
	"runtime"
	"testing"
	"unsafe"

	"pgregory.net/rapid"
)

// testKey returns the n-th of a sequence of distinct keys.
func testKey(n uint64) Key {
	k := Key{Endpoint: 7, CallerPort: uint16(n)}
	k.Caller[10], k.Caller[11] = 0xff, 0xff
	k.Caller[12], k.Caller[13], k.Caller[14] = byte(n>>32), byte(n>>24), byte(n>>16)
	return k
}

// Guards against an entry that is larger than a cache line, and a table that exceeds its memory limit at 500,000 flows.
func TestSize(t *testing.T) {
	if size := unsafe.Sizeof(Entry{}); size > 64 {
		t.Errorf("an entry has %d bytes, want at most 64", size)
	}
	if got := bytesPerFlow(500_000, 600_000); got > 128 {
		t.Errorf("%.1f bytes per flow, want at most 128", got)
	}
}

// bytesPerFlow returns the heap memory of a table with a number of flows, divided by that number.
func bytesPerFlow(flows, capacity int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := NewTable(capacity)
	for i := range flows {
		_ = table.Update(testKey(uint64(i)), 0, func(e *Entry, _ bool) bool {
			e.SetState(Established)
			return true
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	n := table.Len()
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// Guards against entries that are lost or reappear when a removal shifts other entries. The table is compared with a map.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := NewTable(64*32), map[Key]TargetID{}
		for range rapid.IntRange(1, 3000).Draw(t, "steps") {
			k := testKey(rapid.Uint64Range(0, 2000).Draw(t, "key"))
			keep := rapid.IntRange(0, 3).Draw(t, "keep") > 0
			target := TargetID(rapid.Uint64().Draw(t, "target"))
			err := table.Update(k, 0, func(e *Entry, found bool) bool {
				want, known := model[k]
				if found != known || found && (e.Target != want || e.Key() != k) {
					t.Fatalf("key %v: found is %v with target %v, want %v with target %v", k, found, e.Target, known, want)
				}
				e.Target = target
				e.SetState(Established)
				return keep
			})
			switch {
			case err != nil: // the shard of the key is full
			case keep:
				model[k] = target
			default:
				delete(model, k)
			}
		}
		seen := 0
		table.Range(func(e *Entry) bool {
			if model[e.Key()] != e.Target {
				t.Fatalf("key %v has target %v, want %v", e.Key(), e.Target, model[e.Key()])
			}
			seen++
			return true
		})
		if seen != len(model) || table.Len() != len(model) {
			t.Fatalf("Range visited %d entries and Len is %d, want %d", seen, table.Len(), len(model))
		}
	})
}

// Guards against a SYN flood that leaves no room for established flows, and against a wrong count of pending flows.
func TestPendingLimit(t *testing.T) {
	const capacity = 64 * 100
	table := NewTable(capacity)
	add := func(n uint64, ev Event) error {
		return table.Update(testKey(n), 0, func(e *Entry, _ bool) bool {
			e.Step(ev)
			return true
		})
	}
	for i := range uint64(10 * capacity) {
		_ = add(i, CallerSYN)
	}
	if got := table.Pending(); got > capacity/4 || got != table.Len() {
		t.Fatalf("%d pending of %d flows, want only pending flows and at most %d", got, table.Len(), capacity/4)
	}
	established := 0
	for i := range uint64(capacity / 2) {
		if add(1<<32+i, TargetPacket) == nil {
			established++
		}
	}
	if established < capacity/2*99/100 {
		t.Fatalf("%d of %d established flows were added, want at least 99%%", established, capacity/2)
	}
	table.Range(func(e *Entry) bool { return !e.State().Pending() })
	if table.Pending() != 0 || table.Len() != established {
		t.Fatalf("%d pending flows and %d flows in total are left, want 0 and %d", table.Pending(), table.Len(), established)
	}
}

// Guards against the age of a long session that wraps around, so that the session appears to be a short request.
func TestAge(t *testing.T) {
	var e Entry
	e.Renew(0)
	for now := uint32(0); now <= 3*3600_000; now += 60_000 {
		e.ClampAge(now)
		if age := e.AgeMS(now); age < min(now, maxAgeUnits*openedUnitMS) {
			t.Fatalf("age is %d ms after %d ms, want the elapsed time up to the maximum age", age, now)
		}
	}
}

// Guards against a sweep that skips entries or never reaches the end of the table.
func TestSweepCoversTable(t *testing.T) {
	table := NewTable(64 * 64)
	for i := range uint64(2000) {
		_ = table.Update(testKey(i), 0, func(e *Entry, _ bool) bool {
			e.SetState(Closed)
			return true
		})
	}
	nowMS := uint32(ClosedTimeout.Milliseconds()) + 1
	for range 11 { // one more than 10 parts, since removals shift entries over the end of a shard behind the cursor
		table.Sweep(10, func(e *Entry) bool { return !e.Expired(nowMS) })
	}
	if table.Len() != 0 {
		t.Fatalf("%d expired entries are left after a full sweep, want 0", table.Len())
	}
}
