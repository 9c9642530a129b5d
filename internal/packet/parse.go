// Package packet parses and builds inner IPv4 and IPv6 packets. It does not allocate memory for each packet.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	ipv4HeaderBytes = 20
	ipv6HeaderBytes = 40
	tcpHeaderBytes  = 20
	udpHeaderBytes  = 8

	protocolICMP   = 1
	protocolICMPv6 = 58

	// maxExtensionHeaders is the number of extension headers that an IPv6 packet may have. It bounds the time to parse a
	// crafted packet.
	maxExtensionHeaders = 4
)

// Next header values of the IPv6 extension headers (RFC 8200, section 4).
const (
	extensionHopByHop    = 0
	extensionRouting     = 43
	extensionFragment    = 44
	extensionDestination = 60
)

// Parse parses the IP and transport headers of an inner packet into p. It ignores bytes beyond the length in the IP header. It
// returns resultcode.OK or the reason why the packet cannot be forwarded.
func Parse(b []byte, p *forward.Packet) resultcode.Code {
	if len(b) == 0 {
		return resultcode.PacketTruncated
	}
	switch b[0] >> 4 {
	case 4:
		return parseIPv4(b, p)
	case 6:
		return parseIPv6(b, p)
	}
	return resultcode.PacketMalformed
}

func parseIPv4(b []byte, p *forward.Packet) resultcode.Code {
	if len(b) < ipv4HeaderBytes {
		return resultcode.PacketTruncated
	}
	headerLength, totalLength := int(b[0]&15)*4, int(binary.BigEndian.Uint16(b[2:]))
	switch {
	case headerLength < ipv4HeaderBytes || totalLength < headerLength:
		return resultcode.PacketMalformed
	case totalLength > len(b):
		return resultcode.PacketTruncated
	case binary.BigEndian.Uint16(b[6:])&0x3fff != 0: // the "more fragments" flag or a fragment offset is set
		return resultcode.PacketFragment
	}
	source := netip.AddrFrom4([4]byte(b[12:16]))
	destination := netip.AddrFrom4([4]byte(b[16:20]))
	return parseTransport(b[headerLength:totalLength], b[9], source, destination, p)
}

func parseIPv6(b []byte, p *forward.Packet) resultcode.Code {
	if len(b) < ipv6HeaderBytes {
		return resultcode.PacketTruncated
	}
	totalLength := ipv6HeaderBytes + int(binary.BigEndian.Uint16(b[4:]))
	if totalLength > len(b) {
		return resultcode.PacketTruncated
	}
	source := netip.AddrFrom16([16]byte(b[8:24]))
	destination := netip.AddrFrom16([16]byte(b[24:40]))
	if source.Is4In6() || destination.Is4In6() {
		return resultcode.PacketMalformed // an IPv4-mapped address would give the flow the key of an IPv4 flow
	}
	nextHeader, rest := b[6], b[ipv6HeaderBytes:totalLength]
	for range maxExtensionHeaders {
		switch nextHeader {
		case extensionFragment:
			return resultcode.PacketFragment
		case extensionHopByHop, extensionRouting, extensionDestination:
			if len(rest) < 8 || len(rest) < 8+int(rest[1])*8 {
				return resultcode.PacketTruncated
			}
			nextHeader, rest = rest[0], rest[8+int(rest[1])*8:]
		default:
			return parseTransport(rest, nextHeader, source, destination, p)
		}
	}
	return resultcode.PacketMalformed
}

func parseTransport(b []byte, protocol uint8, source, destination netip.Addr, p *forward.Packet) resultcode.Code {
	switch flow.Protocol(protocol) {
	case flow.TCP:
		if len(b) < tcpHeaderBytes {
			return resultcode.PacketTruncated
		}
		headerLength := int(b[12]>>4) * 4
		if headerLength < tcpHeaderBytes {
			return resultcode.PacketMalformed
		}
		if headerLength > len(b) {
			return resultcode.PacketTruncated
		}
		p.Seq, p.Ack = binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:])
		p.Flags, p.Payload = forward.TCPFlags(b[13])&flagMask, uint32(len(b)-headerLength)
	case flow.UDP:
		if len(b) < udpHeaderBytes {
			return resultcode.PacketTruncated
		}
		length := int(binary.BigEndian.Uint16(b[4:]))
		if length < udpHeaderBytes {
			return resultcode.PacketMalformed
		}
		if length > len(b) {
			return resultcode.PacketTruncated
		}
		p.Seq, p.Ack, p.Flags, p.Payload = 0, 0, 0, uint32(length-udpHeaderBytes)
	default:
		return resultcode.PacketUnknownEndpoint // endpoints use TCP or UDP only
	}
	p.Protocol = flow.Protocol(protocol)
	p.Source = netip.AddrPortFrom(source, binary.BigEndian.Uint16(b))
	p.Destination = netip.AddrPortFrom(destination, binary.BigEndian.Uint16(b[2:]))
	if p.Source.Port() == 0 || p.Destination.Port() == 0 {
		return resultcode.PacketMalformed
	}
	return resultcode.OK
}

// flagMask selects the TCP flags that forwarding uses.
const flagMask = forward.FIN | forward.SYN | forward.RST | forward.PSH | forward.ACK
