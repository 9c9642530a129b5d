package integration

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
	"github.com/marigoldwood/marigoldwood/platform/standin"
)

// Ports of a direct deployment. Deployments have address blocks of their own.
const (
	dataPort    = 7480
	readyPort   = 7481
	peerPort    = 7482
	metricsPort = 7483
	storePort   = 7484
	targetPort  = 7485
)

// Parts of the address block.
const (
	balancers = 1 + iota
	callers
	targets
	stores
	storeLinks
	targetLinks
	peerLinks
)

// firstBlock lets several runs share a machine: a deployment takes the next 127.BLOCK.0.0/16 from here.
var firstBlock = flag.Int("direct.block", 60, "first address block of direct deployments")

// directBlocks numbers the address blocks that tests use.
var directBlocks atomic.Int32

// direct is a deployment of real balancers on the stand-in of the users' platform.
type direct struct {
	t      *testing.T
	block  byte
	dir    string
	store  *standin.Store
	ledger *standin.Recorder
	proxy  *proxy.Proxy
	hosts  []*directHost

	mu      sync.Mutex
	targets map[string]*standin.Target
	ready   []netip.AddrPort // data addresses of hosts in rotation
	version uint64
	ports   []uint16 // endpoints with a route
}

// directHost is one balancer process.
type directHost struct {
	number int
	cmd    *exec.Cmd
	done   chan struct{}
	// misses and rotating are the fabric's view of the host.
	misses   int
	rotating bool
}

// check notes a readiness check: an answer brings the host into rotation, two misses take it out.
func (h *directHost) check(ok bool) {
	if ok {
		h.misses, h.rotating = 0, true
		return
	}
	if h.misses++; h.misses >= 2 {
		h.rotating = false
	}
}

func (d *direct) address(part, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.block, byte(part), byte(number)}), port)
}

// endpointAddress is where callers send their flows.
func (d *direct) endpoint(port uint16) netip.AddrPort { return d.address(9, 1, port) }

var zones = [...]string{"regina", "brandon"}

// startDirect starts a store, targets and balancers, half of each in either data centre, and waits until all are ready.
func startDirect(t *testing.T, hosts, targetCount int) *direct {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := &direct{t: t, block: byte(*firstBlock + int(directBlocks.Add(1))), dir: t.TempDir(), ledger: standin.NewRecorder(), targets: map[string]*standin.Target{}, ports: []uint16{443, 8443}}
	var err error
	if d.store, err = standin.NewStore(d.address(stores, 1, storePort)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.store.Close)
	d.startProxy(hosts, targetCount)
	d.publish()
	for i := range targetCount {
		d.startTarget(i + 1)
	}
	for i := range hosts {
		h := &directHost{number: i + 1}
		d.hosts = append(d.hosts, h)
		d.writeSettings(h)
		d.start(h)
	}
	t.Cleanup(func() {
		for _, h := range d.hosts {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			<-h.done
		}
	})
	go d.rotate()
	d.eventually("all hosts are ready", 10*time.Second, func() bool { return d.inRotation() == hosts })
	return d
}

// startProxy puts a link between every balancer and the store, between the balancers, and before every target.
func (d *direct) startProxy(hosts, targetCount int) {
	var links []proxy.Link
	for i := 1; i <= hosts; i++ {
		links = append(links,
			proxy.Link{Name: fmt.Sprint("store-", i), Protocol: "tcp", Listen: d.address(storeLinks, i, storePort), Forward: d.address(stores, 1, storePort)},
			proxy.Link{Name: fmt.Sprint("peer-", i), Protocol: "tcp", Listen: d.address(peerLinks, i, peerPort), Forward: d.address(balancers, i, peerPort)})
	}
	for i := 1; i <= targetCount; i++ {
		links = append(links, proxy.Link{Name: fmt.Sprint("target-", i), Protocol: "udp", Listen: d.address(targetLinks, i, targetPort), Forward: d.address(targets, i, targetPort)})
	}
	var err error
	if d.proxy, err = proxy.Start(d.t.Context(), links, 1); err != nil {
		d.t.Fatal(err)
	}
}

