// Command trial3 runs the scripts of the third review: balancers as separate processes, with small stand-ins of the store, the backends,
// the clients and the routers on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldwood/marigoldwood/platform/standin"
)

// Exit codes: the rule held, was broken, or the case could not run.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

const (
	dataPort = 8272 + iota
	readyPort
	controlPort
	storePort
	backendPort
	metricsPort = 9464
)

var zones = []string{"daugavpils", "rezekne", "kraslava"}

type deployment struct {
	block   byte
	dir     string
	store   *standin.Store
	record  *recorder
	program string

	mu       sync.Mutex
	nodes    []*node
	rotation map[string][]netip.AddrPort // by zone
	backends []*backend
}

type node struct {
	name, zone string
	number     int
	cmd        *exec.Cmd
	done       chan struct{}
	misses     int
	in         bool
}

func (d *deployment) at(subnet, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.block, byte(subnet), byte(number)}), uint16(port))
}

// settings renders what the template of the deploy file holds.
func (d *deployment) settings(n *node) string {
	ip := d.at(1, n.number, 0).Addr()
	return fmt.Sprintf(`host: {name: %q, data_centre: %q, weight: 0.4}
listen:
  packets: %q
  readiness: %q
  peers: %q
  metrics: "%s:%d"
peers:
  seeds: [%q, %q, %q]
platform:
  address: %q
  forwarding: "echo"
shutdown: {grace: 6s}
cold: { }
log: {level: info}
`, n.name, n.zone, d.at(1, n.number, dataPort), d.at(1, n.number, readyPort), d.at(1, n.number, controlPort), ip, metricsPort,
		d.at(1, 1, controlPort), d.at(1, 2, controlPort), d.at(1, 3, controlPort), d.at(4, 1, storePort))
}

func (d *deployment) startNode(n *node) error {
	path := filepath.Join(d.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings(n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(d.program, "direct")
	n.cmd.Env = append(os.Environ(), "MARIGOLDWOOD_SETTINGS="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.done)
	}()
	return nil
}

// checkReadiness plays the platform: twice a second it asks each node whether it is ready.
func (d *deployment) checkReadiness() {
	http := &http.Client{Timeout: 400 * time.Millisecond}
	for {
		rotation := map[string][]netip.AddrPort{}
		for _, n := range d.nodes {
			answer, err := http.Get("http://" + d.at(1, n.number, readyPort).String() + "/readyz")
			if err == nil {
				_ = answer.Body.Close()
			}
			if err == nil && answer.StatusCode == 200 {
				n.misses, n.in = 0, true
			} else if n.misses++; n.misses >= 2 {
				n.in = false
			}
			if n.in {
				rotation[n.zone] = append(rotation[n.zone], d.at(1, n.number, dataPort))
			}
		}
		d.mu.Lock()
		d.rotation = rotation
		d.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// router returns the function that selects the node for the flows of the clients of a zone.
func (d *deployment) router(zone string) func(netip.AddrPort) netip.AddrPort {
	return func(flow netip.AddrPort) netip.AddrPort {
		d.mu.Lock()
		defer d.mu.Unlock()
		if nodes := d.rotation[zone]; len(nodes) > 0 {
			return nodes[(int(flow.Port())*7+int(flow.Addr().As4()[3]))%len(nodes)]
		}
		return d.at(1, 1, dataPort)
	}
}

// Ports of the routes: confirmations must run at most once, pulls may be repeated.
const (
	confirmPort = 443
	pullPort    = 8443
	photoPort   = 8080
)

// Services of the configuration.
const (
	roundsService = "rounds"
	claimsService = "claims"
)

func (d *deployment) putConfiguration(version int) {
	route := func(name, kind string, port, timeout, objective, priority int, service string) map[string]any {
		return map[string]any{
			"name": name, "host": d.at(9, 1, 0).Addr().String(), "prefix": fmt.Sprintf("/%d/", port), "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": objective, "priority": priority, "service": service, "max_attempts": 2,
		}
	}
	d.store.Put("op/config", map[string]any{
		"version": version, "services": []map[string]any{{"name": roundsService}, {"name": claimsService}}, "limits": map[string]any{"idle_timeout_ms": 12000},
		"routes": []map[string]any{
			route("r-confirm", "unsafe", confirmPort, 3000, 500, 1, roundsService),
			route("r-pull", "download", pullPort, 8000, 1200, 2, roundsService),
			route("r-photo", "download", photoPort, 3000, 500, 2, claimsService),
		},
	})
}

func (d *deployment) start(perZone, backendsPerZone int) error {
	var err error
	if d.store, err = standin.NewStore(d.at(4, 1, storePort)); err != nil {
		return err
	}
	d.putConfiguration(3)
	for i := range backendsPerZone * len(zones) {
		b, err := startBackend(i+1, roundsService, zones[i%len(zones)], d.at(3, i+1, backendPort), dataPort, d.record)
		if err != nil {
			return err
		}
		d.backends = append(d.backends, b)
		d.store.Put("servers/"+b.name, b.entry())
	}
	for i := range perZone * len(zones) {
		n := &node{name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], number: i + 1}
		d.nodes = append(d.nodes, n)
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	go d.checkReadiness()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		d.mu.Lock()
		ready := 0
		for _, nodes := range d.rotation {
			ready += len(nodes)
		}
		d.mu.Unlock()
		if ready == len(d.nodes) {
			return nil
		}
	}
	return errors.New("not all nodes are ready within 10 s")
}

func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.done != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: trial3 CASE PROGRAM RECORD")
		return exitNotRun
	}
	play, trouble := cases[os.Args[1]], os.Getenv("TROUBLE") != "0"
	record, err := newRecorder(os.Args[3])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "trial3: unknown case, or no record:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "trial3-")
	if err != nil {
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	d := &deployment{block: byte(100 + rand.IntN(120)), dir: dir, record: record, program: os.Args[2]}
	defer d.stop()
	err = play(d, trouble)
	broken := record.finish()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "trial3:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Println(len(broken), "times broken; the first:", broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
