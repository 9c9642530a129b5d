package relay

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against calls to the store that grow with the fleet, and against a data centre without a relay after its relay
// ends, no longer knows the store, or all seeds are lost.
func TestOneRelayInEachDataCentre(t *testing.T) {
	n := newNetwork(30, "a", "b", "c")
	n.run(3 * time.Second)
	n.expectOneRelayEach(t, "after the start")

	first := n.relayOf("a")
	n.hostAt(first.Address).down = true
	n.run(3 * time.Second)
	n.expectOneRelayEach(t, "after the end of a relay")
	second := n.relayOf("a")
	if second.Name == first.Name {
		t.Error("a host that has ended is still the relay")
	}

	n.hostAt(second.Address).fresh = false
	n.run(3 * time.Second)
	if third := n.relayOf("a"); third.Name == second.Name {
		t.Error("a host whose knowledge of the store is stale is still the relay")
	}

	for i := range 3 {
		n.hosts[i*30].down = true
	}
	n.run(4 * time.Second)
	n.expectOneRelayEach(t, "after the loss of all seeds")
}

// Guards against a host that was paused, considers all others lost, and never finds them again because its seeds are gone.
func TestFindsOthersAfterPauseWithoutSeeds(t *testing.T) {
	n := newNetwork(4, "a", "b", "c")
	n.run(3 * time.Second)
	for i := range 3 {
		n.hosts[i*4].down = true
	}
	n.run(5 * time.Second)
	paused := n.hosts[5]
	paused.down = true
	n.run(8 * time.Second)
	paused.down = false
	n.run(8 * time.Second)
	if got := len(paused.fleet.Members(n.now)); got == 0 {
		t.Error("the resumed host knows no other host")
	}
	n.expectOneRelayEach(t, "after the pause")
}

// Replays a partitioned data centre whose hosts restart in turn. Guards against hosts that drop every packet until the
// partition ends: a host that starts reaches no seed other than itself, or only one that knows nothing either.
func TestRestartedHostsLearnDuringPartition(t *testing.T) {
	for survivorIndex := range 3 {
		n := newNetwork(3, "a", "b", "c")
		n.run(3 * time.Second)
		n.partitioned = "c"
		survivor := n.hosts[6+survivorIndex]
		for _, h := range n.hosts[6:] {
			h.fresh = false
		}
		n.run(3 * time.Second)
		for _, h := range n.hosts[6:] {
			if h == survivor {
				continue
			}
			h.down = true
			n.run(700 * time.Millisecond)
			n.restart(h)
			n.run(2 * time.Second)
			if h.revision == 0 {
				t.Errorf("%s did not restart: %s still knows nothing 2 s after its start", survivor.self.Name, h.self.Name)
			}
		}
	}
}

// Replays a partitioned data centre in which all hosts but one restart. Guards against hosts that wait long because the
// remaining host reports to them one by one, or forgets them in favour of the hosts that it lost beyond the partition.
func TestMassRestartDuringPartition(t *testing.T) {
	n := newNetwork(20, "a", "b", "c")
	n.run(3 * time.Second)
	n.partitioned = "c"
	restarted := n.hosts[40:59]
	n.hosts[59].fresh = false
	n.run(4 * time.Second)
	for _, h := range restarted {
		h.down = true
	}
	n.run(4 * time.Second)
	for _, h := range restarted {
		n.restart(h)
	}
	n.run(3 * time.Second)
	for _, h := range restarted {
		if h.revision == 0 {
			t.Errorf("%s still knows nothing 3 s after its start", h.self.Name)
		}
	}
}

