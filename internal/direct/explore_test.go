package direct

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// Time limits of the users' platform, which every balancer that is connected to the store must meet.
const (
	connectedTime = 4 * time.Second
	configureTime = 3 * time.Second
	drainTime     = 3 * time.Second
	reuseTime     = 2 * time.Second
	evacuateTime  = 5 * time.Second
)

// peerRetention is the minimum time for which hosts remember an unreachable host of their data centre.
const peerRetention = 25 * time.Second

// actions are the faults and changes that occur in the simulation, one at a time.
var actions = map[string]func(s *simulation, h *simHost, t *simTarget){
	"nothing":   func(*simulation, *simHost, *simTarget) {},
	"kill":      func(_ *simulation, h *simHost, _ *simTarget) { h.end(simRestart) },
	"terminate": func(_ *simulation, h *simHost, _ *simTarget) { h.terminate() },
	"pause": func(s *simulation, h *simHost, _ *simTarget) {
		h.pause(time.Second + time.Duration(s.random.IntN(3000))*time.Millisecond)
	},
	"cut": func(s *simulation, h *simHost, _ *simTarget) { s.isolated[h.dc], s.isolatedAt[h.dc] = true, s.now },
	"heal": func(s *simulation, _ *simHost, _ *simTarget) {
		for dc := range s.isolated {
			if s.isolated[dc] {
				s.isolated[dc], s.isolatedAt[dc] = false, s.now
			}
		}
	},
	"store down": func(s *simulation, _ *simHost, _ *simTarget) { s.store.down, s.store.downChanged = true, s.now },
	"store up": func(s *simulation, _ *simHost, _ *simTarget) {
		if s.store.down {
			s.store.down, s.store.downChanged = false, s.now
		}
	},
	"forget history": func(s *simulation, _ *simHost, _ *simTarget) { s.store.dropped = s.store.revision },
	"configure": func(s *simulation, _ *simHost, _ *simTarget) {
		if !s.store.down {
			s.store.configure(simRoute(s.random.IntN(simServices)), s.now)
		}
	},
	"drain":       (*simulation).drain,
	"leave":       (*simulation).leave,
	"crash":       func(s *simulation, _ *simHost, t *simTarget) { s.endTarget(t) },
	"come back":   func(s *simulation, _ *simHost, t *simTarget) { s.restartTarget(t) },
	"add":         func(s *simulation, h *simHost, _ *simTarget) { s.addTarget(h.dc, s.random.IntN(simServices)) },
	"reuse":       (*simulation).reuse,
	"kill centre": func(s *simulation, h *simHost, _ *simTarget) { s.killDataCentre(h, nil) },
	"kill others": func(s *simulation, h *simHost, _ *simTarget) { s.killDataCentre(h, h) },
	"write over":  (*simulation).writeOver,
	"evacuate":    (*simulation).evacuate,
	"restore":     (*simulation).restoreStore,
}

// evacuate evacuates the data centre of a host, or ends its evacuation.
func (s *simulation) evacuate(h *simHost, _ *simTarget) {
	if s.store.down {
		return
	}
	e := &s.evacuations[h.dc]
	e.active, e.changedAt = !e.active, s.now
	s.store.revision++
	s.store.evacuations = append(s.store.evacuations, directory.Evacuation{
		DataCentre: fmt.Sprint(h.dc), Revision: s.store.revision, Removed: !e.active,
	})
}

// simEvacuation is the last evacuation of a data centre that the store has accepted, or its end.
type simEvacuation struct {
	active    bool
	changedAt time.Duration
}

// activeEvacuations returns the evacuations that have not ended.
func (s *simStore) activeEvacuations() []directory.Evacuation {
	newest := map[string]directory.Evacuation{}
	for _, e := range s.evacuations {
		newest[e.DataCentre] = e
	}
	return slices.DeleteFunc(slices.Collect(maps.Values(newest)), func(e directory.Evacuation) bool { return e.Removed })
}

// drain makes a target announce its shutdown.
func (s *simulation) drain(_ *simHost, t *simTarget) {
	if !t.alive || t.Draining || s.store.down || s.isolated[t.dc] {
		return
	}
	t.Draining, t.drainedAt = true, s.now
	s.announce(t)
}

// writeOver overwrites the record of a target with one that no balancer can use.
func (s *simulation) writeOver(_ *simHost, t *simTarget) {
	if t.listed && !s.store.down {
		t.obscuredAt = s.now
		s.store.write(directory.Change{Name: t.Name, Unusable: true})
	}
}

