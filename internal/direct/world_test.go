package direct

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
	"github.com/marigoldwood/marigoldwood/timeline"
)

const (
	worldStep     = 50 * time.Millisecond
	worldAnswer   = 4 * time.Millisecond // of the store
	worldTimeout  = time.Second
	worldDC       = 3
	worldPerDC    = 3
	worldSeeds    = 2 // data centres with a seed
	worldBeat     = 500 * time.Millisecond
	worldLapse    = 3 * worldBeat
	worldReturn   = 1500 * time.Millisecond // until a living target is listed again after it reaches the store
	worldServices = 2
	worldRestart  = 700 * time.Millisecond // of a process after its end
)

// world plays balancers, a store and targets without sockets, in steps of virtual time.
type world struct {
	now     time.Duration
	metrics *metrics
	log     *logrus.Entry
	store   worldStore
	hosts   []*worldHost
	targets []*worldTarget
	flows   []worldFlow
	cut     [worldDC]bool          // from the store and the other data centres
	cutAt   [worldDC]time.Duration // last change
	callers int
	random  *rand.Rand
}

// worldFlow is an open flow, as its caller and target know it.
type worldFlow struct {
	key    steer.FlowKey
	target *worldTarget
	token  directory.Token
}

type worldTarget struct {
	directory.Target
	dc        int
	alive     bool
	drainedAt time.Duration // when the store accepted that it leaves, 0 before
	endedAt   time.Duration
	handedOn  bool // its address belongs to another target
	listed    bool
	heard     time.Duration // last beat that the store accepted
	reachable time.Duration // since when it lives and reaches the store
}

// worldStore is a store with a history that can be dropped.
type worldStore struct {
	revision uint64
	changes  []directory.Change
	configs  []*directory.Configuration // all versions
	acked    []time.Duration            // of each version
	dropped  uint64
	down     bool
	downAt   time.Duration // last change
}

func (s *worldStore) write(c directory.Change) {
	s.revision++
	c.Revision = s.revision
	s.changes = append(s.changes, c)
}

func (s *worldStore) configure(services []directory.WeightedService, now time.Duration) {
	s.revision++
	version := uint64(1)
	if n := len(s.configs); n > 0 {
		version = s.configs[n-1].Version + 1 + uint64(n%3)
	}
	s.configs = append(s.configs, &directory.Configuration{Version: version, Revision: s.revision, Routes: []directory.Route{{Endpoint: worldEndpoint, Services: services}}})
	s.acked = append(s.acked, now)
}

func (s *worldStore) newest() *directory.Configuration { return s.configs[len(s.configs)-1] }

// list returns the newest record of each name.
func (s *worldStore) list() directory.Page {
	newest := map[string]int{}
	for i := range s.changes {
		newest[s.changes[i].Name] = i
	}
	p := directory.Page{Batch: directory.Batch{Complete: true, Revision: s.revision, Configuration: s.newest()}}
	for i := range s.changes {
		if c := s.changes[i]; newest[c.Name] == i && !c.Removed {
			p.Changes = append(p.Changes, c)
		}
	}
	return p
}

// since returns the changes after a revision.
func (s *worldStore) since(after uint64) directory.Page {
	var p directory.Page
	for _, c := range s.changes {
		if c.Revision > after {
			p.Changes, p.Revision = append(p.Changes, c), max(p.Revision, c.Revision)
		}
	}
	if c := s.newest(); c.Revision > after {
		p.Configuration, p.Revision = c, max(p.Revision, c.Revision)
	}
	return p
}

// worldHost is a balancer: its control state, and an engine in place of its traffic goroutine.
type worldHost struct {
	w       *world
	dc      int
	self    settings.DirectHost
	address netip.AddrPort
	control *Control // nil while it is down
	engine  *steer.Engine
	started time.Duration
	paused  time.Duration // until when
	calm    time.Duration // since when nothing has happened to it
	read    *directory.Read
	sendAt  time.Duration
	version uint64                       // highest that this process had in force
	ready   time.Duration                // since when it knows routes and targets, 0 while it does not
	met     map[*worldHost]time.Duration // when this process last heard of another host
	startAt time.Duration                // of the next process, while this one is down
}

var worldEndpoint = directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443}

func newWorld(random *rand.Rand) (*world, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	w := &world{now: time.Minute, metrics: m, log: logrus.NewEntry(logger), random: random}
	for dc := range worldDC {
		for i := range worldPerDC {
			w.hosts = append(w.hosts, &worldHost{
				w: w, dc: dc, self: settings.DirectHost{Name: fmt.Sprintf("h-%d-%d", dc, i), DataCentre: fmt.Sprint(dc), Weight: 1},
				address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(dc), byte(i + 1)}), 9000),
			})
		}
		for range 2 * worldServices {
			w.addTarget(dc, len(w.targets)%worldServices)
		}
	}
	w.store.configure(worldRoute(0), w.now)
	for _, h := range w.hosts {
		h.start()
	}
	return w, nil
}

func worldRoute(service int) []directory.WeightedService {
	return []directory.WeightedService{{Name: serviceName(service), Weight: 1}}
}

func serviceName(service int) string { return fmt.Sprintf("s-%d", service) }

// addTarget starts a target with an address of its own.
func (w *world) addTarget(dc, service int) *worldTarget {
	n := len(w.targets)
	t := &worldTarget{dc: dc, Target: directory.Target{
		Name: fmt.Sprintf("t-%d", n), ID: directory.TargetID(n + 1), Service: serviceName(service), DataCentre: fmt.Sprint(dc), Capacity: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 80),
	}}
	w.targets = append(w.targets, t)
	w.startTarget(t)
	return t
}

