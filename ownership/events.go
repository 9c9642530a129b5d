package ownership

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Role tells whether this balancer owns a bucket, is acquiring it, or forwards its packets to another member.
type Role uint8

// Roles of a balancer for a bucket. They correspond to the roles of package forward, in the same order.
const (
	RoleForward   Role = iota // another member owns the bucket; packets are forwarded to it
	RoleOwner                 // this balancer selects the targets of flows
	RoleAcquiring             // this balancer owns the bucket once a grant arrives
)

// BucketState is the published state of one bucket. Its fields are those of forward.BucketState.
type BucketState struct {
	Role        Role
	Peer        membership.HostID // destination of packets unless the role is RoleOwner; 0 if no member is known
	InSync      bool              // every copied exception is installed
	TakenOverAt time.Duration     // time of an unplanned takeover, 0 if there was none
}

// Exception is a flow whose target is not its default target.
type Exception struct {
	Key    flow.Key
	Target flow.TargetID
}

// Bucket returns the bucket of the flow.
func (e *Exception) Bucket() Bucket { return BucketOf(e.Key.Hash()) }

// RetiredTarget is a target that the bundle no longer contains but that still has flows.
type RetiredTarget struct {
	ID       flow.TargetID
	Service  flow.ServiceID
	Addr     netip.Addr
	DataPort uint16
}

// Exceptions is a set of exceptions with the retired targets that they use.
type Exceptions struct {
	Flows   []Exception
	Retired []RetiredTarget
}

// Event is an input of a Handover.
type Event interface{ event() }

// MapChanged replaces the map. Reachable lists the members that can answer a claim: those of the map and those leaving.
type MapChanged struct {
	Map       *Map
	Reachable []membership.HostID
}

// ClaimReceived is a claim of another member for buckets.
type ClaimReceived struct {
	From    membership.HostID
	Buckets []Bucket
	Denied  membership.HostID // member that the receiver redirected to and that does not hold the buckets; 0 for none
}

// GrantReceived is the answer to a claim, or an unsolicited offer.
type GrantReceived struct {
	From  membership.HostID
	Grant Grant
}

// Quiesced reports that every traffic goroutine uses the publication with this number or a later one.
type Quiesced struct{ Number uint64 }

// Collected answers the effect Collect.
type Collected struct {
	To         membership.HostID
	Buckets    []Bucket
	Exceptions Exceptions
}

// Evicted reports that this member was paused or cut off and declared gone, so that others have taken over its buckets
// although its own map may not have changed. It must be sent before this member handles traffic again.
type Evicted struct{}

// Tick runs the timers. It is due every 50 ms.
type Tick struct{}

func (MapChanged) event()    {}
func (ClaimReceived) event() {}
func (GrantReceived) event() {}
func (Quiesced) event()      {}
func (Collected) event()     {}
func (Evicted) event()       {}
func (Tick) event()          {}

// Result is the kind of a Grant message.
type Result uint8

// Results of a claim, and the other kinds of Grant messages.
const (
	Granted      Result = iota // ownership of the buckets passes to the receiver
	BackupCopies               // the sender is not the owner, but holds the copies of a failed owner
	Redirect                   // the sender does not hold the buckets; Holder may
	Offer                      // unsolicited: the sender holds buckets that its map assigns to the receiver
	Partial                    // part of the exceptions of a grant; more messages follow
	Acknowledged               // confirms a grant, so that its sender can discard its copy
)

// Grant is a message about the transfer of buckets: the answer to a claim, an offer, or the acknowledgement of a grant.
type Grant struct {
	Result     Result
	Release    uint64 // Granted, Acknowledged: random ID of the release, unchanged when the grant is resent
	Buckets    []Bucket
	InSync     bool              // Granted, BackupCopies: the exceptions are complete
	Holder     membership.HostID // Redirect: member to claim from instead, 0 if the sender knows of none
	Exceptions Exceptions
}

// Effect is an output of a Handover. Effects must be executed in order.
type Effect interface{ effect() }

// SendClaim sends a claim to a member.
type SendClaim struct {
	To      membership.HostID
	Buckets []Bucket
	Denied  membership.HostID // as in ClaimReceived
}

// SendGrant sends a grant to a member.
type SendGrant struct {
	To    membership.HostID
	Grant Grant
}

// Collect removes the entries of buckets from the flow table and requests their exceptions. The answer is Collected.
type Collect struct {
	To      membership.HostID
	Buckets []Bucket
}

// Discard removes the flow table entries of buckets that another member has owned since the entries were created.
type Discard struct{ Buckets []Bucket }

// Install adds exceptions to the flow table. An existing entry keeps its target.
type Install struct{ Exceptions Exceptions }

// Publish requests a new snapshot with the current bucket states. If Quiesce is set, the answer is Quiesced.
type Publish struct {
	Number  uint64
	Quiesce bool
}

func (SendClaim) effect() {}
func (SendGrant) effect() {}
func (Collect) effect()   {}
func (Discard) effect()   {}
func (Install) effect()   {}
func (Publish) effect()   {}
