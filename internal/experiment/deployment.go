package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
)

// Options are the settings of a deployment.
type Options struct {
	Bin       string // directory of the executables
	Dir       string // directory for settings and logs
	Seed      uint64
	Balancers int
	Services  []Service
	Workers   int  // traffic goroutines of each balancer; 0 means 1
	Proxied   bool // traffic between balancers passes the fault-injecting proxy
	Progress  Progress
}

// Progress reports what a run is doing.
type Progress interface {
	Step(format string, args ...any)
}

const (
	// startTimeout bounds the time until a new process answers requests.
	startTimeout = 15 * time.Second
	// shutdownTimeout bounds the graceful shutdown of a balancer: its own deadline of 30 s and a margin of 5 s.
	shutdownTimeout = 35 * time.Second
	// fabricUpdateDelay is the time that the fabric takes to follow a change of the host list.
	fabricUpdateDelay = 200 * time.Millisecond
)

// Deployment is a running set of balancers and stand-ins.
type Deployment struct {
	options Options
	ports   *ports
	key     signingKey

	mu          sync.Mutex
	standIns    []*process
	balancers   []*Balancer // by number, from 1
	hosts       map[string]platform.Host
	document    *bundle.Document
	publishedAt map[uint64]time.Time        // by version
	linkFaults  map[[2]int]proxy.LinkFaults // by the numbers of the balancer that owns the link and of the sender
}

// Balancer is one balancer of a deployment.
type Balancer struct {
	Number  int
	Name    string
	Address netip.Addr

	process    *process
	generation int
}

// Start starts a deployment and waits until every balancer is ready. The processes run until Stop is called
// or this program ends.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	p, err := reservePorts()
	if err != nil {
		return nil, err
	}
	d := &Deployment{options: o}
	d.init(p)
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) init(p *ports) {
	d.ports, d.key = p, newSigningKey(d.options.Seed)
	d.hosts, d.publishedAt = make(map[string]platform.Host), make(map[uint64]time.Time)
	d.linkFaults = make(map[[2]int]proxy.LinkFaults)
	d.document = initialDocument(d.options.Services, p)
}

func (d *Deployment) start(ctx context.Context) error {
	if err := os.MkdirAll(d.options.Dir, 0o755); err != nil {
		return err
	}
	if err := d.startStandIns(ctx); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := range d.options.Balancers {
		d.balancers = append(d.balancers, &Balancer{Number: i + 1, Name: fmt.Sprintf("b%d", i+1), Address: balancerAddress(i + 1)})
	}
	if err := d.startProxy(ctx); err != nil {
		return err
	}
	for _, spec := range targetSpecs(d.options.Services) {
		d.setHost(spec.Address.String(), spec.Address, "live")
	}
	for _, b := range d.balancers {
		d.setHost(b.Name, b.Address, "live")
	}
	if err := d.putHosts(ctx); err != nil {
		return err
	}
	for _, b := range d.balancers {
		if err := d.launch(b); err != nil {
			return err
		}
	}
	for _, b := range d.balancers {
		if err := d.waitReady(ctx, b); err != nil {
			return err
		}
	}
	return d.putLive(ctx)
}

