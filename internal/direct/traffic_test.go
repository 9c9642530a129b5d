package direct

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/platform"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// openingPacket is an opening packet from 127.0.0.1:500 to 127.9.0.1:443.
func openingPacket() []byte {
	b := make([]byte, platform.HeaderBytes)
	copy(b[0:], []byte{127, 0, 0, 1})
	binary.BigEndian.PutUint16(b[4:], 443)
	binary.BigEndian.PutUint16(b[6:], 500)
	copy(b[8:], []byte{127, 9, 0, 1})
	b[22] = 64
	return b
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// trafficFixture is a traffic goroutine before one target, with a clock that tests can advance.
type trafficFixture struct {
	*Traffic
	target *net.UDPConn
	caller *net.UDPConn
	ahead  atomic.Int64
}

func startTraffic(t *testing.T) *trafficFixture {
	t.Helper()
	log, err := logging.New(new(bytes.Buffer), "error", "h")
	if err != nil {
		t.Fatal(err)
	}
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	f := &trafficFixture{target: listenUDP(t), caller: listenUDP(t)}
	clock := provideClock()
	f.Traffic, err = NewTraffic(netip.MustParseAddrPort("127.0.0.1:0"), func() time.Duration { return clock() + time.Duration(f.ahead.Load()) }, log, m)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

// view puts a view in force that routes the opening packet to the target.
func (f *trafficFixture) view() {
	f.Turn(f.clock())
	f.SetView(steer.NewView(&directory.Snapshot{
		Targets: []directory.TargetEntry{{Target: directory.Target{
			Name: "i-7", ID: 7, Service: "s", DataCentre: "a", Capacity: 1, Address: f.target.LocalAddr().(*net.UDPAddr).AddrPort(),
		}}},
		Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{{
			Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443},
			Services: []directory.WeightedService{{Name: "s", Weight: 1}},
		}}},
	}, "a"))
}

// send sends an opening packet.
func (f *trafficFixture) send(t *testing.T) {
	t.Helper()
	if _, err := f.caller.WriteToUDPAddrPort(openingPacket(), f.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
}

func (f *trafficFixture) receive(t *testing.T) []byte {
	t.Helper()
	buffer := make([]byte, 2048)
	if err := f.target.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, err := f.target.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return buffer[:n]
}

// Guards against packets that arrive in the moment between the start of a process and its first view of the targets and are
// dropped, so that their callers lose 200 ms; and against a target that gets another packet than the caller sent.
func TestTrafficWaitsForFirstView(t *testing.T) {
	f := startTraffic(t)
	f.send(t)
	time.Sleep(50 * time.Millisecond)
	f.view()
	packet := openingPacket()
	platform.PutToken(packet, (&directory.Target{ID: 7}).Token())
	if got, want := f.receive(t), append([]byte{0, 0, 0, 0, 0, 0, 0, 7}, packet...); !bytes.Equal(got, want) {
		t.Errorf("target got %x, want %x", got, want)
	}
}

// Guards against a process that ends because one packet meets a fault in the decision about it.
func TestTrafficOutlivesPanic(t *testing.T) {
	f := startTraffic(t)
	f.Turn(f.clock())
	f.SetView(steer.NewView(&directory.Snapshot{Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{
		{Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443}}, // a route without a service, which no source gives
	}}}, "a"))
	f.send(t)
	for deadline := time.Now().Add(5 * time.Second); f.metrics.counters()[resultcode.Internal.String()] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the packet is not counted: %v", f.metrics.counters())
		}
	}
	f.view()
	f.send(t)
	f.receive(t)
}

// Guards against a balancer that has left the rotation and goes on telling others of requests that wait at targets.
func TestNoLoadsWithoutPackets(t *testing.T) {
	f := startTraffic(t)
	f.view()
	f.send(t)
	f.receive(t)
	for deadline := time.Now().Add(5 * time.Second); len(f.Loads()) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("loads are %v", f.Loads())
		}
	}
	f.ahead.Store(int64(2 * loadRetention))
	if l := f.Loads(); len(l) != 0 {
		t.Errorf("without packets since: %v", l)
	}
}

// Guards against an operator's question about a flow that reads the engine while it works, which the race detector finds.
func TestFlowIsTold(t *testing.T) {
	f := startTraffic(t)
	f.view()
	f.send(t)
	f.receive(t)
	key := steer.FlowKey{Caller: directory.Endpoint{Address: [4]byte{127, 0, 0, 1}, Port: 500}, Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443}}
	if info, found := f.Flow(key); !found || info.Target.Name != "i-7" || info.Open {
		t.Errorf("%+v, %v", info, found)
	}
}
