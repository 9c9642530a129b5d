package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Bounds and timing of a Pool.
const (
	maxPeers      = 1024
	queueFrames   = 256
	queueBytes    = 4 << 20
	queueAge      = 5 * time.Second // an older message is dropped; whoever sent it has sent it again by now
	idlePeer      = time.Minute     // a connection without messages is closed
	dialLimit     = 2 * time.Second
	redialWait    = 100 * time.Millisecond // doubles up to redialWaitMax, with jitter
	redialWaitMax = 2 * time.Second
)

// ErrQueueFull is returned for a message to a peer that takes messages more slowly than they are sent.
var ErrQueueFull = errors.New("peer: queue is full")

// ErrClosed is returned by a pool that has been closed.
var ErrClosed = errors.New("peer: pool is closed")

// PoolConfig configures a Pool.
type PoolConfig struct {
	Identity    *Identity
	Credentials *Credentials  // nil for plain mode
	Local       netip.Addr    // source address of connections; may be invalid for any
	Refused     func(Refusal) // told of failed connections; may be nil; called from several goroutines
}

// Pool sends messages to peers, over one connection for each address. It is safe for use by several goroutines.
type Pool struct {
	cfg      PoolConfig
	tls      *tls.Config
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	counters counters

	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*outgoing
}

// outgoing is the queue and the connection to one address.
type outgoing struct {
	pool  *Pool
	addr  netip.AddrPort
	queue chan queued
	bytes int // queued, guarded by Pool.mu
	conn  net.Conn
	stop  func() bool // releases the hook that closes conn with the pool
	fails int
}

// queued is a message that waits to be sent. It keeps the incarnation that it was decided under, so that a message from
// before a pause is refused; its sequence is given when it is sent, because a Hello may go before it.
type queued struct {
	frame Frame
	at    time.Time
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	p := &Pool{cfg: cfg, peers: make(map[netip.AddrPort]*outgoing)}
	if cfg.Credentials != nil {
		p.tls = cfg.Credentials.client()
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Traffic returns what was sent and received on the connections of the pool.
func (p *Pool) Traffic() Traffic { return p.counters.traffic() }

// Send queues a message for the peer at addr and returns without waiting. A queued message can still be lost with its
// connection. The error is ErrQueueFull, ErrClosed, or one with the code PeerFrameTooLarge.
func (p *Pool) Send(addr netip.AddrPort, m Message) error {
	frame, err := p.cfg.Identity.frame(m)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	o := p.peers[addr]
	if o == nil {
		if len(p.peers) >= maxPeers {
			return ErrQueueFull
		}
		o = &outgoing{pool: p, addr: addr, queue: make(chan queued, queueFrames)}
		p.peers[addr] = o
		p.wg.Add(1)
		go o.run()
	}
	if o.bytes+len(frame.Body) > queueBytes {
		return ErrQueueFull
	}
	select {
	case o.queue <- queued{frame: *frame, at: time.Now()}:
		o.bytes += len(frame.Body)
		return nil
	default:
		return ErrQueueFull
	}
}

// Close closes all connections and waits for their goroutines. Queued messages are dropped.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Pool) refuse(addr netip.AddrPort, err error) {
	if p.cfg.Refused != nil && p.ctx.Err() == nil {
		p.cfg.Refused(Refusal{Code: codeOf(err), Remote: addr, Err: err})
	}
}

func (o *outgoing) run() {
	defer o.pool.wg.Done()
	defer o.disconnect()
	idle := time.NewTimer(idlePeer)
	defer idle.Stop()
	for {
		select {
		case q := <-o.queue:
			o.taken(q)
			o.send(q)
			idle.Reset(idlePeer)
		case <-idle.C:
			if o.retire() {
				return
			}
			idle.Reset(idlePeer)
		case <-o.pool.ctx.Done():
			return
		}
	}
}

func (o *outgoing) taken(q queued) {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	o.bytes -= len(q.frame.Body)
}

// retire removes the peer from the pool, unless a message was queued meanwhile.
func (o *outgoing) retire() bool {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	if len(o.queue) > 0 {
		return false
	}
	delete(o.pool.peers, o.addr)
	return true
}

// send writes a frame, connecting as often as needed until the frame is too old.
func (o *outgoing) send(q queued) {
	for time.Since(q.at) < queueAge && o.pool.ctx.Err() == nil {
		err := o.connect()
		if err == nil {
			if err = o.write(o.conn, &q.frame); err == nil {
				o.fails = 0
				return
			}
		}
		o.pool.refuse(o.addr, err)
		o.disconnect()
		o.wait()
	}
}

func (o *outgoing) write(conn net.Conn, f *Frame) error {
	b, err := o.pool.cfg.Identity.encode(f)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := conn.Write(b); err != nil {
		return err
	}
	o.pool.counters.framesSent.Add(1)
	o.pool.counters.bytesSent.Add(uint64(len(b)))
	return nil
}

func (o *outgoing) wait() {
	wait := min(redialWait<<min(o.fails, 5), redialWaitMax)
	o.fails++
	select {
	case <-time.After(wait/2 + rand.N(wait)):
	case <-o.pool.ctx.Done():
	}
}

func (o *outgoing) connect() error {
	if o.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: dialLimit}
	if o.pool.cfg.Local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(o.pool.cfg.Local, 0))
	}
	raw, err := dialer.DialContext(o.pool.ctx, "tcp", o.addr.String())
	if err != nil {
		return err
	}
	stop := context.AfterFunc(o.pool.ctx, func() { _ = raw.Close() })
	conn, err := o.open(raw)
	if err != nil {
		stop()
		_ = raw.Close()
		return err
	}
	o.conn, o.stop = conn, stop
	o.pool.wg.Add(1)
	go func() {
		// Peers send nothing after their Hello; reading notices the end of the connection before the next write.
		defer o.pool.wg.Done()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	return nil
}

// open completes the TLS handshake and exchanges Hello messages. A peer that refuses this host's certificate says so
// only after the handshake, so the connection counts as open when its Hello has arrived.
func (o *outgoing) open(raw net.Conn) (net.Conn, error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeLimit))
	conn := raw
	if o.pool.tls != nil {
		secure := tls.Client(raw, o.pool.tls)
		if err := secure.HandshakeContext(o.pool.ctx); err != nil {
			return nil, errors.Join(errHandshake, err)
		}
		conn = secure
	}
	hello, err := o.pool.cfg.Identity.hello()
	if err != nil {
		return nil, err
	}
	if err := o.write(conn, hello); err != nil {
		return nil, err
	}
	f, err := ReadFrame(conn, nil)
	if err != nil {
		return nil, unexpected(err)
	}
	if m, err := f.Decode(); err != nil {
		return nil, err
	} else if _, ok := m.(*Hello); !ok {
		return nil, resultcode.Errorf(resultcode.PeerFrame, f.Type.String(), "the first message must be hello")
	}
	o.pool.counters.framesReceived.Add(1)
	_ = raw.SetDeadline(time.Time{})
	return conn, nil
}

func (o *outgoing) disconnect() {
	if o.conn != nil {
		o.stop()
		_ = o.conn.Close()
		o.conn = nil
	}
}
