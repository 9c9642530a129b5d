package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"
)

// Goal is a measured value with the bound that it should keep.
type Goal struct {
	Measure string  `json:"measure"`
	Goal    string  `json:"goal"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit,omitempty"`
	Met     bool    `json:"met"`
}

// Report is the result of a run.
type Report struct {
	Name    string         `json:"name"`
	Seed    uint64         `json:"seed"`
	Goals   []Goal         `json:"goals"`
	Figures map[string]any `json:"figures"`
	Plots   []Plot         `json:"plots,omitempty"`
}

// NewReport returns an empty report.
func NewReport(name string, seed uint64) *Report {
	return &Report{Name: name, Seed: seed, Goals: []Goal{}, Figures: make(map[string]any)}
}

// AtMost adds a value that must not exceed the limit.
func (r *Report) AtMost(measure string, value, limit float64, unit string) {
	r.Goals = append(r.Goals, Goal{Measure: measure, Goal: fmt.Sprintf("at most %g", limit), Value: value, Unit: unit, Met: value <= limit})
}

// AtLeast adds a value that must reach the limit.
func (r *Report) AtLeast(measure string, value, limit float64, unit string) {
	r.Goals = append(r.Goals, Goal{Measure: measure, Goal: fmt.Sprintf("at least %g", limit), Value: value, Unit: unit, Met: value >= limit})
}

// Show adds a value without a bound.
func (r *Report) Show(measure string, value float64, unit string) {
	r.Goals = append(r.Goals, Goal{Measure: measure, Goal: "reported", Value: value, Unit: unit, Met: true})
}

// Missed returns the number of goals that were not met.
func (r *Report) Missed() (n int) {
	for _, g := range r.Goals {
		if !g.Met {
			n++
		}
	}
	return n
}

// Write writes the report as JSON, and its plots, into a directory.
func (r *Report) Write(dir string) (path string, err error) {
	for i := range r.Plots {
		if err := r.Plots[i].write(dir, r.Name); err != nil {
			return "", err
		}
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, r.Name+".json")
	return path, os.WriteFile(path, append(b, '\n'), 0o644)
}

// Print writes the values and their goals as a table.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "MEASURE (%s, seed %d)\tVALUE\tGOAL\tMET\n", r.Name, r.Seed)
	for _, g := range r.Goals {
		met := "yes"
		if !g.Met {
			met = "NO"
		} else if g.Goal == "reported" {
			met = ""
		}
		fmt.Fprintf(w, "%s\t%.4g %s\t%s\t%s\n", g.Measure, g.Value, g.Unit, g.Goal, met)
	}
	return w.Flush()
}

// LineProgress is a Progress that writes one line per step, prefixed with the seconds since it was created.
type LineProgress struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// NewLineProgress returns a LineProgress that writes to out.
func NewLineProgress(out io.Writer) *LineProgress { return &LineProgress{out: out, start: time.Now()} }

// Step implements Progress.
func (l *LineProgress) Step(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "[%5.1fs] %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}
