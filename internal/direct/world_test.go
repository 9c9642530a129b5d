package direct

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	simStep          = 50 * time.Millisecond
	simResponseTime  = 4 * time.Millisecond // response time of the store
	simTimeout       = time.Second
	simDataCentres   = 3
	simHostsPerDC    = 3
	simSeeds         = 2 // data centres with a seed
	simRenewInterval = 500 * time.Millisecond
	simRecordTTL     = 3 * simRenewInterval
	simRelistDelay   = 1500 * time.Millisecond // until a live target is listed again after it reaches the store
	simServices      = 2
	simRestart       = 700 * time.Millisecond // delay of the restart of a process
	simMaxLost       = 10                     // changes that a restored store has lost are fewer
	simRewriteDelay  = time.Second            // until the operator writes a lost configuration again
	simLost          = time.Duration(math.MaxInt64 / 2)
)

// simulation simulates balancers, a store and targets without sockets, in steps of virtual time.
type simulation struct {
	now        time.Duration
	metrics    *metrics
	log        *logrus.Entry
	store      simStore
	hosts      []*simHost
	targets    []*simTarget
	flows      []simFlow
	isolated   [simDataCentres]bool          // from the store and the other data centres
	isolatedAt [simDataCentres]time.Duration // last change
	callers    int
	// evacuations holds the state of each data centre.
	evacuations [simDataCentres]simEvacuation
	random      *rand.Rand
}

// simFlow is an open flow as seen by its caller and target.
type simFlow struct {
	key    steer.FlowKey
	target *simTarget
	token  directory.Token
}

type simTarget struct {
	directory.Target
	dc             int
	alive          bool
	drainedAt      time.Duration // when the store accepted the announced shutdown, 0 before
	endedAt        time.Duration
	addressReused  bool // its address belongs to another target
	listed         bool
	obscuredAt     time.Duration // when another program overwrote its record, 0 if the record is its own
	rewrittenAt    time.Duration // when it last replaced the record of another program by its own
	renewed        time.Duration // last renewal of the record
	comparesAt     time.Duration // when it next writes its record after a restore of the store, 0 if it has
	reachableSince time.Duration // since when it is alive and reaches the store
}

// simStore is a store whose history can be dropped, and which can be restored from a copy.
type simStore struct {
	revision    directory.Revision
	changes     []directory.Change
	stored      []*directory.Configuration // versions that it holds
	configs     []*directory.Configuration // all versions that the operator wrote
	ackedAt     []time.Duration            // of each version, simLost while the store has lost it
	rewriteAt   time.Duration              // when the operator writes the lost configuration again, 0 for never
	dropped     directory.Revision
	down        bool
	downChanged time.Duration // last change
	evacuations []directory.Evacuation
}

func (s *simStore) write(c directory.Change) {
	s.revision++
	c.Revision = s.revision
	s.changes = append(s.changes, c)
}

func (s *simStore) configure(services []directory.WeightedService, now time.Duration) {
	s.revision++
	version := uint64(1)
	if n := len(s.configs); n > 0 {
		version = s.configs[n-1].Version + 1 + uint64(n%3)
	}
	s.configs = append(s.configs, &directory.Configuration{
		Version: version, Revision: s.revision, Routes: []directory.Route{{Endpoint: simEndpoint, Services: services}},
	})
	s.ackedAt = append(s.ackedAt, now)
	s.stored = append(s.stored, s.configs[len(s.configs)-1])
	s.endLoss(now)
}

// rewriteLost writes the newest configuration again when the operator notices that the store has lost it.
func (s *simStore) rewriteLost(now time.Duration) {
	if s.rewriteAt == 0 || now < s.rewriteAt || s.down {
		return
	}
	s.revision++
	c := *s.configs[len(s.configs)-1]
	c.Revision = s.revision
	s.stored = append(s.stored, &c)
	s.endLoss(now)
}

// endLoss records that the store has acknowledged a version that replaces all lost ones.
func (s *simStore) endLoss(now time.Duration) {
	s.rewriteAt = 0
	for i := range s.ackedAt {
		if s.ackedAt[i] == simLost {
			s.ackedAt[i] = now
		}
	}
}

