package httpread

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// silentServer is a server whose connections can go silent: requests on them are not answered, while new connections work.
type silentServer struct {
	*httptest.Server
	generation atomic.Int64 // connections of an earlier generation are silent
	allSilent  atomic.Bool
	accepted   atomic.Int64
}

type generationKey struct{}

func newSilentServer(t *testing.T) *silentServer {
	s := &silentServer{}
	released := make(chan struct{})
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.allSilent.Load() || r.Context().Value(generationKey{}) != s.generation.Load() {
			select {
			case <-r.Context().Done():
			case <-released:
			}
		}
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		s.accepted.Add(1)
		return context.WithValue(ctx, generationKey{}, s.generation.Load())
	}
	s.Start()
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(released) })
	return s
}

func (s *silentServer) client(timeout time.Duration) *Client {
	return New(netip.MustParseAddrPort(s.Listener.Addr().String()), timeout)
}

// Guards against an error from which an operator cannot tell a silent connection from a server that does not answer at all.
func TestErrorNamesConnection(t *testing.T) {
	t.Parallel()
	s := newSilentServer(t)
	c := s.client(200 * time.Millisecond)
	if _, err := c.Get(t.Context(), "/", nil, 0, 1); err != nil {
		t.Fatal(err)
	}
	s.generation.Add(1)
	if _, err := c.Get(t.Context(), "/", nil, 0, 1); err == nil || !strings.Contains(err.Error(), "connection reused after") {
		t.Errorf("silent connection: got error %v, want one that says that the connection was reused", err)
	}
	s.allSilent.Store(true)
	if _, err := c.Get(t.Context(), "/", nil, 0, 1); err == nil || !strings.Contains(err.Error(), "new connection") {
		t.Errorf("silent server: got error %v, want one that says that the connection was new", err)
	}
}
