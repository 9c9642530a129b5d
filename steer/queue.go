package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// queueStartLevel and queueEndLevel are the waiting requests per slot at which a queue counts as grown and as gone.
	// The gap keeps a load near the limit from starting and ending a queue with every report.
	queueStartLevel = 2.0
	queueEndLevel   = 1.0
	// minQueueDuration is how long a queue must last before it counts as grown: a short burst is not a queue.
	minQueueDuration = time.Second
)

// Queue is the number of requests that wait for a service, with the slots that serve them.
type Queue struct {
	Service string
	Waiting int // requests that wait for an answer, by the reports of all balancers
	Slots   int // requests that the ready targets work on concurrently
}

// Queues returns the queue of each service in the snapshot, sorted by service name. own are the loads that this balancer has
// observed, peers those of the others. Loads of unknown targets and services are ignored.
func Queues(s *directory.Snapshot, own []directory.Load, peers directory.Loads) []Queue {
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
	for _, list := range [...][]directory.Load{own, peers.Targets} {
		for _, l := range list {
			if q := queues[services[l.Token]]; q != nil {
				q.Waiting += int(l.Pending)
			}
		}
	}
	for _, l := range peers.Rest {
		if q := queues[l.Service]; q != nil {
			q.Waiting += int(l.Pending)
		}
	}
	out := make([]Queue, 0, len(queues))
	for _, q := range queues {
		out = append(out, *q)
	}
	slices.SortFunc(out, func(a, b Queue) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// QueueEvent reports that the queue of a service has grown or is gone.
type QueueEvent struct {
	Queue
	Grown    bool
	Duration time.Duration // how long the queue has lasted
}

// QueueWatch detects queues that last. It is not safe for concurrent use.
type QueueWatch struct {
	since map[string]time.Duration // when the queue reached queueStartLevel
	grown map[string]bool          // queues that were reported as grown
}

// NewQueueWatch returns a watch without any queue.
func NewQueueWatch() *QueueWatch {
	return &QueueWatch{since: map[string]time.Duration{}, grown: map[string]bool{}}
}

// Update records the present queues and returns the changes. A service that is no longer listed has no queue.
func (w *QueueWatch) Update(queues []Queue, now time.Duration) []QueueEvent {
	var events []QueueEvent
	listed := map[string]bool{}
	for _, q := range queues {
		listed[q.Service] = true
		since, started := w.since[q.Service]
		perSlot := float64(q.Waiting) / float64(max(q.Slots, 1))
		switch {
		case w.grown[q.Service] && perSlot < queueEndLevel:
			events = append(events, QueueEvent{Queue: q, Duration: now - since})
			delete(w.since, q.Service)
			delete(w.grown, q.Service)
		case w.grown[q.Service]:
		case perSlot < queueStartLevel:
			delete(w.since, q.Service)
		case !started:
			w.since[q.Service] = now
		case now-since >= minQueueDuration:
			w.grown[q.Service] = true
			events = append(events, QueueEvent{Queue: q, Grown: true, Duration: now - since})
		}
	}
	isUnlisted := func(service string) bool { return !listed[service] }
	maps.DeleteFunc(w.since, func(s string, _ time.Duration) bool { return isUnlisted(s) })
	maps.DeleteFunc(w.grown, func(s string, _ bool) bool { return isUnlisted(s) })
	return events
}
