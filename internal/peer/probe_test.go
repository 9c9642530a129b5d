package peer

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

func update(name string) membership.Update {
	return membership.Update{
		Name: name, DataCentre: "regina", Address: netip.MustParseAddr("127.0.0.9"), DataPort: 6081, ProbePort: 7081,
		PeerPort: 7082, Incarnation: 1 << 40, State: membership.Serving, Suspected: true,
	}
}

func probe() *membership.Message {
	m := &membership.Message{
		Kind: membership.PingReq, Sequence: 77, Sender: update("host-a"), ViewDigest: 9, Target: 5,
		TargetAddr: netip.MustParseAddrPort("127.0.0.4:7081"), Sync: true, Cursor: 1 << 63,
	}
	m.Status.InForce = membership.VersionDigest{Version: 3, Digest: [8]byte{1, 2, 3}}
	m.Status.Stamp = timeline.Stamp{Wall: 1 << 60, Logical: 4}
	m.Status.PlatformAge = 250 * time.Millisecond
	m.Updates = []membership.Update{update("host-b"), update("host-c")}
	m.Updates[1].DataCentre = "brandon"
	return m
}

// Guards against fields that are lost or changed by encoding and decoding.
func TestProbeRoundTrip(t *testing.T) {
	for name, key := range map[string][]byte{"plain": nil, "key": []byte("secret")} {
		t.Run(name, func(t *testing.T) {
			b, err := NewProbeCodec(key, 1).Encode(probe())
			if err != nil {
				t.Fatal(err)
			}
			got, err := NewProbeCodec(key, 1).Decode(b, 0)
			if err != nil || !reflect.DeepEqual(got, probe()) {
				t.Fatalf("%v\n got %+v\nwant %+v", err, got, probe())
			}
			t.Logf("%d bytes with 2 updates", len(b))
		})
	}
}

// Guards against datagrams that exceed the path MTU: with the longest names, updates must be omitted.
func TestProbeSize(t *testing.T) {
	m := probe()
	m.Updates = nil
	for i := range membership.MaxUpdates {
		u := update(strings.Repeat(string(rune('a'+i)), 63))
		u.DataCentre, u.Address = strings.Repeat("d", 63), netip.MustParseAddr("fd00::1")
		m.Updates = append(m.Updates, u)
	}
	b, err := NewProbeCodec([]byte("k"), 1).Encode(m)
	if err != nil || len(b) > MaxProbeBytes {
		t.Fatalf("datagram has %d bytes, error %v, want at most MaxProbeBytes", len(b), err)
	}
}

// Guards against accepting datagrams that were forged, altered, replayed, or sent by an earlier process of a host.
func TestProbeRefused(t *testing.T) {
	sender := NewProbeCodec([]byte("key"), 10)
	b, _ := sender.Encode(probe())
	changed := append([]byte(nil), b...)
	changed[20] ^= 1
	forged, _ := NewProbeCodec([]byte("other"), 10).Encode(probe())
	plain, _ := NewProbeCodec(nil, 10).Encode(probe())
	earlier, _ := NewProbeCodec([]byte("key"), 9).Encode(probe())
	receiver := NewProbeCodec([]byte("key"), 1)
	if _, err := receiver.Decode(b, 0); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		b    []byte
		code resultcode.Code
	}{
		{"replayed", b, resultcode.PeerReplay},
		{"altered", changed, resultcode.PeerIdentity},
		{"other key", forged, resultcode.PeerIdentity},
		{"no key", plain, resultcode.PeerIdentity},
		{"earlier epoch", earlier, resultcode.PeerReplay},
		{"too long", make([]byte, MaxProbeBytes+1), resultcode.PeerFrameTooLarge},
		{"empty", nil, resultcode.PeerFrame},
	} {
		if _, err := receiver.Decode(tt.b, 0); resultcode.Of(err) != tt.code {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.code)
		}
	}
}

// Guards against refusing datagrams that arrive out of order, and against accepting a datagram twice.
func TestReplayWindow(t *testing.T) {
	g := newReplayGuard()
	for _, n := range []uint64{5, 3, 4, 1000, 6, 2500, 2499} {
		if !g.accept(1, 1, n, 0) {
			t.Errorf("new sequence number %d was refused", n)
		}
	}
	for _, n := range []uint64{0, 5, 1000, 6, 2500, 2499, 1400} {
		if g.accept(1, 1, n, 0) {
			t.Errorf("replayed or too old sequence number %d was accepted", n)
		}
	}
}

// FuzzProbe guards against datagrams that make the decoder panic, and against accepting invalid messages.
func FuzzProbe(f *testing.F) {
	b, _ := NewProbeCodec(nil, 1).Encode(probe())
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := NewProbeCodec(nil, 1).Decode(b, 0)
		if err != nil {
			return
		}
		if len(m.Updates) > membership.MaxUpdates || m.Sender.Name == "" {
			t.Fatalf("accepted an invalid message: %+v", m)
		}
		if _, err := NewProbeCodec(nil, 2).Encode(m); err != nil {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
	})
}
