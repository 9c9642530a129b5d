package limits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	step        = 10 * time.Millisecond
	maxWorkTime = 1500 * time.Millisecond
	resource    = ResourceID(7)
	ledgerHost  = membership.HostID(100)
)

type work struct {
	ends        time.Duration
	holder      int
	class       Class
	incarnation uint64
}

type message struct {
	at      time.Duration
	request *Request
	grant   *Grant
	from    membership.HostID
	to      membership.HostID
}

// faults are the probabilities, in percent, of faults of the network and of hosts in one step.
type faults struct{ loss, duplicate, pause, restart, isolate int }

type cluster struct {
	t             *rapid.T
	now           time.Duration
	faults        faults
	settings      LedgerSettings
	ledgers       map[membership.HostID]*Ledger
	holders       []*Holder
	pausedUntil   []time.Duration
	isolatedUntil []time.Duration // until when messages to and from the holder are lost
	incarnations  []uint64
	running       []work
	inTransit     []message
	ledgerOf      func(holder int) membership.HostID // host of the ledger that the holder uses
	saturated     bool                               // work always waits at every holder
	started       int
}

func newCluster(t *rapid.T, f faults) *cluster {
	limit := uint32(rapid.IntRange(1, 4).Draw(t, "limit"))
	c := &cluster{t: t, faults: f, now: time.Minute, ledgers: make(map[membership.HostID]*Ledger)}
	c.settings = LedgerSettings{
		Limit: limit, ReservedUrgent: uint32(rapid.IntRange(0, int(limit)).Draw(t, "reserved")), Linger: maxWorkTime,
	}
	c.ledgers[ledgerHost] = NewLedger(c.now, resource, c.settings, false)
	c.ledgerOf = func(int) membership.HostID { return ledgerHost }
	for i := range rapid.IntRange(2, 5).Draw(t, "holders") {
		c.holders = append(c.holders, nil)
		c.pausedUntil, c.isolatedUntil = append(c.pausedUntil, 0), append(c.isolatedUntil, 0)
		c.incarnations = append(c.incarnations, 0)
		c.restart(i)
	}
	return c
}

func (c *cluster) restart(i int) {
	c.incarnations[i]++
	c.holders[i] = NewHolder(membership.HostID(i+1), c.incarnations[i])
	c.holders[i].Set(c.resource(i))
}

func (c *cluster) resource(holder int) Resource {
	return Resource{
		ID: resource, Group: 1, Limit: c.settings.Limit, ReservedUrgent: c.settings.ReservedUrgent, Ledger: c.ledgerOf(holder),
	}
}

func (c *cluster) chance(percent int) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(c.t, "chance") < percent
}

func (c *cluster) sendMessage(m message) {
	holder := m.to
	if m.request != nil {
		holder = m.from
	}
	for range 2 {
		if !c.chance(c.faults.loss) && c.isolatedUntil[holder-1] < c.now {
			m.at = c.now + time.Duration(rapid.IntRange(0, 3).Draw(c.t, "delay"))*step
			if c.chance(c.faults.loss) {
				m.at += time.Duration(rapid.IntRange(1, 15).Draw(c.t, "late")) * 100 * time.Millisecond
			}
			c.inTransit = append(c.inTransit, m)
		}
		if !c.chance(c.faults.duplicate) {
			return
		}
	}
}

func (c *cluster) deliver() {
	due := c.inTransit
	c.inTransit = nil
	for _, m := range due {
		switch {
		case m.at > c.now:
			c.inTransit = append(c.inTransit, m)
		case m.request != nil:
			if l := c.ledgers[m.to]; l != nil {
				c.sendGrants(m.to, l.HandleRequest(c.now, *m.request))
			}
		case c.pausedUntil[int(m.to)-1] > c.now:
			m.at = c.pausedUntil[int(m.to)-1]
			c.inTransit = append(c.inTransit, m)
		default:
			c.holders[int(m.to)-1].HandleGrant(c.now, m.from, *m.grant)
		}
	}
}

