package target

import (
	"net/http"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Load is the response of GET /load.
type Load struct {
	Slots       int `json:"slots"`
	InFlight    int `json:"in_flight"`
	Connections int `json:"connections"`
	Queue       int `json:"queue"`
}

// Health is the response of GET /health.
type Health struct {
	State string `json:"state"`
}

// report is the load and health at one time, kept so that the HTTP port can report them with a lag.
type report struct {
	at   time.Duration
	load Load
	// state is the health state
	state string
}

const (
	reportInterval  = 100 * time.Millisecond
	reportRetention = 20 * time.Second // the longest possible lag
)

func (n *Node) healthState() string {
	b := &n.behaviour
	switch {
	case b.ReportState != "":
		return b.ReportState
	case b.Drain:
		return "draining"
	case b.Shed != "":
		return "shedding"
	case n.coldStartFactor() > 1:
		return "cold"
	}
	return "serving"
}

func (n *Node) currentLoad() Load {
	l := Load{Slots: n.spec.Slots, InFlight: n.running, Connections: n.openConns, Queue: len(n.queue)}
	if n.behaviour.ReportIdle {
		l.InFlight, l.Queue, l.Connections = 0, 0, 0
	}
	return l
}

// recordReport records the current load and health. The stack must be locked.
func (n *Node) recordReport() {
	now := n.stack.Now()
	n.reports = append(n.reports, report{at: now, load: n.currentLoad(), state: n.healthState()})
	for len(n.reports) > 1 && now-n.reports[0].at > reportRetention {
		n.reports = n.reports[1:]
	}
}

// visibleReport returns the report that the HTTP port shows now. It returns false if the port is to be down.
func (n *Node) visibleReport() (report, bool) {
	var r report
	down := false
	n.withLock(func() {
		down = n.behaviour.HealthDown
		r = report{load: n.currentLoad(), state: n.healthState()}
		lag := time.Duration(n.behaviour.ReportLagMS) * time.Millisecond
		if lag == 0 || len(n.reports) == 0 {
			return
		}
		cutoff := n.stack.Now() - lag
		r = n.reports[0]
		for _, past := range n.reports {
			if past.at > cutoff {
				break
			}
			r = past
		}
	})
	return r, !down
}

// httpHandler returns the handler of the HTTP port of the target.
func (n *Node) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		r, ok := n.visibleReport()
		if !ok {
			panic(http.ErrAbortHandler) // closes the connection
		}
		process.WriteJSON(w, Health{State: r.state})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		r, ok := n.visibleReport()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		process.WriteJSON(w, r.load)
	})
	return mux
}
