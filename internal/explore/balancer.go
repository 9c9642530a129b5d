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

// Intervals of the timers, as in package internal/control.
const (
	tickInterval        = 50 * time.Millisecond
	replicationInterval = 20 * time.Millisecond
)

// balancer connects the decision packages as package internal/control does, with a simplified activation of bundles.
type balancer struct {
	w                 *world
	index             int
	generation        int // number of starts of the process
	incarnation       uint64
	handover          *ownership.Handover
	replicator        *ownership.Replicator
	store             *ownership.Store
	engine            *forward.Engine
	sink              sink
	owners            *ownership.Map
	states            *[ownership.BucketCount]ownership.BucketState // as published
	installed         map[ownership.Bucket]bool
	baselines         map[ownership.Bucket]*forward.Baseline // for the grant that is about to be sent
	inForce           *bundle.Bundle
	seenVersions      [hostCount]uint64 // version in force at each host, from its last probe; 0 if unknown
	knownIncarnations [hostCount]uint64 // incarnation of each host in the current membership view
	scopedStates      [ownership.BucketCount]ownership.BucketState
	nextTick          time.Duration
	nextReplication   time.Duration
	paused            bool
	pausedAt          time.Duration
	fenced            bool
	joinAt            time.Duration // earliest time to serve after a restart; 0 if never restarted
}

// sink queues the changes of exceptions until the next replication.
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

// start resets the state of the balancer, as at the start of its process, with the given bundle version in force.
func (b *balancer) start(version uint64) {
	w := b.w
	b.generation++
	b.incarnation++
	b.paused, b.fenced, b.sink = false, false, sink{}
	b.store = ownership.NewStore()
	b.handover = ownership.NewHandover(w.sc.ids[b.index], backupCopies{b},
		rand.New(rand.NewPCG(uint64(b.index), uint64(b.generation))))
	b.replicator = ownership.NewReplicator(w.sc.ids[b.index], uint64(b.generation)<<20)
	b.engine = forward.NewEngine(forward.Config{Flows: 1 << 10, Sink: &b.sink})
	b.owners, b.installed = ownership.Build(nil), make(map[ownership.Bucket]bool)
	b.inForce, b.seenVersions = w.sc.bundles[version-1], [hostCount]uint64{}
	b.publish()
	b.engine.Sweep(w.now, nil)
}

// apply executes effects. It ignores Discard, as package internal/control does: the epoch of a bucket increases when the
// bucket is released, which invalidates its entries.
func (b *balancer) apply(effects []ownership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ownership.SendClaim:
			b.send(e.To, "claim"+b.w.bucketText(e.Buckets), func(to *balancer) {
				to.handle(ownership.ClaimReceived{From: b.w.sc.ids[b.index], Buckets: e.Buckets, Denied: e.Denied})
			})
		case ownership.SendGrant:
			b.sendGrant(e)
		case ownership.Install:
			b.install(e.Exceptions)
		case ownership.Publish:
			b.handlePublish(e)
		case ownership.Collect:
			b.handleCollect(e)
		}
	}
}

func (b *balancer) handle(e ownership.Event) { b.apply(b.handover.Handle(b.w.now, e)) }

var resultNames = [...]string{"grant", "copies", "redirect", "offer", "part of a grant", "acknowledgement"}

func (b *balancer) sendGrant(e ownership.SendGrant) {
	g := e.Grant
	text := fmt.Sprintf("%s%s with %d flows", resultNames[g.Result], b.w.bucketText(g.Buckets), len(g.Exceptions.Flows))
	// The baselines are sent right before the first grant on the same connection, so that both are lost or delivered
	// together. A grant that is resent comes without them, as in package internal/control.
	var baselines map[ownership.Bucket]*forward.Baseline
	if g.Result == ownership.Granted {
		baselines, b.baselines = b.baselines, nil
	}
	b.send(e.To, text, func(to *balancer) {
		for bucket, baseline := range baselines {
			to.engine.InstallBaseline(bucket, baseline)
		}
		to.handle(ownership.GrantReceived{From: b.w.sc.ids[b.index], Grant: g})
	})
}

