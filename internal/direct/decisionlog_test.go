package direct

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// testDecisionLog returns a decision log and what it has written.
func testDecisionLog(t *testing.T) (*decisionLog, *bytes.Buffer) {
	t.Helper()
	out := &bytes.Buffer{}
	log, err := logging.New(out, "info", "h")
	if err != nil {
		t.Fatal(err)
	}
	return newDecisionLog(log), out
}

// Guards against a flood of flows that fills the log, and against omitted lines that are not reported.
func TestDecisionLogIsBounded(t *testing.T) {
	l, out := testDecisionLog(t)
	refused := steer.Decision{Action: steer.Refuse, Code: resultcode.RefusedNoTarget}
	for range 10 * maxDecisionLines {
		l.logDecision(&steer.Packet{Open: true}, &refused, nil, 10*time.Second)
	}
	l.logDecision(&steer.Packet{Open: true}, &refused, nil, 10*time.Second+decisionInterval)
	text := out.String()
	if n := strings.Count(text, "event=flow-refuse"); n != maxDecisionLines+1 {
		t.Errorf("got %d lines, want %d", n, maxDecisionLines+1)
	}
	if !strings.Contains(text, "event=decisions-left-out") || !strings.Contains(text, "count=900") {
		t.Error("log does not contain the number of omitted lines")
	}
}

// Guards against a log line for each packet that follows an earlier decision.
func TestForwardedPacketsAreNotLogged(t *testing.T) {
	l, out := testDecisionLog(t)
	l.logDecision(&steer.Packet{}, &steer.Decision{Action: steer.Forward, Target: &steer.Target{}}, nil, 0)
	if out.Len() > 0 {
		t.Errorf("got log output %q, want none", out.String())
	}
}

// Guards against a change of belief about a target, or of the room for a service, that is not logged with its inputs.
func TestChangesOfBalanceAreLogged(t *testing.T) {
	l, out := testDecisionLog(t)
	target := &steer.Target{}
	target.Name, target.Service = "i-1", "ingest"
	l.logBalance(
		[]steer.SlowChange{{Target: target, Slow: true, Factor: 4.125, OwnAnswers: 2, PeerAnswers: 30}, {Target: target, Factor: 1}},
		[]steer.HandOnChange{{Service: "ingest", HandedOn: 0.25, LocalPending: 70, LocalSlots: 40}, {Service: "ingest"}}, time.Second)
	for _, want := range []string{
		"event=target-slow", "factor=4.13", "peer_answers=30", "target=i-1", "event=target-usual", "event=hand-on-start", "part=0.25",
		"pending=70", "event=hand-on-end",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log does not contain %s:\n%s", want, out.String())
		}
	}
}

// Guards against probes of dark targets that the log cannot tell from other flows, and resets of probes from other resets.
func TestProbesAreLogged(t *testing.T) {
	l, out := testDecisionLog(t)
	l.logDecision(&steer.Packet{Open: true}, &steer.Decision{Action: steer.Forward, Target: &steer.Target{}, Placed: true, Probe: true}, nil, 0)
	l.logDecision(&steer.Packet{}, &steer.Decision{Action: steer.Break, Code: resultcode.TargetLost, Probe: true}, nil, 0)
	l.logDecision(&steer.Packet{}, &steer.Decision{Action: steer.Break, Code: resultcode.TargetLost}, nil, 0)
	if n := strings.Count(out.String(), "probe=true"); n != 2 {
		t.Errorf("%d of 3 lines tell of a probe, want 2:\n%s", n, out.String())
	}
}
