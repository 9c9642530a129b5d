package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/fabric"
)

// Sizes of the experiments with a full data centre.
const (
	fullBalancers  = 8
	fullSessions   = 20000
	openRate       = 2000.0 // sessions a second
	sessionRequest = 10000  // ms between the requests of one session
	backgroundRate = 200.0  // UDP requests a second
	renewedPart    = 10     // one in this many sessions is renewed again and again
	renewedLife    = 15000  // ms
)

// startFull deploys a data centre of today's size and opens the sessions.
func (r *Run) startFull(ctx context.Context, o Options, sessions int) (*Deployment, error) {
	o.Services = []Service{Rounds(), Claims()}
	d, err := r.deploy(ctx, o)
	if err != nil {
		return nil, err
	}
	four, six := endpoints(1)
	n := r.scaled(sessions)
	plan := caller.Sessions{
		Name: "IPv4", Service: "rounds", Endpoint: four, Count: n - n/4, OpenPerS: openRate * 3 / 4,
		IntervalMS: sessionRequest, AnswerBytes: 200,
	}
	other := plan
	other.Name, other.Endpoint, other.Count, other.OpenPerS = "IPv6", six, n/4, openRate/4
	renewed := plan
	renewed.Name, renewed.Count, renewed.OpenPerS, renewed.LifeMS = "renewed", n/renewedPart, openRate/renewedPart, renewedLife
	p := caller.Plan{Sessions: []caller.Sessions{plan}}
	for _, further := range []caller.Sessions{other, renewed} {
		if further.Count > 0 {
			p.Sessions = append(p.Sessions, further)
		}
	}
	n += renewed.Count
	r.Progress.Step("opening %d sessions", n)
	if err := d.StartCallers(ctx, p); err != nil {
		return nil, err
	}
	limit := 20*time.Second + time.Duration(2*float64(n)/openRate)*time.Second
	return d, r.waitSessions(ctx, n, limit)
}

// background sends UDP requests at the rate a second until the callers finish.
func (r *Run) background(ctx context.Context, rate float64) error {
	const forever = 3600
	return r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{udpLoad("background", 2, rate, forever, 0)}})
}

// replaceAll replaces every balancer in turn, drains and returns five targets, and changes the bundle twice, under
// open sessions.
func replaceAll(ctx context.Context, r *Run) error {
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers}, fullSessions)
	if err != nil {
		return err
	}
	if err := r.background(ctx, backgroundRate); err != nil {
		return err
	}
	if err := r.measureSteady(ctx); err != nil {
		return err
	}
	var drained []netip.Addr
	var returned time.Time // when the drains ended
	for i := range fullBalancers {
		if err := r.changeTargets(ctx, i, &drained); err != nil {
			return err
		}
		if len(drained) > 0 && returned.IsZero() && i >= drains {
			returned = time.Now()
		}
		b := d.Balancer(i + 1)
		r.Progress.Step("replacing balancer %s, %d of %d", b.Name, i+1, fullBalancers)
		start := time.Now()
		if err := d.Replace(ctx, b); err != nil {
			return err
		}
		r.Report.Figures[fmt.Sprintf("replacement_%s_s", b.Name)] = time.Since(start).Seconds()
	}
	// Sessions ask every 10 s, so by then every flow has shown whether it survived the last change.
	r.Progress.Step("waiting until 60 s after the end of the drains")
	if err := sleep(ctx, max(time.Until(returned.Add(time.Minute)), time.Duration(sessionRequest)*time.Millisecond*5/4)); err != nil {
		return err
	}
	targets, err := d.TargetCounters(ctx)
	if err != nil {
		return err
	}
	r.Report.AtMost("imbalance of open sessions 60 s after the drains", imbalance(targets, "rounds"), 1.15, "")
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.planned(&o)
	return nil
}

// drains is the number of targets that drain, one before each of the first replacements.
const drains = 5

