package direct

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/steer"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// hookFunc is a log hook that is called with each line.
type hookFunc func(*logrus.Entry)

// Levels implements logrus.Hook.
func (hookFunc) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (f hookFunc) Fire(e *logrus.Entry) error {
	f(e)
	return nil
}

// newTestControl returns the control state of a host with the clock and the log.
func newTestControl(t *testing.T, clock Clock, log *logrus.Logger) *Control {
	t.Helper()
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	log.SetOutput(io.Discard)
	s := &settings.Direct{Host: settings.DirectHost{Name: "h", DataCentre: "a", Weight: 1}}
	s.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:9000")
	return NewControl(controlDeps{
		Settings: s, Log: logrus.NewEntry(log), Clock: clock, Ring: timeline.NewRing("h", timeline.NewClock(time.Now), 16),
		Reader: newStoreReader(nil, clock), Exchange: &Exchange{}, Metrics: m,
		Traffic: &Traffic{engine: steer.NewEngine(), clock: clock, firstView: make(chan struct{})},
	})
}

// singleTargetList returns a complete list of one target.
func singleTargetList(revision directory.Revision) directory.Batch {
	target := &directory.Target{Name: "t-1", ID: 1, Service: "ingest", DataCentre: "a", Capacity: 1, Address: netip.MustParseAddrPort("127.0.0.2:80")}
	return directory.Batch{
		Complete: true, Revision: revision, Configuration: &directory.Configuration{Version: 1, Revision: 1},
		Changes: []directory.Change{{Name: target.Name, Revision: revision, Target: target}},
	}
}

// A host starts while packets wait in its socket. Guards against a first view that is delayed until each target of a large list
// is logged.
func TestViewIsPublishedBeforeChangesAreLogged(t *testing.T) {
	logger := logrus.New()
	c := newTestControl(t, func() time.Duration { return time.Second }, logger)
	listed := 0
	logger.AddHook(hookFunc(func(e *logrus.Entry) {
		if e.Data["event"] == directory.TargetListed.String() {
			listed++
			if c.traffic.View() == nil {
				t.Error("a target was logged before the view was published")
			}
		}
	}))
	c.apply(singleTargetList(2), sourceStore, time.Second)
	if listed != 1 {
		t.Errorf("got %d targets logged, want 1", listed)
	}
}

