package peer

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"github.com/marigoldwood/marigoldwood/internal/safedecode"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Bounds of a frame, in bytes without the length prefix.
const (
	MaxFrameBytes     = 64 << 10
	MaxChunkBytes     = 1 << 20 // for BundleData and RelayReply
	lengthPrefixBytes = 4
	headerBytes       = 3 // msgpack array header, version and type; the type determines the maximum length
	minFrameBytes     = 7

	maxFrameOverhead = headerBytes + 3*9 // maximum length of the fields before the body
)

// ProtocolVersion is the version of the frame and message formats.
const ProtocolVersion = 1

// Frame is an encoded message with its metadata.
type Frame struct {
	Version     uint8
	Type        Type
	Sender      uint64 // membership.HostID
	Incarnation uint64
	Sequence    uint64 // increases with every frame of a sender
	Body        msgpack.RawMessage
}

// EncodeFrame encodes a frame with its length prefix. It fails if the frame is too large for its type.
func EncodeFrame(f *Frame) ([]byte, error) {
	b, err := encode(f)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > f.Type.limit() {
		return nil, tooLargeError(f.Type, len(b))
	}
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	return append(out, b...), nil
}

// ReadFrame reads one frame. It checks the length against the limit of the type before it allocates memory for the frame.
// onFirstByte is called when the first byte of the frame has arrived; it may be nil.
// The error is io.EOF if the connection ends between two frames, an error of the reader, or a *resultcode.Error.
func ReadFrame(r io.Reader, onFirstByte func()) (*Frame, error) {
	var header [lengthPrefixBytes + headerBytes]byte
	if _, err := io.ReadFull(r, header[:1]); err != nil {
		return nil, err
	}
	if onFirstByte != nil {
		onFirstByte()
	}
	if _, err := io.ReadFull(r, header[1:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	frameType := Type(header[lengthPrefixBytes+2])
	if n < minFrameBytes || header[lengthPrefixBytes] != 0x96 {
		return nil, resultcode.Errorf(resultcode.PeerFrame, "frame", "%d bytes do not start with a valid frame header", n)
	}
	if header[lengthPrefixBytes+1] != ProtocolVersion {
		return nil, resultcode.Errorf(resultcode.PeerVersion, "frame",
			"protocol version %d, want %d", header[lengthPrefixBytes+1], ProtocolVersion)
	}
	if n > frameType.limit() {
		return nil, tooLargeError(frameType, n)
	}
	b := make([]byte, n)
	copy(b, header[lengthPrefixBytes:])
	if _, err := io.ReadFull(r, b[headerBytes:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	var f Frame
	if err := safedecode.Msgpack(b, &f); err != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, frameType.String(), "%v", err)
	}
	return &f, nil
}

func tooLargeError(t Type, n int) error {
	return resultcode.Errorf(resultcode.PeerFrameTooLarge, t.String(), "%d bytes, at most %d allowed", n, t.limit())
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