func (c *cluster) sendGrants(from membership.HostID, grants []Grant) {
	for _, g := range grants {
		c.sendMessage(message{grant: &g, from: from, to: g.To})
	}
}

func (c *cluster) step() {
	c.now += step
	c.deliver()
	for _, host := range []membership.HostID{ledgerHost, ledgerHost + 1} {
		if l := c.ledgers[host]; l != nil {
			c.sendGrants(host, l.Tick(c.now))
		}
	}
	for i, h := range c.holders {
		if c.pausedUntil[i] > c.now {
			continue
		}
		if c.chance(c.faults.restart) {
			c.restart(i)
			continue
		}
		if c.chance(c.faults.pause) {
			c.pausedUntil[i] = c.now + time.Duration(rapid.IntRange(1, 300).Draw(c.t, "pause"))*step
			continue
		}
		if c.chance(c.faults.isolate) {
			c.isolatedUntil[i] = c.now + time.Duration(rapid.IntRange(1, 500).Draw(c.t, "cut"))*step
		}
		for _, s := range h.Tick(c.now) {
			c.sendMessage(message{request: &s.Request, from: membership.HostID(i + 1), to: s.To})
		}
		c.startWork(i, h)
	}
	c.finishWork()
}

func (c *cluster) startWork(i int, h *Holder) {
	class := Class(rapid.IntRange(0, 1).Draw(c.t, "class"))
	if c.saturated {
		h.SetWaiting(c.now, 1, class, 3)
	} else if rapid.IntRange(0, 3).Draw(c.t, "demand") == 0 {
		h.SetWaiting(c.now, 1, class, rapid.IntRange(0, 3).Draw(c.t, "waiting"))
	}
	if h.Acquire(c.now, resource, class) {
		c.started++
		ends := c.now + time.Duration(rapid.IntRange(1, int(maxWorkTime/step)).Draw(c.t, "duration"))*step
		c.running = append(c.running, work{ends, i, class, c.incarnations[i]})
	}
}

// finishWork ends work at the target. Only a holder that is neither paused nor restarted releases its slot.
func (c *cluster) finishWork() {
	c.running = slices.DeleteFunc(c.running, func(w work) bool {
		if w.ends > c.now {
			return false
		}
		if c.pausedUntil[w.holder] <= c.now && c.incarnations[w.holder] == w.incarnation {
			c.holders[w.holder].Release(c.now, resource, w.class)
		}
		return true
	})
}

func (c *cluster) runningBulk() int {
	n := 0
	for _, w := range c.running {
		if w.class == Bulk {
			n++
		}
	}
	return n
}

// Guards against a ledger or holder that gives a target more work than its limit, or bulk work a reserved slot, when messages
// are lost, delayed or duplicated and holders are paused, restarted or isolated.
func TestNoOverrunUnderOneLedger(t *testing.T) {
	for name, f := range map[string]faults{
		"none": {}, "loss": {loss: 30}, "duplicate": {loss: 5, duplicate: 30}, "pause": {pause: 2}, "restart": {restart: 2},
		"isolate": {isolate: 2}, "all": {loss: 20, duplicate: 20, pause: 1, restart: 1, isolate: 1},
	} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			c := newCluster(t, f)
			for range 700 {
				c.step()
				if len(c.running) > int(c.settings.Limit) {
					t.Fatalf("%d pieces of work in progress at a target with %d slots", len(c.running), c.settings.Limit)
				}
				if c.runningBulk() > int(c.settings.Limit-c.settings.ReservedUrgent) {
					t.Fatalf("%d pieces of bulk work in progress with %d of %d slots reserved for urgent work",
						c.runningBulk(), c.settings.ReservedUrgent, c.settings.Limit)
				}
			}
			if name == "none" && c.started == 0 {
				t.Fatal("no work was started in a run without faults")
			}
		}))
	}
}

