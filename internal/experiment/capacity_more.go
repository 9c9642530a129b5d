package experiment

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"

	"github.com/goccy/go-yaml"
)

// maxTargetsPerService limits the targets of a service so that their addresses share the first three bytes.
const maxTargetsPerService = 220

// measureTargets measures balancers without traffic by the number of targets that they probe.
func (r *Run) measureTargets(ctx context.Context, sizes []int) ([]point, error) {
	const balancers = 8
	var points []point
	for _, n := range sizes {
		if _, err := r.deploy(ctx, Options{Balancers: balancers, Services: sessionServices(n)}); err != nil {
			return nil, err
		}
		u, err := r.measure(ctx)
		if err != nil {
			return nil, err
		}
		r.Progress.Step("%d targets, %d balancers: %.2f%% of a core, %.1f MB, %.2f KB/s each", n, balancers, u.CPU, u.Memory, u.Traffic)
		points = append(points, point{float64(n), u})
	}
	return points, nil
}

// servicesWithTargets returns session services that have n targets in total.
func sessionServices(n int) []Service {
	var services []Service
	for i := 1; n > 0; i++ {
		s := Rounds()
		s.Name, s.TargetCount = fmt.Sprintf("rounds-%d", i), min(n, maxTargetsPerService)
		services = append(services, s)
		n -= s.TargetCount
	}
	return services
}

// bundleCost is the size of a bundle with a number of addresses, and the time and memory to process it.
type bundleCost struct {
	Addresses  int     `json:"addresses"`
	Envelope   int     `json:"envelope_bytes"`
	EvaluateMS float64 `json:"judge_ms"`
	PublishMS  float64 `json:"publish_ms"` // time to build a snapshot of the bundle and publish it to the traffic goroutines
	MemoryMB   float64 `json:"memory_mb"`
}

// measureAddresses measures, in this process, bundles by their number of addresses. They have half as many targets as
// planned for that number: 4,600 targets for 1,300 addresses.
func (r *Run) measureAddresses(sizes []int) ([]bundleCost, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	keys := bundle.Keyring{keyID: {ID: keyID, Public: public}}
	var out []bundleCost
	for _, n := range sizes {
		c, err := measureBundle(n, keys, private)
		if err != nil {
			return nil, err
		}
		r.Progress.Step("%d addresses: envelope %d bytes, evaluated in %.1f ms, published in %.1f ms, %.1f MB", n, c.Envelope, c.EvaluateMS, c.PublishMS, c.MemoryMB)
		out = append(out, c)
	}
	return out, nil
}

// measureBundle signs a bundle with the number of addresses, and measures its evaluation and the publication of its snapshot.
func measureBundle(addresses int, keys bundle.Keyring, private ed25519.PrivateKey) (bundleCost, error) {
	text, err := yaml.Marshal(documentWith(addresses))
	if err != nil {
		return bundleCost{}, err
	}
	envelope, err := bundle.Sign(text, keyID, private)
	if err != nil {
		return bundleCost{}, err
	}
	before := heapMB()
	start := time.Now()
	verdict := bundle.Evaluate(nil, envelope, keys, time.Now())
	evaluated := time.Since(start)
	if verdict.Bundle == nil {
		return bundleCost{}, fmt.Errorf("bundle with %d addresses refused: %v", addresses, verdict.Code)
	}
	engine := forward.NewEngine(forward.Config{Flows: 1024})
	start = time.Now()
	engine.Publish(forward.NewSnapshot(verdict.Bundle, dataCentre))
	published := time.Since(start)
	memory := heapMB() - before
	runtime.KeepAlive(engine)
	return bundleCost{
		Addresses: addresses, Envelope: len(envelope), EvaluateMS: milliseconds(evaluated), PublishMS: milliseconds(published),
		MemoryMB: memory,
	}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// heapMB collects garbage and returns the allocated heap in MB.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// documentWith returns a bundle document with services of one address and the planned number of targets for each.
func documentWith(addresses int) *bundle.Document {
	const plannedTargets, plannedAddresses, dataCentres = 4600, 1300, 7
	doc := &bundle.Document{Version: 1}
	next := netip.MustParseAddr("127.64.0.1")
	targets := 0
	for i := range addresses {
		s := Rounds().Service
		s.Name, s.VNI = fmt.Sprintf("service-%d", i), uint32(1000+i)
		s.Endpoints = []string{netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443).String()}
		for ; targets < (i+1)*plannedTargets/plannedAddresses; targets++ {
			dc := dataCentre
			if k := targets % dataCentres; k > 0 {
				dc = fmt.Sprintf("data-centre-%d", k)
			}
			s.Targets = append(s.Targets, bundle.Target{Address: next.String(), DataCentre: dc, HealthPort: 80})
			next = next.Next()
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

// relativeResidual returns the largest distance of a point from the fitted line, divided by the largest absolute value.
func relativeResidual(points []point, y func(*usage) float64) float64 {
	base, slope := fit(points, y)
	worst, largest := 0.0, 0.0
	for i := range points {
		v := y(&points[i].usage)
		worst = max(worst, math.Abs(v-base-slope*points[i].X))
		largest = max(largest, math.Abs(v))
	}
	return ratio(worst, largest)
}

// fitRow returns the Markdown table row for the line fitted to the points: the points, the line and its largest residual.
func fitRow(name, x, unit string, points []point, y func(*usage) float64) string {
	base, slope := fit(points, y)
	var values []string
	for i := range points {
		values = append(values, fmt.Sprintf("%.4g: %.3g", points[i].X, y(&points[i].usage)))
	}
	return fmt.Sprintf("| %s by %s | %s | %.3g + %.3g x | %.0f%% | %s |\n", name, x, strings.Join(values, ", "), base, slope, 100*relativeResidual(points, y), unit)
}
