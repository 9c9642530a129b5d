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

// Ports of a direct deployment. They are the same in all deployments, because each has its own address block.
const (
	dataPort    = 7480
	readyPort   = 7481
	peerPort    = 7482
	metricsPort = 7483
	storePort   = 7484
	targetPort  = 7485
)

// Subnets of an address block: the third byte of an address.
const (
	balancerSubnet = 1 + iota
	callerSubnet
	targetSubnet
	storeSubnet
	storeLinkSubnet
	targetLinkSubnet
	peerLinkSubnet
)

// firstBlock lets several test runs share a machine. Each deployment uses the next address block 127.BLOCK.0.0/16 after it.
var firstBlock = flag.Int("direct.block", 60, "first address block of direct deployments")

// blocksUsed is the number of address blocks used so far.
var blocksUsed atomic.Int32

// directDeployment runs real balancer processes in direct mode against the stand-in of the users' platform.
type directDeployment struct {
	t        *testing.T
	block    byte
	dir      string
	store    *standin.Store
	recorder *standin.Recorder
	proxy    *proxy.Proxy
	hosts    []*directHost

	mu        sync.Mutex
	targets   map[string]*standin.Target
	rotation  []netip.AddrPort // data addresses of the hosts in rotation
	version   uint64
	ports     []uint16        // endpoint ports that have a route
	evacuated map[string]bool // by data centre, as the operator wants it
	unused    int             // number of further routes, which no caller uses
	cuts      targetCuts
	// requestsEndHandshakes makes all callers end handshakes with their first request.
	requestsEndHandshakes bool
}

// directHost is a host with its balancer process.
type directHost struct {
	number int
	cmd    *exec.Cmd
	done   chan struct{}
	// failedChecks and inRotation are the fabric's view of the host. failedChecks counts consecutive failures.
	failedChecks int
	inRotation   bool
}

// recordCheck records a readiness check. A success puts the host into rotation; two consecutive failures take it out.
func (h *directHost) recordCheck(ok bool) {
	if ok {
		h.failedChecks, h.inRotation = 0, true
		return
	}
	if h.failedChecks++; h.failedChecks >= 2 {
		h.inRotation = false
	}
}

func (d *directDeployment) address(subnet, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.block, byte(subnet), byte(number)}), port)
}

// endpoint returns the address to which callers send their flows.
func (d *directDeployment) endpoint(port uint16) netip.AddrPort { return d.address(9, 1, port) }

var dataCentres = [...]string{"regina", "brandon"}

// startDirect starts a store, targets and balancers and waits until all hosts are in rotation. Targets and balancers alternate
// between the two data centres.
func startDirect(t *testing.T, hosts, targetCount int) *directDeployment {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	d := &directDeployment{
		t: t, block: byte(*firstBlock + int(blocksUsed.Add(1))), dir: t.TempDir(), recorder: standin.NewRecorder(),
		targets: map[string]*standin.Target{}, ports: []uint16{443, 8443}, evacuated: map[string]bool{},
		cuts: targetCuts{ends: map[string]time.Time{}},
	}
	var err error
	if d.store, err = standin.NewStore(d.address(storeSubnet, 1, storePort)); err != nil {
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
		d.startHost(h)
	}
	t.Cleanup(func() {
		for _, h := range d.hosts {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			<-h.done
		}
	})
	go d.runReadinessChecks()
	d.eventually("all hosts are in rotation", 10*time.Second, func() bool { return d.hostsInRotation() == hosts })
	return d
}

