package direct

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/marigoldwood/marigoldwood/internal/telemetry"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// counterKey identifies a packet counter.
type counterKey struct {
	action steer.Action
	code   resultcode.Code
}

// metrics holds the metrics of the balancer. The traffic goroutine mostly updates atomics, which are read for each scrape.
type metrics struct {
	handler        http.Handler
	packets        map[counterKey]*atomic.Uint64 // fixed after construction
	otherPackets   atomic.Uint64
	flows          atomic.Int64
	version        atomic.Uint64
	storeAge       atomic.Int64 // ms
	storeEra       atomic.Int64
	evacuations    atomic.Int64 // evacuated data centres that have targets
	failingTargets atomic.Int64
	darkTargets    atomic.Int64
	earlyReports   atomic.Int64
	// limitedTargets is the number of targets to which opening packets are limited.
	limitedTargets atomic.Int64
	queues         atomic.Pointer[[]steer.Queue]
	balances       atomic.Pointer[[]steer.Balance]
	batchTimes     metric.Float64Histogram
	readTimes      metric.Float64Histogram
	openTimes      metric.Float64Histogram
}

// countedDecisions lists the decisions that have a counter of their own.
var countedDecisions = []counterKey{
	{steer.Forward, resultcode.OK},
	{steer.Refuse, resultcode.PacketUnknownEndpoint},
	{steer.Refuse, resultcode.RefusedNoTarget},
	{steer.Refuse, resultcode.RefusedNoSlot},
	{steer.Refuse, resultcode.RefusedConnections},
	{steer.Refuse, resultcode.RefusedCold},
	{steer.Drop, resultcode.RefusedCold},
	{steer.Break, resultcode.TargetGone},
	{steer.Break, resultcode.TargetLost},
	{steer.Drop, resultcode.TargetGone},
	{steer.Drop, resultcode.PacketUnknownFlow},
	{steer.Drop, resultcode.NotReady},
	{steer.Drop, resultcode.PacketFenced},
	{steer.Drop, resultcode.PacketTruncated},
	{steer.Drop, resultcode.PacketMalformed},
	{steer.Drop, resultcode.PacketOversized},
	{steer.Drop, resultcode.PacketSendFailed},
	{steer.Drop, resultcode.Internal},
}

// Bucket boundaries of the histograms, seconds.
var (
	batchBounds = []float64{0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1}
	readBounds  = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3}
)

