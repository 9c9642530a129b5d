package operator

import (
	"net"
	"sync"
)

// limitConnections returns a listener that has at most limit accepted connections open.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, tokens: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	tokens chan struct{}
}

// Accept closes a connection over the limit at once, so that a flood cannot make others wait.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			return &limitedConn{Conn: conn, tokens: l.tokens}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	tokens  chan struct{}
	release sync.Once
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.release.Do(func() { <-c.tokens })
	return c.Conn.Close()
}
