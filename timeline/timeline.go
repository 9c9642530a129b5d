// Package timeline records events of one process and merges the events of several processes into one order.
//
// Wall clocks of different hosts differ, so events are ordered by a hybrid logical clock: an event that can have
// caused another never comes after it, and without messages between hosts the order follows the wall clocks.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	Wall    int64  `json:"wall" msgpack:"w"`    // nanoseconds since the Unix epoch; never goes back
	Logical uint32 `json:"logical" msgpack:"l"` // orders events with equal Wall
}

// Compare returns -1, 0 or 1 as s comes before, at or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Clock is a hybrid logical clock. It is safe for use by several goroutines.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns the stamp of a local event.
func (c *Clock) Next() Stamp {
	return c.Observe(Stamp{})
}

// Observe moves the clock past a stamp received from another host and returns the stamp of the receipt.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	high := c.last
	if remote.Compare(high) > 0 {
		high = remote
	}
	if wall := c.now().UnixNano(); wall > high.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last = Stamp{Wall: high.Wall, Logical: high.Logical + 1}
	}
	return c.last
}

// Event is one entry of the time line. Empty fields do not apply to the event.
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

// Ring keeps the newest events of one process. It is safe for use by several goroutines.
type Ring struct {
	mu     sync.Mutex
	host   string
	clock  *Clock
	events []Event
	next   int
	notify chan struct{}
}

// NewRing returns a ring for the events of host that keeps up to capacity events.
func NewRing(host string, clock *Clock, capacity int) *Ring {
	return &Ring{host: host, clock: clock, events: make([]Event, 0, capacity), notify: make(chan struct{})}
}

// Add stamps and stores an event and returns it.
func (r *Ring) Add(e Event) Event {
	e.Host, e.Stamp, e.Local = r.host, r.clock.Next(), r.clock.now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.next] = e
		r.next = (r.next + 1) % len(r.events)
	}
	close(r.notify)
	r.notify = make(chan struct{})
	return e
}

// Since returns the stored events after a stamp, oldest first, and a channel that is closed when another is added.
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
	return out, r.notify
}

// Sort orders events of any number of hosts.
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
	return matches(f.Kind, e.Kind) && matches(f.Flow, e.Flow) && matches(f.Target, e.Target) &&
		matches(f.Host, e.Host) && (f.Version == 0 || f.Version == e.Version)
}

func matches(want, got string) bool { return want == "" || want == got }
