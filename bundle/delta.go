package bundle

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/internal/safedecode"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// deltaBlockBytes is the size of the blocks of the old content that are indexed and searched for in the new content.
// Smaller blocks find more matches, but each block needs an index entry. The line of one target has about 80 bytes.
const deltaBlockBytes = 32

// maxDeltaOps is the maximum number of operations in a received delta; it bounds the work that one delta can cause.
const maxDeltaOps = 1 << 16

// delta is the msgpack form of the difference between two byte strings. Ops holds three numbers per operation: an
// offset in the old content, the number of bytes to copy from there, and the number of bytes to append from Literal.
type delta struct {
	Base    uint64   `msgpack:"b"` // xxhash64 of the old content
	Result  uint64   `msgpack:"r"` // xxhash64 of the new content
	Ops     []uint32 `msgpack:"o"`
	Literal []byte   `msgpack:"l"`
}

// MakeDelta returns a delta with which ApplyDelta reconstructs newer from older. Both are usually encoded envelopes.
func MakeDelta(older, newer []byte) []byte {
	d := delta{Base: xxhash.Sum64(older), Result: xxhash.Sum64(newer)}
	index := make(map[uint64]int, len(older)/deltaBlockBytes+1)
	for at := 0; at+deltaBlockBytes <= len(older); at += deltaBlockBytes {
		index[xxhash.Sum64(older[at:at+deltaBlockBytes])] = at
	}
	// The pending operation: a copy from older, and where the literal bytes that follow it start in newer.
	copyOffset, copyLength, literalStart := 0, 0, 0
	for at := 0; at+deltaBlockBytes <= len(newer); {
		match, found := index[xxhash.Sum64(newer[at:at+deltaBlockBytes])]
		if !found || !bytes.Equal(older[match:match+deltaBlockBytes], newer[at:at+deltaBlockBytes]) {
			at++
			continue
		}
		for match > 0 && at > literalStart && older[match-1] == newer[at-1] {
			match, at = match-1, at-1
		}
		d.add(copyOffset, copyLength, newer[literalStart:at])
		copyOffset, copyLength = match, commonPrefix(older[match:], newer[at:])
		at += copyLength
		literalStart = at
	}
	d.add(copyOffset, copyLength, newer[literalStart:])
	data, err := msgpack.Marshal(&d)
	if err != nil {
		return nil // unreachable: numbers and bytes can always be encoded
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

// ApplyDelta reconstructs the new content from the old content and a delta. It fails if the delta is corrupt or has a
// different base. The result has at most MaxEnvelopeBytes. A delta has no signature of its own, so the caller must pass
// the result to Evaluate. The error is a *resultcode.Error.
func ApplyDelta(older, data []byte) ([]byte, error) {
	var d delta
	if err := safedecode.Msgpack(data, &d); err != nil {
		return nil, deltaError("%v", err)
	}
	if d.Base != xxhash.Sum64(older) {
		return nil, deltaError("base checksum does not match the current content")
	}
	if len(d.Ops)%3 != 0 || len(d.Ops) > 3*maxDeltaOps {
		return nil, deltaError("invalid number of operation values: %d", len(d.Ops))
	}
	var out []byte
	literal := d.Literal
	for ops := d.Ops; len(ops) > 0; ops = ops[3:] {
		from, length, take := uint64(ops[0]), uint64(ops[1]), uint64(ops[2])
		if from+length > uint64(len(older)) || take > uint64(len(literal)) {
			return nil, deltaError("operation exceeds the base content or the literal data")
		}
		if uint64(len(out))+length+take > MaxEnvelopeBytes {
			return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "the result of the delta exceeds %d bytes", MaxEnvelopeBytes)
		}
		out = append(out, older[from:from+length]...)
		out = append(out, literal[:take]...)
		literal = literal[take:]
	}
	if xxhash.Sum64(out) != d.Result {
		return nil, deltaError("result checksum does not match")
	}
	return out, nil
}

func deltaError(format string, args ...any) error {
	return resultcode.Errorf(resultcode.BundleEnvelope, "delta", format, args...)
}
