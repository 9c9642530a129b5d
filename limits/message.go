// Package limits divides the slots, or connections, of each target between the balancers of a data centre.
//
// For every target one balancer keeps the Ledger; every balancer has a Holder that asks the ledgers for leases. The
// package does no I/O: messages, the time and calls go in, messages come out.
//
// # What counts against the limit
//
// A slot counts against the target's limit while a lease for it is in force, and for as long as work that was started
// under a lease may still run. The ledger therefore counts, for every holder, the most slots that the holder can have in
// use: what it was granted, until the holder itself commits to less. A lease that is not renewed forbids new work, but its
// slots stay counted until one of these shows that the work is over:
//
//   - the holder reports how many of the slots it still uses;
//   - the target's own load, measured after the lease ended, shows fewer pieces of work in progress;
//   - the linger time has passed, which the caller sets to the longest that a piece of work may run (the deadline of the
//     service).
//
// # Bound on overrun
//
// While one ledger serves a target, the work in progress at the target never exceeds the limit, whatever messages are
// lost, delayed, repeated or reordered, and whichever holders are paused or restarted, as long as no piece of work runs
// longer than the linger time beyond the end of its lease. When a ledger owner is replaced without warning, the new one
// knows no work of holders that do not report before it opens, so that the target can have up to twice its limit in
// progress, until the work of the first ledger's leases ends. In a partition, each side has its own ledger and grants up
// to the full limit: the work in progress is at most the limit times the number of sides.
package limits

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// ResourceID identifies what a ledger divides: the slots of one target address.
type ResourceID uint64

// SlotResource returns the resource of the work slots of the target at addr.
func SlotResource(dataCentre string, addr netip.Addr) ResourceID {
	return ResourceID(flow.NewTargetID("|slots", dataCentre, addr))
}

// Class is the class of the work that a lease is for.
type Class uint8

// Classes of work, the more important one first.
const (
	Urgent Class = iota
	Bulk
)

// classCount is the number of classes.
const classCount = 2

// LeaseTerm is how long a lease lasts, counted by the holder from the sending of the request and by the ledger from the
// grant, so that a lease ends at the holder first.
const LeaseTerm = time.Second

// Request asks a ledger for leases, renews them and returns them (the LeaseRequest and LeaseReturn messages).
type Request struct {
	Resource    ResourceID
	From        membership.HostID
	Incarnation uint64
	Sequence    uint64 // rises with every request of one incarnation
	// Keep and KeepBulk are promises: from the sending of this request on, the holder uses at most Keep slots, KeepBulk of
	// them for bulk work, under grants that answer earlier requests. They are never below what is in use.
	Keep, KeepBulk uint32
	// Need is how many slots the work in progress and the waiting work could use, NeedUrgent the urgent part of it.
	Need, NeedUrgent uint32
	// Held is how many slots the holder has of all resources of the group. Ledgers of one group, which know nothing of each
	// other, use it to treat holders evenly.
	Held uint32
}

// Grant answers a request (the LeaseGrant message). A ledger may answer one request several times with rising Round.
type Grant struct {
	Resource    ResourceID
	To          membership.HostID
	Incarnation uint64 // of the holder
	Sequence    uint64 // of the request
	Round       uint32
	Slots       uint32 // slots leased in total, from the sending of the request for one Term
	BulkSlots   uint32 // the most of them that bulk work may use
	Contended   bool   // others wait: idle slots are to be returned
}

// OutgoingRequest asks to deliver a request to the ledger of its resource at a host.
type OutgoingRequest struct {
	To      membership.HostID
	Request Request
}