// startProxy starts a fault-injecting proxy with links from each balancer to the store, to each balancer from its peers, and to
// each target.
func (d *directDeployment) startProxy(hosts, targetCount int) {
	var links []proxy.Link
	for i := 1; i <= hosts; i++ {
		links = append(links,
			proxy.Link{
				Name: fmt.Sprint("store-", i), Protocol: "tcp",
				Listen: d.address(storeLinkSubnet, i, storePort), Forward: d.address(storeSubnet, 1, storePort),
			},
			proxy.Link{
				Name: fmt.Sprint("peer-", i), Protocol: "tcp",
				Listen: d.address(peerLinkSubnet, i, peerPort), Forward: d.address(balancerSubnet, i, peerPort),
			})
	}
	for i := 1; i <= targetCount; i++ {
		links = append(links, proxy.Link{
			Name: fmt.Sprint("target-", i), Protocol: "udp",
			Listen: d.address(targetLinkSubnet, i, targetPort), Forward: d.address(targetSubnet, i, targetPort),
		})
	}
	var err error
	if d.proxy, err = proxy.Start(d.t.Context(), links, 1); err != nil {
		d.t.Fatal(err)
	}
}

// publish writes a new version of the configuration, with a route for each of d.ports, to the store.
func (d *directDeployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	var routes []map[string]any
	for _, port := range d.ports {
		routeType := "unsafe"
		if port == 443 {
			routeType = "safe"
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", port), "host": d.endpoint(port).Addr().String(), "prefix": fmt.Sprintf("/%d/", port),
			"route_type": routeType, "timeout_ms": 500, "target_latency_ms": 100, "priority": 1, "service": "ingest", "max_attempts": 2,
		})
	}
	for i := range d.unused {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("unused-%05d", i), "host": d.address(10, 1, 1).Addr().String(), "prefix": fmt.Sprintf("/%d/", 1000+i),
			"route_type": "safe", "timeout_ms": 500, "target_latency_ms": 100, "priority": 2, "service": "ingest", "max_attempts": 2,
		})
	}
	d.store.Put("op/config", map[string]any{
		"version": d.version, "routes": routes, "services": []map[string]any{{"name": "ingest"}},
		"limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

// setPorts publishes a configuration that has routes for these endpoint ports and no others.
func (d *directDeployment) setPorts(ports ...uint16) {
	d.mu.Lock()
	d.ports = ports
	d.mu.Unlock()
	d.publish()
}

func (d *directDeployment) target(number int) *standin.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[targetName(number)]
}

func targetName(number int) string { return fmt.Sprintf("i-%08x", 0xa0000000+number) }

func (d *directDeployment) startTarget(number int) {
	dataCentre := dataCentres[number%len(dataCentres)]
	target, err := standin.StartTarget(targetName(number), "ingest", dataCentre, d.address(targetSubnet, number, targetPort),
		dataPort, 5*time.Millisecond, d.recorder)
	if err != nil {
		d.t.Error(err)
		return
	}
	d.mu.Lock()
	d.targets[target.Name] = target
	d.mu.Unlock()
	d.putTargetRecord(number, "ready")
	d.t.Cleanup(target.Stop)
}

// putTargetRecord writes the record of a target to the store. The record has the address of the target's link, so that
// balancers reach the target through the proxy.
func (d *directDeployment) putTargetRecord(number int, state string) {
	target := d.target(number)
	d.store.Put("servers/"+target.Name, target.Record(state, d.address(targetLinkSubnet, number, targetPort)))
}

// evacuate writes or removes the operator's request that no new flows go to the targets of a data centre.
func (d *directDeployment) evacuate(dataCentre string, evacuated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated[dataCentre] = evacuated
	d.writeEvacuation(dataCentre)
}

// repeatEvacuations writes or removes all requests to evacuate a data centre again, as the store may have lost the last changes.
func (d *directDeployment) repeatEvacuations() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for dataCentre := range d.evacuated {
		d.writeEvacuation(dataCentre)
	}
}

// writeEvacuation writes or removes the request for a data centre. The caller holds d.mu.
func (d *directDeployment) writeEvacuation(dataCentre string) {
	if d.evacuated[dataCentre] {
		d.store.Put("op/evacuate/"+dataCentre, map[string]any{})
	} else {
		d.store.Delete("op/evacuate/" + dataCentre)
	}
}

// openingsIn returns the number of opening packets that targets of a data centre have received since the given time.
func (d *directDeployment) openingsIn(dataCentre string, since time.Time) int {
	n := 0
	for _, o := range d.recorder.OpeningPackets() {
		if o.DataCentre == dataCentre && o.At.After(since) {
			n++
		}
	}
	return n
}

