package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Guards against exceptions that are lost unnoticed when the traffic goroutines queue them faster than the control
// goroutine takes them.
func TestExceptionQueueReportsOverflow(t *testing.T) {
	q := &ExceptionQueue{}
	for i := range maxQueuedChanges + 1 {
		q.ExceptionAdded(0, forward.Exception{Key: flow.Key{CallerPort: uint16(i)}})
	}
	changes, overflow := q.take()
	if len(changes) != maxQueuedChanges || !overflow {
		t.Fatalf("got %d changes and overflow %t, want a full queue and an overflow", len(changes), overflow)
	}
	q.ExceptionRemoved(0, flow.Key{})
	if changes, overflow = q.take(); len(changes) != 1 || overflow || !changes[0].removed {
		t.Fatalf("after the overflow: got %d changes and overflow %t, want one removal and no overflow", len(changes), overflow)
	}
}

// Guards against telling a caller that its request was not run while a lost member on the other side of a partition may
// have run it, and against withholding that answer for ever when the member returns or stays away.
func TestPossiblyPartitioned(t *testing.T) {
	l := New(Config{
		Self: membership.Member{ID: 1, Name: "h1", DataCentre: "regina", Incarnation: 1}, Monotonic: func() time.Duration { return 0 },
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	change := func(state, previous membership.State) {
		l.recordLoss(membership.MemberChanged{Member: membership.Member{ID: 2, DataCentre: "regina", State: state}, Previous: previous})
	}
	change(membership.Gone, membership.Leaving)
	if l.possiblyPartitioned() {
		t.Fatal("possibly partitioned after a planned leave, want not")
	}
	change(membership.Gone, membership.Suspect)
	if !l.possiblyPartitioned() {
		t.Fatal("not possibly partitioned after an unplanned loss, want possibly")
	}
	change(membership.Serving, membership.Joining)
	l.now += rejoinGrace - time.Millisecond
	if !l.possiblyPartitioned() {
		t.Fatal("not possibly partitioned within rejoinGrace, in which callers still repeat earlier requests")
	}
	if l.now += time.Millisecond; l.possiblyPartitioned() {
		t.Fatal("still possibly partitioned after rejoinGrace")
	}
	change(membership.Gone, membership.Serving)
	if l.now += partitionTimeout; l.possiblyPartitioned() {
		t.Fatal("still possibly partitioned after partitionTimeout, although the member never returned")
	}
}
