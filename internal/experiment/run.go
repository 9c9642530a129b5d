package experiment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// Config configures the run of an experiment.
type Config struct {
	Bin      string // directory that holds the program binaries
	Out      string // directory that the results are written to
	Seed     uint64
	Scale    float64 // fraction of the full number of flows and requests; 0 means 1
	Progress Progress
}

// Run is one run of an experiment, with its report and its current deployment.
type Run struct {
	Config
	Report     *Report
	name       string
	deployment *Deployment
}

type experiment func(ctx context.Context, r *Run) error

// experiments maps the name of each experiment to its function.
var experiments = map[string]experiment{
	"atmostonce": atMostOnce,
	"bundles":    bundles,
	"capacity":   capacity,
	"coldstart":  coldStart,
	"crest":      demandPeak,
	"demo":       demo,
	"headofline": headOfLine,
	"kill":       killBalancers,
	"limits":     limits,
	"mislead":    misleadingReports,
	"partition":  partition,
	"pause":      pause,
	"replace":    replaceAll,
}

// Names returns the names of all experiments, sorted.
func Names() []string { return slices.Sorted(maps.Keys(experiments)) }

// Do runs the named experiment and writes its report. On an error, the report of a known experiment may be incomplete.
func Do(ctx context.Context, name string, c Config) (*Report, error) {
	run := experiments[name]
	if run == nil {
		return nil, fmt.Errorf("unknown experiment %q; known experiments are %v", name, Names())
	}
	if c.Scale == 0 {
		c.Scale = 1
	}
	r := &Run{Config: c, Report: NewReport(name, c.Seed), name: name}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return r.Report, err
	}
	err := run(ctx, r)
	if r.deployment != nil {
		if err == nil {
			err = r.deployment.Check()
		}
		r.deployment.Stop()
	}
	path, writeErr := r.Report.Write(c.Out)
	if writeErr == nil {
		c.Progress.Step("results written to %s", path)
	}
	return r.Report, errors.Join(err, writeErr)
}

// deploy starts a deployment for the run, and first stops the previous one, if any.
func (r *Run) deploy(ctx context.Context, o Options) (*Deployment, error) {
	if r.deployment != nil {
		r.deployment.Stop()
		r.deployment = nil
	}
	o.Bin, o.Seed, o.Progress = r.Bin, r.Seed, r.Progress
	o.Dir = filepath.Join(r.Out, r.name)
	if err := os.RemoveAll(o.Dir); err != nil {
		return nil, err
	}
	r.Progress.Step("starting %d balancers and %d targets", o.Balancers, len(targetSpecs(o.Services)))
	d, err := Start(ctx, o)
	r.deployment = d
	return d, err
}

// scaled returns n flows or requests multiplied by the scale of the run, and at least 1.
func (r *Run) scaled(n int) int { return max(1, int(float64(n)*r.Scale)) }

// outcome holds the results that callers, targets and balancers report for a run.
type outcome struct {
	Calls         caller.Result
	Targets       []target.Counters
	Runs          target.Summary
	FalseRefusals []target.KnownFlow
	Statuses      []Status
}

// finish stops the callers, collects the results of the run and adds them to the figures of the report.
func (r *Run) finish(ctx context.Context, wait time.Duration) (o outcome, err error) {
	d := r.deployment
	r.Progress.Step("closing sessions")
	for _, b := range d.Running() {
		if s, err := d.Status(ctx, b); err == nil {
			o.Statuses = append(o.Statuses, s)
		}
	}
	if o.Calls, err = d.FinishCallers(ctx, wait); err != nil {
		return o, err
	}
	if o.Targets, err = d.TargetCounters(ctx); err != nil {
		return o, err
	}
	if o.Runs, err = d.TargetSummary(ctx); err != nil {
		return o, err
	}
	if o.FalseRefusals, err = d.FalseRefusals(ctx); err != nil {
		return o, err
	}
	r.Report.Figures["calls"] = o.Calls
	r.Report.Figures["targets"] = o.Targets
	r.Report.Figures["runs"] = o.Runs
	r.Report.Figures["false_refusals"] = o.FalseRefusals
	r.Report.Figures["status"] = o.Statuses
	if fabric, err := d.FabricCounters(ctx); err == nil {
		r.Report.Figures["fabric"] = fabric
	}
	if platform, err := d.PlatformCounters(ctx); err == nil {
		r.Report.Figures["platform"] = platform
	}
	return o, nil
}

// openSessions returns the number of sessions that were opened during the run.
func (o *outcome) openSessions() (n uint64) {
	for _, g := range o.Calls.Sessions {
		n += g.Opened
	}
	return n
}

