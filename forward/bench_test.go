package forward

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// callerOf sets the source of a packet to the caller of flow i.
func callerOf(p *Packet, i int) {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 0x0b000000+uint32(i)/8)
	p.Source = netip.AddrPortFrom(netip.AddrFrom4(a), uint16(1024+i%8))
}

// openFlows opens TCP flows with complete handshakes, so that the limit of pending flows does not apply.
func openFlows(b *testing.B, e *Engine, flows int) {
	for i := range flows {
		p := tcp(SYN, 1, 0, 0)
		callerOf(p, i)
		d := e.FromCaller(0, p)
		e.FromTarget(0, answer(p, SYN|ACK), d.Addr().Addr(), d.VNI)
		p.Flags, p.Seq, p.Ack = ACK, 2, 1
		e.FromCaller(0, p)
	}
	if e.Flows() != flows {
		b.Fatalf("%d flows in the table, want all that were opened", e.Flows())
	}
}

// BenchmarkKnownFlow measures the decision about a packet of a known flow. With 500,000 flows in random order nearly
// every decision waits for memory; with 1,000 flows the entries are in the cache.
func BenchmarkKnownFlow(b *testing.B) {
	for _, flows := range []int{1_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			e := NewEngine(Config{Flows: 600_000})
			e.Publish(testSnapshot(testBundle(b, 1, tcpSession, udpShort)))
			openFlows(b, e, flows)
			b.ReportAllocs()
			p, i := tcp(ACK, 2, 1, 0), 0
			for b.Loop() {
				callerOf(p, i)
				if d := e.FromCaller(time.Second, p); d.Action != ForwardTarget {
					b.Fatalf("got %v", d.Action)
				}
				if i += 7919; i >= flows {
					i %= flows
				}
			}
		})
	}
}

// BenchmarkScan measures the scans of 500,000 flows that a change of targets or of owners requires. They block the
// traffic goroutines for the duration of one shard at a time.
func BenchmarkScan(b *testing.B) {
	const flows = 500_000
	s := testSnapshot(testBundle(b, 1, tcpSession, udpShort))
	e := NewEngine(Config{Flows: 600_000})
	e.Publish(s)
	openFlows(b, e, flows)
	fewer := tcpSession
	fewer.targets = fewer.targets[1:]
	next := testSnapshot(testBundle(b, 2, fewer, udpShort))
	b.Run("rebase", func(b *testing.B) {
		for b.Loop() {
			e.ReconcileExceptions(s, next)
		}
	})
	b.Run("collect", func(b *testing.B) {
		for b.Loop() {
			e.Collect(0, 1) // an owned bucket: nothing is removed
		}
	})
	b.Run("sweep", func(b *testing.B) {
		for b.Loop() {
			e.Sweep(10*time.Minute, nil)
		}
	})
}
