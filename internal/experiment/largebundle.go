package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marigoldwood/marigoldwood/bundle"
)

const (
	largeBundle      = 900_000 // bytes of the document; the envelope must stay below 1 MB
	largeChanges     = 5
	largeChangeBytes = 16 << 10 // goal: control bytes per balancer for a small change
	largeFirstLimit  = 30 * time.Second
)

// pad adds services of another data centre until the document has the size of a large fleet's.
func pad(doc *bundle.Document) error {
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
		if b, err := yaml.Marshal(doc); err != nil || len(b) > largeBundle {
			return err
		}
	}
}

// smallChanges measures what a small change of a large bundle costs each balancer.
func (r *Run) smallChanges(ctx context.Context) error {
	d, err := r.deploy(ctx, Options{Balancers: fullBalancers, Services: []Service{Rounds(), Claims()}})
	if err != nil {
		return err
	}
	var padError error
	version, err := d.Publish(ctx, func(doc *bundle.Document) { padError = pad(doc) })
	if err != nil || padError != nil {
		return fmt.Errorf("large bundle: %v, %w", padError, err)
	}
	r.Progress.Step("a bundle of %d services is published", len(d.document.Services))
	if err := d.WaitInForce(ctx, version, largeFirstLimit); err != nil {
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
	quiet, err := r.controlBytes(ctx)
	if err != nil {
		return err
	}
	quietTime := time.Since(start)
	for i := range largeChanges {
		version, err := d.Publish(ctx, func(doc *bundle.Document) { setTargetDrain(doc, targetAddress(1, 1), i%2 == 0) })
		if err != nil {
			return err
		}
		if err := d.WaitInForce(ctx, version, bundleLimit); err != nil {
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
	changeTime := time.Since(start) - quietTime
	most := 0.0
	for name := range after {
		rate := (quiet[name] - before[name]) / quietTime.Seconds()
		most = max(most, (after[name]-quiet[name]-rate*changeTime.Seconds())/largeChanges)
	}
	r.Report.AtMost("control bytes for a small change of a large bundle, most of all balancers", most, largeChangeBytes, "bytes")
	return nil
}

// controlBytes returns the bytes of probes and peer messages that each balancer sent.
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