// leave stops a target that announced its shutdown long enough ago, and removes its record.
func (s *simulation) leave(_ *simHost, t *simTarget) {
	if !t.alive || !t.Draining || s.now-t.drainedAt <= drainTime || s.store.down || s.isolated[t.dc] {
		return
	}
	s.endTarget(t)
	t.listed = false
	s.store.write(directory.Change{Name: t.Name, Removed: true})
}

// endTarget stops a target and ends its flows.
func (s *simulation) endTarget(t *simTarget) {
	if !t.alive {
		return
	}
	t.alive, t.endedAt = false, s.now
	s.flows = slices.DeleteFunc(s.flows, func(f simFlow) bool { return f.target == t })
}

// restartTarget starts a target again with the same identity.
func (s *simulation) restartTarget(t *simTarget) {
	if t.alive && t.Draining {
		return
	}
	s.endTarget(t)
	if t.drainedAt == 0 && !t.addressReused {
		s.startTarget(t)
	}
}

// reuse starts a target of another service at the address of one that has ended.
func (s *simulation) reuse(_ *simHost, t *simTarget) {
	if t.alive || t.addressReused || s.now-t.endedAt < reuseTime {
		return
	}
	t.addressReused = true
	service := 0
	if t.Service == serviceName(0) {
		service = 1
	}
	n := s.addTarget(t.dc, service)
	n.Address = t.Address
	s.announce(n)
}

// killDataCentre kills all processes of a data centre except that of the spared host, which may be nil.
func (s *simulation) killDataCentre(of, spared *simHost) {
	for _, h := range s.hosts {
		if h.dc == of.dc && h != spared {
			h.end(simRestart + time.Duration(s.random.IntN(500))*time.Millisecond)
		}
	}
}

// connected reports whether a host has run and reached the store for long enough that it must meet the time limits.
func (h *simHost) connected() bool {
	s := h.sim
	return h.running() && s.now-h.undisturbedSince >= connectedTime &&
		!s.store.down && s.now-s.store.downChanged >= connectedTime &&
		!s.isolated[h.dc] && s.now-s.isolatedAt[h.dc] >= connectedTime
}

func (t *simTarget) connected(s *simulation) bool {
	return t.alive && t.listed && !s.store.down &&
		s.now-t.reachableSince >= connectedTime && s.now-s.store.downChanged >= connectedTime
}

// checkInvariants returns a description of the first violated invariant, or "".
func (s *simulation) checkInvariants() string {
	for _, h := range s.hosts {
		if !h.running() {
			continue
		}
		if broken := h.checkView(); broken != "" {
			return broken
		}
		if broken := h.checkOpening(); broken != "" {
			return broken
		}
		if len(s.flows) > 0 {
			f := s.flows[s.random.IntN(len(s.flows))]
			if broken := h.checkFlow(f); broken != "" {
				return broken
			}
		}
	}
	return ""
}

// canInform reports whether the host has known routes and targets for long enough, and can reach the other host, of the same data
// centre: through a seed, or because its process has had contact with it.
func (h *simHost) canInform(other *simHost) bool {
	s := h.sim
	if h == other || !h.running() || h.readySince == 0 || s.now-max(h.readySince, h.undisturbedSince) < connectedTime {
		return false
	}
	return h.dc < simSeeds && (h.isSeed() || other.isSeed()) ||
		h.lastContact[other] > 0 && s.now-h.lastContact[other] <= peerRetention
}

func (h *simHost) isSeed() bool {
	return h.address == h.sim.hosts[h.dc*simHostsPerDC].address
}

func (h *simHost) checkView() string {
	s, ready := h.sim, h.control.directory.Ready()
	for _, other := range s.hosts {
		if !ready && other.dc == h.dc && s.now-h.undisturbedSince >= connectedTime && other.canInform(h) {
			return fmt.Sprintf("%s has no routes and targets, although %s of its data centre has", h.self.Name, other.self.Name)
		}
	}
	if !ready && h.connected() {
		return fmt.Sprintf("%s has no routes and targets, although it reaches the store", h.self.Name)
	}
	if era := h.control.directory.Revision().Era(); h.connected() && era != s.store.revision.Era() {
		return fmt.Sprintf("%s is in era %d, although it reaches the store in era %d", h.self.Name, era, s.store.revision.Era())
	}
	if v := h.engine.View(); v != nil {
		if v.Version < h.version {
			return fmt.Sprintf("%s returned from version %d to %d", h.self.Name, h.version, v.Version)
		}
		h.version = v.Version
	}
	for i, c := range s.store.configs {
		if h.connected() && s.now-s.store.ackedAt[i] > configureTime && h.version < c.Version {
			return fmt.Sprintf("%s has version %d, want at least %d after %v", h.self.Name, h.version, c.Version, s.now-s.store.ackedAt[i])
		}
	}
	return ""
}

