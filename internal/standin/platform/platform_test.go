package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

func readBundle(t *testing.T, server *httptest.Server, query string) (status int, revision, body string) {
	t.Helper()
	// One connection per call, as the client retries a call when a reused connection is closed.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(server.URL + "/v1/config/bundle" + query)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get("X-Revision"), string(b)
}

// Guards against a stand-in that behaves differently from the platform API, with and without faults.
func TestConfigAPI(t *testing.T) {
	p := New(process.NewLog("platform"))
	server := httptest.NewServer(p.API())
	defer server.Close()
	expect := func(query string, status int, revision, body string) {
		t.Helper()
		if s, r, b := readBundle(t, server, query); s != status || (s == http.StatusOK && (r != revision || b != body)) {
			t.Errorf("%q: got status %d, revision %s, body %q; want %d, %s, %q", query, s, r, b, status, revision, body)
		}
	}
	expect("", http.StatusNotFound, "", "")
	p.Publish([]byte("one"))
	expect("", http.StatusOK, "1", "one")
	expect("?after=1", http.StatusNotModified, "", "")
	expect("?after=1&wait_ms=50", http.StatusNotModified, "", "")
	time.AfterFunc(50*time.Millisecond, func() { p.Publish([]byte("two")) })
	expect("?after=1&wait_ms=10000", http.StatusOK, "2", "two")
	p.SetFaults(Faults{Stale: true})
	p.Publish([]byte("three"))
	expect("", http.StatusOK, "2", "two")
	p.SetFaults(Faults{Down: true})
	expect("", 0, "", "")
	p.SetFaults(Faults{CallsPerS: 1})
	refused := 0
	for range 5 { // five quick calls span at most two seconds, so at most two are the first of theirs
		if status, _, _ := readBundle(t, server, ""); status == http.StatusTooManyRequests {
			refused++
		}
	}
	p.SetFaults(Faults{})
	expect("", http.StatusOK, "3", "three")
	if c := p.Counters(); c.Config != 13 || refused < 3 || c.Refused != uint64(refused) {
		t.Errorf("counted %d calls and %d refused; want 13 calls, and the client saw %d refused, want at least 3",
			c.Config, c.Refused, refused)
	}
}
