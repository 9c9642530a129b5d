package explore

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// Intervals of package internal/control.
const (
	tickInterval = 50 * time.Millisecond
	copyInterval = 20 * time.Millisecond
)

// balancer wires the decision packages together as package internal/control does, with a reduced form of activation.
type balancer struct {
	w           *world
	i           int
	life        int // counts restarts
	incarnation uint64
	h           *ownership.Handover
	replicator  *ownership.Replicator
	store       *ownership.Store
	engine      *forward.Engine
	sink        sink
	owners      *ownership.Map
	states      *[ownership.BucketCount]ownership.BucketState // as published
	installed   map[ownership.Bucket]bool
	bases       map[ownership.Bucket]*forward.Baseline // of the grant that is about to be sent
	inForce     *bundle.Bundle
	seen        [hostCount]uint64 // version that probes last showed to be in force at each host
	known       [hostCount]uint64 // incarnation of each host
	scoped      [ownership.BucketCount]ownership.BucketState
	nextTick    time.Duration
	nextCopies  time.Duration
	paused      bool
	pausedAt    time.Duration
	fenced      bool
	joinAt      time.Duration // earliest time to serve after a restart; 0 while it serves
}

// sink queues the changes of exceptions until the next tick.
type sink struct{ changes []change }

type change struct {
	exception forward.Exception
	removed   bool
}

func (s *sink) ExceptionAdded(_ ownership.Bucket, e forward.Exception) {
	s.changes = append(s.changes, change{exception: e})
}

func (s *sink) ExceptionRemoved(_ ownership.Bucket, k flow.Key) {
	s.changes = append(s.changes, change{exception: forward.Exception{Key: k}, removed: true})
}

// start gives the balancer empty cores, as at the start of its process.
func (b *balancer) start(version uint64) {
	w := b.w
	b.life++
	b.incarnation++
	b.paused, b.fenced, b.sink = false, false, sink{}
	b.store = ownership.NewStore()
	b.h = ownership.NewHandover(w.sc.ids[b.i], copiesOf{b}, rand.New(rand.NewPCG(uint64(b.i), uint64(b.life))))
	b.replicator = ownership.NewReplicator(w.sc.ids[b.i], uint64(b.life)<<20)
	b.engine = forward.NewEngine(forward.Config{Flows: 1 << 10, Sink: &b.sink})
	b.owners, b.installed = ownership.Build(nil), make(map[ownership.Bucket]bool)
	b.inForce, b.seen = w.sc.bundles[version-1], [hostCount]uint64{}
	b.publish()
	b.engine.Sweep(w.now, nil)
}

// apply carries out effects. Discard is left out as in package internal/control: the epoch of a bucket, which rises
// when the bucket is given up, makes the entries invalid.
func (b *balancer) apply(effects []ownership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ownership.SendClaim:
			b.send(e.To, "claim"+b.w.bucketText(e.Buckets), func(to *balancer) {
				to.handle(ownership.ClaimReceived{From: b.w.sc.ids[b.i], Buckets: e.Buckets, Denied: e.Denied})
			})
		case ownership.SendGrant:
			b.sendGrant(e)
		case ownership.Install:
			b.install(e.Exceptions)
		case ownership.Publish:
			b.published(e)
		case ownership.Collect:
			b.collect(e)
		}
	}
}

func (b *balancer) handle(e ownership.Event) { b.apply(b.h.Handle(b.w.now, e)) }

var resultNames = [...]string{"grant", "copies", "redirect", "offer", "part of a grant", "taken"}

func (b *balancer) sendGrant(e ownership.SendGrant) {
	g := e.Grant
	text := fmt.Sprintf("%s%s with %d flows", resultNames[g.Result], b.w.bucketText(g.Buckets), len(g.Exceptions.Flows))
	// The bases travel right before the first grant on the same connection, so that both are lost or delivered together.
	// A grant that is sent again comes without them, as in package internal/control.
	var bases map[ownership.Bucket]*forward.Baseline
	if g.Result == ownership.Granted {
		bases, b.bases = b.bases, nil
	}
	b.send(e.To, text, func(to *balancer) {
		for bucket, base := range bases {
			to.engine.InstallBaseline(bucket, base)
		}
		to.handle(ownership.GrantReceived{From: b.w.sc.ids[b.i], Grant: g})
	})
}

