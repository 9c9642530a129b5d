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

// Guards against a flood of flows that fills the log, and against lines that are left out without a word.
func TestDecisionLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := logging.New(&out, "info", "h")
	if err != nil {
		t.Fatal(err)
	}
	l := newDecisionLog(log)
	refused := steer.Decision{Action: steer.Refuse, Code: resultcode.RefusedNoTarget}
	for range 10 * decisionLines {
		l.decision(&steer.Packet{Open: true}, &refused, nil, 10*time.Second)
	}
	l.decision(&steer.Packet{Open: true}, &refused, nil, 10*time.Second+decisionInterval)
	text := out.String()
	if n := strings.Count(text, "event=flow-refuse"); n != decisionLines+1 {
		t.Errorf("%d lines, want %d", n, decisionLines+1)
	}
	if !strings.Contains(text, "event=decisions-left-out") || !strings.Contains(text, "count=900") {
		t.Error("no word of what was left out")
	}
}

// Guards against packets that follow an earlier decision and are logged one by one.
func TestForwardedPacketsAreNotLogged(t *testing.T) {
	var out bytes.Buffer
	log, err := logging.New(&out, "info", "h")
	if err != nil {
		t.Fatal(err)
	}
	newDecisionLog(log).decision(&steer.Packet{}, &steer.Decision{Action: steer.Forward, Target: &steer.Target{}}, nil, 0)
	if out.Len() > 0 {
		t.Errorf("logged %q", out.String())
	}
}
