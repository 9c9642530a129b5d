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

func probe(t *testing.T, handler http.HandlerFunc) Result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	p := New(200*time.Millisecond, 2)
	defer p.Close()
	p.Probe(t.Context(), Target{ID: 7, HealthAddr: netip.MustParseAddrPort(server.Listener.Addr().String())})
	return <-p.Results()
}

// Guards against a probe that takes a broken, hostile or slow answer for a valid one.
func TestProbe(t *testing.T) {
	const health, load = `{"state":"serving"}`, `{"slots":3,"in_flight":2,"connections":4,"queue":1}`
	cases := map[string]struct {
		health, load string
		status       int
		wait         time.Duration
		fails        string
	}{
		"valid":         {health: health, load: load},
		"error status":  {health: health, load: load, status: 503, fails: "status 503"},
		"redirect":      {health: health, load: load, status: 302, fails: "status 302"},
		"not JSON":      {health: "ok", load: load, fails: "/health"},
		"huge":          {health: health, load: strings.Repeat(" ", 1<<20), fails: "over"},
		"negative load": {health: health, load: `{"slots":-1}`, fails: "negative"},
		"silent":        {health: health, load: load, wait: time.Second, fails: "deadline"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := probe(t, func(w http.ResponseWriter, request *http.Request) {
				select {
				case <-time.After(c.wait):
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
			case c.fails == "" && (r.Err != nil || r.Target != 7 || r.State != "serving" || r.Load != Load{3, 2, 4, 1}):
				t.Fatalf("%+v", r)
			case c.fails != "" && (r.Err == nil || !strings.Contains(r.Err.Error(), c.fails)):
				t.Fatalf("error %v, want one with %q", r.Err, c.fails)
			}
		})
	}
}

// Guards against probes without bound when targets are silent, and against probes that outlive their context.
func TestConcurrencyIsBounded(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer server.Close()
	defer close(hold)
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
		p.slots <- struct{}{} // free again when the probes have ended
	}
}
