package direct

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/relay"
)

// Guards against an early report that replaces a queued request for changes, and against old evidence that is sent in place of new.
func TestEarlyReportsInQueue(t *testing.T) {
	to := netip.MustParseAddrPort("127.0.0.1:1")
	queue := make(chan *relay.Report, 1)
	x := &Exchange{reportQueues: map[netip.AddrPort]chan *relay.Report{to: queue}}
	for i, step := range []struct {
		report *relay.Report
		queued bool // the report is the queued one afterwards
	}{
		{&relay.Report{Early: true}, true},
		{&relay.Report{Early: true}, true},
		{&relay.Report{WantsChanges: true}, true},
		{&relay.Report{Early: true}, false},
	} {
		x.Send(context.Background(), to, step.report)
		got := <-queue
		if (got == step.report) != step.queued {
			t.Errorf("step %d: queued %+v after %+v", i, got, step.report)
		}
		queue <- got
	}
}

// Guards against a reply to an early report that costs as much as a regular one, and that lacks what the traffic goroutine knows of the
// targets that the report names.
func TestReplyToEarlyReport(t *testing.T) {
	now := time.Minute
	c := newTestControl(t, func() time.Duration { return now }, logrus.New())
	c.apply(singleTargetList(1), sourceStore, now)
	view := c.traffic.View()
	c.traffic.engine.SetView(view)
	token := view.Snapshot().Targets[0].Token()
	sender := relay.Host{Name: "relay", DataCentre: c.fleet.Self().DataCentre, Address: netip.MustParseAddrPort("127.0.0.2:1"), Weight: 9}
	fresh := relay.Freshness{Known: true, Revision: 1}
	c.fleet.HandleReport(&relay.Report{Host: sender, Freshness: fresh}, now)
	c.fleet.DueReports(c.standing(now), now)
	reply := c.handleReport(&relay.Report{
		Host: sender, Freshness: fresh, Early: true, WholeDataCentre: true,
		Loads: directory.Loads{Silence: []directory.Silence{{Token: token, Flows: 1, Hosts: 1, AnswerAge: directory.NoAnswer}}},
	})
	if !reply.Early || len(reply.Hosts) > 0 || len(reply.Loads.Targets) > 0 {
		t.Errorf("reply %+v, want evidence only", reply)
	}
	if !c.traffic.engine.Doubting() {
		t.Error("the engine does not have the evidence of the early report when the reply is made")
	}
}
