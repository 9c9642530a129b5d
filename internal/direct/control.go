package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/chart"
	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
	"github.com/marigoldwood/marigoldwood/timeline"
)

const (
	// trafficEndQuiet is the time without packets after which a leaving balancer stops: callers retransmit packets after up
	// to 1.6 s.
	trafficEndQuiet = 1700 * time.Millisecond
	// minForwardTime is the minimum time for which a leaving balancer continues to forward: the fabric sends packets to other
	// balancers after two failed readiness checks, which are 500 ms apart.
	minForwardTime = 1500 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the exit of the process.
	graceMargin = 500 * time.Millisecond
	// leaveCheckInterval is how often a leaving balancer checks whether traffic has ceased.
	leaveCheckInterval = 250 * time.Millisecond
	// maxLoggedChanges is the maximum number of changes from another host's reply that are logged one by one. A starting host
	// receives all targets at once, while it needs the processor for waiting packets.
	maxLoggedChanges = 32
	// pruneInterval is how often targets that were removed long ago are deleted.
	pruneInterval = 5 * time.Second
)

// Clock returns the time since the process started.
type Clock func() time.Duration

// Control owns all control state in one goroutine and publishes views to the traffic goroutine.
type Control struct {
	settings      *settings.Direct
	log           *logrus.Entry
	clock         Clock
	ring          *timeline.Ring
	queries       chan func()
	directory     *directory.Directory
	follower      *directory.Follower
	fleet         *relay.Fleet
	queueWatch    *steer.QueueWatch
	coldShare     relay.ColdShare
	lifecycle     *chart.Chart
	storeReader   *storeReader
	exchange      *Exchange
	sendReport    func(ctx context.Context, to netip.AddrPort, report *relay.Report) // Exchange.Send, except in TestExplore
	settingsWatch *settingsWatch
	traffic       *Traffic
	metrics       *metrics

	state            string
	publishedState   atomic.Pointer[string] // copy of state for the readiness check
	readPending      bool                   // a read of the store is in progress
	isRelay          bool
	readsStore       bool // this host reads the store periodically
	storeUnavailable bool
	storeReads       uint64                  // number of reads of the store
	earlierEra       bool                    // the store's last answer to this host was of an earlier era than the known one
	lostPeers        map[netip.AddrPort]bool // peers that did not reply to the last report
	lastReport       time.Duration           // when reports were last due
	leaveStarted     time.Duration
	lastPrune        time.Duration
	limited          map[limitedGroup]limitedTargets
	nextPublish      time.Duration // when the view changes without new records, 0 if never
}

// controlDeps holds the dependencies of a Control.
type controlDeps struct {
	Settings *settings.Direct
	Log      *logrus.Entry
	Clock    Clock
	Random   *rand.Rand
	Ring     *timeline.Ring
	Reader   *storeReader
	Exchange *Exchange
	Watch    *settingsWatch
	Traffic  *Traffic
	Metrics  *metrics
}

// NewControl returns the initial state of the control goroutine.
func NewControl(p controlDeps) *Control {
	s := p.Settings
	self := relay.Host{Name: s.Host.Name, DataCentre: s.Host.DataCentre, Address: s.PeerAddress(), Weight: s.Host.Weight}
	c := &Control{
		settings: s, log: p.Log, clock: p.Clock, ring: p.Ring, queries: make(chan func()),
		directory: directory.New(), follower: directory.NewFollower(p.Random), fleet: relay.NewFleet(self, s.Peers.Seeds),
		queueWatch: steer.NewQueueWatch(), lifecycle: newLifecycle(), storeReader: p.Reader, exchange: p.Exchange,
		sendReport: p.Exchange.Send, settingsWatch: p.Watch, traffic: p.Traffic, metrics: p.Metrics,
		lostPeers: map[netip.AddrPort]bool{},
	}
	if c.fleet.IsInitialReader() {
		c.follower.SkipStaleList()
	}
	c.setState(c.lifecycle.Initial())
	return c
}

