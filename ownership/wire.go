package ownership

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"slices"

	"github.com/marigoldwood/marigoldwood/flow"
)

// Batch carries changes of exceptions to a backup. The batches of a stream are applied in order.
type Batch struct {
	Epoch    uint64 // identifies the stream; increases with each new stream of the owner
	Sequence uint64 // 1 for the first batch of a stream
	Data     []byte // encoded changes
}

// BatchAck acknowledges all batches of a stream up to Sequence.
type BatchAck struct {
	Epoch, Sequence uint64
}

// maxBatchItems limits each list of a decoded batch. A batch of 64 KiB cannot hold more.
const maxBatchItems = 1 << 16

// changes is the content of a batch. Endpoints and targets are sent once per stream and then referred to by their index
// in a dictionary; exceptions are numbered in the order in which they are added, so that a removal needs only the number.
type changes struct {
	start, complete []Bucket // buckets whose copies are replaced from here, and whose copies have all been sent
	endpoints       []flow.EndpointID
	targets         []flow.TargetID
	retired         []RetiredTarget
	firstID         uint32
	added           []addition
	removed         []uint32 // ascending
}

type addition struct {
	caller           [16]byte
	port             uint16
	endpoint, target uint32 // indexes in the dictionaries of the stream
}

var errMalformedBatch = errors.New("exception batch cannot be decoded")

func (c *changes) encode() []byte {
	var b []byte
	b = appendBuckets(b, c.start)
	b = appendBuckets(b, c.complete)
	b = binary.AppendUvarint(b, uint64(len(c.endpoints)))
	for _, e := range c.endpoints {
		b = binary.BigEndian.AppendUint64(b, uint64(e))
	}
	b = binary.AppendUvarint(b, uint64(len(c.targets)))
	for _, t := range c.targets {
		b = binary.BigEndian.AppendUint64(b, uint64(t))
	}
	b = binary.AppendUvarint(b, uint64(len(c.retired)))
	for _, r := range c.retired {
		b = appendRetired(b, r)
	}
	b = binary.AppendUvarint(b, uint64(len(c.added)))
	if len(c.added) > 0 {
		b = binary.AppendUvarint(b, uint64(c.firstID))
	}
	for i := range c.added {
		b = c.added[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(c.removed)))
	last := uint32(0)
	for _, id := range c.removed {
		b = binary.AppendUvarint(b, uint64(id-last))
		last = id
	}
	return b
}

// append encodes an addition, in 8 bytes for an IPv4 caller and small dictionaries.
func (a *addition) append(b []byte) []byte {
	addr := netip.AddrFrom16(a.caller)
	if addr.Is4In6() {
		b = binary.AppendUvarint(b, uint64(a.endpoint)<<1)
		b = append(b, a.caller[12:]...)
	} else {
		b = binary.AppendUvarint(b, uint64(a.endpoint)<<1|1)
		b = append(b, a.caller[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, a.port)
	return binary.AppendUvarint(b, uint64(a.target))
}

func appendRetired(b []byte, r RetiredTarget) []byte {
	addr := r.Addr.As16()
	b = binary.BigEndian.AppendUint64(b, uint64(r.ID))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Service))
	b = append(b, addr[:]...)
	return binary.BigEndian.AppendUint16(b, r.DataPort)
}

func appendBuckets(b []byte, buckets []Bucket) []byte {
	b = binary.AppendUvarint(b, uint64(len(buckets)))
	last := Bucket(0)
	for _, k := range buckets {
		b = binary.AppendUvarint(b, uint64(k-last))
		last = k
	}
	return b
}

