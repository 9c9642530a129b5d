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

// Sizes and rates of the experiments with a full data centre.
const (
	fullBalancers   = 8
	fullSessions    = 20000
	openRate        = 2000.0 // sessions a second
	sessionPeriodMS = 10000  // ms between the requests of one session
	backgroundRate  = 200.0  // UDP requests a second
	perRenewed      = 10     // sessions for each renewed session, which is closed and opened again repeatedly
	renewedLifeMS   = 15000  // mean time in ms until a renewed session is closed
)

// startFull deploys a data centre of the current size, opens the scaled number of sessions and waits for them.
// A quarter of the sessions uses IPv6.
func (r *Run) startFull(ctx context.Context, o Options, sessions int) (*Deployment, error) {
	o.Services = []Service{Rounds(), Claims()}
	d, err := r.deploy(ctx, o)
	if err != nil {
		return nil, err
	}
	ipv4, ipv6 := endpoints(1)
	n := r.scaled(sessions)
	ipv4Sessions := caller.Sessions{
		Name: "IPv4", Service: "rounds", Endpoint: ipv4, Count: n - n/4, OpenPerS: openRate * 3 / 4,
		IntervalMS: sessionPeriodMS, AnswerBytes: 200,
	}
	ipv6Sessions := ipv4Sessions
	ipv6Sessions.Name, ipv6Sessions.Endpoint, ipv6Sessions.Count, ipv6Sessions.OpenPerS = "IPv6", ipv6, n/4, openRate/4
	renewed := ipv4Sessions
	renewed.Name, renewed.Count, renewed.OpenPerS, renewed.LifeMS = "renewed", n/perRenewed, openRate/perRenewed, renewedLifeMS
	p := caller.Plan{Sessions: []caller.Sessions{ipv4Sessions}}
	for _, further := range []caller.Sessions{ipv6Sessions, renewed} {
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
	return d, r.waitForSessions(ctx, n, limit)
}

// startBackgroundLoad starts to send UDP requests at the rate a second, until the callers finish.
func (r *Run) startBackgroundLoad(ctx context.Context, rate float64) error {
	const maxSeconds = 3600
	return r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{udpLoad("background", 2, rate, maxSeconds, 0)}})
}