// stopTarget stops a target and deletes its record from the store.
func (d *directDeployment) stopTarget(number int) {
	target := d.target(number)
	target.Stop()
	d.store.Delete("servers/" + target.Name)
}

func (d *directDeployment) settingsPath(h *directHost) string {
	return filepath.Join(d.dir, fmt.Sprint("host-", h.number, ".yaml"))
}

func (d *directDeployment) writeSettings(h *directHost) {
	text := fmt.Sprintf(`host: {name: host-%d, data_centre: %s}
listen: {packets: "%s", readiness: "%s", peers: "%s", metrics: "%s"}
peers: {seeds: ["%s", "%s"], advertise: "%s"}
platform: {address: "%s", timeout: 500ms}
shutdown: {grace: 6s}
`, h.number, dataCentres[h.number%len(dataCentres)],
		d.address(balancerSubnet, h.number, dataPort), d.address(balancerSubnet, h.number, readyPort),
		d.address(balancerSubnet, h.number, peerPort), d.address(balancerSubnet, h.number, metricsPort),
		d.address(peerLinkSubnet, 1, peerPort), d.address(peerLinkSubnet, 2, peerPort),
		d.address(peerLinkSubnet, h.number, peerPort), d.address(storeLinkSubnet, h.number, storePort))
	if err := os.WriteFile(d.settingsPath(h), []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// startHost starts the balancer process of a host, which appends to the host's log file. expectNoViolations prints the end of
// the file when the test fails.
func (d *directDeployment) startHost(h *directHost) {
	logFile, err := os.OpenFile(filepath.Join(d.dir, fmt.Sprint("host-", h.number, ".log")),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(filepath.Join(binDir, "marigoldwood"), "direct", "--settings", d.settingsPath(h))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status is not checked, because tests kill processes
		_ = logFile.Close()
		close(done)
	}()
	d.mu.Lock()
	h.cmd, h.done = cmd, done
	d.mu.Unlock()
}

func (h *directHost) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) } // fails if the process has ended

// runReadinessChecks simulates the fabric, which checks the readiness of every host, until the test ends.
func (d *directDeployment) runReadinessChecks() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for d.t.Context().Err() == nil {
		var rotation []netip.AddrPort
		for _, h := range d.hosts {
			response, err := client.Get("http://" + d.address(balancerSubnet, h.number, readyPort).String() + "/readyz")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			h.recordCheck(ok)
			if h.inRotation {
				rotation = append(rotation, d.address(balancerSubnet, h.number, dataPort))
			}
		}
		d.mu.Lock()
		d.rotation = rotation
		d.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (d *directDeployment) hostsInRotation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.rotation)
}

// nextHop returns the data address to which the fabric sends a flow. It selects the host by a hash modulo the number of hosts
// in rotation, so that nearly all flows move to another host when the rotation changes.
func (d *directDeployment) nextHop(flow netip.AddrPort) netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rotation) == 0 {
		return d.address(balancerSubnet, 1, dataPort)
	}
	return d.rotation[(int(flow.Port())*7+int(flow.Addr().As4()[3]))%len(d.rotation)]
}

// newCaller starts a caller. Callers with odd numbers end handshakes with their first request, the others without data, unless all do.
func (d *directDeployment) newCaller(number int) *standin.Caller {
	c, err := standin.NewCaller(d.address(callerSubnet, number, dataPort), d.nextHop)
	if err != nil {
		d.t.Fatal(err)
	}
	c.RequestEndsHandshake = number%2 == 1 || d.requestsEndHandshakes
	d.t.Cleanup(c.Close)
	return c
}

func (d *directDeployment) eventually(what string, limit time.Duration, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Errorf("condition not met within %v: %s", limit, what)
			return
		}
	}
}

// expectNoViolations fails the test for every violation that the targets have recorded. If the test has failed, it prints the
// end of each host's log, without the events of single flows.
func (d *directDeployment) expectNoViolations() {
	d.t.Helper()
	for _, violation := range d.recorder.Violations() {
		d.t.Error(violation)
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
