package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
)

// MaxReplyBytes is the largest packet that the functions of this file build.
const MaxReplyBytes = 576

const (
	hopLimit = 64
	// ICMP type and code of "communication administratively prohibited" (RFC 1812, section 5.2.7.1; RFC 4443, 3.1).
	icmpUnreachable   = 3
	icmpProhibited    = 13
	icmpv6Unreachable = 1
	icmpv6Prohibited  = 1
	icmpHeaderBytes   = 8
	// icmpQuoteBytes is how much of the payload of a refused IPv4 packet is quoted (RFC 792): the ports of the flow.
	icmpQuoteBytes = 8
)

// AppendReset appends a RST that answers the segment p (RFC 9293, section 3.10.7.1).
func AppendReset(b []byte, p *forward.Packet) []byte {
	if p.Has(forward.ACK) {
		return AppendRST(b, p.Destination, p.Source, p.Ack, 0, false)
	}
	return AppendRST(b, p.Destination, p.Source, 0, p.Seq+p.SequenceLength(), true)
}

// AppendRST appends a TCP RST from source to destination. The acknowledgement counts only when hasAck is true.
func AppendRST(b []byte, source, destination netip.AddrPort, seq, ack uint32, hasAck bool) []byte {
	start := len(b)
	b = appendIP(b, source.Addr(), destination.Addr(), uint8(flow.TCP), tcpHeaderBytes)
	at := len(b)
	b = binary.BigEndian.AppendUint16(b, source.Port())
	b = binary.BigEndian.AppendUint16(b, destination.Port())
	b = binary.BigEndian.AppendUint32(b, seq)
	b = binary.BigEndian.AppendUint32(b, ack)
	flags := forward.RST
	if hasAck {
		flags |= forward.ACK
	}
	b = append(b, tcpHeaderBytes/4<<4, byte(flags), 0, 0, 0, 0, 0, 0)
	sum := pseudoSum(b[start:at], uint8(flow.TCP), tcpHeaderBytes)
	binary.BigEndian.PutUint16(b[at+16:], fold(addSum(sum, b[at:])))
	return b
}

// AppendProhibited appends an ICMP or ICMPv6 destination unreachable message, communication administratively
// prohibited, that answers the original packet, whose headers are in p.
func AppendProhibited(b, original []byte, p *forward.Packet) []byte {
	if p.Source.Addr().Is4() {
		return appendProhibited4(b, original, p)
	}
	quote := original[:min(len(original), MaxReplyBytes-ipv6HeaderBytes-icmpHeaderBytes)]
	start := len(b)
	length := icmpHeaderBytes + len(quote)
	b = appendIP(b, p.Destination.Addr(), p.Source.Addr(), protocolICMPv6, length)
	at := len(b)
	b = append(b, icmpv6Unreachable, icmpv6Prohibited, 0, 0, 0, 0, 0, 0)
	b = append(b, quote...)
	sum := pseudoSum(b[start:at], protocolICMPv6, length)
	binary.BigEndian.PutUint16(b[at+2:], fold(addSum(sum, b[at:])))
	return b
}

func appendProhibited4(b, original []byte, p *forward.Packet) []byte {
	header := int(original[0]&15) * 4
	quote := original[:min(len(original), header+icmpQuoteBytes)]
	b = appendIP(b, p.Destination.Addr(), p.Source.Addr(), protocolICMP, icmpHeaderBytes+len(quote))
	at := len(b)
	b = append(b, icmpUnreachable, icmpProhibited, 0, 0, 0, 0, 0, 0)
	b = append(b, quote...)
	binary.BigEndian.PutUint16(b[at+2:], fold(addSum(0, b[at:])))
	return b
}

// appendIP appends an IP header for a payload of the given length.
func appendIP(b []byte, source, destination netip.Addr, protocol uint8, payload int) []byte {
	if source.Is4() {
		start := len(b)
		b = append(b, 4<<4|ipv4HeaderBytes/4, 0)
		b = binary.BigEndian.AppendUint16(b, uint16(ipv4HeaderBytes+payload))
		b = append(b, 0, 0, 0x40, 0, hopLimit, protocol, 0, 0) // don't fragment
		s, d := source.As4(), destination.As4()
		b = append(append(b, s[:]...), d[:]...)
		binary.BigEndian.PutUint16(b[start+10:], fold(addSum(0, b[start:])))
		return b
	}
	b = append(b, 6<<4, 0, 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(payload))
	b = append(b, protocol, hopLimit)
	s, d := source.As16(), destination.As16()
	return append(append(b, s[:]...), d[:]...)
}

// pseudoSum returns the checksum of the pseudo-header that belongs to an IP header.
func pseudoSum(header []byte, protocol uint8, length int) uint32 {
	sum := uint32(protocol) + uint32(length)
	if header[0]>>4 == 4 {
		return addSum(sum, header[12:20])
	}
	return addSum(sum, header[8:40])
}

func addSum(sum uint32, b []byte) uint32 {
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(b[0])<<8 | uint32(b[1])
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

func fold(sum uint32) uint16 {
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
