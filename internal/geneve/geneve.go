// Package geneve encodes and decodes Geneve headers (RFC 8926) and the option that balancers add to packets for each other.
package geneve

import (
	"encoding/binary"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Virtual network identifiers (VNIs) of tunnels that belong to no service.
const (
	VNICaller = 1 // between the fabric and balancers
	VNIPeer   = 2 // between balancers
)

const (
	headerBytes       = 8
	optionHeaderBytes = 4
	peerOptionBytes   = 24
	peerOptionClass   = 0xfff0
	peerOptionType    = 1
	criticalBit       = 0x80 // bit of an option type: the receiver must know the option
	controlFlag       = 0x80 // bit of the header: control packet

	// MaxHeaderBytes is the size in bytes of the largest header that Encode writes.
	MaxHeaderBytes = headerBytes + optionHeaderBytes + peerOptionBytes

	etherTypeIPv4 = 0x0800
	etherTypeIPv6 = 0x86dd
)

// Header is a Geneve header.
type Header struct {
	VNI     uint32
	HasPeer bool
	Peer    forward.PeerInfo // valid when HasPeer is true
}

// Decode decodes the header at the start of b into h and returns the inner packet. Unknown options that are not critical are
// skipped.
func Decode(b []byte, h *Header) (inner []byte, code resultcode.Code) {
	if len(b) < headerBytes {
		return nil, resultcode.PacketTruncated
	}
	optionsLength := int(b[0]&0x3f) * 4
	protocol := binary.BigEndian.Uint16(b[2:])
	switch {
	case b[0]>>6 != 0, b[1]&controlFlag != 0, protocol != etherTypeIPv4 && protocol != etherTypeIPv6:
		return nil, resultcode.PacketMalformed
	case len(b) < headerBytes+optionsLength:
		return nil, resultcode.PacketTruncated
	}
	h.VNI = binary.BigEndian.Uint32(b[4:]) >> 8
	h.HasPeer = false
	for rest := b[headerBytes : headerBytes+optionsLength]; len(rest) > 0; {
		if len(rest) < optionHeaderBytes {
			return nil, resultcode.PacketMalformed
		}
		length := int(rest[3]&0x1f) * 4
		if len(rest) < optionHeaderBytes+length {
			return nil, resultcode.PacketMalformed
		}
		if binary.BigEndian.Uint16(rest) == peerOptionClass && rest[2] == peerOptionType && length == peerOptionBytes {
			decodePeer(rest[optionHeaderBytes:], &h.Peer)
			h.HasPeer = true
		} else if rest[2]&criticalBit != 0 {
			return nil, resultcode.PacketMalformed
		}
		rest = rest[optionHeaderBytes+length:]
	}
	return b[headerBytes+optionsLength:], resultcode.OK
}

func decodePeer(b []byte, p *forward.PeerInfo) {
	p.Version = binary.BigEndian.Uint64(b)
	p.Incarnation = binary.BigEndian.Uint64(b[8:])
	p.Hops = b[16]
	p.Direction = forward.Direction(b[17])
	p.VNI = binary.BigEndian.Uint32(b[18:])
	p.Target = binary.BigEndian.Uint16(b[22:])
}

// Size returns the length of the header in bytes.
func (h *Header) Size() int {
	if h.HasPeer {
		return MaxHeaderBytes
	}
	return headerBytes
}

// Encode writes the header in front of the inner packet, which starts at b[inner], and returns the index at which the
// header starts. At least MaxHeaderBytes must be free in front of the inner packet.
func Encode(b []byte, inner int, h *Header) (start int) {
	start = inner - h.Size()
	header := b[start:inner]
	header[0], header[1] = 0, 0
	protocol := uint16(etherTypeIPv4)
	if b[inner]>>4 == 6 {
		protocol = etherTypeIPv6
	}
	binary.BigEndian.PutUint16(header[2:], protocol)
	binary.BigEndian.PutUint32(header[4:], h.VNI<<8)
	if h.HasPeer {
		header[0] = (optionHeaderBytes + peerOptionBytes) / 4
		binary.BigEndian.PutUint16(header[8:], peerOptionClass)
		header[10], header[11] = peerOptionType, peerOptionBytes/4
		encodePeer(header[headerBytes+optionHeaderBytes:], &h.Peer)
	}
	return start
}

func encodePeer(b []byte, p *forward.PeerInfo) {
	binary.BigEndian.PutUint64(b, p.Version)
	binary.BigEndian.PutUint64(b[8:], p.Incarnation)
	b[16], b[17] = p.Hops, byte(p.Direction)
	binary.BigEndian.PutUint32(b[18:], p.VNI)
	binary.BigEndian.PutUint16(b[22:], p.Target)
}