// brokenSessions returns the number of sessions that failed to open, ended early, or lost, truncated or reordered data.
func (o *outcome) brokenSessions() (n uint64) {
	for _, g := range o.Calls.Sessions {
		n += g.Broken + g.Refused + g.OpenTimedOut + g.Lost + g.Truncated + g.Reordered
	}
	return n
}

// brokenRequests returns the number of requests that got neither a complete answer nor a refusal.
func (o *outcome) brokenRequests() (n uint64) {
	for _, l := range o.Calls.Loads {
		n += l.Reset + l.TimedOut + l.Truncated
	}
	return n
}

func (o *outcome) refusedRequests() (n uint64) {
	for _, l := range o.Calls.Loads {
		n += l.Refused
	}
	return n
}

func (o *outcome) requests() (n uint64) {
	for _, l := range o.Calls.Loads {
		n += l.Sent
	}
	return n
}

// crossServicePackets returns the number of packets and answers that reached a target or a caller of another service.
func (o *outcome) crossServicePackets() (n uint64) {
	for _, t := range o.Targets {
		n += t.Foreign
	}
	for _, g := range o.Calls.Sessions {
		n += g.Foreign
	}
	for _, l := range o.Calls.Loads {
		n += l.Foreign
	}
	return n
}

// mismatchedAnswers counts answers to another request, and answers on a session from another target than its own.
func (o *outcome) mismatchedAnswers() (n uint64) {
	for _, g := range o.Calls.Sessions {
		n += g.Mixed
	}
	for _, l := range o.Calls.Loads {
		n += l.Mixed
	}
	return n
}

// falseRefusals returns the number of flows and requests that were refused as not run although a target had received them.
func (o *outcome) falseRefusals() uint64 {
	n := uint64(len(o.FalseRefusals))
	for _, l := range o.Calls.Loads {
		n += l.RefusedAfterAnswer
	}
	return n
}

// lateFlows returns the number of new flows that targets received more than 3 s after they started to leave.
func (o *outcome) lateFlows() (n uint64) {
	for _, t := range o.Targets {
		n += t.LateFlows
	}
	return n
}

// addSafetyGoals adds the goals that must hold in every run, whichever faults it injects.
func (r *Run) addSafetyGoals(o *outcome) {
	r.Report.Show("requests refused as not run", float64(o.refusedRequests()), fmt.Sprintf("of %d", o.requests()))
	r.Report.AtMost("foreign packets", float64(o.crossServicePackets()), 0, "")
	r.Report.AtMost("answers mixed up", float64(o.mismatchedAnswers()), 0, "")
	r.Report.AtMost("requests run twice", float64(len(o.Runs.Twice)), 0, "")
	r.Report.AtMost("false refusals", float64(o.falseRefusals()), 0, "")
	requested := 0
	for _, f := range o.FalseRefusals {
		if f.Request {
			requested++
		}
	}
	r.Report.Show("false refusals after a request, and not only a SYN, reached a target", float64(requested), "")
	r.Report.AtMost("new flows at leaving targets after 3 s", float64(o.lateFlows()), 0, "")
}

// addPlannedGoals adds the goals of runs in which every change is planned and no balancer fails, and the safety goals.
func (r *Run) addPlannedGoals(o *outcome) {
	r.Report.AtMost("broken sessions", float64(o.brokenSessions()), 0, fmt.Sprintf("of %d", o.openSessions()))
	r.Report.AtMost("requests without a whole answer", float64(o.brokenRequests()), 0, fmt.Sprintf("of %d", o.requests()))
	r.addSafetyGoals(o)
}

// imbalance returns the maximum over the mean of the open connections of the targets of a service that take new flows.
func imbalance(all []target.Counters, service string, leaving ...string) float64 {
	sum, largest, n := 0, 0, 0
	for _, t := range all {
		if t.Service != service || slices.Contains(leaving, t.Address) {
			continue
		}
		n++
		sum += t.Connections
		largest = max(largest, t.Connections)
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(n) / float64(sum)
}

// waitForSessions waits until n sessions are open or have failed to open. The results count failures as broken sessions.
func (r *Run) waitForSessions(ctx context.Context, n int, limit time.Duration) error {
	return waitEvery(ctx, 500*time.Millisecond, limit, func(ctx context.Context) error {
		result, err := r.deployment.CallerResult(ctx)
		if err != nil {
			return err
		}
		open := 0
		for _, g := range result.Sessions {
			open += int(g.Opened + g.Refused + g.OpenTimedOut)
		}
		if open < n {
			return fmt.Errorf("%d of %d sessions are open or have failed to open", open, n)
		}
		return nil
	})
}
