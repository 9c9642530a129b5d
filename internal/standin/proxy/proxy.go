// Package proxy is a TCP and UDP proxy that injects faults between processes.
package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Options configure the stand-in.
type Options struct {
	Links   string `long:"links" required:"true" description:"JSON file with the list of links"`
	Control string `long:"control" required:"true" description:"address:port of the control port"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of random choices"`
}

// Link is one listening address and the destination of its traffic.
type Link struct {
	Name     string         `json:"name"`
	Protocol string         `json:"protocol"` // tcp or udp
	Listen   netip.AddrPort `json:"listen"`
	Forward  netip.AddrPort `json:"forward"`
	// KeepSource sends from the address of the sender, with another port, so that the receiver sees the sender's address.
	KeepSource bool `json:"keep_source"`
}

// Faults are the faults of one direction. The zero value injects none.
type Faults struct {
	// Loss is the fraction of the UDP packets that are dropped, and of the chunks of a TCP stream that are delayed by the
	// time of a retransmission.
	Loss       float64 `json:"loss"`
	Duplicate  float64 `json:"duplicate"` // UDP: fraction of the packets that are sent twice
	Reorder    float64 `json:"reorder"`   // UDP: fraction of the packets that are delayed by a further ReorderMS
	ReorderMS  int     `json:"reorder_ms"`
	DelayMS    int     `json:"delay_ms"`
	JitterMS   int     `json:"jitter_ms"`   // largest addition to the delay, uniformly distributed
	BytesPerS  int     `json:"bytes_per_s"` // 0 means no limit
	Cut        bool    `json:"cut"`         // UDP packets are dropped; TCP bytes wait until the cut ends
	ResetConns bool    `json:"reset_conns"` // TCP connections are closed at once, and new ones refused
}

// LinkFaults are the faults of both directions of a link.
type LinkFaults struct {
	Forward Faults `json:"forward"`
	Back    Faults `json:"back"`
}

// direction is the state of one direction of a link, or of one source on a link.
type direction struct {
	faults  atomic.Pointer[Faults]
	limiter atomic.Pointer[rate.Limiter]
	packets atomic.Uint64
	bytes   atomic.Uint64
	dropped atomic.Uint64
}

func (d *direction) setFaults(f Faults) {
	var l *rate.Limiter
	if f.BytesPerS > 0 {
		l = rate.NewLimiter(rate.Limit(f.BytesPerS), max(f.BytesPerS/10, maxDatagram))
	}
	d.limiter.Store(l)
	d.faults.Store(&f)
}

// sourceState is the state of both directions of a link for one source.
type sourceState struct {
	forward, back direction
	silenced      atomic.Uint64 // number of calls of Silence; TCP connections opened before the last one carry nothing
}

func newSourceState(b LinkFaults) *sourceState {
	p := &sourceState{}
	p.forward.setFaults(b.Forward)
	p.back.setFaults(b.Back)
	return p
}

type link struct {
	Link
	proxy *Proxy

	mu            sync.Mutex
	defaultFaults LinkFaults
	sources       map[netip.Addr]*sourceState // by source address
}

func (l *link) sourceState(source netip.Addr) *sourceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.sources[source]
	if p == nil {
		p = newSourceState(l.defaultFaults)
		l.sources[source] = p
	}
	return p
}

