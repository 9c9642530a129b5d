package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against waiting work that is counted for another service or twice, and against slots of targets that take none.
func TestQueues(t *testing.T) {
	a, b, c := known(1, local), known(2, remote), known(3, local)
	b.Presence, c.Service = directory.Draining, "archive"
	own := []directory.Load{{Token: a.Token(), Pending: 4}, {Token: c.Token(), Pending: 1}, {Token: 12345, Pending: 9}}
	others := []directory.Load{{Token: b.Token(), Pending: 2}}
	got := Queues(snapshot(a, b, c), own, others)
	want := []Queue{{"archive", 1, 3}, {"ingest", 6, 3}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Replays a demand that grows past the slots and falls again. Guards against a queue that grows unseen, and against a word at
// every report while the load is near the limit.
func TestQueueThatLastsIsNoticed(t *testing.T) {
	w, now := NewQueueWatch(), time.Duration(0)
	var events []QueueEvent
	play := func(waiting int, d time.Duration) {
		for end := now + d; now < end; now += 200 * time.Millisecond {
			events = append(events, w.Update([]Queue{{"ingest", waiting, 42}}, now)...)
		}
	}
	play(30, 5*time.Second)
	play(90, 600*time.Millisecond) // a burst of a moment
	play(30, time.Second)
	if len(events) != 0 {
		t.Fatalf("a burst is reported: %+v", events)
	}
	play(90, 10*time.Second)
	play(60, 5*time.Second) // still waiting
	play(90, 5*time.Second)
	if len(events) != 1 || !events[0].Grown || events[0].Waiting != 90 {
		t.Fatalf("got %+v", events)
	}
	play(20, time.Second)
	if len(events) != 2 || events[1].Grown || events[1].Duration < 20*time.Second {
		t.Fatalf("got %+v", events)
	}
}