// A whole fleet starts and the list has several pages. Guards against all hosts reading it, which saturates the store's link and
// is billed by the call, and against a fleet in which no host reads it.
func TestLongListIsReadByFewHostsAtStart(t *testing.T) {
	other := &relay.Report{Host: relay.Host{Name: "other", DataCentre: "b", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.9:1")}}
	for _, tt := range []struct {
		name      string
		now       time.Duration
		pages     int // number of stale pages read so far
		contact   bool
		most, min int // bounds of the number of hosts that read, out of 200
	}{
		{name: "first page, no peer known", now: noPeerWait / 2, pages: 1, most: 0},
		{name: "first page, no message from a peer", now: noPeerWait, pages: 1, min: 200, most: 200},
		{name: "first page, peers known", now: peerListWait - 1, pages: 1, contact: true, most: 0},
		{name: "first page, no list from peers", now: peerListWait, pages: 1, contact: true, min: 200, most: 200},
		{name: "provisional list", now: noRelayListWait - 1, pages: 2, contact: true, most: 0},
		{name: "provisional list, no list from peers", now: noRelayListWait, pages: 2, contact: true, min: 200, most: 200},
		{name: "before the first read", now: 0, min: 200, most: 200},
	} {
		reads := 0
		for range 200 {
			c := newTestControl(t, func() time.Duration { return tt.now }, logrus.New())
			if tt.contact {
				c.fleet.HandleReport(other, tt.now)
			}
			for page := range tt.pages {
				read := directory.Read{Kind: directory.ReadAudit, Page: []string{"", "i-1"}[page]}
				c.follower.Done(tt.now, read, directory.Page{Next: []string{"i-1", ""}[page]}, nil)
			}
			if c.mustRead(tt.now) {
				reads++
			}
		}
		if reads < tt.min || reads > tt.most {
			t.Errorf("%s: unexpected number of hosts that continue to read: %d of 200", tt.name, reads)
		}
	}
	first := 0
	for i := range 640 {
		if relay.NewFleet(relay.Host{Name: fmt.Sprintf("h-%d", i), Address: netip.MustParseAddrPort("127.0.0.1:1")}, nil).IsInitialReader() {
			first++
		}
	}
	seed := relay.NewFleet(relay.Host{Name: "h", Address: netip.MustParseAddrPort("127.0.0.1:1")}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")})
	if first == 0 || first > 30 || !seed.IsInitialReader() {
		t.Errorf("%d of 640 hosts read at once, want 1 to 30; a seed reads at once: %t, want true", first, seed.IsInitialReader())
	}
}

// A host of a large fleet starts and receives all targets at once from a peer. Guards against a log that grows with the number of
// hosts times targets, and against the removal of a target, among few changes, that is not logged.
func TestManyTargetsFromPeerAreLoggedOnOneLine(t *testing.T) {
	logger := logrus.New()
	c := newTestControl(t, func() time.Duration { return time.Second }, logger)
	var lines []logrus.Fields
	logger.AddHook(hookFunc(func(e *logrus.Entry) { lines = append(lines, e.Data) }))
	list := singleTargetList(2)
	for i := range 599 {
		target := *list.Changes[0].Target
		target.Name, target.ID = fmt.Sprintf("t-%d", i+2), directory.TargetID(i+2)
		list.Changes = append(list.Changes, directory.Change{Name: target.Name, Revision: 2, Target: &target})
	}
	c.apply(list, "h-2", time.Second)
	summary := slices.IndexFunc(lines, func(f logrus.Fields) bool { return f["event"] == "targets-told" })
	if len(lines) > 3 || summary < 0 || lines[summary]["target-listed"] != 600 || lines[summary]["source"] != "h-2" ||
		lines[summary]["revision"] != directory.Revision(2) {
		t.Fatalf("got %d lines, want at most 3 with a summary of 600 targets; summary or first line: %v",
			len(lines), lines[max(summary, 0)])
	}
	lines = nil
	c.apply(directory.Batch{Revision: 3, Changes: []directory.Change{{Name: "t-5", Revision: 3, Removed: true}}}, "h-2", time.Second)
	if len(lines) != 1 || lines[0]["event"] != directory.TargetRemoved.String() || lines[0]["target"] != "t-5" {
		t.Errorf("removal logged as %v, want one line target-removed", lines)
	}
}

// A target's record expires and comes back while the host is paused. The first reads after the pause are an audit and a page of
// an unfinished list. Guards against resets of the target's flows: neither read proves that the target has terminated.
func TestPartialReadsDoNotConfirmRemovals(t *testing.T) {
	now := time.Second
	c := newTestControl(t, func() time.Duration { return now }, logrus.New())
	c.handleRead(readResult{read: directory.Read{Kind: directory.ReadList}, page: directory.Page{Batch: singleTargetList(2)}, sentAt: now})
	now = 4 * time.Second
	removal := directory.Batch{Revision: 3, Changes: []directory.Change{{Name: "t-1", Revision: 3, Removed: true}}}
	c.handleRead(readResult{read: directory.Read{Kind: directory.ReadWatch, After: 2}, page: directory.Page{Batch: removal}, sentAt: now})
	now = 9 * time.Second
	audit := singleTargetList(5)
	audit.Complete = false
	for _, r := range []readResult{
		{read: directory.Read{Kind: directory.ReadAudit}, page: directory.Page{Batch: audit}, sentAt: now},
		{read: directory.Read{Kind: directory.ReadList}, page: directory.Page{Batch: directory.Batch{Revision: 5}, Next: "t-0"}, sentAt: now},
	} {
		c.handleRead(r)
		c.publish(now)
		if presence := c.traffic.View().Snapshot().Targets[0].Presence; presence == directory.Gone {
			t.Errorf("after the %v the target is gone, want another presence", r.read.Kind)
		}
	}
	c.handleRead(readResult{read: directory.Read{Kind: directory.ReadList, Page: "t-0"}, page: directory.Page{Batch: singleTargetList(5)}, sentAt: now})
	if presence := c.traffic.View().Snapshot().Targets[0].Presence; presence != directory.Ready {
		t.Errorf("after the complete list the target is %v, want ready", presence)
	}
}

// A host of a large fleet starts with a stale list that contains a target that has left, and an old configuration. Guards against
// a host that does not serve until it has a complete list, that keeps using the stale list, or that sends it to peers.
func TestProvisionalListIsUsedUntilCompleteList(t *testing.T) {
	now := 100 * time.Millisecond
	c := newTestControl(t, func() time.Duration { return now }, logrus.New())
	old := singleTargetList(2)
	old.Configuration = &directory.Configuration{Version: 1, Revision: 1}
	first, last := directory.Read{Kind: directory.ReadAudit}, directory.Read{Kind: directory.ReadAudit, Page: "t-0"}
	c.handleRead(readResult{read: first, page: directory.Page{Batch: directory.Batch{Configuration: old.Configuration, Revision: 9}, Next: "t-0"}, sentAt: now})
	c.handleRead(readResult{read: last, page: directory.Page{Batch: directory.Batch{Changes: old.Changes, Revision: 9}}, sentAt: now})
	if ready, state := c.Ready(); !ready || len(c.traffic.View().Snapshot().Targets) != 1 {
		t.Fatalf("with a provisional list: state %s, or another number of targets than 1, want ready with 1 target", state)
	}
	asker := &relay.Report{Host: relay.Host{Name: "h-2", DataCentre: "a", Address: netip.MustParseAddrPort("127.0.0.3:1"), Weight: 1}, WantsChanges: true}
	if standing, reply := c.standing(now), c.handleReport(asker); standing.Revision != 0 || reply.Freshness.Known || len(reply.Changes.Changes) > 0 {
		t.Errorf("provisional list is offered to peers: standing %+v, reply %+v", standing, reply)
	}
	complete := singleTargetList(12)
	complete.Changes[0].Name, complete.Changes[0].Target.Name, complete.Configuration = "t-2", "t-2", &directory.Configuration{Version: 3, Revision: 11}
	c.apply(complete, "h-2", now)
	snapshot := c.traffic.View().Snapshot()
	ready := slices.DeleteFunc(slices.Clone(snapshot.Targets), func(k directory.TargetEntry) bool { return k.Presence != directory.Ready })
	if len(ready) != 1 || ready[0].Name != "t-2" || snapshot.Configuration.Version != 3 || c.standing(now).Revision != 12 {
		t.Errorf("after the complete list: got targets %v, version %d, want t-2, version 3", ready, snapshot.Configuration.Version)
	}
	late := directory.Batch{Provisional: true, Changes: old.Changes}
	if c.apply(late, sourceProvisional, now); c.directory.Revision() != 12 || len(c.traffic.View().Snapshot().Targets) != len(snapshot.Targets) {
		t.Error("a provisional list was applied after the complete list")
	}
}
