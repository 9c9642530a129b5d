package peer

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/ownership"
)

// Buckets is a list of buckets in ascending order. It is encoded with about one byte per bucket.
type Buckets []ownership.Bucket

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes the list as a byte string.
func (b Buckets) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeBytes(ownership.EncodeBuckets(b))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *Buckets) DecodeMsgpack(d *msgpack.Decoder) error {
	raw, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	*b, err = ownership.DecodeBuckets(raw)
	return err
}

// Exceptions is a set of exceptions. It is encoded with about eight bytes per exception.
type Exceptions ownership.Exceptions

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes the set as a byte string.
func (x Exceptions) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeBytes(ownership.EncodeExceptions(ownership.Exceptions(x)))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (x *Exceptions) DecodeMsgpack(d *msgpack.Decoder) error {
	raw, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	decoded, err := ownership.DecodeExceptions(raw)
	*x = Exceptions(decoded)
	return err
}
