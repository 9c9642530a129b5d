package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/httpread"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// responseTimeout is the client timeout of tests that expect a response. It is long enough for a busy machine.
	responseTimeout = 30 * time.Second
	// noResponseTimeout is the client timeout of tests in which the platform does not respond in time.
	noResponseTimeout = 300 * time.Millisecond
)

// serve returns a client of a server that uses the handler. Both are closed when the test ends.
func serve(t *testing.T, timeout time.Duration, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	u, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	c := New(netip.MustParseAddrPort(u.Host), timeout)
	t.Cleanup(c.Close)
	return c
}

// Guards against an error response, or a truncated or oversized one, that is taken for a bundle.
func TestBundle(t *testing.T) {
	large := strings.Repeat("x", bundle.MaxEnvelopeBytes)
	for name, tt := range map[string]struct {
		handler http.HandlerFunc
		want    BundleResponse
		code    resultcode.Code
	}{
		"new": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(revisionHeader, r.URL.Query().Get("after")+"+"+r.URL.Query().Get("wait_ms"))
			_, _ = w.Write([]byte("e"))
		}, BundleResponse{Modified: true, Revision: "6+40", Envelope: []byte("e")}, resultcode.OK},
		"not modified": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(revisionHeader, "6")
			w.WriteHeader(http.StatusNotModified)
		}, BundleResponse{Revision: "6"}, resultcode.OK},
		"nothing published": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, BundleResponse{}, resultcode.OK},
		"largest":           {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(large)) }, BundleResponse{Modified: true, Envelope: []byte(large)}, resultcode.OK},
		"oversized":         {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(large + "x")) }, BundleResponse{}, resultcode.BundleTooLarge},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = w.Write([]byte("e"))
		}, BundleResponse{}, resultcode.PlatformUnavailable},
		"failing":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, BundleResponse{}, resultcode.PlatformUnavailable},
		"redirect": {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusFound) }, BundleResponse{}, resultcode.PlatformUnavailable},
		"large header": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(revisionHeader, large[:2*httpread.MaxHeaderBytes])
		}, BundleResponse{}, resultcode.PlatformUnavailable},
		"no response": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, BundleResponse{}, resultcode.PlatformUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			timeout := responseTimeout
			if name == "no response" {
				timeout = noResponseTimeout
			}
			got, err := serve(t, timeout, tt.handler).Bundle(t.Context(), "6", 40*time.Millisecond)
			if resultcode.Of(err) != tt.code || got.Modified != tt.want.Modified ||
				got.Revision != tt.want.Revision || string(got.Envelope) != string(tt.want.Envelope) {
				t.Fatalf("got modified %v, revision %q, envelope of %d bytes, error %v; want code %v",
					got.Modified, got.Revision, len(got.Envelope), err, tt.code)
			}
		})
	}
}

// Guards against a long poll that the client timeout ends before the requested wait is over.
func TestLongPollExceedsTimeout(t *testing.T) {
	c := serve(t, noResponseTimeout, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		w.WriteHeader(http.StatusNotModified)
	})
	if _, err := c.Bundle(t.Context(), "", time.Second); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Bundle(ctx, "", time.Second); err == nil {
		t.Fatal("a request with a cancelled context succeeded")
	}
}

// Guards against a malformed host list that is taken for an empty one, as if the fleet had no hosts.
func TestHosts(t *testing.T) {
	body := `[{"name":"a","address":"127.0.0.2","data_centre":"regina","state":"leaving"}]`
	c := serve(t, responseTimeout, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
	hosts, err := c.Hosts(t.Context())
	if err != nil || len(hosts) != 1 || hosts[0] != (Host{"a", "127.0.0.2", "regina", "leaving"}) {
		t.Fatalf("got hosts %v, error %v; want the host of the response", hosts, err)
	}
	for _, body = range []string{"", "{}", body[:20]} {
		if _, err := c.Hosts(t.Context()); resultcode.Of(err) != resultcode.PlatformUnavailable {
			t.Errorf("%q: got error %v, want code platform-unavailable", body, err)
		}
	}
}