func (w *world) startTarget(t *worldTarget) {
	t.alive, t.drainedAt, t.Draining = true, 0, false
	t.StartedMS = w.now.Milliseconds()
	t.reachable = w.now
	w.announce(t)
}

// announce writes a target's record, if it reaches the store.
func (w *world) announce(t *worldTarget) {
	if w.store.down || w.cut[t.dc] {
		return
	}
	copied := t.Target
	w.store.write(directory.Change{Name: t.Name, Target: &copied})
	t.listed, t.heard = true, w.now
}

// start starts the process of a host.
func (h *worldHost) start() {
	h.started, h.calm, h.paused, h.read, h.version, h.ready = h.w.now, h.w.now, 0, nil, 0, 0
	h.engine, h.met = steer.NewEngine(), map[*worldHost]time.Duration{}
	clock := func() time.Duration { return h.w.now - h.started }
	s := &settings.Direct{Host: h.self, Shutdown: settings.DirectShutdown{Grace: 6 * time.Second}}
	s.Listen.Peers = h.address
	for dc := range worldSeeds {
		s.Peers.Seeds = append(s.Peers.Seeds, h.w.hosts[dc*worldPerDC].address)
	}
	h.control = NewControl(controlParts{
		Settings: s, Log: h.w.log, Clock: clock, Random: h.w.random, Ring: timeline.NewRing(h.self.Name, timeline.NewClock(time.Now), 1),
		Reader: newStoreReader(nil, clock), Exchange: &Exchange{}, Metrics: h.w.metrics,
		Traffic: &Traffic{engine: h.engine, clock: clock, first: make(chan struct{})},
	})
	h.control.ask = h.ask
}

func (h *worldHost) runs() bool { return h.control != nil && h.w.now >= h.paused }

// disturb notes that the host is not calm.
func (h *worldHost) disturb() { h.calm = max(h.calm, h.w.now) }

// end ends the process. Another one starts after a delay.
func (h *worldHost) end(delay time.Duration) {
	h.control, h.startAt = nil, h.w.now+delay
}

// terminate asks the process to end gracefully.
func (h *worldHost) terminate() {
	if h.control.state == stateServing {
		h.control.fire(eventStopRequested)
		h.control.leaveStarted = h.control.clock()
		h.disturb()
	}
}

func (h *worldHost) pause(d time.Duration) {
	h.paused = h.w.now + d
	h.calm = max(h.calm, h.paused)
}

// reaches reports whether packets pass between two data centres. The store is in none.
func (w *world) reaches(a, b int) bool { return a == b || !w.cut[a] && !w.cut[b] }

// ask carries a report to another host and its reply back.
func (h *worldHost) ask(_ context.Context, to netip.AddrPort, report *relay.Report) {
	result := replyResult{to: to, asked: h.control.clock()}
	result.err = resultcode.Errorf(resultcode.PeerUnreachable, to.String(), "no answer")
	for _, peer := range h.w.hosts {
		if peer.address == to && peer.runs() && h.w.reaches(h.dc, peer.dc) {
			h.met[peer], peer.met[h] = h.w.now, h.w.now
			result.err = report.Validate()
			result.reply = peer.control.reply(report)
			if result.err == nil {
				result.err = result.reply.Validate()
			}
		}
	}
	h.control.replied(result)
}

// turn lets the control state act as its goroutine does.
func (h *worldHost) turn() {
	c := h.control
	c.traffic.Turn(c.clock())
	if c.clock() >= c.reported+c.fleet.Interval() || c.next > 0 && c.clock() >= c.next {
		c.tick(context.Background())
	}
	c.readStore()
	select {
	case r := <-c.reader.reads:
		h.read, h.sendAt = &r, h.w.now+r.Delay
	default:
	}
	h.answer()
	if v := c.traffic.View(); v != nil && v != h.engine.View() {
		h.engine.SetView(v)
		if h.ready == 0 {
			h.ready = h.w.now
		}
	}
}

// answer completes the read that is under way when the store answers or the wait for it is over.
func (h *worldHost) answer() {
	w, r := h.w, h.read
	if r == nil || w.now < h.sendAt+worldAnswer {
		return
	}
	result := readResult{read: *r, asked: h.sendAt - h.started, took: w.now - h.sendAt}
	switch waited := w.now - h.sendAt; {
	case w.store.down || w.cut[h.dc]:
		if waited < worldTimeout {
			return
		}
		result.err = resultcode.Errorf(resultcode.PlatformUnavailable, "", "no answer")
	case r.Kind != directory.ReadWatch:
		result.page = w.store.list()
	case r.After < w.store.dropped:
		result.err = resultcode.Errorf(resultcode.PlatformHistoryGone, "watch", "gone")
	default:
		if result.page = w.store.since(r.After); result.page.Revision == 0 && waited < r.Wait {
			return
		}
	}
	h.read = nil
	h.control.storeRead(result)
}

// beat keeps the records of living targets listed, and lets those of silent ones lapse.
func (w *world) beat() {
	for _, t := range w.targets {
		if w.store.down || w.cut[t.dc] || !t.alive {
			t.reachable = w.now
		} else if t.listed {
			t.heard = w.now
		} else if w.now-t.reachable >= worldReturn {
			w.announce(t)
		}
		if t.listed && w.now-t.heard >= worldLapse {
			t.listed = false
			w.store.write(directory.Change{Name: t.Name, Removed: true})
		}
	}
}

func (w *world) step() {
	w.now += worldStep
	w.beat()
	for _, h := range w.hosts {
		if h.control != nil && h.control.state == stateStopped {
			h.end(worldRestart)
		}
		if h.control == nil && w.now >= h.startAt {
			h.start()
		}
		if h.runs() {
			h.turn()
		}
	}
}