func (b *balancer) send(to membership.HostID, text string, apply func(*balancer)) {
	from, incarnation := b.i, b.incarnation
	b.w.push(link{from, b.w.sc.host(to), control}, text, func(to *balancer) {
		if incarnation >= to.known[from] { // frames of an earlier life are refused
			apply(to)
		}
	})
}

func (b *balancer) install(x ownership.Exceptions) {
	for _, e := range x.Flows {
		b.installed[e.Bucket()] = true
		b.engine.Install(b.w.now, e.Bucket(), []forward.Exception{e})
	}
}

func (b *balancer) published(e ownership.Publish) {
	b.publish()
	b.replicator.SetOwnership(b.w.now, b.owners, b.inScope())
	b.copyInstalled()
	if e.Quiesce {
		b.w.push(link{b.i, b.i, internal}, fmt.Sprintf("traffic works under publication %d", e.Number), func(to *balancer) {
			to.handle(ownership.Quiesced{Number: e.Number})
		})
	}
}

// inScope returns the states of the buckets of the flows, for the replicator. Copies of thousands of empty buckets would
// take most of the time of a run.
func (b *balancer) inScope() *[ownership.BucketCount]ownership.BucketState {
	b.scoped = [ownership.BucketCount]ownership.BucketState{}
	for i := range b.w.sc.flows {
		bucket := b.w.sc.flows[i].bucket
		b.scoped[bucket] = b.states[bucket]
	}
	return &b.scoped
}

func (b *balancer) copyInstalled() {
	if len(b.installed) == 0 {
		return
	}
	for _, e := range b.engine.Exceptions(func(k ownership.Bucket) bool { return b.installed[k] }) {
		b.replicator.Add(b.w.now, e)
	}
	for k := range b.installed {
		if b.states[k].Role == ownership.RoleOwner {
			delete(b.installed, k)
		}
	}
}

func (b *balancer) collect(e ownership.Collect) {
	b.drain()
	b.bases = make(map[ownership.Bucket]*forward.Baseline)
	for _, bucket := range e.Buckets {
		if base := b.engine.Baseline(b.w.now, bucket); base != nil {
			b.bases[bucket] = base
		}
	}
	x := ownership.Exceptions{Flows: b.engine.Collect(b.w.now, e.Buckets...)}
	if b.w.fault == GrantDropsFlows {
		x.Flows = nil
	}
	b.handle(ownership.Collected{To: e.To, Buckets: e.Buckets, Exceptions: x})
}

func (b *balancer) drain() {
	for _, c := range b.sink.changes {
		if c.removed {
			b.replicator.Remove(b.w.now, c.exception.Key)
			continue
		}
		b.replicator.Add(b.w.now, c.exception)
	}
	b.sink.changes = nil
}

const batchText = "copies, batch"

// runTimers does what the control goroutine and the sweeps do at their intervals.
func (b *balancer) runTimers() {
	if b.w.now >= b.nextCopies {
		b.nextCopies = b.w.now + copyInterval
		b.sendCopies()
	}
	if b.w.now < b.nextTick {
		return
	}
	b.nextTick = b.w.now + tickInterval
	b.engine.Sweep(b.w.now, nil)
	if b.fenced {
		b.fenced = false // a peer has answered
		b.publish()
	}
	b.handle(ownership.Tick{})
}

func (b *balancer) sendCopies() {
	b.drain()
	now := b.w.now
	for _, s := range b.replicator.Tick(now) {
		b.send(s.To, fmt.Sprintf("%s %d", batchText, s.Batch.Sequence), func(to *balancer) {
			// An error tells that the batch cannot be decoded, which an unchanged batch always can.
			if err := to.store.Apply(b.w.sc.ids[b.i], &s.Batch); err != nil {
				to.w.fail("batch refused: " + err.Error())
			}
		})
	}
	for _, a := range b.store.Acks() {
		b.send(a.To, fmt.Sprintf("ack of batch %d", a.Ack.Sequence), func(to *balancer) {
			to.replicator.Acked(to.w.now, b.w.sc.ids[b.i], a.Ack)
		})
	}
}

