package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
)

// Planned size, from section 1.3 of the design page.
const (
	plannedMembers  = 118 // balancers of one data centre
	plannedNodes    = 830
	plannedTargets  = 4600 // over all data centres
	plannedFlows    = 17e6 // open, over all nodes
	plannedNewFlows = 52e3 // a second, over all nodes
	plannedCPU      = 1.9  // % of a core for control, per node
	plannedMemory   = 256  // MB per node
	plannedTraffic  = 19   // KB/s of control traffic per node
)

const (
	settleTime  = 4 * time.Second
	measureTime = 10 * time.Second
)

// usage is what one balancer used on average during a measurement.
type usage struct {
	CPU     float64 `json:"cpu_percent"` // of a core
	Memory  float64 `json:"memory_mb"`
	Traffic float64 `json:"control_kb_s"` // probes and peer messages, sent
	Packets float64 `json:"packets_s"`    // packets received by the forwarding path
	Flows   float64 `json:"open_flows"`
	Calls   float64 `json:"platform_calls_s"` // over all balancers
}

// point is a measurement at one size.
type point struct {
	X float64 `json:"x"`
	usage
}

// capacity measures how the cost of a balancer grows with the number of balancers, open flows and new flows, and
// projects it to the planned size.
func capacity(ctx context.Context, r *Run) error {
	members, err := r.costOfMembers(ctx, []int{2, 8, 24, 64})
	if err != nil {
		return err
	}
	flows, err := r.costOfFlows(ctx, []int{0, 10000, 20000, 41000})
	if err != nil {
		return err
	}
	rates, err := r.costOfNewFlows(ctx, []float64{0, 1000, 2000, 4000})
	if err != nil {
		return err
	}
	targets, err := r.costOfTargets(ctx, []int{20, 200, 650})
	if err != nil {
		return err
	}
	addresses, err := r.costOfAddresses([]int{10, 100, 1300})
	if err != nil {
		return err
	}
	r.Report.Figures["by_targets"], r.Report.Figures["by_addresses"] = targets, addresses
	r.Report.Figures["by_members"], r.Report.Figures["by_open_flows"], r.Report.Figures["by_new_flows"] = members, flows, rates
	r.project(members, flows, rates)
	for _, p := range []struct {
		name, x string
		points  []point
	}{{"members", "balancers", members}, {"flows", "open flows per balancer", flows}, {"rate", "new flows a second per balancer", rates}, {"targets", "targets", targets}} {
		r.Report.plotPoints(p.name, p.x, p.points)
	}
	return r.writeProjection(members, flows, rates, targets, addresses)
}

// costOfMembers measures balancers without traffic, each with its planned share of the targets, which balancers probe.
func (r *Run) costOfMembers(ctx context.Context, sizes []int) ([]point, error) {
	var points []point
	for _, n := range sizes {
		if _, err := r.deploy(ctx, Options{Balancers: n, Services: servicesWith(n * plannedTargets / plannedNodes)}); err != nil {
			return nil, err
		}
		u, err := r.measure(ctx)
		if err != nil {
			return nil, err
		}
		r.Progress.Step("%d balancers without traffic: %.2f%% of a core, %.1f MB, %.2f KB/s each", n, u.CPU, u.Memory, u.Traffic)
		points = append(points, point{float64(n), u})
	}
	return points, nil
}

// costOfFlows measures idle open flows.
func (r *Run) costOfFlows(ctx context.Context, sizes []int) ([]point, error) {
	const balancers = 2
	rounds := Rounds()
	rounds.TargetCount = 30 // within their limit of connections
	if _, err := r.deploy(ctx, Options{Balancers: balancers, Services: []Service{rounds}}); err != nil {
		return nil, err
	}
	var points []point
	open := 0
	four, _ := endpoints(1)
	for _, n := range sizes {
		if n > open {
			plan := caller.Plan{Sessions: []caller.Sessions{{
				Name: fmt.Sprintf("up to %d", n), Service: "rounds", Endpoint: four, Count: n - open, OpenPerS: openRate, AnswerBytes: 10,
			}}}
			if err := r.deployment.StartCallers(ctx, plan); err != nil {
				return nil, err
			}
			if err := r.waitSessions(ctx, n, time.Minute); err != nil {
				return nil, err
			}
			open = n
		}
		u, err := r.measure(ctx)
		if err != nil {
			return nil, err
		}
		r.Progress.Step("%d open flows on %d balancers: %.2f%% of a core, %.1f MB each", n, balancers, u.CPU, u.Memory)
		points = append(points, point{u.Flows, u})
	}
	return points, nil
}

