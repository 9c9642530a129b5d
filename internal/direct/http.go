package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Bounds of the HTTP ports.
const (
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 8 << 10
)

// readinessHandler answers the platform's readiness check.
func readinessHandler(c *Control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		serving, state := c.Serving()
		if !serving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, state+"\n")
	})
	return mux
}

// serveHTTP answers requests on the listener until the context ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return Error.Wrap(err)
}
