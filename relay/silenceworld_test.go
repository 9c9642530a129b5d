package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/steer"
)

const (
	silenceStep    = 5 * time.Millisecond  // also the one-way latency of messages and packets
	controlStep    = 20 * time.Millisecond // between two turns of a control goroutine
	requestTimeout = 2500 * time.Millisecond
	// recoveryLimit is the time from the first answer of a target that was silent until no host resets its flows any more, and
	// stableWindow the time from the end of its silence, whether it has answered or not.
	recoveryLimit = time.Second
	stableWindow  = 4 * time.Second
)

var silenceEndpoint = directory.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}

// silenceWorld replays balancers in 4 data centres in front of targets, with the real intervals of reports.
type silenceWorld struct {
	random   *rand.Rand
	now      time.Duration
	hosts    []*silenceHost
	targets  map[directory.Token]*silenceTarget
	names    []directory.Token
	sessions []silenceSession
	requests []*silenceRequest
	later    []delivery
	flows    int // flows opened so far, for the ports of callers
	loss     float64
	rate     int // requests per second
	service  func(*rand.Rand) time.Duration
	disabled bool // balancers do not exchange evidence
	cut      func(*silenceHost, *silenceTarget) bool
	isolated string // data centre whose hosts reach no others
	// duplicate is the share of the packets that arrive twice. deaf hosts receive no messages of other hosts.
	duplicate float64
	deaf      func(*silenceHost) bool

	issued, failed, breaksAtLiving int
	// lateBreaks are those of breaksAtLiving that came later than recoveryLimit after the first answer of the target since it was silent, or
	// later than stableWindow after it was.
	lateBreaks             int
	stillDark              int            // hosts that took a target for dark recoveryLimit after its first answer, added up
	issuedLate, failedLate int            // sent later than 1 s after the fall
	early                  map[string]int // early reports by sender
	fallAt                 time.Duration
}

type silenceHost struct {
	self   Host
	fleet  *Fleet
	engine *steer.Engine
	paused time.Duration // until when it is paused
	queue  []func()      // packets that arrived while it was paused
	last   time.Duration // time of the last regular reports
}

type delivery struct {
	at time.Duration
	do func()
}

func newSilenceWorld(seed uint64, perDataCentre int) *silenceWorld {
	return newSizedWorld(seed, perDataCentre, 150, 3000, 750)
}

// newSizedWorld returns a world with these numbers, and with rate requests a second.
func newSizedWorld(seed uint64, perDataCentre, targets, sessions, rate int) *silenceWorld {
	w := &silenceWorld{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Second, targets: map[directory.Token]*silenceTarget{}, rate: rate,
		early: map[string]int{}, fallAt: time.Hour, cut: func(*silenceHost, *silenceTarget) bool { return false },
		deaf:    func(*silenceHost) bool { return false },
		service: func(r *rand.Rand) time.Duration { return time.Duration(13+r.IntN(27)) * time.Millisecond },
	}
	centres := []string{"a", "b", "c", "d"}
	s := &directory.Snapshot{Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{{
		Endpoint: silenceEndpoint, Services: []directory.WeightedService{{Name: "ingest", Weight: 1}}, Idempotent: true, Timeout: requestTimeout,
	}}}}
	for i := range targets {
		t := directory.Target{
			Name: fmt.Sprintf("t-%d", i), ID: directory.TargetID(i + 1), Service: "ingest", DataCentre: centres[i%4], Capacity: 2, StartedMS: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 8, byte(i)}), 80),
		}
		s.Targets = append(s.Targets, directory.TargetEntry{Target: t})
		w.targets[t.Token()] = &silenceTarget{index: i}
		w.names = append(w.names, t.Token())
	}
	var seeds []netip.AddrPort
	for i := range 4 * perDataCentre {
		h := &silenceHost{engine: steer.NewEngine(), self: Host{
			Name: fmt.Sprintf("h-%d", i), DataCentre: centres[i%4], Weight: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7),
		}}
		if i < 4 {
			seeds = append(seeds, h.self.Address)
		}
		view := steer.NewView(s, h.self.DataCentre)
		h.engine.SetView(view)
		h.fleet = NewFleet(h.self, seeds)
		h.fleet.SetServices(view.ServiceOf)
		w.hosts = append(w.hosts, h)
	}
	w.sessions = make([]silenceSession, sessions)
	for i := range w.sessions {
		w.sessions[i].host = w.hosts[w.random.IntN(len(w.hosts))]
	}
	return w
}

func (w *silenceWorld) after(d time.Duration, do func()) {
	w.later = append(w.later, delivery{w.now + d, do})
}

func (w *silenceWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += silenceStep {
		due := w.later
		w.later = nil
		for _, x := range due {
			if x.at <= w.now {
				x.do()
			} else {
				w.later = append(w.later, x)
			}
		}
		for w.random.Float64() < float64(w.rate)*silenceStep.Seconds()/(1+float64(w.rate)*silenceStep.Seconds()) {
			w.issue()
		}
		kept := w.requests[:0]
		for _, r := range w.requests {
			if w.stepRequest(r) {
				kept = append(kept, r)
			}
		}
		w.requests = kept
		for _, h := range w.hosts {
			w.stepHost(h)
		}
		w.countStillDark()
	}
}

