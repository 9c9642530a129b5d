// Package prober asks targets for their health and load over HTTP.
//
// It only fetches: which targets this host probes and what the answers mean is decided by package health.
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

// Bounds of one probe.
const (
	DefaultTimeout     = 500 * time.Millisecond // half the probe interval, so that rounds do not pile up on a silent target
	DefaultConcurrency = 64
	maxBodyBytes       = 4 << 10
)

// Target names one target and the address of its health port.
type Target struct {
	ID         flow.TargetID
	HealthAddr netip.AddrPort
}

// Load is the answer to GET /load.
type Load struct {
	Slots       int `json:"slots"`
	InFlight    int `json:"in_flight"`
	Connections int `json:"connections"`
	Queue       int `json:"queue"`
}

// Result is the outcome of one probe. State and Load are only valid when Err is nil.
type Result struct {
	Target   flow.TargetID
	State    string // as the target names it, not checked
	Load     Load
	Started  time.Time     // when the probe was started
	Duration time.Duration // of both requests together
	Err      error
}

// Prober runs probes. It is safe for use by several goroutines.
type Prober struct {
	client  *http.Client
	timeout time.Duration
	slots   chan struct{}
	results chan Result
}

// New returns a prober that runs up to concurrency probes at once, each bounded by timeout. Zero selects the defaults.
func New(timeout time.Duration, concurrency int) *Prober {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if concurrency <= 0 {
		concurrency = DefaultConcurrency
	}
	return &Prober{
		timeout: timeout,
		slots:   make(chan struct{}, concurrency),
		results: make(chan Result, concurrency),
		client: &http.Client{
			// A redirect would make the prober ask an address that the bundle does not name.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				Proxy:                  nil, // targets are asked directly, whatever the environment says
				DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
				MaxIdleConnsPerHost:    1,
				MaxConnsPerHost:        2,
				IdleConnTimeout:        10 * time.Second,
				MaxResponseHeaderBytes: maxBodyBytes,
			},
		},
	}
}

// Results returns the channel on which Probe delivers results.
func (p *Prober) Results() <-chan Result { return p.results }

// Probe starts a probe of the target and returns at once. It reports false, and starts nothing, when the bound on
// concurrent probes is reached; a probe counts until its result has been received or ctx is done.
func (p *Prober) Probe(ctx context.Context, t Target) bool {
	select {
	case p.slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-p.slots }()
		select {
		case p.results <- p.run(ctx, t):
		case <-ctx.Done():
		}
	}()
	return true
}

// Close drops idle connections.
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

func (l Load) check() error {
	if l.Slots < 0 || l.InFlight < 0 || l.Connections < 0 || l.Queue < 0 {
		return Error.New("/load: a negative count in %+v", l)
	}
	return nil
}

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
		return Error.New("%s: body over %d bytes", path, maxBodyBytes)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return Error.New("%s: %v", path, err)
	}
	return nil
}
