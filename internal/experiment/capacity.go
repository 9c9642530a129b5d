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

// Planned size and the budget of each node, from section 1.3 of the design page.
const (
	plannedMembers  = 118 // balancers of one data centre
	plannedNodes    = 830
	plannedTargets  = 4600 // over all data centres
	plannedFlows    = 17e6 // open flows, over all nodes
	plannedNewFlows = 52e3 // new flows a second, over all nodes
	plannedCPU      = 1.9  // % of a core for the control plane, per node
	plannedMemory   = 256  // MB, per node
	plannedTraffic  = 19   // KB/s of control traffic, per node
)

// Times of each measurement.
const (
	settleTime  = 4 * time.Second  // wait before the first sample
	measureTime = 10 * time.Second // time between the two samples
)

// usage is the average resource usage of one balancer during a measurement.
type usage struct {
	CPU     float64 `json:"cpu_percent"` // percent of one core
	Memory  float64 `json:"memory_mb"`
	Traffic float64 `json:"control_kb_s"` // probes and peer messages that were sent
	Packets float64 `json:"packets_s"`    // packets received by the forwarding path
	Flows   float64 `json:"open_flows"`
	Calls   float64 `json:"platform_calls_s"` // over all balancers
}

// point is the usage measured at one value of the independent variable X.
type point struct {
	X float64 `json:"x"`
	usage
}

// capacity measures how the resource usage of a balancer grows with the number of balancers, targets, open flows, new flows
// and addresses, and extrapolates it to the planned size.
func capacity(ctx context.Context, r *Run) error {
	members, err := r.measureMembers(ctx, []int{2, 8, 24, 64})
	if err != nil {
		return err
	}
	flows, err := r.measureOpenFlows(ctx, []int{0, 10000, 20000, 41000})
	if err != nil {
		return err
	}
	rates, err := r.measureNewFlows(ctx, []float64{0, 1000, 2000, 4000})
	if err != nil {
		return err
	}
	targets, err := r.measureTargets(ctx, []int{20, 200, 650})
	if err != nil {
		return err
	}
	addresses, err := r.measureAddresses([]int{10, 100, 1300})
	if err != nil {
		return err
	}
	r.Report.Figures["by_targets"], r.Report.Figures["by_addresses"] = targets, addresses
	r.Report.Figures["by_members"], r.Report.Figures["by_open_flows"], r.Report.Figures["by_new_flows"] = members, flows, rates
	r.addProjection(members, flows, rates)
	for _, p := range []struct {
		name, x string
		points  []point
	}{{"members", "balancers", members}, {"flows", "open flows per balancer", flows}, {"rate", "new flows a second per balancer", rates}, {"targets", "targets", targets}} {
		r.Report.plotPoints(p.name, p.x, p.points)
	}
	return r.writeProjection(members, flows, rates, targets, addresses)
}

