package peer

import (
	"fmt"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/safedecode"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/rollout"
)

// Type is the type of a peer message.
type Type uint8

// Types of peer messages. The numbers are part of the protocol and must not be reused.
const (
	TypeHello Type = 1 + iota
	TypeBucketClaim
	TypeBucketGrant
	TypeExceptionBatch
	TypeExceptionAck
	TypeAnnouncement
	TypeBundleRequest
	TypeBundleData
	TypeBundleActivate
	TypeLeaseRequest
	TypeLeaseGrant
	TypeHealthReport
	TypeHostNotices
	TypeBucketBase
	TypeRelayReport
	TypeRelayReply
)

var typeNames = [...]string{
	"", "hello", "bucket-claim", "bucket-grant", "exception-batch", "exception-ack", "announcement",
	"bundle-request", "bundle-data", "bundle-activate", "lease-request", "lease-grant", "health-report", "host-notices",
	"bucket-base", "relay-report", "relay-reply",
}

// String returns the name of the type, or "type-N" for an unknown type N.
func (t Type) String() string {
	if t >= TypeHello && int(t) < len(typeNames) {
		return typeNames[t]
	}
	return fmt.Sprintf("type-%d", uint8(t))
}

func (t Type) limit() int {
	if t == TypeBundleData || t == TypeRelayReply {
		return MaxChunkBytes
	}
	return MaxFrameBytes
}

// Message is the body of a frame: a pointer to one of the structs of this file.
type Message interface{ Type() Type }

// reducible is a message that has a shorter form, for the case that it is too large for a frame.
type reducible interface{ Reduced() Message }

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Host, DataCentre string
	Incarnation      uint64
	ProtocolVersion  uint8
}

// BucketClaim requests buckets from their previous owner.
type BucketClaim struct {
	Buckets Buckets
	Denied  membership.HostID // as in ownership.ClaimReceived
}

// BucketGrant responds to a claim or offers buckets. The fields are those of ownership.Grant.
type BucketGrant struct {
	Result     uint8
	Release    uint64
	Buckets    Buckets
	InSync     bool
	Holder     membership.HostID
	Exceptions Exceptions
}

// NewBucketGrant returns the message form of a grant.
func NewBucketGrant(g ownership.Grant) *BucketGrant {
	return &BucketGrant{
		Result: uint8(g.Result), Release: g.Release, Buckets: g.Buckets, InSync: g.InSync, Holder: g.Holder,
		Exceptions: Exceptions(g.Exceptions),
	}
}

// Grant returns the grant that the message carries.
func (m *BucketGrant) Grant() ownership.Grant {
	return ownership.Grant{
		Result: ownership.Result(m.Result), Release: m.Release, Buckets: m.Buckets, InSync: m.InSync, Holder: m.Holder,
		Exceptions: ownership.Exceptions(m.Exceptions),
	}
}

// ExceptionBatch replicates exceptions to the backup. Data is encoded by package ownership.
type ExceptionBatch struct {
	Epoch, Sequence uint64
	Data            []byte
}

// ExceptionAck acknowledges all batches of an epoch up to Sequence.
type ExceptionAck struct {
	Epoch, Sequence uint64
}

// Announcement reports the bundles that the sender has, without waiting for its next probe.
type Announcement struct {
	Announcement rollout.Announcement
}

// BundleRequest requests a bundle.
type BundleRequest struct {
	Request rollout.Request
}

// BundleData carries a delta or a chunk of an envelope.
type BundleData struct {
	Data rollout.Data
}

// BundleActivate reports that a version is in force.
type BundleActivate struct {
	Version uint64
	Digest  rollout.DigestPrefix
}

// LeaseRequest requests, renews and returns leases of the ledgers (limits.Ledger) at the receiver.
type LeaseRequest struct {
	Requests []limits.Request
}

// LeaseGrant responds to lease requests.
type LeaseGrant struct {
	Grants []limits.Grant
}

// HealthReport reports the states and loads of the targets that the sender probes.
type HealthReport struct {
	Sequence uint64
	Reports  []health.Report
}

