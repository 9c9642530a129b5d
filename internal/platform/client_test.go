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
	// answerTimeout is for reads that must end with an answer, also on a busy machine.
	answerTimeout = 30 * time.Second
	// silenceTimeout is for reads of a platform that does not answer.
	silenceTimeout = 300 * time.Millisecond
)

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

// Guards against an answer that is taken for a bundle though the platform failed, cut it short or sent too much.
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
		"cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = w.Write([]byte("e"))
		}, BundleResponse{}, resultcode.PlatformUnavailable},
		"failing":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, BundleResponse{}, resultcode.PlatformUnavailable},
		"redirect": {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusFound) }, BundleResponse{}, resultcode.PlatformUnavailable},
		"large header": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(revisionHeader, large[:2*httpread.MaxHeaderBytes])
		}, BundleResponse{}, resultcode.PlatformUnavailable},
		"silent": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, BundleResponse{}, resultcode.PlatformUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			timeout := answerTimeout
			if name == "silent" {
				timeout = silenceTimeout
			}
			got, err := serve(t, timeout, tt.handler).Bundle(t.Context(), "6", 40*time.Millisecond)
			if resultcode.Of(err) != tt.code || got.Modified != tt.want.Modified || got.Revision != tt.want.Revision || string(got.Envelope) != string(tt.want.Envelope) {
				t.Fatalf("got %v %q, %d bytes, %v; want %v", got.Modified, got.Revision, len(got.Envelope), err, tt.code)
			}
		})
	}
}

// Guards against a wait of the platform's watch that is cut off by the timeout for answers.
func TestWatchOutlastsTimeout(t *testing.T) {
	c := serve(t, silenceTimeout, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		w.WriteHeader(http.StatusNotModified)
	})
	if _, err := c.Bundle(t.Context(), "", time.Second); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Bundle(ctx, "", time.Second); err == nil {
		t.Fatal("a canceled read succeeded")
	}
}

// Guards against a malformed host list that is taken for an empty one, which would look like a fleet without hosts.
func TestHosts(t *testing.T) {
	body := `[{"name":"a","address":"127.0.0.2","data_centre":"regina","state":"leaving"}]`
	c := serve(t, answerTimeout, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
	hosts, err := c.Hosts(t.Context())
	if err != nil || len(hosts) != 1 || hosts[0] != (Host{"a", "127.0.0.2", "regina", "leaving"}) {
		t.Fatalf("got %v, %v", hosts, err)
	}
	for _, body = range []string{"", "{}", body[:20]} {
		if _, err := c.Hosts(t.Context()); resultcode.Of(err) != resultcode.PlatformUnavailable {
			t.Errorf("%q: got %v", body, err)
		}
	}
}