// Run handles events until the balancer has stopped or ctx is done. Closing stop starts a graceful shutdown.
func (c *Control) Run(ctx context.Context, stop <-chan struct{}) error {
	timer := time.NewTimer(pruneInterval)
	defer timer.Stop()
	for c.state != stateStopped {
		c.traffic.ControlAlive(c.clock())
		c.startStoreRead()
		c.exchangeSilence(ctx)
		timer.Reset(c.timerDelay())
		select {
		case r := <-c.storeReader.results:
			c.handleRead(r)
		case in := <-c.exchange.inbound:
			in.reply <- c.handleReport(in.report)
		case r := <-c.exchange.results:
			c.handleReply(r)
		case to := <-c.exchange.senderStopped:
			c.exchange.RemoveSender(to)
			delete(c.lostPeers, to)
		case <-c.traffic.silenceNews: // handled before the next event
		case s := <-c.settingsWatch.updates:
			c.reload(s)
		case query := <-c.queries:
			query()
		case <-timer.C:
			c.tick(ctx)
		case <-stop:
			stop = nil
			c.handleEvent(eventStopRequested)
			c.leaveStarted = c.clock()
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (c *Control) timerDelay() time.Duration {
	now := c.clock()
	d := max(c.lastReport+c.fleet.ReportInterval(c.standing(now), now)-now, time.Millisecond)
	if c.nextPublish > 0 {
		d = min(d, max(c.nextPublish-now, time.Millisecond))
	}
	if c.leaveStarted > 0 {
		d = min(d, leaveCheckInterval)
	}
	if c.fleet.IsDoubtful(now) {
		d = min(d, doubtInterval)
	}
	return d
}

func (c *Control) tick(ctx context.Context) {
	now := c.clock()
	if now-c.lastReport >= c.fleet.ReportInterval(c.standing(now), now) {
		c.sendReports(ctx, now)
	}
	if now-c.lastPrune >= pruneInterval {
		c.directory.Prune(now)
		c.lastPrune = now
	}
	if c.nextPublish > 0 && now >= c.nextPublish {
		c.publish(now)
	}
	if c.leaveStarted > 0 {
		c.checkLeaveDone(now)
	}
}

// checkLeaveDone stops a leaving balancer when callers' packets have ceased, or when the grace period is nearly over.
func (c *Control) checkLeaveDone(now time.Duration) {
	elapsed := now - c.leaveStarted
	switch {
	case elapsed >= c.settings.Shutdown.Grace-graceMargin:
		c.handleEvent(eventGraceOver)
	case elapsed >= minForwardTime && now-c.traffic.LastPacket() >= trafficEndQuiet:
		c.handleEvent(eventTrafficCeased)
	}
}

func (c *Control) handleEvent(event string) {
	next, err := c.lifecycle.Next(c.state, event)
	if err != nil {
		c.log.WithError(err).Error("unexpected lifecycle event")
		return
	}
	c.record(logrus.InfoLevel, timeline.Event{Kind: "lifecycle", Detail: c.state + " to " + next + ": " + event}, nil)
	c.setState(next)
}

func (c *Control) setState(state string) {
	c.state = state
	c.publishedState.Store(&state)
}

// apply merges a batch from a source into the directory and publishes the resulting view.
func (c *Control) apply(b directory.Batch, source string, now time.Duration) {
	events := c.directory.Apply(b, now)
	if len(events) > 0 || c.traffic.View() == nil {
		c.publish(now) // before logging: packets wait for the first view, and logging many targets takes a while
	}
	c.recordChanges(events, source)
	if c.state == c.lifecycle.Initial() && c.directory.Ready() {
		c.handleEvent(eventViewComplete)
	}
}

// record adds an event to the timeline and logs it together with inputs, the values on which the decision was based.
func (c *Control) record(level logrus.Level, e timeline.Event, inputs logrus.Fields) {
	logging.EventWithFields(c.log, level, c.ring.Add(e), inputs)
}

// recordChanges records each change. If another host sends many changes of targets at once it records only their numbers: the
// host that read the store has logged each of them.
func (c *Control) recordChanges(events []directory.Event, source string) {
	summarize := source != sourceStore && len(events) > maxLoggedChanges
	counts := map[string]int{}
	for i := range events {
		if summarize && events[i].Target != nil {
			counts[events[i].Kind.String()]++
			continue
		}
		c.recordChange(&events[i], source)
	}
	if !summarize {
		return
	}
	inputs := logrus.Fields{"source": source, "revision": c.directory.Revision()}
	for kind, n := range counts {
		inputs[kind] = n
	}
	c.record(logrus.InfoLevel, timeline.Event{Kind: "targets-told"}, inputs)
}

func (c *Control) recordChange(e *directory.Event, source string) {
	inputs := logrus.Fields{"revision": e.Revision, "source": source}
	event := timeline.Event{Kind: e.Kind.String(), Version: e.Version}
	if r := e.Restoration; r != nil {
		inputs["era"], inputs["before"], inputs["age"] = e.Revision.Era(), r.Before, r.Answered
		inputs["unlisted"], inputs["older"], inputs["evacuations"] = r.Unlisted, r.Older, r.Evacuations
		inputs["known_version"], inputs["version_in_store"] = r.KnownVersion, r.Version
		c.record(logrus.WarnLevel, event, inputs)
		return
	}
	if e.DataCentre != "" {
		inputs["data_centre"] = e.DataCentre
	}
	if e.Target != nil {
		event.Target, event.Service = e.Target.Name, e.Target.Service
		inputs["address"], inputs["draining"], inputs["cold"] = e.Target.Address, e.Target.Draining, e.Target.ColdFor
	}
	if e.Kind == directory.ConfigurationStale {
		event.Code = uint16(resultcode.ConfigurationStale)
	}
	c.record(logrus.InfoLevel, event, inputs)
}

// publish passes a view of the current state to the traffic goroutine, if the directory is ready.
func (c *Control) publish(now time.Duration) {
	if !c.directory.Ready() {
		return
	}
	snapshot := c.directory.Snapshot(now)
	c.nextPublish = snapshot.NextChange
	c.metrics.evacuations.Store(int64(activeEvacuations(snapshot)))
	view := steer.NewView(snapshot, c.settings.Host.DataCentre)
	c.fleet.SetServices(view.ServiceOf)
	c.traffic.SetView(view)
}