// publish writes a new version of the configuration with a route for each port.
func (d *direct) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	var routes []map[string]any
	for _, port := range d.ports {
		kind := "unsafe"
		if port == 443 {
			kind = "safe"
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", port), "host": d.endpoint(port).Addr().String(), "prefix": fmt.Sprintf("/%d/", port), "route_type": kind,
			"timeout_ms": 500, "target_latency_ms": 100, "priority": 1, "service": "ingest", "max_attempts": 2,
		})
	}
	d.store.Put("op/config", map[string]any{
		"version": d.version, "routes": routes, "services": []map[string]any{{"name": "ingest"}}, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

// setPorts publishes routes for just these endpoints.
func (d *direct) setPorts(ports ...uint16) {
	d.mu.Lock()
	d.ports = ports
	d.mu.Unlock()
	d.publish()
}

func targetName(number int) string { return fmt.Sprintf("i-%08x", 0xa0000000+number) }

func (d *direct) startTarget(number int) {
	zone := zones[number%len(zones)]
	target, err := standin.StartTarget(targetName(number), "ingest", zone, d.address(targets, number, targetPort), dataPort, 5*time.Millisecond, d.ledger)
	if err != nil {
		d.t.Error(err)
		return
	}
	d.mu.Lock()
	d.targets[target.Name] = target
	d.mu.Unlock()
	d.list(number, "ready")
	d.t.Cleanup(target.Stop)
}

// list writes the record of a target. Balancers reach it through its link.
func (d *direct) list(number int, state string) {
	d.mu.Lock()
	target := d.targets[targetName(number)]
	d.mu.Unlock()
	d.store.Put("servers/"+target.Name, target.Record(state, d.address(targetLinks, number, targetPort)))
}

// endTarget ends a target and removes its record.
func (d *direct) endTarget(number int) {
	d.mu.Lock()
	target := d.targets[targetName(number)]
	d.mu.Unlock()
	target.Stop()
	d.store.Delete("servers/" + target.Name)
}

func (d *direct) settingsPath(h *directHost) string {
	return filepath.Join(d.dir, fmt.Sprint("host-", h.number, ".yaml"))
}

func (d *direct) writeSettings(h *directHost) {
	text := fmt.Sprintf(`host: {name: host-%d, data_centre: %s}
listen: {packets: "%s", readiness: "%s", peers: "%s", metrics: "%s"}
peers: {seeds: ["%s", "%s"], advertise: "%s"}
platform: {address: "%s", timeout: 500ms}
shutdown: {grace: 6s}
`, h.number, zones[h.number%len(zones)], d.address(balancers, h.number, dataPort), d.address(balancers, h.number, readyPort),
		d.address(balancers, h.number, peerPort), d.address(balancers, h.number, metricsPort), d.address(peerLinks, 1, peerPort),
		d.address(peerLinks, 2, peerPort), d.address(peerLinks, h.number, peerPort), d.address(storeLinks, h.number, storePort))
	if err := os.WriteFile(d.settingsPath(h), []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the process of a host. Its log is kept when the test fails.
func (d *direct) start(h *directHost) {
	log, err := os.OpenFile(filepath.Join(d.dir, fmt.Sprint("host-", h.number, ".log")), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(filepath.Join(binDir, "marigoldwood"), "direct", "--settings", d.settingsPath(h))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code of a killed process says nothing
		_ = log.Close()
		close(done)
	}()
	d.mu.Lock()
	h.cmd, h.done = cmd, done
	d.mu.Unlock()
}

func (h *directHost) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) } // it may have ended

// rotate plays the fabric's readiness checks: two misses take a host out of rotation.
func (d *direct) rotate() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for d.t.Context().Err() == nil {
		var ready []netip.AddrPort
		for _, h := range d.hosts {
			response, err := client.Get("http://" + d.address(balancers, h.number, readyPort).String() + "/readyz")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			h.check(ok)
			if h.rotating {
				ready = append(ready, d.address(balancers, h.number, dataPort))
			}
		}
		d.mu.Lock()
		d.ready = ready
		d.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (d *direct) inRotation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ready)
}

// route is the fabric's choice by the remainder of a hash, which moves nearly all flows when the rotation changes.
func (d *direct) route(flow netip.AddrPort) netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ready) == 0 {
		return d.address(balancers, 1, dataPort)
	}
	return d.ready[(int(flow.Port())*7+int(flow.Addr().As4()[3]))%len(d.ready)]
}

func (d *direct) newCaller(number int) *standin.Caller {
	c, err := standin.NewCaller(d.address(callers, number, dataPort), d.route)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(c.Close)
	return c
}

func (d *direct) eventually(what string, limit time.Duration, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Errorf("not within %v: %s", limit, what)
			return
		}
	}
}

// expectNoFaults fails the test for whatever the targets have seen that must not happen, and shows the logs.
func (d *direct) expectNoFaults() {
	d.t.Helper()
	for _, fault := range d.ledger.Violations() {
		d.t.Error(fault)
	}
	if !d.t.Failed() {
		return
	}
	for _, h := range d.hosts {
		text, err := os.ReadFile(filepath.Join(d.dir, fmt.Sprint("host-", h.number, ".log")))
		lines := strings.Split(string(text), "\n")
		var kept []string
		for _, line := range lines {
			if !strings.Contains(line, "event=flow-") {
				kept = append(kept, line)
			}
		}
		d.t.Logf("host %d (%v):\n%s", h.number, err, strings.Join(kept[max(0, len(kept)-60):], "\n"))
	}
}
