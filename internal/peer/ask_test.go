package peer

import (
	"bytes"
	"context"
	"errors"
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

// Guards against a peer that has gone silent on an open connection and holds up its asker, and against an asker that does
// not come back afterwards.
func TestAskSilentPeer(t *testing.T) {
	listener, address := listenLoopback(t)
	var silent atomic.Bool
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	answerer := Server{
		Identity: NewIdentity("b", "x", 1),
		Handler: func(ctx context.Context, m Message) (Message, error) {
			if silent.Load() {
				<-ctx.Done()
			}
			return &RelayReply{Reply: relay.Reply{Count: int(m.(*RelayReport).Freshness.Revision)}}, nil
		},
		Refused: func(r Refusal) { t.Error(r.Err) },
	}
	served := make(chan error)
	go func() { served <- answerer.Serve(ctx, listener) }()
	asker := NewClient(NewIdentity("a", "x", 1), address, 200*time.Millisecond)
	defer asker.Close()
	ask := func(n uint64) (Message, error) {
		return asker.Call(ctx, &RelayReport{Report: relay.Report{Freshness: relay.Freshness{Revision: n}}})
	}
	for n := range uint64(3) {
		if m, err := ask(n); err != nil || m.(*RelayReply).Count != int(n) {
			t.Fatalf("got %v, %v", m, err)
		}
	}
	silent.Store(true)
	started := time.Now()
	if _, err := ask(9); resultcode.Of(err) != resultcode.PeerUnreachable || time.Since(started) > 2*time.Second {
		t.Fatalf("got %v after %v", err, time.Since(started))
	}
	silent.Store(false)
	if _, err := ask(9); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Replays the start of a fleet whose first hosts ask one that has no power yet. Guards against an attempt to connect that outlasts the
// start of that host.
func TestAskHostWithoutPower(t *testing.T) {
	listener, address := listenLoopback(t)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// With a full queue of connections opening packets are dropped, as by a host without power.
	if err := errors.Join(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }), err); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		conn, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err != nil {
			break // the queue is full
		}
		defer conn.Close()
	}
	asker := NewClient(NewIdentity("a", "x", 1), address, time.Minute)
	defer asker.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := asker.Call(ctx, &RelayReport{}); resultcode.Of(err) != resultcode.PeerUnreachable || ctx.Err() != nil {
		t.Errorf("got %v, %v", err, ctx.Err())
	}
}

// Guards against a server that takes memory or ends for bytes that are no message.
func TestAnswererRefusesGarbage(t *testing.T) {
	listener, address := listenLoopback(t)
	refused := make(chan resultcode.Code, 8)
	answerer := Server{
		Identity: NewIdentity("b", "x", 1), Refused: func(r Refusal) { refused <- r.Code },
		Handler: func(context.Context, Message) (Message, error) {
			return nil, resultcode.Errorf(resultcode.PeerFrame, "", "must not be called")
		},
	}
	go func() { _ = answerer.Serve(t.Context(), listener) }()
	for _, b := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff, 0x96, 1, 16}, {0, 0, 0, 9, 0x96, 1, 99, 0, 0, 0, 0, 0, 0}} {
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
				t.Errorf("%q: code %v", b, code)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%q: not refused", b)
		}
		_ = conn.Close()
	}
}

// Guards against a process that ends because a message makes the answer function panic.
func TestAnswererOutlivesPanic(t *testing.T) {
	listener, address := listenLoopback(t)
	refused := make(chan Refusal, 1)
	answerer := Server{
		Identity: NewIdentity("b", "x", 1), Refused: func(r Refusal) { refused <- r },
		Handler: func(_ context.Context, m Message) (Message, error) {
			if m.(*RelayReport).Leaving {
				panic("message that nobody expected")
			}
			return &RelayReply{}, nil
		},
	}
	go func() { _ = answerer.Serve(t.Context(), listener) }()
	asker := NewClient(NewIdentity("a", "x", 1), address, 5*time.Second)
	defer asker.Close()
	if _, err := asker.Call(t.Context(), &RelayReport{Report: relay.Report{Leaving: true}}); err == nil {
		t.Error("a panic was answered")
	}
	if r := <-refused; r.Code != resultcode.Internal || !strings.Contains(r.Err.Error(), "message that nobody expected") {
		t.Errorf("refused with %v, %v", r.Code, r.Err)
	}
	if _, err := asker.Call(t.Context(), &RelayReport{}); err != nil {
		t.Errorf("the next message is not answered: %v", err)
	}
}

// failing is a listener that fails to accept as a host does that has run out of descriptors.
type failing struct {
	net.Listener
	failures atomic.Int32
}

func (f *failing) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// Guards against a process that ends because its descriptors have run out for a moment.
func TestAnswererOutlivesFailedAccept(t *testing.T) {
	listener, address := listenLoopback(t)
	short := &failing{Listener: listener}
	short.failures.Store(3)
	var refusals atomic.Int32
	answerer := Server{
		Identity: NewIdentity("b", "x", 1), Refused: func(Refusal) { refusals.Add(1) },
		Handler: func(context.Context, Message) (Message, error) { return &RelayReply{}, nil },
	}
	served := make(chan error, 1)
	go func() { served <- answerer.Serve(t.Context(), short) }()
	asker := NewClient(NewIdentity("a", "x", 1), address, 5*time.Second)
	defer asker.Close()
	if _, err := asker.Call(t.Context(), &RelayReport{}); err != nil {
		t.Error(err)
	}
	select {
	case err := <-served:
		t.Errorf("the answerer ended: %v", err)
	default:
	}
	if n := refusals.Load(); n != 3 {
		t.Errorf("%d failures told of, want 3", n)
	}
}

// Replays many hosts that start at once and ask one peer for its whole directory over a slow link: each answer trickles. Guards against
// answers that are given up halfway and asked for again, and against a peer that never comes to an end.
func TestAskSlowAnswer(t *testing.T) {
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
			go trickle(conn, identity, timeout/4, &endless)
		}
	}()
	asker := NewClient(NewIdentity("a", "x", 1), address, timeout)
	defer asker.Close()
	if m, err := asker.Call(t.Context(), &RelayReport{}); err != nil || m.(*RelayReply).Count != 7 {
		t.Fatalf("slow answer: got %v, %v", m, err)
	}
	endless.Store(true)
	started := time.Now()
	if _, err := asker.Call(t.Context(), &RelayReport{}); resultcode.Of(err) != resultcode.PeerUnreachable {
		t.Fatalf("endless answer: got %v after %v", err, time.Since(started))
	}
}

// trickle answers each message in ten pieces with a pause before each, or with one byte after the other for ever.
func trickle(conn net.Conn, identity *Identity, pause time.Duration, endless *atomic.Bool) {
	defer conn.Close()
	for {
		if _, err := ReadFrame(conn, nil); err != nil {
			return
		}
		var b bytes.Buffer
		reply := relay.Reply{Count: 7, Changes: directory.Batch{Changes: []directory.Change{{Name: strings.Repeat("x", 1000), Removed: true}}}}
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
