package bundle

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// deltaBlock is the length in bytes of the pieces of the old content that are looked up in the new one. Shorter
// pieces find more matches, but each costs an index entry, and one target is about 80 bytes.
const deltaBlock = 32

// maxDeltaOps bounds the work that a received delta can cause.
const maxDeltaOps = 1 << 16

// delta is the msgpack form of a difference between two byte strings. Ops holds three numbers for each step: the
// offset in the old content, the bytes to copy from there, and the bytes to take from Literal after that.
type delta struct {
	Base    uint64   `msgpack:"b"` // xxhash64 of the old content
	Result  uint64   `msgpack:"r"` // xxhash64 of the new content
	Ops     []uint32 `msgpack:"o"`
	Literal []byte   `msgpack:"l"`
}

// MakeDelta returns a delta from which ApplyDelta builds newer out of older. Both are usually encoded envelopes.
func MakeDelta(older, newer []byte) []byte {
	d := delta{Base: xxhash.Sum64(older), Result: xxhash.Sum64(newer)}
	index := make(map[uint64]int, len(older)/deltaBlock+1)
	for at := 0; at+deltaBlock <= len(older); at += deltaBlock {
		index[xxhash.Sum64(older[at:at+deltaBlock])] = at
	}
	from, length, literal := 0, 0, 0 // the copy that comes before the literal bytes, and where these start in newer
	for at := 0; at+deltaBlock <= len(newer); {
		old, found := index[xxhash.Sum64(newer[at:at+deltaBlock])]
		if !found || !bytes.Equal(older[old:old+deltaBlock], newer[at:at+deltaBlock]) {
			at++
			continue
		}
		for old > 0 && at > literal && older[old-1] == newer[at-1] {
			old, at = old-1, at-1
		}
		d.add(from, length, newer[literal:at])
		from, length = old, commonPrefix(older[old:], newer[at:])
		at += length
		literal = at
	}
	d.add(from, length, newer[literal:])
	data, err := msgpack.Marshal(&d)
	if err != nil {
		return nil // not reached: the struct holds only numbers and bytes
	}
	return data
}

func (d *delta) add(from, length int, literal []byte) {
	if length > 0 || len(literal) > 0 {
		d.Ops = append(d.Ops, uint32(from), uint32(length), uint32(len(literal)))
		d.Literal = append(d.Literal, literal...)
	}
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// ApplyDelta returns the new content from the old one and a delta. It fails when the delta was made for other old
// content, or is damaged. The result is at most MaxEnvelopeBytes long and still has to be judged: a delta carries no
// signature of its own. The error is a *resultcode.Error.
func ApplyDelta(older, data []byte) ([]byte, error) {
	var d delta
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return nil, deltaError("%v", err)
	}
	if d.Base != xxhash.Sum64(older) {
		return nil, deltaError("made for other content than the one held")
	}
	if len(d.Ops)%3 != 0 || len(d.Ops) > 3*maxDeltaOps {
		return nil, deltaError("%d operation values", len(d.Ops))
	}
	var out []byte
	literal := d.Literal
	for ops := d.Ops; len(ops) > 0; ops = ops[3:] {
		from, length, take := uint64(ops[0]), uint64(ops[1]), uint64(ops[2])
		if from+length > uint64(len(older)) || take > uint64(len(literal)) {
			return nil, deltaError("operation outside the content")
		}
		if uint64(len(out))+length+take > MaxEnvelopeBytes {
			return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "a delta gives more than %d bytes", MaxEnvelopeBytes)
		}
		out = append(out, older[from:from+length]...)
		out = append(out, literal[:take]...)
		literal = literal[take:]
	}
	if xxhash.Sum64(out) != d.Result {
		return nil, deltaError("the result has another checksum")
	}
	return out, nil
}

func deltaError(format string, args ...any) error {
	return resultcode.Errorf(resultcode.BundleEnvelope, "delta", format, args...)
}
