package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
)

// MaxReplyBytes is the maximum size of the packets that the Append functions build, in bytes.
const MaxReplyBytes = 576

const (
	hopLimit = 64
	// ICMP types and codes of "communication administratively prohibited" (RFC 1812, section 5.2.7.1; RFC 4443, 3.1).
	icmpUnreachable   = 3
	icmpProhibited    = 13
	icmpv6Unreachable = 1
	icmpv6Prohibited  = 1
	icmpHeaderBytes   = 8
	// icmpQuoteBytes is the number of payload bytes of the refused IPv4 packet that an ICMP message repeats (RFC 792). They
	// contain the ports of the flow.
	icmpQuoteBytes = 8
)

// AppendReset appends a TCP RST in reply to the segment p (RFC 9293, section 3.10.7.1).
func AppendReset(b []byte, p *forward.Packet) []byte {
	if p.Has(forward.ACK) {
		return AppendRST(b, p.Destination, p.Source, p.Ack, 0, false)
	}
	return AppendRST(b, p.Destination, p.Source, 0, p.Seq+p.SequenceLength(), true)
}

// AppendRST appends a TCP RST from source to destination. The acknowledgement number ack counts only if hasAck is
// true, which sets the ACK flag.
func AppendRST(b []byte, source, destination netip.AddrPort, seq, ack uint32, hasAck bool) []byte {
	start := len(b)
	b = appendIP(b, source.Addr(), destination.Addr(), uint8(flow.TCP), tcpHeaderBytes)
	offset := len(b)
	b = binary.BigEndian.AppendUint16(b, source.Port())
	b = binary.BigEndian.AppendUint16(b, destination.Port())
	b = binary.BigEndian.AppendUint32(b, seq)
	b = binary.BigEndian.AppendUint32(b, ack)
	flags := forward.RST
	if hasAck {
		flags |= forward.ACK
	}
	b = append(b, tcpHeaderBytes/4<<4, byte(flags), 0, 0, 0, 0, 0, 0)
	sum := pseudoHeaderSum(b[start:offset], uint8(flow.TCP), tcpHeaderBytes)
	binary.BigEndian.PutUint16(b[offset+16:], foldChecksum(addSum(sum, b[offset:])))
	return b
}

// AppendProhibited appends an ICMP or ICMPv6 "destination unreachable" message with the code "communication administratively
// prohibited", in reply to the packet original, whose parsed headers are in p.
func AppendProhibited(b, original []byte, p *forward.Packet) []byte {
	if p.Source.Addr().Is4() {
		return appendProhibited4(b, original, p)
	}
	quote := original[:min(len(original), MaxReplyBytes-ipv6HeaderBytes-icmpHeaderBytes)]
	start := len(b)
	length := icmpHeaderBytes + len(quote)
	b = appendIP(b, p.Destination.Addr(), p.Source.Addr(), protocolICMPv6, length)
	offset := len(b)
	b = append(b, icmpv6Unreachable, icmpv6Prohibited, 0, 0, 0, 0, 0, 0)
	b = append(b, quote...)
	sum := pseudoHeaderSum(b[start:offset], protocolICMPv6, length)
	binary.BigEndian.PutUint16(b[offset+2:], foldChecksum(addSum(sum, b[offset:])))
	return b
}

func appendProhibited4(b, original []byte, p *forward.Packet) []byte {
	headerLength := int(original[0]&15) * 4
	quote := original[:min(len(original), headerLength+icmpQuoteBytes)]
	b = appendIP(b, p.Destination.Addr(), p.Source.Addr(), protocolICMP, icmpHeaderBytes+len(quote))
	offset := len(b)
	b = append(b, icmpUnreachable, icmpProhibited, 0, 0, 0, 0, 0, 0)
	b = append(b, quote...)
	binary.BigEndian.PutUint16(b[offset+2:], foldChecksum(addSum(0, b[offset:])))
	return b
}

// appendIP appends an IPv4 or IPv6 header for a payload of payloadLength bytes.
func appendIP(b []byte, source, destination netip.Addr, protocol uint8, payloadLength int) []byte {
	if source.Is4() {
		start := len(b)
		b = append(b, 4<<4|ipv4HeaderBytes/4, 0)
		b = binary.BigEndian.AppendUint16(b, uint16(ipv4HeaderBytes+payloadLength))
		b = append(b, 0, 0, 0x40, 0, hopLimit, protocol, 0, 0) // don't fragment
		s, d := source.As4(), destination.As4()
		b = append(append(b, s[:]...), d[:]...)
		binary.BigEndian.PutUint16(b[start+10:], foldChecksum(addSum(0, b[start:])))
		return b
	}
	b = append(b, 6<<4, 0, 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(payloadLength))
	b = append(b, protocol, hopLimit)
	s, d := source.As16(), destination.As16()
	return append(append(b, s[:]...), d[:]...)
}

// pseudoHeaderSum returns the unfolded checksum of the TCP or ICMPv6 pseudo-header that belongs to an IP header.
func pseudoHeaderSum(header []byte, protocol uint8, length int) uint32 {
	sum := uint32(protocol) + uint32(length)
	if header[0]>>4 == 4 {
		return addSum(sum, header[12:20])
	}
	return addSum(sum, header[8:40])
}

// addSum adds the 16-bit words of b to an unfolded Internet checksum (RFC 1071).
func addSum(sum uint32, b []byte) uint32 {
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(b[0])<<8 | uint32(b[1])
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

// foldChecksum returns the Internet checksum of an unfolded sum.
func foldChecksum(sum uint32) uint16 {
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
