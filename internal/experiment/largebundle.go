package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marigoldwood/marigoldwood/bundle"
)

// Sizes and limits of the measurement of small changes to a large bundle.
const (
	largeDocumentBytes   = 900_000 // minimum size of the document; the envelope must stay below 1 MB
	smallChangeCount     = 5
	smallChangeBytes     = 16 << 10 // maximum control bytes per balancer for one small change
	largeActivationLimit = 30 * time.Second
)

// padDocument adds services of another data centre until the document has the size of that of a large fleet.
func padDocument(doc *bundle.Document) error {
	const targetsPerService = 50
	address := netip.MustParseAddr("100.64.0.1")
	endpoint := netip.MustParseAddr("198.18.0.1")
	for i := 0; ; i++ {
		s := bundle.Service{
			Name: fmt.Sprintf("remote-%d", i), VNI: uint32(10000 + i), Protocol: "tcp", Class: bundle.ClassBulk, Kind: bundle.KindSession,
			Endpoints: []string{netip.AddrPortFrom(endpoint, 443).String()},
		}
		for range targetsPerService {
			s.Targets = append(s.Targets, bundle.Target{Address: address.String(), DataCentre: "kraslava"})
			address = address.Next()
		}
		endpoint = endpoint.Next()
		doc.Services = append(doc.Services, s)
		if i%20 != 0 {
			continue
		}
		if b, err := yaml.Marshal(doc); err != nil || len(b) > largeDocumentBytes {
			return err
		}
	}
}

// measureSmallChanges measures the control traffic that a small change of a large bundle causes at each balancer. It subtracts
// the traffic without changes, which it measures first.
func (r *Run) measureSmallChanges(ctx context.Context) error {
	d, err := r.deploy(ctx, Options{Balancers: fullBalancers, Services: []Service{Rounds(), Claims()}})
	if err != nil {
		return err
	}
	var padErr error
	version, err := d.Publish(ctx, func(doc *bundle.Document) { padErr = padDocument(doc) })
	if err != nil || padErr != nil {
		return fmt.Errorf("publish large bundle: %v, %w", padErr, err)
	}
	r.Progress.Step("published a bundle with %d services", len(d.document.Services))
	if err := d.WaitInForce(ctx, version, largeActivationLimit); err != nil {
		return err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	start := time.Now()
	before, err := r.controlBytes(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	idle, err := r.controlBytes(ctx)
	if err != nil {
		return err
	}
	idleTime := time.Since(start)
	for i := range smallChangeCount {
		version, err := d.Publish(ctx, func(doc *bundle.Document) { setTargetDrain(doc, targetAddress(1, 1), i%2 == 0) })
		if err != nil {
			return err
		}
		if err := d.WaitInForce(ctx, version, activationLimit); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	after, err := r.controlBytes(ctx)
	if err != nil {
		return err
	}
	changeTime := time.Since(start) - idleTime
	maxBytes := 0.0
	for name := range after {
		rate := (idle[name] - before[name]) / idleTime.Seconds()
		maxBytes = max(maxBytes, (after[name]-idle[name]-rate*changeTime.Seconds())/smallChangeCount)
	}
	r.Report.AtMost("control bytes for a small change of a large bundle, most of all balancers",
		maxBytes, smallChangeBytes, "bytes")
	return nil
}

// controlBytes returns the bytes of probes and peer messages that each running balancer has sent, by the name of the balancer.
func (r *Run) controlBytes(ctx context.Context) (map[string]float64, error) {
	bytes := make(map[string]float64)
	for _, b := range r.deployment.Running() {
		s, err := r.deployment.Status(ctx, b)
		if err != nil {
			return nil, err
		}
		bytes[b.Name] = float64(s.Counters["probe-bytes-sent"] + s.Counters["peer-bytes-sent"])
	}
	return bytes, nil
}
