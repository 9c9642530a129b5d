// Package message defines what callers and targets of the stand-ins say to each other: length-prefixed msgpack over
// TCP, plain msgpack over UDP.
package message

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBytes is the largest message.
const MaxBytes = 1 << 20

const lengthBytes = 4

// ErrMessage means that the bytes are not a whole, undamaged message.
var ErrMessage = errors.New("message is damaged")

// Request is what a caller asks of a target.
type Request struct {
	ID             uint64 `msgpack:"i"` // unique in one run of the caller
	Sequence       uint32 `msgpack:"s"` // position in the flow, from 1
	Service        string `msgpack:"n"`
	WorkMicros     uint32 `msgpack:"w,omitempty"` // service time; 0 leaves it to the target
	DeadlineMS     uint32 `msgpack:"d,omitempty"` // remaining time to the deadline; 0 means none
	ResponseBytes  uint32 `msgpack:"a,omitempty"` // bytes of body in the answer
	PushIntervalMS uint32 `msgpack:"f,omitempty"` // asks for pushes at this interval from now on
	CancelID       uint64 `msgpack:"c,omitempty"` // ID of a request to cancel; the rest is ignored
	Body           []byte `msgpack:"b,omitempty"`
}

// Status tells how a request ended.
type Status uint8

// Statuses of answers.
const (
	OK               Status = iota
	DeadlineExceeded        // not run: its deadline passed while it waited
	Canceled                // not run: canceled while it waited
	Push                    // unrequested data of a feed
)

// Response is what a target sends back.
type Response struct {
	ID       uint64 `msgpack:"i"`
	Sequence uint32 `msgpack:"s"` // that of the request, or the position in the feed
	Status   Status `msgpack:"t"`
	Service  string `msgpack:"n"`
	Target   string `msgpack:"h"`
	Body     []byte `msgpack:"b,omitempty"`
	Checksum uint32 `msgpack:"k"` // CRC-32 of Body
}

// FillBody fills the body with size bytes that depend on the ID, and sets the checksum.
func (a *Response) FillBody(size int) {
	a.Body = make([]byte, size)
	for i := range a.Body {
		a.Body[i] = byte(a.ID>>(8*(i%8))) ^ byte(i)
	}
	a.Checksum = crc32.ChecksumIEEE(a.Body)
}

// BodyIntact reports whether the body has its size and checksum.
func (a *Response) BodyIntact(size int) bool {
	return len(a.Body) == size && crc32.ChecksumIEEE(a.Body) == a.Checksum
}

// EncodeFrame returns v with its length in front.
func EncodeFrame(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(b)), uint32(len(b))), b...), nil
}

// EncodeDatagram returns v as the payload of one UDP packet.
func EncodeDatagram(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Decode decodes a payload into v.
func Decode(b []byte, v any) error {
	if msgpack.Unmarshal(b, v) != nil {
		return ErrMessage
	}
	return nil
}

// FrameSplitter cuts a byte stream into messages.
type FrameSplitter struct{ buffer []byte }

// Add appends received bytes.
func (s *FrameSplitter) Add(b []byte) { s.buffer = append(s.buffer, b...) }

// Next returns the next whole message, or nil when more bytes are needed. The result is valid until the next call
// of Add.
func (s *FrameSplitter) Next() ([]byte, error) {
	if len(s.buffer) < lengthBytes {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(s.buffer))
	if n > MaxBytes {
		return nil, ErrMessage
	}
	if len(s.buffer) < lengthBytes+n {
		return nil, nil
	}
	m := s.buffer[lengthBytes : lengthBytes+n]
	s.buffer = s.buffer[lengthBytes+n:]
	if len(s.buffer) == 0 {
		s.buffer = nil
	}
	return m, nil
}

// Pending returns the number of bytes of an incomplete message.
func (s *FrameSplitter) Pending() int { return len(s.buffer) }