// Replays a partitioned data centre in which all hosts but one are killed, and the first to restart becomes the relay.
// Guards against a host that restarts after it and gets no reports: the relay has never seen it, and the remaining host
// is no longer the relay. The relay may have been told the right number of hosts, and know fewer. TestExplore in internal/direct replays
// the sequences of events that showed this.
func TestSurvivorReportsToMissingHosts(t *testing.T) {
	host := func(n int, weight float64) Host {
		return Host{
			Name: fmt.Sprintf("a-%d", n), DataCentre: "a", Weight: weight,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1),
		}
	}
	for count, want := range map[int]bool{2: true, 3: false} {
		f, known := NewFleet(host(1, 1), nil), Freshness{Known: true, Revision: 7}
		for _, h := range []Host{host(2, 1), host(3, 4)} {
			f.HandleReport(&Report{Host: h, Freshness: known}, time.Second)
		}
		now, reported := time.Second, false
		for ; now < 4*time.Second; now += baseInterval {
			f.HandleReply(&Reply{Host: host(3, 4), Freshness: known, HostCount: 3, KnownHosts: count}, now)
			for _, to := range f.DueReports(HostState{Revision: 7}, now) {
				reported = reported || to == host(2, 1).Address
			}
		}
		if reported != want {
			t.Errorf("the relay knows %d of 3 hosts: the missing one gets a report %t", count, reported)
		}
	}
}

// Replays the start of 300 hosts within 0.3 s after a power outage, with one host of each data centre that has read the store
// 0.2 s after its start. Guards against hosts that drop packets for a second more because they report at the usual interval.
func TestSimultaneousStartLearnsQuickly(t *testing.T) {
	n := newNetwork(60, "a", "b", "c", "d", "e")
	for i, h := range n.hosts {
		if i%60 == 1 {
			h.self.Weight = 4
		}
		n.restart(h)
		h.down = true
	}
	for step := range 6 {
		for i, h := range n.hosts {
			if i%6 == step {
				h.down = false
			}
		}
		n.run(50 * time.Millisecond)
	}
	for i := 1; i < len(n.hosts); i += 60 {
		n.hosts[i].fresh, n.hosts[i].revision = true, 9
	}
	n.run(400 * time.Millisecond)
	late := 0
	for _, h := range n.hosts {
		if h.revision == 0 {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d hosts know nothing 0.4 s after the first ones have read the store, want 0", late, len(n.hosts))
	}
}

// Replays a seed that was down when its data centre started and comes back during a partition. Guards against a seed
// that knows no other host and gets no reports.
func TestUnknownSeedGetsReports(t *testing.T) {
	n := newNetwork(3, "a", "b", "c")
	seed := n.hosts[6]
	seed.down = true
	n.run(5 * time.Second)
	n.partitioned = "c"
	for _, h := range n.hosts[6:] {
		h.fresh = false
	}
	n.run(2 * time.Second)
	n.restart(seed)
	n.run(2 * time.Second)
	if seed.revision == 0 {
		t.Error("the seed still knows nothing 2 s after its restart")
	}
}

// Guards against reports whose number per host grows with the fleet. The interval is 15 ms times the hosts of the data
// centre, and at least 200 ms, so a relay gets at most 67 reports per second.
func TestReportsStayBounded(t *testing.T) {
	for _, hosts := range []int{3, 30, 118} {
		n := newNetwork(hosts, "a", "b", "c")
		n.run(4 * time.Second)
		n.reports = 0
		const seconds = 40 // many intervals, so that their phase at the start and end does not matter
		n.run(seconds * time.Second)
		// 67 reports per second to each relay, and those between relays.
		if most := seconds * 3 * (67 + 5); n.reports > most {
			t.Errorf("%d hosts in a data centre: %d reports in %d s, want at most %d", hosts, n.reports, seconds, most)
		}
	}
}

// Guards against a load that is counted twice or lost on its way over two relays.
func TestLoadsAreSummedOnce(t *testing.T) {
	n := newNetwork(4, "a", "b", "c")
	for _, h := range n.hosts {
		h.loads = []directory.Load{{Token: 7, Pending: 1, Open: 2}}
	}
	n.run(6 * time.Second)
	for _, h := range n.hosts {
		others := h.fleet.PeerLoads(n.now).Targets
		if len(others) != 1 || others[0].Pending != 11 || others[0].Open != 22 {
			t.Errorf("%s: the peer loads are %v, want 11 pending and 22 open", h.self.Name, others)
		}
	}
}

// Replays an overload of 200 targets of two services, more than a message names. Guards against targets that look idle because
// a message has no room for them, and against a rest that is lost or counted twice on its way over two relays.
func TestLoadsOfUnnamedTargetsAreSummed(t *testing.T) {
	n := newNetwork(4, "a", "b", "c")
	const targets = 200
	serviceOf := func(token directory.Token) string { return [...]string{"ingest", "archive"}[token%2] }
	for _, h := range n.hosts {
		h.fleet.SetServices(serviceOf)
		for token := range directory.Token(targets) {
			h.loads = append(h.loads, directory.Load{Token: token, Pending: 1 + uint16(token%2)})
		}
	}
	n.run(6 * time.Second)
	others := len(n.hosts) - 1
	want := map[string]int{"ingest": others * targets / 2, "archive": others * targets}
	for _, h := range n.hosts {
		loads, got := h.fleet.PeerLoads(n.now), map[string]int{}
		for _, l := range loads.Targets {
			got[serviceOf(l.Token)] += int(l.Pending)
		}
		for _, l := range loads.Rest {
			got[l.Service] += int(l.Pending)
		}
		if len(loads.Targets) > maxLoads || !maps.Equal(got, want) {
			t.Errorf("%s: %d targets, pending by service %v, want at most maxLoads and %v", h.self.Name, len(loads.Targets), got, want)
		}
	}
}

// Guards against a relay that is one of the slowest hosts of its data centre and must read the store for the others.
func TestHeavierHostIsRelay(t *testing.T) {
	n := newNetwork(5, "a", "b", "c")
	n.hosts[3].self.Weight = 4
	n.hosts[3].fleet = NewFleet(n.hosts[3].self, n.hosts[0].fleet.seeds)
	n.run(3 * time.Second)
	if r, _ := n.hosts[1].fleet.Relay("a", HostState{Fresh: true, Revision: 1}); r.Name != n.hosts[3].self.Name {
		t.Errorf("the relay is %s, want the host with the most weight", r.Name)
	}
}

// Guards against messages that grow with the number of targets: only those with pending requests matter for placement.
func TestLoadsAreBounded(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1}, nil)
	f.DueReports(HostState{Fresh: true, Revision: 1}, time.Second)
	var own []directory.Load
	for i := range 5000 {
		own = append(own, directory.Load{Token: directory.Token(i + 1), Pending: uint16(i % 100), Open: 9, Suspect: i == 0})
	}
	got := f.ReplyLoads("other", "a", own, time.Second).Targets
	if len(got) != maxLoads || !got[0].Suspect || got[1].Pending != 99 {
		t.Errorf("%d loads, the second with %d pending, want maxLoads, the suspect target first, and 99", len(got), got[1].Pending)
	}
	report, _ := f.ReportLoads(netip.MustParseAddrPort("127.0.0.1:1"), own[:101], time.Second)
	for _, l := range report.Targets {
		if l.Pending == 0 && !l.Suspect {
			t.Errorf("an idle target is reported: %+v", l)
		}
	}
}

