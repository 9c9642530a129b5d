// Package platform is a stand-in for the platform's configuration service and host list.
package platform

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// MaxValueBytes is the largest value in bytes that the configuration service stores.
const MaxValueBytes = 1 << 20

// maxWatchWait bounds the duration of a watch, whatever the reader asks for.
const maxWatchWait = 60 * time.Second

// Options configure the stand-in.
type Options struct {
	Address string `long:"address" required:"true" description:"address:port of the platform API"`
	Control string `long:"control" required:"true" description:"address:port of the control port"`
	Bundle  string `long:"bundle" description:"file with the first value"`
}

// Host is one entry of the host list.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"` // live or leaving
}

// Faults are the faults that the control port can turn on.
type Faults struct {
	Down       bool `json:"down"`         // every connection is closed without a response
	Hang       bool `json:"hang"`         // no call is answered
	Stale      bool `json:"stale"`        // calls see the value and hosts from the time when this was set
	SlowMS     int  `json:"slow_ms"`      // delay of every response
	CallsPerS  int  `json:"calls_per_s"`  // calls beyond this rate get status 429; 0 means no limit
	StaleHosts bool `json:"stale_hosts"`  // as Stale, for the host list alone
	HostsLagMS int  `json:"hosts_lag_ms"` // delay after which a new host list becomes visible
}

// Counters are the counters of calls.
type Counters struct {
	Config   uint64            `json:"config"`
	Hosts    uint64            `json:"hosts"`
	Refused  uint64            `json:"refused"`
	Waiting  int               `json:"waiting"`
	Revision uint64            `json:"revision"`
	Bytes    uint64            `json:"bytes"` // of values sent
	ByReader map[string]uint64 `json:"by_reader"`
}

type value struct {
	revision uint64
	bytes    []byte
	changed  chan struct{} // closed when a newer value becomes visible
}

// Platform is the stand-in for the platform.
type Platform struct {
	log *logrus.Entry

	mu             sync.Mutex
	published      value // the value published last
	visible        value // the value that readers see
	publishedHosts []Host
	visibleHosts   []Host
	faults         Faults
	counters       Counters
	rateSecond     int64 // Unix second that rateCalls counts
	rateCalls      int
}

// New returns a platform without a value.
func New(log *logrus.Entry) *Platform {
	p := &Platform{log: log, counters: Counters{ByReader: make(map[string]uint64)}}
	p.visible.changed = make(chan struct{})
	return p
}

// Run runs the stand-in until ctx ends.
func Run(ctx context.Context, o Options) error {
	p := New(process.NewLog("platform"))
	if o.Bundle != "" {
		b, err := os.ReadFile(o.Bundle)
		if err != nil {
			return err
		}
		p.Publish(b)
	}
	errs := make(chan error, 2)
	go func() { errs <- process.Serve(ctx, o.Address, p.API()) }()
	go func() { errs <- process.Serve(ctx, o.Control, p.Control()) }()
	p.log.WithField("address", o.Address).Info("started")
	return <-errs
}

// Publish stores a new value under the next revision.
func (p *Platform) Publish(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published = value{revision: p.published.revision + 1, bytes: b}
	p.log.WithFields(logrus.Fields{"event": "published", "revision": p.published.revision, "bytes": len(b)}).Info("value published")
	p.updateVisible()
}

// updateVisible makes the published value and hosts visible, unless a fault keeps them stale.
func (p *Platform) updateVisible() {
	if !p.faults.Stale && p.visible.revision != p.published.revision {
		close(p.visible.changed)
		p.visible = p.published
		p.visible.changed = make(chan struct{})
	}
	if !p.faults.Stale && !p.faults.StaleHosts {
		p.visibleHosts = p.publishedHosts
	}
}

// SetHosts replaces the host list after the lag of the faults.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	lag := time.Duration(p.faults.HostsLagMS) * time.Millisecond
	p.mu.Unlock()
	apply := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.publishedHosts = hosts
		p.updateVisible()
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.log.WithFields(logrus.Fields{"event": "faults", "down": f.Down, "stale": f.Stale, "hang": f.Hang, "slow_ms": f.SlowMS}).Info("faults replaced")
	p.updateVisible()
}

// API returns the handler of the platform API.
func (p *Platform) API() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/bundle", p.withFaults(&p.counters.Config, p.getBundle))
	mux.HandleFunc("GET /v1/hosts", p.withFaults(&p.counters.Hosts, p.getHosts))
	return mux
}

// withFaults returns a handler that counts a call and applies the faults before it calls next.
func (p *Platform) withFaults(counter *uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		reader, _, _ := net.SplitHostPort(r.RemoteAddr)
		p.mu.Lock()
		*counter++
		p.counters.ByReader[reader]++
		f := p.faults
		limited := p.exceedsRateLimit(time.Now().Unix())
		p.mu.Unlock()
		switch {
		case f.Down:
			panic(http.ErrAbortHandler) // closes the connection
		case f.Hang:
			<-r.Context().Done()
			return
		case limited:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		next(w, r)
	}
}

func (p *Platform) exceedsRateLimit(second int64) bool {
	if second != p.rateSecond {
		p.rateSecond, p.rateCalls = second, 0
	}
	p.rateCalls++
	exceeded := p.faults.CallsPerS > 0 && p.rateCalls > p.faults.CallsPerS
	if exceeded {
		p.counters.Refused++
	}
	return exceeded
}

func (p *Platform) getBundle(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	p.mu.Lock()
	v := p.visible
	p.mu.Unlock()
	if wait > 0 && v.revision == after {
		v = p.waitForNewer(r.Context(), v, wait)
	}
	w.Header().Set("X-Revision", strconv.FormatUint(v.revision, 10))
	switch {
	case v.revision == 0:
		http.Error(w, "no value", http.StatusNotFound)
	case v.revision == after:
		w.WriteHeader(http.StatusNotModified)
	default:
		p.mu.Lock()
		p.counters.Bytes += uint64(len(v.bytes))
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(v.bytes)
	}
}

// waitForNewer waits until a newer value than v is visible, or the time or ctx ends. It returns the visible value.
func (p *Platform) waitForNewer(ctx context.Context, v value, wait time.Duration) value {
	p.addWaiting(1)
	defer p.addWaiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.visible
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Waiting += n
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	hosts := p.visibleHosts
	p.mu.Unlock()
	if hosts == nil {
		hosts = []Host{}
	}
	process.WriteJSON(w, hosts)
}
