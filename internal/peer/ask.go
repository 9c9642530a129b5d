package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// dialTimeout bounds the wait for a connection: a host without power does not refuse it, and its system sends the next opening
	// packet only after a second. In a fleet that starts at once the next attempt finds the host up.
	dialTimeout = 250 * time.Millisecond
	// askIdle ends a connection on which nothing was asked for so long.
	askIdle = 10 * time.Second
	// answerLimit is the longest time that an answer may take whose bytes keep coming: the directory of 4,600 targets to many
	// hosts that start at once, over a slow link.
	answerLimit = 5 * time.Second
	// maxAskers bounds the connections that an answerer serves at a time.
	maxAskers = 512
	// acceptPause is how long an answerer waits after it failed to accept a connection: descriptors or memory have run out,
	// and connections that end free some.
	acceptPause = 100 * time.Millisecond
)

// Client sends messages to one peer and waits for each answer, over a connection that is kept. One goroutine may use it.
type Client struct {
	identity *Identity
	to       netip.AddrPort
	timeout  time.Duration
	conn     net.Conn
}

// NewClient returns an asker of the peer at the address. A peer that sends nothing for longer than timeout while its answer is due
// has failed, also on a connection that has gone silent.
func NewClient(identity *Identity, to netip.AddrPort, timeout time.Duration) *Client {
	return &Client{identity: identity, to: to, timeout: timeout}
}

// Call sends m and returns the answer. The error is a *resultcode.Error; the connection is then closed.
func (a *Client) Call(ctx context.Context, m Message) (Message, error) {
	answer, err := a.ask(ctx, m)
	if err == nil {
		return answer, nil
	}
	a.Close()
	return nil, resultcode.Errorf(codeOf(err), a.to.String(), "%v", err)
}

func (a *Client) ask(ctx context.Context, m Message) (_ Message, err error) {
	defer resultcode.Recover(&err)
	if a.conn == nil {
		conn, err := (&net.Dialer{Timeout: min(dialTimeout, a.timeout)}).DialContext(ctx, "tcp", a.to.String())
		if err != nil {
			return nil, err
		}
		a.conn = conn
	}
	if err := a.conn.SetDeadline(time.Now().Add(a.timeout)); err != nil {
		return nil, err
	}
	if err := writeMessage(a.conn, a.identity, m); err != nil {
		return nil, err
	}
	f, err := ReadFrame(&steadyReader{conn: a.conn, timeout: a.timeout, limit: time.Now().Add(answerLimit)}, nil)
	if err != nil {
		return nil, unexpected(err)
	}
	return f.Decode()
}

// steadyReader reads from a connection as long as bytes keep coming, until a time. A time limit for a whole large answer would end
// all of them when many hosts ask at once, and each would ask for it again.
type steadyReader struct {
	conn    net.Conn
	timeout time.Duration // without a byte
	limit   time.Time
}

// Read implements io.Reader.
func (r *steadyReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(r.timeout)
	if deadline.After(r.limit) {
		deadline = r.limit
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}

// Close closes the connection. The next Ask opens another one.
func (a *Client) Close() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
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

// Server answers messages of peers.
type Server struct {
	Identity *Identity
	// Handler returns the answer to a message. It is called from several goroutines. An error ends the connection.
	Handler func(context.Context, Message) (Message, error)
	// Refused is told of what was not accepted. It is called from several goroutines.
	Refused func(Refusal)
}

// Serve answers on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, maxAskers)
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
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			_ = conn.Close()
			s.Refused(Refusal{Code: resultcode.PeerRate, Remote: remoteOf(conn), Err: errors.New("too many connections")})
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-places }()
			if err := s.serveGuarded(ctx, conn); err != nil && ctx.Err() == nil {
				s.Refused(Refusal{Code: codeOf(err), Remote: remoteOf(conn), Err: err})
			}
		}()
	}
}

func remoteOf(conn net.Conn) netip.AddrPort { return conn.RemoteAddr().(*net.TCPAddr).AddrPort() }

// serveGuarded is serve with a panic as an error: a message that a decoder or the answer function cannot cope with ends its
// connection and not the process.
func (s *Server) serveGuarded(ctx context.Context, conn net.Conn) (err error) {
	defer resultcode.Recover(&err)
	return s.serve(ctx, conn)
}

// serve answers on one connection until the peer closes it or has asked nothing for a while.
func (s *Server) serve(ctx context.Context, conn net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	for {
		if err := conn.SetDeadline(time.Now().Add(askIdle)); err != nil {
			return err
		}
		f, err := ReadFrame(conn, nil)
		if errors.Is(err, io.EOF) || isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		m, err := f.Decode()
		if err != nil {
			return err
		}
		answer, err := s.Handler(ctx, m)
		if err != nil {
			return err
		}
		if err := writeMessage(conn, s.Identity, answer); err != nil {
			return err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
