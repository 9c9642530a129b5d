package explore

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Settings configures a search.
type Settings struct {
	Fault       Fault
	Starts      [][]Step // sequences that lead to the states from which the search starts
	Sequences   int      // maximum number of sequences to run, over all starts
	StopAtFirst bool     // stop soon after the first violation
}

// Report is the result of a search.
type Report struct {
	Sequences  int // number of sequences run
	States     int // number of distinct states
	Depth      int // number of steps after each start up to which all sequences have been run
	Violations []Violation
}

// Violation is a violated rule with the sequence that violates it.
type Violation struct {
	Rule  string // description of the violation
	Trace string // one line for each step
	Steps []Step
}

// outcome is the result of one sequence.
type outcome struct {
	steps       []Step
	fingerprint uint64
	next        []Step
	violation   string
}

// Search explores the sequences of steps breadth-first from all starts and completes each depth before the next one. When the
// remaining sequences do not suffice for a depth, it runs a sample of the depth and ends. The error is non-nil if the scope
// cannot be set up.
func Search(s Settings) (Report, error) {
	sc, err := newScope()
	if err != nil {
		return Report{}, err
	}
	var r Report
	seen := make(map[uint64]bool)
	frontier := s.Starts
	for depth := 0; len(frontier) > 0; depth++ {
		remaining := s.Sequences - r.Sequences
		complete := len(frontier) <= remaining
		if !complete {
			frontier = sample(frontier, remaining)
		}
		results := runAll(sc, s, frontier)
		r.Sequences += len(results)
		frontier = nil
		for _, o := range results {
			if o.violation != "" {
				r.Violations = append(r.Violations, Violation{Rule: o.violation, Trace: trace(sc, s.Fault, o.steps), Steps: o.steps})
				continue
			}
			if seen[o.fingerprint] {
				continue
			}
			seen[o.fingerprint] = true
			for _, next := range o.next {
				frontier = append(frontier, append(o.steps[:len(o.steps):len(o.steps)], next))
			}
		}
		if complete {
			r.Depth = depth
		}
		if !complete || s.StopAtFirst && len(r.Violations) > 0 {
			break
		}
	}
	r.States = len(seen)
	return r, nil
}

// sample returns n evenly spaced sequences, so that the sample of a depth includes sequences of every start.
func sample(sequences [][]Step, n int) [][]Step {
	out := make([][]Step, 0, n)
	for i := range n {
		out = append(out, sequences[i*len(sequences)/n])
	}
	return out
}

// chunkSize is the number of sequences after which a search with StopAtFirst checks for violations.
const chunkSize = 32

// runAll runs sequences and returns the outcomes in the same order. With StopAtFirst, it stops after the chunk that contains
// the first violation.
func runAll(sc *scope, s Settings, sequences [][]Step) (out []outcome) {
	if !s.StopAtFirst {
		return runParallel(sc, s.Fault, sequences)
	}
	for part := range slices.Chunk(sequences, chunkSize) {
		out = append(out, runParallel(sc, s.Fault, part)...)
		if slices.ContainsFunc(out, func(o outcome) bool { return o.violation != "" }) {
			break
		}
	}
	return out
}

// runParallel runs sequences on all processors and returns the outcomes in the same order.
func runParallel(sc *scope, fault Fault, sequences [][]Step) []outcome {
	out := make([]outcome, len(sequences))
	var (
		next atomic.Int64
		g    sync.WaitGroup
	)
	for range runtime.GOMAXPROCS(0) {
		g.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(sequences); i = int(next.Add(1)) - 1 {
				out[i] = replay(sc, fault, sequences[i])
			}
		})
	}
	g.Wait()
	return out
}

// replay runs a sequence from the initial state.
func replay(sc *scope, fault Fault, steps []Step) outcome {
	w := newWorld(sc, fault)
	for _, s := range steps {
		w.run(s)
	}
	return outcome{steps: steps, fingerprint: w.fingerprint(), next: w.enabled(), violation: w.violation}
}

// trace replays a sequence and describes it, one line for each step.
func trace(sc *scope, fault Fault, steps []Step) string {
	var out strings.Builder
	w := newWorld(sc, fault)
	for i, s := range steps {
		text := w.describe(s)
		w.run(s)
		fmt.Fprintf(&out, "%2d  %6.3f s  %s", i+1, w.now.Seconds(), text)
		if len(w.notes) > 0 {
			fmt.Fprintf(&out, " -> %s", strings.Join(w.notes, "; "))
		}
		out.WriteByte('\n')
	}
	return out.String()
}
