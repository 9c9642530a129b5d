// Package control runs the control goroutine: one event loop that owns membership, bucket ownership, bundles, target
// health and leases, and publishes immutable snapshots to the traffic goroutines.
package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/internal/platform"
	"github.com/marigoldwood/marigoldwood/internal/prober"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/rollout"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// Intervals and limits of the loop.
const (
	tickInterval  = 50 * time.Millisecond
	leaseInterval = 10 * time.Millisecond
	// copyInterval is how often changes of exceptions are passed to the replicator. At the tick interval of 50 ms an
	// exception would be sent up to 150 ms after it was placed; until it is sent, the loss of its owner breaks the flow.
	copyInterval = 20 * time.Millisecond
	// pauseThreshold is the gap between two iterations of the loop above which the process counts as paused.
	pauseThreshold = 500 * time.Millisecond
	inboxSize      = 4096
	// maxEventsPerIteration is how many waiting events one iteration handles. They share one snapshot: when many members
	// join at once, a snapshot for each message would keep the loop from answering probes.
	maxEventsPerIteration = 256
)

// Transport sends messages to other balancers. Its methods do not block; a message that cannot be queued is lost.
type Transport interface {
	SendProbe(to netip.AddrPort, m *membership.Message)
	Send(to netip.AddrPort, m peer.Message)
	// SetIncarnation sets the incarnation that later messages carry.
	SetIncarnation(n uint64)
	// Counters returns the counts of bytes and messages by counter name.
	Counters() map[string]uint64
}

// Dataplane is the part of the data plane that the control loop uses.
type Dataplane interface {
	// Quiesce returns when every traffic goroutine works under the published snapshot.
	Quiesce(ctx context.Context) error
	// SendResets resets both ends of connections that the engine has ended.
	SendResets(endings []forward.ConnectionReset)
}

// Config holds the settings and the dependencies of a Loop.
type Config struct {
	Self             membership.Member
	Seeds            []netip.AddrPort
	Keys             bundle.Keyring
	ShutdownDeadline time.Duration
	FlowCapacity     int
	ProgramVersion   string // version of the program
	Monotonic        func() time.Duration
	Random           *rand.Rand
	Log              *logrus.Entry
	Ring             *timeline.Ring
	LogicalClock     *timeline.Clock
	Engine           *forward.Engine
	Dataplane        Dataplane
	Transport        Transport
	Platform         *platform.Client
	Prober           *prober.Prober
	Holder           *limits.Holder
	Traffic          Traffic
	Exceptions       *ExceptionQueue
}

// Loop is the control goroutine and its state. Only Run's goroutine touches the fields below inbox.
type Loop struct {
	cfg   Config
	inbox chan event
	// heartbeat is the time of the last iteration of the loop, in nanoseconds on the monotonic clock. Traffic goroutines
	// drop all packets when it is too old.
	heartbeat atomic.Int64

	ctx        context.Context
	now        time.Duration
	members    *membership.Core
	handover   *ownership.Handover
	replicator *ownership.Replicator
	store      *ownership.Store
	rollout    *rollout.Core
	health     *health.Tracker
	leases     leases

	owners           *ownership.Map
	pendingOwners    []membership.HostID       // owners for the next ownership map; nil when they did not change
	bucketsChanged   bool                      // bucket states changed in this iteration
	pendingQuiesce   uint64                    // number of the publication to quiesce after, 0 for none
	installedBuckets map[ownership.Bucket]bool // buckets with installed flows that are not yet replicated
	bundleHistory    bundleHistory
	lostMembers      map[membership.HostID]time.Duration // until when members lost without notice count as possibly alive
	lastLossAt       time.Duration                       // when the last of them was lost, 0 for none
	retired          map[flow.TargetID]forward.RetiredTarget
	hosts            hostList
	lifecycle        lifecycle
	refreshingView   bool
	snapshotStale    bool // the snapshot is out of date
	copiesStale      bool // default or eligible targets changed, so that other flows need copies
	inForceAt        time.Time
	platform         platformUsage
	tables           tableCache
	nextObserve      time.Duration
	nextAcks         time.Duration
	nextPrune        time.Duration
	nextCopies       time.Duration
	dropCopiesAt     time.Duration // when copies that only the previous bundle needs are removed; 0 for never
}

