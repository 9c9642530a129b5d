package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ListenConfig configures a Listener.
type ListenConfig struct {
	Address     netip.AddrPort
	Identity    *Identity
	Credentials *Credentials // nil for plain mode
	Limits      Limits
	// Handler receives accepted messages on the goroutine of the connection. It must not block.
	Handler func(Received)
	// KnownIncarnation returns the incarnation of a host according to membership, 0 if unknown. It may be nil. It is called
	// from several goroutines.
	KnownIncarnation func(membership.HostID) uint64
	// Refused is called for every refused connection or message. It may be nil. It is called from several goroutines.
	Refused func(Refusal)
}

// Listener accepts connections of peers and passes their messages to a handler.
type Listener struct {
	cfg        ListenConfig
	limits     Limits
	tls        *tls.Config
	listener   *net.TCPListener
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	handshakes chan struct{}
	filter     *frameFilter
	counters   counters

	mu    sync.Mutex
	conns map[net.Conn]netip.Addr
	hosts map[netip.Addr]int
}

// Listen opens the listening socket and starts to accept connections.
func Listen(cfg ListenConfig) (*Listener, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Listener{
		cfg: cfg, limits: cfg.Limits.withDefaults(), listener: tcp, filter: newFrameFilter(),
		handshakes: make(chan struct{}, maxHandshakes),
		conns:      make(map[net.Conn]netip.Addr), hosts: make(map[netip.Addr]int),
	}
	if cfg.Credentials != nil {
		l.tls = cfg.Credentials.serverTLS()
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wg.Add(1)
	go l.accept()
	return l, nil
}

// Addr returns the listening address.
func (l *Listener) Addr() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Traffic returns the traffic counters of the accepted connections.
func (l *Listener) Traffic() Traffic { return l.counters.snapshot() }

// Close closes the listener and its connections and waits until their goroutines have ended.
func (l *Listener) Close() error {
	l.cancel()
	err := l.listener.Close()
	l.mu.Lock()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	return Error.Wrap(err)
}

func (l *Listener) accept() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return
		}
		if err != nil {
			// Most likely, file descriptors have run out. Connections that end release some.
			select {
			case <-time.After(100 * time.Millisecond):
			case <-l.ctx.Done():
			}
			continue
		}
		remote := remoteOf(conn)
		if !l.admit(conn, remote.Addr()) {
			_ = conn.Close()
			l.reportRefusal(remote, resultcode.Errorf(resultcode.PeerRate, "connection", "too many connections"))
			continue
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			defer l.release(conn, remote.Addr())
			if err := l.serve(conn, remote); err != nil && l.ctx.Err() == nil {
				l.reportRefusal(remote, err)
			}
		}()
	}
}

func (l *Listener) admit(conn net.Conn, host netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil || len(l.conns) >= l.limits.Connections || l.hosts[host] >= l.limits.PerHost {
		return false
	}
	l.conns[conn] = host
	l.hosts[host]++
	return true
}

func (l *Listener) release(conn net.Conn, host netip.Addr) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	if l.hosts[host]--; l.hosts[host] == 0 {
		delete(l.hosts, host)
	}
}

func (l *Listener) reportRefusal(remote netip.AddrPort, err error) {
	if l.cfg.Refused != nil {
		l.cfg.Refused(Refusal{Code: codeOf(err), Remote: remote, Err: err})
	}
}

// codeOf returns the result code of an error. Errors of the connection itself, such as an exceeded deadline, have no code
// of their own and are reported as PeerUnreachable.
func codeOf(err error) resultcode.Code {
	var coded *resultcode.Error
	var verification *tls.CertificateVerificationError
	var alert tls.AlertError
	var record tls.RecordHeaderError
	switch {
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &verification), errors.As(err, &alert), errors.As(err, &record), errors.Is(err, errHandshake):
		return resultcode.PeerIdentity
	}
	return resultcode.PeerUnreachable
}

var errHandshake = errors.New("TLS handshake failed")

