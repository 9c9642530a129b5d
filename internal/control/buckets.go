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

// ackInterval is how often batches of exceptions are acknowledged. An owner sends again what is not acknowledged for 1 s.
const ackInterval = 250 * time.Millisecond

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
			l.collect(e)
		}
	}
}

// install enters exceptions into the flow table before the snapshot that makes this balancer their owner.
func (l *Loop) install(x ownership.Exceptions) {
	for _, r := range x.Retired {
		l.addRetired(r)
	}
	groups := make(map[ownership.Bucket][]forward.Exception)
	for _, e := range x.Flows {
		groups[e.Bucket()] = append(groups[e.Bucket()], e)
		l.installed[e.Bucket()] = true
	}
	lost := 0
	for b, exceptions := range groups {
		lost += l.cfg.Engine.Install(l.now, b, exceptions)
	}
	if lost > 0 {
		l.record(timeline.Event{Kind: "exceptions-lost", Detail: fmt.Sprintf("%d found no room in the flow table", lost)})
	}
}

// publishBuckets notes that the end of the turn has to publish bucket states.
func (l *Loop) publishBuckets(e ownership.Publish) {
	l.dirty, l.moved = true, true
	if e.Quiesce {
		l.quiesce = e.Number
	}
}

// finishBuckets follows the publication of bucket states: copies for new backups, and the wait for the traffic
// goroutines, after which released buckets are collected.
func (l *Loop) finishBuckets() {
	if !l.moved {
		return
	}
	l.moved = false
	l.replicator.SetOwnership(l.now, l.owners, l.handover.States())
	l.copyInstalled()
	number := l.quiesce
	if l.quiesce = 0; number == 0 {
		return
	}
	go func() {
		if l.cfg.Dataplane.Quiesce(l.ctx) == nil {
			l.post(l.ctx, quiesced{number: number})
		}
	}()
}

// copyInstalled starts to copy the exceptions among installed flows of buckets that are owned by now to the backups.
func (l *Loop) copyInstalled() {
	if len(l.installed) == 0 {
		return
	}
	states := l.handover.States()
	owned := func(b ownership.Bucket) bool { return l.installed[b] && states[b].Role == ownership.RoleOwner }
	for _, e := range l.cfg.Engine.Exceptions(owned) {
		l.replicator.Add(l.now, e)
	}
	for b := range l.installed {
		if states[b].Role == ownership.RoleOwner {
			delete(l.installed, b)
		}
	}
}

// collect takes the flows of released buckets out of the flow table and hands them to the new owner. The grant holds
// every flow and not only the exceptions: a session that sends nothing until the next bundle is in force would
// otherwise be taken up on its new default target.
func (l *Loop) collect(e ownership.Collect) {
	l.drainExceptions()
	l.sendBases(e.To, e.Buckets)
	x := ownership.Exceptions{Flows: l.cfg.Engine.Collect(l.now, e.Buckets...)}
	x.Retired = l.retiredOf(x.Flows)
	l.record(timeline.Event{Kind: "buckets-released", Member: l.memberName(e.To), Detail: fmt.Sprintf("%d buckets, %d flows", len(e.Buckets), len(x.Flows))})
	l.applyBuckets(l.handover.Handle(l.now, ownership.Collected{To: e.To, Buckets: e.Buckets, Exceptions: x}))
}

func (l *Loop) receiveBatch(from membership.HostID, m *peer.ExceptionBatch) {
	err := l.store.Apply(from, &ownership.Batch{Epoch: m.Epoch, Sequence: m.Sequence, Data: m.Data})
	if err != nil {
		l.cfg.Log.WithField("member", l.memberName(from)).WithError(err).Warn("exception batch refused")
	}
}

// sendCopies sends the copies and acks that are due, every copyInterval.
func (l *Loop) sendCopies() {
	if l.now < l.nextCopies {
		return
	}
	l.nextCopies = l.now + copyInterval*3/4 // the turn that is due in copyInterval may come a little early
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

// pruneCopies drops copies for owners that this balancer is no longer the backup of.
func (l *Loop) pruneCopies() {
	if l.now < l.nextPrune {
		return
	}
	l.nextPrune = l.now + pruneInterval
	l.store.Prune(l.now, l.cfg.Self.ID, l.owners)
}

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
		l.record(timeline.Event{Kind: "exception-queue-full", Detail: "all exceptions are compared anew"})
		for _, e := range l.cfg.Engine.Exceptions(func(ownership.Bucket) bool { return true }) {
			l.replicator.Add(l.now, e)
		}
	}
}
