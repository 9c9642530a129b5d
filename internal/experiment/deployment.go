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

// Options describe a deployment.
type Options struct {
	Bin       string // directory of the programs
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
	// startLimit bounds the start of a process.
	startLimit = 15 * time.Second
	// stopLimit bounds the graceful shutdown of a balancer: its own deadline of 30 s and some reserve.
	stopLimit = 35 * time.Second
	// fabricLag is the time after which the fabric follows the host list.
	fabricLag = 200 * time.Millisecond
)

// Deployment is a running set of balancers and stand-ins.
type Deployment struct {
	options Options
	ports   *ports
	key     signingKey

	mu        sync.Mutex
	standins  []*process
	balancers []*Balancer // by number, from 1
	hosts     map[string]platform.Host
	document  *bundle.Document
	published map[uint64]time.Time        // by version
	cuts      map[[2]int]proxy.LinkFaults // by number of the balancer whose link it is, and of the sender
}

// Balancer is one balancer of a deployment.
type Balancer struct {
	Number  int
	Name    string
	Address netip.Addr

	process    *process
	generation int
}

// Start starts a deployment and waits until every balancer is ready. The processes end with Stop, or with this program.
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
	d.hosts, d.published = make(map[string]platform.Host), make(map[uint64]time.Time)
	d.cuts = make(map[[2]int]proxy.LinkFaults)
	d.document = document(d.options.Services, p)
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
	path    string // of the control port, which answers once the process is up
	args    []string
}

func (d *Deployment) startStandIn(ctx context.Context, s standIn) error {
	control := d.ports.at(s.control, portControl)
	args := append([]string{s.name, "--control", control.String()}, s.args...)
	p, err := startProcess(s.name, d.path(s.name+".log"), program(d.options.Bin, "marigoldwood-standin"), args...)
	if err != nil {
		return err
	}
	d.standins = append(d.standins, p)
	return d.waitUp(ctx, p, control, s.path)
}

// waitUp waits until the process answers at an address.
func (d *Deployment) waitUp(ctx context.Context, p *process, at netip.AddrPort, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := waitFor(ctx, startLimit, func(ctx context.Context) error { return reachable(ctx, at, path) })
	if err == nil {
		return nil
	}
	if !p.running() {
		err = fmt.Errorf("ended: %v", p.err)
	}
	return fmt.Errorf("%s: %w; log:\n%s", p.name, err, p.tail())
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
	all := object{
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
		all["advertise"] = d.advertisedPorts()
	}
	text, err := yaml.Marshal(all)
	if err != nil {
		return "", err
	}
	path := d.path(b.Name + ".yaml")
	return path, os.WriteFile(path, text, 0o644)
}

// Stop ends all processes.
func (d *Deployment) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.balancers {
		if b.process != nil {
			b.process.kill()
		}
	}
	for _, p := range d.standins {
		p.kill()
	}
	d.ports.release()
}

// Check returns an error when a process ended that should run.
func (d *Deployment) Check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var problems []error
	for _, p := range d.standins {
		if !p.running() {
			problems = append(problems, fmt.Errorf("stand-in %s ended: %v; log:\n%s", p.name, p.err, p.tail()))
		}
	}
	for _, b := range d.balancers {
		if b.process != nil && !b.process.running() {
			problems = append(problems, fmt.Errorf("balancer %s ended: %v; log:\n%s", b.Name, b.process.err, b.process.tail()))
		}
	}
	return errors.Join(problems...)
}
