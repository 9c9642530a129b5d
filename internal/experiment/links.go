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

// In a proxied deployment all traffic between balancers passes the fault-injecting proxy. Each balancer listens on its usual
// ports and advertises the ports of the proxy at its own address. The proxy preserves the source addresses.

var proxyAddress = netip.MustParseAddr("127.60.0.1")

// advertisedPorts returns the settings with which a balancer advertises the ports of the proxy.
func (d *Deployment) advertisedPorts() map[string]any {
	return map[string]any{
		"data_port": d.ports.base + portProxyData, "probe_port": d.ports.base + portProxyProbe, "peer_port": d.ports.base + portProxyPeer,
	}
}

// probePort returns the port to which other balancers send probes.
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
	// Every packet between two balancers passes one link, forward or back, so the faults apply to it once.
	return put(ctx, d.ports.at(proxyAddress, portControl), "/faults", proxy.LinkFaults{Forward: f, Back: f})
}

// Cut cuts the traffic from one balancer to another, in this direction alone, or restores it.
func (d *Deployment) Cut(ctx context.Context, from, to *Balancer, cut bool) error {
	// Packets in this direction pass the receiver's links forward, and the sender's links back.
	toFaults, fromFaults := d.linkFaults[[2]int{to.Number, from.Number}], d.linkFaults[[2]int{from.Number, to.Number}]
	toFaults.Forward.Cut, fromFaults.Back.Cut = cut, cut
	d.linkFaults[[2]int{to.Number, from.Number}], d.linkFaults[[2]int{from.Number, to.Number}] = toFaults, fromFaults
	for _, kind := range linkKinds {
		control := d.ports.at(proxyAddress, portControl)
		if err := put(ctx, control, "/faults"+query("link", linkName(to, kind))+"&source="+from.Address.String(), toFaults); err != nil {
			return err
		}
		if err := put(ctx, control, "/faults"+query("link", linkName(from, kind))+"&source="+to.Address.String(), fromFaults); err != nil {
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

// supportsProxy reports whether the daemon accepts the settings that a proxied deployment needs.
func supportsProxy(ctx context.Context, bin string) bool {
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

// canInjectPeerFaults reports whether the run can inject faults between balancers, and records it in the report.
func (r *Run) canInjectPeerFaults(ctx context.Context) bool {
	ok := supportsProxy(ctx, r.Bin)
	if !ok {
		r.Progress.Step("the daemon does not support the setting advertise: no faults are injected between balancers")
	}
	r.Report.Figures["faults_between_balancers"] = ok
	return ok
}
