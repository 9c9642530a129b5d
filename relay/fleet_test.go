package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against calls to the store that grow with the fleet, and against a data centre that is left without a relay when
// its relay dies, stops knowing the store, or all seeds are lost.
func TestOneRelayInEachDataCentre(t *testing.T) {
	n := newNetwork(30, "a", "b", "c")
	n.run(3 * time.Second)
	n.expectOneRelayEach(t, "after the start")

	first := n.relayOf("a")
	n.at(first.Address).down = true
	n.run(3 * time.Second)
	n.expectOneRelayEach(t, "after the death of a relay")
	second := n.relayOf("a")
	if second.Name == first.Name {
		t.Error("a dead host is the relay")
	}

	n.at(second.Address).fresh = false
	n.run(3 * time.Second)
	if third := n.relayOf("a"); third.Name == second.Name {
		t.Error("a host that does not know the store is the relay")
	}

	for i := range 3 {
		n.hosts[i*30].down = true
	}
	n.run(4 * time.Second)
	n.expectOneRelayEach(t, "after the loss of all seeds")
}

// Guards against a host that stood still, takes all others for lost, and never finds them again because its seeds are gone.
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
		t.Error("no other host is known")
	}
	n.expectOneRelayEach(t, "after the pause")
}

// Guards against a data centre that is cut off with its hosts restarting in turn: a host that starts reaches no seed but itself
// or one that knows nothing either, and would drop every packet until the cut ends.
func TestRestartedHostsOfCutDataCentreLearn(t *testing.T) {
	for restarted := range 3 {
		n := newNetwork(3, "a", "b", "c")
		n.run(3 * time.Second)
		n.cut = "c"
		survivor := n.hosts[6+restarted]
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
				t.Errorf("%s survives: %s still knows nothing 2 s after its start", survivor.self.Name, h.self.Name)
			}
		}
	}
}

// Guards against hosts of a cut-off data centre that wait for long because the survivor asks them one by one, or forgets them
// for the sake of the hosts that it lost beyond the cut.
func TestHerdRestartInCutDataCentre(t *testing.T) {
	n := newNetwork(20, "a", "b", "c")
	n.run(3 * time.Second)
	n.cut = "c"
	herd := n.hosts[40:59]
	n.hosts[59].fresh = false
	n.run(4 * time.Second)
	for _, h := range herd {
		h.down = true
	}
	n.run(4 * time.Second)
	for _, h := range herd {
		n.restart(h)
	}
	n.run(3 * time.Second)
	for _, h := range herd {
		if h.revision == 0 {
			t.Errorf("%s still knows nothing 3 s after its start", h.self.Name)
		}
	}
}

// Replays a cut-off data centre in which all hosts but one are killed, and the first that is back becomes the relay. Guards against a host
// that starts after it and is asked by nobody: the relay has never heard of it, and the survivor is no relay any more. TestExplore in
// internal/direct plays the order of events that showed it.
func TestSurvivorAsksThoughAnotherHostIsRelay(t *testing.T) {
	host := func(n int, weight float64) Host {
		return Host{Name: fmt.Sprintf("a-%d", n), DataCentre: "a", Weight: weight, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1)}
	}
	for count, want := range map[int]bool{2: true, 3: false} {
		f, known := NewFleet(host(1, 1), nil), Freshness{Known: true, Revision: 7}
		for _, h := range []Host{host(2, 1), host(3, 4)} {
			f.HandleReport(&Report{Host: h, Freshness: known}, time.Second)
		}
		now, asked := time.Second, false
		for ; now < 4*time.Second; now += baseInterval {
			f.HandleReply(&Reply{Host: host(3, 4), Freshness: known, HostCount: count}, now)
			for _, to := range f.DueReports(HostState{Revision: 7}, now) {
				asked = asked || to == host(2, 1).Address
			}
		}
		if asked != want {
			t.Errorf("the relay knows %d of 3 hosts: the missing one is asked %t", count, asked)
		}
	}
}

// Replays the return of power to a fleet of 300 hosts: they start within 0.3 s of each other, and one host of each data centre has read
// the store 0.2 s after its start. Guards against hosts that drop packets for a second more because they ask as rarely as in quiet times.
func TestFleetThatStartsAtOnceLearnsSoon(t *testing.T) {
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
		t.Errorf("%d of %d hosts know nothing 0.4 s after the first ones have read the store", late, len(n.hosts))
	}
}

// Guards against a seed that was down when its data centre started, is back in a cut, and knows nobody: nobody asks it.
func TestSeedThatWasNeverHeardOf(t *testing.T) {
	n := newNetwork(3, "a", "b", "c")
	seed := n.hosts[6]
	seed.down = true
	n.run(5 * time.Second)
	n.cut = "c"
	for _, h := range n.hosts[6:] {
		h.fresh = false
	}
	n.run(2 * time.Second)
	n.restart(seed)
	n.run(2 * time.Second)
	if seed.revision == 0 {
		t.Error("the seed still knows nothing 2 s after its start")
	}
}

