package caller

import (
	"maps"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Flow identifies a flow in the same way as the registry of the targets.
type Flow struct {
	Caller  netip.AddrPort `json:"caller"`
	Service string         `json:"service"`
}

// BrokenFlow describes a session that broke.
type BrokenFlow struct {
	Caller netip.AddrPort `json:"caller"`
	Target string         `json:"target"`
	Reason string         `json:"reason"`
	AtMS   int64          `json:"at_ms"` // since the start of the caller process
}

// maxSamples bounds the broken flows that each lane describes; all are counted.
const maxSamples = 20

// Latency describes a distribution of times in microseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P90   int64   `json:"p90_us"`
	P99   int64   `json:"p99_us"`
	P999  int64   `json:"p999_us"`
	Max   int64   `json:"max_us"`
}

// Histograms cover 1 µs to 2 minutes with 3 significant digits.
const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// SessionCounts are the counters of a group of sessions.
type SessionCounts struct {
	Started      uint64 `json:"started"`
	Opened       uint64 `json:"opened"`
	Refused      uint64 `json:"refused"`
	OpenTimedOut uint64 `json:"open_timed_out"`
	Broken       uint64 `json:"broken"` // opened, and not ended by this side
	Closed       uint64 `json:"closed"`
	Requests     uint64 `json:"requests"`
	Answers      uint64 `json:"answers"`
	Lost         uint64 `json:"lost"` // requests without a response on sessions that closed in order
	Pushes       uint64 `json:"pushes"`
	Reordered    uint64 `json:"reordered"` // pushes out of sequence
	Duplicates   uint64 `json:"duplicates"`
	Foreign      uint64 `json:"foreign"`
	Mixed        uint64 `json:"mixed"` // responses of another target than the previous response
	Truncated    uint64 `json:"truncated"`
}

type sessionStats struct {
	SessionCounts
	latency *hdrhistogram.Histogram
	reasons map[string]uint64
	samples []BrokenFlow
	refused []Flow
}

// SessionResult is the result of a group of sessions.
type SessionResult struct {
	Name string `json:"name"`
	SessionCounts
	Reasons map[string]uint64 `json:"reasons"`
	Samples []BrokenFlow      `json:"samples"`
	Latency Latency           `json:"latency"`
}

// LoadCounts are the counters of the requests of a load.
type LoadCounts struct {
	Sent               uint64 `json:"sent"`
	OK                 uint64 `json:"ok"`
	InTime             uint64 `json:"in_time"` // OK within the deadline, or without one
	Late               uint64 `json:"late"`    // not run by the target, because of the deadline
	Refused            uint64 `json:"refused"` // refused, and so not run
	Reset              uint64 `json:"reset"`
	TimedOut           uint64 `json:"timed_out"`
	Canceled           uint64 `json:"canceled"`
	CancelsSent        uint64 `json:"cancels_sent"`
	Repeated           uint64 `json:"repeated"`   // retransmissions of UDP requests
	Duplicates         uint64 `json:"duplicates"` // responses after the first
	Foreign            uint64 `json:"foreign"`
	Mixed              uint64 `json:"mixed"`
	Truncated          uint64 `json:"truncated"`
	RefusedAfterAnswer uint64 `json:"refused_after_answer"`
}

// slotDuration is the resolution of the time series.
const slotDuration = 100 * time.Millisecond

// Slot holds the counters of one slotDuration.
type Slot struct {
	Offered uint64 `json:"offered"`
	InTime  uint64 `json:"in_time"` // in the slot in which the request was due
	Refused uint64 `json:"refused"`
	Goodput uint64 `json:"goodput"` // in the slot in which the response arrived
}

type loadStats struct {
	LoadCounts
	short, long *hdrhistogram.Histogram
	refused     []Flow
	start       time.Duration
	slots       []Slot
}

// slot returns the slot of a time since the start of the process.
func (s *loadStats) slot(at time.Duration) *Slot {
	i := int(max(0, at-s.start) / slotDuration)
	for len(s.slots) <= i {
		s.slots = append(s.slots, Slot{})
	}
	return &s.slots[i]
}

