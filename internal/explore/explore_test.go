package explore

import (
	"strings"
	"testing"
)

const faultBound = 3000 // sequences

// running places both flows and settles.
var running = []Step{{Op: Packet, Flow: datagrams}, {Op: Packet, Flow: session}, {Op: Settle}}

// starts are the sequences that lead to the states from which the search goes on.
var starts = [][]Step{
	{},
	running,
	{{Op: Packet, Flow: session}, {Op: Restart}},
	{{Op: Packet, Flow: session}, {Op: Wait}, {Op: Restart}},
	after(Step{Op: Activate}),
	after(Step{Op: Activate, Host: 1}),
	after(Step{Op: Leave}),
	after(Step{Op: Pause}, Step{Op: DeclareGone}),
	after(Step{Op: Restart}, Step{Op: Settle}),
	after(Step{Op: Activate}, Step{Op: Restart}),
	after(Step{Op: Activate}, Step{Op: Restart}, Step{Op: Activate}),
}

func after(steps ...Step) []Step { return append(running[:len(running):len(running)], steps...) }

// Guards against losses, duplicates, pauses, restarts and unequal versions that make a packet reach another service, a
// flow two targets, or a version fall.
func TestSmallScope(t *testing.T) {
	r, err := Search(Settings{Starts: starts, Sequences: searchBound})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d sequences, %d distinct states, every sequence up to %d steps after each start", r.Sequences, r.States, r.Depth)
	shown := make(map[string]bool)
	for _, v := range r.Violations {
		if !shown[v.Rule] {
			shown[v.Rule] = true
			t.Errorf("%s:\n%s", v.Rule, v.Trace)
		}
	}
}

// Guards against rules that find nothing: each injected fault must be found.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault Fault
		start []Step
	}{
		{"a grant drops its flows", GrantDropsFlows, after(Step{Op: Leave})},
		{"a takeover ignores copies", TakeoverIgnoresCopies, after(Step{Op: Restart})},
		{"an owner decides during a release", DecidesDuringRelease, after(Step{Op: Leave})},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := Search(Settings{Fault: c.fault, Starts: [][]Step{c.start}, Sequences: faultBound, Stop: true})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) == 0 {
				t.Fatalf("%d sequences and %d states do not show the fault", r.Sequences, r.States)
			}
			v := r.Violations[0]
			if lines := strings.Count(v.Trace, "\n"); lines != len(v.Steps) {
				t.Errorf("the trace has %d lines for %d steps", lines, len(v.Steps))
			}
			t.Logf("found after %d sequences: %s\n%s", r.Sequences, v.Rule, v.Trace)
		})
	}
}
