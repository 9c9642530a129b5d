package packet

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

var (
	v4Caller   = netip.MustParseAddrPort("192.0.2.1:4000")
	v4Endpoint = netip.MustParseAddrPort("198.51.100.1:80")
	v6Caller   = netip.MustParseAddrPort("[2001:db8::1]:4000")
	v6Endpoint = netip.MustParseAddrPort("[2001:db8::2]:80")
)

// buildPacket returns a packet serialized by gopacket. IPv4 packets have 4 bytes of options.
func buildPacket(t testing.TB, protocol flow.Protocol, source, destination netip.AddrPort, setFlags func(*layers.TCP), payload int) []byte {
	var network gopacket.SerializableLayer
	var pseudoHeader gopacket.NetworkLayer
	if source.Addr().Is4() {
		ip := &layers.IPv4{
			Version: 4, TTL: 64, Protocol: layers.IPProtocol(protocol), SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
			Options: []layers.IPv4Option{{OptionType: 1}, {OptionType: 1}, {OptionType: 1}, {OptionType: 1}},
		}
		network, pseudoHeader = ip, ip
	} else {
		ip := &layers.IPv6{
			Version: 6, HopLimit: 64, NextHeader: layers.IPProtocol(protocol), SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
		}
		network, pseudoHeader = ip, ip
	}
	var transport gopacket.SerializableLayer
	if protocol == flow.UDP {
		u := &layers.UDP{SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port())}
		_ = u.SetNetworkLayerForChecksum(pseudoHeader)
		transport = u
	} else {
		s := &layers.TCP{SrcPort: layers.TCPPort(source.Port()), DstPort: layers.TCPPort(destination.Port()), Seq: 7, Ack: 9}
		setFlags(s)
		_ = s.SetNetworkLayerForChecksum(pseudoHeader)
		transport = s
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(make([]byte, payload))); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func setSYN(s *layers.TCP) { s.SYN = true }

// Guards against header fields that are read at a wrong offset, in IPv4 packets with options and in IPv6 packets.
func TestParse(t *testing.T) {
	for _, addresses := range [][2]netip.AddrPort{{v4Caller, v4Endpoint}, {v6Caller, v6Endpoint}} {
		var p forward.Packet
		code := Parse(append(buildPacket(t, flow.TCP, addresses[0], addresses[1], func(s *layers.TCP) { s.ACK, s.FIN = true, true }, 11), 0, 0), &p)
		want := forward.Packet{
			Source: addresses[0], Destination: addresses[1], Protocol: flow.TCP, Flags: forward.FIN | forward.ACK, Seq: 7, Ack: 9, Payload: 11,
		}
		if code != resultcode.OK || p != want {
			t.Errorf("got %+v with %v", p, code)
		}
		code = Parse(buildPacket(t, flow.UDP, addresses[0], addresses[1], nil, 3), &p)
		if want := (forward.Packet{Source: addresses[0], Destination: addresses[1], Protocol: flow.UDP, Payload: 3}); code != resultcode.OK || p != want {
			t.Errorf("got %+v with %v", p, code)
		}
	}
}

