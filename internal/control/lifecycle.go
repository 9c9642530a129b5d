package control

import (
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

const (
	// settleTime is how long a balancer with a bundle waits before it serves, so that it knows the other members when it
	// claims buckets. A balancer that has heard from no member by then is alone and owns every bucket.
	settleTime = time.Second
	// firstMemberWait is how much longer a balancer waits for a warm member with a lower ID, which should serve first.
	firstMemberWait = 3 * time.Second
	// quietPeriod is how long a leaving balancer waits after the last packet before it stops: the fabric learns of the
	// leave with a delay and continues to send until then.
	quietPeriod = time.Second
)

// lifecycle is the state of this balancer between start and stop.
type lifecycle struct {
	announced    membership.State
	warmSince    time.Duration
	leaving      bool
	leavingSince time.Duration
	emptySince   time.Duration // since when it owns no bucket and every copy is acknowledged; 0 while that is not so
	packetCount  uint64
	lastPacketAt time.Duration // when packetCount last changed
	done         bool
}

// advanceLifecycle moves the balancer to its next state when the conditions are met: joining, warm, serving, leaving,
// stopped.
func (l *Loop) advanceLifecycle() {
	s := &l.lifecycle
	switch {
	case s.leaving:
		l.advanceLeave()
	case s.announced == membership.Joining && l.rollout.InForce() != nil:
		s.announced, s.warmSince = membership.Warm, l.now
	case s.announced == membership.Warm && !l.refreshingView && l.mayServe(l.now-s.warmSince):
		s.announced = membership.Serving
		l.record(timeline.Event{Kind: "balancer-serving", Version: l.rollout.InForce().Version})
	}
}

// mayServe reports whether a balancer that has been warm for the given time may serve. When all balancers start at once,
// one serves first and the others claim their buckets from it: several that start to serve without knowing of each
// other would all own every bucket and decide differently until their views had merged.
func (l *Loop) mayServe(warm time.Duration) bool {
	if warm < settleTime {
		return false
	}
	first := true
	for _, m := range l.members.Members() {
		if m.State.OwnsBuckets() || m.State == membership.Leaving {
			return true
		}
		if m.State == membership.Warm && m.ID < l.cfg.Self.ID {
			first = false
		}
	}
	return first || warm >= settleTime+firstMemberWait
}

// leave starts the graceful shutdown: the new owners claim the buckets of this balancer. A balancer that has not served
// stops at once.
func (l *Loop) leave() {
	if l.lifecycle.leaving {
		return
	}
	l.lifecycle.leaving, l.lifecycle.leavingSince = true, l.now
	served := l.lifecycle.announced >= membership.Serving
	l.lifecycle.announced = membership.Leaving
	l.record(timeline.Event{Kind: "balancer-leaving", Detail: fmt.Sprintf("%d buckets to hand over", l.handover.Owned())})
	if !served {
		l.lifecycle.done = true
	}
	l.snapshotStale = true
}

// advanceLeave ends the shutdown once every bucket is handed over and packets have stopped, or at the deadline.
func (l *Loop) advanceLeave() {
	s := &l.lifecycle
	l.trackPackets()
	if l.now-s.leavingSince >= l.cfg.ShutdownDeadline {
		l.record(timeline.Event{
			Kind: "shutdown-deadline", Code: uint16(resultcode.ShutdownDeadline),
			Detail: fmt.Sprintf("%d buckets not handed over", l.handover.Owned()),
		})
		s.done = true
		return
	}
	alone := len(l.owners.Members()) == 0
	if !alone && (l.handover.Owned() > 0 || !l.replicator.Drained()) {
		s.emptySince = 0
		return
	}
	if s.emptySince == 0 {
		s.emptySince = l.now
	}
	if l.now-max(s.emptySince, s.lastPacketAt) >= quietPeriod {
		l.record(timeline.Event{Kind: "balancer-stopped"})
		s.done = true
	}
}

// trackPackets records when the number of processed packets last changed.
func (l *Loop) trackPackets() {
	total := uint64(0)
	l.cfg.Engine.Actions(func(_ forward.Action, n uint64) { total += n })
	if total != l.lifecycle.packetCount {
		l.lifecycle.packetCount, l.lifecycle.lastPacketAt = total, l.now
	}
}
