package standin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// overload returns a load with more work than the slots of the targets can finish in time.
func overload() caller.Load {
	l := load("udp", endpoint4)
	l.Steps, l.WorkMicros, l.RepeatMS = []caller.Step{{Rate: 300, Seconds: 1}}, 50_000, -1
	return l
}

// Guards against targets that run requests after their deadline or cancellation, and callers that miscount them.
func TestDeadlineAndCancellation(t *testing.T) {
	tests := []struct {
		name      string
		configure func(*caller.Load)
		count     func(*caller.LoadCounts) uint64
	}{
		{"deadline", func(l *caller.Load) { l.DeadlineMS = 200 }, func(c *caller.LoadCounts) uint64 { return c.Late }},
		{"cancellation", func(l *caller.Load) { l.CancelMS = 200 }, func(c *caller.LoadCounts) uint64 { return c.Canceled }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, target.Behaviour{})
			l := overload()
			tt.configure(&l)
			s.startPlan(t, caller.Plan{Loads: []caller.Load{l}})
			time.Sleep(1200 * time.Millisecond)
			r := s.caller.Finish(t.Context(), 10*time.Second)
			c := &r.Loads[0].LoadCounts
			if tt.count(c) == 0 || c.OK == 0 || c.OK+tt.count(c) != c.Sent {
				t.Errorf("got counts %+v; want requests of both outcomes, which add up to those sent", c)
			}
			if runs := s.targets.Runs(); len(runs.Twice) > 0 {
				t.Errorf("%d requests were run twice, want none", len(runs.Twice))
			}
		})
	}
}

// Guards against new flows at a leaving target that are counted as late too early, or not at all.
func TestLateFlows(t *testing.T) {
	s := start(t, target.Behaviour{Leaving: true})
	l := load("udp", endpoint4)
	l.Steps = []caller.Step{{Rate: 50, Seconds: 4}}
	s.startPlan(t, caller.Plan{Loads: []caller.Load{l}})
	time.Sleep(2500 * time.Millisecond)
	if n := sumCounters(s, func(c target.Counters) uint64 { return c.LateFlows }); n > 0 {
		t.Errorf("%d flows count as late within the first %d ms of leaving, want none", n, target.NewFlowGraceMS)
	}
	time.Sleep(1500 * time.Millisecond)
	if sumCounters(s, func(c target.Counters) uint64 { return c.LateFlows }) == 0 {
		t.Error("targets counted no late flow, want some")
	}
}

// Guards against silent connections that respond, and against new connections that are silent too.
func TestSilentConnections(t *testing.T) {
	s := start(t, target.Behaviour{})
	s.startPlan(t, caller.Plan{Sessions: []caller.Sessions{sessions(endpoint4)}})
	time.Sleep(500 * time.Millisecond)
	s.targets.SetBehaviour(netip.Addr{}, target.Behaviour{SilentOld: true})
	time.Sleep(300 * time.Millisecond)
	before := s.caller.Result().Sessions[0].Answers
	s.startPlan(t, caller.Plan{Sessions: []caller.Sessions{sessions(endpoint4)}})
	time.Sleep(500 * time.Millisecond)
	r := s.caller.Result()
	if r.Sessions[0].Answers != before || r.Sessions[1].Answers < 50 {
		t.Errorf("old sessions: %d responses, then %d, want no change; new sessions: %d, want at least 50",
			before, r.Sessions[0].Answers, r.Sessions[1].Answers)
	}
}

// Guards against load and health reports that ignore the configured lag, idle load or draining state.
func TestReports(t *testing.T) {
	s := start(t, target.Behaviour{})
	l := overload()
	l.Steps[0].Seconds = 10
	s.startPlan(t, caller.Plan{Loads: []caller.Load{l}})
	time.Sleep(500 * time.Millisecond)
	var load target.Load
	var health target.Health
	s.report(t, "/load", &load)
	if load.InFlight != 2 || load.Slots != 2 || load.Queue == 0 {
		t.Errorf("got load %+v; want 2 of 2 slots in use and a queue", load)
	}
	s.targets.SetBehaviour(netip.Addr{}, target.Behaviour{ReportIdle: true, Drain: true})
	s.report(t, "/load", &load)
	s.report(t, "/health", &health)
	if load.InFlight+load.Queue != 0 || health.State != "draining" {
		t.Errorf("got load %+v and health %+v; want no load, and draining", load, health)
	}
	s.targets.SetBehaviour(netip.Addr{}, target.Behaviour{ReportLagMS: 10000, Shed: target.ShedICMP})
	s.report(t, "/health", &health)
	if health.State != "serving" {
		t.Errorf("got health %+v, want serving, the state of 10 s ago", health)
	}
}

// report reads a report of the first target into v.
func (s *setup) report(t *testing.T, path string, v any) {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", targets[0], s.relay.port, path))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(v); err != nil {
		t.Fatal(err)
	}
}
