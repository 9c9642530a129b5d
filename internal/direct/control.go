package direct

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/chart"
	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
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
	directory *directory.Directory
	chart     *chart.Chart
	results   chan readResult
	traffic   *Traffic
	metrics   *metrics

	state        string
	published    atomic.Pointer[string] // state, for the readiness check
	storeFailing bool
	leaveStarted time.Duration
	pruned       time.Duration
	next         time.Duration // when time alone changes the view, 0 for never
}

// NewControl returns the control goroutine's state.
func NewControl(s *settings.Direct, log *logrus.Entry, clock Clock, t *Traffic, m *metrics) *Control {
	c := &Control{
		settings: s, log: log, clock: clock, directory: directory.New(), chart: newLifecycle(),
		results: make(chan readResult), traffic: t, metrics: m,
	}
	c.enter(c.chart.Initial())
	return c
}

// Serving reports whether new flows may be sent here, and the state.
func (c *Control) Serving() (bool, string) {
	state := *c.published.Load()
	return state == stateServing, state
}

// Run handles events until the balancer has stopped. stop asks for a graceful end.
func (c *Control) Run(ctx context.Context, stop <-chan struct{}) error {
	timer := time.NewTimer(pruneInterval)
	defer timer.Stop()
	for c.state != stateStopped {
		timer.Reset(c.untilNext())
		select {
		case r := <-c.results:
			c.handle(r)
		case <-timer.C:
			c.tick()
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
	d := pruneInterval
	if c.next > 0 {
		d = max(c.next-c.clock(), time.Millisecond)
	}
	if c.leaveStarted > 0 {
		d = min(d, leaveCheck)
	}
	return d
}

func (c *Control) tick() {
	now := c.clock()
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
	c.log.WithFields(logrus.Fields{"event": event, "from": c.state, "to": next}).Info("lifecycle")
	c.enter(next)
}

func (c *Control) enter(state string) {
	c.state = state
	c.published.Store(&state)
}

func (c *Control) handle(r readResult) {
	now := c.clock()
	c.metrics.read(r)
	if r.err != nil {
		c.readFailed(r)
		return
	}
	c.directory.StoreAnswered(now)
	if c.storeFailing {
		c.storeFailing = false
		c.log.WithFields(logrus.Fields{"event": "store-regained", "read": r.read.Kind}).Info("store answers again")
	}
	if !r.apply {
		return
	}
	events := c.directory.Apply(r.batch, now)
	for i := range events {
		c.logChange(&events[i], r.read.Kind)
	}
	if len(events) > 0 || c.traffic.View() == nil {
		c.publish(now)
	}
	if c.state == c.chart.Initial() && c.directory.Ready() {
		c.fire(eventViewComplete)
	}
}

func (c *Control) readFailed(r readResult) {
	if resultcode.Of(r.err) == resultcode.PlatformHistoryGone {
		c.log.WithError(r.err).WithFields(logrus.Fields{"event": "history-gone", "code": resultcode.Of(r.err), "after": r.read.After}).Info("store is listed anew")
		return
	}
	c.directory.StoreFailed()
	if !c.storeFailing {
		c.storeFailing = true
		age, _ := c.directory.Age(c.clock())
		c.log.WithError(r.err).WithFields(logrus.Fields{
			"event": "store-lost", "read": r.read.Kind, "code": resultcode.Of(r.err), "age": age, "revision": c.directory.Revision(),
		}).Warn("store does not answer")
	}
}

func (c *Control) logChange(e *directory.Event, kind directory.ReadKind) {
	fields := logrus.Fields{"event": e.Kind, "revision": e.Revision, "read": kind}
	if e.Target != nil {
		fields["target"], fields["service"], fields["address"] = e.Target.Name, e.Target.Service, e.Target.Address
		fields["draining"], fields["cold"] = e.Target.Draining, e.Target.ColdFor
	} else {
		fields["version"] = e.Version
	}
	c.log.WithFields(fields).Info("directory")
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
