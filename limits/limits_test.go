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
	step       = 10 * time.Millisecond
	longest    = 1500 * time.Millisecond
	resource   = ResourceID(7)
	ledgerHost = membership.HostID(100)
)

type work struct {
	ends   time.Duration
	holder int
	class  Class
	life   uint64
}

type message struct {
	at      time.Duration
	request *Request
	grant   *Grant
	from    membership.HostID
	to      membership.HostID
}

// faults are the probabilities, in percent, that the network and the hosts misbehave in one step.
type faults struct{ loss, repeat, pause, restart, cut int }

type cluster struct {
	t       *rapid.T
	now     time.Duration
	f       faults
	limit   LedgerSettings
	ledgers map[membership.HostID]*Ledger
	holders []*Holder
	paused  []time.Duration
	cut     []time.Duration // until when messages of the holder are lost, both ways
	lives   []uint64
	running []work
	wire    []message
	side    func(holder int) membership.HostID // ledger that the holder uses
	eager   bool                               // work waits at every holder all the time
	started int
}

func newCluster(t *rapid.T, f faults) *cluster {
	limit := uint32(rapid.IntRange(1, 4).Draw(t, "limit"))
	c := &cluster{t: t, f: f, now: time.Minute, ledgers: make(map[membership.HostID]*Ledger)}
	c.limit = LedgerSettings{Limit: limit, ReservedUrgent: uint32(rapid.IntRange(0, int(limit)).Draw(t, "reserved")), Linger: longest}
	c.ledgers[ledgerHost] = NewLedger(c.now, resource, c.limit, false)
	c.side = func(int) membership.HostID { return ledgerHost }
	for i := range rapid.IntRange(2, 5).Draw(t, "holders") {
		c.holders = append(c.holders, nil)
		c.paused, c.cut = append(c.paused, 0), append(c.cut, 0)
		c.lives = append(c.lives, 0)
		c.restart(i)
	}
	return c
}

func (c *cluster) restart(i int) {
	c.lives[i]++
	c.holders[i] = NewHolder(membership.HostID(i+1), c.lives[i])
	c.holders[i].Set(c.resource(i))
}

func (c *cluster) resource(holder int) Resource {
	return Resource{ID: resource, Group: 1, Limit: c.limit.Limit, ReservedUrgent: c.limit.ReservedUrgent, Ledger: c.side(holder)}
}

func (c *cluster) chance(percent int) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(c.t, "chance") < percent
}

func (c *cluster) post(m message) {
	holder := m.to
	if m.request != nil {
		holder = m.from
	}
	for range 2 {
		if !c.chance(c.f.loss) && c.cut[holder-1] < c.now {
			m.at = c.now + time.Duration(rapid.IntRange(0, 3).Draw(c.t, "delay"))*step
			if c.chance(c.f.loss) {
				m.at += time.Duration(rapid.IntRange(1, 15).Draw(c.t, "late")) * 100 * time.Millisecond
			}
			c.wire = append(c.wire, m)
		}
		if !c.chance(c.f.repeat) {
			return
		}
	}
}

func (c *cluster) deliver() {
	due := c.wire
	c.wire = nil
	for _, m := range due {
		switch {
		case m.at > c.now:
			c.wire = append(c.wire, m)
		case m.request != nil:
			if l := c.ledgers[m.to]; l != nil {
				c.send(m.to, l.HandleRequest(c.now, *m.request))
			}
		case c.paused[int(m.to)-1] > c.now:
			m.at = c.paused[int(m.to)-1]
			c.wire = append(c.wire, m)
		default:
			c.holders[int(m.to)-1].HandleGrant(c.now, m.from, *m.grant)
		}
	}
}

func (c *cluster) send(from membership.HostID, grants []Grant) {
	for _, g := range grants {
		c.post(message{grant: &g, from: from, to: g.To})
	}
}

func (c *cluster) step() {
	c.now += step
	c.deliver()
	for _, host := range []membership.HostID{ledgerHost, ledgerHost + 1} {
		if l := c.ledgers[host]; l != nil {
			c.send(host, l.Tick(c.now))
		}
	}
	for i, h := range c.holders {
		if c.paused[i] > c.now {
			continue
		}
		if c.chance(c.f.restart) {
			c.restart(i)
			continue
		}
		if c.chance(c.f.pause) {
			c.paused[i] = c.now + time.Duration(rapid.IntRange(1, 300).Draw(c.t, "pause"))*step
			continue
		}
		if c.chance(c.f.cut) {
			c.cut[i] = c.now + time.Duration(rapid.IntRange(1, 500).Draw(c.t, "cut"))*step
		}
		for _, s := range h.Tick(c.now) {
			c.post(message{request: &s.Request, from: membership.HostID(i + 1), to: s.To})
		}
		c.work(i, h)
	}
	c.finish()
}

