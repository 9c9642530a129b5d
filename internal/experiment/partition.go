package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/fabric"
	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
)

// partitionDuration is the time for which the two halves of the balancers cannot reach each other.
const partitionDuration = 30 * time.Second

var errNoProxy = errors.New("partition experiment needs a daemon that supports the setting advertise")

// split partitions the balancers into two halves for the duration, and then heals the partition.
func (r *Run) split(ctx context.Context, duration time.Duration) error {
	d := r.deployment
	half := len(d.balancers) / 2
	a, b := d.balancers[:half], d.balancers[half:]
	r.Progress.Step("partitioning the balancers, %d on each side", half)
	if err := d.Partition(ctx, a, b, true); err != nil {
		return err
	}
	if err := sleep(ctx, duration); err != nil {
		return err
	}
	r.Progress.Step("healing the partition")
	return d.Partition(ctx, a, b, false)
}

// partition partitions the balancers for 30 s under open sessions while the platform is down. It runs once with a fabric that
// sends both directions of a flow to one balancer, and once with a fabric that sends each packet to any balancer.
func partition(ctx context.Context, r *Run) error {
	if !r.canInjectPeerFaults(ctx) {
		return errNoProxy
	}
	for _, mode := range []string{fabric.PerFlow, fabric.PerPacket} {
		if err := r.partitionWith(ctx, mode); err != nil {
			return err
		}
	}
	return nil
}

// partitionWith runs the partition experiment with the fabric in the given mode.
func (r *Run) partitionWith(ctx context.Context, mode string) error {
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers, Proxied: true}, fullSessions/4)
	if err != nil {
		return err
	}
	if err := d.SetFabricConfig(ctx, fabric.Config{Mode: mode}); err != nil {
		return err
	}
	if err := r.startBackgroundLoad(ctx, backgroundRate); err != nil {
		return err
	}
	if err := d.SetPlatformFaults(ctx, platform.Faults{Down: true}); err != nil {
		return err
	}
	if err := r.split(ctx, partitionDuration); err != nil {
		return err
	}
	if err := d.SetPlatformFaults(ctx, platform.Faults{}); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration(sessionPeriodMS)*time.Millisecond*5/4); err != nil {
		return err
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.Progress.Step("results with the fabric in mode %s", mode)
	r.Report.AtMost("spraying per "+mode+": flows delivered to a second target", float64(len(o.Runs.Moved)), 0, "")
	r.Report.Show("spraying per "+mode+": broken sessions", float64(o.brokenSessions()), fmt.Sprintf("of %d", o.openSessions()))
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.addSafetyGoals(&o)
	return nil
}

// limits offers more work than the slots allow and counts the requests that targets receive beyond their slots, in steady
// state and while the balancers are partitioned.
func limits(ctx context.Context, r *Run) error {
	const (
		offered = 1.3 // offered load as a multiple of the capacity
		seconds = 20
		// The ledger owner on each side of a partition grants the full limit, so a target can get twice its slots.
		sides = 2
	)
	s := Ingest(peakWork)
	s.DeadlineMS = peakDeadline
	proxied := r.canInjectPeerFaults(ctx)
	if _, err := r.deploy(ctx, Options{Balancers: 4, Services: []Service{s}, Proxied: proxied}); err != nil {
		return err
	}
	rate := offered * serviceCapacity(&s)
	l, err := r.runLoad(ctx, requestLoad("overload", &s, 1, caller.Step{Rate: rate, Seconds: seconds}))
	if err != nil {
		return err
	}
	overruns, maxInFlight, err := r.overruns(ctx)
	if err != nil {
		return err
	}
	r.Report.AtMost("requests beyond the slots of their target, steady state", overruns, 0, fmt.Sprintf("of %d", l.Sent))
	r.Report.Show("most requests at one target, steady state", maxInFlight, fmt.Sprintf("with %d slots", ingestSlots))
	r.Report.Show("goodput, steady state", 100*goodput(&l, 1, seconds)/serviceCapacity(&s), "% of capacity")
	r.Report.plotLoad("load", &l)
	if proxied {
		partitionLoad := requestLoad("overload in a partition", &s, 1, caller.Step{Rate: rate, Seconds: partitionDuration.Seconds() + 5})
		if err := r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{partitionLoad}}); err != nil {
			return err
		}
		if err := r.split(ctx, partitionDuration); err != nil {
			return err
		}
		if _, maxInFlight, err = r.overruns(ctx); err != nil {
			return err
		}
		r.Report.AtMost("most requests at one target, in a partition", maxInFlight, sides*ingestSlots,
			fmt.Sprintf("with %d slots", ingestSlots))
	}
	o, err := r.finish(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.addSafetyGoals(&o)
	return nil
}

// overruns returns the number of requests that reached a target when all its slots were in use, and the maximum number of
// concurrent requests at one target.
func (r *Run) overruns(ctx context.Context) (overruns, maxInFlight float64, err error) {
	targets, err := r.deployment.TargetCounters(ctx)
	for _, t := range targets {
		overruns += float64(t.Overruns)
		maxInFlight = max(maxInFlight, float64(t.MaxInFlight))
	}
	return overruns, maxInFlight, err
}
