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

// partitionLength is how long the two halves of the balancers do not reach each other.
const partitionLength = 30 * time.Second

var errNotProxied = errors.New("a partition needs a daemon that knows the setting advertise")

// split cuts the balancers into two halves, waits, and heals the partition.
func (r *Run) split(ctx context.Context, length time.Duration) error {
	d := r.deployment
	half := len(d.balancers) / 2
	a, b := d.balancers[:half], d.balancers[half:]
	r.Progress.Step("partition: %d balancers on each side", half)
	if err := d.Partition(ctx, a, b, true); err != nil {
		return err
	}
	if err := sleep(ctx, length); err != nil {
		return err
	}
	r.Progress.Step("the partition heals")
	return d.Partition(ctx, a, b, false)
}

// partition splits the balancers for 30 s, without the platform, under open sessions: once with a fabric that hands both
// directions of a flow to one balancer, and once with one that hands any packet to any balancer.
func partition(ctx context.Context, r *Run) error {
	if !r.canInjectPeerFaults(ctx) {
		return errNotProxied
	}
	for _, mode := range []string{fabric.PerFlow, fabric.PerPacket} {
		if err := r.partitionWith(ctx, mode); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) partitionWith(ctx context.Context, mode string) error {
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers, Proxied: true}, fullSessions/4)
	if err != nil {
		return err
	}
	if err := d.SetFabricConfig(ctx, fabric.Config{Mode: mode}); err != nil {
		return err
	}
	if err := r.background(ctx, backgroundRate); err != nil {
		return err
	}
	if err := d.SetPlatformFaults(ctx, platform.Faults{Down: true}); err != nil {
		return err
	}
	if err := r.split(ctx, partitionLength); err != nil {
		return err
	}
	if err := d.SetPlatformFaults(ctx, platform.Faults{}); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration(sessionRequest)*time.Millisecond*5/4); err != nil {
		return err
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.Progress.Step("results of spraying per %s", mode)
	r.Report.AtMost("spraying per "+mode+": flows delivered to a second target", float64(len(o.Runs.Moved)), 0, "")
	r.Report.Show("spraying per "+mode+": broken sessions", float64(o.brokenSessions()), fmt.Sprintf("of %d", o.openSessions()))
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.safety(&o)
	return nil
}

// limits offers more work than the slots allow and counts the requests that a target got beyond its slots, in steady
// state and while the balancers are split.
func limits(ctx context.Context, r *Run) error {
	const (
		offered = 1.3 // of the capacity
		seconds = 20
		// A ledger owner on each side grants the full limit, so a target can have twice its slots.
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
	overruns, most, err := r.overruns(ctx)
	if err != nil {
		return err
	}
	r.Report.AtMost("requests beyond the slots of their target, steady state", overruns, 0, fmt.Sprintf("of %d", l.Sent))
	r.Report.Show("most requests at one target, steady state", most, fmt.Sprintf("with %d slots", ingestSlots))
	r.Report.Show("goodput, steady state", 100*goodput(&l, 1, seconds)/serviceCapacity(&s), "% of capacity")
	r.Report.plotLoad("load", &l)
	if proxied {
		during := requestLoad("overload in a partition", &s, 1, caller.Step{Rate: rate, Seconds: partitionLength.Seconds() + 5})
		if err := r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{during}}); err != nil {
			return err
		}
		if err := r.split(ctx, partitionLength); err != nil {
			return err
		}
		if _, most, err = r.overruns(ctx); err != nil {
			return err
		}
		r.Report.AtMost("most requests at one target, in a partition", most, sides*ingestSlots, fmt.Sprintf("with %d slots", ingestSlots))
	}
	o, err := r.finish(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.safety(&o)
	return nil
}

// overruns returns the number of requests that found all slots of their target in use, and the most at one target.
func (r *Run) overruns(ctx context.Context) (overruns, most float64, err error) {
	targets, err := r.deployment.TargetCounters(ctx)
	for _, t := range targets {
		overruns += float64(t.Overruns)
		most = max(most, float64(t.MaxInFlight))
	}
	return overruns, most, err
}