// costOfNewFlows measures short requests; the rates are per balancer.
func (r *Run) costOfNewFlows(ctx context.Context, rates []float64) ([]point, error) {
	const balancers = 2
	s := Claims()
	s.TargetCount = 15
	if _, err := r.deploy(ctx, Options{Balancers: balancers, Services: []Service{Rounds(), s}}); err != nil {
		return nil, err
	}
	var points []point
	for _, rate := range rates {
		load := requestLoad(fmt.Sprintf("%g new flows/s", rate), &s, 2, caller.Step{Rate: rate * balancers, Seconds: (settleTime + measureTime + time.Second).Seconds()})
		if err := r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{load}}); err != nil {
			return nil, err
		}
		u, err := r.measure(ctx)
		if err != nil {
			return nil, err
		}
		r.Progress.Step("%g new flows/s per balancer: %.1f%% of a core, %.2f KB/s, %.0f packets/s each", rate, u.CPU, u.Traffic, u.Packets)
		points = append(points, point{rate, u})
		if err := sleep(ctx, 2*time.Second); err != nil {
			return nil, err
		}
	}
	return points, nil
}

// reading is the state of all balancers at one time.
type reading struct {
	at      time.Time
	cpu     time.Duration
	memory  float64
	traffic float64
	packets float64
	flows   float64
	calls   float64
	count   float64
}

func (r *Run) read(ctx context.Context) (reading, error) {
	d := r.deployment
	now := reading{at: time.Now()}
	for _, b := range d.Running() {
		s, err := d.Status(ctx, b)
		if err != nil {
			return now, err
		}
		cpu, memory, err := processUsage(b.process.cmd.Process.Pid)
		if err != nil {
			return now, err
		}
		now.count++
		now.cpu += cpu
		now.memory += memory
		now.traffic += float64(s.Counters["probe-bytes-sent"] + s.Counters["peer-bytes-sent"])
		now.flows += float64(s.Flows.Open)
		for name, n := range s.Counters {
			if strings.HasPrefix(name, "action-") {
				now.packets += float64(n)
			}
		}
	}
	platform, err := d.PlatformCounters(ctx)
	now.calls = float64(platform.Config + platform.Hosts)
	return now, err
}

// measure returns the average usage of a balancer, once it has settled.
func (r *Run) measure(ctx context.Context) (usage, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return usage{}, err
	}
	a, err := r.read(ctx)
	if err != nil {
		return usage{}, err
	}
	if err := sleep(ctx, measureTime); err != nil {
		return usage{}, err
	}
	b, err := r.read(ctx)
	if err != nil {
		return usage{}, err
	}
	seconds := b.at.Sub(a.at).Seconds()
	each := seconds * b.count
	return usage{
		CPU: 100 * (b.cpu - a.cpu).Seconds() / each, Memory: b.memory / b.count, Traffic: (b.traffic - a.traffic) / 1000 / each,
		Packets: (b.packets - a.packets) / each, Flows: b.flows / b.count, Calls: (b.calls - a.calls) / seconds,
	}, nil
}

// processUsage returns the processor time and resident memory, in MB, of a process of this experiment.
func processUsage(pid int) (time.Duration, float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The fields after the name in parentheses; see proc_pid_stat(5).
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.New("unexpected form of process statistics")
	}
	var user, system, pages int64
	for i, to := range map[int]*int64{11: &user, 12: &system, 21: &pages} {
		if _, err := fmt.Sscan(fields[i], to); err != nil {
			return 0, 0, err
		}
	}
	const ticks = 100 // a second, on every Linux platform that Go supports
	return time.Duration(user+system) * time.Second / ticks, float64(pages) * float64(os.Getpagesize()) / 1e6, nil
}

// fit returns the line through the points by least squares.
func fit(points []point, y func(*usage) float64) (at0, slope float64) {
	var n, sx, sy, sxx, sxy float64
	for i := range points {
		x, v := points[i].X, y(&points[i].usage)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+v, sxx+x*x, sxy+x*v
	}
	slope = ratio(n*sxy-sx*sy, n*sxx-sx*sx)
	return (sy - slope*sx) / n, slope
}

