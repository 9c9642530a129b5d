package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// mislead compares three slow targets that report the truth with the same targets reporting that they are idle, all
// reports being 5 s old. It does so for the default strategy and for the one that follows reports.
func mislead(ctx context.Context, r *Run) error {
	for _, strategy := range []string{"bounded", "leastload"} {
		if err := r.misleadStrategy(ctx, strategy); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) misleadStrategy(ctx context.Context, strategy string) error {
	const (
		work    = 10 * time.Millisecond
		slow    = 3.0
		liars   = 3
		lag     = 5000 // ms
		seconds = 20
		part    = 0.5 // of the capacity
	)
	s := Ingest(work)
	s.Placement.Strategy = strategy
	d, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{s}})
	if err != nil {
		return err
	}
	var p99, spread [2]float64
	for phase, name := range []string{"truthful", "misleading"} {
		for i := range s.Count {
			b := target.Behaviour{}
			if phase == 1 {
				b.ReportLagMS = lag
			}
			if i < liars {
				b.SlowFactor, b.ReportIdle = slow, phase == 1
			}
			if err := d.SetBehaviour(ctx, targetAddress(1, i+1), b); err != nil {
				return err
			}
		}
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		load := request(fmt.Sprintf("%s, %s reports", strategy, name), &s, 1, caller.Step{Rate: part * capacityOf(&s), Seconds: seconds})
		sampled := r.sampleWork(ctx, seconds*time.Second)
		result, err := r.runLoad(ctx, load)
		if err != nil {
			return err
		}
		p99[phase], spread[phase] = float64(result.Short.P99)/1000, <-sampled
	}
	r.Report.Show(strategy+": p99 with truthful reports", p99[0], "ms")
	r.Report.Show(strategy+": imbalance with truthful reports", spread[0], "")
	r.Report.AtMost(strategy+": p99, misleading over truthful", ratio(p99[1], p99[0]), 1.25, "")
	r.Report.AtMost(strategy+": imbalance, misleading over truthful", ratio(spread[1], spread[0]), 1.25, "")
	return r.conclude(ctx)
}

// sampleWork returns the maximum over the mean of the targets' average work in progress, once the time is over.
func (r *Run) sampleWork(ctx context.Context, length time.Duration) <-chan float64 {
	result := make(chan float64, 1)
	d := r.deployment
	go func() {
		sums := make(map[string]float64)
		for end := time.Now().Add(length); time.Now().Before(end) && sleep(ctx, 100*time.Millisecond) == nil; {
			targets, err := d.Targets(ctx)
			if err != nil {
				continue
			}
			for _, t := range targets {
				sums[t.Address] += float64(t.InFlight + t.Queue)
			}
		}
		most, sum := 0.0, 0.0
		for _, v := range sums {
			sum += v
			most = max(most, v)
		}
		result <- ratio(most*float64(len(sums)), sum)
	}()
	return result
}

// coldStart lets five cold targets join at the crest.
func coldStart(ctx context.Context, r *Run) error {
	const (
		warm       = 10
		coldMS     = 10000
		coldFactor = 5
		peak       = 0.8 // of the capacity of the warm targets
	)
	s := Ingest(crestWork)
	s.DeadlineMS = 1000
	d, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{s}})
	if err != nil {
		return err
	}
	all := d.document.Services[0].Targets
	if err := r.publishTargets(ctx, all[:warm]); err != nil {
		return err
	}
	load := request("crest", &s, 1, crestSteps(peak*capacityOf(&s)*warm/float64(s.Count))...)
	r.Progress.Step("demand rises; cold targets join at the crest")
	if err := d.Call(ctx, caller.Plan{Loads: []caller.Load{load}}); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration((crestBefore+crestRise+2)*float64(time.Second))); err != nil {
		return err
	}
	for i := warm; i < len(all); i++ {
		if err := d.SetBehaviour(ctx, targetAddress(1, i+1), target.Behaviour{ColdMS: coldMS, ColdFactor: coldFactor}); err != nil {
			return err
		}
	}
	if err := r.publishTargets(ctx, all); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration((crestLength+crestAfter)*float64(time.Second))); err != nil {
		return err
	}
	o, err := r.finish(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	l := &o.Calls.Loads[0]
	r.Report.AtMost("requests refused, late or without a whole answer", float64(l.Sent-l.InTime), 0, fmt.Sprintf("of %d", l.Sent))
	taken := uint64(0)
	for _, t := range o.Targets[warm:] {
		taken += t.Requests
	}
	r.Report.AtLeast("requests that the cold targets took", float64(taken), 1, "")
	r.Report.plotLoad("load", l)
	r.addPlannedGoals(&o)
	return nil
}

func (r *Run) publishTargets(ctx context.Context, targets []bundle.Target) error {
	version, err := r.deployment.Publish(ctx, func(doc *bundle.Document) { doc.Services[0].Targets = targets })
	if err != nil {
		return err
	}
	return r.deployment.WaitInForce(ctx, version, activationLimit)
}
