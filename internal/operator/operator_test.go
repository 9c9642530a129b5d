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

// Guards against a host that is sent traffic before it serves.
func TestReadiness(t *testing.T) {
	for ready, want := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		s := NewServer(fakeProvider{ready}, nil, http.NotFoundHandler())
		if w := get(t, s, "/readyz"); w.Code != want {
			t.Errorf("ready %t: status %d, want %d", ready, w.Code, want)
		}
	}
}

// Guards against a time line that repeats or skips events when it is followed.
func TestTimelineSince(t *testing.T) {
	ring := timeline.NewRing("h1", timeline.NewClock(time.Now), 8)
	s := NewServer(fakeProvider{}, ring, http.NotFoundHandler())
	ring.Add(timeline.Event{Kind: "first"})
	var events []timeline.Event
	if err := json.Unmarshal(get(t, s, "/timeline").Body.Bytes(), &events); err != nil || len(events) != 1 {
		t.Fatalf("%v, %v", events, err)
	}
	path := "/timeline?wall=" + jsonNumber(events[0].Stamp.Wall) + "&logical=" + jsonNumber(int64(events[0].Stamp.Logical))
	ring.Add(timeline.Event{Kind: "second"})
	if err := json.Unmarshal(get(t, s, path).Body.Bytes(), &events); err != nil || len(events) != 1 || events[0].Kind != "second" {
		t.Fatalf("%v, %v", events, err)
	}
}

func jsonNumber(n int64) string {
	b, _ := json.Marshal(n)
	return string(b)
}

func TestExplainRefusesBadFlows(t *testing.T) {
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

// pipes is a listener whose connections live in memory.
type pipes struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.ended)
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that outlives its grace period because a client has opened a connection and asks nothing, or
// reads no answer.
func TestServeEndsWithConnectionsInUse(t *testing.T) {
	for name, request := range map[string]string{"nothing asked": "", "answer not read": "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { serveUntilStopped(t, request) })
		})
	}
}

func serveUntilStopped(t *testing.T, request string) {
	const margin = 500 * time.Millisecond // what a stopping process leaves of its grace period
	ctx, cancel := context.WithCancel(t.Context())
	listener := &pipes{conns: make(chan net.Conn), ended: make(chan struct{})}
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
	if took := time.Since(started); took > margin/2 {
		t.Errorf("the end took %v of %v", took, margin)
	}
	_ = client.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := client.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the connection is still open: %v", err)
	}
}

func isTimeout(err error) bool {
	failed, ok := err.(net.Error)
	return ok && failed.Timeout()
}
