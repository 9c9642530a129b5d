package peer

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/ownership"
)

// Buckets is a list of buckets in ascending order, encoded in about one byte each.
type Buckets []ownership.Bucket

// EncodeMsgpack encodes the list as bytes.
func (b Buckets) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeBytes(ownership.EncodeBuckets(b))
}

// DecodeMsgpack decodes the list.
func (b *Buckets) DecodeMsgpack(d *msgpack.Decoder) error {
	raw, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	*b, err = ownership.DecodeBuckets(raw)
	return err
}

// Exceptions is a set of exceptions, encoded in about eight bytes each.
type Exceptions ownership.Exceptions

// EncodeMsgpack encodes the set as bytes.
func (x Exceptions) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeBytes(ownership.EncodeExceptions(ownership.Exceptions(x)))
}

// DecodeMsgpack decodes the set.
func (x *Exceptions) DecodeMsgpack(d *msgpack.Decoder) error {
	raw, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	decoded, err := ownership.DecodeExceptions(raw)
	*x = Exceptions(decoded)
	return err
}
