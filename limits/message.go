// Package limits shares the work slots of each target among the balancers of a data centre.
//
// For every target one balancer owns the Ledger. Every balancer has a Holder that requests leases from the ledgers. The
// package does no I/O: messages and times are arguments, and messages to send are results.
//
// # Accounting
//
// A slot counts against the target's limit while a lease for it is in force, and for as long as work that was started
// under a lease may still run. The ledger therefore counts, for every holder, the most slots that the holder can have in
// use: those granted, until the holder itself commits to fewer. A lease that is not renewed forbids new work, but its
// slots stay counted until one of these shows that the work is over:
//
//   - the holder reports how many of the slots it still uses;
//   - the target's own load, measured after the lease ended, shows fewer pieces of work in progress;
//   - the linger time has passed, which the caller sets to the longest that a piece of work may run (the deadline of the
//     service).
//
// # Bound on overruns
//
// While one ledger serves a target, the work in progress at the target never exceeds the limit, whatever messages are
// lost, delayed, duplicated or reordered, and whichever holders are paused or restarted, as long as no piece of work runs
// longer than the linger time beyond the end of its lease. When a ledger owner is replaced without a handover, the new one
// does not know the work of holders that do not report before it grants leases, so that the target can have up to twice its
// limit in progress, until the work of the first ledger's leases ends. In a partition, each side has its own ledger, which
// grants up to the full limit: the work in progress is at most the limit times the number of sides.
package limits

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// ResourceID identifies a resource that is leased: the slots of one target address.
type ResourceID uint64

// SlotResource returns the resource of the work slots of the target at addr.
func SlotResource(dataCentre string, addr netip.Addr) ResourceID {
	return ResourceID(flow.NewTargetID("|slots", dataCentre, addr))
}

// Class is the class of the work that a lease is for.
type Class uint8

// Classes of work, in descending priority.
const (
	Urgent Class = iota
	Bulk
)

// classCount is the number of classes.
const classCount = 2

// LeaseTerm is the duration of a lease. The holder counts it from sending the request, and the ledger from receiving it, so
// that a lease ends at the holder first.
const LeaseTerm = time.Second

// Request asks a ledger for leases, renews them and returns them (the LeaseRequest message).
type Request struct {
	Resource    ResourceID
	From        membership.HostID
	Incarnation uint64
	Sequence    uint64 // increases with every request of one incarnation
	// Keep and KeepBulk are commitments: from the sending of this request on, the holder uses at most Keep slots, KeepBulk of
	// them for bulk work, under grants that answer earlier requests. They are never less than the slots in use.
	Keep, KeepBulk uint32
	// Need is the number of slots for the work in progress and the waiting work, NeedUrgent its part for urgent work.
	Need, NeedUrgent uint32
	// Held is the number of slots that the holder has of all resources of the group. The ledgers of a group, which do not
	// communicate, use it to share slots fairly among holders.
	Held uint32
}

// Grant answers a request (the LeaseGrant message). A ledger may answer a request several times, with increasing Round.
type Grant struct {
	Resource    ResourceID
	To          membership.HostID
	Incarnation uint64 // of the holder
	Sequence    uint64 // of the request
	Round       uint32
	Slots       uint32 // slots leased in total, for one LeaseTerm from the sending of the request
	BulkSlots   uint32 // how many of them bulk work may use
	Contended   bool   // other holders need slots: idle slots are to be returned
}

// OutgoingRequest is a request to send to the host that owns the ledger of its resource.
type OutgoingRequest struct {
	To      membership.HostID
	Request Request
}
