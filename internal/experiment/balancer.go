package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
)

// Status is the part of a balancer's status that the experiments use.
type Status struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Ready       bool   `json:"ready"`
	Bundle      struct {
		InForce       uint64 `json:"in_force"`
		Staged        uint64 `json:"staged"`
		InForceUnixMS int64  `json:"in_force_unix_ms"`
	} `json:"bundle"`
	Flows struct {
		Open       int `json:"open"`
		Exceptions int `json:"exceptions"`
		Copies     int `json:"copies"`
	} `json:"flows"`
	Buckets struct {
		Owned     int `json:"owned"`
		Acquiring int `json:"acquiring"`
		InSync    int `json:"in_sync"`
	} `json:"buckets"`
	Members []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"members"`
	Counters map[string]uint64 `json:"counters"`
}

// Balancer returns a balancer by its number, from 1.
func (d *Deployment) Balancer(i int) *Balancer { return d.balancers[i-1] }

// Status reads the status of a balancer.
func (d *Deployment) Status(ctx context.Context, b *Balancer) (Status, error) {
	return get[Status](ctx, d.ports.at(b.Address, portOperator), "/status")
}

// Explanation is the part of a balancer's explanation of a flow that the experiments use.
type Explanation struct {
	Owner   string `json:"owner"`
	Backup  string `json:"backup"`
	Role    string `json:"role"`
	Target  string `json:"target"`
	Default string `json:"default"`
	Known   bool   `json:"known"`
	Rule    string `json:"rule"`
}

// Explain returns how a balancer routes a flow, and why. The protocol is tcp or udp.
func (d *Deployment) Explain(ctx context.Context, b *Balancer, protocol string, caller, endpoint netip.AddrPort) (Explanation, error) {
	flow := fmt.Sprintf("%s,%s,%s", protocol, caller, endpoint)
	return get[Explanation](ctx, d.ports.at(b.Address, portOperator), "/explain"+query("flow", flow))
}

// launch starts the process of a balancer.
func (d *Deployment) launch(b *Balancer) error {
	settings, err := d.writeSettings(b)
	if err != nil {
		return err
	}
	p, err := startProcess(b.Name, d.path(b.Name+".log"), programPath(d.options.Bin, "marigoldwood"), "--settings", settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b.process = p
	b.generation++
	return nil
}

func (d *Deployment) waitReady(ctx context.Context, b *Balancer) error {
	return d.waitReachable(ctx, b.process, d.ports.at(b.Address, portOperator), "/readyz")
}

// Launch starts a stopped balancer, waits until it is ready and makes the fabric send packets to it.
func (d *Deployment) Launch(ctx context.Context, b *Balancer) error {
	if err := d.launch(b); err != nil {
		return err
	}
	d.setHost(b.Name, b.Address, "live")
	if err := d.putHosts(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx, b); err != nil {
		return err
	}
	if err := sleep(ctx, fabricUpdateDelay); err != nil {
		return err
	}
	return d.putLive(ctx)
}

// StopGracefully marks a balancer as leaving in the host list, sends SIGTERM to its process, removes it from the fabric
// after fabricUpdateDelay, and waits until the process has ended.
func (d *Deployment) StopGracefully(ctx context.Context, b *Balancer) error {
	d.setHost(b.Name, b.Address, "leaving")
	if err := d.putHosts(ctx); err != nil {
		return err
	}
	if err := b.process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := sleep(ctx, fabricUpdateDelay); err != nil {
		return err
	}
	if err := d.putLive(ctx); err != nil {
		return err
	}
	p := b.process
	err := p.stop(ctx, shutdownTimeout)
	d.markStopped(b)
	if err != nil {
		return fmt.Errorf("graceful shutdown of %s: %w; log:\n%s", b.Name, err, p.logTail())
	}
	return d.putHosts(ctx)
}

// Replace stops a balancer gracefully and starts a new process at the same address.
func (d *Deployment) Replace(ctx context.Context, b *Balancer) error {
	if err := d.StopGracefully(ctx, b); err != nil {
		return err
	}
	return d.Launch(ctx, b)
}

// Kill ends a balancer's process with SIGKILL. The fabric and the platform learn of it after detectionDelay.
func (d *Deployment) Kill(ctx context.Context, b *Balancer, detectionDelay time.Duration) error {
	b.process.kill()
	d.markStopped(b)
	if err := sleep(ctx, detectionDelay); err != nil {
		return err
	}
	if err := d.putLive(ctx); err != nil {
		return err
	}
	return d.putHosts(ctx)
}

// markStopped records that a balancer's process has ended and removes the balancer from the host list.
func (d *Deployment) markStopped(b *Balancer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.process = nil
	delete(d.hosts, b.Name)
}

// Pause suspends a balancer's process with SIGSTOP, which gives the process no warning.
func (d *Deployment) Pause(b *Balancer) error { return b.process.signal(syscall.SIGSTOP) }

// Resume continues the process of a paused balancer.
func (d *Deployment) Resume(b *Balancer) error { return b.process.signal(syscall.SIGCONT) }

// Running returns the balancers that run, paused ones included.
func (d *Deployment) Running() []*Balancer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.balancers), func(b *Balancer) bool { return b.process == nil })
}

func (d *Deployment) setHost(name string, address netip.Addr, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts[name] = platform.Host{Name: name, Address: address.String(), DataCentre: dataCentre, State: state}
}

// putHosts sends the host list to the platform.
func (d *Deployment) putHosts(ctx context.Context) error {
	d.mu.Lock()
	hosts := make([]platform.Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		hosts = append(hosts, h)
	}
	d.mu.Unlock()
	slices.SortFunc(hosts, func(a, b platform.Host) int {
		return netip.MustParseAddr(a.Address).Compare(netip.MustParseAddr(b.Address))
	})
	return put(ctx, d.ports.at(platformAddress, portControl), "/hosts", hosts)
}

// putLive makes the fabric send packets to the running balancers that the host list shows as live.
func (d *Deployment) putLive(ctx context.Context) error {
	live := []netip.Addr{}
	d.mu.Lock()
	for _, b := range d.balancers {
		if b.process != nil && d.hosts[b.Name].State == "live" {
			live = append(live, b.Address)
		}
	}
	d.mu.Unlock()
	return d.SetLive(ctx, live)
}

// SetLive makes the fabric send packets to exactly these balancers.
func (d *Deployment) SetLive(ctx context.Context, live []netip.Addr) error {
	return put(ctx, d.ports.at(fabricAddress, portControl), "/live", live)
}
