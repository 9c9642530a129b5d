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

// registryLimit bounds the flows and requests that are remembered, about 400 MB.
const registryLimit = 2_000_000

// Registry records which flows reached which targets and how often each request was run. It is shared by all targets
// of a process, and safe for use by several goroutines.
type Registry struct {
	mu        sync.Mutex
	flows     map[FlowID]flowRecord
	runs      map[uint64]run
	twice     []Repeat
	moved     []Move
	forgotten uint64
}

type flowRecord struct {
	target  netip.Addr
	refused bool // the target itself refused the flow
	request bool // the target received a request of the flow
	moved   bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{flows: make(map[FlowID]flowRecord), runs: make(map[uint64]run)}
}

// run is the last run of a request.
type run struct {
	target netip.Addr
	times  uint8
}

// Repeat is the second run of a request.
type Repeat struct {
	Request uint64     `json:"request"`
	Service string     `json:"service"`
	First   netip.Addr `json:"first"`
	Second  netip.Addr `json:"second"`
	At      time.Time  `json:"at"`
}

// Move is the arrival of a flow at a second target.
type Move struct {
	FlowID
	From netip.Addr `json:"from"`
	To   netip.Addr `json:"to"`
	At   time.Time  `json:"at"`
}

// RecordFlow records that a packet of a flow came to a target that did not know the flow. The target refused it or not.
func (r *Registry) RecordFlow(id FlowID, target netip.Addr, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.flows[id]
	switch {
	case !known && len(r.flows) >= registryLimit:
		r.forgotten++
	case !known:
		r.flows[id] = flowRecord{target: target, refused: refused}
	case record.refused: // a flow that its target refused may be given to another one
		r.flows[id] = flowRecord{target: target, refused: refused}
	default:
		r.move(id, record, target)
	}
}

// RecordUnmatched records that a segment of an open flow came to a target that does not know the flow.
func (r *Registry) RecordUnmatched(id FlowID, target netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, known := r.flows[id]; known && !record.refused {
		r.move(id, record, target)
	}
}

func (r *Registry) move(id FlowID, record flowRecord, target netip.Addr) {
	if record.target == target || record.moved {
		return
	}
	record.moved = true
	r.flows[id] = record
	r.moved = append(r.moved, Move{FlowID: id, From: record.target, To: target, At: time.Now()})
}

// RecordRun records that a target starts to run a request.
func (r *Registry) RecordRun(request uint64, service string, target netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.runs[request]
	if !known && len(r.runs) >= registryLimit {
		r.forgotten++
		return
	}
	if last.times == 1 {
		r.twice = append(r.twice, Repeat{Request: request, Service: service, First: last.target, Second: target, At: time.Now()})
	}
	r.runs[request] = run{target: target, times: min(last.times, 254) + 1}
}

// Summary is what the registry shows.
type Summary struct {
	Flows     int      `json:"flows"`
	Requests  int      `json:"requests"`  // requests that were run
	Twice     []Repeat `json:"twice"`     // requests that were run more than once
	Moved     []Move   `json:"moved"`     // flows that came to a second target
	Forgotten uint64   `json:"forgotten"` // flows and requests beyond the limit of the registry
}

// Summary returns a copy of the results.
func (r *Registry) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Flows: len(r.flows), Requests: len(r.runs), Forgotten: r.forgotten,
		Twice: append([]Repeat{}, r.twice...), Moved: append([]Move{}, r.moved...),
	}
}

// RecordRequest records that a target received a request of a flow.
func (r *Registry) RecordRequest(id FlowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, known := r.flows[id]; known && !record.request {
		record.request = true
		r.flows[id] = record
	}
}

// KnownFlow is a flow that reached a target and was not refused by it.
type KnownFlow struct {
	FlowID
	Request bool `json:"request"` // the target received a request of the flow, and not only a SYN
}

// Known returns those of the flows that reached a target and were not refused by it.
func (r *Registry) Known(ids []FlowID) []KnownFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := []KnownFlow{}
	for _, id := range ids {
		if record, ok := r.flows[id]; ok && !record.refused {
			known = append(known, KnownFlow{FlowID: id, Request: record.request})
		}
	}
	return known
}
