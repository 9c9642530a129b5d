package integration

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
)

var (
	soakSeed = flag.Uint64("soak.seed", 1, "first seed of the fault soak")
	// soakRegress is off in CI, where the cause of each seed has a focused test.
	soakRegress = flag.Bool("soak.regressions", false, "run the seeds that failed once first")
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds, one after the other")
)

// soakRegressions are seeds that failed once, with the cause.
var soakRegressions = map[uint64]string{
	123: "a host that stood still took a target whose record had lapsed for ended, and reset its flows at waking; again when an audit " +
		"that showed changes missing counted as proof that the target was still gone",
	133: "as 123, on two sessions",
}

const (
	soakHosts   = 4
	soakTargets = 8
	noisyTime   = 7 * time.Second
	// touchTime is how long after a fault the bounds hold again.
	touchTime = 4 * time.Second
)

// soak injects faults into a deployment from outside. Faults overlap; each ends by itself.
type soak struct {
	*direct
	random *rand.Rand
	wg     sync.WaitGroup
	busy   [soakHosts]sync.Mutex // held while a signal's consequences last
	down   [soakTargets]sync.Mutex
	log    []string
}

// TestSoak guards every promise at once while faults come in series and overlap: packets of a service reach no other
// target, requests that are not idempotent run once, sessions are not reset while their target lives, and when the faults
// are over, changes are in force in time and everything is served.
func TestSoak(t *testing.T) {
	var seeds []uint64
	if *soakRegress {
		seeds = slices.Sorted(maps.Keys(soakRegressions))
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{direct: startDirect(t, soakHosts, soakTargets), random: rand.New(rand.NewPCG(seed, 0))}
	tr := s.startTraffic(12, 4)
	tr.ledger = s.ledger
	for range 2 {
		s.noise(noisyTime)
		s.wg.Wait()
		s.calm()
	}
	tr.end()
	for _, fault := range tr.brokenWhileHeld {
		t.Error(fault)
	}
	for _, moved := range tr.moved {
		t.Error(moved)
	}
	s.expectNoFaults()
	if t.Failed() {
		for _, line := range s.log {
			t.Log(line)
		}
	}
}

// noise starts faults at random moments.
func (s *soak) noise(d time.Duration) {
	faults := []func(time.Duration){s.kill, s.stop, s.freeze, s.hangUp, s.storeLink, s.peerLink, s.storeDown, s.history, s.targetLink, s.crashTarget, s.lapse, s.configuration}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
		faults[s.random.IntN(len(faults))](time.Duration(300+s.random.IntN(2500)) * time.Millisecond)
	}
}

