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

// Guards against packets that arrive in the moment between the start of a process and its first view of the targets and are
// dropped, so that their callers lose 200 ms; and against a target that gets another packet than the caller sent.
func TestTrafficWaitsForFirstView(t *testing.T) {
	log, err := logging.New(new(bytes.Buffer), "error", "h")
	if err != nil {
		t.Fatal(err)
	}
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	target := listenUDP(t)
	var ahead atomic.Int64
	clock := provideClock()
	traffic, err := NewTraffic(netip.MustParseAddrPort("127.0.0.1:0"), func() time.Duration { return clock() + time.Duration(ahead.Load()) }, log, m)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- traffic.Run(ctx) }()
	packet := openingPacket()
	if _, err := listenUDP(t).WriteToUDPAddrPort(packet, traffic.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	traffic.Turn(traffic.clock())
	traffic.SetView(steer.NewView(&directory.Snapshot{
		Targets: []directory.Known{{Target: directory.Target{
			Name: "i-7", ID: 7, Service: "s", DataCentre: "a", Capacity: 1, Address: target.LocalAddr().(*net.UDPAddr).AddrPort(),
		}}},
		Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{{
			Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443},
			Services: []directory.WeightedService{{Name: "s", Weight: 1}},
		}}},
	}, "a"))
	buffer := make([]byte, 2048)
	if err := target.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, err := target.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	platform.PutToken(packet, (&directory.Target{ID: 7}).Token())
	want := append([]byte{0, 0, 0, 0, 0, 0, 0, 7}, packet...)
	if !bytes.Equal(buffer[:n], want) {
		t.Errorf("target got %x, want %x", buffer[:n], want)
	}
	for deadline := time.Now().Add(5 * time.Second); len(traffic.Loads()) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("loads are %v", traffic.Loads())
		}
	}
	// A balancer that has left the rotation carries nothing, and must not go on telling others of waiting requests.
	ahead.Store(int64(2 * loadRetention))
	if l := traffic.Loads(); len(l) != 0 {
		t.Errorf("without packets since: %v", l)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
