// Package timeline records the events of one process and merges the events of several processes into one order.
//
// The wall clocks of hosts differ, so events are ordered by a hybrid logical clock: an event never comes after one that it
// may have caused, and without messages between hosts the order is that of the wall clocks.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	Wall    int64  `json:"wall" msgpack:"w"`    // nanoseconds since the Unix epoch; never decreases
	Logical uint32 `json:"logical" msgpack:"l"` // orders events with equal Wall
}

// Compare returns -1 if s comes before o, 0 if they are equal, and 1 if s comes after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads the wall clock by calling now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns the stamp of a local event.
func (c *Clock) Next() Stamp {
	return c.Observe(Stamp{})
}

// Observe advances the clock past a stamp received from another host and returns the stamp of the receive event.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.last
	if remote.Compare(latest) > 0 {
		latest = remote
	}
	if wall := c.now().UnixNano(); wall > latest.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last = Stamp{Wall: latest.Wall, Logical: latest.Logical + 1}
	}
	return c.last
}

// Event is one entry of the timeline. Fields that do not apply to the event are empty.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Local   int64  `json:"local"` // wall clock of the host in nanoseconds since the Unix epoch
	Host    string `json:"host"`
	Kind    string `json:"kind"` // for example "target-state"
	Service string `json:"service,omitempty"`
	Target  string `json:"target,omitempty"`
	Member  string `json:"member,omitempty"`
	Flow    string `json:"flow,omitempty"`
	Version uint64 `json:"version,omitempty"` // bundle version
	Code    uint16 `json:"code,omitempty"`    // result code
	Detail  string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the newest events of one process. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	host   string
	clock  *Clock
	events []Event
	oldest int
	added  chan struct{}
}

// NewRing returns a ring that keeps up to capacity events of the host.
func NewRing(host string, clock *Clock, capacity int) *Ring {
	return &Ring{host: host, clock: clock, events: make([]Event, 0, capacity), added: make(chan struct{})}
}

// Add sets the host, stamp and local time of an event, stores it and returns it.
func (r *Ring) Add(e Event) Event {
	e.Host, e.Stamp, e.Local = r.host, r.clock.Next(), r.clock.now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.oldest] = e
		r.oldest = (r.oldest + 1) % len(r.events)
	}
	close(r.added)
	r.added = make(chan struct{})
	return e
}

// Since returns the stored events after a stamp, oldest first, and a channel that is closed when the next event is added.
func (r *Ring) Since(s Stamp) ([]Event, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.events {
		if e.Stamp.Compare(s) > 0 {
			out = append(out, e)
		}
	}
	Sort(out)
	return out, r.added
}

// Sort sorts the events of any number of hosts by stamp, and events with equal stamps by host.
func Sort(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Host, b.Host))
	})
}

// Filter selects events. Empty fields match every event.
type Filter struct {
	Kind, Flow, Target, Host string
	Version                  uint64
}

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return matchesField(f.Kind, e.Kind) && matchesField(f.Flow, e.Flow) && matchesField(f.Target, e.Target) &&
		matchesField(f.Host, e.Host) && (f.Version == 0 || f.Version == e.Version)
}

func matchesField(want, got string) bool { return want == "" || want == got }
