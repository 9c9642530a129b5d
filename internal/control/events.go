package control

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/internal/platform"
	"github.com/marigoldwood/marigoldwood/internal/prober"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/rollout"
)

// event is an input of the loop. Its apply method runs in the control goroutine.
type event interface{ apply(l *Loop) }

type (
	tick     struct{}
	fastTick struct{}

	// probeReceived is a membership probe from another balancer.
	probeReceived struct {
		from    netip.AddrPort
		message membership.Message
	}
	peerReceived struct {
		from        membership.HostID
		incarnation uint64
		message     peer.Message
	}
	quiesced       struct{ number uint64 }
	platformAnswer struct{ answer platform.BundleResponse }
	platformError  struct{ err error }
	hostsRead      struct {
		hosts []platform.Host
		err   error
	}
	// healthProbed is the result of a health probe of a target.
	healthProbed struct{ result prober.Result }
	call         struct{ fn func() }
)

// ReceiveProbe queues a received probe for the loop. It does not block; when the queue is full, the probe is lost.
func (l *Loop) ReceiveProbe(from netip.AddrPort, m membership.Message) {
	l.tryPost(probeReceived{from: from, message: m})
}

// ReceivePeer queues a received peer message for the loop. It does not block; when the queue is full, the message is lost.
func (l *Loop) ReceivePeer(from membership.HostID, incarnation uint64, m peer.Message) {
	l.tryPost(peerReceived{from: from, incarnation: incarnation, message: m})
}

func (e probeReceived) apply(l *Loop) {
	l.applyMembers(l.members.Handle(l.now, membership.Received{From: e.from, Message: e.message}))
}

func (e quiesced) apply(l *Loop) {
	l.applyBuckets(l.handover.Handle(l.now, ownership.Quiesced{Number: e.number}))
}

func (e call) apply(*Loop) { e.fn() }

// apply dispatches a peer message by its type. A message of an earlier incarnation of its sender is dropped.
func (e peerReceived) apply(l *Loop) {
	if m, found := l.member(e.from); found && e.incarnation < m.Incarnation {
		return
	}
	switch m := e.message.(type) {
	case *peer.BucketClaim:
		l.applyBuckets(l.handover.Handle(l.now, ownership.ClaimReceived{From: e.from, Buckets: m.Buckets, Denied: m.Denied}))
	case *peer.BucketGrant:
		l.applyBuckets(l.handover.Handle(l.now, ownership.GrantReceived{From: e.from, Grant: m.Grant()}))
	case *peer.BucketBase:
		l.installBase(m.Buckets, &forward.Baseline{Services: m.Services, Recent: m.Recent})
	case *peer.ExceptionBatch:
		l.receiveBatch(e.from, m)
	case *peer.ExceptionAck:
		l.replicator.Acked(l.now, e.from, ownership.BatchAck{Epoch: m.Epoch, Sequence: m.Sequence})
	case *peer.Announcement:
		l.applyRollout(l.rollout.Handle(l.now, rollout.PeerAnnounced{Announcement: m.Announcement}))
	case *peer.BundleRequest:
		l.applyRollout(l.rollout.Handle(l.now, rollout.PeerRequested{From: e.from, Request: m.Request}))
	case *peer.BundleData:
		l.applyRollout(l.rollout.Handle(l.now, rollout.PeerData{From: e.from, Data: m.Data}))
	case *peer.BundleActivate:
		l.applyRollout(l.rollout.Handle(l.now, rollout.PeerInForce{From: e.from, Version: m.Version, Digest: m.Digest}))
	case *peer.HealthReport:
		l.applyHealth(l.health.Handle(l.now, health.Reports{
			From: e.from, Incarnation: e.incarnation, Sequence: m.Sequence, Reports: m.Reports,
		}))
	case *peer.HostNotices:
		l.receiveNotices(m)
	case *peer.LeaseRequest:
		l.receiveLeaseRequests(e.from, m.Requests)
	case *peer.LeaseGrant:
		l.receiveLeaseGrants(e.from, m.Grants)
	}
}

func (l *Loop) receiveLeaseGrants(from membership.HostID, grants []limits.Grant) {
	for _, g := range grants {
		l.cfg.Holder.HandleGrant(l.now, from, g)
	}
}

// Do runs fn in the control goroutine and waits for it up to the given time. It reports whether fn ran within that time;
// when it did not, fn may still run later.
func (l *Loop) Do(fn func(), wait time.Duration) bool {
	done := make(chan struct{})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case l.inbox <- call{fn: func() { fn(); close(done) }}:
	case <-timer.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