// Guards against more work than one full limit per side when a partition splits the holders between two ledgers, and against
// an overrun that persists after the partition has healed.
func TestOverrunBoundInPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, faults{loss: 5, duplicate: 5, pause: 1})
		c.saturated = true
		run := func(steps int) {
			for range steps {
				c.step()
				perSide := map[membership.HostID]int{}
				for _, w := range c.running {
					perSide[c.ledgerOf(w.holder)]++
				}
				if len(c.running) > 2*int(c.settings.Limit) {
					t.Fatalf("%d pieces of work on both sides of a partition, limit %d per side: %v",
						len(c.running), c.settings.Limit, perSide)
				}
			}
		}
		move := func(side func(int) membership.HostID) {
			c.ledgerOf = side
			for i, h := range c.holders {
				h.Set(c.resource(i))
			}
		}
		run(100)
		other := ledgerHost + 1
		c.ledgers[other] = NewLedger(c.now, resource, c.settings, true)
		move(func(i int) membership.HostID { return ledgerHost + membership.HostID(i%2) })
		run(300)
		delete(c.ledgers, other)
		move(func(int) membership.HostID { return ledgerHost })
		run(300) // covers a lease term, the longest work and the longest pause
		for range 100 {
			c.step()
			if len(c.running) > int(c.settings.Limit) {
				t.Fatalf("%d pieces of work in progress 3 s after the partition healed, want at most %d", len(c.running), c.settings.Limit)
			}
		}
	})
}

// Guards against a new ledger that grants slots before the leases of its predecessor have ended or before it knows the slots in
// use, when no holder is lost together with the old ledger.
func TestLedgerReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, faults{})
		c.saturated = true
		for range 5 {
			for range 150 {
				c.step()
				if len(c.running) > int(c.settings.Limit) {
					t.Fatalf("%d pieces of work in progress, want at most %d", len(c.running), c.settings.Limit)
				}
			}
			handover := c.ledgers[ledgerHost].exportState(c.now)
			c.ledgers[ledgerHost] = NewLedger(c.now, resource, c.settings, true)
			if planned := rapid.Bool().Draw(t, "planned"); planned {
				for range rapid.IntRange(0, 20).Draw(t, "delay") {
					c.step()
				}
				c.sendGrants(ledgerHost, c.ledgers[ledgerHost].importState(c.now, handover))
			}
		}
	})
}

// Guards against a dead holder whose slots stay unused, against starvation of one of several busy holders, and against a load
// report that does not free the slots of finished work.
func TestSlotsMove(t *testing.T) {
	l := NewLedger(0, resource, LedgerSettings{Limit: 2, Linger: time.Minute}, false)
	ask := func(now time.Duration, from membership.HostID, seq uint64, keep, want uint32) map[membership.HostID]uint32 {
		got := map[membership.HostID]uint32{}
		for _, g := range l.HandleRequest(now, Request{
			Resource: resource, From: from, Incarnation: 1, Sequence: seq, Keep: keep, Held: keep, Need: want,
		}) {
			got[g.To] = g.Slots
		}
		return got
	}
	expect := func(what string, got map[membership.HostID]uint32, want map[membership.HostID]uint32) {
		t.Helper()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%s: granted %v, want %v", what, got, want)
		}
	}
	expect("first", ask(0, 1, 1, 0, 2), map[membership.HostID]uint32{1: 2})
	expect("second asks", ask(step, 2, 1, 0, 2), map[membership.HostID]uint32{1: 1, 2: 0})
	expect("first returns one slot", ask(2*step, 1, 2, 1, 2), map[membership.HostID]uint32{1: 1, 2: 1})
	expect("first repeats an old request", ask(3*step, 1, 1, 0, 2), nil)
	// Both holders die, and a third one requests slots.
	now := 3 * time.Second
	expect("third asks while all slots may be in use", ask(now, 3, 1, 0, 2), map[membership.HostID]uint32{3: 0})
	got := map[membership.HostID]uint32{}
	for _, g := range l.ObserveLoad(now, now, 0) {
		got[g.To] = g.Slots
	}
	expect("target reports no work", got, map[membership.HostID]uint32{3: 2})
	// After a partition two holders have all slots each.
	ask(now, 3, 2, 2, 2)
	got = ask(now, 4, 1, 2, 2)
	if sum := got[3] + got[4]; sum > 2 {
		t.Fatalf("two holders with 2 slots each were granted %v, want at most 2 in total", got)
	}
}

