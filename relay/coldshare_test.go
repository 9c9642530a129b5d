package relay

import (
	"testing"
	"time"
)

// coldNetwork is a network in which each host updates its share of the cold targets.
type coldNetwork struct {
	*network
	shares map[*simHost]*ColdShare
	hosts  map[*simHost]int // that share, as each host knows; absent if it has no share
}

// run runs the network and fails if a host with a share counts fewer hosts than have one in its data centre. It returns how many hosts
// of data centre a have a share at the end.
func (n *coldNetwork) run(t *testing.T, when string, d time.Duration) int {
	t.Helper()
	for end := n.now + d; n.now < end; {
		n.network.run(50 * time.Millisecond)
		sharing := map[string]int{}
		for _, h := range n.network.hosts {
			delete(n.hosts, h)
			if h.down {
				continue
			}
			if hosts := n.shares[h].Update(h.fleet, n.now); hosts > 0 {
				n.hosts[h] = hosts
				sharing[h.self.DataCentre]++
			}
		}
		for h, hosts := range n.hosts {
			if hosts < sharing[h.self.DataCentre] {
				t.Fatalf("%s: %s counts %d hosts at %v, but %d share the targets", when, h.self.Name, hosts, n.now, sharing[h.self.DataCentre])
			}
		}
	}
	sharing := 0
	for h := range n.hosts {
		if h.self.DataCentre == "a" {
			sharing++
		}
	}
	return sharing
}

// restart restarts a host.
func (n *coldNetwork) restart(h *simHost) {
	n.network.restart(h)
	n.shares[h] = &ColdShare{}
}

func newColdNetwork(perDataCentre int) *coldNetwork {
	n := &coldNetwork{newNetwork(perDataCentre, "a", "b", "c"), map[*simHost]*ColdShare{}, map[*simHost]int{}}
	for _, h := range n.network.hosts {
		n.shares[h] = &ColdShare{}
	}
	return n
}

// Guards against hosts that together send more opening packets to a cold target than it can handle, because some count fewer hosts than
// there are, and against hosts that never send any: at the start, when hosts join, restart, are paused, and in a partition.
func TestColdShare(t *testing.T) {
	for _, perDataCentre := range []int{2, 22, 40} {
		n := newColdNetwork(perDataCentre)
		hosts, joining := n.network.hosts[:perDataCentre], n.network.hosts[perDataCentre/2:perDataCentre]
		for _, h := range joining {
			h.down = true
		}
		expect := func(when string, d time.Duration, want int) {
			t.Helper()
			if got := n.run(t, when, d); got != want {
				t.Errorf("%s: %d of %d hosts have a share, want %d", when, got, perDataCentre, want)
			}
		}
		few := 0 // a single host cannot tell whether the others are only cut off
		if perDataCentre > 2 {
			few = perDataCentre / 2
		}
		n.run(t, "start of half of the hosts", 8*time.Second)
		hosts[0].down = true // paused, while the others become more
		n.run(t, "pause of a host", 2*time.Second)
		for _, h := range joining {
			n.restart(h)
		}
		n.run(t, "the other half joins", 12*time.Second)
		hosts[0].down = false
		expect("end of the pause of a host", 8*time.Second, perDataCentre)
		n.partitioned = "a"
		expect("partition", 8*time.Second, perDataCentre)
		for _, h := range hosts {
			n.restart(h)
		}
		n.run(t, "restart of all hosts in a partition", 8*time.Second)
		n.partitioned = ""
		expect("end of the partition", 15*time.Second, perDataCentre)
		for _, h := range n.network.hosts {
			n.restart(h)
		}
		if got := n.run(t, "restart of all hosts", settlingTime-50*time.Millisecond); got > 0 {
			t.Errorf("%d hosts have a share just after the restart of all", got)
		}
		expect("after the restart of all hosts", 7*time.Second, perDataCentre)
		for _, h := range joining {
			h.down = true // for longer than the others remember how many they were
		}
		expect("pause of half of the hosts", 20*time.Second, few)
		for _, h := range joining {
			h.down = false
		}
		expect("end of the pause", 12*time.Second, perDataCentre)
	}
}

// Guards against a host without others that never uses cold targets, and against one that is cut off from its data centre and takes itself
// for the only one.
func TestColdShareOfSingleHost(t *testing.T) {
	n := newNetwork(1, "a")
	single, cutOff := NewFleet(n.hosts[0].self, n.seeds), NewFleet(n.hosts[0].self, newNetwork(1, "a", "b").seeds)
	var s, c ColdShare
	for now := time.Second; now < 6*time.Second; now += baseInterval {
		s.Update(single, now)
		c.Update(cutOff, now)
	}
	if got := s.Update(single, 6*time.Second); got != 1 {
		t.Errorf("the only host shares with %d, want 1", got)
	}
	if got := c.Update(cutOff, 6*time.Second); got != 0 {
		t.Errorf("a host that has reached no seed shares with %d, want no share", got)
	}
}

// Guards against a count that drops as soon as hosts fall silent: they may be cut off from this one and still send.
func TestColdShareAfterLossOfHosts(t *testing.T) {
	n := newNetwork(4, "a")
	f, s := n.hosts[0].fleet, ColdShare{}
	shareAt := func(end time.Duration, reporting ...*simHost) int {
		for n.now < end {
			n.now += baseInterval
			for _, h := range reporting {
				f.HandleReport(&Report{Host: h.self}, n.now)
			}
			f.DueReports(n.hosts[0].state(), n.now)
			s.Update(f, n.now)
		}
		return s.Update(f, n.now)
	}
	shareAt(5*time.Second, n.hosts[1:]...)
	if got := shareAt(12*time.Second, n.hosts[1]); got != 4 {
		t.Errorf("7 s after two of 4 hosts fell silent: shares with %d, want 4", got)
	}
	if got := shareAt(25*time.Second, n.hosts[1]); got != 2 {
		t.Errorf("20 s after two of 4 hosts fell silent: shares with %d, want 2", got)
	}
}
