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

// hookFunc is called with each line of the log.
type hookFunc func(*logrus.Entry)

// Levels implements logrus.Hook.
func (hookFunc) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (f hookFunc) Fire(e *logrus.Entry) error {
	f(e)
	return nil
}

// newTestControl returns the control state of a host that runs by clock and writes to log.
func newTestControl(t *testing.T, clock Clock, log *logrus.Logger) *Control {
	t.Helper()
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	log.SetOutput(io.Discard)
	s := &settings.Direct{Host: settings.DirectHost{Name: "h", DataCentre: "a", Weight: 1}}
	s.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:9000")
	return NewControl(controlParts{
		Settings: s, Log: logrus.NewEntry(log), Clock: clock, Ring: timeline.NewRing("h", timeline.NewClock(time.Now), 16),
		Reader: newStoreReader(nil, clock), Exchange: &Exchange{}, Metrics: m,
		Traffic: &Traffic{engine: steer.NewEngine(), clock: clock, first: make(chan struct{})},
	})
}

// listOf is a complete list of one target.
func listOf(revision uint64) directory.Batch {
	target := &directory.Target{Name: "t-1", ID: 1, Service: "ingest", DataCentre: "a", Capacity: 1, Address: netip.MustParseAddrPort("127.0.0.2:80")}
	return directory.Batch{
		Complete: true, Revision: revision, Configuration: &directory.Configuration{Version: 1, Revision: 1},
		Changes: []directory.Change{{Name: target.Name, Revision: revision, Target: target}},
	}
}

// Replays the start of a host while packets wait in its socket. Guards against a first view that waits until each target of a large
// list is logged.
func TestViewIsInForceBeforeItsChangesAreLogged(t *testing.T) {
	logger := logrus.New()
	c := newTestControl(t, func() time.Duration { return time.Second }, logger)
	listed := 0
	logger.AddHook(hookFunc(func(e *logrus.Entry) {
		if e.Data["event"] == directory.TargetListed.String() {
			listed++
			if c.traffic.View() == nil {
				t.Error("a target is logged before the view is in force")
			}
		}
	}))
	c.apply(listOf(2), sourceStore, time.Second)
	if listed != 1 {
		t.Errorf("%d targets logged", listed)
	}
}

