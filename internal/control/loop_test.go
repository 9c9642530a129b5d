package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Guards against exceptions that are lost without notice when traffic adds them faster than control takes them.
func TestExceptionQueueTellsOverflow(t *testing.T) {
	q := &ExceptionQueue{}
	for i := range maxQueuedChanges + 1 {
		q.ExceptionAdded(0, forward.Exception{Key: flow.Key{CallerPort: uint16(i)}})
	}
	changes, overflow := q.take()
	if len(changes) != maxQueuedChanges || !overflow {
		t.Fatalf("%d changes, overflow %t", len(changes), overflow)
	}
	q.ExceptionRemoved(0, flow.Key{})
	if changes, overflow = q.take(); len(changes) != 1 || overflow || !changes[0].removed {
		t.Fatalf("after an overflow: %d changes, overflow %t", len(changes), overflow)
	}
}

// Guards against a refusal "not run" while a lost member may still decide, and against one that is withheld for ever.
func TestPossiblyDivided(t *testing.T) {
	l := New(Config{
		Self: membership.Member{ID: 1, Name: "h1", DataCentre: "regina", Incarnation: 1}, Monotonic: func() time.Duration { return 0 },
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	change := func(state, previous membership.State) {
		l.noteLoss(membership.MemberChanged{Member: membership.Member{ID: 2, DataCentre: "regina", State: state}, Previous: previous})
	}
	change(membership.Gone, membership.Leaving)
	if l.possiblyDivided() {
		t.Fatal("a planned leave counts as a loss")
	}
	change(membership.Gone, membership.Suspect)
	if !l.possiblyDivided() {
		t.Fatal("an unplanned loss does not count")
	}
	change(membership.Serving, membership.Joining)
	l.now += reunionTime - time.Millisecond
	if !l.possiblyDivided() {
		t.Fatal("requests that were sent before the return may still be repeated")
	}
	if l.now += time.Millisecond; l.possiblyDivided() {
		t.Fatal("still divided after the return")
	}
	change(membership.Gone, membership.Serving)
	if l.now += divisionTime; l.possiblyDivided() {
		t.Fatal("a member that never returns counts for ever")
	}
}
