package target

import (
	"net/http"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Load is what the load endpoint shows.
type Load struct {
	Slots       int `json:"slots"`
	InFlight    int `json:"in_flight"`
	Connections int `json:"connections"`
	Queue       int `json:"queue"`
}

// Health is what the health endpoint shows.
type Health struct {
	State string `json:"state"`
}

// report is the state at one time, kept so that the HTTP port can lag.
type report struct {
	at   time.Duration
	load Load
	// state is the health state
	state string
}

const (
	reportInterval = 100 * time.Millisecond
	reportHistory  = 20 * time.Second // the longest lag that can be asked for
)

func (n *Node) state() string {
	b := &n.behaviour
	switch {
	case b.ReportState != "":
		return b.ReportState
	case b.Drain:
		return "draining"
	case b.Shed != "":
		return "shedding"
	case n.coldFactor() > 1:
		return "cold"
	}
	return "serving"
}

func (n *Node) load() Load {
	l := Load{Slots: n.spec.Slots, InFlight: n.running, Connections: n.conns, Queue: len(n.queue)}
	if n.behaviour.ReportIdle {
		l.InFlight, l.Queue, l.Connections = 0, 0, 0
	}
	return l
}

// sample keeps the current report. The stack is locked.
func (n *Node) sample() {
	now := n.stack.Now()
	n.reports = append(n.reports, report{at: now, load: n.load(), state: n.state()})
	for len(n.reports) > 1 && now-n.reports[0].at > reportHistory {
		n.reports = n.reports[1:]
	}
}

// shown returns the report that the HTTP port shows now.
func (n *Node) shown() (report, bool) {
	var r report
	down := false
	n.do(func() {
		down = n.behaviour.HealthDown
		r = report{load: n.load(), state: n.state()}
		lag := time.Duration(n.behaviour.ReportLagMS) * time.Millisecond
		if lag == 0 || len(n.reports) == 0 {
			return
		}
		limit := n.stack.Now() - lag
		r = n.reports[0]
		for _, old := range n.reports {
			if old.at > limit {
				break
			}
			r = old
		}
	})
	return r, !down
}

// health returns the handler of the HTTP port of the target.
func (n *Node) health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		r, ok := n.shown()
		if !ok {
			panic(http.ErrAbortHandler) // closes the connection
		}
		process.WriteJSON(w, Health{State: r.state})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		r, ok := n.shown()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		process.WriteJSON(w, r.load)
	})
	return mux
}
