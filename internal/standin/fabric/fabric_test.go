package fabric

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
	"github.com/marigoldwood/marigoldwood/internal/standin/process"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

var (
	fabricAddr = netip.MustParseAddr("127.62.50.1")
	balancers  = []netip.Addr{netip.MustParseAddr("127.62.10.1"), netip.MustParseAddr("127.62.10.2"), netip.MustParseAddr("127.62.10.3")}
	callerAddr = netip.MustParseAddr("127.62.30.1")
	targetAddr = netip.MustParseAddr("127.62.20.1")
)

type setup struct {
	fabric  *Fabric
	address netip.AddrPort
	sockets map[netip.Addr]*net.UDPConn
}

func listen(t testing.TB, address netip.Addr, port uint16) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		t.Fatal(err)
	}
	return conn
}

func start(t testing.TB) *setup {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &setup{sockets: make(map[netip.Addr]*net.UDPConn)}
	first := listen(t, balancers[0], 0)
	port := first.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	s.sockets[balancers[0]] = first
	for _, a := range append([]netip.Addr{callerAddr, targetAddr}, balancers[1:]...) {
		s.sockets[a] = listen(t, a, port)
	}
	s.address = netip.AddrPortFrom(fabricAddr, port)
	s.fabric = New(Options{
		Address: process.AddrPort{AddrPort: s.address}, DataPort: port, Workers: 4, Seed: 1,
		Balancers: process.Prefix{Prefix: netip.MustParsePrefix("127.62.10.0/24")},
	}, process.NewLog("fabric"))
	if err := s.fabric.Start(ctx); err != nil {
		t.Fatal(err)
	}
	s.fabric.SetLive(balancers)
	return s
}

func packet(t testing.TB, vni uint32, src, dst string) []byte {
	t.Helper()
	b, err := wire.NewEncoder().Encode(vni, &wire.Packet{
		Kind: wire.UDP, Src: netip.MustParseAddrPort(src), Dst: netip.MustParseAddrPort(dst), Payload: make([]byte, 100),
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// send sends a packet to the fabric n times and returns how many arrived at each address, and their outer sources.
func (s *setup) send(t testing.TB, from netip.Addr, b []byte, n int) (arrived map[netip.Addr]int, sources map[netip.Addr]bool) {
	t.Helper()
	for range n {
		if _, err := s.sockets[from].WriteToUDPAddrPort(b, s.address); err != nil {
			t.Fatal(err)
		}
	}
	arrived, sources = make(map[netip.Addr]int), make(map[netip.Addr]bool)
	buffer := make([]byte, wire.MaxPacket)
	for address, conn := range s.sockets {
		for {
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, source, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			arrived[address]++
			sources[source.Addr().Unmap()] = true
		}
	}
	return arrived, sources
}

// Guards against a fabric that does not spray, does not keep the target's address, or delivers to the wrong side.
func TestSpray(t *testing.T) {
	const n = 60
	s := start(t)
	caller := packet(t, wire.CallerVNI, "10.0.0.1:1024", "192.0.2.1:80")
	arrived, _ := s.send(t, callerAddr, caller, n)
	for _, b := range balancers {
		if arrived[b] < n/6 {
			t.Errorf("per packet: balancer %s got %d of %d packets, want at least a sixth", b, arrived[b], n)
		}
	}
	response := packet(t, 101, "192.0.2.1:80", "10.0.0.1:1024")
	arrived, sources := s.send(t, targetAddr, response, n)
	if arrived[callerAddr] > 0 || arrived[balancers[0]]+arrived[balancers[1]]+arrived[balancers[2]] != n || len(sources) != 1 || !sources[targetAddr] {
		t.Errorf("from the target: arrived %v with sources %v; want all at balancers, with the target as source", arrived, sources)
	}
	arrived, _ = s.send(t, balancers[1], packet(t, wire.CallerVNI, "192.0.2.1:80", "10.0.0.1:1024"), n)
	if arrived[callerAddr] != n || len(arrived) != 1 {
		t.Errorf("to the caller: arrived %v; want all at the caller", arrived)
	}
	s.fabric.SetConfig(Config{Mode: PerFlow})
	forward, _ := s.send(t, callerAddr, caller, n)
	back, _ := s.send(t, targetAddr, response, n)
	if len(forward) != 1 || len(back) != 1 || forward[balancers[0]] != back[balancers[0]] || forward[balancers[1]] != back[balancers[1]] {
		t.Errorf("per flow: arrived %v forward and %v back; want one balancer, the same in both directions", forward, back)
	}
}

// Guards against a fabric that continues to send to balancers that are no longer live in the host list.
func TestFollowHostList(t *testing.T) {
	var leaving atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hosts := []platform.Host{
			{Address: balancers[0].String(), State: "live"}, {Address: targetAddr.String(), State: "live"}, {Address: balancers[1].String(), State: "live"},
		}
		if leaving.Load() {
			hosts[2].State = "leaving"
		}
		process.WriteJSON(w, hosts)
	}))
	defer server.Close()
	f := New(Options{Platform: server.Listener.Addr().String(), LagMS: 50, Balancers: process.Prefix{Prefix: netip.MustParsePrefix("127.62.10.0/24")}}, process.NewLog("fabric"))
	go f.followHostList(t.Context())
	for _, want := range []int{2, 1} {
		leaving.Store(want == 1)
		deadline := time.Now().Add(5 * time.Second)
		for len(*f.live.Load()) != want {
			if time.Now().After(deadline) {
				t.Fatalf("got live balancers %v, want %d of them", *f.live.Load(), want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// BenchmarkForward measures the rate of packets from callers to balancers. Packets that the sender sends too fast are
// lost in socket buffers and do not count.
func BenchmarkForward(b *testing.B) {
	s := start(b)
	for i := range 4 {
		p := packet(b, wire.CallerVNI, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1024).String(), "192.0.2.1:80")
		conn := listen(b, callerAddr, 0)
		go func() {
			for {
				if _, err := conn.WriteToUDPAddrPort(p, s.address); err != nil {
					return
				}
			}
		}()
	}
	before, start := s.fabric.Counters().FromCallers, time.Now()
	for s.fabric.Counters().FromCallers-before < uint64(b.N) {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(s.fabric.Counters().FromCallers-before)/time.Since(start).Seconds(), "packets/s")
}
