package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// misleadingReports compares three slow targets that report their load truthfully with the same targets when they report
// that they are idle and all reports are 5 s old. It does so for the default placement strategy, and for the one that
// places flows by reported load.
func misleadingReports(ctx context.Context, r *Run) error {
	for _, strategy := range []string{"bounded", "leastload"} {
		if err := r.compareMisleadingReports(ctx, strategy); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) compareMisleadingReports(ctx context.Context, strategy string) error {
	const (
		work         = 10 * time.Millisecond
		slowFactor   = 3.0
		misreporting = 3
		reportLagMS  = 5000 // ms
		seconds      = 20
		offered      = 0.5 // of the capacity
	)
	s := Ingest(work)
	s.Placement.Strategy = strategy
	d, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{s}})
	if err != nil {
		return err
	}
	var p99, targetImbalance [2]float64
	for phase, name := range []string{"truthful", "misleading"} {
		for i := range s.TargetCount {
			behaviour := target.Behaviour{}
			if phase == 1 {
				behaviour.ReportLagMS = reportLagMS
			}
			if i < misreporting {
				behaviour.SlowFactor, behaviour.ReportIdle = slowFactor, phase == 1
			}
			if err := d.SetBehaviour(ctx, targetAddress(1, i+1), behaviour); err != nil {
				return err
			}
		}
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		load := requestLoad(fmt.Sprintf("%s, %s reports", strategy, name), &s, 1, caller.Step{Rate: offered * serviceCapacity(&s), Seconds: seconds})
		imbalanceSample := r.sampleImbalance(ctx, seconds*time.Second)
		result, err := r.runLoad(ctx, load)
		if err != nil {
			return err
		}
		p99[phase], targetImbalance[phase] = float64(result.Short.P99)/1000, <-imbalanceSample
	}
	r.Report.Show(strategy+": p99 with truthful reports", p99[0], "ms")
	r.Report.Show(strategy+": imbalance with truthful reports", targetImbalance[0], "")
	r.Report.AtMost(strategy+": p99, misleading over truthful", ratio(p99[1], p99[0]), 1.25, "")
	r.Report.AtMost(strategy+": imbalance, misleading over truthful", ratio(targetImbalance[1], targetImbalance[0]), 1.25, "")
	return r.conclude(ctx)
}

// sampleImbalance samples the requests in progress and queued at each target for the given time. It then sends the maximum
// of the targets' averages divided by their mean.
func (r *Run) sampleImbalance(ctx context.Context, length time.Duration) <-chan float64 {
	result := make(chan float64, 1)
	d := r.deployment
	go func() {
		sums := make(map[string]float64)
		for end := time.Now().Add(length); time.Now().Before(end) && sleep(ctx, 100*time.Millisecond) == nil; {
			targets, err := d.TargetCounters(ctx)
			if err != nil {
				continue
			}
			for _, t := range targets {
				sums[t.Address] += float64(t.InFlight + t.Queue)
			}
		}
		maxSum, total := 0.0, 0.0
		for _, sum := range sums {
			total += sum
			maxSum = max(maxSum, sum)
		}
		result <- ratio(maxSum*float64(len(sums)), total)
	}()
	return result
}

// coldStart adds five cold targets to a service during a demand peak.
func coldStart(ctx context.Context, r *Run) error {
	const (
		warm       = 10
		coldMS     = 10000
		coldFactor = 5
		peak       = 0.8 // of the capacity of the warm targets
	)
	s := Ingest(peakWork)
	s.DeadlineMS = 1000
	d, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{s}})
	if err != nil {
		return err
	}
	targets := d.document.Services[0].Targets
	if err := r.publishTargets(ctx, targets[:warm]); err != nil {
		return err
	}
	load := requestLoad("crest", &s, 1, peakSteps(peak*serviceCapacity(&s)*warm/float64(s.TargetCount))...)
	r.Progress.Step("demand rises; cold targets join at the peak")
	if err := d.StartCallers(ctx, caller.Plan{Loads: []caller.Load{load}}); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration((peakBefore+peakRise+2)*float64(time.Second))); err != nil {
		return err
	}
	for i := warm; i < len(targets); i++ {
		if err := d.SetBehaviour(ctx, targetAddress(1, i+1), target.Behaviour{ColdMS: coldMS, ColdFactor: coldFactor}); err != nil {
			return err
		}
	}
	if err := r.publishTargets(ctx, targets); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration((peakLength+peakAfter)*float64(time.Second))); err != nil {
		return err
	}
	collected, err := r.finish(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	result := &collected.Calls.Loads[0]
	r.Report.AtMost("requests refused, late or without a whole answer", float64(result.Sent-result.InTime), 0,
		fmt.Sprintf("of %d", result.Sent))
	coldRequests := uint64(0)
	for _, t := range collected.Targets[warm:] {
		coldRequests += t.Requests
	}
	r.Report.AtLeast("requests that the cold targets took", float64(coldRequests), 1, "")
	r.Report.plotLoad("load", result)
	r.addPlannedGoals(&collected)
	return nil
}

func (r *Run) publishTargets(ctx context.Context, targets []bundle.Target) error {
	version, err := r.deployment.Publish(ctx, func(doc *bundle.Document) { doc.Services[0].Targets = targets })
	if err != nil {
		return err
	}
	return r.deployment.WaitInForce(ctx, version, activationLimit)
}
