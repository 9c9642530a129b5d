package ownership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	targetCount  = 15
	testStep     = 10 * time.Millisecond
	targetOffset = 1000 // target IDs are targetOffset plus a position
)

// tester is the subset of testing.TB that rapid.T implements.
type tester interface {
	Helper()
	Logf(string, ...any)
	Errorf(string, ...any)
	Fatalf(string, ...any)
}

// cluster simulates several members, each with a flow table, over an in-memory network.
type cluster struct {
	lossy bool // one message in five is dropped
	t     tester
	rng   *rand.Rand
	now   time.Duration
	nodes map[membership.HostID]*testNode

	sortedIDs   []membership.HostID
	queue       []delivery
	partitioned func(from, to membership.HostID) bool
	bytes       int // of batches and acks
	batches     int

	drained   [targetCount]bool
	newScheme func(id membership.HostID) Scheme
}

type testNode struct {
	id          membership.HostID
	h           *Handover
	scheme      Scheme
	store       *Store
	flows       map[flow.Key]flow.TargetID
	view        []membership.HostID
	leaving     bool
	viewPending bool // a view is in flight
}

type delivery struct {
	at       time.Duration
	from, to membership.HostID
	apply    func(*testNode)
}

func newCluster(t tester, seed uint64, n int) *cluster {
	return newClusterWith(t, seed, n, func(id membership.HostID) Scheme { return NewReplicator(id, uint64(id)<<20) })
}

func newClusterWith(t tester, seed uint64, n int, scheme func(membership.HostID) Scheme) *cluster {
	t.Logf("seed %d", seed)
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 0)), nodes: make(map[membership.HostID]*testNode)}
	c.newScheme = scheme
	for i := range n {
		c.join(i)
	}
	c.distributeViews()
	c.settle(10 * time.Second)
	return c
}

func hostID(i int) membership.HostID { return membership.NewHostID(fmt.Sprintf("host-%d", i)) }

func (c *cluster) join(i int) *testNode {
	id := hostID(i)
	n := &testNode{id: id, store: NewStore(), flows: make(map[flow.Key]flow.TargetID), scheme: c.newScheme(id)}
	n.h = NewHandover(id, n.store, rand.New(rand.NewPCG(c.rng.Uint64(), 0)))
	c.nodes[id] = n
	return n
}

// distributeViews delivers a new view to each member within 300 ms; members on the same side of a partition see each other.
func (c *cluster) distributeViews() {
	c.sortedIDs = nil
	for _, id := range c.ids() {
		n := c.nodes[id]
		at := c.now + time.Duration(c.rng.IntN(300))*time.Millisecond
		c.queue = append(c.queue, delivery{at: at, from: id, to: id, apply: func(n *testNode) { c.setView(n) }})
		n.viewPending = true
	}
}

func (c *cluster) setView(n *testNode) {
	n.viewPending = false
	var members, reachable []membership.HostID
	for _, id := range c.ids() {
		if c.partitioned != nil && c.partitioned(n.id, id) && id != n.id {
			continue
		}
		reachable = append(reachable, id)
		if !c.nodes[id].leaving {
			members = append(members, id)
		}
	}
	n.view = members
	c.handle(n, MapChanged{Map: Build(members), Reachable: reachable})
}

func (c *cluster) ids() []membership.HostID {
	if len(c.sortedIDs) != len(c.nodes) {
		c.sortedIDs = sortedIDs(c.nodes)
	}
	return c.sortedIDs
}

func (c *cluster) send(from, to membership.HostID, apply func(*testNode)) {
	if c.partitioned != nil && c.partitioned(from, to) || c.lossy && c.rng.IntN(5) == 0 {
		return
	}
	at := c.now + time.Millisecond*time.Duration(1+c.rng.IntN(5))
	c.queue = append(c.queue, delivery{at: at, from: from, to: to, apply: apply})
}

