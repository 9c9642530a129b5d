package direct

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// doubtInterval is how often the control goroutine checks the evidence on targets that some balancer doubts.
const doubtInterval = 50 * time.Millisecond

// reviewSilence updates which targets are dark after a batch of packets. The caller holds mu.
func (t *Traffic) reviewSilence(now time.Duration) {
	doubting := t.engine.Doubting()
	t.doubting.Store(doubting)
	if !doubting {
		t.darkTargets.Store(0)
		return
	}
	events, tell := t.engine.ReviewSilence(now)
	t.darkTargets.Store(int64(len(t.engine.DarkTargets(now))))
	t.silenceEvents, t.tellSilence = append(t.silenceEvents, events...), t.tellSilence || tell
	if tell || len(events) > 0 {
		select {
		case t.silenceNews <- struct{}{}:
		default:
		}
	}
}

// ExchangeSilence gives the engine the evidence of other balancers on silent targets. It returns the evidence of this one, whether the
// others should know it at once, and the targets that became dark or alive.
func (t *Traffic) ExchangeSilence(peers steer.Peers) (own []directory.Silence, cutOff, tell bool, events []steer.SilenceEvent) {
	known := t.silencePeers
	if len(peers.Silence) == 0 && !t.doubting.Load() && peers.CutOffs == known.CutOffs && peers.Hosts == known.Hosts {
		return nil, false, false, nil
	}
	t.silencePeers = peers
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.engine.SetPeerSilence(peers, now)
	t.reviewSilence(now)
	own, cutOff = t.engine.Silence(now), t.engine.IsCutOff(now)
	tell, events = t.tellSilence, t.silenceEvents
	t.tellSilence, t.silenceEvents = false, nil
	return own, cutOff, tell, events
}

// DarkTargets returns the targets that are taken to be dark.
func (t *Traffic) DarkTargets() map[directory.Token]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.DarkTargets(t.clock())
}

// refreshSilence exchanges evidence on silent targets between the fleet and the traffic goroutine, and records changes.
func (c *Control) refreshSilence(now time.Duration) {
	p := c.fleet.PeerSilence(now)
	own, cutOff, tell, events := c.traffic.ExchangeSilence(steer.Peers{
		Silence: p.Targets, CutOffs: p.CutOffs, DataCentres: p.DataCentres, Hosts: p.Hosts,
	})
	c.fleet.SetOwnSilence(own, cutOff, tell, now)
	for i := range events {
		c.recordSilence(&events[i])
	}
}

// exchangeSilence does the same and sends reports that are due before their regular time.
func (c *Control) exchangeSilence(ctx context.Context) {
	now := c.clock()
	c.refreshSilence(now)
	for _, to := range c.fleet.DueSilence(now) {
		report := &relay.Report{Host: c.fleet.Self(), Leaving: c.leaving(), Freshness: c.freshness(now), Early: true}
		report.Loads, report.WholeDataCentre = c.fleet.EarlyReport(to, now)
		c.metrics.earlyReports.Add(1)
		c.sendReport(ctx, to, report)
	}
}

// recordSilence records that a target became dark or alive, with the evidence.
func (c *Control) recordSilence(e *steer.SilenceEvent) {
	event := timeline.Event{Kind: "target-alive", Target: e.Target.Name, Service: e.Target.Service}
	level := logrus.InfoLevel
	if e.Dark {
		event.Kind, event.Code, level = "target-dark", uint16(resultcode.TargetLost), logrus.WarnLevel
	}
	ms := func(age uint16) time.Duration { return time.Duration(age) * time.Millisecond }
	inputs := logrus.Fields{
		"flows": e.Evidence.Flows, "unopened": e.Evidence.Unopened, "hosts": e.Evidence.Hosts, "near": e.Evidence.Near,
		"wait_age": ms(e.Evidence.WaitAge), "sent_age": ms(e.Evidence.SentAge), "polls": e.Evidence.Polls, "poll_age": ms(e.Evidence.PollAge),
	}
	if e.Evidence.AnswerAge != directory.NoAnswer {
		inputs["answer_age"] = ms(e.Evidence.AnswerAge)
	}
	if !e.Dark {
		inputs["answered"] = e.Answered
	}
	c.record(level, event, inputs)
}
