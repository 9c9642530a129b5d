package prober

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// probe runs one probe of a target that uses the handler and returns its result.
func probe(t *testing.T, handler http.HandlerFunc) Result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	p := New(200*time.Millisecond, 2)
	defer p.Close()
	p.Probe(t.Context(), Target{ID: 7, HealthAddr: netip.MustParseAddrPort(server.Listener.Addr().String())})
	return <-p.Results()
}

// Guards against a failed, invalid, oversized or late response that is taken for a valid one.
func TestProbe(t *testing.T) {
	const health, load = `{"state":"serving"}`, `{"slots":3,"in_flight":2,"connections":4,"queue":1}`
	cases := map[string]struct {
		health, load string
		status       int
		delay        time.Duration
		wantErr      string
	}{
		"valid":         {health: health, load: load},
		"error status":  {health: health, load: load, status: 503, wantErr: "status 503"},
		"redirect":      {health: health, load: load, status: 302, wantErr: "status 302"},
		"not JSON":      {health: "ok", load: load, wantErr: "/health"},
		"oversized":     {health: health, load: strings.Repeat(" ", 1<<20), wantErr: "larger than"},
		"negative load": {health: health, load: `{"slots":-1}`, wantErr: "negative"},
		"no response":   {health: health, load: load, delay: time.Second, wantErr: "deadline"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := probe(t, func(w http.ResponseWriter, request *http.Request) {
				select {
				case <-time.After(c.delay):
				case <-request.Context().Done():
				}
				body := c.health
				if request.URL.Path == "/load" {
					body = c.load
				}
				if c.status != 0 {
					w.Header().Set("Location", "http://127.0.0.1:1/")
					w.WriteHeader(c.status)
				}
				_, _ = w.Write([]byte(body))
			})
			switch {
			case c.wantErr == "" && (r.Err != nil || r.Target != 7 || r.State != "serving" || r.Load != Load{3, 2, 4, 1}):
				t.Fatalf("got %+v, want a result without error and with the load that the target reported", r)
			case c.wantErr != "" && (r.Err == nil || !strings.Contains(r.Err.Error(), c.wantErr)):
				t.Fatalf("got error %v, want one that contains %q", r.Err, c.wantErr)
			}
		})
	}
}

// Guards against an unlimited number of concurrent probes when targets do not respond, and against probes that continue
// after their context is done.
func TestConcurrencyIsBounded(t *testing.T) {
	unblock := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-unblock }))
	defer server.Close()
	defer close(unblock)
	p := New(10*time.Second, 2)
	ctx, cancel := context.WithCancel(t.Context())
	target := Target{ID: 1, HealthAddr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	for i, want := range []bool{true, true, false} {
		if got := p.Probe(ctx, target); got != want {
			t.Fatalf("probe %d started: %t, want %t", i, got, want)
		}
	}
	cancel()
	for range 2 {
		p.semaphore <- struct{}{} // succeeds when both probes have ended
	}
}
