// Package prober requests the health and load of targets over HTTP.
//
// It only runs the requests. Package health decides which targets this host probes and how the results are used.
package prober

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/marigoldwood/marigoldwood/flow"
)

// Error is the class of errors of this package.
var Error = errs.Class("prober")

// Default limits of probes, and the maximum size of a response body and of a response header.
const (
	DefaultTimeout     = 500 * time.Millisecond // half the probe interval, so that probes of a silent target do not accumulate
	DefaultConcurrency = 64
	maxBodyBytes       = 4 << 10
)

// Target identifies a target and the address of its health port.
type Target struct {
	ID         flow.TargetID
	HealthAddr netip.AddrPort
}

// Load is the response to GET /load.
type Load struct {
	Slots       int `json:"slots"`
	InFlight    int `json:"in_flight"`
	Connections int `json:"connections"`
	Queue       int `json:"queue"`
}

// Result is the result of one probe. State and Load are valid only if Err is nil.
type Result struct {
	Target   flow.TargetID
	State    string // as reported by the target, not validated
	Load     Load
	Started  time.Time     // start time of the probe
	Duration time.Duration // total time of both requests
	Err      error
}

// Prober runs probes. It is safe for concurrent use.
type Prober struct {
	client    *http.Client
	timeout   time.Duration
	semaphore chan struct{}
	results   chan Result
}

// New returns a prober that runs up to concurrency probes at a time, each with the given timeout. Values of 0 or less select the
// defaults.
func New(timeout time.Duration, concurrency int) *Prober {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if concurrency <= 0 {
		concurrency = DefaultConcurrency
	}
	return &Prober{
		timeout:   timeout,
		semaphore: make(chan struct{}, concurrency),
		results:   make(chan Result, concurrency),
		client: &http.Client{
			// A redirect could point to an address that is not in the bundle.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				Proxy:                  nil, // no proxy, whatever the environment variables say
				DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
				MaxIdleConnsPerHost:    1,
				MaxConnsPerHost:        2,
				IdleConnTimeout:        10 * time.Second,
				MaxResponseHeaderBytes: maxBodyBytes,
			},
		},
	}
}

// Results returns the channel that receives the results of probes.
func (p *Prober) Results() <-chan Result { return p.results }

// Probe starts a probe of the target without waiting for its result. It returns false, and starts nothing, if the maximum
// number of concurrent probes is reached. A probe counts until its result has been received or ctx is done.
func (p *Prober) Probe(ctx context.Context, t Target) bool {
	select {
	case p.semaphore <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-p.semaphore }()
		select {
		case p.results <- p.run(ctx, t):
		case <-ctx.Done():
		}
	}()
	return true
}

// Close closes idle connections.
func (p *Prober) Close() { p.client.CloseIdleConnections() }

func (p *Prober) run(ctx context.Context, t Target) Result {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	r := Result{Target: t.ID, Started: time.Now()}
	var health struct {
		State string `json:"state"`
	}
	r.Err = p.get(ctx, t.HealthAddr, "/health", &health)
	if r.Err == nil {
		r.State = health.State
		r.Err = p.get(ctx, t.HealthAddr, "/load", &r.Load)
	}
	if r.Err == nil {
		r.Err = r.Load.check()
	}
	r.Duration = time.Since(r.Started)
	return r
}

// check returns an error if a count is negative.
func (l Load) check() error {
	if l.Slots < 0 || l.InFlight < 0 || l.Connections < 0 || l.Queue < 0 {
		return Error.New("/load: negative count in %+v", l)
	}
	return nil
}

// get requests path from addr and decodes the JSON response into the value that into points to.
func (p *Prober) get(ctx context.Context, addr netip.AddrPort, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", addr, path), nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Error.New("%s: status %d", path, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(body) > maxBodyBytes {
		return Error.New("%s: body is larger than %d bytes", path, maxBodyBytes)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return Error.New("%s: %v", path, err)
	}
	return nil
}
