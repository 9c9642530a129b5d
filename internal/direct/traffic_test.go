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

// trafficFixture is a running traffic goroutine with one caller and one target, and a clock that tests can advance.
type trafficFixture struct {
	*Traffic
	target      *net.UDPConn
	caller      *net.UDPConn
	clockOffset atomic.Int64
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
	f.Traffic, err = NewTraffic(netip.MustParseAddrPort("127.0.0.1:0"), func() time.Duration { return clock() + time.Duration(f.clockOffset.Load()) }, log, m)
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

// setView sets a view that routes the opening packet to the target.
func (f *trafficFixture) setView() {
	f.ControlAlive(f.clock())
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

// Packets arrive after the start of a process and before its first view. Guards against dropping them, which costs their callers
// 200 ms, and against changes to a packet on the way to the target.
func TestTrafficWaitsForFirstView(t *testing.T) {
	f := startTraffic(t)
	f.send(t)
	time.Sleep(50 * time.Millisecond)
	f.setView()
	packet := openingPacket()
	platform.PutToken(packet, (&directory.Target{ID: 7}).Token())
	if got, want := f.receive(t), append([]byte{0, 0, 0, 0, 0, 0, 0, 7}, packet...); !bytes.Equal(got, want) {
		t.Errorf("target got %x, want %x", got, want)
	}
}

// Guards against a crash of the process when the decision about one packet causes a panic.
func TestTrafficSurvivesPanic(t *testing.T) {
	f := startTraffic(t)
	f.ControlAlive(f.clock())
	f.SetView(steer.NewView(&directory.Snapshot{Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{
		{Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443}}, // a route without a service, which no source produces
	}}}, "a"))
	f.send(t)
	for deadline := time.Now().Add(5 * time.Second); f.metrics.counters()[resultcode.Internal.String()] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the dropped packet was not counted: %v", f.metrics.counters())
		}
	}
	f.setView()
	f.send(t)
	f.receive(t)
}

// Guards against a balancer that no longer receives packets and still reports waiting requests to others.
func TestNoLoadsWithoutPackets(t *testing.T) {
	f := startTraffic(t)
	f.setView()
	f.send(t)
	f.receive(t)
	for deadline := time.Now().Add(5 * time.Second); len(f.Loads()) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got loads %v, want one", f.Loads())
		}
	}
	f.clockOffset.Store(int64(2 * loadRetention))
	if l := f.Loads(); len(l) != 0 {
		t.Errorf("after loadRetention without packets: got loads %v, want none", l)
	}
}

// Guards against a data race between an operator's query about a flow and the traffic goroutine; the race detector finds it.
func TestFlowLookupDuringTraffic(t *testing.T) {
	f := startTraffic(t)
	f.setView()
	f.send(t)
	f.receive(t)
	key := steer.FlowKey{Caller: directory.Endpoint{Address: [4]byte{127, 0, 0, 1}, Port: 500}, Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443}}
	if info, found := f.Flow(key); !found || info.Target.Name != "i-7" || info.Open {
		t.Errorf("got flow %+v, found %v, want an opening flow to i-7", info, found)
	}
}
