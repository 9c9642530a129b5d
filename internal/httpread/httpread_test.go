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

// Guards against a request that waits until its time is over because its connection went silent while it was unused. A host
// that takes over the reading of the store would learn of a configuration too late.
func TestConnectionSilentWhileUnused(t *testing.T) {
	t.Parallel()
	s := newSilentServer(t)
	c := s.client(time.Second)
	if _, err := c.Get(t.Context(), "/", nil, 0, 1); err != nil {
		t.Fatal(err)
	}
	s.generation.Add(1)
	time.Sleep(4 * time.Second) // hosts whose connections went silent within the last 4 s may be late
	if _, err := c.Get(t.Context(), "/", nil, 0, 1); err != nil {
		t.Errorf("got %v, want an answer on a new connection", err)
	}
}

// Guards against a new connection for each request of a client that sends one after the other with the pauses of a retry.
func TestConnectionInUseIsKept(t *testing.T) {
	t.Parallel()
	s := newSilentServer(t)
	c := s.client(time.Second)
	for range 4 {
		if _, err := c.Get(t.Context(), "/", nil, 0, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(800 * time.Millisecond)
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("%d connections for requests 0.8 s apart, want 1", n)
	}
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
