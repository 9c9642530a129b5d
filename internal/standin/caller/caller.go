package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// timerInterval is the interval between runs of the timers of all lanes.
const timerInterval = time.Millisecond

// Run runs the stand-in until ctx ends.
func Run(ctx context.Context, o Options) error {
	c, err := New(ctx, o)
	if err != nil {
		return err
	}
	if err := c.startPlanFile(ctx, o.Plan); err != nil {
		return err
	}
	c.log.WithFields(logrus.Fields{"address": o.Address, "lanes": len(c.lanes)}).Info("started")
	if err := process.Serve(ctx, o.Control, c.Control(ctx)); err != nil {
		return err
	}
	return c.writeResult(o.Result)
}

// New opens the sockets of a caller. They are closed when ctx ends.
func New(ctx context.Context, o Options) (*Caller, error) {
	c := &Caller{options: o, log: process.NewLog("caller"), clock: process.NewClock()}
	for i := range max(1, o.Lanes) {
		l, err := newLane(c, i)
		if err != nil {
			return nil, err
		}
		c.lanes = append(c.lanes, l)
	}
	for _, l := range c.lanes {
		context.AfterFunc(ctx, func() { _ = l.conn.Close() })
		go l.receive()
	}
	go c.runTimers(ctx)
	return c, nil
}

func (c *Caller) runTimers(ctx context.Context) {
	ticker := time.NewTicker(timerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range c.lanes {
			l.stack.Advance(c.clock.Now())
		}
	}
}

func (c *Caller) startPlanFile(ctx context.Context, path string) error {
	if path == "" {
		return nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var p Plan
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	return c.Start(ctx, p)
}

func (c *Caller) writeResult(path string) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(c.Result(), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// Control returns the handler of the control port: POST /plan starts a plan, GET /result returns the result so far,
// GET /refused returns the flows that were refused without being run, and POST /finish?wait_ms=N ends all sessions and
// loads and returns the result. A started plan runs until ctx ends.
func (c *Caller) Control(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /plan", func(w http.ResponseWriter, r *http.Request) {
		var p Plan
		if !process.ReadJSON(w, r, &p) {
			return
		}
		if err := c.Start(ctx, p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		process.WriteNoContent(w)
	})
	mux.HandleFunc("GET /result", func(w http.ResponseWriter, _ *http.Request) { process.WriteJSON(w, c.Result()) })
	mux.HandleFunc("GET /refused", func(w http.ResponseWriter, _ *http.Request) {
		refused := c.Result().Refused
		if refused == nil {
			refused = []Flow{}
		}
		process.WriteJSON(w, refused)
	})
	mux.HandleFunc("POST /finish", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		process.WriteJSON(w, c.Finish(r.Context(), time.Duration(wait)*time.Millisecond))
	})
	return mux
}
