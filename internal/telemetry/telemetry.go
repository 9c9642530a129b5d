// Package telemetry defines the metrics and exports them with OpenTelemetry in the Prometheus format.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/marigoldwood/marigoldwood/internal/status"
)

// Error is the class of errors of this package.
var Error = errs.Class("telemetry")

const (
	eventsHelp  = "packets and decisions by kind: actions and result codes"
	targetsHelp = "open flows of this balancer by target"
)

// Gauge describes a metric whose value comes from the status of the balancer.
type Gauge struct {
	Name, Unit, Help string
	Value            func(*status.Status) float64
}

// Gauges returns the gauges of a balancer. docs/metrics.md is generated from it.
func Gauges() []Gauge {
	return []Gauge{
		{"marigoldwood_ready", "1", "1 when the balancer serves", func(s *status.Status) float64 { return boolToFloat(s.Ready) }},
		{"marigoldwood_flows_open", "{flow}", "open flows in the table", func(s *status.Status) float64 { return float64(s.Flows.Open) }},
		{"marigoldwood_flows_capacity", "{flow}", "capacity of the flow table", func(s *status.Status) float64 { return float64(s.Flows.Capacity) }},
		{"marigoldwood_flows_exceptions", "{flow}", "open flows that are not on their default target", func(s *status.Status) float64 { return float64(s.Flows.Exceptions) }},
		{"marigoldwood_flows_copies", "{flow}", "exceptions held for other balancers", func(s *status.Status) float64 { return float64(s.Flows.Copies) }},
		{"marigoldwood_flows_silent", "{flow}", "silent connections ended since the start", func(s *status.Status) float64 { return float64(s.Flows.Silent) }},
		{"marigoldwood_buckets_owned", "{bucket}", "buckets that this balancer owns", func(s *status.Status) float64 { return float64(s.Buckets.Owned) }},
		{"marigoldwood_buckets_acquiring", "{bucket}", "buckets waiting for a grant", func(s *status.Status) float64 { return float64(s.Buckets.Acquiring) }},
		{"marigoldwood_bundle_in_force", "{version}", "bundle version in force", func(s *status.Status) float64 { return float64(s.Bundle.InForce) }},
		{"marigoldwood_bundle_staged", "{version}", "bundle version staged", func(s *status.Status) float64 { return float64(s.Bundle.Staged) }},
		{"marigoldwood_bundle_behind", "1", "1 while a newer version is in force elsewhere", func(s *status.Status) float64 { return boolToFloat(s.Bundle.Behind) }},
		{"marigoldwood_bundle_conflict", "1", "1 when another content with the same version was offered", func(s *status.Status) float64 { return boolToFloat(s.Bundle.Conflict) }},
		{"marigoldwood_platform_age", "ms", "time since this balancer last read the platform; -1 when it never did", func(s *status.Status) float64 { return float64(s.Bundle.PlatformAgeMS) }},
		{"marigoldwood_platform_calls", "{call}", "calls to the platform since the start", func(s *status.Status) float64 { return float64(s.Bundle.PlatformCalls) }},
		{"marigoldwood_members_serving", "{member}", "members of the data centre in state serving, this one included", countServingMembers},
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countServingMembers returns the number of members of the local data centre in state serving.
func countServingMembers(s *status.Status) float64 {
	n := 0
	for _, m := range s.Members {
		if m.DataCentre == s.DataCentre && m.State == "serving" {
			n++
		}
	}
	return float64(n)
}

// NewHandler returns an HTTP handler that serves the metrics. It calls read once per scrape.
func NewHandler(read func() status.Status) (http.Handler, error) {
	meter, handler, err := NewMeter()
	if err != nil {
		return nil, err
	}
	return handler, Error.Wrap(register(meter, read))
}

// NewMeter returns a meter and an HTTP handler that serves its metrics in the Prometheus format.
func NewMeter() (metric.Meter, http.Handler, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo(),
		exporter.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithoutSuffixes))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("github.com/marigoldwood/marigoldwood")
	return meter, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// register creates the instruments of Gauges, the event counter and the flows per target, with one callback that observes
// them all.
func register(meter metric.Meter, read func() status.Status) error {
	gauges := Gauges()
	instruments := make([]metric.Float64Observable, len(gauges))
	observables := make([]metric.Observable, 0, len(gauges)+2)
	for i, d := range gauges {
		g, err := meter.Float64ObservableGauge(d.Name, metric.WithUnit(d.Unit), metric.WithDescription(d.Help))
		if err != nil {
			return err
		}
		instruments[i] = g
		observables = append(observables, g)
	}
	events, err := meter.Int64ObservableCounter("marigoldwood_events", metric.WithDescription(eventsHelp))
	if err != nil {
		return err
	}
	targetFlows, err := meter.Int64ObservableGauge("marigoldwood_target_flows", metric.WithDescription(targetsHelp))
	if err != nil {
		return err
	}
	observables = append(observables, events, targetFlows)
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := read()
		for i, d := range gauges {
			o.ObserveFloat64(instruments[i], d.Value(&s))
		}
		for name, n := range s.Counters {
			o.ObserveInt64(events, int64(n), metric.WithAttributes(attribute.String("kind", name)))
		}
		for _, service := range s.Services {
			for _, t := range service.Targets {
				o.ObserveInt64(targetFlows, t.Flows,
					metric.WithAttributes(attribute.String("service", service.Name), attribute.String("target", t.Address)))
			}
		}
		return nil
	}, observables...)
	return err
}

// WriteReference writes the metrics reference as Markdown tables.
func WriteReference(w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| metric | unit | meaning |\n|---|---|---|"); err != nil {
		return err
	}
	for _, g := range Gauges() {
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", g.Name, strings.Trim(g.Unit, "{}"), g.Help); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "| `marigoldwood_events{kind}` | events | %s |\n| `marigoldwood_target_flows{service,target}` | flow | %s |\n", eventsHelp, targetsHelp); err != nil {
		return err
	}
	if _, err := fmt.Fprint(w, "\n## `marigoldwood direct`\n\n| metric | unit | meaning |\n|---|---|---|\n"); err != nil {
		return err
	}
	for _, i := range DirectInstruments() {
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", i.Name, strings.Trim(i.Unit, "{}"), i.Help); err != nil {
			return err
		}
	}
	return nil
}