// Replays the start of a whole fleet before a list of many pages. Guards against hosts that all read it, so that the store's link is the
// limit and each call is paid for, and against a fleet in which nobody does.
func TestLongListIsReadByFewAtStart(t *testing.T) {
	other := &relay.Report{Host: relay.Host{Name: "other", DataCentre: "b", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.9:1")}}
	for _, tt := range []struct {
		name      string
		now       time.Duration
		pages     int // of the cheap list that were read
		contact   bool
		most, min int // of 200 hosts
	}{
		{name: "first page, nobody known", now: aloneWait / 2, pages: 1, most: 0},
		{name: "first page, nobody answers", now: aloneWait, pages: 1, min: 200, most: 200},
		{name: "first page, others are there", now: toldWait - 1, pages: 1, contact: true, most: 0},
		{name: "first page, others tell nothing", now: toldWait, pages: 1, contact: true, min: 200, most: 200},
		{name: "provisional list", now: relayUnknownWait - 1, pages: 2, contact: true, most: 0},
		{name: "provisional list, nobody tells", now: relayUnknownWait, pages: 2, contact: true, min: 200, most: 200},
		{name: "before the first read", now: 0, min: 200, most: 200},
	} {
		reads := 0
		for range 200 {
			c := newTestControl(t, func() time.Duration { return tt.now }, logrus.New())
			if tt.contact {
				c.fleet.Reported(other, tt.now)
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
			t.Errorf("%s: %d of 200 hosts read on", tt.name, reads)
		}
	}
	first := 0
	for i := range 640 {
		if relay.NewFleet(relay.Host{Name: fmt.Sprintf("h-%d", i), Address: netip.MustParseAddrPort("127.0.0.1:1")}, nil).ReadsFirst() {
			first++
		}
	}
	seed := relay.NewFleet(relay.Host{Name: "h", Address: netip.MustParseAddrPort("127.0.0.1:1")}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")})
	if first == 0 || first > 30 || !seed.ReadsFirst() {
		t.Errorf("%d of 640 hosts read at once; seeds do: %t", first, seed.ReadsFirst())
	}
}

// Replays the start of a host of a large fleet, which is told of all targets at once. Guards against a log that grows with hosts
// times targets, and against a removal among few changes that leaves no line of its own.
func TestManyTargetsToldAtOnceAreOneLine(t *testing.T) {
	logger := logrus.New()
	c := newTestControl(t, func() time.Duration { return time.Second }, logger)
	var lines []logrus.Fields
	logger.AddHook(hookFunc(func(e *logrus.Entry) { lines = append(lines, e.Data) }))
	list := listOf(2)
	for i := range 599 {
		target := *list.Changes[0].Target
		target.Name, target.ID = fmt.Sprintf("t-%d", i+2), directory.TargetID(i+2)
		list.Changes = append(list.Changes, directory.Change{Name: target.Name, Revision: 2, Target: &target})
	}
	c.apply(list, "h-2", time.Second)
	told := slices.IndexFunc(lines, func(f logrus.Fields) bool { return f["event"] == "targets-told" })
	if len(lines) > 3 || told < 0 || lines[told]["target-listed"] != 600 || lines[told]["source"] != "h-2" || lines[told]["revision"] != uint64(2) {
		t.Fatalf("%d lines, told %v", len(lines), lines[max(told, 0)])
	}
	lines = nil
	c.apply(directory.Batch{Revision: 3, Changes: []directory.Change{{Name: "t-5", Revision: 3, Removed: true}}}, "h-2", time.Second)
	if len(lines) != 1 || lines[0]["event"] != directory.TargetRemoved.String() || lines[0]["target"] != "t-5" {
		t.Errorf("removal logged as %v", lines)
	}
}

// Replays a host that stood still while the record of a target lapsed and came back, and whose first reads afterwards are an audit and
// a page of a list that has further ones. Guards against resets of the target's flows: neither read shows that the target
// has not come back.
func TestReadsThatAreNotAppliedConfirmNothing(t *testing.T) {
	now := time.Second
	c := newTestControl(t, func() time.Duration { return now }, logrus.New())
	c.storeRead(readResult{read: directory.Read{Kind: directory.ReadList}, page: directory.Page{Batch: listOf(2)}, asked: now})
	now = 4 * time.Second
	removal := directory.Batch{Revision: 3, Changes: []directory.Change{{Name: "t-1", Revision: 3, Removed: true}}}
	c.storeRead(readResult{read: directory.Read{Kind: directory.ReadWatch, After: 2}, page: directory.Page{Batch: removal}, asked: now})
	now = 9 * time.Second
	audit := listOf(5)
	audit.Complete = false
	for _, r := range []readResult{
		{read: directory.Read{Kind: directory.ReadAudit}, page: directory.Page{Batch: audit}, asked: now},
		{read: directory.Read{Kind: directory.ReadList}, page: directory.Page{Batch: directory.Batch{Revision: 5}, Next: "t-0"}, asked: now},
	} {
		c.storeRead(r)
		c.publish(now)
		if presence := c.traffic.View().Snapshot().Targets[0].Presence; presence == directory.Gone {
			t.Errorf("after the %v the target counts as ended", r.read.Kind)
		}
	}
	c.storeRead(readResult{read: directory.Read{Kind: directory.ReadList, Page: "t-0"}, page: directory.Page{Batch: listOf(5)}, asked: now})
	if presence := c.traffic.View().Snapshot().Targets[0].Presence; presence != directory.Ready {
		t.Errorf("the target that came back is %v", presence)
	}
}

// Replays the start of a host of a large fleet whose list may be behind: a target of it has left, and the configuration is an older one.
// Guards against a host that serves nobody before its peers do, that goes on with the old list, or tells it to others.
func TestProvisionalListServesUntilCompleteOne(t *testing.T) {
	now := 100 * time.Millisecond
	c := newTestControl(t, func() time.Duration { return now }, logrus.New())
	old := listOf(2)
	old.Configuration = &directory.Configuration{Version: 1, Revision: 1}
	first, last := directory.Read{Kind: directory.ReadAudit}, directory.Read{Kind: directory.ReadAudit, Page: "t-0"}
	c.storeRead(readResult{read: first, page: directory.Page{Batch: directory.Batch{Configuration: old.Configuration, Revision: 9}, Next: "t-0"}, asked: now})
	c.storeRead(readResult{read: last, page: directory.Page{Batch: directory.Batch{Changes: old.Changes, Revision: 9}}, asked: now})
	if ready, state := c.Ready(); !ready || len(c.traffic.View().Snapshot().Targets) != 1 {
		t.Fatalf("state %s with a provisional list", state)
	}
	asker := &relay.Report{Host: relay.Host{Name: "h-2", DataCentre: "a", Address: netip.MustParseAddrPort("127.0.0.3:1"), Weight: 1}, Wants: true}
	if standing, reply := c.standing(now), c.reply(asker); standing.Revision != 0 || reply.Freshness.Known || len(reply.Changes.Changes) > 0 {
		t.Errorf("tells others of its list: %+v, %+v", standing, reply)
	}
	complete := listOf(12)
	complete.Changes[0].Name, complete.Changes[0].Target.Name, complete.Configuration = "t-2", "t-2", &directory.Configuration{Version: 3, Revision: 11}
	c.apply(complete, "h-2", now)
	snapshot := c.traffic.View().Snapshot()
	ready := slices.DeleteFunc(slices.Clone(snapshot.Targets), func(k directory.TargetEntry) bool { return k.Presence != directory.Ready })
	if len(ready) != 1 || ready[0].Name != "t-2" || snapshot.Configuration.Version != 3 || c.standing(now).Revision != 12 {
		t.Errorf("after the complete list: targets %v, version %d", ready, snapshot.Configuration.Version)
	}
	late := directory.Batch{Provisional: true, Changes: old.Changes}
	if c.apply(late, sourceProvisional, now); c.directory.Revision() != 12 || len(c.traffic.View().Snapshot().Targets) != len(snapshot.Targets) {
		t.Error("a provisional list that comes later is taken over")
	}
}
