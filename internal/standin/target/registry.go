package target

import (
	"net/netip"
	"sync"
	"time"
)

// FlowID identifies a flow in the registry.
type FlowID struct {
	Caller  netip.AddrPort `json:"caller"`
	Service string         `json:"service"`
}

// maxRecords bounds the flows and, separately, the requests that are recorded; together they take about 400 MB.
const maxRecords = 2_000_000

// Registry records which flows reached which targets and how often each request was run. It is shared by all targets
// of a process and safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	flows      map[FlowID]flowRecord
	runs       map[uint64]runRecord
	repeats    []Repeat
	moves      []Move
	unrecorded uint64
}

type flowRecord struct {
	target    netip.Addr
	refused   bool // the target refused the flow
	requested bool // the target received a request of the flow
	moved     bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{flows: make(map[FlowID]flowRecord), runs: make(map[uint64]runRecord)}
}

// runRecord is the last run of a request.
type runRecord struct {
	target netip.Addr
	times  uint8
}

// Repeat describes the second run of a request.
type Repeat struct {
	Request uint64     `json:"request"`
	Service string     `json:"service"`
	First   netip.Addr `json:"first"`
	Second  netip.Addr `json:"second"`
	At      time.Time  `json:"at"`
}

// Move describes the arrival of a flow at a second target.
type Move struct {
	FlowID
	From netip.Addr `json:"from"`
	To   netip.Addr `json:"to"`
	At   time.Time  `json:"at"`
}

// RecordFlow records that a new flow arrived at a target, and whether the target refused it.
func (r *Registry) RecordFlow(id FlowID, target netip.Addr, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.flows[id]
	switch {
	case !known && len(r.flows) >= maxRecords:
		r.unrecorded++
	case !known:
		r.flows[id] = flowRecord{target: target, refused: refused}
	case record.refused: // a refused flow may be sent to another target
		r.flows[id] = flowRecord{target: target, refused: refused}
	default:
		r.recordMove(id, record, target)
	}
}

// RecordUnmatched records that a segment of an open flow arrived at a target that does not know the flow.
func (r *Registry) RecordUnmatched(id FlowID, target netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, known := r.flows[id]; known && !record.refused {
		r.recordMove(id, record, target)
	}
}

func (r *Registry) recordMove(id FlowID, record flowRecord, target netip.Addr) {
	if record.target == target || record.moved {
		return
	}
	record.moved = true
	r.flows[id] = record
	r.moves = append(r.moves, Move{FlowID: id, From: record.target, To: target, At: time.Now()})
}

// RecordRun records that a target starts to run a request, and a Repeat if it is the second run.
func (r *Registry) RecordRun(request uint64, service string, target netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.runs[request]
	if !known && len(r.runs) >= maxRecords {
		r.unrecorded++
		return
	}
	if last.times == 1 {
		r.repeats = append(r.repeats, Repeat{Request: request, Service: service, First: last.target, Second: target, At: time.Now()})
	}
	r.runs[request] = runRecord{target: target, times: min(last.times, 254) + 1}
}

// Summary is the content of the registry.
type Summary struct {
	Flows     int      `json:"flows"`
	Requests  int      `json:"requests"`  // requests that were run
	Twice     []Repeat `json:"twice"`     // requests that were run more than once
	Moved     []Move   `json:"moved"`     // flows that arrived at a second target
	Forgotten uint64   `json:"forgotten"` // flows and runs not recorded because the registry was full
}

// Summary returns a copy of the content.
func (r *Registry) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Flows: len(r.flows), Requests: len(r.runs), Forgotten: r.unrecorded,
		Twice: append([]Repeat{}, r.repeats...), Moved: append([]Move{}, r.moves...),
	}
}

// RecordRequest records that a target received a request of a flow.
func (r *Registry) RecordRequest(id FlowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, known := r.flows[id]; known && !record.requested {
		record.requested = true
		r.flows[id] = record
	}
}

// KnownFlow is a flow that a target accepted.
type KnownFlow struct {
	FlowID
	Request bool `json:"request"` // the target received a request of the flow, not only a SYN
}

// Known returns those of the flows that a target accepted.
func (r *Registry) Known(ids []FlowID) []KnownFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := []KnownFlow{}
	for _, id := range ids {
		if record, ok := r.flows[id]; ok && !record.refused {
			known = append(known, KnownFlow{FlowID: id, Request: record.requested})
		}
	}
	return known
}