// New returns a loop that has not started.
func New(cfg Config) *Loop {
	l := &Loop{
		cfg:              cfg,
		inbox:            make(chan event, inboxSize),
		now:              cfg.Monotonic(),
		store:            ownership.NewStore(),
		health:           health.NewTracker(cfg.Self.ID, cfg.Self.Incarnation, health.DefaultSettings()),
		leases:           newLeases(),
		owners:           ownership.Build(nil),
		bundleHistory:    newBundleHistory(),
		lostMembers:      make(map[membership.HostID]time.Duration),
		installedBuckets: make(map[ownership.Bucket]bool),
		retired:          make(map[flow.TargetID]forward.RetiredTarget),
	}
	l.members = membership.New(membership.Config{Self: cfg.Self, Seeds: cfg.Seeds, Clock: cfg.LogicalClock}, l.now, cfg.Random)
	l.handover = ownership.NewHandover(cfg.Self.ID, l.store, cfg.Random)
	l.replicator = ownership.NewReplicator(cfg.Self.ID, cfg.Self.Incarnation)
	l.rollout = rollout.New(rollout.Config{
		Self: cfg.Self.ID, DataCentre: cfg.Self.DataCentre, Keys: cfg.Keys, Wall: time.Now(),
	}, cfg.Random)
	l.platform.lastRead = -1
	l.heartbeat.Store(int64(l.now))
	return l
}

// LastHeartbeat returns the time of the last iteration of the loop on the monotonic clock. It is safe for concurrent use.
func (l *Loop) LastHeartbeat() time.Duration { return time.Duration(l.heartbeat.Load()) }

// post queues an event for the loop and waits while the queue is full. It reports false when the context has ended.
func (l *Loop) post(ctx context.Context, e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryPost queues an event for the loop without waiting. When the queue is full, the event is dropped.
func (l *Loop) tryPost(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// Run runs the loop until the context ends or the graceful shutdown, which stop starts, is complete.
func (l *Loop) Run(ctx context.Context, stop <-chan struct{}) error {
	l.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	interval := copyInterval
	fastTicker := time.NewTicker(interval)
	defer fastTicker.Stop()
	l.record(timeline.Event{Kind: "balancer-start", Detail: l.cfg.ProgramVersion})
	l.iterate(nil)
	for !l.lifecycle.done {
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			stop = nil
			l.beginIteration()
			l.leave()
			l.endIteration()
		case e := <-l.inbox:
			l.iterateQueued(e)
		case <-ticker.C:
			l.iterate(tick{})
		case <-fastTicker.C:
			l.iterate(fastTick{})
		}
		if next := l.fastInterval(); next != interval {
			interval = next
			fastTicker.Reset(interval)
		}
	}
	return nil
}

// fastInterval returns how often copies and lease requests are sent. Without resources to lease, the loop wakes less
// often.
func (l *Loop) fastInterval() time.Duration {
	if len(l.leases.owners) > 0 {
		return leaseInterval
	}
	return copyInterval
}

// iterate runs one iteration with an event, which may be nil.
func (l *Loop) iterate(e event) {
	l.beginIteration()
	if e != nil {
		e.apply(l)
	}
	l.endIteration()
}

// iterateQueued runs one iteration with an event and the events that are queued behind it.
func (l *Loop) iterateQueued(e event) {
	l.beginIteration()
	e.apply(l)
	for range maxEventsPerIteration {
		select {
		case e = <-l.inbox:
			e.apply(l)
			continue
		default:
		}
		break
	}
	l.endIteration()
}

// beginIteration detects a pause of the process. It fences the balancer before it updates the heartbeat, which lets the
// traffic goroutines forward again.
func (l *Loop) beginIteration() {
	now := l.cfg.Monotonic()
	gap := now - time.Duration(l.heartbeat.Load())
	l.now = now
	if gap > pauseThreshold {
		l.handlePause(gap)
	}
	l.heartbeat.Store(int64(now))
}

// endIteration announces the state of this balancer and publishes what the iteration has changed.
func (l *Loop) endIteration() {
	l.updateLocalMember()
	l.cfg.Transport.SetIncarnation(l.members.Self().Incarnation)
	if l.pendingOwners != nil {
		l.applyOwners()
	}
	if l.snapshotStale {
		l.publish()
	}
	l.bucketsPublished()
}

// apply advances everything that depends on time.
func (tick) apply(l *Loop) {
	l.applyMembers(l.members.Handle(l.now, membership.Tick{}))
	l.applyRollout(l.rollout.Handle(l.now, rollout.Tick{Wall: time.Now()}))
	l.noticeNewerVersion()
	l.dropOldCopies()
	l.applyBuckets(l.handover.Handle(l.now, ownership.Tick{}))
	l.observeTraffic()
	l.applyHealth(l.health.Handle(l.now, health.Tick{}))
	l.pruneCopies()
	l.possiblyPartitioned()
	l.lostRecently()
	l.tickLedgers()
	l.readHosts()
	l.advanceLifecycle()
}
