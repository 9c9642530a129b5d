// Package bundle implements the versioned configuration of services, targets and placement: its document format,
// validation and signature, and the decision whether a received version is accepted.
//
// Every decision is a pure function of its arguments, so that all balancers decide the same.
package bundle

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
)

// MaxEnvelopeBytes is the maximum size of an envelope: the largest value that the platform's configuration service stores.
const MaxEnvelopeBytes = 1 << 20

// Document is the YAML form of a bundle. The JSON names, which the compact form uses, equal the YAML names.
type Document struct {
	Version     uint64     `yaml:"version" json:"version" validate:"min=1"`
	Description string     `yaml:"description,omitempty" json:"description,omitzero"`
	Activation  Activation `yaml:"activation,omitempty" json:"activation,omitzero"`
	Services    []Service  `yaml:"services" json:"services" validate:"dive"`
}

// Activation configures when a staged bundle is activated: once all balancers of the data centre have staged it, or after a
// maximum wait.
type Activation struct {
	MaxStageMS int `yaml:"max_stage_ms,omitempty" json:"max_stage_ms,omitzero" validate:"min=0,max=5000"` // milliseconds; 0 means DefaultMaxStage
}

// DefaultMaxStage is the default time that a staged bundle waits for members that have not reported it as staged.
const DefaultMaxStage = 1500 * time.Millisecond

// Service classes, in descending order of priority. Under overload, bulk work is shed before urgent work.
const (
	ClassUrgent = "urgent"
	ClassBulk   = "bulk"
)

// Service kinds. A flow of a session service is a long-lived connection; a flow of a short service is one request.
const (
	KindSession = "session"
	KindShort   = "short"
)

// Service describes one service behind one or more endpoints.
type Service struct {
	Name       string    `yaml:"name" json:"name" validate:"required,max=63,excludesall=0x7C"`
	VNI        uint32    `yaml:"vni" json:"vni" validate:"min=16,max=16777215"` // Geneve virtual network identifier (VNI) between balancers and targets
	Protocol   string    `yaml:"protocol" json:"protocol" validate:"oneof=tcp udp"`
	Endpoints  []string  `yaml:"endpoints" json:"endpoints" validate:"min=1"` // "address:port"
	Class      string    `yaml:"class" json:"class" validate:"oneof=urgent bulk"`
	Kind       string    `yaml:"kind" json:"kind" validate:"oneof=session short"`
	Idempotent bool      `yaml:"idempotent" json:"idempotent"`
	DeadlineMS int       `yaml:"deadline_ms,omitempty" json:"deadline_ms,omitzero" validate:"min=0,max=3600000"` // milliseconds; 0 means none
	Limits     Limits    `yaml:"limits,omitempty" json:"limits,omitzero"`
	Placement  Placement `yaml:"placement,omitempty" json:"placement,omitzero"`
	Retry      Retry     `yaml:"retry,omitempty" json:"retry,omitzero"`
	Targets    []Target  `yaml:"targets" json:"targets" validate:"dive"`
}

// Limits bounds the concurrent work of one target of a service. Zero means no limit.
type Limits struct {
	SlotsPerTarget       int `yaml:"slots_per_target,omitempty" json:"slots_per_target,omitzero" validate:"min=0,max=65535"`
	ConnectionsPerTarget int `yaml:"connections_per_target,omitempty" json:"connections_per_target,omitzero" validate:"min=0,max=10000000"`
	ReservedUrgentSlots  int `yaml:"reserved_urgent_slots,omitempty" json:"reserved_urgent_slots,omitzero" validate:"min=0,max=65535"`
}

// Placement configures how new flows are placed on targets.
type Placement struct {
	Strategy   string  `yaml:"strategy,omitempty" json:"strategy,omitzero" validate:"omitempty,oneof=hrw bounded p2c leastload"` // default bounded
	LoadFactor float64 `yaml:"load_factor,omitempty" json:"load_factor,omitzero" validate:"omitempty,min=1,max=10"`              // for bounded: maximum load as a multiple of the mean load; default 1.1
}

// Retry bounds retries of a service.
type Retry struct {
	BudgetPercent int `yaml:"budget_percent,omitempty" json:"budget_percent,omitzero" validate:"min=0,max=100"` // percentage of requests that may be retried; 0 means no retries
}

// Target is one process that handles the requests of a service.
type Target struct {
	Address    string `yaml:"address" json:"address" validate:"ip"`
	DataCentre string `yaml:"data_centre" json:"data_centre" validate:"required"`
	Weight     int    `yaml:"weight,omitempty" json:"weight,omitzero" validate:"min=0,max=1000"` // default 1
	Drain      bool   `yaml:"drain,omitempty" json:"drain,omitzero"`
	DataPort   int    `yaml:"data_port,omitempty" json:"data_port,omitzero" validate:"min=0,max=65535"`     // Geneve UDP port; default DefaultDataPort
	HealthPort int    `yaml:"health_port,omitempty" json:"health_port,omitzero" validate:"min=0,max=65535"` // HTTP port for health and load probes; 0 means no probes
}

// DefaultDataPort is the UDP port that IANA assigned to Geneve (RFC 8926, section 3.3).
const DefaultDataPort = 6081

// Bundle is a parsed and validated document with its lookup tables. It is immutable.
type Bundle struct {
	Document
	Digest    [32]byte // SHA-256 of the payload
	Payload   []byte   // the document as received: YAML, or the compact form
	Envelope  []byte   // the signed envelope that contained the payload; nil for an unsigned document
	endpoints map[EndpointAddr]*Endpoint
	byID      map[flow.EndpointID]*Endpoint
	services  []*ServiceInfo
	byVNI     map[uint32]*ServiceInfo
}

// EndpointAddr is the lookup key of an endpoint: the transport protocol and destination of a packet.
type EndpointAddr struct {
	Protocol flow.Protocol
	Addr     netip.AddrPort
}

// Endpoint is an endpoint with its ID and its service.
type Endpoint struct {
	ID      flow.EndpointID
	Addr    EndpointAddr
	Service *ServiceInfo
}

// ServiceInfo is a service with parsed values, IDs and defaults filled in.
type ServiceInfo struct {
	Service
	ID       flow.ServiceID
	Proto    flow.Protocol
	Deadline time.Duration // 0 means none
	Resolved []TargetInfo  // in the order of the document
}

// TargetInfo is a target with a parsed address, an ID and defaults filled in.
type TargetInfo struct {
	ID         flow.TargetID
	Addr       netip.Addr
	DataCentre string
	Weight     uint32
	Drain      bool
	DataPort   uint16
	HealthPort uint16
}

// Endpoint returns the endpoint with the address, or nil.
func (b *Bundle) Endpoint(addr EndpointAddr) *Endpoint { return b.endpoints[addr] }

// EndpointByID returns the endpoint with the ID, or nil.
func (b *Bundle) EndpointByID(id flow.EndpointID) *Endpoint { return b.byID[id] }

// ServiceByVNI returns the service with the VNI, or nil.
func (b *Bundle) ServiceByVNI(vni uint32) *ServiceInfo { return b.byVNI[vni] }

// ServiceInfos returns the services in the order of the document. The caller must not modify the slice.
func (b *Bundle) ServiceInfos() []*ServiceInfo { return b.services }