// serve reads one connection until it ends. It returns nil if the peer closes it between two frames.
func (l *Listener) serve(raw net.Conn, remote netip.AddrPort) error {
	conn, hello, err := l.handshake(raw)
	if err != nil {
		return err
	}
	frameLimiter := rate.NewLimiter(rate.Limit(l.limits.FramesPerSecond), l.limits.FrameBurst)
	byteLimiter := rate.NewLimiter(bytesPerSecond, MaxChunkBytes+lengthPrefixBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(l.limits.Idle))
		f, err := ReadFrame(conn, func() { _ = conn.SetReadDeadline(time.Now().Add(l.limits.Frame)) })
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		size := lengthPrefixBytes + headerBytes + len(f.Body)
		l.counters.framesReceived.Add(1)
		l.counters.bytesReceived.Add(uint64(size))
		err = l.deliver(f, hello, remote)
		if resultcode.Of(err) == resultcode.PeerStaleIncarnation {
			// The message was queued before the sender increased its incarnation. Later messages may be current.
			l.reportRefusal(remote, err)
		} else if err != nil {
			return err
		}
		if frameLimiter.Wait(l.ctx) != nil || byteLimiter.WaitN(l.ctx, min(size, MaxChunkBytes)) != nil {
			return nil
		}
	}
}

// handshake completes the TLS handshake, reads the Hello of the peer and responds with the local Hello.
func (l *Listener) handshake(raw net.Conn) (net.Conn, *Hello, error) {
	select {
	case l.handshakes <- struct{}{}:
		defer func() { <-l.handshakes }()
	case <-l.ctx.Done():
		return nil, nil, l.ctx.Err()
	}
	_ = raw.SetDeadline(time.Now().Add(l.limits.Handshake))
	conn := raw
	if l.tls != nil {
		secure := tls.Server(raw, l.tls)
		if err := secure.HandshakeContext(l.ctx); err != nil {
			return nil, nil, errors.Join(errHandshake, err)
		}
		conn = secure
	}
	f, err := ReadFrame(conn, nil)
	if err != nil {
		return nil, nil, unexpectedEOF(err)
	}
	hello, err := l.checkHello(f)
	if err != nil {
		return nil, nil, err
	}
	own, err := l.cfg.Identity.hello()
	if err != nil {
		return nil, nil, err
	}
	answer, err := l.cfg.Identity.encode(own)
	if err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(answer); err != nil {
		return nil, nil, err
	}
	l.counters.framesSent.Add(1)
	l.counters.bytesSent.Add(uint64(len(answer)))
	_ = raw.SetDeadline(time.Time{})
	return conn, hello, nil
}

func (l *Listener) checkHello(f *Frame) (*Hello, error) {
	m, err := f.Decode()
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return nil, resultcode.Errorf(resultcode.PeerFrame, f.Type.String(), "the first message must be hello")
	}
	if hello.ProtocolVersion != ProtocolVersion {
		return nil, resultcode.Errorf(resultcode.PeerVersion, "hello",
			"protocol version %d, want %d", hello.ProtocolVersion, ProtocolVersion)
	}
	if f.Sender != uint64(membership.NewHostID(hello.Host)) || len(hello.Host) > maxNameBytes ||
		len(hello.DataCentre) > maxNameBytes {
		return nil, resultcode.Errorf(resultcode.PeerIdentity, "hello",
			"host %q does not match the sender ID, or a name is too long", hello.Host)
	}
	return hello, l.check(f)
}

func (l *Listener) check(f *Frame) error {
	var known uint64
	if l.cfg.KnownIncarnation != nil {
		known = l.cfg.KnownIncarnation(membership.HostID(f.Sender))
	}
	return l.filter.check(f, known)
}

func (l *Listener) deliver(f *Frame, hello *Hello, remote netip.AddrPort) error {
	if f.Sender != uint64(membership.NewHostID(hello.Host)) {
		return resultcode.Errorf(resultcode.PeerIdentity, f.Type.String(), "sender ID differs from that of the hello message")
	}
	if err := l.check(f); err != nil {
		return err
	}
	m, err := f.Decode()
	if err != nil {
		return err
	}
	l.cfg.Handler(Received{
		From: membership.HostID(f.Sender), Host: hello.Host, DataCentre: hello.DataCentre,
		Incarnation: f.Incarnation, Remote: remote, Message: m,
	})
	return nil
}
