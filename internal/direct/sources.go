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
	// relayListWait is how long after its start a host waits for the list from the relay if the store's list has several pages:
	// if all hosts start at once, the store cannot send the whole list to each of them.
	relayListWait = 3 * time.Second
	// noRelayListWait is the same for a host that knows no other relay yet. Until then it serves with a provisional list: the
	// seeds may start later than other hosts, and need some time to read a list of 4,600 targets.
	noRelayListWait = 1500 * time.Millisecond
	// noPeerWait is how long after its start a host waits for the first message of another host before it reads the remaining
	// pages of a provisional list, and peerListWait is how long it waits for a list after such a message. The store's link
	// carries a list of 600 targets to a few hosts in 0.1 s and to 300 hosts in 0.5 s; the few hosts then send it to the others.
	noPeerWait   = 120 * time.Millisecond
	peerListWait = 400 * time.Millisecond
)

// Names of sources in the log: sourceStore is the store, and sourceProvisional a stale list of the store. A peer is named by its
// host.
const (
	sourceStore       = "store"
	sourceProvisional = "store-provisional"
)

// startStoreRead starts the next read of the store if none is in progress, and if this host reads the store for others or no
// other host keeps it up to date.
func (c *Control) startStoreRead() {
	now := c.clock()
	if c.readPending || !c.mustRead(now) {
		return
	}
	if c.directory.Complete() {
		c.follower.Resume(c.directory.Revision())
	}
	c.readPending = true
	c.storeReads++
	c.storeReader.reads <- c.follower.Next(now)
}

func (c *Control) mustRead(now time.Duration) bool {
	standing := c.standing(now)
	host, _ := c.fleet.Relay(c.settings.Host.DataCentre, standing)
	own := host.Name == c.settings.Host.Name
	if own != c.isRelay {
		c.isRelay = own
		c.record(logrus.InfoLevel, timeline.Event{Kind: "relay", Member: host.Name}, logrus.Fields{"own": own, "fresh": standing.Fresh})
	}
	if !c.directory.Complete() && c.mustWaitForPeers(own, now) {
		return false
	}
	age, known := c.directory.Age(now)
	reads := c.fleet.MustRead(standing, age, known)
	if reads != c.readsStore {
		c.readsStore = reads
		inputs := logrus.Fields{"own": reads, "relay": own}
		if known {
			inputs["age"] = age
		}
		c.record(logrus.InfoLevel, timeline.Event{Kind: "reader", Member: c.fleet.Reader(standing).Name}, inputs)
	}
	return reads
}

// mustWaitForPeers reports whether a host that has just started waits for the list from a peer instead of reading all pages of a
// long list. noOtherRelay reports that it knows no other relay in its data centre.
func (c *Control) mustWaitForPeers(noOtherRelay bool, now time.Duration) bool {
	switch {
	case c.follower.StaleListPending() && c.fleet.IsAlone():
		return now < noPeerWait
	case c.follower.StaleListPending():
		return now < peerListWait
	case c.follower.FullListPending() && noOtherRelay:
		return now < noRelayListWait
	}
	return c.follower.FullListPending() && now < relayListWait
}

// isFresh reports whether the store has recently answered this host, or another host that has reported it.
func (c *Control) isFresh(now time.Duration) bool {
	age, known := c.directory.Age(now)
	return known && age < c.fleet.StaleAfter()
}

// standing returns the values by which other hosts rank this host as a relay.
func (c *Control) standing(now time.Duration) relay.HostState {
	s := relay.HostState{Fresh: c.isFresh(now), Leaving: c.leaving(), ReadFailed: c.storeUnavailable}
	if _, known := c.directory.Age(now); known {
		s.Revision, s.Version, s.KeepsLost = c.directory.Revision(), c.configurationVersion(), c.directory.KeepsLost()
	}
	return s
}