// reader decodes a batch. After the first error every read returns zero.
type reader struct {
	b       []byte
	invalid bool
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > limit {
		r.invalid, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes(n int) []byte {
	if len(r.b) < n {
		r.invalid, r.b = true, nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.bytes(8)) }

// count reads the length of a list whose items take at least size bytes each.
func (r *reader) count(size int) int {
	n := int(r.uvarint(maxBatchItems))
	if n*size > len(r.b) {
		r.invalid, r.b = true, nil
		return 0
	}
	return n
}

func (r *reader) buckets() []Bucket {
	n := r.count(1)
	if n == 0 {
		return nil
	}
	out, last := make([]Bucket, n), uint64(0)
	for i := range out {
		last += r.uvarint(BucketCount)
		r.invalid = r.invalid || last >= BucketCount || i > 0 && Bucket(last) <= out[i-1]
		out[i] = Bucket(last % BucketCount)
	}
	return out
}

func (r *reader) addition() addition {
	var a addition
	e := r.uvarint(2 * maxBatchItems)
	a.endpoint = uint32(e >> 1)
	if e&1 == 0 {
		a.caller[10], a.caller[11] = 0xff, 0xff
		copy(a.caller[12:], r.bytes(4))
	} else {
		copy(a.caller[:], r.bytes(16))
	}
	a.port = binary.BigEndian.Uint16(r.bytes(2))
	a.target = uint32(r.uvarint(maxBatchItems))
	return a
}

func (r *reader) retired() RetiredTarget {
	out := RetiredTarget{ID: flow.TargetID(r.uint64()), Service: flow.ServiceID(r.uint64())}
	out.Addr = netip.AddrFrom16([16]byte(r.bytes(16))).Unmap()
	out.DataPort = binary.BigEndian.Uint16(r.bytes(2))
	return out
}

func decodeChanges(b []byte) (*changes, error) {
	r := &reader{b: b}
	c := &changes{start: r.buckets(), complete: r.buckets()}
	for range r.count(8) {
		c.endpoints = append(c.endpoints, flow.EndpointID(r.uint64()))
	}
	for range r.count(8) {
		c.targets = append(c.targets, flow.TargetID(r.uint64()))
	}
	for range r.count(34) {
		c.retired = append(c.retired, r.retired())
	}
	n := r.count(8)
	if n > 0 {
		c.firstID = uint32(r.uvarint(1<<32 - 1))
		c.added = slices.Grow(c.added, n)
	}
	for range n {
		c.added = append(c.added, r.addition())
	}
	last := uint64(0)
	for range r.count(1) {
		last += r.uvarint(1<<32 - 1)
		r.invalid = r.invalid || last >= 1<<32
		c.removed = append(c.removed, uint32(last))
	}
	if r.invalid || len(r.b) > 0 {
		return nil, errMalformedBatch
	}
	return c, nil
}

// EncodeBuckets encodes buckets in ascending order, in about one byte each.
func EncodeBuckets(buckets []Bucket) []byte {
	sorted := slices.Compact(slices.Sorted(slices.Values(buckets)))
	return appendBuckets(nil, sorted)
}

// DecodeBuckets decodes what EncodeBuckets returned.
func DecodeBuckets(b []byte) ([]Bucket, error) {
	r := &reader{b: b}
	buckets := r.buckets()
	if r.invalid || len(r.b) > 0 {
		return nil, errMalformedBatch
	}
	return buckets, nil
}

// EncodeExceptions encodes a set of exceptions like a batch that depends on no other.
func EncodeExceptions(e Exceptions) []byte {
	s, c := newStream(0, 0), &changes{retired: e.Retired}
	for _, x := range e.Flows {
		s.append(c, x)
	}
	return c.encode()
}

// DecodeExceptions decodes what EncodeExceptions returned.
func DecodeExceptions(b []byte) (Exceptions, error) {
	c, err := decodeChanges(b)
	if err != nil {
		return Exceptions{}, err
	}
	e := Exceptions{Retired: c.retired}
	for i := range c.added {
		a := &c.added[i]
		if int(a.endpoint) >= len(c.endpoints) || int(a.target) >= len(c.targets) {
			return Exceptions{}, errMalformedBatch
		}
		key := flow.Key{Caller: a.caller, Endpoint: c.endpoints[a.endpoint], CallerPort: a.port}
		e.Flows = append(e.Flows, Exception{Key: key, Target: c.targets[a.target]})
	}
	return e, nil
}
