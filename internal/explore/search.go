package explore

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Settings bound a search.
type Settings struct {
	Fault     Fault
	Starts    [][]Step // sequences that lead to the states from which the search starts
	Sequences int      // bound on the sequences that are run, over all starts
	Stop      bool     // end at the first violation
}

// Report is the result of a search.
type Report struct {
	Sequences  int // run
	States     int // distinct
	Depth      int // steps after a start up to which every sequence has been run
	Violations []Violation
}

// Violation is a broken rule and the sequence that breaks it.
type Violation struct {
	Rule  string
	Trace string // one line for each step
	Steps []Step
}

// outcome is what one sequence has led to.
type outcome struct {
	steps       []Step
	fingerprint uint64
	next        []Step
	violation   string
}

// Search explores the sequences of steps breadth-first from every start, each depth in full before the next one.
func Search(s Settings) (Report, error) {
	sc, err := newScope()
	if err != nil {
		return Report{}, err
	}
	var r Report
	seen := make(map[uint64]bool)
	frontier := s.Starts
	for depth := 0; len(frontier) > 0; depth++ {
		room := s.Sequences - r.Sequences
		whole := len(frontier) <= room
		if !whole {
			frontier = spread(frontier, room)
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
		if whole {
			r.Depth = depth
		}
		if !whole || s.Stop && len(r.Violations) > 0 {
			break
		}
	}
	r.States = len(seen)
	return r, nil
}

// spread takes n sequences at equal distances, so that a depth that is cut short is sampled under every start.
func spread(sequences [][]Step, n int) [][]Step {
	out := make([][]Step, 0, n)
	for i := range n {
		out = append(out, sequences[i*len(sequences)/n])
	}
	return out
}

// chunk is the number of sequences after which a search that ends at the first violation looks for one.
const chunk = 32

// runAll runs sequences; the results are in the same order. It ends early where the settings say so.
func runAll(sc *scope, s Settings, sequences [][]Step) (out []outcome) {
	if !s.Stop {
		return runParallel(sc, s.Fault, sequences)
	}
	for part := range slices.Chunk(sequences, chunk) {
		out = append(out, runParallel(sc, s.Fault, part)...)
		if slices.ContainsFunc(out, func(o outcome) bool { return o.violation != "" }) {
			break
		}
	}
	return out
}

// runParallel runs sequences on all processors.
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
		text := w.text(s)
		w.run(s)
		fmt.Fprintf(&out, "%2d  %6.3f s  %s", i+1, w.now.Seconds(), text)
		if len(w.notes) > 0 {
			fmt.Fprintf(&out, " -> %s", strings.Join(w.notes, "; "))
		}
		out.WriteByte('\n')
	}
	return out.String()
}