// Replays changes of the store that every relay reads. Guards against changes that are also sent between data centres,
// which costs money, and against hosts that fall behind because they request none: in a data centre that the store does
// not answer, and in one whose watch misses a change.
func TestChangesStayInTheDataCentre(t *testing.T) {
	n := newNetwork(6, "a", "b", "c")
	n.run(5 * time.Second)
	revision := directory.Revision(1)
	step := func(behind string) {
		revision++
		relays := map[string]string{}
		for _, h := range n.hosts {
			r, _ := h.fleet.Relay(h.self.DataCentre, h.state())
			relays[h.self.DataCentre] = r.Name
		}
		for _, h := range n.hosts {
			if h.self.DataCentre != behind && relays[h.self.DataCentre] == h.self.Name {
				h.revision = revision
			}
		}
		n.run(n.hosts[0].fleet.Interval())
	}
	n.remoteChanges = 0
	for range 30 {
		step("")
	}
	if n.remoteChanges > 0 {
		t.Errorf("%d replies with changes to other data centres, want 0", n.remoteChanges)
	}
	for range 30 {
		step("c")
	}
	n.run(2 * time.Second)
	for _, h := range n.hosts {
		if h.revision != revision {
			t.Errorf("%s knows revision %d, want %d as in the store", h.self.Name, h.revision, revision)
		}
	}
}

