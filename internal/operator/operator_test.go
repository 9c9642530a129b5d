package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/timeline"
)

type fakeProvider struct{ ready bool }

func (fakeProvider) Status() status.Status { return status.Status{Host: "h1"} }

func (f fakeProvider) Ready() (bool, string) { return f.ready, "warming up" }

func (fakeProvider) Explain(a FlowAddr) status.Explanation {
	return status.Explanation{Flow: a.String()}
}

func get(t *testing.T, s *Server, path string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Guards against a host that reports itself as ready, and so receives traffic, before it can serve.
func TestReadiness(t *testing.T) {
	for ready, want := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		s := NewServer(fakeProvider{ready}, nil, http.NotFoundHandler())
		if w := get(t, s, "/readyz"); w.Code != want {
			t.Errorf("ready %t: status %d, want %d", ready, w.Code, want)
		}
	}
}

// Guards against timeline events that are repeated or missing when a client requests the events after the last one it received.
func TestTimelineSince(t *testing.T) {
	ring := timeline.NewRing("h1", timeline.NewClock(time.Now), 8)
	s := NewServer(fakeProvider{}, ring, http.NotFoundHandler())
	ring.Add(timeline.Event{Kind: "first"})
	var events []timeline.Event
	if err := json.Unmarshal(get(t, s, "/timeline").Body.Bytes(), &events); err != nil || len(events) != 1 {
		t.Fatalf("got events %v, error %v; want the first event", events, err)
	}
	path := "/timeline?wall=" + jsonNumber(events[0].Stamp.Wall) + "&logical=" + jsonNumber(int64(events[0].Stamp.Logical))
	ring.Add(timeline.Event{Kind: "second"})
	if err := json.Unmarshal(get(t, s, path).Body.Bytes(), &events); err != nil || len(events) != 1 || events[0].Kind != "second" {
		t.Fatalf("got events %v, error %v; want the second event only", events, err)
	}
}

func jsonNumber(n int64) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// Guards against a malformed flow that is explained as if it were another one.
func TestExplainRejectsMalformedFlows(t *testing.T) {
	s := NewServer(fakeProvider{}, nil, http.NotFoundHandler())
	for flow, want := range map[string]int{
		"tcp,10.0.0.1:5,192.0.2.1:80":  http.StatusOK,
		"icmp,10.0.0.1:5,192.0.2.1:80": http.StatusBadRequest,
		"tcp,10.0.0.1,192.0.2.1:80":    http.StatusBadRequest,
		"tcp":                          http.StatusBadRequest,
	} {
		if w := get(t, s, "/explain?flow="+flow); w.Code != want {
			t.Errorf("%s: status %d, want %d", flow, w.Code, want)
		}
	}
}

// pipeListener is a listener for in-memory connections, which conns supplies.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that exceeds its grace period because a client has opened a connection without sending a request, or
// does not read the response.
func TestServeStopsWithOpenConnections(t *testing.T) {
	for name, request := range map[string]string{
		"no request sent": "", "response not read": "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { serveUntilStopped(t, request) })
		})
	}
}

// serveUntilStopped sends the request, stops the server and checks that it ends in time and has closed the connection.
func serveUntilStopped(t *testing.T, request string) {
	const remainingGrace = 500 * time.Millisecond // time that a stopping process has left of its grace period
	ctx, cancel := context.WithCancel(t.Context())
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, listener, NewServer(fakeProvider{}, nil, http.NotFoundHandler()).Handler())
	}()
	server, client := net.Pipe()
	defer client.Close()
	listener.conns <- server
	if _, err := client.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	started := time.Now()
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > remainingGrace/2 {
		t.Errorf("Serve took %v to stop, want at most half of %v", took, remainingGrace)
	}
	_ = client.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := client.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the connection is still open after Serve has returned: %v", err)
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