func (b *balancer) send(to membership.HostID, text string, apply func(*balancer)) {
	from, incarnation := b.index, b.incarnation
	b.w.enqueue(link{from, b.w.sc.hostIndex(to), control}, text, func(to *balancer) {
		if incarnation >= to.knownIncarnations[from] { // frames of an earlier incarnation are refused
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

func (b *balancer) handlePublish(e ownership.Publish) {
	b.publish()
	b.replicator.SetOwnership(b.w.now, b.owners, b.statesInScope())
	b.replicateInstalled()
	if e.Quiesce {
		b.w.enqueue(link{b.index, b.index, internal}, fmt.Sprintf("quiescence after publication %d", e.Number), func(to *balancer) {
			to.handle(ownership.Quiesced{Number: e.Number})
		})
	}
}

// statesInScope returns the states of just the buckets of the flows, for the replicator. Replicating thousands of empty
// buckets would take most of the time of a run.
func (b *balancer) statesInScope() *[ownership.BucketCount]ownership.BucketState {
	b.scopedStates = [ownership.BucketCount]ownership.BucketState{}
	for i := range b.w.sc.flows {
		bucket := b.w.sc.flows[i].bucket
		b.scopedStates[bucket] = b.states[bucket]
	}
	return &b.scopedStates
}

// replicateInstalled passes the exceptions of buckets with installed exceptions to the replicator, a last time when this
// balancer owns the bucket.
func (b *balancer) replicateInstalled() {
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

func (b *balancer) handleCollect(e ownership.Collect) {
	b.replicateChanges()
	b.baselines = make(map[ownership.Bucket]*forward.Baseline)
	for _, bucket := range e.Buckets {
		if baseline := b.engine.Baseline(b.w.now, bucket); baseline != nil {
			b.baselines[bucket] = baseline
		}
	}
	x := ownership.Exceptions{Flows: b.engine.Collect(b.w.now, e.Buckets...)}
	if b.w.fault == GrantDropsFlows {
		x.Flows = nil
	}
	b.handle(ownership.Collected{To: e.To, Buckets: e.Buckets, Exceptions: x})
}

// replicateChanges passes the queued changes of exceptions to the replicator.
func (b *balancer) replicateChanges() {
	for _, c := range b.sink.changes {
		if c.removed {
			b.replicator.Remove(b.w.now, c.exception.Key)
			continue
		}
		b.replicator.Add(b.w.now, c.exception)
	}
	b.sink.changes = nil
}

// batchPrefix starts the text of messages with a replication batch, and of no others.
const batchPrefix = "replication batch"

// runTimers does the periodic work of the control goroutine and the sweeps that is due.
func (b *balancer) runTimers() {
	if b.w.now >= b.nextReplication {
		b.nextReplication = b.w.now + replicationInterval
		b.sendBatches()
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

func (b *balancer) sendBatches() {
	b.replicateChanges()
	now := b.w.now
	for _, s := range b.replicator.Tick(now) {
		b.send(s.To, fmt.Sprintf("%s %d", batchPrefix, s.Batch.Sequence), func(to *balancer) {
			// Apply fails only if the batch cannot be decoded, which must not happen because the network does not alter it.
			if err := to.store.Apply(b.w.sc.ids[b.index], &s.Batch); err != nil {
				to.w.fail("cannot apply a replication batch: " + err.Error())
			}
		})
	}
	for _, a := range b.store.Acks() {
		b.send(a.To, fmt.Sprintf("acknowledgement of batch %d", a.Ack.Sequence), func(to *balancer) {
			to.replicator.Acked(to.w.now, b.w.sc.ids[b.index], a.Ack)
		})
	}
}

// updateView applies a new membership view.
func (b *balancer) updateView(v membershipView) {
	previous := b.owners
	b.owners, b.knownIncarnations = v.owners, v.incarnations
	b.installLostBaselines(previous)
	b.handle(ownership.MapChanged{Map: b.owners, Reachable: v.reachable})
	b.replicator.SetOwnership(b.w.now, b.owners, b.statesInScope())
	b.store.Prune(b.w.now, b.w.sc.ids[b.index], b.owners)
}

// installLostBaselines installs the baselines of buckets that this balancer takes over from a lost owner, which has sent none.
// They are the targets of the version that was last seen in force at that owner, if it is older than the version here.
func (b *balancer) installLostBaselines(previous *ownership.Map) {
	for i := range b.w.sc.flows {
		bucket := b.w.sc.flows[i].bucket
		owner := previous.Owner(bucket)
		if owner == 0 || b.owners.Contains(owner) || b.owners.Owner(bucket) != b.w.sc.ids[b.index] {
			continue
		}
		if v := b.seenVersions[b.w.sc.hostIndex(owner)]; v != 0 && v < b.inForce.Version {
			b.engine.InstallBaseline(bucket, baselineOf(b.w.sc.bundles[v-1]))
		}
	}
}

func baselineOf(of *bundle.Bundle) *forward.Baseline {
	baseline := &forward.Baseline{}
	for _, info := range of.ServiceInfos() {
		s := forward.BaselineService{Service: info.ID}
		for _, t := range info.Resolved {
			s.Targets = append(s.Targets, forward.BaselineTarget{ID: t.ID, Weight: t.Weight, Drain: t.Drain})
		}
		baseline.Services = append(baseline.Services, s)
	}
	return baseline
}

// activate puts version 2 in force, as the rollout does once the version is staged on all members, its stage time is over, or
// it is in force at a peer.
func (b *balancer) activate() {
	v := bundle.Evaluate(b.inForce, b.w.sc.envelopes[1], b.w.sc.keys, b.w.sc.wallTime)
	b.w.checkEvaluation(b, v)
	if v.Outcome != bundle.Accepted {
		return
	}
	next := b.w.sc.bundles[1]
	b.engine.AddExceptions(b.engine.Snapshot(), b.snapshot(next))
	b.inForce = next
	b.publish()
}

func (b *balancer) publish() {
	b.states = b.handover.States()
	b.engine.Publish(b.snapshot(b.inForce))
}

func (b *balancer) snapshot(of *bundle.Bundle) *forward.Snapshot {
	s := forward.NewSnapshot(of, dataCentre)
	s.Self, s.Incarnation, s.Map = b.w.sc.ids[b.index], b.incarnation, b.owners
	s.Buckets, s.Fenced = b.states, b.fenced
	for i := range hostCount {
		if i == b.index {
			continue
		}
		s.Peers[b.w.sc.ids[i]] = b.w.sc.addrs[i]
		s.PeerAddrs[b.w.sc.addrs[i].Addr()] = b.w.sc.ids[i]
		if b.seenVersions[i] > b.inForce.Version {
			s.Behind, s.CurrentPeer = true, b.w.sc.ids[i]
		}
	}
	for _, sv := range s.Services {
		for i := range sv.Targets {
			drain := sv.Table.Targets[i].Drain
			sv.Targets[i] = forward.TargetState{Eligible: !drain, Usable: true, Share: 1}
		}
		if sv.Info.Name == flowNames[sessionFlow] && b.index == 0 {
			sv.Strategy = pinned(1)
		}
	}
	if b.w.fault == DecidesDuringRelease {
		b.keepOwnerRole(s)
	}
	return s
}

// keepOwnerRole injects the fault DecidesDuringRelease: it keeps the owner role in the snapshot until the grant is sent.
func (b *balancer) keepOwnerRole(s *forward.Snapshot) {
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

// releasing reports whether a bucket is being released and waits for quiescence. Such a bucket counts as owned, but its role is
// no longer that of an owner.
func (b *balancer) releasing() bool {
	owned := 0
	for _, s := range b.states {
		if s.Role == ownership.RoleOwner {
			owned++
		}
	}
	return b.handover.Owned() > owned
}