// Guards against a host that starts and requests everything from several hosts at once.
func TestStartingHostSyncsFromOneHost(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1}, nil)
	first, second := netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1")
	if !f.WantsChanges(first, HostState{}, time.Second) || f.WantsChanges(second, HostState{}, time.Second) {
		t.Error("everything is requested from no host or from two hosts at once")
	}
	f.HandleFailure(first, time.Second)
	if !f.WantsChanges(second, HostState{}, time.Second) || f.WantsChanges(first, HostState{}, time.Second+initialSyncTimeout/2) {
		t.Error("after a failure everything is requested from no other host, or from two")
	}
	if !f.WantsChanges(first, HostState{}, time.Second+initialSyncTimeout) {
		t.Error("a host that did not answer within initialSyncTimeout is still waited for")
	}
	// The relay of the data centre reports itself while a seed beyond a partition does not answer.
	relay := Host{Name: "relay", DataCentre: "a", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.4:1")}
	f.HandleReport(&Report{Host: relay, Freshness: Freshness{Known: true, Revision: 7}}, time.Second+initialSyncTimeout)
	if !f.WantsChanges(relay.Address, HostState{}, time.Second+initialSyncTimeout) {
		t.Error("everything is not requested from the local relay while the reply of another host is due")
	}
}

// A relay has restarted and knows only the copy from which the store was restored. Guards against a relay that does not learn of the
// configuration and the records that the store has lost from a host that reports to it, and distributes the earlier ones.
func TestRelayAsksForWhatIsLost(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 9}, nil)
	own := HostState{Fresh: true, Revision: 1<<48 + 5, Version: 3}
	other := Host{Name: "other", DataCentre: "b", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.4:1")}
	local := Host{Name: "local", DataCentre: "a", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.5:1")}
	f.HandleReport(&Report{Host: other, Freshness: Freshness{Known: true, Revision: 1 << 47, Version: 3}}, time.Second)
	f.HandleReport(&Report{Host: local, Freshness: Freshness{Known: true, Revision: own.Revision, Version: 3}}, time.Second)
	if due := f.DueReports(own, time.Second); slices.Contains(due, local.Address) || f.WantsChanges(other.Address, own, time.Second) {
		t.Errorf("reports are due to %v, want none for the sake of a version that is known", due)
	}
	for i, known := range []Freshness{
		{Known: true, Revision: own.Revision, Version: 4},
		{Known: true, Revision: own.Revision, Version: 3, KeepsLost: true},
	} {
		now := time.Duration(i+2) * time.Second
		for _, h := range []Host{local, other} {
			f.HandleReport(&Report{Host: h, Freshness: known}, now)
		}
		if due := f.DueReports(own, now); !slices.Contains(due, local.Address) || !f.WantsChanges(other.Address, own, now) {
			t.Errorf("%+v: reports are due to %v, want one to the host that knows more, with a request for changes", known, due)
		}
	}
	own.KeepsLost = true
	if due := f.DueReports(own, 3*time.Second+remoteInterval); slices.Contains(due, local.Address) {
		t.Errorf("reports are due to %v, want none to a host that keeps no more", due)
	}
}

// A data centre is cut off from the store, and one of its hosts knows that it was restored from a copy. Guards against a relay of the
// earlier era, whose number is higher: the others would not learn of the restore from each other.
func TestRelayOfLaterEraLeads(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1}, nil)
	for i, revision := range []directory.Revision{1<<48 - 1, 1<<48 + 5} {
		h := Host{Name: fmt.Sprint("h-", i), DataCentre: "a", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.4:1")}
		f.HandleReport(&Report{Host: h, Freshness: Freshness{Known: true, Revision: revision, Age: time.Minute}}, time.Second)
	}
	if r, _ := f.Relay("a", HostState{Revision: 7}); r.Name != "h-1" {
		t.Errorf("%s is the relay, want the host that knows the later era", r.Name)
	}
}