// Guards against malformed or truncated packets that are accepted.
func TestParseRefuses(t *testing.T) {
	v4 := buildPacket(t, flow.TCP, v4Caller, v4Endpoint, setSYN, 0)
	v6 := buildPacket(t, flow.UDP, v6Caller, v6Endpoint, nil, 0)
	for name, c := range map[string]struct {
		packet []byte
		at     int
		value  byte
		want   resultcode.Code
	}{
		"empty":                  {nil, -1, 0, resultcode.PacketTruncated},
		"version 5":              {v4, 0, 0x55, resultcode.PacketMalformed},
		"header length below 20": {v4, 0, 0x44, resultcode.PacketMalformed},
		"total length too large": {v4, 3, 200, resultcode.PacketTruncated},
		"more fragments":         {v4, 6, 0x20, resultcode.PacketFragment},
		"fragment offset":        {v4, 7, 1, resultcode.PacketFragment},
		"ICMP":                   {v4, 9, 1, resultcode.PacketUnknownEndpoint},
		"TCP header too long":    {v4, 24 + 12, 0xf0, resultcode.PacketTruncated},
		"truncated TCP header":   {v4[:30], -1, 0, resultcode.PacketTruncated},
		"IPv6 fragment":          {v6, 6, 44, resultcode.PacketFragment},
		"truncated UDP header":   {v6[:44], -1, 0, resultcode.PacketTruncated},
		"UDP length too large":   {v6, 45, 200, resultcode.PacketTruncated},
		"UDP length below 8":     {v6, 45, 7, resultcode.PacketMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			b := append([]byte(nil), c.packet...)
			if c.at >= 0 {
				b[c.at] = c.value
			}
			if got := Parse(b, new(forward.Packet)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	mapped := append([]byte(nil), v6...)
	copy(mapped[8:], []byte{10: 0xff, 11: 0xff, 15: 1})
	clear(mapped[8:18])
	if got := Parse(mapped, new(forward.Packet)); got != resultcode.PacketMalformed {
		t.Errorf("IPv4-mapped IPv6 source, which has the key of an IPv4 flow: got %v, want packet-malformed", got)
	}
}

// decodeVerified decodes a packet with gopacket and fails the test if a checksum is wrong.
func decodeVerified(t testing.TB, b []byte) gopacket.Packet {
	t.Helper()
	first := gopacket.LayerType(layers.LayerTypeIPv4)
	if b[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(b, first, gopacket.Default)
	for _, layer := range decoded.Layers() {
		if l, ok := layer.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		}); ok {
			_ = l.SetNetworkLayerForChecksum(decoded.NetworkLayer())
		}
	}
	if err, mismatches := decoded.VerifyChecksums(); len(mismatches) != 0 || err != nil || decoded.ErrorLayer() != nil {
		t.Fatalf("gopacket decodes %v: wrong checksums %v, error %v", decoded, mismatches, err)
	}
	return decoded
}

// Guards against RST segments and ICMP errors that the caller's TCP/IP stack ignores, for example because of a wrong sequence
// number or checksum.
func TestReplies(t *testing.T) {
	for _, addresses := range [][2]netip.AddrPort{{v4Caller, v4Endpoint}, {v6Caller, v6Endpoint}} {
		var p forward.Packet
		original := buildPacket(t, flow.TCP, addresses[0], addresses[1], setSYN, 0)
		Parse(original, &p)
		rst := decodeVerified(t, AppendReset(nil, &p)).TransportLayer().(*layers.TCP)
		if !rst.RST || !rst.ACK || rst.Seq != 0 || rst.Ack != 8 || rst.SrcPort != 80 || rst.DstPort != 4000 {
			t.Errorf("RST in reply to a SYN: got %+v, want sequence number 0 and acknowledgement 8", rst)
		}
		Parse(buildPacket(t, flow.TCP, addresses[0], addresses[1], func(s *layers.TCP) { s.ACK = true }, 5), &p)
		if rst = decodeVerified(t, AppendReset(nil, &p)).TransportLayer().(*layers.TCP); !rst.RST || rst.ACK || rst.Seq != 9 {
			t.Errorf("RST in reply to an ACK: got %+v, want sequence number 9 and no ACK flag", rst)
		}
		original = buildPacket(t, flow.UDP, addresses[0], addresses[1], nil, 2000)
		Parse(original, &p)
		b := AppendProhibited(nil, original, &p)
		decoded := decodeVerified(t, b)
		if len(b) > MaxReplyBytes {
			t.Errorf("reply has %d bytes, more than MaxReplyBytes", len(b))
		}
		if icmp, ok := decoded.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); ok && icmp.TypeCode != layers.CreateICMPv4TypeCode(3, 13) {
			t.Errorf("ICMP: got %v, want type 3, code 13", icmp.TypeCode)
		}
		if icmp, ok := decoded.Layer(layers.LayerTypeICMPv6).(*layers.ICMPv6); ok && icmp.TypeCode != layers.CreateICMPv6TypeCode(1, 1) {
			t.Errorf("ICMPv6: got %v, want type 1, code 1", icmp.TypeCode)
		}
	}
}

// Guards against reads beyond the end of crafted packets, and against replies to them that are too large or cannot be parsed.
func FuzzParse(f *testing.F) {
	f.Add(buildPacket(f, flow.TCP, v4Caller, v4Endpoint, setSYN, 4))
	f.Add(buildPacket(f, flow.UDP, v6Caller, v6Endpoint, nil, 4))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p forward.Packet
		if Parse(b, &p) != resultcode.OK {
			return
		}
		for _, reply := range [][]byte{AppendReset(nil, &p), AppendProhibited(nil, b, &p)} {
			if len(reply) > MaxReplyBytes {
				t.Fatalf("reply has %d bytes, more than MaxReplyBytes", len(reply))
			}
		}
		var reset forward.Packet
		if code := Parse(AppendReset(nil, &p), &reset); code != resultcode.OK || reset.Source != p.Destination || !reset.Has(forward.RST) {
			t.Fatalf("RST in reply to %+v: got %+v with code %v", p, reset, code)
		}
	})
}
