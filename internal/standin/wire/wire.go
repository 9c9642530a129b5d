// Package wire encodes and decodes the packets of the stand-ins: inner IPv4 and IPv6 packets in Geneve.
//
// It uses gopacket and shares no code with the daemon, so that a fault in the daemon's encoding is not hidden by the
// same fault here.
package wire

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// CallerVNI is the Geneve network identifier between the fabric and the balancers on the caller side.
const CallerVNI = 1

// MaxPacket is the largest packet in bytes that the stand-ins send or receive.
const MaxPacket = 9216

const (
	geneveHeaderBytes = 8
	hopLimit          = 64
)

// Decoding errors.
var (
	ErrGeneve   = errors.New("not a Geneve packet with an IP payload")
	ErrInner    = errors.New("inner packet cannot be decoded")
	ErrChecksum = errors.New("inner packet has a wrong checksum")
)

// Kind is the transport protocol or the ICMP error of an inner packet.
type Kind uint8

// Kinds of inner packets.
const (
	TCP Kind = iota + 1
	UDP
	Prohibited  // ICMP or ICMPv6 destination unreachable, communication administratively prohibited
	Unreachable // any other ICMP or ICMPv6 error
)

// Packet is a decoded inner packet. Payload points into the decoded buffer.
type Packet struct {
	Kind     Kind
	Src, Dst netip.AddrPort // for an ICMP error, those of the packet that it quotes
	Quoted   Kind           // for an ICMP error, the kind of the packet that it quotes
	Seq, Ack uint32
	Flags    Flags
	Window   uint16
	Payload  []byte
}

// Flags are TCP flags.
type Flags uint8

// TCP flags.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all flags in g are set.
func (f Flags) Has(g Flags) bool { return f&g == g }

// DecodeGeneve returns the network identifier and the inner packet of a Geneve packet.
func DecodeGeneve(b []byte) (vni uint32, inner []byte, err error) {
	if len(b) < geneveHeaderBytes || b[0]>>6 != 0 {
		return 0, nil, ErrGeneve
	}
	start := geneveHeaderBytes + int(b[0]&0x3f)*4
	protocol := layers.EthernetType(binary.BigEndian.Uint16(b[2:]))
	if len(b) <= start || (protocol != layers.EthernetTypeIPv4 && protocol != layers.EthernetTypeIPv6) {
		return 0, nil, ErrGeneve
	}
	return binary.BigEndian.Uint32(b[4:]) >> 8, b[start:], nil
}

// Addresses returns the addresses of an inner packet without decoding the rest.
func Addresses(inner []byte) (src, dst netip.Addr, ok bool) {
	switch {
	case len(inner) >= 20 && inner[0]>>4 == 4:
		return netip.AddrFrom4([4]byte(inner[12:16])), netip.AddrFrom4([4]byte(inner[16:20])), true
	case len(inner) >= 40 && inner[0]>>4 == 6:
		return netip.AddrFrom16([16]byte(inner[8:24])), netip.AddrFrom16([16]byte(inner[24:40])), true
	}
	return src, dst, false
}

// FlowHash returns a hash of the addresses and, for TCP and UDP without IP options, the ports of an inner packet. It is
// the same for both directions of a flow.
func FlowHash(inner []byte) uint64 {
	var src, dst []byte
	var ports int
	switch {
	case len(inner) >= 24 && inner[0]>>4 == 4:
		src, dst, ports = inner[12:16], inner[16:20], 20
	case len(inner) >= 44 && inner[0]>>4 == 6:
		src, dst, ports = inner[8:24], inner[24:40], 40
	default:
		return 0
	}
	h := endpointHash(src, inner[ports:ports+2]) + endpointHash(dst, inner[ports+2:ports+4])
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd // the finalizer of MurmurHash3 spreads the sum over all bits
	return h ^ h>>33
}

func endpointHash(address, port []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(address)
	_, _ = d.Write(port)
	return d.Sum64()
}

// Decoder decodes inner packets. It is not safe for concurrent use.
type Decoder struct {
	ip4   layers.IPv4
	ip6   layers.IPv6
	tcp   layers.TCP
	udp   layers.UDP
	icmp4 layers.ICMPv4
	icmp6 layers.ICMPv6
}

// Decode decodes an inner packet and checks its transport checksum.
func (d *Decoder) Decode(inner []byte) (Packet, error) {
	var p Packet
	src, dst, protocol, body, network, err := d.decodeIP(inner)
	if err != nil {
		return p, err
	}
	switch protocol {
	case layers.IPProtocolTCP:
		return d.decodeTCP(src, dst, body, network)
	case layers.IPProtocolUDP:
		return d.decodeUDP(src, dst, body, network)
	case layers.IPProtocolICMPv4, layers.IPProtocolICMPv6:
		return d.decodeICMP(protocol, body, network)
	}
	return p, ErrInner
}

