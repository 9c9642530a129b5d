package timeline

import (
	"testing"
	"time"
)

// Guards against a timeline that shows an effect before its cause, because the host of the effect has a slower wall clock.
func TestEffectAfterCause(t *testing.T) {
	wall := time.Unix(1000, 0)
	fast := NewClock(func() time.Time { return wall.Add(2 * time.Second) })
	slow := NewClock(func() time.Time { return wall })
	cause := fast.Next()
	slow.Observe(cause)
	if effect := slow.Next(); effect.Compare(cause) <= 0 {
		t.Fatalf("effect has stamp %+v, want one after its cause %+v", effect, cause)
	}
}

// Guards against equal or decreasing stamps of the events of one process when the wall clock stops or goes back.
func TestStampsRise(t *testing.T) {
	wall := time.Unix(1000, 0)
	c := NewClock(func() time.Time { wall = wall.Add(-time.Millisecond); return wall })
	last := c.Next()
	for range 100 {
		next := c.Next()
		if next.Compare(last) <= 0 {
			t.Fatalf("got stamp %+v, want one after %+v", next, last)
		}
		last = next
	}
}

// Guards against a ring that grows beyond its capacity, or returns events out of order after it wraps around.
func TestRingKeepsNewest(t *testing.T) {
	r := NewRing("h", NewClock(time.Now), 4)
	for i := range uint64(10) {
		r.Add(Event{Kind: "k", Version: i})
	}
	events, _ := r.Since(Stamp{})
	if len(events) != 4 || events[0].Version != 6 || events[3].Version != 9 {
		t.Fatalf("got events %+v, want versions 6 to 9", events)
	}
}
