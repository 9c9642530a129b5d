package membership_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	tickStep    = 10 * time.Millisecond
	packetDelay = 500 * time.Microsecond
)

// fleet runs cores over a simulated network.
type fleet struct {
	t               testing.TB
	rng             *rand.Rand
	now             time.Duration
	nodes           []*node
	byAddr          map[netip.AddrPort]*node
	inFlight        []packet
	lost            func(from, to int) bool
	bytesSent       int
	largestDatagram int
}

type node struct {
	*membership.Core
	index       int
	codec       *peer.ProbeCodec
	stopped     bool
	pausedUntil time.Duration
	goneAt      map[membership.HostID]time.Duration // when this node declared a member gone
	selfGone    int
	viewChanges int
	longestHold time.Duration
	nextTick    time.Duration
}

type packet struct {
	at       time.Duration
	from, to int
	message  membership.Message
}

func newFleet(t testing.TB, seed uint64, n int, dc func(i int) string) *fleet {
	t.Logf("seed %d", seed)
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 0)), byAddr: make(map[netip.AddrPort]*node)}
	for i := range n {
		f.add(i, dc(i), 1000)
	}
	return f
}

func oneDC(int) string { return "regina" }

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 200), byte(1 + i%200)}), 7081)
}

func (f *fleet) add(i int, dc string, incarnation uint64) *node {
	self := membership.Member{
		Name: fmt.Sprintf("host-%03d", i), DataCentre: dc, Probe: addr(i), Incarnation: incarnation,
		Data: netip.AddrPortFrom(addr(i).Addr(), 6081), Peer: netip.AddrPortFrom(addr(i).Addr(), 7082),
	}
	cfg := membership.Config{Self: self, Seeds: []netip.AddrPort{addr(0), addr(1)}}
	n := &node{
		index: i, Core: membership.New(cfg, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 1))),
		codec: peer.NewProbeCodec([]byte("key"), incarnation), goneAt: make(map[membership.HostID]time.Duration),
	}
	if i < len(f.nodes) {
		f.nodes[i] = n
	} else {
		f.nodes = append(f.nodes, n)
	}
	f.byAddr[addr(i)] = n
	f.announceState(n, membership.Serving)
	return n
}

func (f *fleet) announceState(n *node, s membership.State) {
	local := membership.LocalChanged{State: s, LastPlatformRead: f.now}
	local.InForce = membership.VersionDigest{Version: 7, Digest: [8]byte{1, 2, 3, 4, 5, 6, 7, 8}}
	f.handle(n, local)
}

func (f *fleet) handle(n *node, e membership.Event) {
	for _, effect := range n.Handle(f.now, e) {
		switch effect := effect.(type) {
		case membership.Send:
			f.send(n, effect)
		case membership.MemberChanged:
			if effect.Member.State == membership.Gone && effect.Member.ID != n.Self().ID {
				n.goneAt[effect.Member.ID] = f.now
			}
		case membership.SelfDeclaredGone:
			n.selfGone++
			n.longestHold = max(n.longestHold, effect.Hold)
		case membership.ViewChanged:
			n.viewChanges++
			if n.index == 0 && testing.Verbose() {
				f.t.Logf("%v: %d owners", f.now, len(effect.Owners))
			}
		}
	}
	n.nextTick = n.NextTick()
}

func (f *fleet) send(n *node, s membership.Send) {
	b, err := n.codec.Encode(&s.Message)
	if err != nil {
		f.t.Fatal(err)
	}
	f.bytesSent += len(b)
	f.largestDatagram = max(f.largestDatagram, len(b))
	to := f.byAddr[s.To]
	if to == nil || f.lost != nil && f.lost(n.index, to.index) {
		return
	}
	f.inFlight = append(f.inFlight, packet{f.now + packetDelay, n.index, to.index, s.Message})
}

// run advances time by d. A paused node gets its messages after the pause.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickStep {
		for _, n := range f.nodes {
			if f.isRunning(n) && f.now >= n.nextTick {
				f.handle(n, membership.Tick{})
			}
		}
		slices.SortStableFunc(f.inFlight, func(a, b packet) int { return cmp.Compare(a.at, b.at) })
		for round := 0; round < 4; round++ {
			f.deliver()
		}
	}
}

func (f *fleet) isRunning(n *node) bool { return !n.stopped && f.now >= n.pausedUntil }

func (f *fleet) deliver() {
	due := f.inFlight
	f.inFlight = nil
	for _, p := range due {
		to := f.nodes[p.to]
		switch {
		case to.stopped:
		case !f.isRunning(to):
			f.inFlight = append(f.inFlight, p)
		default:
			f.handle(to, membership.Received{From: addr(p.from), Message: p.message})
		}
	}
}

func (f *fleet) pause(n *node, d time.Duration) {
	n.pausedUntil = f.now + d
	f.run(d)
	f.handle(n, membership.PauseDetected{Gap: d})
}

// agreed reports whether every running node sees exactly the running nodes of its data centre as owners.
func (f *fleet) agreed() bool {
	for _, n := range f.nodes {
		if !f.isRunning(n) {
			continue
		}
		var want []membership.HostID
		for _, other := range f.nodes {
			if f.isRunning(other) && other.Self().DataCentre == n.Self().DataCentre && other.Self().State.OwnsBuckets() {
				want = append(want, other.Self().ID)
			}
		}
		slices.Sort(want)
		if !slices.Equal(want, n.Owners()) {
			return false
		}
	}
	return true
}

// agreeWithin runs until all views agree and returns the time that this took.
func (f *fleet) agreeWithin(limit time.Duration) time.Duration {
	f.t.Helper()
	start := f.now
	for !f.agreed() {
		if f.now-start > limit {
			for _, n := range f.nodes {
				f.t.Logf("%s: %d owners, state %s", n.Self().Name, len(n.Owners()), n.Self().State)
			}
			f.t.Fatalf("views do not agree within %v", limit)
		}
		f.run(tickStep)
	}
	return f.now - start
}

func (f *fleet) declaredGone(id membership.HostID) (n int) {
	for _, other := range f.nodes {
		if _, found := other.goneAt[id]; found {
			n++
		}
	}
	return n
}