// LoadResult is the result of a load.
type LoadResult struct {
	Name string `json:"name"`
	LoadCounts
	Short  Latency `json:"short"`
	Long   Latency `json:"long"`
	SlotMS int64   `json:"slot_ms"`
	Slots  []Slot  `json:"slots"`
}

// Result is the result of a caller process.
type Result struct {
	Sessions []SessionResult `json:"sessions"`
	Loads    []LoadResult    `json:"loads"`
	Strays   uint64          `json:"strays"`  // TCP segments and UDP packets of unknown flows
	Damaged  uint64          `json:"damaged"` // packets that cannot be decoded or have another VNI
	Refused  []Flow          `json:"-"`
}

func (g *sessionGroup) result() (SessionResult, []Flow) {
	r := SessionResult{Name: g.plan.Name, Reasons: make(map[string]uint64)}
	latency := newHistogram()
	var refused []Flow
	for i, s := range g.stats {
		g.lanes[i].withLock(func() {
			addSessionCounts(&r.SessionCounts, &s.SessionCounts)
			latency.Merge(s.latency)
			for reason, n := range maps.All(s.reasons) {
				r.Reasons[reason] += n
			}
			r.Samples = append(r.Samples, s.samples...)
			refused = append(refused, s.refused...)
		})
	}
	r.Latency = summarizeLatency(latency)
	return r, refused
}

func addSessionCounts(to, from *SessionCounts) {
	for _, f := range []struct{ to, from *uint64 }{
		{&to.Started, &from.Started},
		{&to.Opened, &from.Opened},
		{&to.Refused, &from.Refused},
		{&to.OpenTimedOut, &from.OpenTimedOut},
		{&to.Broken, &from.Broken},
		{&to.Closed, &from.Closed},
		{&to.Requests, &from.Requests},
		{&to.Answers, &from.Answers},
		{&to.Lost, &from.Lost},
		{&to.Pushes, &from.Pushes},
		{&to.Reordered, &from.Reordered},
		{&to.Duplicates, &from.Duplicates},
		{&to.Foreign, &from.Foreign},
		{&to.Mixed, &from.Mixed},
		{&to.Truncated, &from.Truncated},
	} {
		*f.to += *f.from
	}
}

func (g *loadGroup) result() (LoadResult, []Flow) {
	r := LoadResult{Name: g.plan.Name, SlotMS: slotDuration.Milliseconds()}
	short, long := newHistogram(), newHistogram()
	var refused []Flow
	for i, s := range g.stats {
		g.lanes[i].withLock(func() {
			addLoadCounts(&r.LoadCounts, &s.LoadCounts)
			short.Merge(s.short)
			long.Merge(s.long)
			refused = append(refused, s.refused...)
			for len(r.Slots) < len(s.slots) {
				r.Slots = append(r.Slots, Slot{})
			}
			for j, slot := range s.slots {
				r.Slots[j].Offered += slot.Offered
				r.Slots[j].InTime += slot.InTime
				r.Slots[j].Refused += slot.Refused
				r.Slots[j].Goodput += slot.Goodput
			}
		})
	}
	r.Short, r.Long = summarizeLatency(short), summarizeLatency(long)
	return r, refused
}

func addLoadCounts(to, from *LoadCounts) {
	for _, f := range []struct{ to, from *uint64 }{
		{&to.Sent, &from.Sent},
		{&to.OK, &from.OK},
		{&to.InTime, &from.InTime},
		{&to.Late, &from.Late},
		{&to.Refused, &from.Refused},
		{&to.Reset, &from.Reset},
		{&to.TimedOut, &from.TimedOut},
		{&to.Canceled, &from.Canceled},
		{&to.CancelsSent, &from.CancelsSent},
		{&to.Repeated, &from.Repeated},
		{&to.Duplicates, &from.Duplicates},
		{&to.Foreign, &from.Foreign},
		{&to.Mixed, &from.Mixed},
		{&to.Truncated, &from.Truncated},
		{&to.RefusedAfterAnswer, &from.RefusedAfterAnswer},
	} {
		*f.to += *f.from
	}
}
