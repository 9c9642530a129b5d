// Package directory maintains a balancer's view of routes and targets, read from a store that may be unavailable, slow or
// stale, and that the balancer cannot write to. It does no I/O: callers pass in read results and the time, and get immutable
// snapshots.
package directory

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TargetID is the number by which a target recognizes the datagrams addressed to it.
type TargetID uint64

// Token identifies the target of a flow in the flow's packets, so that any balancer can forward them without state about
// the flow. 0 stands for no target.
type Token uint32

// Target is the last record that a target wrote about itself.
type Target struct {
	Name       string // unique; a restarted target may keep it
	ID         TargetID
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Capacity   int // requests that it processes concurrently
	Draining   bool
	ColdFor    time.Duration // remaining warm-up time when the record was read
	StartedMS  int64         // start as a Unix time, ms; 0 if unknown
	// Sequence is the number of records that the target had written since its start. It orders records only after the store was
	// restored from a copy.
	Sequence int64
}

// Token returns the token of the target. It is derived from the ID alone, and is never 0.
func (t *Target) Token() Token {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(t.ID))
	h := xxhash.Sum64(b[:])
	if token := Token(h ^ h>>32); token != 0 {
		return token
	}
	return 1
}

// Load is the load of a target as observed by one or several balancers.
type Load struct {
	Token   Token
	Pending uint16 // flows and requests waiting for a response
	Open    uint16 // open flows
	Suspect bool   // the target does not respond to flows
	Silent  bool   // nor to data of open flows, to which a target at its limit of flows responds
	// Answers counts recent answers. ExcessShort counts those that were much shorter than usual beyond the share of such answers in the
	// service, and ShortVariance is its variance if the target were like the others. All are in hundredths, weighted by their age, and 0
	// while the service gives no short answers.
	Answers       uint16
	ExcessShort   int16
	ShortVariance uint16
	// Times is the evidence of slow answers. Messages hold it in Loads.Times.
	Times AnswerTimes `msgpack:"-"`
}

// Loads are the loads of targets in one message. A message names the busiest targets and sums up the others, so that its
// size does not grow with their number.
type Loads struct {
	Targets []Load
	Rest    []ServiceLoad // of targets with pending requests that Targets leaves out
	Times   []TargetTimes // of some of Targets, usually none
	Silence []Silence     // evidence on targets that may have fallen silent
	CutOffs uint16        // balancers whose evidence is void, because targets that leave their data unanswered answer others
}

// ServiceLoad is the load of several targets of a service together.
type ServiceLoad struct {
	Service string
	Pending uint32 // flows and requests waiting for a response
}

// Change is the write or removal of one target record in the store.
type Change struct {
	Name     string
	Revision Revision // orders all changes of the store
	Removed  bool     // the record was removed
	// Unusable reports that the record was written, but describes no usable target, for example because another program wrote
	// it. It says nothing about the target itself.
	Unusable bool
	// Kept is the newer record by which the sender goes on treating the target since the store was restored from a copy, or nil. The
	// other fields then describe the record in the store.
	Kept *KeptRecord
	// Target is the target's record. For a removed target and an unusable record it is the last usable record, or nil if the
	// sender of the change does not have it.
	Target *Target
}

// KeptRecord is a target's record that a restored store has lost.
type KeptRecord struct {
	Target  Target
	Removed bool // the target had left
}

// Route maps an endpoint to the services that handle its flows.
type Route struct {
	Name     string
	Endpoint Endpoint
	Services []WeightedService // at least one
	// Idempotent reports that requests of the route may be executed more than once.
	Idempotent bool
	Priority   int // 0 is the most urgent
	Timeout    time.Duration
	Objective  time.Duration // latency objective
}

// Service is the operator's configuration of a service.
type Service struct {
	Name string
	// ColdStart is how long a target is slow after its start, or after a time without work.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests that a target can handle per second while it is cold; 0 if there is no limit.
	ColdPerSecond float64
}

// WeightedService is a service with its share of a route's new flows.
type WeightedService struct {
	Name   string
	Weight int
}

// Endpoint is an IPv4 address and port. It is small and free of pointers because it is a key of flow tables.
type Endpoint struct {
	Address [4]byte
	Port    uint16
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Address), e.Port)
}

// String returns address:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version     uint64
	Revision    Revision // of its record in the store
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // after which an idle flow may be discarded
}

// Batch is the result of one read of the store, or what another host knows of its content.
type Batch struct {
	// Complete reports that the batch lists every target, so that targets missing from it no longer exist.
	Complete bool
	// Revision is the revision up to which all changes are known once the batch is applied: for a list, the revision of
	// the store before the read; for a watch, that of its newest change, or the number 0 without changes. Its era is that of the
	// response.
	Revision      Revision
	Configuration *Configuration // nil if the batch holds none
	Changes       []Change
	Evacuations   []Evacuation // at most one for each data centre
	// Provisional reports that parts of the batch may be stale. A host without any data uses such a batch until it gets a
	// complete one, and does not send it to other hosts.
	Provisional bool `msgpack:"-"`
}

// IsEmpty reports whether the batch holds no records.
func (b *Batch) IsEmpty() bool {
	return b.Configuration == nil && len(b.Changes) == 0 && len(b.Evacuations) == 0
}
