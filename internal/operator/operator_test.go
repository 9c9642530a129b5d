package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
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