// project adds the cost of a node at the planned size: that of the planned number of members, plus the planned share
// of flows.
func (r *Run) project(members, flows, rates []point) {
	at := func(points []point, x float64, y func(*usage) float64) float64 {
		base, slope := fit(points, y)
		return base + slope*x
	}
	cpu := func(u *usage) float64 { return u.CPU }
	memory := func(u *usage) float64 { return u.Memory }
	traffic := func(u *usage) float64 { return u.Traffic }
	_, perFlow := fit(flows, memory)
	_, perNew := fit(rates, traffic)
	_, cpuPerNew := fit(rates, cpu)
	rep := r.Report
	rep.AtMost("control traffic at 2,000 new flows/s per balancer", at(rates, 2000, traffic), 4, "KB/s")
	rep.AtMost("planned size: control, processor", at(members, plannedMembers, cpu), plannedCPU, "% of a core")
	rep.AtMost("planned size: memory", at(members, plannedMembers, memory)+perFlow*plannedFlows/plannedNodes, plannedMemory, "MB")
	rep.AtMost("planned size: control traffic", at(members, plannedMembers, traffic)+perNew*plannedNewFlows/plannedNodes, plannedTraffic, "KB/s")
	rep.Show("memory per open flow", perFlow*1e6, "bytes")
	rep.Show("processor time per new short flow", cpuPerNew*1e4, "µs")
}

func (r *Report) plotPoints(name, x string, points []point) {
	p := Plot{Name: name, Title: "cost of a balancer", XLabel: x, YLabel: "value"}
	for _, s := range []struct {
		name string
		y    func(*usage) float64
	}{
		{"processor, % of a core", func(u *usage) float64 { return u.CPU }},
		{"memory, MB", func(u *usage) float64 { return u.Memory }},
		{"control traffic, KB/s", func(u *usage) float64 { return u.Traffic }},
	} {
		line := Series{Name: s.name}
		for i := range points {
			line.X, line.Y = append(line.X, points[i].X), append(line.Y, s.y(&points[i].usage))
		}
		p.Series = append(p.Series, line)
	}
	r.Plots = append(r.Plots, p)
}

// writeProjection writes the goals and the fitted laws as Markdown, for docs/CAPACITY.md.
func (r *Run) writeProjection(members, flows, rates, targets []point, addresses []bundleCost) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Command: `make capacity SEED=%d`\n\n| measure | projected | limit |\n|---|---|---|\n", r.Seed)
	for _, g := range r.Report.Goals {
		fmt.Fprintf(&b, "| %s | %.4g %s | %s |\n", g.Measure, g.Value, g.Unit, g.Goal)
	}
	b.WriteString("\n| law | measured (x: y) | fit | largest residual | unit of y |\n|---|---|---|---|---|\n")
	cpu := func(u *usage) float64 { return u.CPU }
	memory := func(u *usage) float64 { return u.Memory }
	traffic := func(u *usage) float64 { return u.Traffic }
	calls := func(u *usage) float64 { return u.Calls }
	for _, x := range []struct {
		name   string
		points []point
	}{{"balancers of the data centre", members}, {"targets", targets}, {"open flows per balancer", flows}, {"new flows/s per balancer", rates}} {
		b.WriteString(law("processor", x.name, "% of a core", x.points, cpu))
		b.WriteString(law("memory", x.name, "MB", x.points, memory))
		b.WriteString(law("control traffic sent", x.name, "KB/s", x.points, traffic))
	}
	b.WriteString(law("platform calls, all balancers", "balancers of the data centre", "calls/s", members, calls))
	b.WriteString("\n| addresses | envelope, bytes | judged in | published in | memory |\n|---|---|---|---|---|\n")
	for _, c := range addresses {
		fmt.Fprintf(&b, "| %d | %d | %.1f ms | %.1f ms | %.1f MB |\n", c.Addresses, c.Envelope, c.JudgeMS, c.PublishMS, c.MemoryMB)
	}
	return os.WriteFile(filepath.Join(r.Out, "capacity.md"), []byte(b.String()), 0o644)
}
