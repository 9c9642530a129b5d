package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
)

// Sizes of the demo. At the crest a request takes demoWork, so that the four targets with two slots can answer 2,000 a
// second.
const (
	demoSessions  = 600
	demoWork      = 4 * time.Millisecond
	demoRate      = 300.0 // requests a second outside the crest
	demoCrest     = 6     // the crest as a multiple of demoRate
	demoDeadline  = 500   // ms
	longFactor    = 100   // long work takes this many times as long
	longShare     = 0.05
	demoLongShort = 1 * time.Millisecond // short work of the comparison with long work
)

// demo shows a deployment at work: sessions and requests while a target drains and a balancer is replaced.
func demo(ctx context.Context, r *Run) error {
	d, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{Rounds(), Claims()}})
	if err != nil {
		return err
	}
	if err := d.StartCallers(ctx, caller.Plan{Sessions: demoPlan(r.scaled(demoSessions / 2))}); err != nil {
		return err
	}
	if err := r.waitSessions(ctx, 2*r.scaled(demoSessions/2), 10*time.Second); err != nil {
		return err
	}
	targets, err := d.TargetCounters(ctx)
	if err != nil {
		return err
	}
	spread := imbalance(targets, "rounds")

	drained := targetAddress(1, 1)
	r.Progress.Step("%d sessions are open; target %s drains by its own signal", 2*r.scaled(demoSessions/2), drained)
	if err := d.Drain(ctx, drained, DrainByHealthEndpoint); err != nil {
		return err
	}
	for _, phase := range demoLoads() {
		r.Progress.Step("%s", phase.Name)
		if err := d.StartCallers(ctx, caller.Plan{Loads: []caller.Load{phase}}); err != nil {
			return err
		}
		if err := sleep(ctx, lengthOf(&phase)+300*time.Millisecond); err != nil {
			return err
		}
	}
	steady := udpLoad("during replacement", 2, demoRate, 30, demoLongShort)
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
	r.planned(&o)
	r.reportDemo(&o, spread)
	return nil
}

func demoPlan(each int) []caller.Sessions {
	four, six := endpoints(1)
	s := caller.Sessions{
		Name: "sessions over IPv4", Service: "rounds", Endpoint: four, Count: each, OpenPerS: 600,
		IntervalMS: 500, FeedMS: 250, AnswerBytes: 200,
	}
	t := s
	t.Name, t.Endpoint = "sessions over IPv6", six
	return []caller.Sessions{s, t}
}

// udpLoad returns a stream of requests to a UDP service, counted from 1.
func udpLoad(name string, service int, rate, seconds float64, work time.Duration) caller.Load {
	four, _ := endpoints(service)
	return caller.Load{
		Name: name, Service: "claims", Endpoint: four, Protocol: "udp", WorkMicros: uint32(work.Microseconds()),
		AnswerBytes: 100, Steps: []caller.Step{{Rate: rate, Seconds: seconds}},
	}
}

func demoLoads() []caller.Load {
	short := udpLoad("short work alone", 2, demoRate, 2, demoLongShort)
	mixed := udpLoad("short and long work", 2, demoRate, 2, demoLongShort)
	mixed.LongFraction, mixed.LongMicros = longShare, uint32((longFactor * demoLongShort).Microseconds())
	crest := udpLoad(fmt.Sprintf("crest: demand ×%d", demoCrest), 2, demoRate, 1, demoWork)
	crest.DeadlineMS = demoDeadline
	base := demoRate
	crest.Steps = append(crest.Steps, caller.Step{Rate: demoCrest * demoRate, RampFrom: &base, Seconds: 1}, caller.Step{Rate: demoCrest * demoRate, Seconds: 1})
	return []caller.Load{short, mixed, crest}
}

func lengthOf(l *caller.Load) time.Duration {
	var s float64
	for _, step := range l.Steps {
		s += step.Seconds
	}
	return time.Duration(s * float64(time.Second))
}

func (r *Run) reportDemo(o *outcome, spread float64) {
	r.Report.Show("imbalance of open sessions, maximum over mean", spread, "")
	alone, mixed, crest := &o.Calls.Loads[0], &o.Calls.Loads[1], &o.Calls.Loads[2]
	r.Report.Show("crest: answered within the deadline", 100*float64(crest.InTime)/float64(max(crest.Sent, 1)), "% of requests")
	r.Report.Show("crest: refused as not run", 100*float64(crest.Refused)/float64(max(crest.Sent, 1)), "% of requests")
	r.Report.Show("short work alone, p99", float64(alone.Short.P99)/1000, "ms")
	r.Report.Show("short work beside long work, p99", float64(mixed.Short.P99)/1000, "ms")
	if alone.Short.P99 > 0 {
		r.Report.Show("head-of-line blocking, ratio of the two", float64(mixed.Short.P99)/float64(alone.Short.P99), "")
	}
}