// setFaults sets the faults of one source, or of all sources if source is the zero value.
func (l *link) setFaults(source netip.Addr, b LinkFaults) {
	if source.IsValid() {
		p := l.sourceState(source)
		p.forward.setFaults(b.Forward)
		p.back.setFaults(b.Back)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.defaultFaults = b
	for _, p := range l.sources {
		p.forward.setFaults(b.Forward)
		p.back.setFaults(b.Back)
	}
}

// Proxy is a set of links.
type Proxy struct {
	log   *logrus.Entry
	links []*link

	mu     sync.Mutex
	random *rand.Rand
}

// Run runs the stand-in until ctx ends.
func Run(ctx context.Context, o Options) error {
	b, err := os.ReadFile(o.Links)
	if err != nil {
		return err
	}
	var links []Link
	if err := json.Unmarshal(b, &links); err != nil {
		return err
	}
	p, err := Start(ctx, links, o.Seed)
	if err != nil {
		return err
	}
	p.log.WithField("links", len(links)).Info("started")
	return process.Serve(ctx, o.Control, p.Control())
}

// Start opens all links. They are closed when ctx ends.
func Start(ctx context.Context, links []Link, seed uint64) (*Proxy, error) {
	p := &Proxy{log: process.NewLog("proxy"), random: rand.New(rand.NewPCG(seed, 0))}
	for _, spec := range links {
		l := &link{Link: spec, proxy: p, sources: make(map[netip.Addr]*sourceState)}
		var err error
		switch spec.Protocol {
		case "udp":
			err = l.startUDP(ctx)
		case "tcp":
			err = l.startTCP(ctx)
		default:
			err = errors.New("protocol must be tcp or udp")
		}
		if err != nil {
			return nil, fmt.Errorf("link %s: %w", spec.Name, err)
		}
		p.links = append(p.links, l)
	}
	return p, nil
}

// chance returns true with the given probability.
func (p *Proxy) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// delay returns the delay of one packet, with random jitter.
func (p *Proxy) delay(f *Faults) time.Duration {
	d := time.Duration(f.DelayMS) * time.Millisecond
	if f.JitterMS > 0 {
		p.mu.Lock()
		d += time.Duration(p.random.Int64N(int64(f.JitterMS)*int64(time.Millisecond) + 1))
		p.mu.Unlock()
	}
	return d
}

// SetFaults sets the faults of the named link, or of all if name is empty, for one source, or for all if source is zero.
func (p *Proxy) SetFaults(name string, source netip.Addr, b LinkFaults) bool {
	found := false
	for _, l := range p.links {
		if name == "" || l.Name == name {
			found = true
			l.setFaults(source, b)
		}
	}
	p.log.WithFields(logrus.Fields{"event": "faults", "link": name, "source": source, "forward": fmt.Sprintf("%+v", b.Forward), "back": fmt.Sprintf("%+v", b.Back)}).Info("faults replaced")
	return found
}

// Silence makes the open TCP connections of the named link carry nothing from now on, without closing them. New ones work.
func (p *Proxy) Silence(name string) {
	for _, l := range p.links {
		if l.Name != name {
			continue
		}
		l.mu.Lock()
		for _, state := range l.sources {
			state.silenced.Add(1)
		}
		l.mu.Unlock()
	}
	p.log.WithFields(logrus.Fields{"event": "silence", "link": name}).Info("open connections silenced")
}

// Counters are the counters of the traffic of one source on one link.
type Counters struct {
	Link           string     `json:"link"`
	Source         netip.Addr `json:"source"`
	ForwardPackets uint64     `json:"forward_packets"`
	ForwardBytes   uint64     `json:"forward_bytes"`
	ForwardDropped uint64     `json:"forward_dropped"`
	BackPackets    uint64     `json:"back_packets"`
	BackBytes      uint64     `json:"back_bytes"`
	BackDropped    uint64     `json:"back_dropped"`
}

// Counters returns the counters of all links and sources.
func (p *Proxy) Counters() []Counters {
	all := []Counters{}
	for _, l := range p.links {
		l.mu.Lock()
		for source, state := range l.sources {
			all = append(all, Counters{
				Link: l.Name, Source: source,
				ForwardPackets: state.forward.packets.Load(), ForwardBytes: state.forward.bytes.Load(), ForwardDropped: state.forward.dropped.Load(),
				BackPackets: state.back.packets.Load(), BackBytes: state.back.bytes.Load(), BackDropped: state.back.dropped.Load(),
			})
		}
		l.mu.Unlock()
	}
	return all
}

// Control returns the handler of the control port: PUT /faults?link=NAME&source=ADDRESS and GET /counters.
func (p *Proxy) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var b LinkFaults
		if !process.ReadJSON(w, r, &b) {
			return
		}
		var source netip.Addr
		if text := r.URL.Query().Get("source"); text != "" {
			var err error
			if source, err = netip.ParseAddr(text); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		if !p.SetFaults(r.URL.Query().Get("link"), source, b) {
			http.Error(w, "no such link", http.StatusNotFound)
			return
		}
		process.WriteNoContent(w)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { process.WriteJSON(w, p.Counters()) })
	return mux
}
