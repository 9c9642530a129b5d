//go:build review

// Command trial shows the cases of the review: it starts the balancers of a small deployment as separate processes, with
// stand-ins for the platform, the backends and the clients on loopback addresses.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

// The bounds of the small deployments.
const (
	stableWindow  = 4 * time.Second
	applyBound    = 3 * time.Second
	drainTimeout  = 3 * time.Second
	flowLifetime  = 60 * time.Second
	idleTimeout   = 15 * time.Second
	requestLimit  = 3 * time.Second
	zoneCount     = 3
	hostCount     = 8
	leadTime      = 10 * time.Second // traffic starts that long after the machines
	readinessStep = 500 * time.Millisecond
)

var zones = [zoneCount]string{"regina", "saskatoon", "brandon"}

// route is a route of the configuration.
type route struct {
	name    string
	port    uint16
	service string
	kind    string
}

// world is the small deployment of one trial.
type world struct {
	block   byte
	dir     string
	trouble bool
	record  *record
	store   *store
	ports   struct{ data, ready, peer, store, backend uint16 }
	hosts   []*host

	mu       sync.Mutex
	backends []*backend
	version  uint64
	allowed  map[uint16]map[string]bool // services by port of the route, of all versions
	requests map[string]netip.AddrPort  // route of each request that was sent
	runs     map[string]int
	sent     int
	// maxConnections is the number of flows that a backend holds.
	maxConnections int
	idle           time.Duration // idle_timeout_ms of the configuration
	strays         map[flowKey]*stray
	// requestEndsHandshake makes the client's packet after the SYN+ACK carry the request.
	requestEndsHandshake bool
}

// addr returns an address of this trial's block.
func (w *world) addr(subnet byte, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.block, subnet, byte(number)}), port)
}

// routeAddr returns the address of the platform under which clients reach a route.
func (w *world) routeAddr(port uint16) netip.AddrPort { return w.addr(9, 1, port) }

// newWorld starts the store. The block of addresses is one that nothing else listens on.
func newWorld(rec *record, trouble bool) (*world, error) {
	w := &world{
		record: rec, trouble: trouble, allowed: map[uint16]map[string]bool{}, requests: map[string]netip.AddrPort{},
		runs: map[string]int{}, maxConnections: 2000, idle: idleTimeout, strays: map[flowKey]*stray{},
	}
	w.ports.data, w.ports.ready, w.ports.peer, w.ports.store, w.ports.backend = 8172, 8167, 8166, 8169, 8080
	var err error
	if w.dir, err = os.MkdirTemp("", "trial-"); err != nil {
		return nil, err
	}
	for range 50 {
		w.block = byte(20 + rand.IntN(230))
		if !w.blockFree() {
			continue
		}
		if w.store, err = newStore(w.addr(4, 1, w.ports.store).String()); err == nil {
			return w, nil
		}
	}
	return nil, errors.Join(errors.New("no free block of addresses"), err)
}

func (w *world) blockFree() bool {
	for number := 1; number <= hostCount; number++ {
		for _, port := range []uint16{w.ports.ready, w.ports.peer, 9464} {
			l, err := net.Listen("tcp", w.addr(1, number, port).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startHosts starts the machines within 0.3 s and waits until all are in rotation and the lead time is over.
func (w *world) startHosts() error {
	start := time.Now()
	var seeds []string
	for i := range hostCount {
		h := &host{w: w, number: i + 1, zone: zones[i%zoneCount], name: fmt.Sprintf("frontend-%s-%d", zones[i%zoneCount], i/zoneCount+1)}
		var err error
		if h.link, err = newLink(h.storeAddr().String(), w.addr(4, 1, w.ports.store).String()); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if i < zoneCount {
			seeds = append(seeds, h.peer().String())
		}
	}
	for _, h := range w.hosts {
		if err := h.start(seeds); err != nil {
			return err
		}
	}
	go func() {
		c := &http.Client{Timeout: 400 * time.Millisecond}
		for range time.Tick(readinessStep) {
			for _, h := range w.hosts {
				go h.check(c)
			}
		}
	}()
	time.Sleep(time.Until(start.Add(leadTime)))
	for _, h := range w.hosts {
		w.mu.Lock()
		in := h.inRotation
		w.mu.Unlock()
		if !in {
			return fmt.Errorf("%s is not in rotation after %v: %s", h.name, leadTime, h.log())
		}
	}
	return nil
}

func (w *world) end() {
	for _, h := range w.hosts {
		h.end()
	}
	_ = os.RemoveAll(w.dir)
}

// configure writes a configuration with these routes to the store, which acknowledges it. It returns the time of that.
func (w *world) configure(routes ...route) time.Time {
	w.mu.Lock()
	w.version += uint64(1 + rand.IntN(4))
	version, idle := w.version, w.idle
	services := map[string]bool{}
	var list, serviceList []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": w.routeAddr(r.port).Addr().String(), "prefix": fmt.Sprintf("/%d/", r.port), "service": r.service,
			"route_type": r.kind, "timeout_ms": 3000, "target_latency_ms": 200, "priority": 2, "max_attempts": 2,
		})
		if w.allowed[r.port] == nil {
			w.allowed[r.port] = map[string]bool{}
		}
		w.allowed[r.port][r.service] = true
		if !services[r.service] {
			services[r.service] = true
			serviceList = append(serviceList, map[string]any{
				"name": r.service, "health_check_path": "/health", "max_connections": w.maxConnections, "protocol": "h1", "tls": false,
			})
		}
	}
	w.mu.Unlock()
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": serviceList,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idle.Milliseconds(),
		},
	})
	w.store.put("op/config", value, 0)
	w.record.line("configuration version %d is acknowledged, %d routes", version, len(routes))
	return time.Now()
}