// restore replaces the store's content by a copy without the last changes, in a new era.
func (s *simStore) restore(lost uint64, now time.Duration) {
	last := max(s.revision.Number()-min(lost, s.revision.Number()), s.stored[0].Revision.Number())
	era := directory.Revision(s.revision.Era()+1) << 48
	renumber := func(r directory.Revision) directory.Revision { return era | directory.Revision(r.Number()) }
	s.changes = slices.DeleteFunc(s.changes, func(c directory.Change) bool { return c.Revision.Number() > last })
	for i := range s.changes {
		s.changes[i].Revision = renumber(s.changes[i].Revision)
	}
	s.evacuations = slices.DeleteFunc(s.evacuations, func(e directory.Evacuation) bool { return e.Revision.Number() > last })
	for i := range s.evacuations {
		s.evacuations[i].Revision = renumber(s.evacuations[i].Revision)
	}
	var stored []*directory.Configuration
	for _, c := range s.stored {
		if c.Revision.Number() <= last {
			copied := *c
			copied.Revision = renumber(c.Revision)
			stored = append(stored, &copied)
		}
	}
	s.stored, s.revision, s.downChanged = stored, era|directory.Revision(last), now
	s.dropped = renumber(directory.Revision(min(s.dropped.Number(), last)))
	for i, c := range s.configs {
		if c.Version > s.newest().Version {
			s.ackedAt[i] = simLost
			s.rewriteAt = now + simRewriteDelay
		}
	}
}

func (s *simStore) newest() *directory.Configuration { return s.stored[len(s.stored)-1] }

// list returns the newest record of each name.
func (s *simStore) list() directory.Page {
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
	p.Evacuations = s.activeEvacuations()
	return p
}

// inEra returns the revision of the current era with the same number: watches name only the number.
func (s *simStore) inEra(r directory.Revision) directory.Revision {
	return directory.Revision(s.revision.Era())<<48 | directory.Revision(r.Number())
}

// since returns the changes after a revision.
func (s *simStore) since(after directory.Revision) directory.Page {
	p := directory.Page{Batch: directory.Batch{Revision: s.inEra(0)}}
	for _, c := range s.changes {
		if c.Revision > after {
			p.Changes, p.Revision = append(p.Changes, c), max(p.Revision, c.Revision)
		}
	}
	for _, e := range s.evacuations {
		if e.Revision > after {
			p.Evacuations, p.Revision = append(p.Evacuations, e), max(p.Revision, e.Revision)
		}
	}
	if c := s.newest(); c.Revision > after {
		p.Configuration, p.Revision = c, max(p.Revision, c.Revision)
	}
	return p
}

// simHost is a balancer with the real control state, and an engine without the traffic goroutine.
type simHost struct {
	sim              *simulation
	dc               int
	self             settings.DirectHost
	address          netip.AddrPort
	control          *Control // nil while it is down
	engine           *steer.Engine
	started          time.Duration
	pausedUntil      time.Duration
	undisturbedSince time.Duration // since when it runs without disturbance
	read             *directory.Read
	sendAt           time.Duration
	version          uint64                     // highest version that this process has used
	readySince       time.Duration              // since when it has routes and targets, 0 while it has none
	lastContact      map[*simHost]time.Duration // when this process last had contact with another host
	startAt          time.Duration              // when the next process starts, while this one is down
}

var simEndpoint = directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443}

func newSimulation(random *rand.Rand) (*simulation, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	s := &simulation{now: time.Minute, metrics: m, log: logrus.NewEntry(logger), random: random}
	for dc := range simDataCentres {
		for i := range simHostsPerDC {
			s.hosts = append(s.hosts, &simHost{
				sim: s, dc: dc, self: settings.DirectHost{Name: fmt.Sprintf("h-%d-%d", dc, i), DataCentre: fmt.Sprint(dc), Weight: 1},
				address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(dc), byte(i + 1)}), 9000),
			})
		}
		for range 2 * simServices {
			s.addTarget(dc, len(s.targets)%simServices)
		}
	}
	s.store.configure(simRoute(0), s.now)
	for _, h := range s.hosts {
		h.start()
	}
	return s, nil
}

func simRoute(service int) []directory.WeightedService {
	return []directory.WeightedService{{Name: serviceName(service), Weight: 1}}
}

func serviceName(service int) string { return fmt.Sprintf("s-%d", service) }

// addTarget starts a new target with its own address.
func (s *simulation) addTarget(dc, service int) *simTarget {
	n := len(s.targets)
	t := &simTarget{dc: dc, Target: directory.Target{
		Name: fmt.Sprintf("t-%d", n), ID: directory.TargetID(n + 1), Service: serviceName(service), DataCentre: fmt.Sprint(dc), Capacity: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 80),
	}}
	s.targets = append(s.targets, t)
	s.startTarget(t)
	return t
}