// HostNotices reports changes in the platform's host list, found by a balancer that reads it. Addresses are IPv4 or IPv6 in
// text form.
type HostNotices struct {
	Leaving []string // addresses of hosts that are leaving
	Live    []string // addresses of hosts that were leaving and are live again
}

// BucketBase tells the new owner of buckets, before the grant, from which target lists the default targets of their flows were
// computed. The fields are those of forward.Base.
type BucketBase struct {
	Buckets  Buckets
	Services []forward.BaselineService
	Recent   [][]forward.BaselineService
}

// RelayReport is the report of a balancer to a relay.
type RelayReport struct{ relay.Report }

// RelayReply is the response to a RelayReport.
type RelayReply struct{ relay.Reply }

// Reduced returns the reply without its changes. The other host then still gets the loads and the hosts, and reads the store itself.
func (m *RelayReply) Reduced() Message {
	reduced := *m
	reduced.Changes = directory.Batch{}
	return &reduced
}

// Type returns TypeRelayReport.
func (*RelayReport) Type() Type { return TypeRelayReport }

// Type returns TypeRelayReply.
func (*RelayReply) Type() Type { return TypeRelayReply }

// Type returns TypeHello.
func (*Hello) Type() Type { return TypeHello }

// Type returns TypeBucketClaim.
func (*BucketClaim) Type() Type { return TypeBucketClaim }

// Type returns TypeBucketGrant.
func (*BucketGrant) Type() Type { return TypeBucketGrant }

// Type returns TypeExceptionBatch.
func (*ExceptionBatch) Type() Type { return TypeExceptionBatch }

// Type returns TypeExceptionAck.
func (*ExceptionAck) Type() Type { return TypeExceptionAck }

// Type returns TypeAnnouncement.
func (*Announcement) Type() Type { return TypeAnnouncement }

// Type returns TypeBundleRequest.
func (*BundleRequest) Type() Type { return TypeBundleRequest }

// Type returns TypeBundleData.
func (*BundleData) Type() Type { return TypeBundleData }

// Type returns TypeBundleActivate.
func (*BundleActivate) Type() Type { return TypeBundleActivate }

// Type returns TypeLeaseRequest.
func (*LeaseRequest) Type() Type { return TypeLeaseRequest }

// Type returns TypeLeaseGrant.
func (*LeaseGrant) Type() Type { return TypeLeaseGrant }

// Type returns TypeHealthReport.
func (*HealthReport) Type() Type { return TypeHealthReport }

// Type returns TypeHostNotices.
func (*HostNotices) Type() Type { return TypeHostNotices }

// Type returns TypeBucketBase.
func (*BucketBase) Type() Type { return TypeBucketBase }

var newMessage = map[Type]func() Message{
	TypeHello:          func() Message { return new(Hello) },
	TypeBucketClaim:    func() Message { return new(BucketClaim) },
	TypeBucketGrant:    func() Message { return new(BucketGrant) },
	TypeExceptionBatch: func() Message { return new(ExceptionBatch) },
	TypeExceptionAck:   func() Message { return new(ExceptionAck) },
	TypeAnnouncement:   func() Message { return new(Announcement) },
	TypeBundleRequest:  func() Message { return new(BundleRequest) },
	TypeBundleData:     func() Message { return new(BundleData) },
	TypeBundleActivate: func() Message { return new(BundleActivate) },
	TypeLeaseRequest:   func() Message { return new(LeaseRequest) },
	TypeLeaseGrant:     func() Message { return new(LeaseGrant) },
	TypeHealthReport:   func() Message { return new(HealthReport) },
	TypeHostNotices:    func() Message { return new(HostNotices) },
	TypeBucketBase:     func() Message { return new(BucketBase) },
	TypeRelayReport:    func() Message { return new(RelayReport) },
	TypeRelayReply:     func() Message { return new(RelayReply) },
}

// Decode decodes the body of a frame. The error is a *resultcode.Error.
func (f *Frame) Decode() (Message, error) {
	create := newMessage[f.Type]
	if create == nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, f.Type.String(), "unknown message type")
	}
	m := create()
	if err := safedecode.Msgpack(f.Body, m); err != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, f.Type.String(), "%v", err)
	}
	return m, nil
}
