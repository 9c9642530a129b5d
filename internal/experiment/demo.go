package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
)

// Sizes of the demo. A request of the peak load takes demoPeakWork, so the four targets with two slots each can answer 2,000
// requests a second.
const (
	demoSessions   = 600
	demoPeakWork   = 4 * time.Millisecond
	demoRate       = 300.0                // requests a second outside the peak
	demoPeakFactor = 6                    // rate at the peak as a multiple of demoRate
	demoDeadline   = 500                  // ms
	longWorkFactor = 100                  // duration of long work as a multiple of that of short work
	longWorkShare  = 0.05                 // fraction of requests with long work
	demoShortWork  = 1 * time.Millisecond // short work in the comparison with long work
)

// demo shows a deployment under sessions and requests while a target drains and a balancer is replaced.
func demo(ctx context.Context, r *Run) error {
	d, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{Rounds(), Claims()}})
	if err != nil {
		return err
	}
	if err := d.StartCallers(ctx, caller.Plan{Sessions: demoSessionPlans(r.scaled(demoSessions / 2))}); err != nil {
		return err
	}
	if err := r.waitForSessions(ctx, 2*r.scaled(demoSessions/2), 10*time.Second); err != nil {
		return err
	}
	targets, err := d.TargetCounters(ctx)
	if err != nil {
		return err
	}
	sessionImbalance := imbalance(targets, "rounds")

	drained := targetAddress(1, 1)
	r.Progress.Step("%d sessions are open; draining target %s by its own signal", 2*r.scaled(demoSessions/2), drained)
	if err := d.Drain(ctx, drained, DrainByHealthEndpoint); err != nil {
		return err
	}
	for _, phase := range demoLoads() {
		r.Progress.Step("%s", phase.Name)
		if err := d.StartCallers(ctx, caller.Plan{Loads: []caller.Load{phase}}); err != nil {
			return err
		}
		if err := sleep(ctx, loadDuration(&phase)+300*time.Millisecond); err != nil {
			return err
		}
	}
	steady := udpLoad("during replacement", 2, demoRate, 30, demoShortWork)
	if err := d.StartCallers(ctx, caller.Plan{Loads: []caller.Load{steady}}); err != nil {
		return err
	}
	r.Progress.Step("replacing balancer b2")
	if err := d.Replace(ctx, d.Balancer(2)); err != nil {
		return err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	o, err := r.finish(ctx, 10*time.Second)
	if err != nil {
		return err
	}
	r.addPlannedGoals(&o)
	r.reportDemo(&o, sessionImbalance)
	return nil
}

// demoSessionPlans returns the plans of count sessions over IPv4 and of as many over IPv6.
func demoSessionPlans(count int) []caller.Sessions {
	ipv4, ipv6 := endpoints(1)
	s := caller.Sessions{
		Name: "sessions over IPv4", Service: "rounds", Endpoint: ipv4, Count: count, OpenPerS: 600,
		IntervalMS: 500, FeedMS: 250, AnswerBytes: 200,
	}
	t := s
	t.Name, t.Endpoint = "sessions over IPv6", ipv6
	return []caller.Sessions{s, t}
}

// udpLoad returns a load of requests at a constant rate to the UDP service at the given position, from 1.
func udpLoad(name string, service int, rate, seconds float64, work time.Duration) caller.Load {
	ipv4, _ := endpoints(service)
	return caller.Load{
		Name: name, Service: "claims", Endpoint: ipv4, Protocol: "udp", WorkMicros: uint32(work.Microseconds()),
		AnswerBytes: 100, Steps: []caller.Step{{Rate: rate, Seconds: seconds}},
	}
}

// demoLoads returns the loads of the demo in order: short work alone, short beside long work, and a peak of demand.
func demoLoads() []caller.Load {
	short := udpLoad("short work alone", 2, demoRate, 2, demoShortWork)
	shortAndLong := udpLoad("short and long work", 2, demoRate, 2, demoShortWork)
	shortAndLong.LongFraction, shortAndLong.LongMicros = longWorkShare, uint32((longWorkFactor * demoShortWork).Microseconds())
	peak := udpLoad(fmt.Sprintf("crest: demand ×%d", demoPeakFactor), 2, demoRate, 1, demoPeakWork)
	peak.DeadlineMS = demoDeadline
	base := demoRate
	peak.Steps = append(peak.Steps, caller.Step{Rate: demoPeakFactor * demoRate, RampFrom: &base, Seconds: 1}, caller.Step{Rate: demoPeakFactor * demoRate, Seconds: 1})
	return []caller.Load{short, shortAndLong, peak}
}

func loadDuration(l *caller.Load) time.Duration {
	var s float64
	for _, step := range l.Steps {
		s += step.Seconds
	}
	return time.Duration(s * float64(time.Second))
}

// reportDemo adds the session imbalance and the results of the loads of demoLoads to the report.
func (r *Run) reportDemo(o *outcome, sessionImbalance float64) {
	r.Report.Show("imbalance of open sessions, maximum over mean", sessionImbalance, "")
	shortAlone, shortAndLong, peak := &o.Calls.Loads[0], &o.Calls.Loads[1], &o.Calls.Loads[2]
	r.Report.Show("crest: answered within the deadline", 100*float64(peak.InTime)/float64(max(peak.Sent, 1)), "% of requests")
	r.Report.Show("crest: refused as not run", 100*float64(peak.Refused)/float64(max(peak.Sent, 1)), "% of requests")
	r.Report.Show("short work alone, p99", float64(shortAlone.Short.P99)/1000, "ms")
	r.Report.Show("short work beside long work, p99", float64(shortAndLong.Short.P99)/1000, "ms")
	if shortAlone.Short.P99 > 0 {
		r.Report.Show("head-of-line blocking, ratio of the two", float64(shortAndLong.Short.P99)/float64(shortAlone.Short.P99), "")
	}
}
