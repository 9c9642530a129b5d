package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// network plays reports and replies between fleets without loss. Hosts that are down, or on the other side of a cut, do not
// answer.
type network struct {
	hosts []*node
	seeds []netip.AddrPort
	cut   string // data centre that is cut off from the others
	now   time.Duration
	asked int
	// remoteChanges counts replies with changes to another data centre.
	remoteChanges int
}

type node struct {
	fleet    *Fleet
	self     Host
	fresh    bool
	revision uint64 // up to which it knows the store, 0 for nothing
	down     bool
	loads    []directory.Load
	// answered is when the store gave the last answer that the host knows of, in tests with a store; 0 in others.
	answered time.Duration
	calls    int  // to the store
	refused  bool // by the store, at the last call
}

func newNetwork(perDataCentre int, dataCentres ...string) *network {
	n := &network{now: time.Second}
	for d, dc := range dataCentres {
		for i := range perDataCentre {
			h := Host{Name: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Weight: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), byte(i + 1)}), 1)}
			if i == 0 && len(n.seeds) < 3 {
				n.seeds = append(n.seeds, h.Address)
			}
			n.hosts = append(n.hosts, &node{self: h, fresh: true, revision: 1})
		}
	}
	for _, h := range n.hosts {
		h.fleet = NewFleet(h.self, n.seeds)
	}
	return n
}

// restart ends a host and starts it again, without the store.
func (n *network) restart(h *node) {
	h.fleet, h.fresh, h.revision, h.down = NewFleet(h.self, n.seeds), false, 0, false
}

func (n *network) reaches(from, to *node) bool {
	return to != nil && !to.down && (from.self.DataCentre == n.cut) == (to.self.DataCentre == n.cut)
}

func (n *network) at(address netip.AddrPort) *node {
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
				n.turn(h)
			}
		}
	}
}

func (h *node) standing() HostState {
	return HostState{Fresh: h.fresh, Revision: h.revision, ReadFailed: h.refused}
}

func (h *node) freshness(now time.Duration) Freshness {
	f := Freshness{Known: h.revision > 0, Age: 100 * time.Millisecond, Revision: h.revision, ReadFailed: h.refused}
	switch {
	case h.answered > 0:
		f.Age = now - h.answered
	case !h.fresh:
		f.Age = time.Minute
	}
	return f
}

func (n *network) turn(h *node) {
	for _, to := range h.fleet.DueReports(h.standing(), n.now) {
		n.asked++
		peer := n.at(to)
		if !n.reaches(h, peer) {
			h.fleet.HandleFailure(to, n.now)
			continue
		}
		report := &Report{Host: h.self, Freshness: h.freshness(n.now), WantsChanges: h.fleet.WantsChanges(to, h.standing(), n.now)}
		report.Loads, report.WholeDataCentre = h.fleet.ReportLoads(to, h.loads, n.now)
		peer.fleet.HandleReport(report, n.now)
		h.fleet.HandleReply(&Reply{
			Host: peer.self, Freshness: peer.freshness(n.now), Hosts: peer.fleet.Candidates(h.self.Name, h.self.DataCentre, n.now), HostCount: peer.fleet.HostCount(),
			Loads: peer.fleet.ReplyLoads(h.self.Name, h.self.DataCentre, peer.loads, n.now),
		}, n.now)
		if report.WantsChanges && peer.revision > h.revision {
			h.revision = peer.revision
			if peer.self.DataCentre != h.self.DataCentre {
				n.remoteChanges++
			}
		}
		if h.answered > 0 && peer.revision <= h.revision {
			h.answered = max(h.answered, peer.answered)
		}
	}
}

// relays returns the hosts that take themselves for the relay of their data centre.
func (n *network) relays() map[string]int {
	out := map[string]int{}
	for _, h := range n.hosts {
		if r, _ := h.fleet.Relay(h.self.DataCentre, h.standing()); !h.down && r.Name == h.self.Name {
			out[h.self.DataCentre]++
		}
	}
	return out
}

// relayOf returns the relay of a data centre as a living host that is not the relay sees it.
func (n *network) relayOf(dataCentre string) Host {
	for _, h := range n.hosts {
		if r, _ := h.fleet.Relay(dataCentre, h.standing()); !h.down && h.self.DataCentre == dataCentre && r.Name != h.self.Name {
			return r
		}
	}
	return Host{}
}

func (n *network) expectOneRelayEach(t *testing.T, when string) {
	t.Helper()
	for dc, count := range n.relays() {
		if count != 1 {
			t.Errorf("%s: %d relays in %s", when, count, dc)
		}
	}
	if len(n.relays()) != 3 {
		t.Errorf("%s: relays %v", when, n.relays())
	}
}