func (s *simulation) startTarget(t *simTarget) {
	t.alive, t.drainedAt, t.Draining = true, 0, false
	t.StartedMS, t.Sequence = s.now.Milliseconds(), 0
	t.reachableSince = s.now
	s.announce(t)
}

// announce writes the record of a target if it reaches the store.
func (s *simulation) announce(t *simTarget) {
	if s.store.down || s.isolated[t.dc] {
		return
	}
	t.Sequence++
	copied := t.Target
	s.store.write(directory.Change{Name: t.Name, Target: &copied})
	if t.obscuredAt > 0 {
		t.rewrittenAt = s.now
	}
	t.listed, t.renewed, t.obscuredAt = true, s.now, 0
}

// restoreStore restores the store from a copy that lacks its last changes.
func (s *simulation) restoreStore(*simHost, *simTarget) {
	s.store.restore(uint64(s.random.IntN(simMaxLost)), s.now)
	s.relistTargets()
	s.rewriteEvacuations()
}

// rewriteEvacuations makes the operator repeat the evacuations and their ends that the restored store has lost.
func (s *simulation) rewriteEvacuations() {
	for dc := range s.evacuations {
		e, name := &s.evacuations[dc], fmt.Sprint(dc)
		stored := slices.ContainsFunc(s.store.activeEvacuations(), func(e directory.Evacuation) bool { return e.DataCentre == name })
		if stored == e.active {
			continue
		}
		s.store.revision++
		s.store.evacuations = append(s.store.evacuations, directory.Evacuation{DataCentre: name, Revision: s.store.revision, Removed: stored})
		e.changedAt = s.now
	}
}

// relistTargets makes each live target write its record again at its next renewal, if the restored store holds another one.
func (s *simulation) relistTargets() {
	stored := map[string]directory.Change{}
	for _, c := range s.store.changes {
		stored[c.Name] = c
	}
	for _, t := range s.targets {
		c, found := stored[t.Name]
		t.listed, t.renewed, t.obscuredAt = found && !c.Removed, s.now, 0
		if c.Unusable {
			t.obscuredAt = s.now
		}
		t.comparesAt = s.now + time.Duration(s.random.Int64N(int64(simRenewInterval)))
	}
}

// holds reports whether the store holds the record of a target, but for the number of its writes.
func (s *simStore) holds(t *simTarget) bool {
	for i := len(s.changes) - 1; i >= 0; i-- {
		if c := &s.changes[i]; c.Name == t.Name {
			if c.Target == nil || c.Removed {
				return false
			}
			written := *c.Target
			written.Sequence = t.Sequence
			return written == t.Target
		}
	}
	return false
}

// start starts the process of a host.
func (h *simHost) start() {
	h.started, h.undisturbedSince, h.pausedUntil, h.read, h.version, h.readySince = h.sim.now, h.sim.now, 0, nil, 0, 0
	h.engine, h.lastContact = steer.NewEngine(), map[*simHost]time.Duration{}
	clock := func() time.Duration { return h.sim.now - h.started }
	s := &settings.Direct{Host: h.self, Shutdown: settings.DirectShutdown{Grace: 6 * time.Second}}
	s.Listen.Peers = h.address
	for dc := range simSeeds {
		s.Peers.Seeds = append(s.Peers.Seeds, h.sim.hosts[dc*simHostsPerDC].address)
	}
	h.control = NewControl(controlDeps{
		Settings: s, Log: h.sim.log, Clock: clock, Random: h.sim.random, Ring: timeline.NewRing(h.self.Name, timeline.NewClock(time.Now), 1),
		Reader: newStoreReader(nil, clock), Exchange: &Exchange{}, Metrics: h.sim.metrics,
		Traffic: &Traffic{engine: h.engine, clock: clock, firstView: make(chan struct{})},
	})
	h.control.sendReport = h.ask
}

func (h *simHost) running() bool { return h.control != nil && h.sim.now >= h.pausedUntil }

// markDisturbed records that the host has been disturbed.
func (h *simHost) markDisturbed() { h.undisturbedSince = max(h.undisturbedSince, h.sim.now) }

// end ends the process. A new one starts after the delay.
func (h *simHost) end(delay time.Duration) {
	h.control, h.startAt = nil, h.sim.now+delay
}

