// Package operator implements the HTTP server of the operator port: status, timeline, explanations of flows, metrics, health and
// readiness.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// Limits of the operator port.
const (
	readHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 16 << 10
	maxConnections    = 64
	maxTimelineWait   = 30 * time.Second // maximum duration of a timeline request that waits for events
	// shutdownTimeout is how long Serve waits for running requests when it stops. At that time a stopping process has 500 ms of its
	// grace period left.
	shutdownTimeout = 200 * time.Millisecond
)

// FlowAddr identifies a flow by its protocol and the addresses of caller and endpoint.
type FlowAddr struct {
	Protocol flow.Protocol
	Caller   netip.AddrPort
	Endpoint netip.AddrPort
}

// Provider supplies the data that the operator port serves. Its methods must be safe for concurrent use. Ready returns why
// the host is not ready; Explain tells where a flow goes.
type Provider interface {
	Status() status.Status
	Ready() (ready bool, reason string)
	Explain(FlowAddr) status.Explanation
}

// Server implements the HTTP endpoints of the operator port.
type Server struct {
	provider Provider
	ring     *timeline.Ring
	metrics  http.Handler
}

// NewServer returns a server for the data of the provider, the timeline events in the ring, and the metrics handler.
func NewServer(provider Provider, ring *timeline.Ring, metrics http.Handler) *Server {
	return &Server{provider: provider, ring: ring, metrics: metrics}
}

// Handler returns the HTTP handler of the operator port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.serveStatus)
	mux.HandleFunc("GET /timeline", s.serveTimeline)
	mux.HandleFunc("GET /explain", s.serveExplain)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", s.metrics)
	return mux
}

// ReadinessHandler returns the HTTP handler of a port that serves health and readiness checks only.
func (s *Server) ReadinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	return mux
}

// Serve serves the operator port on the listener until the context is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return Serve(ctx, listener, s.Handler())
}

// Serve serves HTTP requests on the listener until the context is done. It then closes idle connections, waits up to
// shutdownTimeout for running requests, and closes the remaining connections.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, WriteTimeout: maxTimelineWait + readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	}()
	err := server.Serve(limitConnections(listener, maxConnections))
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return err
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.provider.Status())
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := s.provider.Ready(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveTimeline returns the events after the timestamp given by the query parameters wall and logical. If there are none, it
// waits up to wait_ms milliseconds for the next event. Missing or invalid parameters count as 0.
func (s *Server) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	wall, _ := strconv.ParseInt(query.Get("wall"), 10, 64)
	logical, _ := strconv.ParseUint(query.Get("logical"), 10, 32)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	since := timeline.Stamp{Wall: wall, Logical: uint32(logical)}
	events, added := s.ring.Since(since)
	if len(events) == 0 && wait > 0 {
		timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxTimelineWait))
		defer timer.Stop()
		select {
		case <-added:
			events, _ = s.ring.Since(since)
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	writeJSON(w, events)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	addr, err := ParseFlow(r.URL.Query().Get("flow"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.provider.Explain(addr))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