func (s *soak) note(format string, args ...any) {
	s.log = append(s.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// later runs undo after a while, and makes the end of the noise wait for it.
func (s *soak) later(d time.Duration, undo func()) {
	s.wg.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// host returns a host that no other signal is at work on, or nil.
func (s *soak) host() (*directHost, func()) {
	i := s.random.IntN(soakHosts)
	if !s.busy[i].TryLock() {
		return nil, nil
	}
	return s.hosts[i], s.busy[i].Unlock
}

func (s *soak) kill(d time.Duration) {
	if h, release := s.host(); h != nil {
		s.note("kill host %d for %v", h.number, d)
		h.signal(syscall.SIGKILL)
		<-h.done
		s.later(d, func() { s.start(h); release() })
	}
}

func (s *soak) stop(d time.Duration) {
	if h, release := s.host(); h != nil {
		s.note("stop host %d", h.number)
		h.signal(syscall.SIGTERM)
		s.later(0, func() {
			select {
			case <-h.done:
			case <-time.After(6 * time.Second):
				s.t.Errorf("host %d did not stop within its grace period", h.number)
				h.signal(syscall.SIGKILL)
				<-h.done
			}
			time.Sleep(d / 4)
			s.start(h)
			release()
		})
	}
}

func (s *soak) freeze(d time.Duration) {
	if h, release := s.host(); h != nil {
		s.note("freeze host %d for %v", h.number, d)
		h.signal(syscall.SIGSTOP)
		s.later(d, func() { h.signal(syscall.SIGCONT); release() })
	}
}

func (s *soak) hangUp(time.Duration) {
	if h, release := s.host(); h != nil {
		h.signal(syscall.SIGHUP)
		release()
	}
}

// link returns the faults of a link: reset, silent in both directions or one, or slow.
func (s *soak) link() proxy.LinkFaults {
	slow := proxy.Faults{DelayMS: 50, JitterMS: 300}
	return []proxy.LinkFaults{
		{Forward: proxy.Faults{ResetConns: true}, Back: proxy.Faults{ResetConns: true}},
		{Forward: proxy.Faults{Cut: true}, Back: proxy.Faults{Cut: true}},
		{Back: proxy.Faults{Cut: true}},
		{Forward: proxy.Faults{Cut: true}},
		{Forward: slow, Back: slow},
	}[s.random.IntN(5)]
}

func (s *soak) disturb(name string, faults proxy.LinkFaults, d time.Duration) {
	s.note("link %s: %+v for %v", name, faults, d)
	s.proxy.SetFaults(name, netip.Addr{}, faults)
	s.later(d, func() { s.proxy.SetFaults(name, netip.Addr{}, proxy.LinkFaults{}) })
}

func (s *soak) storeLink(d time.Duration) {
	s.disturb(fmt.Sprint("store-", 1+s.random.IntN(soakHosts)), s.link(), d)
}

func (s *soak) peerLink(d time.Duration) {
	s.disturb(fmt.Sprint("peer-", 1+s.random.IntN(soakHosts)), s.link(), d)
}

func (s *soak) targetLink(d time.Duration) {
	lossy := proxy.Faults{Loss: 0.2, Duplicate: 0.1, Reorder: 0.1, ReorderMS: 30}
	s.disturb(fmt.Sprint("target-", 1+s.random.IntN(soakTargets)), proxy.LinkFaults{Forward: lossy}, d)
}

func (s *soak) storeDown(d time.Duration) {
	s.note("store down for %v", d)
	s.store.SetFailing(true)
	s.later(d, func() { s.store.SetFailing(false) })
}

func (s *soak) history(time.Duration) {
	s.note("history dropped")
	s.store.DropHistory()
}

// crashTarget ends a target without notice. It starts again under its name.
func (s *soak) crashTarget(d time.Duration) {
	i := s.random.IntN(soakTargets)
	if !s.down[i].TryLock() {
		return
	}
	s.note("target %d crashes for %v", i+1, d)
	s.endTarget(i + 1)
	s.later(d, func() { s.startTarget(i + 1); s.down[i].Unlock() })
}

// lapse removes the record of a living target for less than the time in which records are back.
func (s *soak) lapse(time.Duration) {
	i := s.random.IntN(soakTargets)
	if !s.down[i].TryLock() {
		return
	}
	s.note("record of target %d lapses", i+1)
	s.store.Delete("servers/" + targetName(i+1))
	s.later(1500*time.Millisecond, func() { s.list(i+1, "ready"); s.down[i].Unlock() })
}

func (s *soak) configuration(time.Duration) {
	port := uint16(9000 + s.random.IntN(3))
	s.note("route for %d", port)
	s.setPorts(443, 8443, port)
}

// calm checks that bounds hold once the faults are over.
func (s *soak) calm() {
	s.note("calm")
	time.Sleep(touchTime)
	s.eventually("all hosts are in rotation", 3*time.Second, func() bool { return s.inRotation() == soakHosts })
	drained, number := time.Now(), 1+s.random.IntN(soakTargets)
	s.list(number, "draining")
	s.setPorts(443, 8443, 9443)
	s.eventually("a new route is served everywhere", inForceBound, func() bool { return s.servedBy(9443) == soakHosts })
	s.setPorts(443, 8443)
	s.eventually("a removed route is served nowhere", inForceBound, func() bool { return s.servedBy(9443) == 0 })
	time.Sleep(time.Until(drained.Add(inForceBound + time.Second)))
	for _, o := range s.ledger.OpeningPackets() {
		if o.Target == targetName(number) && o.At.Sub(drained) > inForceBound {
			s.t.Errorf("a new flow on a draining target after %v", o.At.Sub(drained))
		}
	}
	s.list(number, "ready")
	c := s.newCaller(220 + s.random.IntN(20))
	defer c.Close()
	for n := range 50 {
		f, err := c.Open(s.endpoint(443))
		if err != nil {
			s.t.Errorf("request %d in calm: %v", n, err)
			continue
		}
		if _, err := f.Request(fmt.Sprint("calm-", n), time.Second); err != nil {
			s.t.Errorf("request %d in calm: %v", n, err)
		}
		f.Close()
	}
}
