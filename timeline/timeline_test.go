package timeline

import (
	"testing"
	"time"
)

// Guards against a time line in which an effect on a host with a slow clock is shown before its cause.
func TestEffectAfterCause(t *testing.T) {
	wall := time.Unix(1000, 0)
	fast := NewClock(func() time.Time { return wall.Add(2 * time.Second) })
	slow := NewClock(func() time.Time { return wall })
	cause := fast.Next()
	slow.Observe(cause)
	if effect := slow.Next(); effect.Compare(cause) <= 0 {
		t.Fatalf("effect %+v is not after its cause %+v", effect, cause)
	}
}

// Guards against two events of one process with equal stamps when the wall clock stands still or goes back.
func TestStampsRise(t *testing.T) {
	wall := time.Unix(1000, 0)
	c := NewClock(func() time.Time { wall = wall.Add(-time.Millisecond); return wall })
	last := c.Next()
	for range 100 {
		next := c.Next()
		if next.Compare(last) <= 0 {
			t.Fatalf("stamp %+v after %+v", next, last)
		}
		last = next
	}
}

// Guards against a ring that grows without bound or loses its order when it wraps.
func TestRingKeepsNewest(t *testing.T) {
	r := NewRing("h", NewClock(time.Now), 4)
	for i := range uint64(10) {
		r.Add(Event{Kind: "k", Version: i})
	}
	events, _ := r.Since(Stamp{})
	if len(events) != 4 || events[0].Version != 6 || events[3].Version != 9 {
		t.Fatalf("got %+v", events)
	}
}
