package forward

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
)

// drawBundle draws a bundle whose services use few addresses and ports, so that later versions reuse them for other
// services.
func drawBundle(t *rapid.T, version int) *bundle.Bundle {
	addresses := rapid.Permutation([]int{1, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "target addresses")
	endpoints := rapid.Permutation([]string{"10.0.0.1:80", "10.0.0.1:81", "10.0.0.2:80", "[2001:db8::1]:80"}).Draw(t, "endpoints")
	vnis := rapid.Permutation([]int{20, 21, 22}).Draw(t, "vnis")
	var services []testService
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		s := testService{
			name: rapid.SampledFrom([]string{"a", "b", "c"}).Filter(func(n string) bool {
				for _, other := range services {
					if other.name == n {
						return false
					}
				}
				return true
			}).Draw(t, "name"),
			protocol: rapid.SampledFrom([]string{"tcp", "udp"}).Draw(t, "protocol"),
			kind:     rapid.SampledFrom([]string{"session", "short"}).Draw(t, "kind"),
			vni:      vnis[i], endpoint: endpoints[i], idempotent: rapid.Bool().Draw(t, "idempotent"),
		}
		for range rapid.IntRange(0, len(addresses)/2).Draw(t, "targets") {
			s.targets = append(s.targets, fmt.Sprintf("127.1.0.%d", addresses[0]))
			addresses = addresses[1:]
		}
		services = append(services, s)
	}
	return testBundle(t, version, services...)
}

// retireEarlierTargets adds the targets of earlier snapshots to the retired targets of s.
func retireEarlierTargets(s *Snapshot, earlier []*Snapshot) {
	for _, old := range earlier {
		for _, ss := range old.Services {
			for _, x := range ss.Table.Targets {
				s.Retired[x.ID] = RetiredTarget{Addr: x.Addr, DataPort: x.DataPort, Service: ss.Info.ID, VNI: ss.Info.VNI}
			}
		}
	}
}

// belongsToService reports whether the address is a target of the service in s, or was one earlier and is now a target of
// no service.
func belongsToService(s *Snapshot, earlier []*Snapshot, service flow.ServiceID, a netip.Addr) bool {
	if owner := s.TargetAddrs[a]; owner != nil {
		return owner.ID == service
	}
	for _, old := range earlier {
		if owner := old.TargetAddrs[a]; owner != nil && owner.ID == service {
			return true
		}
	}
	return false
}

// Guards against a packet that is exchanged between a caller of one service and a target of another, while new bundles
// reuse addresses, ports and VNIs and packets of flows from earlier versions arrive late.
func TestIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var earlier []*Snapshot
		s := testSnapshot(drawBundle(t, 1))
		e, _ := newTestEngine(s)
		now := time.Duration(0)
		var late []*Packet
		for step := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				next := testSnapshot(drawBundle(t, step+2))
				earlier = append(earlier, s)
				retireEarlierTargets(next, earlier)
				e.ReconcileExceptions(s, next)
				s = next
				e.Publish(s)
				continue
			case 1, 2, 3:
				if len(late) > 0 {
					p := rapid.SampledFrom(late).Draw(t, "late packet")
					checkAnswer(t, e, s, earlier, now, p)
				}
				continue
			case 4:
				e.Sweep(now, nil)
				continue
			}
			p := drawPacket(t)
			late = append(late, p)
			switch rapid.IntRange(0, 3).Draw(t, "way") {
			case 0:
				installArbitrary(t, e, s, now, p)
			case 1:
				info := PeerInfo{
					Version: rapid.Uint64Range(0, 60).Draw(t, "version"), Hops: uint8(rapid.IntRange(1, 3).Draw(t, "hops")),
					Direction: ToTarget, VNI: rapid.Uint32Range(19, 23).Draw(t, "vni"),
				}
				checkDelivery(t, s, earlier, p, e.FromPeer(now, p, peerAddr.Addr(), info))
				continue
			}
			checkDelivery(t, s, earlier, p, e.FromCaller(now, p))
		}
	})
}

func drawPacket(t *rapid.T) *Packet {
	p := tcp(rapid.SampledFrom([]TCPFlags{SYN, ACK, ACK, FIN | ACK, RST}).Draw(t, "flags"), rapid.Uint32Range(0, 9).Draw(t, "seq"), 5, 1)
	p.Protocol = rapid.SampledFrom([]flow.Protocol{flow.TCP, flow.UDP}).Draw(t, "protocol")
	p.Source = netip.AddrPortFrom(caller.Addr(), uint16(rapid.IntRange(1, 5).Draw(t, "caller port")))
	p.Destination = netip.MustParseAddrPort(rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.1:81", "10.0.0.2:80"}).Draw(t, "endpoint"))
	if p.Protocol == flow.UDP {
		p.Flags = 0
	}
	return p
}

// installArbitrary installs exceptions with targets of any service, as a faulty peer might send them.
func installArbitrary(t *rapid.T, e *Engine, s *Snapshot, now time.Duration, p *Packet) {
	endpoint := s.Bundle.Endpoint(bundle.EndpointAddr{Protocol: p.Protocol, Addr: p.Destination})
	if endpoint == nil {
		return
	}
	k := flow.NewKey(p.Source, endpoint.ID)
	for _, info := range s.Bundle.ServiceInfos() {
		for _, x := range s.Services[info.ID].Table.Targets {
			if rapid.Bool().Draw(t, "install") {
				e.Install(now, bucketOf(&k), []Exception{{Key: k, Target: x.ID}})
			}
		}
	}
}

// checkDelivery fails the test if a packet is delivered to a target of another service than its endpoint's.
func checkDelivery(t *rapid.T, s *Snapshot, earlier []*Snapshot, p *Packet, d Decision) {
	if d.Action != ForwardTarget {
		return
	}
	endpoint := s.Bundle.Endpoint(bundle.EndpointAddr{Protocol: p.Protocol, Addr: p.Destination})
	if endpoint == nil || !belongsToService(s, earlier, endpoint.Service.ID, d.Addr().Addr()) {
		t.Fatalf("packet to %v delivered to %v with VNI %d, a target of another service", p.Destination, d.Addr(), d.VNI)
	}
}

// checkAnswer lets a drawn target answer a packet, which may be of a flow from an earlier version.
func checkAnswer(t *rapid.T, e *Engine, s *Snapshot, earlier []*Snapshot, now time.Duration, p *Packet) {
	source := netip.MustParseAddr(fmt.Sprintf("127.1.0.%d", rapid.IntRange(1, 9).Draw(t, "answering target")))
	vni := rapid.Uint32Range(19, 23).Draw(t, "vni")
	d := e.FromTarget(now, answer(p, ACK), source, vni)
	if d.Action != SendCaller {
		return
	}
	endpoint := s.Bundle.Endpoint(bundle.EndpointAddr{Protocol: p.Protocol, Addr: p.Destination})
	if endpoint == nil || !belongsToService(s, earlier, endpoint.Service.ID, source) {
		t.Fatalf("answer of %v with VNI %d accepted for endpoint %v of another service", source, vni, p.Destination)
	}
}