// nextHop returns the machine to which the routers of a zone send a packet of a flow.
func (w *world) nextHop(zone string, src, dst netip.AddrPort) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	var own, ready, others []*host
	for _, h := range w.hosts {
		switch {
		case h.zone == zone && h.inRotation:
			own, ready = append(own, h), append(ready, h)
		case h.zone == zone:
			own = append(own, h)
		case h.inRotation:
			others = append(others, h)
		}
	}
	pool := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		pool = others
	case 2*len(ready) < len(own):
		pool = own
	}
	n := uint32(src.Port())*2654435761 + uint32(src.Addr().As4()[3])*40503 + uint32(dst.Port())*7
	return pool[(n>>8)%uint32(len(pool))].data()
}

func (w *world) newRequest(dst netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	id := fmt.Sprintf("r%05d-%08x", w.sent, rand.Uint32())
	w.requests[id] = dst
	return id
}

// ran judges a run: ROUTE and UNASKED.
func (w *world) ran(id string, k flowKey, b *backend) {
	w.mu.Lock()
	dst, sent := w.requests[id]
	w.runs[id]++
	runs := w.runs[id]
	allowed := w.allowed[k.route.Port()][b.service]
	w.mu.Unlock()
	switch {
	case !sent || dst != k.route:
		w.record.broken("UNASKED", "%s runs request %s that no client sent so", b.name, id)
	case !allowed:
		w.record.broken("ROUTE", "request %s on the route %v is run by %s of service %s, which no configuration allows", id, k.route, b.name, b.service)
	case runs > 1:
		w.record.broken("UNASKED", "request %s has run %d times", id, runs)
	}
	w.record.count("runs")
}

// judgeReset judges a reset of the system's own on an open flow: FLOW (a).
func (w *world) judgeReset(f *flow) {
	w.mu.Lock()
	backends := append([]*backend(nil), w.backends...)
	w.mu.Unlock()
	w.record.count("resets by the system on open flows")
	for _, b := range backends {
		held, holds := b.holds(flowKey{f.src, f.dst})
		if !holds {
			continue
		}
		age, idle := time.Since(held.opened), time.Since(f.lastUse)
		if age > flowLifetime || idle > idleTimeout {
			w.record.line("reset of flow %v>%v is not counted: age %v, idle %v", f.src, f.dst, age, idle)
			return
		}
		if b.disturbed() {
			w.record.line("reset of flow %v>%v is not counted: %s was cut off within %v", f.src, f.dst, b.name, stableWindow)
			w.record.count("of them not counted, within 4 s of a cut")
			return
		}
		w.record.broken("FLOW (a)", "flow %v>%v, open at the living backend %s (%s) for %.1f s, is reset by the system through %s",
			f.src, f.dst, b.name, b.currentState(), age.Seconds(), w.hostAt(f.hop()))
		return
	}
	w.record.line("reset of flow %v>%v is not counted: no living backend holds it", f.src, f.dst)
}

func (w *world) hostAt(data netip.AddrPort) string {
	for _, h := range w.hosts {
		if h.data() == data {
			return h.name
		}
	}
	return data.String()
}

// copyLog writes the lines of the hosts' logs that contain one of the words to the record.
func (w *world) copyLog(limit int, words ...string) {
	for _, h := range w.hosts {
		for _, line := range filterLines(h.log(), limit, words) {
			w.record.line("log %s: %s", h.name, line)
		}
	}
}