func (d *Decoder) decodeIP(inner []byte) (src, dst netip.Addr, protocol layers.IPProtocol, body []byte, network gopacket.NetworkLayer, err error) {
	src, dst, ok := Addresses(inner)
	if !ok {
		return src, dst, 0, nil, nil, ErrInner
	}
	if inner[0]>>4 == 4 {
		if err := d.ip4.DecodeFromBytes(inner, gopacket.NilDecodeFeedback); err != nil {
			return src, dst, 0, nil, nil, ErrInner
		}
		return src, dst, d.ip4.Protocol, d.ip4.Payload, &d.ip4, nil
	}
	if err := d.ip6.DecodeFromBytes(inner, gopacket.NilDecodeFeedback); err != nil {
		return src, dst, 0, nil, nil, ErrInner
	}
	return src, dst, d.ip6.NextHeader, d.ip6.Payload, &d.ip6, nil
}

func (d *Decoder) decodeTCP(src, dst netip.Addr, body []byte, network gopacket.NetworkLayer) (Packet, error) {
	if err := d.tcp.DecodeFromBytes(body, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, ErrInner
	}
	_ = d.tcp.SetNetworkLayerForChecksum(network)
	if err, checksum := d.tcp.VerifyChecksum(); err != nil || !checksum.Valid {
		return Packet{}, ErrChecksum
	}
	return Packet{
		Kind: TCP, Src: netip.AddrPortFrom(src, uint16(d.tcp.SrcPort)), Dst: netip.AddrPortFrom(dst, uint16(d.tcp.DstPort)),
		Seq: d.tcp.Seq, Ack: d.tcp.Ack, Flags: tcpFlags(&d.tcp), Window: d.tcp.Window, Payload: d.tcp.Payload,
	}, nil
}

func tcpFlags(t *layers.TCP) Flags {
	var f Flags
	for i, set := range [...]bool{t.FIN, t.SYN, t.RST, t.PSH, t.ACK} {
		if set {
			f |= 1 << i
		}
	}
	return f
}

func (d *Decoder) decodeUDP(src, dst netip.Addr, body []byte, network gopacket.NetworkLayer) (Packet, error) {
	if err := d.udp.DecodeFromBytes(body, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, ErrInner
	}
	_ = d.udp.SetNetworkLayerForChecksum(network)
	if err, checksum := d.udp.VerifyChecksum(); err != nil || !checksum.Valid {
		return Packet{}, ErrChecksum
	}
	return Packet{
		Kind: UDP, Src: netip.AddrPortFrom(src, uint16(d.udp.SrcPort)), Dst: netip.AddrPortFrom(dst, uint16(d.udp.DstPort)),
		Payload: d.udp.Payload,
	}, nil
}

// decodeICMP decodes an ICMP error. The result has the addresses of the packet that the error quotes.
func (d *Decoder) decodeICMP(protocol layers.IPProtocol, body []byte, network gopacket.NetworkLayer) (Packet, error) {
	kind := Unreachable
	var quoted []byte
	if protocol == layers.IPProtocolICMPv4 {
		if err := d.icmp4.DecodeFromBytes(body, gopacket.NilDecodeFeedback); err != nil {
			return Packet{}, ErrInner
		}
		if err, checksum := d.icmp4.VerifyChecksum(); err != nil || !checksum.Valid {
			return Packet{}, ErrChecksum
		}
		if d.icmp4.TypeCode == layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeCommAdminProhibited) {
			kind = Prohibited
		}
		quoted = d.icmp4.Payload
	} else {
		if err := d.icmp6.DecodeFromBytes(body, gopacket.NilDecodeFeedback); err != nil {
			return Packet{}, ErrInner
		}
		_ = d.icmp6.SetNetworkLayerForChecksum(network)
		if err, checksum := d.icmp6.VerifyChecksum(); err != nil || !checksum.Valid {
			return Packet{}, ErrChecksum
		}
		if d.icmp6.TypeCode == layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodeAdminProhibited) {
			kind = Prohibited
		}
		if len(d.icmp6.Payload) < 4 {
			return Packet{}, ErrInner
		}
		quoted = d.icmp6.Payload[4:] // after the unused field (RFC 4443, section 3.1)
	}
	return decodeQuoted(kind, quoted)
}

// decodeQuoted decodes the addresses and ports of the packet that an ICMP error quotes.
func decodeQuoted(kind Kind, quoted []byte) (Packet, error) {
	src, dst, ok := Addresses(quoted)
	if !ok {
		return Packet{}, ErrInner
	}
	header, protocol := 40, quoted[6]
	if quoted[0]>>4 == 4 {
		header, protocol = int(quoted[0]&0xf)*4, quoted[9]
	}
	if len(quoted) < header+4 {
		return Packet{}, ErrInner
	}
	ports := quoted[header:]
	p := Packet{
		Kind: kind, Quoted: UDP,
		Src: netip.AddrPortFrom(src, binary.BigEndian.Uint16(ports)),
		Dst: netip.AddrPortFrom(dst, binary.BigEndian.Uint16(ports[2:])),
	}
	if layers.IPProtocol(protocol) == layers.IPProtocolTCP {
		p.Quoted = TCP
	}
	return p, nil
}