// checkOpening sends an opening packet of a new flow to the host and checks the decision.
func (h *simHost) checkOpening() string {
	s := h.sim
	s.callers++
	p := steer.Packet{Open: true, Endpoint: simEndpoint, Caller: directory.Endpoint{
		Address: [4]byte{100, 64, byte(s.callers >> 16), byte(s.callers >> 8)}, Port: uint16(s.callers&0xff) + 1024,
	}}
	d := h.engine.Decide(&p, h.control.clock())
	if d.Action != steer.Forward {
		if h.connected() && s.served() {
			return fmt.Sprintf("%s: new flow got %v with code %v, want forward", h.self.Name, d.Action, d.Code)
		}
		return ""
	}
	t := s.byID(d.Target.ID)
	switch {
	case t.Service != d.Target.Service:
		return fmt.Sprintf("%s: new flow forwarded to %s of service %s as if of service %s",
			h.self.Name, t.Name, t.Service, d.Target.Service)
	case h.connected() && s.evacuations[t.dc].active && s.now-s.evacuations[t.dc].changedAt > evacuateTime:
		return fmt.Sprintf("%s: new flow forwarded to %s, whose data centre was evacuated %v ago",
			h.self.Name, t.Name, s.now-s.evacuations[t.dc].changedAt)
	case h.connected() && t.drainedAt > 0 && s.now-t.drainedAt > drainTime && !s.isolated[t.dc]:
		return fmt.Sprintf("%s: new flow forwarded to %s, which announced its shutdown %v ago", h.self.Name, t.Name, s.now-t.drainedAt)
	case t.alive && t.Address == d.Target.Address:
		s.flows = append(s.flows, simFlow{p.Flow(), t, d.Target.Token})
	}
	return ""
}

// served reports whether the service of the current route has a target that every connected host must know.
func (s *simulation) served() bool {
	service := s.store.newest().Routes[0].Services[0].Name
	for _, c := range s.store.ackedAt {
		if s.now-c < connectedTime {
			return false
		}
	}
	for _, t := range s.targets {
		e := s.evacuations[t.dc]
		evacuated := e.active || e.changedAt > 0 && s.now-e.changedAt < evacuateTime
		usable := t.obscuredAt == 0 && s.now-t.rewrittenAt >= configureTime && !evacuated
		if t.Service == service && t.connected(s) && !t.Draining && usable {
			return true
		}
	}
	return false
}

func (s *simulation) byID(id directory.TargetID) *simTarget { return s.targets[id-1] }

// checkFlow sends a packet of an open flow to the host and checks the decision.
func (h *simHost) checkFlow(f simFlow) string {
	p := steer.Packet{Caller: f.key.Caller, Endpoint: f.key.Endpoint, Acknowledges: true, Sequence: 1, Payload: 1, Token: f.token}
	d := h.engine.Decide(&p, h.control.clock())
	switch {
	case d.Action == steer.Forward && d.Target.ID != f.target.ID:
		return fmt.Sprintf("%s: packet of a flow of %s forwarded to %s", h.self.Name, f.target.Name, d.Target.Name)
	case !h.connected() || !f.target.connected(h.sim):
	case d.Action == steer.Break:
		return fmt.Sprintf("%s resets a flow of %s, which is alive", h.self.Name, f.target.Name)
	case d.Action == steer.Drop && d.Code != resultcode.PacketFenced:
		return fmt.Sprintf("%s drops a packet of a flow of %s, which is alive, with code %v", h.self.Name, f.target.Name, d.Code)
	}
	return ""
}

// Guards against balancers with stale routes or targets, with none, or with wrong decisions about flows, after any sequence of
// restarts, pauses, partitions, store outages, restores from a copy, lost history, evacuations, unusable records, and targets that drain,
// crash, return or pass on their address. The control state is the real one; the store, the targets and the network are simulated in
// virtual time.
func TestExplore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := newSimulation(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		if err != nil {
			t.Fatal(err)
		}
		names := make([]string, 0, len(actions))
		for name := range actions {
			names = append(names, name)
		}
		slices.Sort(names)
		first, last := 0, len(s.hosts)-1
		if rapid.Bool().Draw(t, "one data centre") {
			first = last - simHostsPerDC + 1
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			name := rapid.SampledFrom(names).Draw(t, "event")
			h := s.hosts[rapid.IntRange(first, last).Draw(t, "host")]
			target := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")]
			if h.control != nil {
				actions[name](s, h, target)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				s.step()
				if broken := s.checkInvariants(); broken != "" {
					t.Fatalf("at %v: %s", s.now, broken)
				}
			}
		}
	})
}
