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
	// quietTime is how long no packet may arrive before a leaving balancer ends: callers repeat packets after up to 1.6 s.
	quietTime = 1700 * time.Millisecond
	// rotationTime is the least time that a leaving balancer goes on forwarding: callers' packets are sent elsewhere after
	// two failed readiness checks, which are 500 ms apart.
	rotationTime = 1500 * time.Millisecond
	// graceMargin is left of the grace period for the end of the process.
	graceMargin = 500 * time.Millisecond
	// leaveCheck is how often a leaving balancer looks whether traffic has ceased.
	leaveCheck = 250 * time.Millisecond
	// maxChangeLines bounds the lines about the changes that another host tells at once: a host that starts is told of all
	// targets, at a time when its processor is needed for packets that wait.
	maxChangeLines = 32
	// pruneInterval is how often targets that were removed long ago are forgotten.
	pruneInterval = 5 * time.Second
)

// Clock returns the time since the start of the process.
type Clock func() time.Duration

// Control owns all control state in one goroutine and publishes views to the traffic goroutine.
type Control struct {
	settings  *settings.Direct
	log       *logrus.Entry
	clock     Clock
	ring      *timeline.Ring
	questions chan func()
	directory *directory.Directory
	follower  *directory.Follower
	fleet     *relay.Fleet
	queues    *steer.QueueWatch
	chart     *chart.Chart
	reader    *storeReader
	exchange  *Exchange
	ask       func(ctx context.Context, to netip.AddrPort, report *relay.Report) // Exchange.Ask, but in the exploration
	watch     *settingsWatch
	traffic   *Traffic
	metrics   *metrics

	state        string
	published    atomic.Pointer[string] // state, for the readiness check
	reading      bool                   // a read of the store is under way
	isRelay      bool
	reads        bool // this host reads the store
	storeFailing bool
	calls        uint64                  // reads of the store
	lostPeers    map[netip.AddrPort]bool // peers that did not answer the last report
	reported     time.Duration           // when reports were last due
	leaveStarted time.Duration
	pruned       time.Duration
	next         time.Duration // when time alone changes the view, 0 for never
}

// controlParts groups what the control goroutine works with.
type controlParts struct {
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

// NewControl returns the control goroutine's state.
func NewControl(p controlParts) *Control {
	s := p.Settings
	self := relay.Host{Name: s.Host.Name, DataCentre: s.Host.DataCentre, Address: s.PeerAddress(), Weight: s.Host.Weight}
	c := &Control{
		settings: s, log: p.Log, clock: p.Clock, ring: p.Ring, questions: make(chan func()),
		directory: directory.New(), follower: directory.NewFollower(p.Random), fleet: relay.NewFleet(self, s.Peers.Seeds),
		queues: steer.NewQueueWatch(), chart: newLifecycle(), reader: p.Reader, exchange: p.Exchange, ask: p.Exchange.Ask, watch: p.Watch,
		traffic: p.Traffic, metrics: p.Metrics, lostPeers: map[netip.AddrPort]bool{},
	}
	if c.fleet.IsInitialReader() {
		c.follower.ListAtOnce()
	}
	c.enter(c.chart.Initial())
	return c
}

// Run handles events until the balancer has stopped. stop asks for a graceful end.
func (c *Control) Run(ctx context.Context, stop <-chan struct{}) error {
	timer := time.NewTimer(pruneInterval)
	defer timer.Stop()
	for c.state != stateStopped {
		c.traffic.Turn(c.clock())
		c.readStore()
		timer.Reset(c.untilNext())
		select {
		case r := <-c.reader.results:
			c.storeRead(r)
		case in := <-c.exchange.inbound:
			in.reply <- c.reply(in.report)
		case r := <-c.exchange.results:
			c.replied(r)
		case to := <-c.exchange.stopped:
			c.exchange.Forget(to)
			delete(c.lostPeers, to)
		case s := <-c.watch.changed:
			c.reload(s)
		case question := <-c.questions:
			question()
		case <-timer.C:
			c.tick(ctx)
		case <-stop:
			stop = nil
			c.fire(eventStopRequested)
			c.leaveStarted = c.clock()
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (c *Control) untilNext() time.Duration {
	now := c.clock()
	d := max(c.reported+c.fleet.ReportInterval(c.standing(now), now)-now, time.Millisecond)
	if c.next > 0 {
		d = min(d, max(c.next-now, time.Millisecond))
	}
	if c.leaveStarted > 0 {
		d = min(d, leaveCheck)
	}
	return d
}

func (c *Control) tick(ctx context.Context) {
	now := c.clock()
	if now-c.reported >= c.fleet.ReportInterval(c.standing(now), now) {
		c.report(ctx, now)
	}
	if now-c.pruned >= pruneInterval {
		c.directory.Prune(now)
		c.pruned = now
	}
	if c.next > 0 && now >= c.next {
		c.publish(now)
	}
	if c.leaveStarted > 0 {
		c.checkLeft(now)
	}
}

// checkLeft ends a leaving balancer when callers' packets have ceased, or when the grace period is nearly over.
func (c *Control) checkLeft(now time.Duration) {
	left := now - c.leaveStarted
	switch {
	case left >= c.settings.Shutdown.Grace-graceMargin:
		c.fire(eventGraceOver)
	case left >= rotationTime && now-c.traffic.LastPacket() >= quietTime:
		c.fire(eventTrafficCeased)
	}
}

func (c *Control) fire(event string) {
	next, err := c.chart.Next(c.state, event)
	if err != nil {
		c.log.WithError(err).Error("lifecycle")
		return
	}
	c.record(logrus.InfoLevel, timeline.Event{Kind: "lifecycle", Detail: c.state + " to " + next + ": " + event}, nil)
	c.enter(next)
}

func (c *Control) enter(state string) {
	c.state = state
	c.published.Store(&state)
}

// apply takes over what a source told, and puts the result in force.
func (c *Control) apply(b directory.Batch, source string, now time.Duration) {
	events := c.directory.Apply(b, now)
	if len(events) > 0 || c.traffic.View() == nil {
		c.publish(now) // before the log: packets wait for the first view, and the lines of many targets take a while
	}
	c.recordChanges(events, source)
	if c.state == c.chart.Initial() && c.directory.Ready() {
		c.fire(eventViewComplete)
	}
}

// record writes an event to the time line and, with the values that it was decided by, to the log.
func (c *Control) record(level logrus.Level, e timeline.Event, inputs logrus.Fields) {
	logging.EventWithFields(c.log, level, c.ring.Add(e), inputs)
}

// recordChanges writes a line for each change, and one line for the many changes of targets that another host has told at once:
// the lines about each of them are in the log of the host that read the store.
func (c *Control) recordChanges(events []directory.Event, source string) {
	summarize := source != sourceStore && len(events) > maxChangeLines
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
	if e.Target != nil {
		event.Target, event.Service = e.Target.Name, e.Target.Service
		inputs["address"], inputs["draining"], inputs["cold"] = e.Target.Address, e.Target.Draining, e.Target.ColdFor
	}
	if e.Kind == directory.ConfigurationStale {
		event.Code = uint16(resultcode.ConfigurationStale)
	}
	c.record(logrus.InfoLevel, event, inputs)
}

// publish puts a view of the present state in force.
func (c *Control) publish(now time.Duration) {
	if !c.directory.Ready() {
		return
	}
	snapshot := c.directory.Snapshot(now)
	c.next = snapshot.Next
	c.traffic.SetView(steer.NewView(snapshot, c.settings.Host.DataCentre))
}
