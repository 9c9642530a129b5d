// Package operator serves the operator port: status, time line, explanations, metrics and health over HTTP.
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

// Bounds of the operator port.
const (
	readHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 16 << 10
	maxConnections    = 64
	maxFollow         = 30 * time.Second // longest wait of one time line request
	// shutdownTimeout is how long requests under way are waited for at the end. A stopping process has half a second left
	// of its grace period then.
	shutdownTimeout = 200 * time.Millisecond
)

// FlowAddr names a flow the way operators do.
type FlowAddr struct {
	Protocol flow.Protocol
	Caller   netip.AddrPort
	Endpoint netip.AddrPort
}

// Provider answers the questions that reach the operator port. Its methods are safe for use by several goroutines.
type Provider interface {
	Status() status.Status
	Ready() (ready bool, reason string)
	Explain(FlowAddr) status.Explanation
}

// Server serves the operator port.
type Server struct {
	provider Provider
	ring     *timeline.Ring
	metrics  http.Handler
}

// NewServer returns a server that answers from the provider, the ring and the metrics handler.
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

// ReadinessHandler returns the HTTP handler of a port that answers health and readiness checks alone.
func (s *Server) ReadinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	return mux
}

// Serve answers requests to the operator port on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return Serve(ctx, listener, s.Handler())
}

// Serve answers requests on the listener until the context ends. Connections that are still in use after shutdownTimeout,
// or on which nothing was asked yet, are closed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, WriteTimeout: maxFollow + readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdown) != nil {
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

// serveTimeline returns the events after the stamp given by wall and logical. With wait_ms it waits for the first one.
func (s *Server) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	wall, _ := strconv.ParseInt(query.Get("wall"), 10, 64)
	logical, _ := strconv.ParseUint(query.Get("logical"), 10, 32)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	since := timeline.Stamp{Wall: wall, Logical: uint32(logical)}
	events, more := s.ring.Since(since)
	if len(events) == 0 && wait > 0 {
		timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFollow))
		defer timer.Stop()
		select {
		case <-more:
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