// replaceAll replaces every balancer in turn under open sessions. Meanwhile it drains five targets, returns them to service,
// and changes the bundle twice.
func replaceAll(ctx context.Context, r *Run) error {
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers}, fullSessions)
	if err != nil {
		return err
	}
	if err := r.startBackgroundLoad(ctx, backgroundRate); err != nil {
		return err
	}
	if err := r.reportSteadyImbalance(ctx); err != nil {
		return err
	}
	var drained []netip.Addr
	var returned time.Time // when the drained targets returned to service
	for i := range fullBalancers {
		if err := r.changeTargets(ctx, i, &drained); err != nil {
			return err
		}
		if len(drained) > 0 && returned.IsZero() && i >= drainCount {
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
	// Each session sends a request every 10 s, so after this wait every flow has shown whether it survived the last change.
	r.Progress.Step("waiting until 60 s after the drained targets returned")
	if err := sleep(ctx, max(time.Until(returned.Add(time.Minute)),
		time.Duration(sessionPeriodMS)*time.Millisecond*5/4)); err != nil {
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
	r.addPlannedGoals(&o)
	return nil
}

// drainCount is the number of targets that drain, one before each of the first replacements.
const drainCount = 5

// changeTargets makes the change that precedes replacement i, counted from 0. It drains one target before each of the first
// five replacements, by all kinds of notice, and returns them before the sixth. The drain and the return by bundle publish
// two further bundle versions.
func (r *Run) changeTargets(ctx context.Context, i int, drained *[]netip.Addr) error {
	notices := []DrainMethod{DrainByBundle, DrainByHostList, DrainByHealthEndpoint, DrainByHostList, DrainByHealthEndpoint}
	d := r.deployment
	switch {
	case i < drainCount:
		address := targetAddress(1, 1+3*i)
		r.Progress.Step("draining target %s, notice by %s", address, notices[i])
		*drained = append(*drained, address)
		return d.Drain(ctx, address, notices[i])
	case i == drainCount:
		for j, address := range *drained {
			if err := d.Undrain(ctx, address, notices[j]); err != nil {
				return err
			}
		}
		r.Progress.Step("drained targets returned to service")
	}
	return nil
}

// reportSteadyImbalance adds the goal for the imbalance of the open sessions before any change.
func (r *Run) reportSteadyImbalance(ctx context.Context) error {
	targets, err := r.deployment.TargetCounters(ctx)
	if err != nil {
		return err
	}
	r.Report.AtMost("imbalance of open sessions in steady state", imbalance(targets, "rounds"), 1.15, "")
	return nil
}

// killBalancers kills one balancer under open sessions, and later two more within a second.
func killBalancers(ctx context.Context, r *Run) error {
	const detectionTime = 500 * time.Millisecond
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers}, fullSessions)
	if err != nil {
		return err
	}
	if err := r.startBackgroundLoad(ctx, backgroundRate); err != nil {
		return err
	}
	if err := r.reportSteadyImbalance(ctx); err != nil {
		return err
	}
	r.Progress.Step("killing b1")
	if err := d.Kill(ctx, d.Balancer(1), detectionTime); err != nil {
		return err
	}
	settleDuration := time.Duration(sessionPeriodMS)*time.Millisecond*5/4 + 5*time.Second
	if err := sleep(ctx, settleDuration); err != nil {
		return err
	}
	calls, err := d.CallerResult(ctx)
	if err != nil {
		return err
	}
	first := outcome{Calls: calls}
	r.Report.AtMost("flows broken by one kill",
		100*float64(first.brokenSessions())/float64(max(first.openSessions(), 1)), 0.1, "% of sessions")
	r.Progress.Step("%d of %d sessions broken by one kill; killing b2 and b3 within a second",
		first.brokenSessions(), first.openSessions())
	if err := d.Kill(ctx, d.Balancer(2), 0); err != nil {
		return err
	}
	if err := d.Kill(ctx, d.Balancer(3), detectionTime); err != nil {
		return err
	}
	if err := sleep(ctx, settleDuration); err != nil {
		return err
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.Report.Show("further flows broken by two kills within a second",
		100*float64(o.brokenSessions()-first.brokenSessions())/float64(max(o.openSessions(), 1)), "% of sessions")
	r.Report.Show("requests without a whole answer", float64(o.brokenRequests()), fmt.Sprintf("of %d", o.requests()))
	r.addSafetyGoals(&o)
	return nil
}

// pause suspends the process of one balancer each for 1, 10 and 60 s while targets change, and resumes it.
func pause(ctx context.Context, r *Run) error {
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers}, fullSessions/4)
	if err != nil {
		return err
	}
	if err := r.startBackgroundLoad(ctx, backgroundRate); err != nil {
		return err
	}
	if err := d.SetFabricConfig(ctx, fabric.Config{Mode: fabric.PerPacket, Duplicate: 0.01, Reorder: 0.01}); err != nil {
		return err
	}
	for i, duration := range []time.Duration{time.Second, 10 * time.Second, 60 * time.Second} {
		b := d.Balancer(i + 1)
		r.Progress.Step("pausing %s for %v while targets change", b.Name, duration)
		if err := d.Pause(b); err != nil {
			return err
		}
		if err := r.changeWhilePaused(ctx, i, duration); err != nil {
			return err
		}
		if err := d.Resume(b); err != nil {
			return err
		}
		r.Progress.Step("%s resumed", b.Name)
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
	r.addSafetyGoals(&o)
	return nil
}

// changeWhilePaused publishes a bundle that drains one target of each service and returns another, and waits for the rest
// of the pause.
func (r *Run) changeWhilePaused(ctx context.Context, i int, duration time.Duration) error {
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
	return sleep(ctx, duration-time.Since(start))
}
