package relay

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	watchTimeout = time.Second            // after which an idle watch answers
	watchPause   = 200 * time.Millisecond // between the answers of a watch
	// changeDeadline is the time within which every host that reaches the store or another host must know a change.
	changeDeadline = 3 * time.Second
)

// storeNetwork is a network whose hosts read a store when their fleet requires it.
type storeNetwork struct {
	*network
	revision    directory.Revision
	unreachable map[string]bool // names of hosts that the store does not answer
}

func newStoreNetwork(perDataCentre int, dataCentres ...string) *storeNetwork {
	s := &storeNetwork{network: newNetwork(perDataCentre, dataCentres...), revision: 1, unreachable: map[string]bool{}}
	for _, h := range s.hosts {
		h.lastAnswer = s.now
	}
	return s
}

func (s *storeNetwork) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		for _, h := range s.hosts {
			s.read(h)
		}
		s.network.run(50 * time.Millisecond)
	}
}

// read simulates the watch of a host: it answers at a change, though not before watchPause, or when it was idle for
// watchTimeout.
func (s *storeNetwork) read(h *simHost) {
	age := s.now - h.lastAnswer
	h.fresh = age < h.fleet.StaleAfter()
	if h.down || !h.fleet.MustRead(h.state(), age, true) {
		return
	}
	if h.readFailed = s.unreachable[h.self.Name]; h.readFailed {
		return
	}
	if age >= watchTimeout || age >= watchPause && h.revision < s.revision {
		h.lastAnswer, h.revision = s.now, s.revision
		h.calls++
	}
}

// countCalls returns the number of calls to the store within the next d, and the number of hosts that made them.
func (s *storeNetwork) countCalls(d time.Duration) (calls, hosts int) {
	for _, h := range s.hosts {
		h.calls = 0
	}
	s.run(d)
	for _, h := range s.hosts {
		calls += h.calls
		if h.calls > 0 {
			hosts++
		}
	}
	return calls, hosts
}

// expectChangeKnown writes a change and checks that every host that is up knows it within changeDeadline.
func (s *storeNetwork) expectChangeKnown(t *testing.T, when string) {
	t.Helper()
	s.revision++
	s.run(changeDeadline - s.hosts[0].fleet.Interval())
	for _, h := range s.hosts {
		if !h.down && h.revision < s.revision {
			t.Errorf("%s: %s does not know the change after %v", when, h.self.Name, changeDeadline)
		}
	}
}

// Guards against calls to the store that grow with the number of data centres, while nothing changes and while changes
// follow each other without a pause.
func TestOneHostReadsForAllDataCentres(t *testing.T) {
	s := newStoreNetwork(4, "a", "b", "c", "d", "e")
	s.run(5 * time.Second)
	if calls, hosts := s.countCalls(20 * time.Second); hosts != 1 || calls > 21 {
		t.Errorf("idle store: %d calls by %d hosts in 20 s, want at most 21 by 1 host", calls, hosts)
	}
	for range 3 {
		s.expectChangeKnown(t, "healthy")
	}
}

// Replays a change of the configuration right after the fleet has lost its reader. Guards against a fleet that keeps
// waiting for it: the host ends, it is partitioned with its data centre, or the store answers the others but not it.
func TestChangeWithoutReader(t *testing.T) {
	for name, fail := range map[string]func(*storeNetwork, *simHost){
		"reader ends":                    func(_ *storeNetwork, reader *simHost) { reader.down = true },
		"its data centre is partitioned": func(s *storeNetwork, reader *simHost) { s.partitioned = reader.self.DataCentre },
		"the store does not answer":      func(s *storeNetwork, reader *simHost) { s.unreachable[reader.self.Name] = true },
		"the store answers nobody of its data centre": func(s *storeNetwork, reader *simHost) {
			for _, h := range s.hosts {
				if h.self.DataCentre == reader.self.DataCentre {
					s.unreachable[h.self.Name] = true
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoreNetwork(3, "a", "b", "c")
			s.run(5 * time.Second)
			reader := s.hostAt(s.hosts[0].fleet.Reader(s.hosts[0].state()).Address)
			fail(s, reader)
			s.expectChangeKnown(t, name)
			s.run(10 * time.Second)
			s.expectChangeKnown(t, name+", later")
			most := 1
			if s.partitioned != "" {
				most = 2 // one on each side of the partition
			}
			if calls, hosts := s.countCalls(20 * time.Second); hosts > most {
				t.Errorf("%d calls by %d hosts in 20 s, want 1 host, or 2 in a partition", calls, hosts)
			}
		})
	}
}
