package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

func listenLoopback(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a call that blocks because the peer no longer responds on an open connection, and against a client that does
// not recover afterwards.
func TestCallToUnresponsivePeer(t *testing.T) {
	listener, address := listenLoopback(t)
	var silent atomic.Bool
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := Server{
		Identity: NewIdentity("b", "x", 1),
		Handler: func(ctx context.Context, m Message) (Message, error) {
			if silent.Load() {
				<-ctx.Done()
			}
			return &RelayReply{Reply: relay.Reply{HostCount: int(m.(*RelayReport).Freshness.Revision)}}, nil
		},
		Refused: func(r Refusal) { t.Error(r.Err) },
	}
	served := make(chan error)
	go func() { served <- server.Serve(ctx, listener) }()
	client := NewClient(NewIdentity("a", "x", 1), address, 200*time.Millisecond)
	defer client.Close()
	call := func(n uint64) (Message, error) {
		return client.Call(ctx, &RelayReport{Report: relay.Report{Freshness: relay.Freshness{Revision: directory.Revision(n)}}})
	}
	for n := range uint64(3) {
		if m, err := call(n); err != nil || m.(*RelayReply).HostCount != int(n) {
			t.Fatalf("wrong response: got %v, error %v", m, err)
		}
	}
	silent.Store(true)
	started := time.Now()
	if _, err := call(9); resultcode.Of(err) != resultcode.PeerUnreachable || time.Since(started) > 2*time.Second {
		t.Fatalf("unresponsive peer: got error %v after %v, want peer-unreachable within 2 s", err, time.Since(started))
	}
	silent.Store(false)
	if _, err := call(9); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Guards against a request that is delivered after a partition although its caller gave up long ago: the ages that it holds would make old
// evidence look new.
func TestFailedCallResetsItsConnection(t *testing.T) {
	listener, address := listenLoopback(t)
	client := NewClient(NewIdentity("a", "x", 1), address, 100*time.Millisecond)
	if _, err := client.Call(t.Context(), &RelayReport{}); resultcode.Of(err) != resultcode.PeerUnreachable {
		t.Fatalf("call to a peer that does not answer: %v, want peer-unreachable", err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.Copy(io.Discard, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection of the failed call ends with %v, want a reset", err)
	}
}

// Guards against a list that is too large for a frame and costs the whole response: hosts would lose contact with each other. The largest
// configuration and the targets of the planned fleet must fit.
func TestTooLargeReplyIsReduced(t *testing.T) {
	for _, tt := range []struct {
		targets, routes int
		reduced         bool
	}{{4600, 6000, false}, {100000, 0, true}} {
		listener, address := listenLoopback(t)
		reply := relay.Reply{HostCount: 7, Freshness: relay.Freshness{Known: true, Revision: 9}}
		reply.Changes.Configuration = &directory.Configuration{Version: 1, Revision: 1}
		for i := range tt.routes { // about 1 MiB in the store
			reply.Changes.Configuration.Routes = append(reply.Changes.Configuration.Routes, directory.Route{
				Name: fmt.Sprintf("route-%05d", i), Endpoint: directory.Endpoint{Port: uint16(i)}, Timeout: time.Second, Objective: time.Second,
				Services: []directory.WeightedService{{Name: "service-1", Weight: 90}, {Name: "service-2", Weight: 10}},
			})
		}
		for i := range tt.targets {
			name := fmt.Sprintf("i-%016x", i)
			reply.Changes.Changes = append(reply.Changes.Changes, directory.Change{Name: name, Revision: 1 << 30, Target: &directory.Target{
				Name: name, ID: 1 << 60, Service: "service-1", DataCentre: "daugavpils", Capacity: 2, StartedMS: 1 << 40,
				Address: netip.MustParseAddrPort("127.0.0.9:8080"),
			}})
		}
		var refused atomic.Int64
		server := Server{
			Identity: NewIdentity("b", "x", 1),
			Handler:  func(context.Context, Message) (Message, error) { return &RelayReply{Reply: reply}, nil },
			Refused: func(r Refusal) {
				if r.Code == resultcode.PeerFrameTooLarge {
					refused.Add(1)
				}
			},
		}
		go func() { _ = server.Serve(t.Context(), listener) }() // returns when the test ends
		client := NewClient(NewIdentity("a", "x", 1), address, 5*time.Second)
		m, err := client.Call(t.Context(), &RelayReport{})
		client.Close()
		if err != nil {
			t.Fatalf("%d targets: %v", tt.targets, err)
		}
		got, want := m.(*RelayReply), tt.targets
		if tt.reduced {
			want = 0
		}
		if len(got.Changes.Changes) != want || got.HostCount != 7 || got.Freshness.Revision != 9 || (refused.Load() > 0) != tt.reduced {
			t.Errorf("%d targets: got %d changes, %d hosts, %d logged, want %d changes and 7 hosts", tt.targets, len(got.Changes.Changes),
				got.HostCount, refused.Load(), want)
		}
	}
}

// Guards against a connection attempt that still waits when its peer is already up: when a fleet starts, the first hosts call
// hosts that are still powered off, which drop all packets.
func TestCallToUnreachableHost(t *testing.T) {
	listener, address := listenLoopback(t)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// With a full accept queue, the kernel drops SYN packets, as if the host were powered off.
	if err := errors.Join(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }), err); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		conn, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err != nil {
			break // the accept queue is full
		}
		defer conn.Close()
	}
	client := NewClient(NewIdentity("a", "x", 1), address, time.Minute)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := client.Call(ctx, &RelayReport{}); resultcode.Of(err) != resultcode.PeerUnreachable || ctx.Err() != nil {
		t.Errorf("got error %v, context error %v, want peer-unreachable before the context ends", err, ctx.Err())
	}
}

// Guards against a server that allocates memory for, or ends because of, data that is not a valid message.
func TestServerRejectsInvalidFrames(t *testing.T) {
	listener, address := listenLoopback(t)
	refused := make(chan resultcode.Code, 8)
	server := Server{
		Identity: NewIdentity("b", "x", 1), Refused: func(r Refusal) { refused <- r.Code },
		Handler: func(context.Context, Message) (Message, error) {
			return nil, resultcode.Errorf(resultcode.PeerFrame, "", "the handler must not be called")
		},
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	for _, b := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff, 0x96, 1, 16}, {0, 0, 0, 9, 0x96, 1, 99, 0, 0, 0, 0, 0, 0},
	} {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
		select {
		case code := <-refused:
			if code != resultcode.PeerFrame && code != resultcode.PeerFrameTooLarge && code != resultcode.PeerVersion {
				t.Errorf("%q: refused with unexpected code %v", b, code)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%q: not refused", b)
		}
		_ = conn.Close()
	}
}

// Guards against a process that ends because a message makes the handler panic.
func TestServerRecoversFromPanic(t *testing.T) {
	listener, address := listenLoopback(t)
	refused := make(chan Refusal, 1)
	server := Server{
		Identity: NewIdentity("b", "x", 1), Refused: func(r Refusal) { refused <- r },
		Handler: func(_ context.Context, m Message) (Message, error) {
			if m.(*RelayReport).Leaving {
				panic("panic in the test handler")
			}
			return &RelayReply{}, nil
		},
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := NewClient(NewIdentity("a", "x", 1), address, 5*time.Second)
	defer client.Close()
	if _, err := client.Call(t.Context(), &RelayReport{Report: relay.Report{Leaving: true}}); err == nil {
		t.Error("got a response although the handler panicked")
	}
	if r := <-refused; r.Code != resultcode.Internal || !strings.Contains(r.Err.Error(), "panic in the test handler") {
		t.Errorf("got refusal %v (%v), want internal with the panic value", r.Code, r.Err)
	}
	if _, err := client.Call(t.Context(), &RelayReport{}); err != nil {
		t.Errorf("no response to the next request: %v", err)
	}
}

// failingListener fails its first calls of Accept with EMFILE, as on a host that has run out of file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// Guards against a server that ends because file descriptors have temporarily run out.
func TestServerRetriesAccept(t *testing.T) {
	listener, address := listenLoopback(t)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	var refusals atomic.Int32
	server := Server{
		Identity: NewIdentity("b", "x", 1), Refused: func(Refusal) { refusals.Add(1) },
		Handler: func(context.Context, Message) (Message, error) { return &RelayReply{}, nil },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(t.Context(), failing) }()
	client := NewClient(NewIdentity("a", "x", 1), address, 5*time.Second)
	defer client.Close()
	if _, err := client.Call(t.Context(), &RelayReport{}); err != nil {
		t.Error(err)
	}
	select {
	case err := <-served:
		t.Errorf("Serve returned: %v", err)
	default:
	}
	if n := refusals.Load(); n != 3 {
		t.Errorf("%d accept failures reported, want 3", n)
	}
}

// Guards against a slow response that is abandoned and requested again, which happens when many hosts start at once and
// request the whole directory of one peer over a slow link. Guards also against waiting for ever for a response that never
// ends.
func TestCallWithSlowResponse(t *testing.T) {
	const timeout = 200 * time.Millisecond
	listener, address := listenLoopback(t)
	identity := NewIdentity("b", "x", 1)
	var endless atomic.Bool
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondSlowly(conn, identity, timeout/4, &endless)
		}
	}()
	client := NewClient(NewIdentity("a", "x", 1), address, timeout)
	defer client.Close()
	if m, err := client.Call(t.Context(), &RelayReport{}); err != nil || m.(*RelayReply).HostCount != 7 {
		t.Fatalf("slow response: got %v, error %v", m, err)
	}
	endless.Store(true)
	started := time.Now()
	if _, err := client.Call(t.Context(), &RelayReport{}); resultcode.Of(err) != resultcode.PeerUnreachable {
		t.Fatalf("endless response: got error %v after %v, want peer-unreachable", err, time.Since(started))
	}
}

// respondSlowly sends each response in ten pieces, or if endless is set, byte by byte, with a pause before each piece.
func respondSlowly(conn net.Conn, identity *Identity, pause time.Duration, endless *atomic.Bool) {
	defer conn.Close()
	for {
		if _, err := ReadFrame(conn, nil); err != nil {
			return
		}
		var b bytes.Buffer
		reply := relay.Reply{HostCount: 7, Changes: directory.Batch{Changes: []directory.Change{
			{Name: strings.Repeat("x", 1000), Removed: true},
		}}}
		if writeMessage(&b, identity, &RelayReply{Reply: reply}) != nil {
			return
		}
		piece := b.Len()/10 + 1
		if endless.Load() {
			piece = 1
		}
		for b.Len() > 0 {
			time.Sleep(pause)
			if _, err := conn.Write(b.Next(piece)); err != nil {
				return
			}
		}
	}
}