func (c *cluster) handle(n *testNode, e Event) {
	for _, effect := range n.h.Handle(c.now, e) {
		switch effect := effect.(type) {
		case SendClaim:
			c.send(n.id, effect.To, func(to *testNode) {
				c.handle(to, ClaimReceived{From: n.id, Buckets: effect.Buckets, Denied: effect.Denied})
			})
		case SendGrant:
			c.send(n.id, effect.To, func(to *testNode) { c.handle(to, GrantReceived{From: n.id, Grant: effect.Grant}) })
		case Collect:
			c.handle(n, c.collect(n, effect))
		case Discard:
			c.collect(n, Collect{Buckets: effect.Buckets})
		case Install:
			for _, e := range effect.Exceptions.Flows {
				if _, found := n.flows[e.Key]; !found {
					n.flows[e.Key] = e.Target
				}
				n.scheme.Opened(c.now, e, true)
			}
		case Publish:
			m := n.h.currentMap
			if m != nil {
				n.scheme.SetOwnership(c.now, m, n.h.States())
			}
			if effect.Quiesce {
				at := c.now + time.Millisecond
				c.queue = append(c.queue, delivery{at: at, from: n.id, to: n.id, apply: func(n *testNode) {
					c.handle(n, Quiesced{Number: effect.Number})
				}})
			}
		}
	}
}

func (c *cluster) collect(n *testNode, e Collect) Collected {
	out := Collected{To: e.To, Buckets: e.Buckets}
	leaving := make(map[Bucket]bool)
	for _, b := range e.Buckets {
		leaving[b] = true
	}
	for key, target := range n.flows {
		if !leaving[BucketOf(key.Hash())] {
			continue
		}
		if target != c.defaultTarget(key) {
			out.Exceptions.Flows = append(out.Exceptions.Flows, Exception{Key: key, Target: target})
		}
		delete(n.flows, key)
	}
	return out
}

// defaultTarget returns the first of the targets that are not drained, ranked by rendezvous hashing.
func (c *cluster) defaultTarget(k flow.Key) flow.TargetID { return c.ranked(k, 0) }

func (c *cluster) ranked(k flow.Key, rank int) flow.TargetID {
	var ids [targetCount]flow.TargetID
	n, hash := 0, k.Hash()
	for i := range targetCount {
		if !c.drained[i] {
			ids[n] = flow.TargetID(targetOffset + i)
			n++
		}
	}
	score := func(id flow.TargetID) uint64 { return flow.Mix(uint64(id), hash) }
	for i := 0; i <= rank; i++ {
		best := i
		for j := i + 1; j < n; j++ {
			if score(ids[j]) > score(ids[best]) {
				best = j
			}
		}
		ids[i], ids[best] = ids[best], ids[i]
	}
	return ids[rank]
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += testStep {
		for _, id := range c.ids() {
			n := c.nodes[id]
			if c.now%(50*time.Millisecond) == 0 {
				c.handle(n, Tick{})
			}
			if c.now%(20*time.Millisecond) == 0 {
				c.replicate(n)
			}
		}
		for {
			due := c.takeDue()
			if len(due) == 0 {
				break
			}
			for _, d := range due {
				if n := c.nodes[d.to]; n != nil {
					d.apply(n)
				}
			}
		}
	}
}

func (c *cluster) takeDue() (due []delivery) {
	c.queue = slices.DeleteFunc(c.queue, func(d delivery) bool {
		if d.at > c.now {
			return false
		}
		due = append(due, d)
		return true
	})
	slices.SortStableFunc(due, func(a, b delivery) int { return int(a.at - b.at) })
	return due
}

// Sizes, as encoded by package peer, of the frame around the data of a batch and of an ack.
const (
	batchFrameBytes = 48
	ackFrameBytes   = 45
)

func (c *cluster) replicate(n *testNode) {
	for _, b := range n.scheme.Tick(c.now) {
		c.bytes += len(b.Batch.Data) + batchFrameBytes
		c.batches++
		c.send(n.id, b.To, func(to *testNode) {
			if err := to.store.Apply(n.id, &b.Batch); err != nil {
				c.t.Errorf("backup rejected a batch: %v", err)
			}
		})
	}
	if c.now%(500*time.Millisecond) != 0 {
		return
	}
	for _, a := range n.store.Acks() {
		c.bytes += ackFrameBytes
		c.send(n.id, a.To, func(to *testNode) { to.scheme.Acked(c.now, n.id, a.Ack) })
	}
}

