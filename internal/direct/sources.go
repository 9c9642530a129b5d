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

const (
	// relayWait is how long after its start a host waits for the relay's list when the store's list has many pages: if all hosts
	// start at once, the store cannot give all of it to each.
	relayWait = 3 * time.Second
	// relayUnknownWait is the same for a host that knows of no relay yet. Until then it serves with a provisional list: the seeds may
	// have power later than others, and need some time for the list of 4,600 targets.
	relayUnknownWait = 1500 * time.Millisecond
	// aloneWait is how long after its start a host waits for the first answer of another host before it reads the further pages of a
	// provisional list, and toldWait how long it waits for a list after such an answer. The store's link carries a list of 600
	// targets to a few hosts in 0.1 s and to 300 in 0.5 s; the few then tell the others.
	aloneWait = 120 * time.Millisecond
	toldWait  = 400 * time.Millisecond
)

// sourceStore names the store in the log, and sourceProvisional a list of it that may be behind; a peer is named by its host.
const (
	sourceStore       = "store"
	sourceProvisional = "store-provisional"
)

// readStore starts the next read of the store if this host reads it for others, or if no other one keeps it up to date.
func (c *Control) readStore() {
	now := c.clock()
	if c.reading || !c.mustRead(now) {
		return
	}
	if c.directory.Complete() {
		c.follower.Resume(c.directory.Revision())
	}
	c.reading = true
	c.calls++
	c.reader.reads <- c.follower.Next(now)
}

func (c *Control) mustRead(now time.Duration) bool {
	standing := c.standing(now)
	host, _ := c.fleet.Relay(c.settings.Host.DataCentre, standing)
	own := host.Name == c.settings.Host.Name
	if own != c.isRelay {
		c.isRelay = own
		c.record(logrus.InfoLevel, timeline.Event{Kind: "relay", Member: host.Name}, logrus.Fields{"own": own, "fresh": standing.Fresh})
	}
	if !c.directory.Complete() && c.mustWait(own, now) {
		return false
	}
	age, known := c.directory.Age(now)
	reads := c.fleet.MustRead(standing, age, known)
	if reads != c.reads {
		c.reads = reads
		inputs := logrus.Fields{"own": reads, "relay": own}
		if known {
			inputs["age"] = age
		}
		c.record(logrus.InfoLevel, timeline.Event{Kind: "reader", Member: c.fleet.Reader(standing).Name}, inputs)
	}
	return reads
}

// mustWait reports whether a host that has just started leaves the pages of a long list to others. relay tells that it knows of no other
// relay in its data centre.
func (c *Control) mustWait(relay bool, now time.Duration) bool {
	switch {
	case c.follower.StaleListPending() && c.fleet.IsAlone():
		return now < aloneWait
	case c.follower.StaleListPending():
		return now < toldWait
	case c.follower.FullListPending() && relay:
		return now < relayUnknownWait
	}
	return c.follower.FullListPending() && now < relayWait
}

// isFresh reports whether the store, or a host that reads it, has answered a moment ago.
func (c *Control) isFresh(now time.Duration) bool {
	age, known := c.directory.Age(now)
	return known && age < c.fleet.StaleAfter()
}

// standing is what the other hosts will take this host for.
func (c *Control) standing(now time.Duration) relay.Standing {
	s := relay.Standing{Fresh: c.isFresh(now), Leaving: c.leaving(), Refused: c.storeFailing}
	if _, known := c.directory.Age(now); known {
		s.Revision = c.directory.Revision()
	}
	return s
}

func (c *Control) leaving() bool { return c.leaveStarted > 0 }

// storeRead takes in the outcome of a read of the store.
func (c *Control) storeRead(r readResult) {
	now := c.clock()
	c.reading = false
	c.metrics.read(r)
	batch, apply := c.follower.Done(now, r.read, r.page, r.err)
	if r.err != nil {
		c.readFailed(r)
		return
	}
	c.directory.StoreAnswered(now)
	if c.storeFailing {
		c.storeFailing = false
		c.record(logrus.InfoLevel, timeline.Event{Kind: "store-regained"}, logrus.Fields{"read": r.read.Kind, "took": r.took})
	}
	if apply {
		// An audit, a list that may be behind, or a page of a list that has further ones, does not show that nothing is missing here.
		source := sourceProvisional
		if !batch.Provisional {
			c.directory.StoreConfirmed(r.asked)
			source = sourceStore
		}
		c.apply(batch, source, now)
	}
}

