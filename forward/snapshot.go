// Package forward decides what happens to each packet: forward it to the owner of its flow, deliver it to a target,
// return it to its caller, refuse it, or drop it.
//
// The package does no I/O. Control state is passed to it as immutable snapshots.
package forward

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/placement"
)

// Role is the role of this balancer for a bucket.
type Role = ownership.Role

// Roles of a balancer for a bucket.
const (
	RoleForward   = ownership.RoleForward
	RoleOwner     = ownership.RoleOwner
	RoleAcquiring = ownership.RoleAcquiring
)

// BucketState is the role for one bucket.
type BucketState = ownership.BucketState

// TargetState is the state of a target according to the control loop.
type TargetState struct {
	Eligible     bool    // may get new flows
	Usable       bool    // may get packets of running flows; false when the target is known to be down
	Share        float64 // fraction of the full weight during slow start, 0 to 1
	ReportedLoad float64 // load reported by the target, corrected for age
}

// ServiceState holds the state of one service that the traffic goroutines use.
type ServiceState struct {
	Info     *bundle.ServiceInfo
	Table    *placement.Table
	Strategy placement.Strategy
	// ConnectionLimit is this balancer's share of the limit of connections per target; 0 means the whole limit.
	ConnectionLimit int
	Targets         []TargetState // by position in Table.Targets
}

// Snapshot is the control state at one moment. It is immutable after it has been published.
type Snapshot struct {
	Self        membership.HostID
	Incarnation uint64
	DataCentre  string
	Bundle      *bundle.Bundle // nil until one is in force
	// Behind reports that a newer bundle version is in force elsewhere; new flows are forwarded to CurrentPeer.
	Behind      bool
	CurrentPeer membership.HostID
	Map         *ownership.Map
	Buckets     *[ownership.BucketCount]BucketState
	Peers       map[membership.HostID]netip.AddrPort // data addresses
	PeerAddrs   map[netip.Addr]membership.HostID
	Services    map[flow.ServiceID]*ServiceState
	TargetAddrs map[netip.Addr]*bundle.ServiceInfo // service of each target address of this data centre
	Retired     map[flow.TargetID]RetiredTarget    // targets that are no longer in the bundle and that flows still use
	// PossiblyPartitioned reports that a member was lost without notice. It may still run on the other side of a network
	// partition, where the fabric delivers packets of the same flows to it.
	PossiblyPartitioned bool
	// LostRecently reports that such a member was lost within the last minute.
	LostRecently bool
	Fenced       bool // the membership view is being refreshed after a pause of the process; all packets are dropped
	Stopping     bool // a graceful shutdown is in progress
}

// NewSnapshot returns a snapshot with the services of a bundle and their targets in a data centre. The targets are
// neither eligible nor usable, and the buckets have no owner, until the caller fills them in.
func NewSnapshot(b *bundle.Bundle, dataCentre string) *Snapshot {
	s := &Snapshot{
		DataCentre: dataCentre, Bundle: b,
		Buckets:     new([ownership.BucketCount]BucketState),
		Peers:       make(map[membership.HostID]netip.AddrPort),
		PeerAddrs:   make(map[netip.Addr]membership.HostID),
		Services:    make(map[flow.ServiceID]*ServiceState),
		TargetAddrs: make(map[netip.Addr]*bundle.ServiceInfo),
		Retired:     make(map[flow.TargetID]RetiredTarget),
	}
	for _, info := range b.ServiceInfos() {
		table := placement.NewTable(info, dataCentre)
		s.Services[info.ID] = &ServiceState{Info: info, Table: table, Targets: make([]TargetState, len(table.Targets))}
		for i := range table.Targets {
			s.TargetAddrs[table.Targets[i].Addr] = info
		}
	}
	return s
}

// RetiredTarget is a target that is no longer in the bundle. It gets only packets of running flows.
type RetiredTarget struct {
	Addr     netip.Addr
	DataPort uint16
	Service  flow.ServiceID
	VNI      uint32 // VNI of the service when the target was removed from the bundle
}

// Exception is a flow whose target a new owner cannot compute, mostly because it is not the default target.
type Exception = ownership.Exception

// ExceptionSink is notified of added and removed exceptions. Any traffic goroutine may call it, and it must not block.
type ExceptionSink interface {
	ExceptionAdded(b ownership.Bucket, e Exception)
	ExceptionRemoved(b ownership.Bucket, k flow.Key)
}
