package relay

import (
	"testing"
	"time"
)

const (
	storeIdle  = time.Second            // an idle watch answers
	storePause = 200 * time.Millisecond // between the answers of a watch
	// configurationBound is within which a change must be known to every host that reaches the store or another host.
	configurationBound = 3 * time.Second
)

// storeNetwork is a network whose hosts read a store when their fleet says so.
type storeNetwork struct {
	*network
	revision uint64
	refused  map[string]bool // hosts that the store does not answer
}

func newStoreNetwork(perDataCentre int, dataCentres ...string) *storeNetwork {
	s := &storeNetwork{network: newNetwork(perDataCentre, dataCentres...), revision: 1, refused: map[string]bool{}}
	for _, h := range s.hosts {
		h.answered = s.now
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

// read plays the watch of a host: it answers at a change, after a pause, or when it has been idle for long.
func (s *storeNetwork) read(h *node) {
	age := s.now - h.answered
	h.fresh = age < h.fleet.StaleAfter()
	if h.down || !h.fleet.MustRead(h.standing(), age, true) {
		return
	}
	if h.refused = s.refused[h.self.Name]; h.refused {
		return
	}
	if age >= storeIdle || age >= storePause && h.revision < s.revision {
		h.answered, h.revision = s.now, s.revision
		h.calls++
	}
}

// calls returns the calls to the store in the next seconds, and by how many hosts.
func (s *storeNetwork) calls(d time.Duration) (calls, hosts int) {
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

// expectChangeKnown writes a change and checks that every host that is up knows it in time.
func (s *storeNetwork) expectChangeKnown(t *testing.T, when string) {
	t.Helper()
	s.revision++
	s.run(configurationBound - s.hosts[0].fleet.Interval())
	for _, h := range s.hosts {
		if !h.down && h.revision < s.revision {
			t.Errorf("%s: %s does not know a change after %v", when, h.self.Name, configurationBound)
		}
	}
}

// Guards against calls to the store that grow with the data centres, while nothing changes and while changes come without a pause.
func TestOneHostReadsForAllDataCentres(t *testing.T) {
	s := newStoreNetwork(4, "a", "b", "c", "d", "e")
	s.run(5 * time.Second)
	if calls, hosts := s.calls(20 * time.Second); hosts != 1 || calls > 21 {
		t.Errorf("idle store: %d calls by %d hosts in 20 s", calls, hosts)
	}
	for range 3 {
		s.expectChangeKnown(t, "calm")
	}
}

// Replays a change of the configuration right after the reader is lost. Guards against a fleet that waits for it: the host ends, it is
// cut off with its data centre, or the store answers the others but not it.
func TestChangeWithoutReader(t *testing.T) {
	for name, fail := range map[string]func(*storeNetwork, *node){
		"ends":                      func(_ *storeNetwork, reader *node) { reader.down = true },
		"its data centre is cut":    func(s *storeNetwork, reader *node) { s.cut = reader.self.DataCentre },
		"the store does not answer": func(s *storeNetwork, reader *node) { s.refused[reader.self.Name] = true },
		"the store answers nobody of its data centre": func(s *storeNetwork, reader *node) {
			for _, h := range s.hosts {
				if h.self.DataCentre == reader.self.DataCentre {
					s.refused[h.self.Name] = true
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoreNetwork(3, "a", "b", "c")
			s.run(5 * time.Second)
			reader := s.at(s.hosts[0].fleet.Reader(s.hosts[0].standing()).Address)
			fail(s, reader)
			s.expectChangeKnown(t, name)
			s.run(10 * time.Second)
			s.expectChangeKnown(t, name+", later")
			most := 1
			if s.cut != "" {
				most = 2 // one on each side
			}
			if calls, hosts := s.calls(20 * time.Second); hosts > most {
				t.Errorf("%d calls by %d hosts in 20 s", calls, hosts)
			}
		})
	}
}
