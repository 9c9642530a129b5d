package forward

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkKnownFlow measures the decision about packets of 500,000 known flows.
func BenchmarkKnownFlow(b *testing.B) {
	const flows = 500_000
	s := testSnapshot(testBundle(b, 1, tcpSession, udpShort))
	e := NewEngine(Config{Flows: 600_000})
	e.Publish(s)
	packets := make([]Packet, flows)
	for i := range packets {
		p := tcp(SYN, 1, 0, 0)
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], 0x0b000000+uint32(i)/8)
		p.Source = netip.AddrPortFrom(netip.AddrFrom4(a), uint16(1024+i%8))
		// The rest of the handshake makes the flow established, so that the limit of pending flows does not apply.
		d := e.FromCaller(0, p)
		e.FromTarget(0, answer(p, SYN|ACK), d.Addr.Addr(), d.VNI)
		p.Flags, p.Seq, p.Ack = ACK, 2, 1
		e.FromCaller(0, p)
		packets[i] = *p
	}
	if e.Flows() != flows {
		b.Fatalf("%d flows", e.Flows())
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if d := e.FromCaller(time.Second, &packets[i]); d.Action != ForwardTarget {
			b.Fatalf("got %v", d.Action)
		}
		if i += 7919; i >= flows {
			i -= flows
		}
	}
}
