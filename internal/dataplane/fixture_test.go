package dataplane

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/packet"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const testVNI = 20

var endpoint = netip.MustParseAddrPort("10.0.0.1:80")

// testSocket is a socket that plays the part of the fabric, a target or another balancer.
type testSocket struct {
	*net.UDPConn
	addr netip.AddrPort
}

func newTestSocket(t testing.TB, address string) testSocket {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(address), 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return testSocket{c, c.LocalAddr().(*net.UDPAddr).AddrPort()}
}

// snapshotFor returns a snapshot of a balancer that owns all buckets, with a TCP service on one target and a UDP service
// without targets.
func snapshotFor(t testing.TB, target, peer netip.AddrPort) *forward.Snapshot {
	b, err := bundle.Parse(fmt.Appendf(nil, `
version: 1
services:
- {name: rounds, vni: %d, protocol: tcp, endpoints: ["10.0.0.1:80"], class: urgent, kind: session,
   targets: [{address: %s, data_centre: dc, data_port: %d}]}
- {name: claims, vni: 21, protocol: udp, endpoints: ["10.0.0.1:80"], class: urgent, kind: short, targets: []}
`, testVNI, target.Addr(), target.Port()))
	if err != nil {
		t.Fatal(err)
	}
	s := forward.NewSnapshot(b, "dc")
	s.Self, s.Incarnation, s.Map = 1, 1, ownership.Build([]membership.HostID{1, 2})
	s.Peers[2], s.PeerAddrs[peer.Addr()] = peer, 2
	for i := range s.Buckets {
		s.Buckets[i] = forward.BucketState{Role: forward.RoleOwner, InSync: true}
	}
	for _, state := range s.Services {
		for i := range state.Targets {
			state.Targets[i] = forward.TargetState{Eligible: true, Usable: true, Share: 1}
		}
	}
	return s
}

// testDataplane is a data plane with the sockets that it communicates with.
type testDataplane struct {
	*Dataplane
	engine               *forward.Engine
	fabric, target, peer testSocket
	snapshot             *forward.Snapshot
	heartbeat            atomic.Int64 // time of the last control iteration in nanoseconds
}

func newTestDataplane(t testing.TB, admission forward.Admission) *testDataplane {
	p := &testDataplane{
		fabric: newTestSocket(t, "127.31.0.1"), target: newTestSocket(t, "127.31.0.2"), peer: newTestSocket(t, "127.31.0.3"),
	}
	p.engine = forward.NewEngine(forward.Config{Flows: 600_000, Admission: admission})
	p.snapshot = snapshotFor(t, p.target.addr, p.peer.addr)
	p.engine.Publish(p.snapshot)
	start := time.Now()
	d, err := New(Config{
		Listen: netip.MustParseAddrPort("127.31.0.9:0"), Workers: 2, Fabric: p.fabric.addr, Engine: p.engine,
		Clock:         func() time.Duration { return time.Since(start) },
		LastHeartbeat: func() time.Duration { return time.Duration(p.heartbeat.Load()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	p.Dataplane = d
	p.heartbeat.Store(int64(time.Hour)) // in the future, so that it never expires
	return p
}

// start runs the data plane until the test ends.
func (p *testDataplane) start(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// innerPacket returns an IPv4 packet with a TCP or UDP header and without checksums, which the data plane does not read.
// flags are ignored for UDP.
func innerPacket(protocol flow.Protocol, source, destination netip.AddrPort, flags forward.TCPFlags) []byte {
	b := make([]byte, 40)
	b[0], b[3], b[8], b[9] = 0x45, 40, 64, byte(protocol)
	copy(b[12:], source.Addr().AsSlice())
	copy(b[16:], destination.Addr().AsSlice())
	binary.BigEndian.PutUint16(b[20:], source.Port())
	binary.BigEndian.PutUint16(b[22:], destination.Port())
	if protocol == flow.UDP {
		b[25] = 20 // length
		return b
	}
	b[27], b[31], b[32], b[33] = 1, 1, 0x50, byte(flags) // sequence number, acknowledgement, header length
	return b
}

func encapsulate(h geneve.Header, inner []byte) []byte {
	b := append(make([]byte, geneve.MaxHeaderBytes), inner...)
	return b[geneve.Encode(b, geneve.MaxHeaderBytes, &h):]
}

func (p *testDataplane) send(t testing.TB, from testSocket, h geneve.Header, inner []byte) {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort(encapsulate(h, inner), p.Addr()); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next packet that a socket receives within 5 s.
func receive(t testing.TB, socket testSocket) (h geneve.Header, p forward.Packet, inner []byte) {
	t.Helper()
	b := make([]byte, 2048)
	_ = socket.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := socket.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	inner, code := geneve.Decode(b[:n], &h)
	if code == resultcode.OK {
		packet.Parse(inner, &p) // an ICMP packet leaves p empty
	}
	return h, p, inner
}

// waitFor waits up to 5 s for a condition that another goroutine fulfils.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out after 5 s waiting for " + what)
}

// codeCount returns the count of a result code.
func (p *testDataplane) codeCount(code resultcode.Code) (count uint64) {
	p.engine.Codes(func(c resultcode.Code, n uint64) {
		if c == code {
			count = n
		}
	})
	return count
}