// measureMembers measures deployments without traffic by their number of balancers. The number of targets, which the
// balancers probe, grows in the planned proportion.
func (r *Run) measureMembers(ctx context.Context, sizes []int) ([]point, error) {
	var points []point
	for _, n := range sizes {
		if _, err := r.deploy(ctx, Options{Balancers: n, Services: sessionServices(n * plannedTargets / plannedNodes)}); err != nil {
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

// measureOpenFlows measures balancers by the number of their open flows, which are idle.
func (r *Run) measureOpenFlows(ctx context.Context, sizes []int) ([]point, error) {
	const balancers = 2
	rounds := Rounds()
	rounds.TargetCount = 30 // enough for all flows within the connection limit of the targets
	if _, err := r.deploy(ctx, Options{Balancers: balancers, Services: []Service{rounds}}); err != nil {
		return nil, err
	}
	var points []point
	open := 0
	ipv4, _ := endpoints(1)
	for _, n := range sizes {
		if n > open {
			plan := caller.Plan{Sessions: []caller.Sessions{{
				Name: fmt.Sprintf("up to %d", n), Service: "rounds", Endpoint: ipv4, Count: n - open, OpenPerS: openRate, AnswerBytes: 10,
			}}}
			if err := r.deployment.StartCallers(ctx, plan); err != nil {
				return nil, err
			}
			if err := r.waitForSessions(ctx, n, time.Minute); err != nil {
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

// measureNewFlows measures balancers by the rate of short requests. Each of the rates is in requests a second per balancer.
func (r *Run) measureNewFlows(ctx context.Context, rates []float64) ([]point, error) {
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

// usageSample holds sums over all running balancers, and the calls that the platform received, at one time.
type usageSample struct {
	at      time.Time
	cpu     time.Duration
	memory  float64
	traffic float64
	packets float64
	flows   float64
	calls   float64
	count   float64
}

// sampleUsage reads the status and the process statistics of all running balancers, and the call counters of the platform.
func (r *Run) sampleUsage(ctx context.Context) (usageSample, error) {
	d := r.deployment
	sample := usageSample{at: time.Now()}
	for _, b := range d.Running() {
		s, err := d.Status(ctx, b)
		if err != nil {
			return sample, err
		}
		cpu, memory, err := processUsage(b.process.cmd.Process.Pid)
		if err != nil {
			return sample, err
		}
		sample.count++
		sample.cpu += cpu
		sample.memory += memory
		sample.traffic += float64(s.Counters["probe-bytes-sent"] + s.Counters["peer-bytes-sent"])
		sample.flows += float64(s.Flows.Open)
		for name, n := range s.Counters {
			if strings.HasPrefix(name, "action-") {
				sample.packets += float64(n)
			}
		}
	}
	platform, err := d.PlatformCounters(ctx)
	sample.calls = float64(platform.Config + platform.Hosts)
	return sample, err
}

// measure waits for settleTime, so that start-up work is over, and returns the average usage of a balancer over measureTime.
func (r *Run) measure(ctx context.Context) (usage, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return usage{}, err
	}
	a, err := r.sampleUsage(ctx)
	if err != nil {
		return usage{}, err
	}
	if err := sleep(ctx, measureTime); err != nil {
		return usage{}, err
	}
	b, err := r.sampleUsage(ctx)
	if err != nil {
		return usage{}, err
	}
	seconds := b.at.Sub(a.at).Seconds()
	balancerSeconds := seconds * b.count
	return usage{
		CPU: 100 * (b.cpu - a.cpu).Seconds() / balancerSeconds, Memory: b.memory / b.count,
		Traffic: (b.traffic - a.traffic) / 1000 / balancerSeconds, Packets: (b.packets - a.packets) / balancerSeconds,
		Flows: b.flows / b.count, Calls: (b.calls - a.calls) / seconds,
	}, nil
}

// processUsage returns the processor time and the resident memory, in MB, of the process with the id pid.
func processUsage(pid int) (time.Duration, float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The fields start after the name, which is in parentheses; see proc_pid_stat(5).
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.New("process statistics have too few fields")
	}
	var user, system, pages int64
	for i, to := range map[int]*int64{11: &user, 12: &system, 21: &pages} {
		if _, err := fmt.Sscan(fields[i], to); err != nil {
			return 0, 0, err
		}
	}
	const ticks = 100 // clock ticks a second, on every Linux platform that Go supports
	return time.Duration(user+system) * time.Second / ticks, float64(pages) * float64(os.Getpagesize()) / 1e6, nil
}

// fit returns the least-squares line through the points.
func fit(points []point, y func(*usage) float64) (intercept, slope float64) {
	var n, sx, sy, sxx, sxy float64
	for i := range points {
		x, v := points[i].X, y(&points[i].usage)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+v, sxx+x*x, sxy+x*v
	}
	slope = ratio(n*sxy-sx*sy, n*sxx-sx*sx)
	return (sy - slope*sx) / n, slope
}

// addProjection adds the goals for one node at the planned size. The projected usage is that of a balancer among the planned
// number of members, plus that of its share of the planned flows.
func (r *Run) addProjection(members, flows, rates []point) {
	at := func(points []point, x float64, y func(*usage) float64) float64 {
		base, slope := fit(points, y)
		return base + slope*x
	}
	cpu := func(u *usage) float64 { return u.CPU }
	memory := func(u *usage) float64 { return u.Memory }
	traffic := func(u *usage) float64 { return u.Traffic }
	_, memPerFlow := fit(flows, memory)
	_, trafficPerNewFlow := fit(rates, traffic)
	_, cpuPerNewFlow := fit(rates, cpu)
	rep := r.Report
	rep.AtMost("control traffic at 2,000 new flows/s per balancer", at(rates, 2000, traffic), 4, "KB/s")
	rep.AtMost("planned size: control, processor", at(members, plannedMembers, cpu), plannedCPU, "% of a core")
	rep.AtMost("planned size: memory", at(members, plannedMembers, memory)+memPerFlow*plannedFlows/plannedNodes,
		plannedMemory, "MB")
	rep.AtMost("planned size: control traffic", at(members, plannedMembers, traffic)+trafficPerNewFlow*plannedNewFlows/plannedNodes,
		plannedTraffic, "KB/s")
	rep.Show("memory per open flow", memPerFlow*1e6, "bytes")
	rep.Show("processor time per new short flow", cpuPerNewFlow*1e4, "µs")
}

// plotPoints adds a plot of processor, memory and control traffic by the variable x.
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

// writeProjection writes the goals and the fitted lines as Markdown tables to capacity.md, for docs/CAPACITY.md.
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
		b.WriteString(fitRow("processor", x.name, "% of a core", x.points, cpu))
		b.WriteString(fitRow("memory", x.name, "MB", x.points, memory))
		b.WriteString(fitRow("control traffic sent", x.name, "KB/s", x.points, traffic))
	}
	b.WriteString(fitRow("platform calls, all balancers", "balancers of the data centre", "calls/s", members, calls))
	b.WriteString("\n| addresses | envelope, bytes | judged in | published in | memory |\n|---|---|---|---|---|\n")
	for _, c := range addresses {
		fmt.Fprintf(&b, "| %d | %d | %.1f ms | %.1f ms | %.1f MB |\n", c.Addresses, c.Envelope, c.EvaluateMS, c.PublishMS, c.MemoryMB)
	}
	return os.WriteFile(filepath.Join(r.Out, "capacity.md"), []byte(b.String()), 0o644)
}