// configurationVersion returns the version of the operator's configuration in force, or 0.
func (c *Control) configurationVersion() uint64 {
	if configuration := c.directory.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

func (c *Control) leaving() bool { return c.leaveStarted > 0 }

// handleRead processes the result of a read of the store.
func (c *Control) handleRead(r readResult) {
	now := c.clock()
	c.readPending = false
	c.metrics.recordRead(r)
	batch, apply := c.follower.Done(now, r.read, r.page, r.err)
	if r.err != nil {
		c.handleReadFailure(r)
		return
	}
	c.directory.StoreAnswered(now)
	c.checkEra(r.page.Revision)
	if c.storeUnavailable {
		c.storeUnavailable = false
		c.record(logrus.InfoLevel, timeline.Event{Kind: "store-regained"}, logrus.Fields{"read": r.read.Kind, "took": r.duration})
	}
	if apply {
		// Audits, stale lists and pages of an unfinished list do not prove that this host has all changes.
		source := sourceProvisional
		if !batch.Provisional {
			source = sourceStore
			c.confirmStore(&batch, r.sentAt, now)
		}
		c.apply(batch, source, now)
		if !batch.Provisional {
			c.confirmStore(&batch, r.sentAt, now) // the list of a new era is that of the directory only now
		}
	}
	c.settle(now)
}

// confirmStore records that the store's answer to a read that was sent at sentAt is known. An answer of another era than that of the
// directory proves nothing.
func (c *Control) confirmStore(b *directory.Batch, sentAt, now time.Duration) {
	if b.Revision.Era() == c.directory.Revision().Era() {
		c.directory.StoreAnswered(now)
		c.directory.StoreConfirmed(sentAt)
	}
}

// checkEra records that the store begins to answer with an earlier era than the known one. Such answers are not used.
func (c *Control) checkEra(answered directory.Revision) {
	known := c.directory.Revision()
	earlier := c.directory.Complete() && answered.Era() < known.Era()
	if earlier && !c.earlierEra {
		c.record(logrus.WarnLevel, timeline.Event{Kind: "store-era-earlier"}, logrus.Fields{
			"era": answered.Era(), "known_era": known.Era(), "revision": known,
		})
	}
	c.earlierEra = earlier
}

// settle ends what is kept after the store was restored from a copy, when it is time.
func (c *Control) settle(now time.Duration) {
	if events := c.directory.Settle(now); len(events) > 0 {
		c.publish(now)
		c.recordChanges(events, sourceStore)
	}
}

func (c *Control) handleReadFailure(r readResult) {
	code := resultcode.Of(r.err)
	inputs := logrus.Fields{"read": r.read.Kind, "after": r.read.After, "took": r.duration, "error": r.err}
	switch {
	case code == resultcode.PlatformHistoryGone:
		c.record(logrus.InfoLevel, timeline.Event{Kind: "history-gone", Code: uint16(code)}, inputs)
		return
	case code == resultcode.PlatformResponse && r.read.Kind == directory.ReadWatch: // the list is read next
		c.directory.StoreFailed()
		c.record(logrus.WarnLevel, timeline.Event{Kind: "response-unusable", Code: uint16(code)}, inputs)
		return
	}
	c.directory.StoreFailed()
	if !c.storeUnavailable {
		c.storeUnavailable = true
		if age, known := c.directory.Age(c.clock()); known {
			inputs["age"] = age
		}
		inputs["revision"] = c.directory.Revision()
		c.record(logrus.WarnLevel, timeline.Event{Kind: "store-lost", Code: uint16(code)}, inputs)
	}
}

// sendReports sends reports to the relay, or from a relay to other relays, and updates what depends on the loads of others.
func (c *Control) sendReports(ctx context.Context, now time.Duration) {
	c.lastReport = now
	standing := c.standing(now)
	for _, to := range c.fleet.DueReports(standing, now) {
		report := &relay.Report{Host: c.fleet.Self(), Leaving: c.leaving(), Freshness: c.freshness(now), WantsChanges: c.fleet.WantsChanges(to, standing, now)}
		report.Loads, report.WholeDataCentre = c.fleet.ReportLoads(to, c.traffic.Loads(), now)
		c.sendReport(ctx, to, report)
	}
	others := c.fleet.PeerLoads(now)
	c.traffic.SetOtherLoads(others)
	c.updateQueues(others, now)
	c.updateColdLimits(now)
	c.metrics.darkTargets.Store(c.traffic.darkTargets.Load())
	if age, known := c.directory.Age(now); known {
		c.metrics.storeAge.Store(age.Milliseconds())
	}
	c.metrics.version.Store(c.configurationVersion())
	c.metrics.storeEra.Store(int64(c.directory.Revision().Era()))
}

func (c *Control) freshness(now time.Duration) relay.Freshness {
	age, known := c.directory.Age(now)
	confirmed, steady := c.directory.Confirmed(now)
	return relay.Freshness{
		Known: known, Age: age, Confirmed: confirmed, Steady: steady, Revision: c.directory.Revision(), ReadFailed: c.storeUnavailable,
		Version: c.configurationVersion(), KeepsLost: c.directory.KeepsLost(),
	}
}

// handleReport processes the report of another host and returns the reply, with the changes that the other host lacks.
func (c *Control) handleReport(r *relay.Report) *relay.Reply {
	now := c.clock()
	c.fleet.HandleReport(r, now)
	c.refreshSilence(now)
	if r.Early {
		return &relay.Reply{
			Host: c.fleet.Self(), Leaving: c.leaving(), Freshness: c.freshness(now), Early: true, Loads: c.fleet.EarlyReply(r.Host, now),
		}
	}
	reply := &relay.Reply{
		Host: c.fleet.Self(), Leaving: c.leaving(), Freshness: c.freshness(now),
		Hosts: c.fleet.Candidates(r.Host.Name, r.Host.DataCentre, now), HostCount: c.fleet.HostCount(), KnownHosts: c.fleet.KnownHosts(),
		Loads: c.fleet.ReplyLoads(r.Host.Name, r.Host.DataCentre, c.traffic.Loads(), now),
	}
	if r.WantsChanges && c.directory.Complete() {
		reply.Changes = c.changesFor(&r.Freshness, now)
	}
	return reply
}

// changesFor returns what another host lacks. After the store was restored from a copy, that may be more than its changes.
func (c *Control) changesFor(f *relay.Freshness, now time.Duration) directory.Batch {
	own := c.directory.Revision()
	var changes directory.Batch
	if f.Revision < own || f.Revision.Era() == own.Era() && c.directory.KeepsLost() {
		changes = c.directory.ChangesSince(f.Revision, now)
	}
	if f.Version < c.configurationVersion() {
		changes.Configuration, changes.Revision = c.directory.Configuration(), own
	}
	return changes
}

// handleReply processes the result of a report to another host.
func (c *Control) handleReply(r replyResult) {
	now := c.clock()
	if r.err != nil {
		c.fleet.HandleFailure(r.to, now)
		if !c.lostPeers[r.to] {
			c.lostPeers[r.to] = true
			c.record(logrus.InfoLevel, timeline.Event{Kind: "peer-lost", Code: uint16(resultcode.Of(r.err))}, logrus.Fields{
				"peer": r.to, "error": r.err,
			})
		}
		return
	}
	reply := r.reply
	if c.lostPeers[r.to] {
		delete(c.lostPeers, r.to)
		c.record(logrus.InfoLevel, timeline.Event{Kind: "peer-regained", Member: reply.Host.Name}, logrus.Fields{"peer": r.to})
	}
	for _, err := range r.rejected {
		logRejectedRecord(c.log.WithField("source", reply.Host.Name), err)
	}
	c.fleet.HandleReply(reply, now)
	if reply.Early {
		c.fleet.HandlePollReply(reply.Host.Name, r.sentAt)
	}
	if !reply.Changes.IsEmpty() {
		c.apply(reply.Changes, reply.Host.Name, now)
	}
	// The other host's freshness applies to this host only if it has all of the other's changes, of the same era of the store. The
	// time of the freshness is when the report was sent, because this process may have been paused since.
	f, own := reply.Freshness, c.directory.Revision()
	if f.Known && f.Revision <= own && f.Revision.Era() == own.Era() {
		c.directory.StoreReportedByPeer(r.sentAt-f.Age, r.sentAt-f.Confirmed, f.Steady)
	}
	c.settle(now)
}

// updateQueues updates the metrics of work waiting for each service, and records when a lasting queue builds up or disappears.
func (c *Control) updateQueues(others directory.Loads, now time.Duration) {
	view := c.traffic.View()
	if view == nil {
		return
	}
	queues := steer.Queues(view.Snapshot(), c.traffic.Loads(), others)
	c.metrics.queues.Store(&queues)
	for _, e := range c.queueWatch.Update(queues, now) {
		kind, level := "queue-gone", logrus.InfoLevel
		if e.Grown {
			kind, level = "queue-grown", logrus.WarnLevel
		}
		c.record(level, timeline.Event{Kind: kind, Service: e.Service}, logrus.Fields{
			"waiting": e.Waiting, "slots": e.Slots, "for": e.Duration,
		})
	}
}
