package peer

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Bounds of a frame, in bytes without the length prefix.
const (
	MaxFrameBytes = 64 << 10
	MaxChunkBytes = 1 << 20 // BundleChunk and BundleDelta only
	lengthBytes   = 4
	headBytes     = 3 // array header, version and type, which decide the bound
	minFrameBytes = 7

	maxEnvelopeBytes = headBytes + 3*9 // fields of a frame before its body
)

// ProtocolVersion is the version of frames and messages.
const ProtocolVersion = 1

// Frame is a message with its envelope.
type Frame struct {
	Version     uint8
	Type        Type
	Sender      uint64 // membership.HostID
	Incarnation uint64
	Sequence    uint64 // rises with every frame of a sender
	Body        msgpack.RawMessage
}

// EncodeFrame encodes a frame with its length prefix.
func EncodeFrame(f *Frame) ([]byte, error) {
	b, err := encode(f)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > f.Type.limit() {
		return nil, tooLarge(f.Type, len(b))
	}
	out := make([]byte, lengthBytes, lengthBytes+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	return append(out, b...), nil
}

// ReadFrame reads one frame. The length is checked against the bound of the type before memory is taken for it.
// started is called when the first byte of the frame has arrived; it may be nil.
func ReadFrame(r io.Reader, started func()) (*Frame, error) {
	var head [lengthBytes + headBytes]byte
	if _, err := io.ReadFull(r, head[:1]); err != nil {
		return nil, err
	}
	if started != nil {
		started()
	}
	if _, err := io.ReadFull(r, head[1:]); err != nil {
		return nil, unexpected(err)
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	kind := Type(head[lengthBytes+2])
	if n < minFrameBytes || head[lengthBytes] != 0x96 {
		return nil, resultcode.Errorf(resultcode.PeerFrame, "frame", "%d bytes that are no frame", n)
	}
	if head[lengthBytes+1] != ProtocolVersion {
		return nil, resultcode.Errorf(resultcode.PeerVersion, "frame", "version %d, want %d", head[lengthBytes+1], ProtocolVersion)
	}
	if n > kind.limit() {
		return nil, tooLarge(kind, n)
	}
	b := make([]byte, n)
	copy(b, head[lengthBytes:])
	if _, err := io.ReadFull(r, b[headBytes:]); err != nil {
		return nil, unexpected(err)
	}
	var f Frame
	if err := decode(b, &f); err != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, kind.String(), "%v", err)
	}
	return &f, nil
}

func tooLarge(t Type, n int) error {
	return resultcode.Errorf(resultcode.PeerFrameTooLarge, t.String(), "%d bytes, at most %d allowed", n, t.limit())
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
