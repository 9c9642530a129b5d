package direct

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/relay"
)

// agreementTime is the time after the last disturbance within which all hosts must agree with the store.
const agreementTime = 5 * time.Second

// run advances the time, and fails the test if a rule is broken meanwhile.
func (s *simulation) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := s.now + d; s.now < end; {
		s.step()
		if broken := s.checkInvariants(); broken != "" {
			t.Fatalf("at %v: %s", s.now, broken)
		}
	}
}

// disagreement returns how a host differs from the store in the era, the configuration or a target, or "".
func (s *simulation) disagreement() string {
	for _, h := range s.hosts {
		d := h.control.directory
		if d.Revision().Era() != s.store.revision.Era() || d.Configuration().Version != s.store.newest().Version {
			return fmt.Sprintf("%s is at %v with version %d, want %v and %d", h.self.Name, d.Revision(), d.Configuration().Version,
				s.store.revision, s.store.newest().Version)
		}
		for _, t := range s.targets {
			got, want := presence(h.control, t.Name), directory.Ready
			switch {
			case !t.listed && got >= directory.Lapsed:
				continue
			case !t.listed:
				want = directory.Departed
			case t.Draining:
				want = directory.Draining
			}
			if got != want {
				return fmt.Sprintf("%s takes target %s for %v, want %v", h.self.Name, t.Name, got, want)
			}
		}
	}
	return ""
}

// change makes changes that a restored store loses: a new configuration, a target that drains, one that has left, a new one, and one that
// has the address of another.
func (s *simulation) change(t *testing.T) {
	s.drain(nil, s.targets[0])
	s.drain(nil, s.targets[2])
	s.endTarget(s.targets[4])
	s.run(t, drainTime+simStep)
	s.leave(nil, s.targets[2])
	s.reuse(nil, s.targets[4])
	s.addTarget(2, 0)
	s.store.configure(simRoute(1), s.now)
	s.run(t, time.Second)
}

// lostChanges is the number of changes that the store loses in the cases below: those of simulation.change.
const lostChanges = 9

func (s *simulation) lose(lost uint64) {
	s.store.restore(lost, s.now)
	s.relistTargets()
}

// Restores the store from a copy that lacks the last changes. Guards against hosts that do not agree with the store afterwards, or
// that reset flows of living targets, place flows at those that drain or have left, or return to an earlier configuration meanwhile.
func TestRestoredStore(t *testing.T) {
	for name, drill := range map[string]func(t *testing.T, s *simulation){
		"all hosts connected": func(_ *testing.T, s *simulation) { s.lose(lostChanges) },
		"store down for a moment": func(t *testing.T, s *simulation) {
			s.store.down, s.store.downChanged = true, s.now
			s.run(t, 3*time.Second)
			s.store.down = false
			s.lose(lostChanges)
		},
		"partitioned hosts in the earlier era": func(t *testing.T, s *simulation) {
			s.isolated[0], s.isolatedAt[0] = true, s.now
			s.lose(lostChanges)
			s.run(t, 8*time.Second)
			s.isolated[0], s.isolatedAt[0] = false, s.now
		},
		"restarted hosts that know only the copy": func(t *testing.T, s *simulation) {
			s.lose(lostChanges)
			s.run(t, 2*simStep)
			s.killDataCentre(s.hosts[0], nil)
			s.run(t, time.Second)
			s.hosts[4].end(simRestart)
		},
		"relay of the earlier era with the highest revision": func(t *testing.T, s *simulation) {
			for i := range 500 {
				s.store.configure(simRoute(i%2), s.now)
			}
			s.run(t, 2*time.Second)
			s.hosts[0].pause(2 * time.Second)
			s.hosts[3].pause(3 * time.Second)
			s.lose(490)
			s.run(t, 3*time.Second)
		},
		"two restores in a row": func(t *testing.T, s *simulation) {
			s.lose(lostChanges)
			s.run(t, time.Second)
			s.lose(lostChanges / 2)
		},
		"restores while data centres are cut off": func(t *testing.T, s *simulation) {
			s.isolated[1], s.isolatedAt[1] = true, s.now
			s.lose(lostChanges)
			s.run(t, 2*time.Second)
			s.isolated[1], s.isolated[2], s.isolatedAt[1], s.isolatedAt[2] = false, true, s.now, s.now
			s.lose(2)
			s.run(t, 6*time.Second)
			s.isolated[2], s.isolatedAt[2] = false, s.now
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s, err := newSimulation(rand.New(rand.NewPCG(seed, 2)))
				if err != nil {
					t.Fatal(err)
				}
				s.run(t, 6*time.Second)
				s.change(t)
				drill(t, s)
				s.run(t, agreementTime)
				if differs := s.disagreement(); differs != "" {
					t.Errorf("seed %d: %s", seed, differs)
				}
				s.run(t, agreementTime)
			}
		})
	}
}

// Guards against a host that knows only the copy and does not learn from others what the store has lost, because both have the same
// revision, and against answers of the store in an earlier era that count as evidence in the new one.
func TestExchangeAfterRestore(t *testing.T) {
	now := time.Minute
	c := newTestControl(t, func() time.Duration { return now }, logrus.New())
	era := directory.Revision(1) << 48
	read := func(b directory.Batch) {
		c.handleRead(readResult{read: directory.Read{Kind: directory.ReadList}, page: directory.Page{Batch: b}, sentAt: now})
	}
	known, restored := singleTargetList(5), singleTargetList(era+5)
	known.Configuration = &directory.Configuration{Version: 7, Revision: 4}
	known.Evacuations = []directory.Evacuation{{DataCentre: "a", Revision: 3}}
	read(known)
	read(restored)
	peer := relay.Host{Name: "peer", DataCentre: "a", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.3:1")}
	report := &relay.Report{Host: peer, WantsChanges: true, Freshness: relay.Freshness{Known: true, Revision: era + 5, Version: 1}}
	changes := c.handleReport(report).Changes
	version, evacuations := changes.Configuration, changes.Evacuations
	if version == nil || version.Version != 7 || len(evacuations) != 1 || evacuations[0].Hold == 0 {
		t.Errorf("a host that knows only the copy gets %+v, want version 7 and the evacuation", changes)
	}
	report.Freshness.Version = 7
	if changes := c.handleReport(report).Changes; changes.Configuration != nil {
		t.Errorf("a host with version 7 gets version %d", changes.Configuration.Version)
	}
	now += 10 * time.Second
	earlier := relay.Freshness{Known: true, Steady: 10 * time.Second, Revision: 5}
	c.handleReply(replyResult{sentAt: now, reply: &relay.Reply{Host: peer, Freshness: earlier}})
	read(known)
	if age, _ := c.directory.Confirmed(now); age < 10*time.Second {
		t.Errorf("an answer in the earlier era counts as evidence of %v ago", age)
	}
}