// changeTargets drains one target before each of the first five replacements, by all ways of notice, takes them back
// after the sixth, and publishes two further bundle versions.
func (r *Run) changeTargets(ctx context.Context, i int, drained *[]netip.Addr) error {
	ways := []DrainMethod{DrainByBundle, DrainByHostList, DrainByHealthEndpoint, DrainByHostList, DrainByHealthEndpoint}
	d := r.deployment
	switch {
	case i < drains:
		address := targetAddress(1, 1+3*i)
		r.Progress.Step("target %s drains, notice by %s", address, ways[i])
		*drained = append(*drained, address)
		return d.Drain(ctx, address, ways[i])
	case i == drains:
		for j, address := range *drained {
			if err := d.Undrain(ctx, address, ways[j]); err != nil {
				return err
			}
		}
		r.Progress.Step("the drained targets return")
	}
	return nil
}

// measureSteady reports the imbalance of the open sessions.
func (r *Run) measureSteady(ctx context.Context) error {
	targets, err := r.deployment.TargetCounters(ctx)
	if err != nil {
		return err
	}
	r.Report.AtMost("imbalance of open sessions in steady state", imbalance(targets, "rounds"), 1.15, "")
	return nil
}

// killOne kills a balancer under open sessions, and then two within a second.
func killOne(ctx context.Context, r *Run) error {
	const detect = 500 * time.Millisecond
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers}, fullSessions)
	if err != nil {
		return err
	}
	if err := r.background(ctx, backgroundRate); err != nil {
		return err
	}
	if err := r.measureSteady(ctx); err != nil {
		return err
	}
	r.Progress.Step("killing b1")
	if err := d.Kill(ctx, d.Balancer(1), detect); err != nil {
		return err
	}
	settle := time.Duration(sessionRequest)*time.Millisecond*5/4 + 5*time.Second
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	first, err := d.CallerResult(ctx)
	if err != nil {
		return err
	}
	one := outcome{Calls: first}
	r.Report.AtMost("flows broken by one kill", 100*float64(one.brokenSessions())/float64(max(one.openSessions(), 1)), 0.1, "% of sessions")
	r.Progress.Step("one kill broke %d of %d sessions; killing b2 and b3 within a second", one.brokenSessions(), one.openSessions())
	if err := d.Kill(ctx, d.Balancer(2), 0); err != nil {
		return err
	}
	if err := d.Kill(ctx, d.Balancer(3), detect); err != nil {
		return err
	}
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.Report.Show("further flows broken by two kills within a second", 100*float64(o.brokenSessions()-one.brokenSessions())/float64(max(o.openSessions(), 1)), "% of sessions")
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.safety(&o)
	return nil
}

// pause stops a balancer's process for 1, 10 and 60 s while targets change, and lets it go on.
func pause(ctx context.Context, r *Run) error {
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers}, fullSessions/4)
	if err != nil {
		return err
	}
	if err := r.background(ctx, backgroundRate); err != nil {
		return err
	}
	if err := d.SetFabricConfig(ctx, fabric.Config{Mode: fabric.PerPacket, Duplicate: 0.01, Reorder: 0.01}); err != nil {
		return err
	}
	for i, length := range []time.Duration{time.Second, 10 * time.Second, 60 * time.Second} {
		b := d.Balancer(i + 1)
		r.Progress.Step("pausing %s for %v while targets change", b.Name, length)
		if err := d.Pause(b); err != nil {
			return err
		}
		if err := r.changeWhilePaused(ctx, i, length); err != nil {
			return err
		}
		if err := d.Resume(b); err != nil {
			return err
		}
		r.Progress.Step("%s goes on", b.Name)
		if err := sleep(ctx, 8*time.Second); err != nil {
			return err
		}
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.Report.AtMost("flows delivered to a second target", float64(len(o.Runs.Moved)), 0, "")
	r.Report.Show("broken sessions", float64(o.brokenSessions()), fmt.Sprintf("of %d", o.openSessions()))
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.safety(&o)
	return nil
}

// changeWhilePaused drains one target and returns another by a new bundle, and waits for the rest of the pause.
func (r *Run) changeWhilePaused(ctx context.Context, i int, length time.Duration) error {
	start := time.Now()
	_, err := r.deployment.Publish(ctx, func(doc *bundle.Document) {
		setTargetDrain(doc, targetAddress(1, i+1), true)
		setTargetDrain(doc, targetAddress(1, i), false)
		setTargetDrain(doc, targetAddress(2, i%4+1), true)
		setTargetDrain(doc, targetAddress(2, (i+3)%4+1), false)
	})
	if err != nil {
		return err
	}
	return sleep(ctx, length-time.Since(start))
}
