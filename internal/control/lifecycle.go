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
	// settleTime is how long a balancer with a bundle waits before it serves, so that it has the members' view when it
	// claims buckets. A balancer that hears no member after that is alone and owns everything.
	settleTime = time.Second
	// aloneTime is how much longer a balancer waits for a member that should serve before it.
	aloneTime = 3 * time.Second
	// quietTime is how long a leaving balancer waits after the last packet before it stops: the fabric learns of the
	// leave late and goes on sending.
	quietTime = time.Second
)

// lifecycle is the way of this balancer from start to stop.
type lifecycle struct {
	announced membership.State
	warmAt    time.Duration
	leaving   bool
	leaveAt   time.Duration
	emptyAt   time.Duration // since when it owns nothing and every copy is acknowledged; 0 while it does not
	packets   uint64
	packetAt  time.Duration // when packets were last seen
	done      bool
}

// advance moves the balancer along: joining, warm, serving, leaving, stopped.
func (l *Loop) advance() {
	s := &l.state
	switch {
	case s.leaving:
		l.advanceLeave()
	case s.announced == membership.Joining && l.rollout.InForce() != nil:
		s.announced, s.warmAt = membership.Warm, l.now
	case s.announced == membership.Warm && !l.refreshing && l.mayServe(l.now-s.warmAt):
		s.announced = membership.Serving
		l.record(timeline.Event{Kind: "balancer-serving", Version: l.rollout.InForce().Version})
	}
}

// mayServe reports whether a balancer that has been warm for some time may serve. When all balancers start at once,
// one serves first and the others claim their buckets from it: several that start to serve without knowing of each
// other would all own every bucket and decide differently until they had merged.
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
	return first || warm >= settleTime+aloneTime
}

// leave starts the graceful shutdown: the successors claim the buckets of this balancer.
func (l *Loop) leave() {
	if l.state.leaving {
		return
	}
	l.state.leaving, l.state.leaveAt = true, l.now
	served := l.state.announced >= membership.Serving
	l.state.announced = membership.Leaving
	l.record(timeline.Event{Kind: "balancer-leaving", Detail: fmt.Sprintf("%d buckets to hand over", l.handover.Owned())})
	if !served {
		l.state.done = true
	}
	l.dirty = true
}

func (l *Loop) advanceLeave() {
	s := &l.state
	l.watchPackets()
	if l.now-s.leaveAt >= l.cfg.ShutdownDeadline {
		l.record(timeline.Event{
			Kind: "shutdown-deadline", Code: uint16(resultcode.ShutdownDeadline),
			Detail: fmt.Sprintf("%d buckets not handed over", l.handover.Owned()),
		})
		s.done = true
		return
	}
	alone := len(l.owners.Members()) == 0
	if !alone && (l.handover.Owned() > 0 || !l.replicator.Drained()) {
		s.emptyAt = 0
		return
	}
	if s.emptyAt == 0 {
		s.emptyAt = l.now
	}
	if l.now-max(s.emptyAt, s.packetAt) >= quietTime {
		l.record(timeline.Event{Kind: "balancer-stopped"})
		s.done = true
	}
}

// watchPackets notes when the last packets were decided about.
func (l *Loop) watchPackets() {
	total := uint64(0)
	l.cfg.Engine.Actions(func(_ forward.Action, n uint64) { total += n })
	if total != l.state.packets {
		l.state.packets, l.state.packetAt = total, l.now
	}
}
