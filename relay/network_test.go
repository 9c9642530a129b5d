package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// network simulates the exchange of reports and replies between hosts without loss. Hosts that are down or beyond a
// partition do not answer.
type network struct {
	hosts       []*simHost
	seeds       []netip.AddrPort
	partitioned string // data centre that is cut off from the others
	now         time.Duration
	reports     int // number of reports sent
	// remoteChanges counts replies with changes to hosts of another data centre.
	remoteChanges int
}

type simHost struct {
	fleet    *Fleet
	self     Host
	fresh    bool
	revision directory.Revision // revision of the store that it knows, 0 for none
	down     bool
	loads    []directory.Load
	// lastAnswer is the time of the store's last answer that the host knows of, in tests with a store; 0 in others.
	lastAnswer time.Duration
	calls      int  // to the store
	readFailed bool // at the last call to the store
}

func newNetwork(perDataCentre int, dataCentres ...string) *network {
	n := &network{now: time.Second}
	for d, dc := range dataCentres {
		for i := range perDataCentre {
			h := Host{
				Name: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Weight: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), byte(i + 1)}), 1),
			}
			if i == 0 && len(n.seeds) < 3 {
				n.seeds = append(n.seeds, h.Address)
			}
			n.hosts = append(n.hosts, &simHost{self: h, fresh: true, revision: 1})
		}
	}
	for _, h := range n.hosts {
		h.fleet = NewFleet(h.self, n.seeds)
	}
	return n
}

// restart replaces a host by one that has just started and knows nothing of the store.
func (n *network) restart(h *simHost) {
	h.fleet, h.fresh, h.revision, h.down = NewFleet(h.self, n.seeds), false, 0, false
}

func (n *network) reaches(from, to *simHost) bool {
	return to != nil && !to.down && (from.self.DataCentre == n.partitioned) == (to.self.DataCentre == n.partitioned)
}

func (n *network) hostAt(address netip.AddrPort) *simHost {
	for _, h := range n.hosts {
		if h.self.Address == address {
			return h
		}
	}
	return nil
}

func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += 50 * time.Millisecond {
		for _, h := range n.hosts {
			if !h.down {
				n.step(h)
			}
		}
	}
}

func (h *simHost) state() HostState {
	return HostState{Fresh: h.fresh, Revision: h.revision, ReadFailed: h.readFailed}
}

func (h *simHost) freshness(now time.Duration) Freshness {
	f := Freshness{Known: h.revision > 0, Age: 100 * time.Millisecond, Revision: h.revision, ReadFailed: h.readFailed}
	switch {
	case h.lastAnswer > 0:
		f.Age = now - h.lastAnswer
	case !h.fresh:
		f.Age = time.Minute
	}
	return f
}

func (n *network) step(h *simHost) {
	for _, to := range h.fleet.DueReports(h.state(), n.now) {
		n.reports++
		peer := n.hostAt(to)
		if !n.reaches(h, peer) {
			h.fleet.HandleFailure(to, n.now)
			continue
		}
		report := &Report{Host: h.self, Freshness: h.freshness(n.now), WantsChanges: h.fleet.WantsChanges(to, h.state(), n.now)}
		report.Loads, report.WholeDataCentre = h.fleet.ReportLoads(to, h.loads, n.now)
		peer.fleet.HandleReport(report, n.now)
		h.fleet.HandleReply(&Reply{
			Host: peer.self, Freshness: peer.freshness(n.now),
			Hosts: peer.fleet.Candidates(h.self.Name, h.self.DataCentre, n.now), HostCount: peer.fleet.HostCount(), KnownHosts: peer.fleet.KnownHosts(),
			Loads: peer.fleet.ReplyLoads(h.self.Name, h.self.DataCentre, peer.loads, n.now),
		}, n.now)
		if report.WantsChanges && peer.revision > h.revision {
			h.revision = peer.revision
			if peer.self.DataCentre != h.self.DataCentre {
				n.remoteChanges++
			}
		}
		if h.lastAnswer > 0 && peer.revision <= h.revision {
			h.lastAnswer = max(h.lastAnswer, peer.lastAnswer)
		}
	}
}

// relays returns the number of hosts in each data centre that consider themselves its relay.
func (n *network) relays() map[string]int {
	out := map[string]int{}
	for _, h := range n.hosts {
		if r, _ := h.fleet.Relay(h.self.DataCentre, h.state()); !h.down && r.Name == h.self.Name {
			out[h.self.DataCentre]++
		}
	}
	return out
}

// relayOf returns the relay of a data centre as seen by a host there that is up and is not the relay.
func (n *network) relayOf(dataCentre string) Host {
	for _, h := range n.hosts {
		if r, _ := h.fleet.Relay(dataCentre, h.state()); !h.down && h.self.DataCentre == dataCentre && r.Name != h.self.Name {
			return r
		}
	}
	return Host{}
}

func (n *network) expectOneRelayEach(t *testing.T, when string) {
	t.Helper()
	for dc, count := range n.relays() {
		if count != 1 {
			t.Errorf("%s: %d relays in %s, want 1", when, count, dc)
		}
	}
	if len(n.relays()) != 3 {
		t.Errorf("%s: relays are %v, want one in each of 3 data centres", when, n.relays())
	}
}