func (c *cluster) work(i int, h *Holder) {
	class := Class(rapid.IntRange(0, 1).Draw(c.t, "class"))
	if c.eager {
		h.SetWaiting(c.now, 1, class, 3)
	} else if rapid.IntRange(0, 3).Draw(c.t, "demand") == 0 {
		h.SetWaiting(c.now, 1, class, rapid.IntRange(0, 3).Draw(c.t, "waiting"))
	}
	if h.Acquire(c.now, resource, class) {
		c.started++
		ends := c.now + time.Duration(rapid.IntRange(1, int(longest/step)).Draw(c.t, "duration"))*step
		c.running = append(c.running, work{ends, i, class, c.lives[i]})
	}
}

// finish ends work at the target. A paused holder learns of it when it wakes, a restarted one never.
func (c *cluster) finish() {
	c.running = slices.DeleteFunc(c.running, func(w work) bool {
		if w.ends > c.now {
			return false
		}
		if c.paused[w.holder] <= c.now && c.lives[w.holder] == w.life {
			c.holders[w.holder].Release(c.now, resource, w.class)
		}
		return true
	})
}

func (c *cluster) bulk() int {
	n := 0
	for _, w := range c.running {
		if w.class == Bulk {
			n++
		}
	}
	return n
}

// Guards against a ledger or holder that lets a target get more work than its limit, or bulk work take reserved slots,
// under message loss, delay, repetition, and pauses, restarts and isolation of holders.
func TestNoOverrunUnderOneLedger(t *testing.T) {
	for name, f := range map[string]faults{
		"calm": {}, "loss": {loss: 30}, "repeat": {loss: 5, repeat: 30}, "pause": {pause: 2}, "restart": {restart: 2},
		"cut": {cut: 2}, "all": {loss: 20, repeat: 20, pause: 1, restart: 1, cut: 1},
	} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			c := newCluster(t, f)
			for range 700 {
				c.step()
				if len(c.running) > int(c.limit.Limit) {
					t.Fatalf("%d pieces of work at a target with %d slots", len(c.running), c.limit.Limit)
				}
				if c.bulk() > int(c.limit.Limit-c.limit.ReservedUrgent) {
					t.Fatalf("%d pieces of bulk work, %d of %d slots reserved", c.bulk(), c.limit.ReservedUrgent, c.limit.Limit)
				}
			}
			if name == "calm" && c.started == 0 {
				t.Fatal("no work was started")
			}
		}))
	}
}

// Guards against overrun beyond one full limit per side when a partition splits the holders between two ledgers, and
// against an overrun that outlasts the healing.
func TestOverrunOfPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, faults{loss: 5, repeat: 5, pause: 1})
		c.eager = true
		run := func(steps int) {
			for range steps {
				c.step()
				perSide := map[membership.HostID]int{}
				for _, w := range c.running {
					perSide[c.side(w.holder)]++
				}
				if len(c.running) > 2*int(c.limit.Limit) {
					t.Fatalf("%d pieces of work on both sides of a partition, limit %d: %v", len(c.running), c.limit.Limit, perSide)
				}
			}
		}
		move := func(side func(int) membership.HostID) {
			c.side = side
			for i, h := range c.holders {
				h.Set(c.resource(i))
			}
		}
		run(100)
		other := ledgerHost + 1
		c.ledgers[other] = NewLedger(c.now, resource, c.limit, true)
		move(func(i int) membership.HostID { return ledgerHost + membership.HostID(i%2) })
		run(300)
		delete(c.ledgers, other)
		move(func(int) membership.HostID { return ledgerHost })
		run(300) // a term, the longest work and the longest pause
		for range 100 {
			c.step()
			if len(c.running) > int(c.limit.Limit) {
				t.Fatalf("%d pieces of work 3 s after the partition healed, limit %d", len(c.running), c.limit.Limit)
			}
		}
	})
}