// settled reports whether every bucket has exactly one owner, the one in the map, at every member.
func (c *cluster) settled() bool {
	for _, n := range c.nodes {
		if n.viewPending || n.h.currentMap == nil {
			return false
		}
		for b, s := range n.h.States() {
			want := n.h.currentMap.Owner(Bucket(b))
			if n.h.buckets[b].phase == phaseReleasing {
				return false
			}
			if (s.Role == RoleOwner) != (want == n.id) || s.Role == RoleAcquiring || s.Role == RoleForward && s.Peer != want {
				return false
			}
		}
	}
	return true
}

func (c *cluster) settle(limit time.Duration) time.Duration {
	c.t.Helper()
	for start := c.now; ; c.run(testStep) {
		if c.settled() {
			return c.now - start
		}
		if c.now-start > limit {
			for _, id := range c.ids() {
				n := c.nodes[id]
				c.t.Logf("member %d: %d buckets owned, %d pending, leaving %v", id, n.h.Owned(), n.h.Pending(), n.leaving)
			}
			c.t.Fatalf("bucket ownership has not settled after %v", limit)
		}
	}
}

// openFlows opens n flows at their owners; exceptions is the fraction of them that are exceptions.
func (c *cluster) openFlows(n int, exceptions float64) map[flow.Key]flow.TargetID {
	flows := make(map[flow.Key]flow.TargetID)
	for range n {
		ip := netip.AddrFrom4([4]byte{10, byte(c.rng.IntN(256)), byte(c.rng.IntN(256)), byte(c.rng.IntN(256))})
		key := flow.NewKey(netip.AddrPortFrom(ip, uint16(1024+c.rng.IntN(60000))), flow.EndpointID(c.rng.IntN(3)))
		target := c.defaultTarget(key)
		if c.rng.Float64() < exceptions {
			target = flow.TargetID(targetOffset + (uint64(target)-targetOffset+1+c.rng.Uint64N(targetCount-1))%targetCount)
		}
		owner := c.owner(key)
		if owner == nil {
			continue
		}
		flows[key] = target
		owner.flows[key] = target
		owner.scheme.Opened(c.now, Exception{Key: key, Target: target}, target != c.defaultTarget(key))
	}
	return flows
}

func (c *cluster) owner(key flow.Key) *testNode {
	for _, id := range c.ids() {
		if n := c.nodes[id]; n.h.buckets[BucketOf(key.Hash())].phase == phaseOwner {
			return n
		}
	}
	return nil
}

type outcome int

const (
	delivered outcome = iota
	dropped
	broken
)

// deliverPacket forwards a packet of an open flow from the member that received it, and returns the outcome and the number
// of hops.
func (c *cluster) deliverPacket(at *testNode, key flow.Key, want flow.TargetID) (outcome, int) {
	b := BucketOf(key.Hash())
	for hops := 0; hops <= 3; hops++ {
		s := at.h.buckets[b].state()
		if s.Role == RoleOwner {
			target, found := at.flows[key]
			if !found {
				if !s.InSync {
					return broken, hops // the owner resets the flow
				}
				target = c.defaultTarget(key)
			}
			if target != want {
				return broken, hops
			}
			return delivered, hops
		}
		next := c.nodes[s.Peer]
		if next == nil || c.partitioned != nil && c.partitioned(at.id, next.id) {
			return dropped, hops
		}
		at = next
	}
	return dropped, 3
}

// sendPackets sends one packet of every flow to a random member and counts the outcomes.
func (c *cluster) sendPackets(flows map[flow.Key]flow.TargetID) (n [3]int) {
	ids := c.ids()
	for key, target := range flows {
		result, _ := c.deliverPacket(c.nodes[ids[c.rng.IntN(len(ids))]], key, target)
		n[result]++
	}
	return n
}

// remaining returns the number of members that are not leaving.
func (c *cluster) remaining() (n int) {
	for _, node := range c.nodes {
		if !node.leaving {
			n++
		}
	}
	return n
}

// restart replaces a member by a new process on the same host.
func (c *cluster) restart(id membership.HostID) {
	n := &testNode{id: id, store: NewStore(), flows: make(map[flow.Key]flow.TargetID)}
	n.scheme = NewReplicator(id, uint64(id)<<20+uint64(c.now/time.Millisecond))
	n.h = NewHandover(id, n.store, rand.New(rand.NewPCG(c.rng.Uint64(), 0)))
	c.nodes[id] = n
}