// Guards against a lease whose term is counted from the arrival of its grant, and against the use of a lease that expired
// during a pause.
func TestLeaseCountsFromRequest(t *testing.T) {
	h := NewHolder(1, 1)
	h.Set(Resource{ID: resource, Group: 1, Limit: 2, Ledger: ledgerHost})
	h.SetWaiting(0, 1, Urgent, 2)
	sent := h.Tick(time.Second)
	if len(sent) != 1 || sent[0].Request.Need != 2 {
		t.Fatalf("sent %+v, want one request with a need of 2", sent)
	}
	h.HandleGrant(time.Second+900*time.Millisecond, ledgerHost, Grant{
		Resource: resource, To: 1, Incarnation: 1, Sequence: sent[0].Request.Sequence, Round: 1, Slots: 2,
	})
	if !h.Acquire(time.Second+950*time.Millisecond, resource, Urgent) {
		t.Fatal("no slot could be acquired within the lease term")
	}
	if h.Acquire(2*time.Second, resource, Urgent) {
		t.Fatal("a slot was acquired one lease term after the request")
	}
}

// Guards against resources with no ledger or with two, and against a planned move that suspends grants for a lease term or
// loses the leases.
func TestLedgerHandover(t *testing.T) {
	resources := map[ResourceID]LedgerSettings{}
	for r := range ResourceID(20) {
		resources[r] = LedgerSettings{Limit: 2, Linger: time.Second}
	}
	one, two := NewLedgerSet(1), NewLedgerSet(2)
	one.SetMembers(0, []membership.HostID{1})
	one.SetResources(0, resources)
	two.SetResources(0, resources)
	ask := func(b *LedgerSet, now time.Duration, from membership.HostID, r ResourceID) uint32 {
		for _, g := range b.HandleRequest(now, Request{Resource: r, From: from, Incarnation: 1, Sequence: uint64(now), Need: 2}) {
			if g.To == from {
				return g.Slots
			}
		}
		return 0
	}
	for r := range resources {
		if early, late := ask(one, step, 9, r), ask(one, 2*LeaseTerm, 9, r); early != 0 || late != 2 {
			t.Fatalf("granted %d slots within the first term and %d after it, want 0 and 2", early, late)
		}
	}
	both := []membership.HostID{1, 2}
	two.SetMembers(2*LeaseTerm+step, both)
	for _, h := range one.SetMembers(2*LeaseTerm+step, both)[2] {
		two.AcceptHandover(2*LeaseTerm+2*step, h)
	}
	for r := range resources {
		if (one.ledgers[r] == nil) == (two.ledgers[r] == nil) {
			t.Fatalf("resource %d has no ledger or two, want one", r)
		}
	}
	for r, l := range two.ledgers {
		if got := ask(two, 2*LeaseTerm+3*step, 8, r); got != 0 || l.Outstanding() != 2 {
			t.Fatalf("granted %d of 2 slots that another holder has, %d outstanding, want 0 and 2", got, l.Outstanding())
		}
		if got := ask(two, 2*LeaseTerm+4*step, 9, r); got != 1 { // it commits to use none, and shares with the other
			t.Fatalf("granted %d slots after the move, want 1", got)
		}
	}
}
