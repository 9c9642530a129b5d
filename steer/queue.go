package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// queueStarts and queueEnds are the waiting requests for each slot at which a queue counts as grown and as gone. The gap
	// keeps a load near the limit from starting and ending a queue with every report.
	queueStarts = 2.0
	queueEnds   = 1.0
	// queueAge is how long a queue must last before it counts as grown: a burst of a moment is no queue.
	queueAge = time.Second
)

// Queue is the work that waits for a service.
type Queue struct {
	Service string
	Waiting int // requests that wait for an answer, as far as the balancers have told each other
	Slots   int // requests that the ready targets work on at a time
}

// Queues returns the work that waits for each service, by name.
func Queues(s *directory.Snapshot, loads ...[]directory.Load) []Queue {
	services := map[directory.Token]string{}
	queues := map[string]*Queue{}
	for i := range s.Targets {
		t := &s.Targets[i]
		services[t.Token()] = t.Service
		q := queues[t.Service]
		if q == nil {
			q = &Queue{Service: t.Service}
			queues[t.Service] = q
		}
		if t.Presence == directory.Ready {
			q.Slots += t.Capacity
		}
	}
	for _, list := range loads {
		for _, l := range list {
			if q := queues[services[l.Token]]; q != nil {
				q.Waiting += int(l.Pending)
			}
		}
	}
	out := make([]Queue, 0, len(queues))
	for _, q := range queues {
		out = append(out, *q)
	}
	slices.SortFunc(out, func(a, b Queue) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// QueueEvent tells that the queue of a service has grown or is gone.
type QueueEvent struct {
	Queue
	Grown    bool
	Duration time.Duration // how long the queue has lasted
}

// QueueWatch notices queues that last. One goroutine may use it.
type QueueWatch struct {
	since map[string]time.Duration // when waiting work reached queueStarts
	grown map[string]bool
}

// NewQueueWatch returns a watch that has seen no queue.
func NewQueueWatch() *QueueWatch {
	return &QueueWatch{since: map[string]time.Duration{}, grown: map[string]bool{}}
}

// Update takes in the present queues and returns what has changed. A service that is no longer listed has no queue.
func (w *QueueWatch) Update(queues []Queue, now time.Duration) []QueueEvent {
	var events []QueueEvent
	listed := map[string]bool{}
	for _, q := range queues {
		listed[q.Service] = true
		since, started := w.since[q.Service]
		perSlot := float64(q.Waiting) / float64(max(q.Slots, 1))
		switch {
		case w.grown[q.Service] && perSlot < queueEnds:
			events = append(events, QueueEvent{Queue: q, Duration: now - since})
			delete(w.since, q.Service)
			delete(w.grown, q.Service)
		case w.grown[q.Service]:
		case perSlot < queueStarts:
			delete(w.since, q.Service)
		case !started:
			w.since[q.Service] = now
		case now-since >= queueAge:
			w.grown[q.Service] = true
			events = append(events, QueueEvent{Queue: q, Grown: true, Duration: now - since})
		}
	}
	forget := func(service string) bool { return !listed[service] }
	maps.DeleteFunc(w.since, func(s string, _ time.Duration) bool { return forget(s) })
	maps.DeleteFunc(w.grown, func(s string, _ bool) bool { return forget(s) })
	return events
}
