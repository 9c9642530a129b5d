package wire

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Encoder encapsulates inner packets in Geneve. It is not safe for concurrent use.
type Encoder struct {
	buffer gopacket.SerializeBuffer
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// NewEncoder returns an encoder.
func NewEncoder() *Encoder {
	return &Encoder{buffer: gopacket.NewSerializeBufferExpectedSize(128, 1500)}
}

var encodeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Encode returns the packet encapsulated in Geneve. The result is valid until the next call.
func (e *Encoder) Encode(vni uint32, p *Packet) ([]byte, error) {
	protocol := layers.IPProtocolTCP
	if p.Kind == UDP {
		protocol = layers.IPProtocolUDP
	}
	network, ip := e.ipLayer(p, protocol)
	var transport gopacket.SerializableLayer
	if p.Kind == UDP {
		e.udp = layers.UDP{SrcPort: layers.UDPPort(p.Src.Port()), DstPort: layers.UDPPort(p.Dst.Port())}
		_ = e.udp.SetNetworkLayerForChecksum(network)
		transport = &e.udp
	} else {
		e.tcp = layers.TCP{
			SrcPort: layers.TCPPort(p.Src.Port()), DstPort: layers.TCPPort(p.Dst.Port()), Seq: p.Seq, Ack: p.Ack, Window: p.Window,
			FIN: p.Flags.Has(FIN), SYN: p.Flags.Has(SYN), RST: p.Flags.Has(RST), PSH: p.Flags.Has(PSH), ACK: p.Flags.Has(ACK),
		}
		_ = e.tcp.SetNetworkLayerForChecksum(network)
		transport = &e.tcp
	}
	return e.serialize(vni, ip, transport, gopacket.Payload(p.Payload))
}

func (e *Encoder) serialize(vni uint32, ip gopacket.SerializableLayer, rest ...gopacket.SerializableLayer) ([]byte, error) {
	e.geneve = layers.Geneve{VNI: vni, Protocol: layers.EthernetTypeIPv4}
	if ip == gopacket.SerializableLayer(&e.ip6) {
		e.geneve.Protocol = layers.EthernetTypeIPv6
	}
	layerStack := append([]gopacket.SerializableLayer{&e.geneve, ip}, rest...)
	if err := gopacket.SerializeLayers(e.buffer, encodeOptions, layerStack...); err != nil {
		return nil, err
	}
	return e.buffer.Bytes(), nil
}

func (e *Encoder) ipLayer(p *Packet, protocol layers.IPProtocol) (gopacket.NetworkLayer, gopacket.SerializableLayer) {
	if p.Src.Addr().Is4() {
		src, dst := p.Src.Addr().As4(), p.Dst.Addr().As4()
		e.ip4 = layers.IPv4{Version: 4, TTL: hopLimit, Protocol: protocol, SrcIP: src[:], DstIP: dst[:]}
		return &e.ip4, &e.ip4
	}
	src, dst := p.Src.Addr().As16(), p.Dst.Addr().As16()
	e.ip6 = layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: protocol, SrcIP: src[:], DstIP: dst[:]}
	return &e.ip6, &e.ip6
}

// EncodeProhibited returns the ICMP or ICMPv6 error "communication administratively prohibited" for the inner packet,
// encapsulated in Geneve. The source of the error is the destination of the inner packet. The result is valid until
// the next call.
func (e *Encoder) EncodeProhibited(vni uint32, inner []byte) ([]byte, error) {
	src, dst, ok := Addresses(inner)
	if !ok {
		return nil, ErrInner
	}
	reply := Packet{Src: netip.AddrPortFrom(dst, 0), Dst: netip.AddrPortFrom(src, 0)}
	if src.Is4() {
		_, ip := e.ipLayer(&reply, layers.IPProtocolICMPv4)
		icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeCommAdminProhibited)}
		return e.serialize(vni, ip, icmp, gopacket.Payload(inner))
	}
	network, ip := e.ipLayer(&reply, layers.IPProtocolICMPv6)
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodeAdminProhibited)}
	_ = icmp.SetNetworkLayerForChecksum(network)
	return e.serialize(vni, ip, icmp, gopacket.Payload(append(make([]byte, 4), inner...)))
}
