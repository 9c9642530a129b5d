package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// clientDialTimeout is the maximum time to establish a connection. A host that is powered off does not refuse a connection,
	// and the kernel retransmits a SYN only after one second. When many hosts start at once, a new attempt connects earlier.
	clientDialTimeout = 250 * time.Millisecond
	// serverIdleTimeout is the time without a request after which the server closes a connection.
	serverIdleTimeout = 10 * time.Second
	// maxResponseTime is the maximum time for a whole response, also if data keeps arriving. It allows for the directory of 4,600
	// targets, sent over a slow link to many hosts that start at once.
	maxResponseTime = 5 * time.Second
	// maxClients is the maximum number of concurrent connections of a server.
	maxClients = 512
	// acceptRetryDelay is the delay before the next attempt after accept failed, usually for lack of file descriptors or memory.
	// Connections that end meanwhile release some.
	acceptRetryDelay = 100 * time.Millisecond
)

// Client sends requests to one peer over a persistent connection and waits for each response. It is not safe for concurrent
// use.
type Client struct {
	identity *Identity
	to       netip.AddrPort
	timeout  time.Duration
	conn     net.Conn
}

// NewClient returns a client of the peer at the address. A call fails if the peer sends no data for longer than timeout, also if
// its connection stays open.
func NewClient(identity *Identity, to netip.AddrPort, timeout time.Duration) *Client {
	return &Client{identity: identity, to: to, timeout: timeout}
}

// Call sends m and returns the response. On an error, which is a *resultcode.Error, it resets the connection.
func (c *Client) Call(ctx context.Context, m Message) (Message, error) {
	response, err := c.call(ctx, m)
	if err == nil {
		return response, nil
	}
	c.abort()
	return nil, resultcode.Errorf(codeOf(err), c.to.String(), "%v", err)
}

func (c *Client) call(ctx context.Context, m Message) (_ Message, err error) {
	defer resultcode.Recover(&err)
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: min(clientDialTimeout, c.timeout)}).DialContext(ctx, "tcp", c.to.String())
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	if err := c.conn.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return nil, err
	}
	if err := writeMessage(c.conn, c.identity, m); err != nil {
		return nil, err
	}
	f, err := ReadFrame(&idleTimeoutReader{conn: c.conn, timeout: c.timeout, deadline: time.Now().Add(maxResponseTime)}, nil)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return f.Decode()
}

// idleTimeoutReader reads from a connection until no data arrives for the timeout, or until the deadline. If the timeout
// applied to a whole large response, all responses would time out when many hosts send requests at once, and all hosts would
// retry.
type idleTimeoutReader struct {
	conn     net.Conn
	timeout  time.Duration // maximum time without data
	deadline time.Time
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(r.timeout)
	if deadline.After(r.deadline) {
		deadline = r.deadline
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}

// abort resets the connection, which discards bytes that the system has not sent: a request that arrives after a partition, when its caller
// has given up, holds ages that are too small by the time that it was held up.
func (c *Client) abort() {
	if conn, ok := c.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// Close closes the connection. The next Call opens a new one.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func writeMessage(w io.Writer, identity *Identity, m Message) error {
	f, err := identity.frame(m)
	if err != nil {
		return err
	}
	b, err := identity.encode(f)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// Server responds to requests of peers.
type Server struct {
	Identity *Identity
	// Handler returns the response to a request. It is called from several goroutines. An error closes the connection.
	Handler func(context.Context, Message) (Message, error)
	// Refused is called for every refused connection or message, for a response that is too large, and when accept fails. It is
	// called from several goroutines.
	Refused func(Refusal)
}

// Serve accepts connections and serves requests until the context is cancelled. It returns an error only if the listener is
// closed before that.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxClients)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return Error.Wrap(err)
		}
		if err != nil {
			s.Refused(Refusal{Code: resultcode.PeerUnreachable, Err: err})
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			s.Refused(Refusal{Code: resultcode.PeerRate, Remote: remoteOf(conn), Err: errors.New("too many connections")})
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if err := s.serveRecovering(ctx, conn); err != nil && ctx.Err() == nil {
				s.Refused(Refusal{Code: codeOf(err), Remote: remoteOf(conn), Err: err})
			}
		}()
	}
}

func remoteOf(conn net.Conn) netip.AddrPort { return conn.RemoteAddr().(*net.TCPAddr).AddrPort() }

// serveRecovering calls serve and returns a panic of the decoder or the handler as an error, so that one message can close its
// connection but cannot end the process.
func (s *Server) serveRecovering(ctx context.Context, conn net.Conn) (err error) {
	defer resultcode.Recover(&err)
	return s.serve(ctx, conn)
}

// serve responds to the requests of one connection until the peer closes it or sends none for serverIdleTimeout.
func (s *Server) serve(ctx context.Context, conn net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	for {
		if err := conn.SetDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
			return err
		}
		f, err := ReadFrame(conn, nil)
		if errors.Is(err, io.EOF) || isAborted(err) || isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		m, err := f.Decode()
		if err != nil {
			return err
		}
		response, err := s.Handler(ctx, m)
		if err != nil {
			return err
		}
		if err := s.respond(conn, response); isAborted(err) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// isAborted reports whether the peer has reset the connection, because it has given up on its request. It logs that itself.
func isAborted(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// respond writes a response, or its reduced form if it is too large for a frame.
func (s *Server) respond(conn net.Conn, response Message) error {
	err := writeMessage(conn, s.Identity, response)
	if r, ok := response.(reducible); ok && resultcode.Of(err) == resultcode.PeerFrameTooLarge {
		s.Refused(Refusal{Code: resultcode.PeerFrameTooLarge, Remote: remoteOf(conn), Err: err})
		err = writeMessage(conn, s.Identity, r.Reduced())
	}
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
