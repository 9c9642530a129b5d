// Package message defines the messages between stand-in callers and targets: msgpack with a length prefix over TCP, and
// one msgpack value per datagram over UDP.
package message

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/internal/safedecode"
)

// MaxBytes is the size of the largest message, without its length prefix.
const MaxBytes = 1 << 20

const prefixBytes = 4

// ErrMessage reports bytes that cannot be decoded as a message.
var ErrMessage = errors.New("malformed message")

// Request is a message from a caller to a target.
type Request struct {
	ID             uint64 `msgpack:"i"` // unique in one run of the caller
	Sequence       uint32 `msgpack:"s"` // position in the flow, from 1
	Service        string `msgpack:"n"`
	WorkMicros     uint32 `msgpack:"w,omitempty"` // service time; 0 leaves the choice to the target
	DeadlineMS     uint32 `msgpack:"d,omitempty"` // remaining time to the deadline; 0 means none
	ResponseBytes  uint32 `msgpack:"a,omitempty"` // size of the response body in bytes
	PushIntervalMS uint32 `msgpack:"f,omitempty"` // asks the target to push data at this interval; 0 means none
	CancelID       uint64 `msgpack:"c,omitempty"` // ID of a request to cancel; the other fields are ignored
	Body           []byte `msgpack:"b,omitempty"`
}

// Status is the outcome of a request.
type Status uint8

// Statuses of responses.
const (
	OK               Status = iota
	DeadlineExceeded        // not run: its deadline passed while it was queued
	Canceled                // canceled before it was finished
	Push                    // data pushed at an interval
)

// Response is a message from a target to a caller.
type Response struct {
	ID       uint64 `msgpack:"i"`
	Sequence uint32 `msgpack:"s"` // that of the request; for a push, its position among the pushes, from 1
	Status   Status `msgpack:"t"`
	Service  string `msgpack:"n"`
	Target   string `msgpack:"h"`
	Body     []byte `msgpack:"b,omitempty"`
	Checksum uint32 `msgpack:"k"` // CRC-32 of Body
}

// FillBody sets the body to size bytes that are derived from the ID, and sets the checksum.
func (r *Response) FillBody(size int) {
	r.Body = make([]byte, size)
	for i := range r.Body {
		r.Body[i] = byte(r.ID>>(8*(i%8))) ^ byte(i)
	}
	r.Checksum = crc32.ChecksumIEEE(r.Body)
}

// BodyIntact reports whether the body has the given size and matches the checksum.
func (r *Response) BodyIntact(size int) bool {
	return len(r.Body) == size && crc32.ChecksumIEEE(r.Body) == r.Checksum
}

// EncodeFrame returns v encoded for TCP, with its length as a prefix.
func EncodeFrame(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, prefixBytes+len(b)), uint32(len(b))), b...), nil
}

// EncodeDatagram returns v encoded as the payload of one UDP packet.
func EncodeDatagram(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Decode decodes a message without its length prefix into v. It returns ErrMessage if that fails.
func Decode(b []byte, v any) error {
	if safedecode.Msgpack(b, v) != nil {
		return ErrMessage
	}
	return nil
}

// FrameSplitter splits a byte stream into messages.
type FrameSplitter struct{ buffer []byte }

// Add appends received bytes.
func (s *FrameSplitter) Add(b []byte) { s.buffer = append(s.buffer, b...) }

// Next returns the next complete message, or nil if more bytes are needed. The result is valid until the next call
// of Add. The error is ErrMessage if the length exceeds MaxBytes.
func (s *FrameSplitter) Next() ([]byte, error) {
	if len(s.buffer) < prefixBytes {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(s.buffer))
	if n > MaxBytes {
		return nil, ErrMessage
	}
	if len(s.buffer) < prefixBytes+n {
		return nil, nil
	}
	m := s.buffer[prefixBytes : prefixBytes+n]
	s.buffer = s.buffer[prefixBytes+n:]
	if len(s.buffer) == 0 {
		s.buffer = nil
	}
	return m, nil
}

// Pending returns the number of bytes of an incomplete message.
func (s *FrameSplitter) Pending() int { return len(s.buffer) }
