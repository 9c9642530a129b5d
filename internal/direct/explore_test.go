package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// Bounds of the users' platform that every balancer in touch with the store keeps.
const (
	touchTime     = 4 * time.Second
	configureTime = 3 * time.Second
	drainTime     = 3 * time.Second
	reuseTime     = 2 * time.Second
)

// memory is how long hosts surely remember one of their data centre that they lost.
const memory = 25 * time.Second

// disturbances are what happens to the world, one at a time.
var disturbances = map[string]func(w *world, h *worldHost, t *worldTarget){
	"nothing":   func(*world, *worldHost, *worldTarget) {},
	"kill":      func(_ *world, h *worldHost, _ *worldTarget) { h.end(worldRestart) },
	"terminate": func(_ *world, h *worldHost, _ *worldTarget) { h.terminate() },
	"pause": func(w *world, h *worldHost, _ *worldTarget) {
		h.pause(time.Second + time.Duration(w.random.IntN(3000))*time.Millisecond)
	},
	"cut": func(w *world, h *worldHost, _ *worldTarget) { w.cut[h.dc], w.cutAt[h.dc] = true, w.now },
	"heal": func(w *world, _ *worldHost, _ *worldTarget) {
		for dc := range w.cut {
			if w.cut[dc] {
				w.cut[dc], w.cutAt[dc] = false, w.now
			}
		}
	},
	"store down": func(w *world, _ *worldHost, _ *worldTarget) { w.store.down, w.store.downAt = true, w.now },
	"store up": func(w *world, _ *worldHost, _ *worldTarget) {
		if w.store.down {
			w.store.down, w.store.downAt = false, w.now
		}
	},
	"forget history": func(w *world, _ *worldHost, _ *worldTarget) { w.store.dropped = w.store.revision },
	"configure": func(w *world, _ *worldHost, _ *worldTarget) {
		if !w.store.down {
			w.store.configure(worldRoute(w.random.IntN(worldServices)), w.now)
		}
	},
	"drain":       (*world).drain,
	"leave":       (*world).leave,
	"crash":       func(w *world, _ *worldHost, t *worldTarget) { w.endTarget(t) },
	"come back":   func(w *world, _ *worldHost, t *worldTarget) { w.restartTarget(t) },
	"add":         func(w *world, h *worldHost, _ *worldTarget) { w.addTarget(h.dc, w.random.IntN(worldServices)) },
	"reuse":       (*world).reuse,
	"kill centre": func(w *world, h *worldHost, _ *worldTarget) { w.killCentre(h, nil) },
	"kill others": func(w *world, h *worldHost, _ *worldTarget) { w.killCentre(h, h) },
}

// drain lets a target announce that it leaves.
func (w *world) drain(_ *worldHost, t *worldTarget) {
	if !t.alive || t.Draining || w.store.down || w.cut[t.dc] {
		return
	}
	t.Draining, t.drainedAt = true, w.now
	w.announce(t)
}

// leave ends a target that announced it long enough ago, and its record.
func (w *world) leave(_ *worldHost, t *worldTarget) {
	if !t.alive || !t.Draining || w.now-t.drainedAt <= drainTime || w.store.down || w.cut[t.dc] {
		return
	}
	w.endTarget(t)
	t.listed = false
	w.store.write(directory.Change{Name: t.Name, Removed: true})
}

// endTarget ends a target and with it its flows.
func (w *world) endTarget(t *worldTarget) {
	if !t.alive {
		return
	}
	t.alive, t.endedAt = false, w.now
	w.flows = slices.DeleteFunc(w.flows, func(f worldFlow) bool { return f.target == t })
}

// restartTarget starts a target again under its identity.
func (w *world) restartTarget(t *worldTarget) {
	if t.alive && t.Draining {
		return
	}
	w.endTarget(t)
	if t.drainedAt == 0 && !t.handedOn {
		w.startTarget(t)
	}
}

// reuse starts a target of another service at the address of one that has ended.
func (w *world) reuse(_ *worldHost, t *worldTarget) {
	if t.alive || t.handedOn || w.now-t.endedAt < reuseTime {
		return
	}
	t.handedOn = true
	service := 0
	if t.Service == serviceName(0) {
		service = 1
	}
	n := w.addTarget(t.dc, service)
	n.Address = t.Address
	w.announce(n)
}

// killCentre ends all processes of a data centre at once but that of one host, which may be nil.
func (w *world) killCentre(of, spared *worldHost) {
	for _, h := range w.hosts {
		if h.dc == of.dc && h != spared {
			h.end(worldRestart + time.Duration(w.random.IntN(500))*time.Millisecond)
		}
	}
}

// inTouch reports whether a host must keep the bounds of time.
func (h *worldHost) inTouch() bool {
	w := h.w
	return h.runs() && w.now-h.calm >= touchTime && !w.store.down && w.now-w.store.downAt >= touchTime && !w.cut[h.dc] && w.now-w.cutAt[h.dc] >= touchTime
}

func (t *worldTarget) inTouch(w *world) bool {
	return t.alive && t.listed && !w.store.down && w.now-t.reachable >= touchTime && w.now-w.store.downAt >= touchTime
}

// check looks for broken promises. It returns what is broken, or "".
func (w *world) check() string {
	for _, h := range w.hosts {
		if !h.runs() {
			continue
		}
		if broken := h.checkView(); broken != "" {
			return broken
		}
		if broken := h.checkOpening(); broken != "" {
			return broken
		}
		if len(w.flows) > 0 {
			f := w.flows[w.random.IntN(len(w.flows))]
			if broken := h.checkFlow(f); broken != "" {
				return broken
			}
		}
	}
	return ""
}

