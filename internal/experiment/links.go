package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
)

// A proxied deployment passes all traffic between balancers through the fault-injecting proxy. Each balancer listens on
// its usual ports and announces the ports of the proxy at its own address. The proxy keeps the senders' addresses.

var proxyAddress = netip.MustParseAddr("127.60.0.1")

// advertisedPorts are the settings of a balancer that announces the proxy's ports.
func (d *Deployment) advertisedPorts() map[string]any {
	return map[string]any{
		"data_port": d.ports.base + portProxyData, "probe_port": d.ports.base + portProxyProbe, "peer_port": d.ports.base + portProxyPeer,
	}
}

// probePort is the port at which a balancer is reached by others.
func (d *Deployment) probePort() uint16 {
	if d.options.Proxied {
		return portProxyProbe
	}
	return portProbe
}

func (d *Deployment) links() []proxy.Link {
	var links []proxy.Link
	for _, b := range d.balancers {
		for _, l := range []struct {
			kind, protocol  string
			listen, forward uint16
		}{
			{"data", "udp", portProxyData, portData},
			{"probe", "udp", portProxyProbe, portProbe},
			{"peer", "tcp", portProxyPeer, portPeer},
		} {
			links = append(links, proxy.Link{
				Name: linkName(b, l.kind), Protocol: l.protocol, KeepSource: true,
				Listen: d.ports.at(b.Address, l.listen), Forward: d.ports.at(b.Address, l.forward),
			})
		}
	}
	return links
}

var linkKinds = []string{"data", "probe", "peer"}

func linkName(b *Balancer, kind string) string { return b.Name + "/" + kind }

func (d *Deployment) startProxy(ctx context.Context) error {
	if !d.options.Proxied {
		return nil
	}
	links, err := d.writeJSON("links.json", d.links())
	if err != nil {
		return err
	}
	return d.startStandIn(ctx, standIn{"proxy", proxyAddress, "/counters", []string{"--links", links, "--seed", fmt.Sprint(d.options.Seed)}})
}

// SetPeerFaults sets the faults of all traffic between balancers, in both directions.
func (d *Deployment) SetPeerFaults(ctx context.Context, f proxy.Faults) error {
	// Every packet between two balancers passes one link, forward or back, so each direction gets the faults once.
	return put(ctx, d.ports.at(proxyAddress, portControl), "/faults", proxy.Both{Forward: f, Back: f})
}

// Cut cuts the traffic from one balancer to another, or restores it.
func (d *Deployment) Cut(ctx context.Context, from, to *Balancer, cut bool) error {
	// Packets from one to the other pass its links to the other forward, and the other's links to it back.
	there, here := d.cuts[[2]int{to.Number, from.Number}], d.cuts[[2]int{from.Number, to.Number}]
	there.Forward.Cut, here.Back.Cut = cut, cut
	d.cuts[[2]int{to.Number, from.Number}], d.cuts[[2]int{from.Number, to.Number}] = there, here
	for _, kind := range linkKinds {
		at := d.ports.at(proxyAddress, portControl)
		if err := put(ctx, at, "/faults"+query("link", linkName(to, kind))+"&source="+from.Address.String(), there); err != nil {
			return err
		}
		if err := put(ctx, at, "/faults"+query("link", linkName(from, kind))+"&source="+to.Address.String(), here); err != nil {
			return err
		}
	}
	return nil
}

// Partition cuts all traffic between two groups of balancers, or restores it.
func (d *Deployment) Partition(ctx context.Context, a, b []*Balancer, cut bool) error {
	for _, x := range a {
		for _, y := range b {
			if err := d.Cut(ctx, x, y, cut); err != nil {
				return err
			}
			if err := d.Cut(ctx, y, x, cut); err != nil {
				return err
			}
		}
	}
	return nil
}

// canProxy reports whether the daemon accepts the settings that a proxied deployment needs.
func canProxy(ctx context.Context, bin string) bool {
	dir, err := os.MkdirTemp("", "marigoldwood")
	if err != nil {
		return false
	}
	defer os.RemoveAll(dir)
	d := &Deployment{options: Options{Dir: dir, Proxied: true}}
	d.init(&ports{base: firstBasePort})
	settings, err := d.writeSettings(&Balancer{Name: "b1", Address: balancerAddress(1)})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return exec.CommandContext(ctx, filepath.Join(bin, "marigoldwood"), "--settings", settings, "--check-settings").Run() == nil
}

// proxied reports whether the run can inject faults between balancers, and says so.
func (r *Run) proxied(ctx context.Context) bool {
	ok := canProxy(ctx, r.Bin)
	if !ok {
		r.Progress.Step("the daemon does not know the setting advertise: no faults between balancers")
	}
	r.Report.Figures["faults_between_balancers"] = ok
	return ok
}
