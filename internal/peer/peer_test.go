package peer

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// server is a listener that records accepted messages and refusals.
type server struct {
	*Listener
	received chan Received
	refused  chan Refusal
}

func listen(t *testing.T, cfg ListenConfig) *server {
	t.Helper()
	s := &server{received: make(chan Received, 1000), refused: make(chan Refusal, 1000)}
	cfg.Address, cfg.Identity = loopback, NewIdentity("server", "regina", 1)
	cfg.Handler = func(r Received) { s.received <- r }
	cfg.Refused = func(r Refusal) {
		select {
		case s.refused <- r:
		default:
		}
	}
	l, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = l
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *server) wantRefusal(t *testing.T, code resultcode.Code) {
	t.Helper()
	select {
	case r := <-s.refused:
		if r.Code != code {
			t.Fatalf("refused with %v (%v), want %v", r.Code, r.Err, code)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not refused, want %v", code)
	}
}

func (s *server) next(t *testing.T) Received {
	t.Helper()
	select {
	case r := <-s.received:
		return r
	case r := <-s.refused:
		t.Fatalf("refused: %v", r.Err)
	case <-time.After(10 * time.Second):
		t.Fatal("nothing received")
	}
	return Received{}
}

func pool(t *testing.T, c *Credentials) *Pool {
	p := NewPool(PoolConfig{Identity: NewIdentity("client", "regina", 5), Credentials: c})
	t.Cleanup(p.Close)
	return p
}

// dial opens a connection without TLS.
func dial(t *testing.T, s *server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func sendRaw(t *testing.T, conn net.Conn, id *Identity, m Message) []byte {
	t.Helper()
	f, err := id.frame(m)
	if err != nil {
		t.Fatal(err)
	}
	b, err := id.encode(f)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	return b
}

func exchangeHello(t *testing.T, conn net.Conn, id *Identity) {
	t.Helper()
	f, _ := id.hello()
	b, _ := id.encode(f)
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFrame(conn, nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against messages that are lost or reordered although their connection works.
func TestSend(t *testing.T) {
	s, p := listen(t, ListenConfig{}), pool(t, nil)
	for i := range 200 {
		if err := p.Send(s.Addr(), &BundleActivate{Version: uint64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 200 {
		r := s.next(t)
		if m, ok := r.Message.(*BundleActivate); !ok || m.Version != uint64(i) || r.Host != "client" || r.Incarnation != 5 {
			t.Fatalf("message %d: got %+v", i, r)
		}
	}
}

// Guards against a sender that blocks, or uses memory without bound, because a peer does not read its messages.
func TestQueueIsBounded(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never reads
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	p := pool(t, nil)
	to := silent.Addr().(*net.TCPAddr).AddrPort()
	var full int
	for range 2 * maxQueuedFrames {
		if errors.Is(p.Send(to, &BundleActivate{}), ErrQueueFull) {
			full++
		}
	}
	if full < maxQueuedFrames-1 {
		t.Fatalf("%d of %d messages failed with ErrQueueFull", full, 2*maxQueuedFrames)
	}
}

// Guards against accepting a captured message that is replayed on the same connection or on a new one.
func TestReplayedFrame(t *testing.T) {
	s, id := listen(t, ListenConfig{}), NewIdentity("client", "regina", 5)
	conn := dial(t, s)
	exchangeHello(t, conn, id)
	captured := sendRaw(t, conn, id, &BundleActivate{Version: 1})
	s.next(t)
	if _, err := conn.Write(captured); err != nil {
		t.Fatal(err)
	}
	s.wantRefusal(t, resultcode.PeerReplay)
	again := dial(t, s)
	exchangeHello(t, again, id)
	if _, err := again.Write(captured); err != nil {
		t.Fatal(err)
	}
	s.wantRefusal(t, resultcode.PeerReplay)
}

// Guards against accepting messages that a process queued before it was paused and declared gone.
func TestStaleIncarnation(t *testing.T) {
	var mu sync.Mutex
	known := uint64(5)
	s := listen(t, ListenConfig{KnownIncarnation: func(membership.HostID) uint64 { mu.Lock(); defer mu.Unlock(); return known }})
	id := NewIdentity("client", "regina", 5)
	conn := dial(t, s)
	exchangeHello(t, conn, id)
	sendRaw(t, conn, id, &BundleActivate{Version: 1})
	s.next(t)
	mu.Lock()
	known = 6
	mu.Unlock()
	sendRaw(t, conn, id, &BundleActivate{Version: 2})
	s.wantRefusal(t, resultcode.PeerStaleIncarnation)
	id.SetIncarnation(6)
	sendRaw(t, conn, id, &BundleActivate{Version: 3})
	if m := s.next(t).Message.(*BundleActivate); m.Version != 3 {
		t.Fatalf("got version %d, want 3", m.Version)
	}
}

// Guards against senders that keep a connection open without completing a handshake or a frame.
func TestSlowSender(t *testing.T) {
	limits := Limits{Handshake: 200 * time.Millisecond, Frame: 200 * time.Millisecond}
	s := listen(t, ListenConfig{Limits: limits})
	dial(t, s) // sends no Hello
	s.wantRefusal(t, resultcode.PeerUnreachable)

	conn, id := dial(t, s), NewIdentity("client", "regina", 5)
	exchangeHello(t, conn, id)
	if _, err := conn.Write([]byte{0, 0, 0, 50, 0x96}); err != nil {
		t.Fatal(err)
	}
	s.wantRefusal(t, resultcode.PeerUnreachable)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("connection is still open: %v", err)
	}
}

// Guards against many connections from one address that leave no connection for other peers.
func TestConnectionFlood(t *testing.T) {
	s := listen(t, ListenConfig{Limits: Limits{PerHost: 4, Connections: 6}})
	flood := NewIdentity("flood", "regina", 1)
	for range 4 {
		exchangeHello(t, dial(t, s), flood)
	}
	for range 20 {
		dial(t, s)
	}
	for range 20 {
		s.wantRefusal(t, resultcode.PeerRate)
	}
	p := NewPool(PoolConfig{Identity: NewIdentity("client", "regina", 5), Local: netip.MustParseAddr("127.0.0.2")})
	defer p.Close()
	if err := p.Send(s.Addr(), &BundleActivate{Version: 1}); err != nil {
		t.Fatal(err)
	}
	s.next(t)
}

// Guards against accepting invalid frames, and against reading an oversized frame before it is refused.
func TestRefusedFrames(t *testing.T) {
	id := NewIdentity("client", "regina", 5)
	tests := []struct {
		name string
		send func(t *testing.T, conn net.Conn)
		code resultcode.Code
	}{
		{"no hello", func(t *testing.T, c net.Conn) { sendRaw(t, c, id, &BundleActivate{}) }, resultcode.PeerFrame},
		{"other protocol", func(t *testing.T, c net.Conn) { _, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }, resultcode.PeerFrame},
		{"other version", func(t *testing.T, c net.Conn) { _, _ = c.Write([]byte{0, 0, 0, 40, 0x96, 9, 1}) }, resultcode.PeerVersion},
		{"too large", func(t *testing.T, c net.Conn) { _, _ = c.Write([]byte{0, 2, 0, 0, 0x96, 1, 2}) }, resultcode.PeerFrameTooLarge},
		{"chunk too large", func(t *testing.T, c net.Conn) { _, _ = c.Write([]byte{0, 16, 0, 1, 0x96, 1, 8}) }, resultcode.PeerFrameTooLarge},
		{"wrong host", func(t *testing.T, c net.Conn) {
			sendRaw(t, c, id, &Hello{Host: "other", ProtocolVersion: ProtocolVersion})
		}, resultcode.PeerIdentity},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, ListenConfig{})
			tt.send(t, dial(t, s))
			s.wantRefusal(t, tt.code)
		})
	}
	if err := pool(t, nil).Send(loopback, &ExceptionBatch{Data: make([]byte, MaxFrameBytes)}); resultcode.Of(err) != resultcode.PeerFrameTooLarge {
		t.Fatalf("oversized message: got %v, want peer-frame-too-large", err)
	}
}

// Guards against a sender that overloads the handler: above the rate limit, its messages are delayed but not lost.
func TestRateLimit(t *testing.T) {
	s := listen(t, ListenConfig{Limits: Limits{FramesPerSecond: 100, FrameBurst: 10}})
	p := pool(t, nil)
	for i := range 40 {
		if err := p.Send(s.Addr(), &BundleActivate{Version: uint64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	for range 40 {
		s.next(t)
	}
	if took := time.Since(start); took < 200*time.Millisecond {
		t.Fatalf("40 messages at 100 per second with a burst of 10 took %v, want at least 200 ms", took)
	}
}

// Guards against bucket messages whose lists are changed by encoding and decoding.
func TestBucketMessages(t *testing.T) {
	s, p := listen(t, ListenConfig{}), pool(t, nil)
	sent := &BucketGrant{Result: 1, InSync: true, Holder: 9, Buckets: Buckets{1, 2, 4095}}
	sent.Exceptions.Flows = []ownership.Exception{{Target: 77}}
	if err := p.Send(s.Addr(), sent); err != nil {
		t.Fatal(err)
	}
	got := s.next(t).Message.(*BucketGrant)
	if len(got.Buckets) != 3 || got.Buckets[2] != 4095 || got.Exceptions.Flows[0] != sent.Exceptions.Flows[0] || got.Holder != 9 {
		t.Fatalf("the message was changed: got %+v", got)
	}
}