func newMetrics() (*metrics, error) {
	meter, handler, err := telemetry.NewMeter()
	if err != nil {
		return nil, err
	}
	m := &metrics{handler: handler, packets: make(map[counterKey]*atomic.Uint64, len(countedDecisions))}
	m.storeAge.Store(-1)
	for _, k := range countedDecisions {
		m.packets[k] = &atomic.Uint64{}
	}
	for _, h := range []struct {
		into       *metric.Float64Histogram
		instrument telemetry.Instrument
		bounds     []float64
	}{
		{&m.batchTimes, telemetry.DirectBatchSeconds, batchBounds},
		{&m.readTimes, telemetry.DirectStoreReadSeconds, readBounds},
		{&m.openTimes, telemetry.DirectOpenSeconds, readBounds},
	} {
		*h.into, err = meter.Float64Histogram(h.instrument.Name, metric.WithUnit(h.instrument.Unit),
			metric.WithDescription(h.instrument.Help), metric.WithExplicitBucketBoundaries(h.bounds...))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return m, m.registerObservers(meter)
}

func (m *metrics) registerObservers(meter metric.Meter) error {
	packets, err := meter.Int64ObservableCounter(telemetry.DirectPackets.Name, metric.WithDescription(telemetry.DirectPackets.Help))
	if err != nil {
		return Error.Wrap(err)
	}
	early, err := meter.Int64ObservableCounter(telemetry.DirectEarlyReports.Name, metric.WithDescription(telemetry.DirectEarlyReports.Help))
	if err != nil {
		return Error.Wrap(err)
	}
	observables := []metric.Observable{packets, early}
	gauges := map[telemetry.Instrument]func() int64{
		telemetry.DirectFlows:                m.flows.Load,
		telemetry.DirectPlatformAge:          m.storeAge.Load,
		telemetry.DirectEvacuations:          m.evacuations.Load,
		telemetry.DirectFailingTargets:       m.failingTargets.Load,
		telemetry.DirectLimitedTargets:       m.limitedTargets.Load,
		telemetry.DirectStoreEra:             m.storeEra.Load,
		telemetry.DirectTargetsDark:          m.darkTargets.Load,
		telemetry.DirectConfigurationVersion: func() int64 { return int64(m.version.Load()) },
	}
	observed := map[metric.Int64ObservableGauge]func() int64{}
	for instrument, value := range gauges {
		g, err := gauge(meter, instrument)
		if err != nil {
			return err
		}
		observed[g] = value
		observables = append(observables, g)
	}
	var waiting, slots, slow, handedOn metric.Int64ObservableGauge // by service
	for _, g := range []struct {
		into       *metric.Int64ObservableGauge
		instrument telemetry.Instrument
	}{
		{&waiting, telemetry.DirectServiceWaiting},
		{&slots, telemetry.DirectServiceSlots},
		{&slow, telemetry.DirectSlowTargets},
		{&handedOn, telemetry.DirectHandedOn},
	} {
		if *g.into, err = gauge(meter, g.instrument); err != nil {
			return err
		}
		observables = append(observables, *g.into)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for k, n := range m.packets {
			o.ObserveInt64(packets, int64(n.Load()), metric.WithAttributes(attribute.String("action", k.action.String()), attribute.String("code", k.code.String())))
		}
		o.ObserveInt64(packets, int64(m.otherPackets.Load()), metric.WithAttributes(attribute.String("action", "other")))
		o.ObserveInt64(early, m.earlyReports.Load())
		for g, value := range observed {
			o.ObserveInt64(g, value())
		}
		if queues := m.queues.Load(); queues != nil {
			for _, q := range *queues {
				service := metric.WithAttributes(attribute.String("service", q.Service))
				o.ObserveInt64(waiting, int64(q.Waiting), service)
				o.ObserveInt64(slots, int64(q.Slots), service)
			}
		}
		if balances := m.balances.Load(); balances != nil {
			for _, b := range *balances {
				service := metric.WithAttributes(attribute.String("service", b.Service))
				o.ObserveInt64(slow, int64(b.SlowTargets), service)
				o.ObserveInt64(handedOn, int64(100*b.HandedOn), service)
			}
		}
		return nil
	}, observables...)
	return Error.Wrap(err)
}

func gauge(meter metric.Meter, i telemetry.Instrument) (metric.Int64ObservableGauge, error) {
	g, err := meter.Int64ObservableGauge(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Help))
	return g, Error.Wrap(err)
}

// count adds n to the counter of a decision, or to that of other packets if the decision has none.
func (m *metrics) count(action steer.Action, code resultcode.Code, n uint64) {
	if c := m.packets[counterKey{action, code}]; c != nil {
		c.Add(n)
		return
	}
	m.otherPackets.Add(n)
}

// counters returns the numbers of packets by action and by result code.
func (m *metrics) counters() map[string]uint64 {
	out := map[string]uint64{}
	for k, n := range m.packets {
		out[k.action.String()] += n.Load()
		if k.code != resultcode.OK {
			out[k.code.String()] += n.Load()
		}
	}
	return out
}

// batchSampling is the sampling rate of batch times: one in 16 is recorded, because recording costs more than a packet.
const batchSampling = 16

func (m *metrics) recordBatch(number uint64, took time.Duration) {
	if number%batchSampling == 0 {
		m.batchTimes.Record(context.Background(), took.Seconds())
	}
}

func (m *metrics) recordRead(r readResult) {
	m.readTimes.Record(context.Background(), r.duration.Seconds(), metric.WithAttributes(
		attribute.String("kind", r.read.Kind.String()), attribute.String("code", resultcode.Of(r.err).String())))
}
