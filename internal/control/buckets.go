package control

import (
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// ackInterval is how often received batches of exceptions are acknowledged. An owner retransmits a batch that is not
// acknowledged within 1 s.
const ackInterval = 250 * time.Millisecond

// pruneInterval is how often copies for owners that this balancer no longer backs up are removed.
const pruneInterval = 10 * time.Second

func (l *Loop) applyBuckets(effects []ownership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ownership.SendClaim:
			l.send(e.To, &peer.BucketClaim{Buckets: e.Buckets, Denied: e.Denied})
		case ownership.SendGrant:
			l.send(e.To, peer.NewBucketGrant(e.Grant))
		case ownership.Discard:
			l.cfg.Engine.Discard(l.now, e.Buckets...)
		case ownership.Install:
			l.install(e.Exceptions)
		case ownership.Publish:
			l.publishBuckets(e)
		case ownership.Collect:
			l.collectReleased(e)
		}
	}
}

// install adds exceptions to the flow table. It runs before the publication of the snapshot that makes this balancer
// their owner.
func (l *Loop) install(exceptions ownership.Exceptions) {
	for _, r := range exceptions.Retired {
		l.addRetired(r)
	}
	groups := make(map[ownership.Bucket][]forward.Exception)
	for _, e := range exceptions.Flows {
		groups[e.Bucket()] = append(groups[e.Bucket()], e)
		l.installedBuckets[e.Bucket()] = true
	}
	lost := 0
	for b, flows := range groups {
		lost += l.cfg.Engine.Install(l.now, b, flows)
	}
	if lost > 0 {
		l.record(timeline.Event{Kind: "exceptions-lost", Detail: fmt.Sprintf("%d exceptions did not fit into the flow table", lost)})
	}
}

// publishBuckets schedules the publication of bucket states at the end of the iteration.
func (l *Loop) publishBuckets(e ownership.Publish) {
	l.snapshotStale, l.bucketsChanged = true, true
	if e.Quiesce {
		l.pendingQuiesce = e.Number
	}
}

// bucketsPublished runs after the publication of changed bucket states. It starts the copies for new backups and, if the
// handover asked for it, waits in a goroutine until every traffic goroutine works under the new snapshot. Only then are the
// flows of released buckets collected.
func (l *Loop) bucketsPublished() {
	if !l.bucketsChanged {
		return
	}
	l.bucketsChanged = false
	l.replicator.SetOwnership(l.now, l.owners, l.handover.States())
	l.replicateInstalled()
	number := l.pendingQuiesce
	if l.pendingQuiesce = 0; number == 0 {
		return
	}
	go func() {
		if l.cfg.Dataplane.Quiesce(l.ctx) == nil {
			l.post(l.ctx, quiesced{number: number})
		}
	}()
}

// replicateInstalled queues the installed exceptions of buckets that this balancer owns by now for their backups.
func (l *Loop) replicateInstalled() {
	if len(l.installedBuckets) == 0 {
		return
	}
	states := l.handover.States()
	owned := func(b ownership.Bucket) bool { return l.installedBuckets[b] && states[b].Role == ownership.RoleOwner }
	for _, e := range l.cfg.Engine.Exceptions(owned) {
		l.replicator.Add(l.now, e)
	}
	for b := range l.installedBuckets {
		if states[b].Role == ownership.RoleOwner {
			delete(l.installedBuckets, b)
		}
	}
}

// collectReleased removes the flows of released buckets from the flow table and passes them to the handover for the grant
// to the new owner. The grant holds every flow and not only the exceptions: a session that sends nothing until the next
// bundle is in force would otherwise continue on its new default target.
func (l *Loop) collectReleased(e ownership.Collect) {
	l.drainExceptions()
	l.sendBases(e.To, e.Buckets)
	exceptions := ownership.Exceptions{Flows: l.cfg.Engine.Collect(l.now, e.Buckets...)}
	exceptions.Retired = l.retiredTargetsOf(exceptions.Flows)
	l.record(timeline.Event{
		Kind: "buckets-released", Member: l.memberName(e.To),
		Detail: fmt.Sprintf("%d buckets, %d flows", len(e.Buckets), len(exceptions.Flows)),
	})
	l.applyBuckets(l.handover.Handle(l.now, ownership.Collected{To: e.To, Buckets: e.Buckets, Exceptions: exceptions}))
}

func (l *Loop) receiveBatch(from membership.HostID, m *peer.ExceptionBatch) {
	err := l.store.Apply(from, &ownership.Batch{Epoch: m.Epoch, Sequence: m.Sequence, Data: m.Data})
	if err != nil {
		l.cfg.Log.WithField("member", l.memberName(from)).WithError(err).Warn("rejected a batch of exceptions")
	}
}

// sendCopies sends the exceptions and acknowledgements that are due, every copyInterval.
func (l *Loop) sendCopies() {
	if l.now < l.nextCopies {
		return
	}
	l.nextCopies = l.now + copyInterval*3/4 // the next fast tick may come slightly early
	l.drainExceptions()
	l.sendBatches()
}

func (l *Loop) sendBatches() {
	for _, s := range l.replicator.Tick(l.now) {
		l.send(s.To, &peer.ExceptionBatch{Epoch: s.Batch.Epoch, Sequence: s.Batch.Sequence, Data: s.Batch.Data})
	}
	if l.now < l.nextAcks {
		return
	}
	l.nextAcks = l.now + ackInterval
	for _, s := range l.store.Acks() {
		l.send(s.To, &peer.ExceptionAck{Epoch: s.Ack.Epoch, Sequence: s.Ack.Sequence})
	}
}

// pruneCopies removes the copies held for owners that this balancer no longer backs up.
func (l *Loop) pruneCopies() {
	if l.now < l.nextPrune {
		return
	}
	l.nextPrune = l.now + pruneInterval
	l.store.Prune(l.now, l.cfg.Self.ID, l.owners)
}

// drainExceptions passes the queued changes of exceptions to the replicator. After an overflow of the queue it passes all
// exceptions.
func (l *Loop) drainExceptions() {
	changes, overflow := l.cfg.Exceptions.take()
	for _, c := range changes {
		if c.removed {
			l.replicator.Remove(l.now, c.exception.Key)
			continue
		}
		l.replicator.Add(l.now, c.exception)
	}
	if overflow {
		l.record(timeline.Event{Kind: "exception-queue-full", Detail: "replicating all exceptions again"})
		for _, e := range l.cfg.Engine.Exceptions(func(ownership.Bucket) bool { return true }) {
			l.replicator.Add(l.now, e)
		}
	}
}
