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

// Guards against a flood of flows that fills the log, and against omitted lines that are not reported.
func TestDecisionLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := logging.New(&out, "info", "h")
	if err != nil {
		t.Fatal(err)
	}
	l := newDecisionLog(log)
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
	var out bytes.Buffer
	log, err := logging.New(&out, "info", "h")
	if err != nil {
		t.Fatal(err)
	}
	newDecisionLog(log).logDecision(&steer.Packet{}, &steer.Decision{Action: steer.Forward, Target: &steer.Target{}}, nil, 0)
	if out.Len() > 0 {
		t.Errorf("got log output %q, want none", out.String())
	}
}
