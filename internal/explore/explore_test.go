package explore

import (
	"strings"
	"testing"
)

const faultSequences = 3000 // maximum number of sequences to find an injected fault

// placed is the sequence that places both flows on targets and settles.
var placed = []Step{{Op: Packet, Flow: datagramFlow}, {Op: Packet, Flow: sessionFlow}, {Op: Settle}}

// starts are the sequences that lead to the states from which the search starts.
var starts = [][]Step{
	{},
	placed,
	{{Op: Packet, Flow: sessionFlow}, {Op: Restart}},
	{{Op: Packet, Flow: sessionFlow}, {Op: Wait}, {Op: Restart}},
	after(Step{Op: Activate}),
	after(Step{Op: Activate, Host: 1}),
	after(Step{Op: Leave}),
	after(Step{Op: Pause}, Step{Op: DeclareGone}),
	after(Step{Op: Restart}, Step{Op: Settle}),
	after(Step{Op: Activate}, Step{Op: Restart}),
	after(Step{Op: Activate}, Step{Op: Restart}, Step{Op: Activate}),
}

func after(steps ...Step) []Step { return append(placed[:len(placed):len(placed)], steps...) }

// Guards against lost and duplicated messages, pauses, restarts and differing versions that deliver a packet to a target of
// another service or a flow to two targets, or that put an older version in force.
func TestSmallScope(t *testing.T) {
	r, err := Search(Settings{Starts: starts, Sequences: searchBound})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d sequences run, %d distinct states, complete up to %d steps after each start", r.Sequences, r.States, r.Depth)
	shown := make(map[string]bool)
	for _, v := range r.Violations {
		if !shown[v.Rule] {
			shown[v.Rule] = true
			t.Errorf("%s:\n%s", v.Rule, v.Trace)
		}
	}
}

// Guards against rules that detect nothing: the search must find each injected fault.
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
			r, err := Search(Settings{Fault: c.fault, Starts: [][]Step{c.start}, Sequences: faultSequences, StopAtFirst: true})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) == 0 {
				t.Fatalf("expected a violation, got none in %d sequences and %d states", r.Sequences, r.States)
			}
			v := r.Violations[0]
			if lines := strings.Count(v.Trace, "\n"); lines != len(v.Steps) {
				t.Errorf("the trace has %d lines, expected one for each of the %d steps", lines, len(v.Steps))
			}
			t.Logf("found after %d sequences: %s\n%s", r.Sequences, v.Rule, v.Trace)
		})
	}
}
