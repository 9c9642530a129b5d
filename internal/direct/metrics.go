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

// counterKey names a counter of packets.
type counterKey struct {
	action steer.Action
	code   resultcode.Code
}

// metrics counts what the balancer does. The traffic goroutine only adds to atomics; they are read for each scrape.
type metrics struct {
	handler http.Handler
	packets map[counterKey]*atomic.Uint64 // fixed after construction
	other   atomic.Uint64
	flows   atomic.Int64
	batches metric.Float64Histogram
	reads   metric.Float64Histogram
}

// outcomes lists the decisions that are counted.
var outcomes = []counterKey{
	{steer.Forward, resultcode.OK},
	{steer.Refuse, resultcode.PacketUnknownEndpoint},
	{steer.Refuse, resultcode.RefusedNoTarget},
	{steer.Break, resultcode.TargetGone},
	{steer.Drop, resultcode.TargetGone},
	{steer.Drop, resultcode.PacketUnknownFlow},
	{steer.Drop, resultcode.NotReady},
	{steer.Drop, resultcode.PacketTruncated},
	{steer.Drop, resultcode.PacketMalformed},
	{steer.Drop, resultcode.PacketOversized},
	{steer.Drop, resultcode.PacketSendFailed},
}

// Bounds of the histograms, seconds.
var (
	batchBounds = []float64{0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1}
	readBounds  = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3}
)

func newMetrics() (*metrics, error) {
	meter, handler, err := telemetry.NewMeter()
	if err != nil {
		return nil, err
	}
	m := &metrics{handler: handler, packets: make(map[counterKey]*atomic.Uint64, len(outcomes))}
	for _, k := range outcomes {
		m.packets[k] = &atomic.Uint64{}
	}
	m.batches, err = meter.Float64Histogram("marigoldwood_batch_seconds", metric.WithUnit("s"),
		metric.WithDescription("time to decide about and forward one batch of packets"), metric.WithExplicitBucketBoundaries(batchBounds...))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m.reads, err = meter.Float64Histogram("marigoldwood_store_read_seconds", metric.WithUnit("s"),
		metric.WithDescription("time of reads of the store, by kind and result"), metric.WithExplicitBucketBoundaries(readBounds...))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return m, m.observe(meter)
}

func (m *metrics) observe(meter metric.Meter) error {
	packets, err := meter.Int64ObservableCounter("marigoldwood_packets", metric.WithDescription("packets from callers by action and result code"))
	if err != nil {
		return Error.Wrap(err)
	}
	flows, err := meter.Int64ObservableGauge("marigoldwood_flows_open", metric.WithDescription("flows that this balancer remembers"))
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for k, n := range m.packets {
			o.ObserveInt64(packets, int64(n.Load()), metric.WithAttributes(attribute.String("action", k.action.String()), attribute.String("code", k.code.String())))
		}
		o.ObserveInt64(packets, int64(m.other.Load()), metric.WithAttributes(attribute.String("action", "other")))
		o.ObserveInt64(flows, m.flows.Load())
		return nil
	}, packets, flows)
	return Error.Wrap(err)
}

// count adds to a counter.
func (m *metrics) count(action steer.Action, code resultcode.Code, n uint64) {
	if c := m.packets[counterKey{action, code}]; c != nil {
		c.Add(n)
		return
	}
	m.other.Add(n)
}

// counters returns the packets by action and result code name.
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

// batchSample is the share of batches whose time is recorded.
const batchSample = 16

func (m *metrics) batch(packets int, took time.Duration) {
	if packets > 0 && m.flows.Load()%batchSample == 0 {
		m.batches.Record(context.Background(), took.Seconds())
	}
}

func (m *metrics) read(r readResult) {
	m.reads.Record(context.Background(), r.took.Seconds(), metric.WithAttributes(
		attribute.String("kind", r.read.Kind.String()), attribute.String("code", resultcode.Of(r.err).String())))
}
