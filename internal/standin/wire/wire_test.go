package wire

import (
	"bytes"
	"net/netip"
	"testing"
)

// Guards against fields that change between encoding and decoding, and against a decoder that accepts damaged packets.
func TestRoundTrip(t *testing.T) {
	tests := []struct {
		name     string
		src, dst string
		kind     Kind
	}{
		{"TCP over IPv4", "10.0.0.1:1024", "192.0.2.1:80", TCP},
		{"UDP over IPv4", "10.0.0.1:1024", "192.0.2.1:80", UDP},
		{"TCP over IPv6", "[fd00::1]:1024", "[2001:db8::1]:80", TCP},
		{"UDP over IPv6", "[fd00::1]:1024", "[2001:db8::1]:80", UDP},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := Packet{Kind: tt.kind, Src: netip.MustParseAddrPort(tt.src), Dst: netip.MustParseAddrPort(tt.dst), Payload: []byte("payload")}
			if tt.kind == TCP {
				sent.Seq, sent.Ack, sent.Window, sent.Flags = 1<<31, 7, 4096, ACK|PSH
			}
			b, err := NewEncoder().Encode(4096, &sent)
			if err != nil {
				t.Fatal(err)
			}
			vni, inner, err := DecodeGeneve(b)
			if err != nil || vni != 4096 {
				t.Fatalf("got VNI %d, error %v; want VNI 4096", vni, err)
			}
			var d Decoder
			got, err := d.Decode(inner)
			if err != nil || !bytes.Equal(got.Payload, sent.Payload) || got.Src != sent.Src || got.Dst != sent.Dst ||
				got.Seq != sent.Seq || got.Ack != sent.Ack || got.Flags != sent.Flags || got.Window != sent.Window || got.Kind != sent.Kind {
				t.Fatalf("got %+v, error %v, want %+v", got, err, sent)
			}
			checkProhibited(t, &sent, bytes.Clone(inner))
			inner[len(inner)-1] ^= 1
			if _, err := d.Decode(inner); err == nil {
				t.Fatal("a packet with a flipped bit was decoded without an error")
			}
		})
	}
}

func checkProhibited(t *testing.T, sent *Packet, inner []byte) {
	t.Helper()
	b, err := NewEncoder().EncodeProhibited(1, inner)
	if err != nil {
		t.Fatal(err)
	}
	_, reply, err := DecodeGeneve(b)
	if err != nil {
		t.Fatal(err)
	}
	var d Decoder
	p, err := d.Decode(reply)
	if err != nil || p.Kind != Prohibited || p.Quoted != sent.Kind || p.Src != sent.Src || p.Dst != sent.Dst {
		t.Fatalf("got %+v, error %v; want an ICMP error that quotes the sent packet", p, err)
	}
}