// view follows the membership.
func (b *balancer) view(v view) {
	previous := b.owners
	b.owners, b.known = v.owners, v.incarnations
	b.installLostBases(previous)
	b.handle(ownership.MapChanged{Map: b.owners, Reachable: v.reachable})
	b.replicator.SetOwnership(b.w.now, b.owners, b.inScope())
	b.store.Prune(b.w.now, b.w.sc.ids[b.i], b.owners)
}

func (b *balancer) installLostBases(previous *ownership.Map) {
	for i := range b.w.sc.flows {
		bucket := b.w.sc.flows[i].bucket
		owner := previous.Owner(bucket)
		if owner == 0 || b.owners.Contains(owner) || b.owners.Owner(bucket) != b.w.sc.ids[b.i] {
			continue
		}
		if v := b.seen[b.w.sc.host(owner)]; v != 0 && v < b.inForce.Version {
			b.engine.InstallBaseline(bucket, baseOf(b.w.sc.bundles[v-1]))
		}
	}
}

func baseOf(of *bundle.Bundle) *forward.Baseline {
	base := &forward.Baseline{}
	for _, info := range of.ServiceInfos() {
		s := forward.BaselineService{Service: info.ID}
		for _, t := range info.Resolved {
			s.Targets = append(s.Targets, forward.BaselineTarget{ID: t.ID, Weight: t.Weight, Drain: t.Drain})
		}
		base.Services = append(base.Services, s)
	}
	return base
}

// activate puts version 2 in force, as the rollout does when it is staged everywhere, late, or in force at a peer.
func (b *balancer) activate() {
	v := bundle.Evaluate(b.inForce, b.w.sc.envelopes[1], b.w.sc.keys, b.w.sc.wall)
	b.w.verdict(b, v)
	if v.Outcome != bundle.Accepted {
		return
	}
	next := b.w.sc.bundles[1]
	b.engine.AddExceptions(b.engine.Snapshot(), b.snapshot(next))
	b.inForce = next
	b.publish()
}

func (b *balancer) publish() {
	b.states = b.h.States()
	b.engine.Publish(b.snapshot(b.inForce))
}

func (b *balancer) snapshot(of *bundle.Bundle) *forward.Snapshot {
	s := forward.NewSnapshot(of, dataCentre)
	s.Self, s.Incarnation, s.Map = b.w.sc.ids[b.i], b.incarnation, b.owners
	s.Buckets, s.Fenced = b.states, b.fenced
	for i := range hostCount {
		if i == b.i {
			continue
		}
		s.Peers[b.w.sc.ids[i]] = b.w.sc.addrs[i]
		s.PeerAddrs[b.w.sc.addrs[i].Addr()] = b.w.sc.ids[i]
		if b.seen[i] > b.inForce.Version {
			s.Behind, s.CurrentPeer = true, b.w.sc.ids[i]
		}
	}
	for _, sv := range s.Services {
		for i := range sv.Targets {
			drain := sv.Table.Targets[i].Drain
			sv.Targets[i] = forward.TargetState{Eligible: !drain, Usable: true, Share: 1}
		}
		if sv.Info.Name == flowNames[session] && b.i == 0 {
			sv.Strategy = pinned(1)
		}
	}
	if b.w.fault == DecidesDuringRelease {
		b.keepOwner(s)
	}
	return s
}

// keepOwner leaves the owner role in the snapshot until the grant has been sent.
func (b *balancer) keepOwner(s *forward.Snapshot) {
	old := b.engine.Snapshot()
	if old == nil || !b.releasing() {
		return
	}
	for i := range b.w.sc.flows {
		bucket := b.w.sc.flows[i].bucket
		if old.Buckets[bucket].Role == ownership.RoleOwner {
			if s.Buckets == b.states {
				s.Buckets = new([ownership.BucketCount]ownership.BucketState)
				*s.Buckets = *b.states
			}
			s.Buckets[bucket] = old.Buckets[bucket]
		}
	}
}

// releasing reports whether buckets wait for the traffic to quiesce. Those count as owned but have no role.
func (b *balancer) releasing() bool {
	owned := 0
	for _, s := range b.states {
		if s.Role == ownership.RoleOwner {
			owned++
		}
	}
	return b.h.Owned() > owned
}
