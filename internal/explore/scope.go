// Package explore is a model checker for the coordination of balancers. It explores a small scope exhaustively: three
// balancers, two bundle versions and two flows. It runs the real decision packages ownership, forward and bundle over a
// simulated network and checks a set of rules after every step.
//
// The state of the decision packages cannot be cloned, so a state is reached by replaying its steps from the start. The
// search is breadth-first and does not expand a state whose fingerprint it has seen. The fingerprint covers the observable
// state of the balancers, the messages and the time, but not every timer inside the decision packages: states that differ
// only in such a timer count as one.
package explore

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/placement"
)

const (
	hostCount  = 3
	dataCentre = "dc"
	keyName    = "key"
)

// Indexes of the flows in scope.flows.
const (
	datagramFlow = iota // UDP flow of the non-idempotent service claims
	sessionFlow         // TCP connection of the service rounds
	flowCount
)

var flowNames = [flowCount]string{"claims", "rounds"}

// scope holds the constant data that all runs share.
type scope struct {
	keys      bundle.Keyring
	wallTime  time.Time
	envelopes [2][]byte         // versions 1 and 2
	bundles   [2]*bundle.Bundle // as evaluated in order, starting without a bundle
	ids       [hostCount]membership.HostID
	addrs     [hostCount]netip.AddrPort
	flows     [flowCount]scopeFlow
	targets   map[netip.Addr]scopeTarget
}

type scopeFlow struct {
	packet forward.Packet
	key    flow.Key
	bucket ownership.Bucket
}

type scopeTarget struct {
	name, service string
	vni           uint32
}

const bundleTemplate = `version: %d
services:
- {name: claims, vni: 21, protocol: udp, endpoints: ["10.0.0.1:80"], class: urgent, kind: short, idempotent: false,
   targets: [{address: 127.1.0.1, data_centre: dc, drain: %t}, {address: 127.1.0.2, data_centre: dc}]}
- {name: rounds, vni: 20, protocol: tcp, endpoints: ["10.0.0.1:80"], class: urgent, kind: session, idempotent: false,
   targets: [{address: 127.2.0.1, data_centre: dc}, {address: 127.2.0.2, data_centre: dc}]}
`

func newScope() (*scope, error) {
	seed := make([]byte, ed25519.SeedSize)
	private := ed25519.NewKeyFromSeed(seed)
	public := private.Public().(ed25519.PublicKey)
	key, err := bundle.NewKey(keyName, base64.StdEncoding.EncodeToString(public), time.Time{}, time.Time{})
	if err != nil {
		return nil, err
	}
	sc := &scope{wallTime: time.Unix(1_700_000_000, 0), targets: make(map[netip.Addr]scopeTarget)}
	if sc.keys, err = bundle.NewKeyring(key); err != nil {
		return nil, err
	}
	var current *bundle.Bundle
	for i := range sc.envelopes {
		// The default target of the datagrams drains in version 2.
		text := fmt.Sprintf(bundleTemplate, i+1, i == 1)
		if sc.envelopes[i], err = bundle.Sign([]byte(text), keyName, private); err != nil {
			return nil, err
		}
		v := bundle.Evaluate(current, sc.envelopes[i], sc.keys, sc.wallTime)
		if v.Outcome != bundle.Accepted {
			return nil, v.Err
		}
		sc.bundles[i], current = v.Bundle, v.Bundle
	}
	for _, info := range current.ServiceInfos() {
		for _, t := range info.Resolved {
			sc.targets[t.Addr] = scopeTarget{name: t.Addr.String(), service: info.Name, vni: info.VNI}
		}
	}
	for i := range hostCount {
		sc.ids[i] = membership.NewHostID(hostName(i))
		sc.addrs[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i + 1)}), 6081)
	}
	sc.chooseFlows()
	return sc, nil
}

func hostName(i int) string { return string(rune('A' + i)) }

// chooseFlows selects for each flow the first caller port for which host A is the owner, host B is the backup, and the default
// target is the first one of the service. Host A places the connection on the second target, so that it is an exception.
func (sc *scope) chooseFlows() {
	m := ownership.Build(sc.ids[:])
	for i, protocol := range [flowCount]flow.Protocol{flow.UDP, flow.TCP} {
		endpoint := netip.MustParseAddrPort("10.0.0.1:80")
		ep := sc.bundles[0].Endpoint(bundle.EndpointAddr{Protocol: protocol, Addr: endpoint})
		table := placement.NewTable(ep.Service, dataCentre)
		for port := uint16(10000); ; port++ {
			caller := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.7"), port)
			key := flow.NewKey(caller, ep.ID)
			b := ownership.BucketOf(key.Hash())
			if m.Owner(b) == sc.ids[0] && m.Backup(b) == sc.ids[1] && table.Default(key.Hash()) == 0 {
				sc.flows[i] = scopeFlow{
					packet: forward.Packet{Source: caller, Destination: endpoint, Protocol: protocol, Payload: 10},
					key:    key, bucket: b,
				}
				break
			}
		}
	}
}

// hostIndex returns the index of the host with the ID, or -1.
func (sc *scope) hostIndex(id membership.HostID) int {
	for i := range sc.ids {
		if sc.ids[i] == id {
			return i
		}
	}
	return -1
}

// hostIndexByAddr returns the index of the host with the data address, or -1.
func (sc *scope) hostIndexByAddr(addr netip.Addr) int {
	for i := range sc.addrs {
		if sc.addrs[i].Addr() == addr {
			return i
		}
	}
	return -1
}

// pinned is a strategy that selects a fixed target if it is eligible. Real strategies select a target other than the default
// under load.
type pinned int

// Pick implements placement.Strategy.
func (p pinned) Pick(_ uint64, _ *placement.Table, v placement.View) int {
	if v.Eligible(int(p)) {
		return int(p)
	}
	return -1
}