// countStillDark counts the hosts that keep new flows from a target that answered again recoveryLimit ago.
func (w *silenceWorld) countStillDark() {
	for _, token := range w.names {
		if t := w.targets[token]; t.endedAt == 0 || t.answered == 0 || w.now != t.answered+recoveryLimit {
			continue
		}
		for _, h := range w.hosts {
			if h.engine.DarkTargets(w.now)[token] {
				w.stillDark++
			}
		}
	}
}

func (w *silenceWorld) stepHost(h *silenceHost) {
	if w.now < h.paused {
		return
	}
	for _, do := range h.queue {
		do()
	}
	h.queue = nil
	if w.now%controlStep != 0 {
		return
	}
	state := HostState{Fresh: true, Revision: 1}
	if w.now-h.last >= h.fleet.ReportInterval(state, w.now) {
		h.last = w.now
		for _, to := range h.fleet.DueReports(state, w.now) {
			w.report(h, to, false)
		}
		h.engine.SetPeerLoads(h.fleet.PeerLoads(w.now))
	}
	if w.disabled {
		return
	}
	w.exchange(h)
	for _, to := range h.fleet.DueSilence(w.now) {
		w.early[h.self.Name]++
		w.report(h, to, true)
	}
}

func (w *silenceWorld) exchange(h *silenceHost) {
	if w.disabled {
		return
	}
	p := h.fleet.PeerSilence(w.now)
	h.engine.SetPeerSilence(steer.Peers{Silence: p.Targets, CutOffs: p.CutOffs, DataCentres: p.DataCentres, Hosts: p.Hosts}, w.now)
	_, tell := h.engine.ReviewSilence(w.now)
	h.fleet.SetOwnSilence(h.engine.Silence(w.now), h.engine.IsCutOff(w.now), tell, w.now)
}

func (w *silenceWorld) report(h *silenceHost, to netip.AddrPort, early bool) {
	var peer *silenceHost
	for _, other := range w.hosts {
		if other.self.Address == to {
			peer = other
		}
	}
	sentAt, fresh := w.now, Freshness{Known: true, Revision: 1}
	r := &Report{Host: h.self, Freshness: fresh, Early: early}
	if early {
		r.Loads, r.WholeDataCentre = h.fleet.EarlyReport(to, w.now)
	} else {
		r.Loads, r.WholeDataCentre = h.fleet.ReportLoads(to, h.engine.Loads(w.now), w.now)
	}
	w.after(silenceStep, func() {
		from, to := h.self.DataCentre, peer.self.DataCentre
		if w.now < peer.paused || w.deaf(peer) || from != to && (from == w.isolated || to == w.isolated) {
			w.after(600*time.Millisecond, func() { h.fleet.HandleFailure(peer.self.Address, w.now) })
			return
		}
		peer.fleet.HandleReport(r, w.now)
		w.exchange(peer)
		reply := &Reply{Host: peer.self, Freshness: fresh, Early: true, Loads: peer.fleet.EarlyReply(h.self, w.now)}
		if !early {
			reply = &Reply{
				Host: peer.self, Freshness: fresh, Hosts: peer.fleet.Candidates(h.self.Name, h.self.DataCentre, w.now),
				HostCount: peer.fleet.HostCount(), KnownHosts: peer.fleet.KnownHosts(),
				Loads: peer.fleet.ReplyLoads(h.self.Name, h.self.DataCentre, peer.engine.Loads(w.now), w.now),
			}
		}
		w.after(silenceStep, func() {
			if w.deaf(h) {
				return
			}
			h.fleet.HandleReply(reply, w.now)
			if early {
				h.fleet.HandlePollReply(peer.self.Name, sentAt)
			}
		})
	})
}

// fall makes every fifth target silent.
func (w *silenceWorld) fall(silent bool) {
	for i, token := range w.names {
		if i%5 == 0 {
			w.setSilent(w.targets[token], silent)
		}
	}
}

// fallOutcome lets every fifth target fall silent for 9 s.
func (w *silenceWorld) fallOutcome() {
	w.run(5 * time.Second)
	w.fallAt, w.failed, w.issued = w.now, 0, 0
	w.fall(true)
	w.run(9 * time.Second)
}

// darkTargets returns the number of dark targets, added up over all hosts.
func (w *silenceWorld) darkTargets() int {
	n := 0
	for _, h := range w.hosts {
		n += len(h.engine.DarkTargets(w.now))
	}
	return n
}

// inGroup reports whether the host belongs to one of n groups, each with hosts of all data centres.
func (h *silenceHost) inGroup(n byte) bool { return h.self.Address.Addr().As4()[3]/4%n == 0 }

// restart replaces the processes of the chosen hosts by those of a fresh world of the same size.
func (w *silenceWorld) restart(fresh *silenceWorld, chosen func(*silenceHost) bool) {
	for i, h := range w.hosts {
		if chosen(h) {
			h.engine, h.fleet, h.last = fresh.hosts[i].engine, fresh.hosts[i].fleet, 0
		}
	}
}

// deafen makes the hosts of one of n groups receive no messages for the given time.
func (w *silenceWorld) deafen(n byte, d time.Duration) {
	until := w.now + d
	w.deaf = func(h *silenceHost) bool { return w.now < until && h.inGroup(n) }
}