func (c *Control) readFailed(r readResult) {
	code := resultcode.Of(r.err)
	inputs := logrus.Fields{"read": r.read.Kind, "after": r.read.After, "took": r.took, "error": r.err}
	if code == resultcode.PlatformHistoryGone {
		c.record(logrus.InfoLevel, timeline.Event{Kind: "history-gone", Code: uint16(code)}, inputs)
		return
	}
	c.directory.StoreFailed()
	if !c.storeFailing {
		c.storeFailing = true
		if age, known := c.directory.Age(c.clock()); known {
			inputs["age"] = age
		}
		inputs["revision"] = c.directory.Revision()
		c.record(logrus.WarnLevel, timeline.Event{Kind: "store-lost", Code: uint16(code)}, inputs)
	}
}

// report tells the relay, or as a relay the others, what this host knows.
func (c *Control) report(ctx context.Context, now time.Duration) {
	c.reported = now
	standing := c.standing(now)
	for _, to := range c.fleet.Ask(standing, now) {
		report := &relay.Report{Host: c.fleet.Self(), Leaving: c.leaving(), Freshness: c.freshness(now), Wants: c.fleet.Wants(to, standing, now)}
		report.Loads, report.Centre = c.fleet.LoadsOf(to, c.traffic.Loads(), now)
		c.ask(ctx, to, report)
	}
	others := c.fleet.Others(now)
	c.traffic.SetOthers(others)
	c.watchQueues(others, now)
	if age, known := c.directory.Age(now); known {
		c.metrics.age.Store(age.Milliseconds())
	}
	if configuration := c.directory.Configuration(); configuration != nil {
		c.metrics.version.Store(configuration.Version)
	}
}

func (c *Control) freshness(now time.Duration) relay.Freshness {
	age, known := c.directory.Age(now)
	confirmed, steady := c.directory.Confirmed(now)
	return relay.Freshness{Known: known, Age: age, Confirmed: confirmed, Steady: steady, Revision: c.directory.Revision(), Refused: c.storeFailing}
}

// reply answers the report of another host with what it does not know yet.
func (c *Control) reply(r *relay.Report) *relay.Reply {
	now := c.clock()
	c.fleet.Reported(r, now)
	reply := &relay.Reply{
		Host: c.fleet.Self(), Leaving: c.leaving(), Freshness: c.freshness(now),
		Hosts: c.fleet.Candidates(r.Host.Name, r.Host.DataCentre, now), Count: c.fleet.Count(),
		Loads: c.fleet.LoadsFor(r.Host.Name, r.Host.DataCentre, c.traffic.Loads(), now),
	}
	if r.Wants && r.Freshness.Revision < c.directory.Revision() && c.directory.Complete() {
		reply.Changes = c.directory.ChangesSince(r.Freshness.Revision)
	}
	return reply
}

// replied takes in the reply of another host.
func (c *Control) replied(r replyResult) {
	now := c.clock()
	if r.err != nil {
		c.fleet.Failed(r.to, now)
		if !c.lostPeers[r.to] {
			c.lostPeers[r.to] = true
			c.record(logrus.InfoLevel, timeline.Event{Kind: "peer-lost", Code: uint16(resultcode.Of(r.err))}, logrus.Fields{"peer": r.to, "error": r.err})
		}
		return
	}
	reply := r.reply
	if c.lostPeers[r.to] {
		delete(c.lostPeers, r.to)
		c.record(logrus.InfoLevel, timeline.Event{Kind: "peer-regained", Member: reply.Host.Name}, logrus.Fields{"peer": r.to})
	}
	c.fleet.Replied(reply, now)
	if len(reply.Changes.Changes) > 0 || reply.Changes.Configuration != nil {
		c.apply(reply.Changes, reply.Host.Name, now)
	}
	// What the other host knows counts as the store's answer only when nothing of it is missing here. It is as old as the
	// report that was answered: this process may have stood still since.
	if f := reply.Freshness; f.Known && f.Revision <= c.directory.Revision() {
		c.directory.StoreReportedByPeer(r.asked-f.Age, r.asked-f.Confirmed, f.Steady)
	}
}

// watchQueues shows how much work waits for each service, and says when a queue has lasted.
func (c *Control) watchQueues(others []directory.Load, now time.Duration) {
	view := c.traffic.View()
	if view == nil {
		return
	}
	queues := steer.Queues(view.Snapshot(), c.traffic.Loads(), others)
	c.metrics.queues.Store(&queues)
	for _, e := range c.queues.Update(queues, now) {
		kind, level := "queue-gone", logrus.InfoLevel
		if e.Grown {
			kind, level = "queue-grown", logrus.WarnLevel
		}
		c.record(level, timeline.Event{Kind: kind, Service: e.Service}, logrus.Fields{"waiting": e.Waiting, "slots": e.Slots, "for": e.For})
	}
}
