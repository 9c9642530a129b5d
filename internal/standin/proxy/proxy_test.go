package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

var (
	listenUDP = netip.MustParseAddrPort("127.61.0.1:23456")
	listenTCP = netip.MustParseAddrPort("127.61.0.1:23457")
	source    = netip.MustParseAddr("127.61.0.2")
)

// start runs a proxy in front of echo servers for UDP and TCP, and returns connections through it from source.
func start(t *testing.T) (p *Proxy, udp, tcp net.Conn) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	udpServer, err := net.ListenPacket("udp", "127.61.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	tcpServer, err := net.Listen("tcp", "127.61.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = udpServer.Close(); _ = tcpServer.Close() })
	go func() {
		b := make([]byte, 2000)
		for {
			n, from, err := udpServer.ReadFrom(b)
			if err != nil {
				return
			}
			if from.(*net.UDPAddr).AddrPort().Addr() == source { // responds only if the source address was kept
				_, _ = udpServer.WriteTo(b[:n], from)
			}
		}
	}()
	go func() {
		conn, err := tcpServer.Accept()
		if err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	p, err = Start(ctx, []Link{
		{Name: "u", Protocol: "udp", Listen: listenUDP, Forward: udpServer.LocalAddr().(*net.UDPAddr).AddrPort(), KeepSource: true},
		{Name: "t", Protocol: "tcp", Listen: listenTCP, Forward: tcpServer.Addr().(*net.TCPAddr).AddrPort(), KeepSource: true},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if udp, err = net.DialUDP("udp", &net.UDPAddr{IP: source.AsSlice()}, net.UDPAddrFromAddrPort(listenUDP)); err != nil {
		t.Fatal(err)
	}
	if tcp, err = net.DialTCP("tcp", &net.TCPAddr{IP: source.AsSlice()}, net.TCPAddrFromAddrPort(listenTCP)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = udp.Close(); _ = tcp.Close() })
	return p, udp, tcp
}

// echoes sends n messages and returns how many bytes come back before none arrive for the time wait.
func echoes(t *testing.T, conn net.Conn, n int, wait time.Duration) (got int) {
	t.Helper()
	for range n {
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	b := make([]byte, 2000)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		m, err := conn.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return got
		}
		if err != nil {
			t.Fatal(err)
		}
		got += m
	}
}

// Guards against a partition that lets packets through, and against one that still drops them after it has ended. Either
// would make tests with partitions meaningless.
func TestFaults(t *testing.T) {
	const n, wait = 20, 300 * time.Millisecond
	p, udp, tcp := start(t)
	expect := func(step string, conn net.Conn, want int) {
		t.Helper()
		if got := echoes(t, conn, n, wait); got != want {
			t.Errorf("%s: got %d echoes of %d messages, want %d", step, got, n, want)
		}
	}
	cut := Faults{Cut: true}
	expect("no faults, UDP", udp, n)
	expect("no faults, TCP", tcp, n)
	p.SetFaults("", source, LinkFaults{Forward: cut})
	expect("cut forward, UDP", udp, 0)
	expect("cut forward, TCP", tcp, 0)
	p.SetFaults("", source, LinkFaults{Back: cut})
	expect("cut back, UDP", udp, 0)
	p.SetFaults("", netip.Addr{}, LinkFaults{})
	expect("cut ended, TCP delivers the delayed bytes", tcp, 2*n)
	p.SetFaults("", netip.MustParseAddr("127.61.0.9"), LinkFaults{Forward: cut, Back: cut})
	expect("another source is cut", udp, n)
	p.SetFaults("u", source, LinkFaults{Forward: Faults{Duplicate: 1}})
	expect("duplicated", udp, 2*n)
	p.SetFaults("u", source, LinkFaults{Forward: Faults{Loss: 1}})
	expect("lost", udp, 0)
	p.SetFaults("u", source, LinkFaults{Forward: Faults{DelayMS: 100, JitterMS: 50}})
	expect("delayed", udp, n)
}
