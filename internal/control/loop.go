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

// Periods and bounds of the loop.
const (
	tickInterval  = 50 * time.Millisecond
	leaseInterval = 10 * time.Millisecond
	// copyInterval is how often changes of exceptions are passed to the replicator. With ticks of 50 ms an exception would
	// be sent up to 150 ms after it was placed, and the loss of its owner breaks it until then.
	copyInterval = 20 * time.Millisecond
	// pauseLimit is the gap between two turns of the loop from which the process counts as paused.
	pauseLimit = 500 * time.Millisecond
	inboxSize  = 4096
	// turnEvents is how many waiting events one turn takes. They share one snapshot: when many members join at once,
	// a snapshot for each message would keep the loop from answering probes.
	turnEvents = 256
)

// Transport sends messages to other balancers. Its methods do not block; a message that cannot be queued is lost.
type Transport interface {
	SendProbe(to netip.AddrPort, m *membership.Message)
	Send(to netip.AddrPort, m peer.Message)
	// SetIncarnation changes the incarnation that later messages carry.
	SetIncarnation(n uint64)
	// Counters returns bytes and messages by name.
	Counters() map[string]uint64
}

// Dataplane is what control needs of the traffic goroutines.
type Dataplane interface {
	// Quiesce returns when every traffic goroutine works under the published snapshot.
	Quiesce(ctx context.Context) error
	// SendResets sends the resets of ended flows.
	SendResets(endings []forward.Ending)
}

// Config holds what the loop needs.
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
	// tick is the time of the last turn of the loop, in nanoseconds on the monotonic clock. Traffic goroutines decide
	// nothing when it is too old.
	tick atomic.Int64

	ctx        context.Context
	now        time.Duration
	members    *membership.Core
	handover   *ownership.Handover
	replicator *ownership.Replicator
	store      *ownership.Store
	rollout    *rollout.Core
	health     *health.Tracker
	leases     leases

	owners      *ownership.Map
	newOwners   []membership.HostID       // owners that the next end of a turn puts into the map; nil when they did not change
	moved       bool                      // bucket states changed in this turn
	quiesce     uint64                    // publication that must be quiesced, 0 for none
	installed   map[ownership.Bucket]bool // buckets with installed flows that are not yet looked at for copies
	bases       bases
	lost        map[membership.HostID]time.Duration // members lost without notice, and until when they count as possibly alive
	lostAt      time.Duration                       // when the last one was lost, 0 for none
	retired     map[flow.TargetID]forward.RetiredTarget
	hosts       hostList
	state       lifecycle
	refreshing  bool
	dirty       bool // the snapshot is out of date
	rebase      bool // defaults or eligible targets changed, so that other flows need copies
	inForceAt   time.Time
	platform    platformCalls
	tables      tableCache
	nextObserve time.Duration
	nextAcks    time.Duration
	nextPrune   time.Duration
	nextCopies  time.Duration
	dropCopies  time.Duration // when copies that the bundle in force made unnecessary are dropped; 0 for never
}

// New returns a loop that has not started.
func New(cfg Config) *Loop {
	l := &Loop{
		cfg:       cfg,
		inbox:     make(chan event, inboxSize),
		now:       cfg.Monotonic(),
		store:     ownership.NewStore(),
		health:    health.NewTracker(cfg.Self.ID, cfg.Self.Incarnation, health.DefaultSettings()),
		leases:    newLeases(),
		owners:    ownership.Build(nil),
		bases:     newBases(),
		lost:      make(map[membership.HostID]time.Duration),
		installed: make(map[ownership.Bucket]bool),
		retired:   make(map[flow.TargetID]forward.RetiredTarget),
	}
	l.members = membership.New(membership.Config{Self: cfg.Self, Seeds: cfg.Seeds, Clock: cfg.LogicalClock}, l.now, cfg.Random)
	l.handover = ownership.NewHandover(cfg.Self.ID, l.store, cfg.Random)
	l.replicator = ownership.NewReplicator(cfg.Self.ID, cfg.Self.Incarnation)
	l.rollout = rollout.New(rollout.Config{Self: cfg.Self.ID, DataCentre: cfg.Self.DataCentre, Keys: cfg.Keys, Wall: time.Now()}, cfg.Random)
	l.platform.readAt = -1
	l.tick.Store(int64(l.now))
	return l
}

// LastHeartbeat returns the time of the last turn of the loop on the monotonic clock. It is safe for use by any goroutine.
func (l *Loop) LastHeartbeat() time.Duration { return time.Duration(l.tick.Load()) }

// post hands an event to the loop. It reports false when the loop has ended.
func (l *Loop) post(ctx context.Context, e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer hands an event to the loop unless its queue is full.
func (l *Loop) offer(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// Run runs the loop until the context has ended and the shutdown is complete. stop starts the graceful shutdown.
func (l *Loop) Run(ctx context.Context, stop <-chan struct{}) error {
	l.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	interval := copyInterval
	fast := time.NewTicker(interval)
	defer fast.Stop()
	l.record(timeline.Event{Kind: "balancer-start", Detail: l.cfg.ProgramVersion})
	l.turn(nil)
	for !l.state.done {
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			stop = nil
			l.beginTurn()
			l.leave()
			l.endTurn()
		case e := <-l.inbox:
			l.turnAll(e)
		case <-ticker.C:
			l.turn(tick{})
		case <-fast.C:
			l.turn(leaseTick{})
		}
		if next := l.fastInterval(); next != interval {
			interval = next
			fast.Reset(interval)
		}
	}
	return nil
}

// fastInterval returns how often copies and lease requests are sent. Without slots to lease, the loop wakes less often.
func (l *Loop) fastInterval() time.Duration {
	if len(l.leases.owners) > 0 {
		return leaseInterval
	}
	return copyInterval
}

func (l *Loop) turn(e event) {
	l.beginTurn()
	if e != nil {
		e.apply(l)
	}
	l.endTurn()
}

// turnAll handles an event and those that wait behind it.
func (l *Loop) turnAll(e event) {
	l.beginTurn()
	e.apply(l)
	for range turnEvents {
		select {
		case e = <-l.inbox:
			e.apply(l)
			continue
		default:
		}
		break
	}
	l.endTurn()
}

// beginTurn notices a pause before anything is decided, and before the traffic goroutines may decide again.
func (l *Loop) beginTurn() {
	now := l.cfg.Monotonic()
	gap := now - time.Duration(l.tick.Load())
	l.now = now
	if gap > pauseLimit {
		l.paused(gap)
	}
	l.tick.Store(int64(now))
}

func (l *Loop) endTurn() {
	l.announce()
	l.cfg.Transport.SetIncarnation(l.members.Self().Incarnation)
	if l.newOwners != nil {
		l.applyOwners()
	}
	if l.dirty {
		l.publish()
	}
	l.finishBuckets()
}

// apply lets time pass in every part.
func (tick) apply(l *Loop) {
	l.applyMembers(l.members.Handle(l.now, membership.Tick{}))
	l.applyRollout(l.rollout.Handle(l.now, rollout.Tick{Wall: time.Now()}))
	l.noticeNewerVersion()
	l.dropOldCopies()
	l.applyBuckets(l.handover.Handle(l.now, ownership.Tick{}))
	l.observeTraffic()
	l.applyHealth(l.health.Handle(l.now, health.Tick{}))
	l.pruneCopies()
	l.possiblyDivided()
	l.lostRecently()
	l.tickLedgers()
	l.readHosts()
	l.advance()
}