// Guards against a new ledger that grants slots before the leases of its predecessor have ended, and before it knows what
// is in use, when no holder is lost together with the old ledger.
func TestLedgerReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, faults{})
		c.eager = true
		for range 5 {
			for range 150 {
				c.step()
				if len(c.running) > int(c.limit.Limit) {
					t.Fatalf("%d pieces of work, limit %d", len(c.running), c.limit.Limit)
				}
			}
			handover := c.ledgers[ledgerHost].handover(c.now)
			c.ledgers[ledgerHost] = NewLedger(c.now, resource, c.limit, true)
			if planned := rapid.Bool().Draw(t, "planned"); planned {
				for range rapid.IntRange(0, 20).Draw(t, "delay") {
					c.step()
				}
				c.send(ledgerHost, c.ledgers[ledgerHost].accept(c.now, handover))
			}
		}
	})
}

// Guards against a dead holder that strands its slots, against starvation of one of several busy holders, and against a
// load report that does not free the slots of ended work.
func TestSlotsMove(t *testing.T) {
	l := NewLedger(0, resource, LedgerSettings{Limit: 2, Linger: time.Minute}, false)
	ask := func(now time.Duration, from membership.HostID, seq uint64, keep, want uint32) map[membership.HostID]uint32 {
		got := map[membership.HostID]uint32{}
		for _, g := range l.HandleRequest(now, Request{Resource: resource, From: from, Incarnation: 1, Sequence: seq, Keep: keep, Held: keep, Need: want}) {
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
	expect("first gives up one", ask(2*step, 1, 2, 1, 2), map[membership.HostID]uint32{1: 1, 2: 1})
	expect("first repeats an old request", ask(3*step, 1, 1, 0, 2), nil)
	// Both die; a third asks.
	now := 3 * time.Second
	expect("all slots may be in use", ask(now, 3, 1, 0, 2), map[membership.HostID]uint32{3: 0})
	got := map[membership.HostID]uint32{}
	for _, g := range l.ObserveLoad(now, now, 0) {
		got[g.To] = g.Slots
	}
	expect("the target is idle", got, map[membership.HostID]uint32{3: 2})
	// After a partition two holders keep all slots each.
	ask(now, 3, 2, 2, 2)
	got = ask(now, 4, 1, 2, 2)
	if sum := got[3] + got[4]; sum > 2 {
		t.Fatalf("granted %v of 2 slots", got)
	}
}

// Guards against a lease that counts from the arrival of its grant, and against the use of a lease that ended during a
// pause.
func TestLeaseCountsFromRequest(t *testing.T) {
	h := NewHolder(1, 1)
	h.Set(Resource{ID: resource, Group: 1, Limit: 2, Ledger: ledgerHost})
	h.SetWaiting(0, 1, Urgent, 2)
	sent := h.Tick(time.Second)
	if len(sent) != 1 || sent[0].Request.Need != 2 {
		t.Fatalf("sent %+v", sent)
	}
	h.HandleGrant(time.Second+900*time.Millisecond, ledgerHost, Grant{Resource: resource, To: 1, Incarnation: 1, Sequence: sent[0].Request.Sequence, Round: 1, Slots: 2})
	if !h.Acquire(time.Second+950*time.Millisecond, resource, Urgent) {
		t.Fatal("the lease cannot be used")
	}
	if h.Acquire(2*time.Second, resource, Urgent) {
		t.Fatal("the lease is used one term after the request")
	}
}

// Guards against resources without a ledger or with two, and against a planned move that stops grants for a term or
// forgets what is leased.
func TestBookMoves(t *testing.T) {
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
			t.Fatalf("granted %d within the first term and %d after it", early, late)
		}
	}
	both := []membership.HostID{1, 2}
	two.SetMembers(2*LeaseTerm+step, both)
	for _, h := range one.SetMembers(2*LeaseTerm+step, both)[2] {
		two.AcceptHandover(2*LeaseTerm+2*step, h)
	}
	for r := range resources {
		if (one.ledgers[r] == nil) == (two.ledgers[r] == nil) {
			t.Fatalf("resource %d has no ledger or two", r)
		}
	}
	for r, l := range two.ledgers {
		if got := ask(two, 2*LeaseTerm+3*step, 8, r); got != 0 || l.Outstanding() != 2 {
			t.Fatalf("granted %d of 2 slots that another holder has, %d counted", got, l.Outstanding())
		}
		if got := ask(two, 2*LeaseTerm+4*step, 9, r); got != 1 { // it promises to use none, and shares with the other
			t.Fatalf("granted %d slots after the move", got)
		}
	}
}
