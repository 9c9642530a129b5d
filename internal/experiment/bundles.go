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
	// bundleRequestRate is in requests a second to the service claims, which has 8 slots. The injected delay of 50 ms between
	// balancers occupies a slot for up to 200 ms, so the slots serve about 40 requests a second.
	bundleRequestRate = 10.0
	activationLimit   = 6 * time.Second // maximum time from publication to in force on every balancer
	activationGoal    = 2 * time.Second // the same time, 99th percentile
)

// bundles publishes many bundle versions under open sessions and measures the time until each is in force on every balancer.
// Where the deployment can inject faults, it loses and delays messages between balancers.
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
	if err := r.startBackgroundLoad(ctx, bundleRequestRate); err != nil {
		return err
	}
	watcher := startVersionWatcher(ctx, d)
	defer watcher.stop()
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
		// A late version does not end the run. It is reported as late, and its time counts as activationLimit.
		if err := d.WaitInForce(ctx, version, activationLimit); err != nil {
			r.Progress.Step("version %d: %v", version, err)
		}
	}
	o, err := r.finish(ctx, 40*time.Second)
	if err != nil {
		return err
	}
	r.reportActivations(&o, watcher.stop())
	return r.measureSmallChanges(ctx)
}

// reportActivations adds the goals for activation times, late versions and reverts, and the goals of planned changes.
func (r *Run) reportActivations(o *outcome, w *versionWatcher) {
	var activations []float64
	late := 0
	for version, published := range r.deployment.publishedAt {
		if version == 1 {
			continue
		}
		elapsed := w.activationSeconds(version, published)
		if elapsed < 0 {
			late++
			elapsed = activationLimit.Seconds()
		}
		activations = append(activations, elapsed)
	}
	slices.Sort(activations)
	r.Report.Figures["activation_s"] = activations
	r.Report.AtMost("publication to in force on every balancer, p99", quantile(activations, 0.99), activationGoal.Seconds(), "s")
	r.Report.AtMost("publication to in force on every balancer, maximum", quantile(activations, 1), activationLimit.Seconds(), "s")
	r.Report.AtMost("versions not in force everywhere within the limit", float64(late), 0, "")
	r.Report.AtMost("reverts", float64(w.reverts), 0, "")
	r.addPlannedGoals(o)
}

// quantile returns the q-quantile of sorted values by the nearest-rank method, or 0 when there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// versionWatcher polls the bundle versions that the balancers have in force. A revert is a change to an older version.
type versionWatcher struct {
	deployment  *Deployment
	cancel      context.CancelFunc
	done        chan struct{}
	lastVersion map[string]uint64               // by balancer
	activatedAt map[string]map[uint64]time.Time // by balancer and version
	reverts     int
}

// versionPollInterval is the resolution of the activation times when a balancer does not report the time itself.
const versionPollInterval = 20 * time.Millisecond

// startVersionWatcher starts a watcher, which runs until stop is called or the context ends.
func startVersionWatcher(ctx context.Context, d *Deployment) *versionWatcher {
	w := &versionWatcher{
		deployment: d, done: make(chan struct{}),
		lastVersion: make(map[string]uint64), activatedAt: make(map[string]map[uint64]time.Time),
	}
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
	return w
}

func (w *versionWatcher) run(ctx context.Context) {
	defer close(w.done)
	for sleep(ctx, versionPollInterval) == nil {
		for _, b := range w.deployment.Running() {
			if s, err := w.deployment.Status(ctx, b); err == nil {
				w.record(b.Name, &s)
			}
		}
	}
}

// record notes the version that the named balancer has in force and, when it changed, the time of the change.
func (w *versionWatcher) record(name string, s *Status) {
	version := s.Bundle.InForce
	if version < w.lastVersion[name] {
		w.reverts++
	}
	if version == w.lastVersion[name] {
		return
	}
	w.lastVersion[name] = version
	at := time.Now()
	if s.Bundle.InForceUnixMS > 0 {
		at = time.UnixMilli(s.Bundle.InForceUnixMS)
	}
	if w.activatedAt[name] == nil {
		w.activatedAt[name] = make(map[uint64]time.Time)
	}
	w.activatedAt[name][version] = at
}

// stop ends the polling and waits for its goroutine. Afterwards the fields may be read without a lock.
func (w *versionWatcher) stop() *versionWatcher {
	w.cancel()
	<-w.done
	return w
}

// activationSeconds returns the seconds from publication until every balancer had the version or a newer one in force, or
// -1 when a balancer never had.
func (w *versionWatcher) activationSeconds(version uint64, published time.Time) float64 {
	slowest := -1.0
	for _, versions := range w.activatedAt {
		first := -1.0
		for v, at := range versions {
			if elapsed := at.Sub(published).Seconds(); v >= version && (first < 0 || elapsed < first) {
				first = max(elapsed, 0)
			}
		}
		if first < 0 {
			return -1
		}
		slowest = max(slowest, first)
	}
	return slowest
}