// Guards against reports that cost each host more in a larger fleet: the law is one report in 15 ms times the hosts of the
// data centre, 200 ms at least, so a relay gets at most 67 a second.
func TestReportsStayBounded(t *testing.T) {
	for _, hosts := range []int{3, 30, 118} {
		n := newNetwork(hosts, "a", "b", "c")
		n.run(4 * time.Second)
		n.asked = 0
		const seconds = 40 // many rounds of reports, so that it does not matter in which part of a round they start and end
		n.run(seconds * time.Second)
		// 67 reports to each relay, and those between relays.
		if most := seconds * 3 * (67 + 5); n.asked > most {
			t.Errorf("%d hosts in a data centre: %d reports in %d s, at most %d", hosts, n.asked, seconds, most)
		}
	}
}

// Guards against a load that is counted twice or left out on its way over two relays.
func TestLoadsAddUp(t *testing.T) {
	n := newNetwork(4, "a", "b", "c")
	for _, h := range n.hosts {
		h.loads = []directory.Load{{Token: 7, Pending: 1, Open: 2}}
	}
	n.run(6 * time.Second)
	for _, h := range n.hosts {
		others := h.fleet.PeerLoads(n.now)
		if len(others) != 1 || others[0].Pending != 11 || others[0].Open != 22 {
			t.Errorf("%s: others have %v, want 11 pending and 22 open", h.self.Name, others)
		}
	}
}

// Guards against an unequal duty: the slowest hosts of a data centre must not read and relay for the others.
func TestHeavierHostIsRelay(t *testing.T) {
	n := newNetwork(5, "a", "b", "c")
	n.hosts[3].self.Weight = 4
	n.hosts[3].fleet = NewFleet(n.hosts[3].self, n.hosts[0].fleet.seeds)
	n.run(3 * time.Second)
	if r, _ := n.hosts[1].fleet.Relay("a", HostState{Fresh: true, Revision: 1}); r.Name != n.hosts[3].self.Name {
		t.Errorf("relay is %s", r.Name)
	}
}

// Guards against messages that grow with the targets of the fleet: only those with waiting requests matter for placement.
func TestLoadsAreBounded(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1}, nil)
	f.DueReports(HostState{Fresh: true, Revision: 1}, time.Second)
	var own []directory.Load
	for i := range 5000 {
		own = append(own, directory.Load{Token: directory.Token(i + 1), Pending: uint16(i % 100), Open: 9, Suspect: i == 0})
	}
	got := f.ReplyLoads("other", "a", own, time.Second)
	if len(got) != maxLoads || got[0].Pending != 99 {
		t.Errorf("%d loads, the first with %d waiting", len(got), got[0].Pending)
	}
	report, _ := f.ReportLoads(netip.MustParseAddrPort("127.0.0.1:1"), own[:101], time.Second)
	for _, l := range report {
		if l.Pending == 0 && !l.Suspect {
			t.Errorf("an idle target is told of: %+v", l)
		}
	}
}

// Replays changes of the store that every relay reads. Guards against changes that are paid for between data centres once more,
// and against hosts that fall behind because they ask nobody: a data centre that the store does not answer, and one whose
// watch misses a change.
func TestChangesStayInTheDataCentre(t *testing.T) {
	n := newNetwork(6, "a", "b", "c")
	n.run(5 * time.Second)
	revision := uint64(1)
	step := func(behind string) {
		revision++
		relays := map[string]string{}
		for _, h := range n.hosts {
			r, _ := h.fleet.Relay(h.self.DataCentre, h.standing())
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
		t.Errorf("%d replies with changes to other data centres", n.remoteChanges)
	}
	for range 30 {
		step("c")
	}
	n.run(2 * time.Second)
	for _, h := range n.hosts {
		if h.revision != revision {
			t.Errorf("%s knows revision %d, the store has %d", h.self.Name, h.revision, revision)
		}
	}
}

// Guards against a host that starts and asks several hosts at once for everything that they know.
func TestStartingHostAsksOneForEverything(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1}, nil)
	first, second := netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1")
	if !f.WantsChanges(first, HostState{}, time.Second) || f.WantsChanges(second, HostState{}, time.Second) {
		t.Error("two hosts are asked for everything at once")
	}
	f.HandleFailure(first, time.Second)
	if !f.WantsChanges(second, HostState{}, time.Second) || f.WantsChanges(first, HostState{}, time.Second+firstWait/2) {
		t.Error("no other host is asked after one has failed, or two are")
	}
	if !f.WantsChanges(first, HostState{}, time.Second+firstWait) {
		t.Error("a silent host is waited for")
	}
	// The relay of the data centre tells of itself while a seed behind a cut does not answer.
	relay := Host{Name: "relay", DataCentre: "a", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.4:1")}
	f.HandleReport(&Report{Host: relay, Freshness: Freshness{Known: true, Revision: 7}}, time.Second+firstWait)
	if !f.WantsChanges(relay.Address, HostState{}, time.Second+firstWait) {
		t.Error("the own data centre is not asked while another host's answer is due")
	}
}
