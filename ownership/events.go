package ownership

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Role is the part that this balancer plays for a bucket.
type Role uint8

// Roles of a balancer for a bucket. They correspond to the roles of package forward, in the same order.
const (
	RoleForward   Role = iota // another member owns the bucket
	RoleOwner                 // this balancer decides
	RoleAcquiring             // this balancer will own the bucket when a grant arrives
)

// BucketState is the published state of one bucket. It has the fields of forward.BucketState.
type BucketState struct {
	Role        Role
	Peer        membership.HostID // where packets go unless the role is RoleOwner; 0 when no member is known
	InSync      bool              // every copied exception is installed
	TakenOverAt time.Duration     // time of an unplanned takeover, 0 when there was none
}

// Exception is a flow whose target is not its default target.
type Exception struct {
	Key    flow.Key
	Target flow.TargetID
}

// Bucket returns the bucket of the flow.
func (e *Exception) Bucket() Bucket { return BucketOf(e.Key.Hash()) }

// RetiredTarget describes a target that is no longer in the bundle but still has flows.
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

// MapChanged replaces the map. Reachable lists the members that can answer a claim: those of the map and leaving ones.
type MapChanged struct {
	Map       *Map
	Reachable []membership.HostID
}

// ClaimReceived is a member's request for buckets.
type ClaimReceived struct {
	From    membership.HostID
	Buckets []Bucket
	Denied  membership.HostID // member that this one named as holder and that does not hold the buckets; 0 for none
}

// GrantReceived is an answer to a claim, or an offer.
type GrantReceived struct {
	From  membership.HostID
	Grant Grant
}

// Quiesced reports that every traffic goroutine works under the publication with this number or a later one.
type Quiesced struct{ Number uint64 }

// Collected answers the effect Collect.
type Collected struct {
	To         membership.HostID
	Buckets    []Bucket
	Exceptions Exceptions
}

// Evicted reports that this member was paused or cut off and declared gone, so that others have taken over its buckets
// although its own map may not have changed. It must be sent before traffic is decided again.
type Evicted struct{}

// Tick lets time pass. Send it every 50 ms.
type Tick struct{}

func (MapChanged) event()    {}
func (ClaimReceived) event() {}
func (GrantReceived) event() {}
func (Quiesced) event()      {}
func (Collected) event()     {}
func (Evicted) event()       {}
func (Tick) event()          {}

// Result is the answer of a member to a claim for buckets.
type Result uint8

// Results of a claim.
const (
	Granted      Result = iota // the buckets pass to the receiver
	BackupCopies               // the sender is not the owner, but holds the copies of an owner that is gone
	Redirect                   // the sender is not the owner; Holder may be
	Offer                      // unasked: the sender owns the buckets and takes the receiver for their owner
	Partial                    // exceptions only; more follows
	Acknowledged               // confirms a grant, which its sender need not keep any longer
)

// Grant is the message of a previous owner to the new one.
type Grant struct {
	Result     Result
	Release    uint64 // Granted, Acknowledged: random number of the release, the same when the grant is sent again
	Buckets    []Bucket
	InSync     bool              // Granted, BackupCopies: the exceptions are complete
	Holder     membership.HostID // Redirect: member to ask instead, 0 when the sender knows of none
	Exceptions Exceptions
}

// Effect is an output of a Handover, to be carried out in order.
type Effect interface{ effect() }

// SendClaim sends a claim.
type SendClaim struct {
	To      membership.HostID
	Buckets []Bucket
	Denied  membership.HostID // as in ClaimReceived
}

// SendGrant sends a grant.
type SendGrant struct {
	To    membership.HostID
	Grant Grant
}

// Collect asks for the exceptions of buckets, whose entries leave the flow table. Answer with Collected.
type Collect struct {
	To      membership.HostID
	Buckets []Bucket
}

// Discard asks to drop the flow table entries of buckets that another member has decided for since they were made.
type Discard struct{ Buckets []Bucket }

// Install adds exceptions to the flow table. An entry that is there already keeps its target.
type Install struct{ Exceptions Exceptions }

// Publish asks for a new snapshot with the current bucket states. Answer with Quiesced when Quiesce is set.
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
