package geneve

import (
	"bytes"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

var peerHeader = Header{VNI: VNIPeer, HasPeer: true, Peer: forward.PeerInfo{
	Version: 1 << 40, Incarnation: 7, Hops: 2, Direction: forward.ToCaller, VNI: 0x123456, Target: 0xabcd,
}}

func encode(h *Header, inner []byte) []byte {
	b := append(make([]byte, MaxHeaderBytes), inner...)
	return b[Encode(b, MaxHeaderBytes, h):]
}

// Guards against a wire format that other implementations cannot decode. The reference is gopacket.
func TestWireFormat(t *testing.T) {
	for name, h := range map[string]Header{"plain": {VNI: 0xfffffe}, "peer": peerHeader} {
		t.Run(name, func(t *testing.T) {
			inner := append([]byte{0x60}, make([]byte, 39)...)
			var g layers.Geneve
			if err := g.DecodeFromBytes(encode(&h, inner), gopacket.NilDecodeFeedback); err != nil {
				t.Fatal(err)
			}
			if g.VNI != h.VNI || g.Protocol != layers.EthernetTypeIPv6 || !bytes.Equal(g.Payload, inner) || (len(g.Options) == 1) != h.HasPeer {
				t.Fatalf("gopacket decodes %+v", g)
			}
			if h.HasPeer && (g.Options[0].Class != 0xfff0 || g.Options[0].Type != 1 || len(g.Options[0].Data) != 24) {
				t.Fatalf("gopacket decodes the option as %+v", g.Options[0])
			}
			// An unknown option in front of the peer option must be skipped.
			g.Options = append([]*layers.GeneveOption{{Class: 1, Type: 2, Data: make([]byte, 8)}}, g.Options...)
			buffer := gopacket.NewSerializeBuffer()
			if err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, &g, gopacket.Payload(inner)); err != nil {
				t.Fatal(err)
			}
			var got Header
			if rest, code := Decode(buffer.Bytes(), &got); code != resultcode.OK || got != h || !bytes.Equal(rest, inner) {
				t.Fatalf("header with an unknown option: got %+v with code %v", got, code)
			}
		})
	}
}

// Guards against reads beyond the end of crafted headers, and against headers that change when they are decoded and encoded.
func FuzzDecode(f *testing.F) {
	f.Add(encode(&Header{VNI: 1}, []byte{0x45}))
	f.Add(encode(&peerHeader, []byte{0x60}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var h, reencoded Header
		inner, code := Decode(b, &h)
		if code != resultcode.OK || len(inner) == 0 {
			return
		}
		if rest, code := Decode(encode(&h, inner), &reencoded); code != resultcode.OK || reencoded.VNI != h.VNI ||
			reencoded.HasPeer != h.HasPeer || h.HasPeer && reencoded.Peer != h.Peer || !bytes.Equal(rest, inner) {
			t.Fatalf("%+v is %+v after encoding and decoding, code %v", h, reencoded, code)
		}
	})
}
