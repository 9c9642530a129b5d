package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/fabric"
)

// atMostOnce sends requests that must not run twice, over UDP and TCP, while balancers are killed and paused and the fabric
// loses, duplicates and reorders packets.
func atMostOnce(ctx context.Context, r *Run) error {
	const (
		requests      = 100000
		rate          = 2000.0
		detectionTime = 500 * time.Millisecond
	)
	claims := Claims()
	claims.TargetCount = 8
	orders := claims
	orders.Name, orders.Protocol = "orders", "tcp"
	d, err := r.deploy(ctx, Options{Balancers: fullBalancers, Services: []Service{claims, orders}})
	if err != nil {
		return err
	}
	if err := d.SetFabricConfig(ctx, fabric.Config{Mode: fabric.PerPacket, Loss: 0.005, Duplicate: 0.02, Reorder: 0.02}); err != nil {
		return err
	}
	duration := float64(r.scaled(requests)) / rate
	udp := requestLoad("UDP", &claims, 1, caller.Step{Rate: rate / 2, Seconds: duration})
	udp.RepeatMS = 0 // callers repeat unanswered requests, and the copies must not run again
	tcp := requestLoad("TCP", &orders, 2, caller.Step{Rate: rate / 2, Seconds: duration})
	if err := d.StartCallers(ctx, caller.Plan{Loads: []caller.Load{udp, tcp}}); err != nil {
		return err
	}
	if err := r.injectFaults(ctx, time.Duration(duration*float64(time.Second)), detectionTime); err != nil {
		return err
	}
	o, err := r.finish(ctx, 30*time.Second)
	if err != nil {
		return err
	}
	r.Report.AtLeast("requests", float64(o.requests()), 0.95*float64(r.scaled(requests)), "")
	r.addSafetyGoals(&o)
	r.Report.AtMost("flows given to two targets", float64(len(o.Runs.Moved)), 0, "")
	for _, l := range o.Calls.Loads {
		r.Report.Show(l.Name+": answered", 100*ratio(float64(l.OK), float64(l.Sent)), "% of requests")
		r.Report.Show(l.Name+": refused as not run", float64(l.Refused), "")
		r.Report.Show(l.Name+": outcome unknown", float64(l.Reset+l.TimedOut), "")
	}
	return nil
}

// injectFaults kills, pauses and restarts balancers, and changes the drain state of targets, in rounds until the duration has
// passed.
func (r *Run) injectFaults(ctx context.Context, duration, detectionTime time.Duration) error {
	d := r.deployment
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		killed, paused := d.Balancer(i%fullBalancers+1), d.Balancer((i+3)%fullBalancers+1)
		r.Progress.Step("killing %s, pausing %s", killed.Name, paused.Name)
		if err := d.Pause(paused); err != nil {
			return err
		}
		if err := d.Kill(ctx, killed, detectionTime); err != nil {
			return err
		}
		_, err := d.Publish(ctx, func(doc *bundle.Document) {
			for j := range doc.Services {
				targets := doc.Services[j].Targets
				targets[i%len(targets)].Drain = i%2 == 0
			}
		})
		if err != nil {
			return err
		}
		if err := sleep(ctx, 3*time.Second); err != nil {
			return err
		}
		if err := d.Resume(paused); err != nil {
			return err
		}
		if err := d.Launch(ctx, killed); err != nil {
			return fmt.Errorf("restart %s: %w", killed.Name, err)
		}
		if err := sleep(ctx, 4*time.Second); err != nil {
			return err
		}
	}
	return nil
}