// couldTell reports whether the host has long known routes and targets, and can reach another one of its data centre: by a
// seed, or because its process has heard of that host.
func (h *worldHost) couldTell(other *worldHost) bool {
	w := h.w
	if h == other || !h.runs() || h.ready == 0 || w.now-max(h.ready, h.calm) < touchTime {
		return false
	}
	return h.dc < worldSeeds && (h.isSeed() || other.isSeed()) || h.met[other] > 0 && w.now-h.met[other] <= memory
}

func (h *worldHost) isSeed() bool {
	return h.address == h.w.hosts[h.dc*worldPerDC].address
}

func (h *worldHost) checkView() string {
	w, ready := h.w, h.control.directory.Ready()
	for _, other := range w.hosts {
		if !ready && other.dc == h.dc && w.now-h.calm >= touchTime && other.couldTell(h) {
			return fmt.Sprintf("%s knows nothing, though %s of its data centre does", h.self.Name, other.self.Name)
		}
	}
	if !ready && h.inTouch() {
		return fmt.Sprintf("%s knows nothing, though it reaches the store", h.self.Name)
	}
	if v := h.engine.View(); v != nil {
		if v.Version < h.version {
			return fmt.Sprintf("%s went back from version %d to %d", h.self.Name, h.version, v.Version)
		}
		h.version = v.Version
	}
	for i, c := range w.store.configs {
		if h.inTouch() && w.now-w.store.acked[i] > configureTime && h.version < c.Version {
			return fmt.Sprintf("%s has version %d and not %d after %v", h.self.Name, h.version, c.Version, w.now-w.store.acked[i])
		}
	}
	return ""
}

// checkOpening opens a flow at the host.
func (h *worldHost) checkOpening() string {
	w := h.w
	w.callers++
	p := steer.Packet{Open: true, Endpoint: worldEndpoint, Caller: directory.Endpoint{Address: [4]byte{100, 64, byte(w.callers >> 16), byte(w.callers >> 8)}, Port: uint16(w.callers&0xff) + 1024}}
	d := h.engine.Decide(&p, h.control.clock())
	if d.Action != steer.Forward {
		if h.inTouch() && w.served() {
			return fmt.Sprintf("%s: %v of a new flow with code %v", h.self.Name, d.Action, d.Code)
		}
		return ""
	}
	t := w.byID(d.Target.ID)
	switch {
	case t.Service != d.Target.Service:
		return fmt.Sprintf("%s: new flow to %s of %s as of %s", h.self.Name, t.Name, t.Service, d.Target.Service)
	case h.inTouch() && t.drainedAt > 0 && w.now-t.drainedAt > drainTime && !w.cut[t.dc]:
		return fmt.Sprintf("%s: new flow to %s that announced its end %v ago", h.self.Name, t.Name, w.now-t.drainedAt)
	case t.alive && t.Address == d.Target.Address:
		w.flows = append(w.flows, worldFlow{p.Flow(), t, d.Target.Token})
	}
	return ""
}

// served reports whether the service in force has a target that every host must know.
func (w *world) served() bool {
	service := w.store.newest().Routes[0].Services[0].Name
	for _, c := range w.store.acked {
		if w.now-c < touchTime {
			return false
		}
	}
	for _, t := range w.targets {
		if t.Service == service && t.inTouch(w) && !t.Draining {
			return true
		}
	}
	return false
}

func (w *world) byID(id directory.TargetID) *worldTarget { return w.targets[id-1] }

// checkFlow sends a packet of an open flow through the host.
func (h *worldHost) checkFlow(f worldFlow) string {
	p := steer.Packet{Caller: f.key.Caller, Endpoint: f.key.Endpoint, Acknowledges: true, Sequence: 1, Payload: 1, Token: f.token}
	d := h.engine.Decide(&p, h.control.clock())
	switch {
	case d.Action == steer.Forward && d.Target.ID != f.target.ID:
		return fmt.Sprintf("%s: packet for %s goes to %s", h.self.Name, f.target.Name, d.Target.Name)
	case !h.inTouch() || !f.target.inTouch(h.w):
	case d.Action == steer.Break:
		return fmt.Sprintf("%s resets a flow of %s, which lives", h.self.Name, f.target.Name)
	case d.Action == steer.Drop && d.Code != resultcode.PacketFenced:
		return fmt.Sprintf("%s drops a packet for %s, which lives, with code %v", h.self.Name, f.target.Name, d.Code)
	}
	return ""
}

// Guards against orders of restarts, pauses, partitions, outages of the store, lost history, and targets that drain, crash,
// return or hand on their address, that leave a balancer with old routes or targets, without any, or with a wrong belief
// about a flow. The control state is the real one; the store, targets and network are played in virtual time.
func TestExplore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, err := newWorld(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		if err != nil {
			t.Fatal(err)
		}
		names := make([]string, 0, len(disturbances))
		for name := range disturbances {
			names = append(names, name)
		}
		slices.Sort(names)
		first, last := 0, len(w.hosts)-1
		if rapid.Bool().Draw(t, "one data centre") {
			first = last - worldPerDC + 1
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			name := rapid.SampledFrom(names).Draw(t, "event")
			h := w.hosts[rapid.IntRange(first, last).Draw(t, "host")]
			target := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(t, "target")]
			if h.control != nil {
				disturbances[name](w, h, target)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				w.step()
				if broken := w.check(); broken != "" {
					t.Fatalf("at %v: %s", w.now, broken)
				}
			}
		}
	})
}