func (d *Deployment) startStandIns(ctx context.Context) error {
	specs, err := d.writeJSON("targets.json", targetSpecs(d.options.Services))
	if err != nil {
		return err
	}
	seed := strconv.FormatUint(d.options.Seed, 10)
	port := func(offset uint16) string { return strconv.Itoa(int(d.ports.base + offset)) }
	fabric := d.ports.at(fabricAddress, portData).String()
	standIns := []standIn{
		{"platform", platformAddress, "/counters", []string{"--address", d.ports.at(platformAddress, portPlatform).String()}},
		{"fabric", fabricAddress, "/counters", []string{"--address", fabric, "--data-port", port(portData), "--seed", seed}},
		{"target", targetsAddress, "/counters", []string{"--specs", specs, "--fabric", fabric, "--data-port", port(portData), "--health-port", port(portHealth), "--seed", seed}},
		{"caller", callerAddress, "/refused", []string{"--address", callerAddress.String(), "--fabric", fabric, "--seed", seed}},
	}
	for _, s := range standIns {
		if err := d.startStandIn(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// standIn is a stand-in process to start.
type standIn struct {
	name    string
	control netip.Addr
	path    string // URL path on the control port; it is answered once the process is ready
	args    []string
}

func (d *Deployment) startStandIn(ctx context.Context, s standIn) error {
	control := d.ports.at(s.control, portControl)
	args := append([]string{s.name, "--control", control.String()}, s.args...)
	p, err := startProcess(s.name, d.path(s.name+".log"), programPath(d.options.Bin, "marigoldwood-standin"), args...)
	if err != nil {
		return err
	}
	d.standIns = append(d.standIns, p)
	return d.waitReachable(ctx, p, control, s.path)
}

// waitReachable waits until the process answers a GET request at an address. It fails as soon as the process ends.
func (d *Deployment) waitReachable(ctx context.Context, p *process, address netip.AddrPort, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := waitFor(ctx, startTimeout, func(ctx context.Context) error { return checkReachable(ctx, address, path) })
	if err == nil {
		return nil
	}
	if !p.running() {
		err = fmt.Errorf("process ended: %v", p.err)
	}
	return fmt.Errorf("%s: %w; log:\n%s", p.name, err, p.logTail())
}

func (d *Deployment) path(name string) string { return filepath.Join(d.options.Dir, name) }

func (d *Deployment) writeJSON(name string, v any) (string, error) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	return d.path(name), os.WriteFile(d.path(name), b, 0o644)
}

// writeSettings writes the settings file of a balancer and returns its path.
func (d *Deployment) writeSettings(b *Balancer) (string, error) {
	var seeds []string
	for _, other := range d.balancers {
		if other != b {
			seeds = append(seeds, d.ports.at(other.Address, d.probePort()).String())
		}
	}
	type object = map[string]any
	settings := object{
		"host": object{"name": b.Name, "data_centre": dataCentre},
		"listen": object{
			"address": b.Address.String(), "data_port": d.ports.base + portData, "probe_port": d.ports.base + portProbe,
			"peer_port": d.ports.base + portPeer, "operator_port": d.ports.base + portOperator,
		},
		"fabric":   object{"address": d.ports.at(fabricAddress, portData).String()},
		"platform": object{"address": d.ports.at(platformAddress, portPlatform).String()},
		"peers":    object{"plain": true, "seeds": seeds},
		"operator": object{"plain": true},
		"bundle":   object{"keys": []object{{"id": keyID, "public": d.key.public()}}},
		"traffic":  object{"workers": max(1, d.options.Workers)},
	}
	if d.options.Proxied {
		settings["advertise"] = d.advertisedPorts()
	}
	encoded, err := yaml.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := d.path(b.Name + ".yaml")
	return path, os.WriteFile(path, encoded, 0o644)
}

// Stop kills all processes and releases the ports.
func (d *Deployment) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.balancers {
		if b.process != nil {
			b.process.kill()
		}
	}
	for _, p := range d.standIns {
		p.kill()
	}
	d.ports.release()
}

// Check returns an error that lists the processes that have ended unexpectedly.
func (d *Deployment) Check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for _, p := range d.standIns {
		if !p.running() {
			errs = append(errs, fmt.Errorf("stand-in %s ended unexpectedly: %v; log:\n%s", p.name, p.err, p.logTail()))
		}
	}
	for _, b := range d.balancers {
		if b.process != nil && !b.process.running() {
			errs = append(errs, fmt.Errorf("balancer %s ended unexpectedly: %v; log:\n%s", b.Name, b.process.err, b.process.logTail()))
		}
	}
	return errors.Join(errs...)
}
