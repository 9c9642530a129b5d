package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against waiting requests that are counted twice or for another service, and against slots of targets that take
// no new flows.
func TestQueues(t *testing.T) {
	a, b, c := knownTarget(1, local), knownTarget(2, remote), knownTarget(3, local)
	b.Presence, c.Service = directory.Draining, "archive"
	own := []directory.Load{{Token: a.Token(), Pending: 4}, {Token: c.Token(), Pending: 1}, {Token: 12345, Pending: 9}}
	others := directory.Loads{
		Targets: []directory.Load{{Token: b.Token(), Pending: 2}},
		Rest:    []directory.ServiceLoad{{Service: "ingest", Pending: 5}, {Service: "unknown", Pending: 9}},
	}
	got := Queues(snapshot(a, b, c), own, others)
	want := []Queue{{"archive", 1, 3}, {"ingest", 11, 3}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("queues are %+v, want %+v", got, want)
	}
}

// Replays a load that exceeds the slots and falls again. Guards against a queue that is not reported, and against an
// event with every report while the load is near the limit.
func TestLastingQueueIsReported(t *testing.T) {
	w, now := NewQueueWatch(), time.Duration(0)
	var events []QueueEvent
	advance := func(waiting int, d time.Duration) {
		for end := now + d; now < end; now += 200 * time.Millisecond {
			events = append(events, w.Update([]Queue{{"ingest", waiting, 42}}, now)...)
		}
	}
	advance(30, 5*time.Second)
	advance(90, 600*time.Millisecond) // a short burst
	advance(30, time.Second)
	if len(events) != 0 {
		t.Fatalf("a short burst is reported as a queue: %+v", events)
	}
	advance(90, 10*time.Second)
	advance(60, 5*time.Second) // still above queueEndLevel
	advance(90, 5*time.Second)
	if len(events) != 1 || !events[0].Grown || events[0].Waiting != 90 {
		t.Fatalf("events are %+v, want one of a grown queue with 90 waiting", events)
	}
	advance(20, time.Second)
	if len(events) != 2 || events[1].Grown || events[1].Duration < 20*time.Second {
		t.Fatalf("events are %+v, want a second one of a queue that is gone after 20 s or more", events)
	}
}
