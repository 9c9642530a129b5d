package peer

import (
	"fmt"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Type is the type of a peer message.
type Type uint8

// Types of peer messages. A number never changes its meaning.
const (
	TypeHello Type = 1 + iota
	TypeBucketClaim
	TypeBucketGrant
	TypeExceptionBatch
	TypeExceptionAck
	TypeBundleRequest
	TypeBundleDelta
	TypeBundleChunk
	TypeBundleActivate
	TypeLeaseRequest
	TypeLeaseGrant
	TypeLeaseReturn
	TypeHealthReport
)

var typeNames = [...]string{
	"", "hello", "bucket-claim", "bucket-grant", "exception-batch", "exception-ack", "bundle-request", "bundle-delta",
	"bundle-chunk", "bundle-activate", "lease-request", "lease-grant", "lease-return", "health-report",
}

// String returns the name of the type.
func (t Type) String() string {
	if t >= TypeHello && int(t) < len(typeNames) {
		return typeNames[t]
	}
	return fmt.Sprintf("type-%d", uint8(t))
}

func (t Type) limit() int {
	if t == TypeBundleChunk || t == TypeBundleDelta {
		return MaxChunkBytes
	}
	return MaxFrameBytes
}

// Message is the body of a frame: a pointer to one of the structs of this file.
type Message interface{ Type() Type }

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Host, DataCentre string
	Incarnation      uint64
	ProtocolVersion  uint8
}

// BucketClaim asks the previous owner for buckets.
type BucketClaim struct {
	Buckets Buckets
	Denied  membership.HostID // as in ownership.ClaimReceived
}

// BucketGrant answers a claim or offers buckets; the fields are those of ownership.Grant.
type BucketGrant struct {
	Result     uint8
	Release    uint64
	Buckets    Buckets
	InSync     bool
	Holder     membership.HostID
	Exceptions Exceptions
}

// ExceptionBatch carries exceptions to the backup; Data is encoded by package ownership.
type ExceptionBatch struct {
	Epoch, Sequence uint64
	Data            []byte
}

// ExceptionAck acknowledges all batches of an epoch up to Sequence.
type ExceptionAck struct {
	Epoch, Sequence uint64
}

// BundleRequest asks for a bundle. Held is the version that a delta may be based on, 0 for none.
type BundleRequest struct {
	Held, Version uint64
	Chunk         uint32
}

// BundleDelta turns the bundle Base into the bundle Version.
type BundleDelta struct {
	Base, Version uint64
	Digest        []byte // SHA-256 of the payload of Version
	Delta         []byte
}

// BundleChunk is one part of the envelope of a bundle.
type BundleChunk struct {
	Version      uint64
	Digest       []byte // SHA-256 of the payload of Version
	Index, Count uint32
	Data         []byte
}

// BundleActivate tells that a version is in force.
type BundleActivate struct {
	Version uint64
	Digest  []byte
}

// Lease names slots of a target.
type Lease struct {
	Target flow.TargetID
	Count  uint32
	Class  uint8
	Term   uint64
}

// LeaseRequest asks the ledger owner for slots.
type LeaseRequest struct {
	Leases []Lease
}

// LeaseGrant grants slots.
type LeaseGrant struct {
	Leases []Lease
}

// LeaseReturn gives slots back.
type LeaseReturn struct {
	Leases []Lease
}

// TargetReport is the state of one target.
type TargetReport struct {
	Target                              flow.TargetID
	State                               uint8
	Slots, InFlight, Connections, Queue uint32
	AgeMS                               uint32
}

// HealthReport carries the states and loads of targets that the sender probes.
type HealthReport struct {
	Targets []TargetReport
}

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

// Type returns TypeBundleRequest.
func (*BundleRequest) Type() Type { return TypeBundleRequest }

// Type returns TypeBundleDelta.
func (*BundleDelta) Type() Type { return TypeBundleDelta }

// Type returns TypeBundleChunk.
func (*BundleChunk) Type() Type { return TypeBundleChunk }

// Type returns TypeBundleActivate.
func (*BundleActivate) Type() Type { return TypeBundleActivate }

// Type returns TypeLeaseRequest.
func (*LeaseRequest) Type() Type { return TypeLeaseRequest }

// Type returns TypeLeaseGrant.
func (*LeaseGrant) Type() Type { return TypeLeaseGrant }

// Type returns TypeLeaseReturn.
func (*LeaseReturn) Type() Type { return TypeLeaseReturn }

// Type returns TypeHealthReport.
func (*HealthReport) Type() Type { return TypeHealthReport }

var newMessage = map[Type]func() Message{
	TypeHello:          func() Message { return new(Hello) },
	TypeBucketClaim:    func() Message { return new(BucketClaim) },
	TypeBucketGrant:    func() Message { return new(BucketGrant) },
	TypeExceptionBatch: func() Message { return new(ExceptionBatch) },
	TypeExceptionAck:   func() Message { return new(ExceptionAck) },
	TypeBundleRequest:  func() Message { return new(BundleRequest) },
	TypeBundleDelta:    func() Message { return new(BundleDelta) },
	TypeBundleChunk:    func() Message { return new(BundleChunk) },
	TypeBundleActivate: func() Message { return new(BundleActivate) },
	TypeLeaseRequest:   func() Message { return new(LeaseRequest) },
	TypeLeaseGrant:     func() Message { return new(LeaseGrant) },
	TypeLeaseReturn:    func() Message { return new(LeaseReturn) },
	TypeHealthReport:   func() Message { return new(HealthReport) },
}

// Decode decodes the body of a frame.
func (f *Frame) Decode() (Message, error) {
	create := newMessage[f.Type]
	if create == nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, f.Type.String(), "unknown type")
	}
	m := create()
	if err := decode(f.Body, m); err != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, f.Type.String(), "%v", err)
	}
	return m, nil
}
