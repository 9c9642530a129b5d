package operator

import (
	"net"
	"sync"
)

// limitConnections returns a listener that accepts connections from l and has at most limit of them open at a time.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, semaphore: make(chan struct{}, limit)}
}

// limitedListener is a listener with a limited number of open connections.
type limitedListener struct {
	net.Listener
	semaphore chan struct{}
}

// Accept returns the next connection. It closes connections beyond the limit immediately, so that a flood of them does not
// fill the backlog and delay other clients.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.semaphore <- struct{}{}:
			return &limitedConn{Conn: conn, semaphore: l.semaphore}, nil
		default:
			_ = conn.Close()
		}
	}
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	semaphore   chan struct{}
	releaseOnce sync.Once
}

// Close closes the connection, which then no longer counts against the limit.
func (c *limitedConn) Close() error {
	c.releaseOnce.Do(func() { <-c.semaphore })
	return c.Conn.Close()
}