// terminate starts a graceful shutdown of the process.
func (h *simHost) terminate() {
	if h.control.state == stateServing {
		h.control.handleEvent(eventStopRequested)
		h.control.leaveStarted = h.control.clock()
		h.markDisturbed()
	}
}

func (h *simHost) pause(d time.Duration) {
	h.pausedUntil = h.sim.now + d
	h.undisturbedSince = max(h.undisturbedSince, h.pausedUntil)
}

// reaches reports whether packets pass between two data centres.
func (s *simulation) reaches(a, b int) bool { return a == b || !s.isolated[a] && !s.isolated[b] }

// ask delivers a report to another host and the reply to this one.
func (h *simHost) ask(_ context.Context, to netip.AddrPort, report *relay.Report) {
	result := replyResult{to: to, sentAt: h.control.clock()}
	result.err = resultcode.Errorf(resultcode.PeerUnreachable, to.String(), "no answer")
	for _, peer := range h.sim.hosts {
		if peer.address == to && peer.running() && h.sim.reaches(h.dc, peer.dc) {
			h.lastContact[peer], peer.lastContact[h] = h.sim.now, h.sim.now
			result.err = report.Validate()
			result.reply = peer.control.handleReport(report)
			if result.err == nil {
				result.err = result.reply.Validate()
			}
		}
	}
	h.control.handleReply(result)
}

// runControl performs one step of the control goroutine.
func (h *simHost) runControl() {
	c := h.control
	c.traffic.ControlAlive(c.clock())
	if c.clock() >= c.lastReport+c.fleet.Interval() || c.nextPublish > 0 && c.clock() >= c.nextPublish {
		c.tick(context.Background())
	}
	c.startStoreRead()
	select {
	case r := <-c.storeReader.reads:
		h.read, h.sendAt = &r, h.sim.now+r.Delay
	default:
	}
	h.completeRead()
	if v := c.traffic.View(); v != nil && v != h.engine.View() {
		h.engine.SetView(v)
		if h.readySince == 0 {
			h.readySince = h.sim.now
		}
	}
}

// completeRead completes the pending read when the store responds or the read times out.
func (h *simHost) completeRead() {
	s, r := h.sim, h.read
	if r == nil || s.now < h.sendAt+simResponseTime {
		return
	}
	result := readResult{read: *r, sentAt: h.sendAt - h.started, duration: s.now - h.sendAt}
	switch waited := s.now - h.sendAt; {
	case s.store.down || s.isolated[h.dc]:
		if waited < simTimeout {
			return
		}
		result.err = resultcode.Errorf(resultcode.PlatformUnavailable, "", "no answer")
	case r.Kind != directory.ReadWatch:
		result.page = s.store.list()
	case s.store.inEra(r.After) < s.store.dropped || s.store.inEra(r.After) > s.store.revision:
		result.err = resultcode.Errorf(resultcode.PlatformHistoryGone, "watch", "gone")
	default:
		if result.page = s.store.since(s.store.inEra(r.After)); result.page.IsEmpty() && waited < r.Wait {
			return
		}
	}
	h.read = nil
	h.control.handleRead(result)
}

// renewRecords keeps the records of live targets listed, and removes the expired records of others.
func (s *simulation) renewRecords() {
	for _, t := range s.targets {
		if s.store.down || s.isolated[t.dc] || !t.alive {
			t.reachableSince = s.now
		} else if t.comparesAt > 0 && s.now >= t.comparesAt {
			t.comparesAt = 0
			if !s.store.holds(t) {
				s.announce(t)
			}
		} else if t.obscuredAt > 0 && s.now-t.obscuredAt >= simRenewInterval {
			s.announce(t)
		} else if t.listed {
			t.renewed = s.now
		} else if s.now-t.reachableSince >= simRelistDelay {
			s.announce(t)
		}
		if t.listed && s.now-t.renewed >= simRecordTTL {
			t.listed = false
			s.store.write(directory.Change{Name: t.Name, Removed: true})
		}
	}
}

func (s *simulation) step() {
	s.now += simStep
	s.store.rewriteLost(s.now)
	s.renewRecords()
	for _, h := range s.hosts {
		if h.control != nil && h.control.state == stateStopped {
			h.end(simRestart)
		}
		if h.control == nil && s.now >= h.startAt {
			h.start()
		}
		if h.running() {
			h.runControl()
		}
	}
}
