package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// timerInterval is how often timers of all targets are run. Responses leave at most this late; slots are free on time.
const timerInterval = time.Millisecond

// udpExpiryInterval is the interval between removals of idle UDP flows.
const udpExpiryInterval = 5 * time.Second

// Process is the set of targets that run in one process.
type Process struct {
	log      *logrus.Entry
	registry *Registry
	nodes    []*Node
}

// Run runs the stand-in until ctx ends.
func Run(ctx context.Context, o Options) error {
	b, err := os.ReadFile(o.Specs)
	if err != nil {
		return err
	}
	var specs []Spec
	if err := json.Unmarshal(b, &specs); err != nil {
		return err
	}
	p, err := Start(ctx, specs, o)
	if err != nil {
		return err
	}
	p.log.WithField("targets", len(specs)).Info("started")
	return process.Serve(ctx, o.Control, p.Control())
}

// Start starts the targets. They stop when ctx ends.
func Start(ctx context.Context, specs []Spec, o Options) (*Process, error) {
	p := &Process{log: process.NewLog("target"), registry: NewRegistry()}
	clock := process.NewClock()
	for i, spec := range specs {
		n := newNode(spec, o, clock, p.registry, uint64(i), p.log)
		if err := n.openSocket(o.DataPort); err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, n)
		context.AfterFunc(ctx, func() { _ = n.conn.Close() })
		go n.receive()
		go p.serveHealth(ctx, n, o.HealthPort)
	}
	go p.runTimers(ctx, clock)
	return p, nil
}

func (p *Process) serveHealth(ctx context.Context, n *Node, port uint16) {
	address := netip.AddrPortFrom(n.spec.Address, port).String()
	if err := process.Serve(ctx, address, n.httpHandler()); err != nil && ctx.Err() == nil {
		p.log.WithError(err).WithField("target", n.spec.Address).Error("cannot serve the health port")
	}
}

func (p *Process) runTimers(ctx context.Context, clock process.Clock) {
	ticker := time.NewTicker(timerInterval)
	defer ticker.Stop()
	var lastSample, lastExpiry time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock.Now()
		sampleDue, expiryDue := now-lastSample >= reportInterval, now-lastExpiry >= udpExpiryInterval
		for _, n := range p.nodes {
			n.stack.Advance(now)
			if sampleDue {
				n.withLock(n.recordReport)
			}
			if expiryDue {
				n.withLock(n.expireUDPFlows)
			}
		}
		if sampleDue {
			lastSample = now
		}
		if expiryDue {
			lastExpiry = now
		}
	}
}

// Counters returns the counters of all targets.
func (p *Process) Counters() []Counters {
	all := make([]Counters, len(p.nodes))
	for i, n := range p.nodes {
		all[i] = n.Counters()
	}
	return all
}

// Runs returns the content of the registry of the process.
func (p *Process) Runs() Summary { return p.registry.Summary() }

// Known returns those of the flows that a target accepted.
func (p *Process) Known(ids []FlowID) []KnownFlow { return p.registry.Known(ids) }

// Control returns the handler of the control port: GET /counters, PUT /behaviour?target=ADDRESS (without an address, of
// every target), GET /runs, and POST /known with a list of flows.
func (p *Process) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { process.WriteJSON(w, p.Counters()) })
	mux.HandleFunc("PUT /behaviour", p.putBehaviour)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { process.WriteJSON(w, p.Runs()) })
	mux.HandleFunc("POST /known", func(w http.ResponseWriter, r *http.Request) {
		var ids []FlowID
		if process.ReadJSON(w, r, &ids) {
			process.WriteJSON(w, p.Known(ids))
		}
	})
	return mux
}

func (p *Process) putBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if !process.ReadJSON(w, r, &b) {
		return
	}
	var address netip.Addr
	if text := r.URL.Query().Get("target"); text != "" {
		var err error
		if address, err = netip.ParseAddr(text); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if !p.SetBehaviour(address, b) {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	process.WriteNoContent(w)
}

// SetBehaviour replaces the behaviour of the target at the address, or of all targets if the address is the zero value.
// It reports whether there is such a target.
func (p *Process) SetBehaviour(address netip.Addr, b Behaviour) (found bool) {
	for _, n := range p.nodes {
		if !address.IsValid() || n.spec.Address == address {
			found = true
			n.SetBehaviour(b)
			n.log.WithFields(logrus.Fields{"event": "behaviour", "drain": b.Drain, "leaving": b.Leaving, "shed": strconv.Quote(b.Shed)}).Info("behaviour replaced")
		}
	}
	return found
}
