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
	maxPeers         = 1024
	maxQueuedFrames  = 256
	maxQueuedBytes   = 4 << 20
	maxQueueAge      = 5 * time.Second // older messages are dropped: their sender has sent them again by then
	poolIdleTimeout  = time.Minute     // time without messages after which a connection is closed
	poolDialTimeout  = 2 * time.Second
	redialBackoff    = 100 * time.Millisecond // initial delay; doubles up to maxRedialBackoff, with jitter
	maxRedialBackoff = 2 * time.Second
)

// ErrQueueFull is returned if the queue of a peer is full because messages are sent faster than the peer receives them, or
// if the pool has reached its maximum number of peers.
var ErrQueueFull = errors.New("peer: queue is full")

// ErrClosed is returned by Send after the pool was closed.
var ErrClosed = errors.New("peer: pool is closed")

// PoolConfig configures a Pool.
type PoolConfig struct {
	Identity    *Identity
	Credentials *Credentials  // nil for plain mode
	Local       netip.Addr    // source address of connections; the zero value means any
	Refused     func(Refusal) // called for failed connections, from several goroutines; may be nil
}

// Pool sends messages to peers over one connection per address. It is safe for concurrent use.
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

// outgoing holds the message queue of one address, and its connection.
type outgoing struct {
	pool        *Pool
	addr        netip.AddrPort
	queue       chan queuedFrame
	queuedBytes int // size of the queued messages; guarded by Pool.mu
	conn        net.Conn
	stop        func() bool // removes the context callback that closes conn with the pool
	failures    int
}

// queuedFrame is a message that waits to be sent. It keeps the incarnation at the time of Send, so that receivers refuse a
// message from before a pause of the process. Its sequence number is assigned when it is sent, because a Hello may be sent
// before it.
type queuedFrame struct {
	frame Frame
	at    time.Time
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	p := &Pool{cfg: cfg, peers: make(map[netip.AddrPort]*outgoing)}
	if cfg.Credentials != nil {
		p.tls = cfg.Credentials.clientTLS()
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Traffic returns the traffic counters of the connections of the pool.
func (p *Pool) Traffic() Traffic { return p.counters.snapshot() }

// Send queues a message for the peer at addr without blocking. A queued message can still be lost with its connection. The
// error is ErrQueueFull, ErrClosed, or one with the code PeerFrameTooLarge.
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
		o = &outgoing{pool: p, addr: addr, queue: make(chan queuedFrame, maxQueuedFrames)}
		p.peers[addr] = o
		p.wg.Add(1)
		go o.run()
	}
	if o.queuedBytes+len(frame.Body) > maxQueuedBytes {
		return ErrQueueFull
	}
	select {
	case o.queue <- queuedFrame{frame: *frame, at: time.Now()}:
		o.queuedBytes += len(frame.Body)
		return nil
	default:
		return ErrQueueFull
	}
}

// Close drops all queued messages, closes all connections and waits until their goroutines have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Pool) reportRefusal(addr netip.AddrPort, err error) {
	if p.cfg.Refused != nil && p.ctx.Err() == nil {
		p.cfg.Refused(Refusal{Code: codeOf(err), Remote: addr, Err: err})
	}
}

func (o *outgoing) run() {
	defer o.pool.wg.Done()
	defer o.disconnect()
	idle := time.NewTimer(poolIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case q := <-o.queue:
			o.dequeued(q)
			o.send(q)
			idle.Reset(poolIdleTimeout)
		case <-idle.C:
			if o.removeIfIdle() {
				return
			}
			idle.Reset(poolIdleTimeout)
		case <-o.pool.ctx.Done():
			return
		}
	}
}

func (o *outgoing) dequeued(q queuedFrame) {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	o.queuedBytes -= len(q.frame.Body)
}

// removeIfIdle removes the peer from the pool, unless a message is queued. It reports whether it removed the peer.
func (o *outgoing) removeIfIdle() bool {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	if len(o.queue) > 0 {
		return false
	}
	delete(o.pool.peers, o.addr)
	return true
}

// send writes a frame. It reconnects and retries until it succeeds or the frame is older than maxQueueAge.
func (o *outgoing) send(q queuedFrame) {
	for time.Since(q.at) < maxQueueAge && o.pool.ctx.Err() == nil {
		err := o.connect()
		if err == nil {
			if err = o.write(o.conn, &q.frame); err == nil {
				o.failures = 0
				return
			}
		}
		o.pool.reportRefusal(o.addr, err)
		o.disconnect()
		o.backOff()
	}
}

func (o *outgoing) write(conn net.Conn, f *Frame) error {
	b, err := o.pool.cfg.Identity.encode(f)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		return err
	}
	o.pool.counters.framesSent.Add(1)
	o.pool.counters.bytesSent.Add(uint64(len(b)))
	return nil
}

func (o *outgoing) backOff() {
	wait := min(redialBackoff<<min(o.failures, 5), maxRedialBackoff)
	o.failures++
	select {
	case <-time.After(wait/2 + rand.N(wait)):
	case <-o.pool.ctx.Done():
	}
}

func (o *outgoing) connect() error {
	if o.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: poolDialTimeout}
	if o.pool.cfg.Local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(o.pool.cfg.Local, 0))
	}
	raw, err := dialer.DialContext(o.pool.ctx, "tcp", o.addr.String())
	if err != nil {
		return err
	}
	stop := context.AfterFunc(o.pool.ctx, func() { _ = raw.Close() })
	conn, err := o.handshake(raw)
	if err != nil {
		stop()
		_ = raw.Close()
		return err
	}
	o.conn, o.stop = conn, stop
	o.pool.wg.Add(1)
	go func() {
		// Peers send nothing after their Hello. The read detects the end of the connection before the next write.
		defer o.pool.wg.Done()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	return nil
}

// handshake completes the TLS handshake and exchanges Hello messages. With TLS 1.3, a server reports a rejected client
// certificate only after the handshake of the client, so the connection is open only when the Hello of the peer has arrived.
func (o *outgoing) handshake(raw net.Conn) (net.Conn, error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
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
		return nil, unexpectedEOF(err)
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
