package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
)

const (
	bundleVersions = 100
	// bundleRate is the rate of requests a second to the 8 slots of claims. A delay of 50 ms between balancers occupies a
	// slot for up to 200 ms, so that the slots serve about 40 requests a second.
	bundleRate  = 10.0
	bundleLimit = 6 * time.Second // an accepted bundle is in force everywhere after this time
	bundleGoal  = 2 * time.Second // p99
)

// bundles publishes many versions under open sessions and measures the time until each is in force on every balancer.
func bundles(ctx context.Context, r *Run) error {
	proxied := r.canInjectPeerFaults(ctx)
	d, err := r.startFull(ctx, Options{Balancers: fullBalancers, Proxied: proxied}, fullSessions/10)
	if err != nil {
		return err
	}
	if proxied {
		if err := d.SetPeerFaults(ctx, proxy.Faults{Loss: 0.1, DelayMS: 50}); err != nil {
			return err
		}
	}
	if err := r.background(ctx, bundleRate); err != nil {
		return err
	}
	watch := startVersionWatch(ctx, d)
	defer watch.stop()
	n := r.scaled(bundleVersions)
	for i := range n {
		if i%10 == 0 {
			r.Progress.Step("publishing versions, %d of %d", i, n)
		}
		version, err := d.Publish(ctx, func(doc *bundle.Document) {
			doc.Description = fmt.Sprintf("version %d", doc.Version)
			setTargetDrain(doc, targetAddress(1, i%15+1), i%2 == 0)
			setTargetDrain(doc, targetAddress(1, (i+14)%15+1), false)
		})
		if err != nil {
			return err
		}
		// A version that is late does not stop the run; it counts as at least the limit.
		if err := d.WaitInForce(ctx, version, bundleLimit); err != nil {
			r.Progress.Step("version %d: %v", version, err)
		}
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.reportBundles(&o, watch.stop())
	return r.smallChanges(ctx)
}

func (r *Run) reportBundles(o *outcome, w *versionWatch) {
	var times []float64
	late := 0
	for version, published := range r.deployment.publishedAt {
		if version == 1 {
			continue
		}
		took := w.slowest(version, published)
		if took < 0 {
			late++
			took = bundleLimit.Seconds()
		}
		times = append(times, took)
	}
	slices.Sort(times)
	r.Report.Figures["activation_s"] = times
	r.Report.AtMost("publication to in force on every balancer, p99", quantile(times, 0.99), bundleGoal.Seconds(), "s")
	r.Report.AtMost("publication to in force on every balancer, maximum", quantile(times, 1), bundleLimit.Seconds(), "s")
	r.Report.AtMost("versions not in force everywhere within the limit", float64(late), 0, "")
	r.Report.AtMost("reverts", float64(w.reverts), 0, "")
	r.planned(o)
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// versionWatch follows the versions that the balancers have in force.
type versionWatch struct {
	deployment *Deployment
	cancel     context.CancelFunc
	ended      chan struct{}
	last       map[string]uint64               // by balancer
	seen       map[string]map[uint64]time.Time // by balancer and version
	reverts    int
}

// watchInterval is the resolution of the measured times when a balancer does not tell the time itself.
const watchInterval = 20 * time.Millisecond

func startVersionWatch(ctx context.Context, d *Deployment) *versionWatch {
	w := &versionWatch{deployment: d, ended: make(chan struct{}), last: make(map[string]uint64), seen: make(map[string]map[uint64]time.Time)}
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
	return w
}

func (w *versionWatch) run(ctx context.Context) {
	defer close(w.ended)
	for sleep(ctx, watchInterval) == nil {
		for _, b := range w.deployment.Running() {
			if s, err := w.deployment.Status(ctx, b); err == nil {
				w.note(b.Name, &s)
			}
		}
	}
}

func (w *versionWatch) note(name string, s *Status) {
	version := s.Bundle.InForce
	if version < w.last[name] {
		w.reverts++
	}
	if version == w.last[name] {
		return
	}
	w.last[name] = version
	at := time.Now()
	if s.Bundle.InForceUnixMS > 0 {
		at = time.UnixMilli(s.Bundle.InForceUnixMS)
	}
	if w.seen[name] == nil {
		w.seen[name] = make(map[uint64]time.Time)
	}
	w.seen[name][version] = at
}

// stop ends the watch. The fields may be read afterwards.
func (w *versionWatch) stop() *versionWatch {
	w.cancel()
	<-w.ended
	return w
}

// slowest returns the seconds until every balancer had the version or a newer one in force, or -1 when one never had.
func (w *versionWatch) slowest(version uint64, published time.Time) float64 {
	slowest := -1.0
	for _, versions := range w.seen {
		first := -1.0
		for v, at := range versions {
			if took := at.Sub(published).Seconds(); v >= version && (first < 0 || took < first) {
				first = max(took, 0)
			}
		}
		if first < 0 {
			return -1
		}
		slowest = max(slowest, first)
	}
	return slowest
}
