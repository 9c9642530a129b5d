// Package process holds what the stand-in processes share: the log, the control port, the clock and option types.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// maxBodyBytes bounds the request body of a control port: a signed bundle has 1 MB, lists of request IDs can be longer.
const maxBodyBytes = 16 << 20

// NewLog returns a logger that writes one line of key=value pairs per event to standard error.
func NewLog(name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	return l.WithField("standin", name)
}

// Clock measures the time since its start on the monotonic clock.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Serve serves HTTP on the address until ctx ends.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// WriteJSON writes v as the JSON response to a request.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody returns the body of a control request. If that fails, it responds with status 400 and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return b, true
}

// ReadJSON decodes the body of a control request into v. If that fails, it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	b, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(b, v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteNoContent responds to a control request that has no result.
func WriteNoContent(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }
