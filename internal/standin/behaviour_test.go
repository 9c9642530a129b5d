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

// overload is more work than the targets' slots can do in time.
func overload() caller.Load {
	l := load("udp", rounds4)
	l.Steps, l.WorkMicros, l.RepeatMS = []caller.Step{{Rate: 300, Seconds: 1}}, 50_000, -1
	return l
}

// Guards against targets that run work past its deadline or after it was canceled, and against callers that miscount it.
func TestDeadlineAndCancellation(t *testing.T) {
	tests := []struct {
		name  string
		limit func(*caller.Load)
		ended func(*caller.LoadCounts) uint64
	}{
		{"deadline", func(l *caller.Load) { l.DeadlineMS = 200 }, func(c *caller.LoadCounts) uint64 { return c.Late }},
		{"cancellation", func(l *caller.Load) { l.CancelMS = 200 }, func(c *caller.LoadCounts) uint64 { return c.Canceled }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, target.Behaviour{})
			l := overload()
			tt.limit(&l)
			s.startPlan(t, caller.Plan{Loads: []caller.Load{l}})
			time.Sleep(1200 * time.Millisecond)
			r := s.caller.Finish(t.Context(), 10*time.Second)
			c := &r.Loads[0].LoadCounts
			if tt.ended(c) == 0 || c.OK == 0 || c.OK+tt.ended(c) != c.Sent {
				t.Errorf("%+v", c)
			}
			if runs := s.targets.Runs(); len(runs.Twice) > 0 {
				t.Errorf("%d requests were run twice", len(runs.Twice))
			}
		})
	}
}

// Guards against a late new flow at a leaving target that nobody counts.
func TestLateFlows(t *testing.T) {
	s := start(t, target.Behaviour{Leaving: true})
	l := load("udp", rounds4)
	l.Steps = []caller.Step{{Rate: 50, Seconds: 4}}
	s.startPlan(t, caller.Plan{Loads: []caller.Load{l}})
	time.Sleep(2500 * time.Millisecond)
	if n := total(s, func(c target.Counters) uint64 { return c.LateFlows }); n > 0 {
		t.Errorf("%d flows count as late before %d ms", n, target.NewFlowGraceMS)
	}
	time.Sleep(1500 * time.Millisecond)
	if total(s, func(c target.Counters) uint64 { return c.LateFlows }) == 0 {
		t.Error("no late flow counted")
	}
}

// Guards against connections that should go silent but answer, and against new ones that should work but do not.
func TestSilentConnections(t *testing.T) {
	s := start(t, target.Behaviour{})
	s.startPlan(t, caller.Plan{Sessions: []caller.Sessions{sessions(rounds4)}})
	time.Sleep(500 * time.Millisecond)
	s.targets.SetBehaviour(netip.Addr{}, target.Behaviour{SilentOld: true})
	time.Sleep(300 * time.Millisecond)
	before := s.caller.Result().Sessions[0].Answers
	s.startPlan(t, caller.Plan{Sessions: []caller.Sessions{sessions(rounds4)}})
	time.Sleep(500 * time.Millisecond)
	r := s.caller.Result()
	if r.Sessions[0].Answers != before || r.Sessions[1].Answers < 50 {
		t.Errorf("answers on old sessions %d, then %d; on new ones %d", before, r.Sessions[0].Answers, r.Sessions[1].Answers)
	}
}

// Guards against reports that do not lag or mislead as they were told to.
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
		t.Errorf("truthful load %+v", load)
	}
	s.targets.SetBehaviour(netip.Addr{}, target.Behaviour{ReportIdle: true, Drain: true})
	s.report(t, "/load", &load)
	s.report(t, "/health", &health)
	if load.InFlight+load.Queue != 0 || health.State != "draining" {
		t.Errorf("idle load %+v, health %+v", load, health)
	}
	s.targets.SetBehaviour(netip.Addr{}, target.Behaviour{ReportLagMS: 10000, Shed: target.ShedICMP})
	s.report(t, "/health", &health)
	if health.State != "serving" {
		t.Errorf("health %+v, want that of 10 s ago", health)
	}
}

// report reads a report of the first target.
func (s *setup) report(t *testing.T, path string, v any) {
	t.Helper()
	answer, err := http.Get(fmt.Sprintf("http://%s:%d%s", targets[0], s.relay.port, path))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(v); err != nil {
		t.Fatal(err)
	}
}
