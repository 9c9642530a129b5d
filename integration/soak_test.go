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
	soakSeed = flag.Uint64("soak.seed", 1, "first seed of the soak test")
	// soakRunRegressions is off in CI, because a focused test covers the cause of each seed there.
	soakRunRegressions = flag.Bool("soak.regressions", false, "first run the seeds that failed in the past")
	soakSeeds          = flag.Int("soak.seeds", 1, "number of consecutive seeds to run")
)

// soakRegressions maps the seeds that failed in the past to the cause of the failure.
var soakRegressions = map[uint64]string{
	123: "a suspended host treated a target whose record had been removed as stopped and reset its flows on resuming; later " +
		"also because an audit that found missed changes counted as confirmation that the target was still gone",
	133: "as seed 123, for two sessions",
}

const (
	soakHosts   = 4
	soakTargets = 8
	faultPhase  = 7 * time.Second
	// recoveryTime is the time after the last fault from which changes must be in force within propagationLimit again.
	recoveryTime = 4 * time.Second
	copyAge      = 2 * time.Second        // age of the copy from which the store is restored
	restoreTime  = 300 * time.Millisecond // for which the store does not answer before
	rewriteDelay = 700 * time.Millisecond // until lost records are written again
)

// soak injects faults into a deployment from outside. Faults may overlap, and each one is undone after a while.
type soak struct {
	*directDeployment
	random      *rand.Rand
	silences    *rand.Rand // of the silent connections, apart so that the other faults of a seed stay the same
	evacuations *rand.Rand // of the evacuations, apart for the same reason
	restores    *rand.Rand // of the restores of the store, apart for the same reason
	cutTimes    *rand.Rand // of the brief cuts of targets, apart for the same reason
	wg          sync.WaitGroup
	hostLocks   [soakHosts]sync.Mutex // held while a signal to the host takes effect
	targetLocks [soakTargets]sync.Mutex
	log         []string
}

// TestSoak guards against violated guarantees under overlapping faults: packets of a service that reach a target of another
// one, requests that are not idempotent and run twice, sessions that are reset while their target is live, and, after the
// faults, changes that are not in force in time, new flows in an evacuated data centre and requests that fail.
func TestSoak(t *testing.T) {
	var seeds []uint64
	if *soakRunRegressions {
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
	s := &soak{
		directDeployment: startDirect(t, soakHosts, soakTargets), random: rand.New(rand.NewPCG(seed, 0)),
		silences: rand.New(rand.NewPCG(seed, 1)), restores: rand.New(rand.NewPCG(seed, 2)), evacuations: rand.New(rand.NewPCG(seed, 3)),
		cutTimes: rand.New(rand.NewPCG(seed, 4)),
	}
	tr := s.startTraffic(32, 4)
	tr.recorder = s.recorder
	for range 2 {
		s.injectFaults(faultPhase)
		s.wg.Wait()
		s.checkRecovery()
	}
	tr.finish()
	for _, fault := range tr.resetsWithLiveTarget {
		t.Error(fault)
	}
	for _, moved := range tr.movedSessions {
		t.Error(moved)
	}
	s.expectNoViolations()
	if t.Failed() {
		for _, line := range s.log {
			t.Log(line)
		}
	}
}

// injectFaults starts random faults at random times for the given time.
func (s *soak) injectFaults(d time.Duration) {
	faults := []func(time.Duration){
		s.kill, s.stopGracefully, s.freeze, s.reload, s.degradeStoreLink, s.degradePeerLink, s.failStore, s.dropHistory,
		s.degradeTargetLink, s.crashTarget, s.removeTargetRecord, s.changeRoutes,
	}
	s.undoAfter(time.Duration(s.silences.Int64N(int64(d))), s.silenceConnections)
	s.evacuateFor(time.Duration(s.evacuations.Int64N(int64(d))))
	s.undoAfter(time.Duration(s.restores.Int64N(int64(d))), s.restoreStore)
	s.wg.Go(s.cutTargetsInTurn)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
		faults[s.random.IntN(len(faults))](time.Duration(300+s.random.IntN(2500)) * time.Millisecond)
	}
}

func (s *soak) logf(format string, args ...any) {
	s.log = append(s.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// undoAfter runs undo after the given time. The wait group counts it, so that the check after the faults waits for it.
func (s *soak) undoAfter(d time.Duration, undo func()) {
	s.wg.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// lockHost locks a random host and returns it with the function that unlocks it. It returns nil if the host is locked already
// because an earlier signal still takes effect.
func (s *soak) lockHost() (*directHost, func()) {
	i := s.random.IntN(soakHosts)
	if !s.hostLocks[i].TryLock() {
		return nil, nil
	}
	return s.hosts[i], s.hostLocks[i].Unlock
}

func (s *soak) kill(d time.Duration) {
	if h, release := s.lockHost(); h != nil {
		s.logf("host %d is killed and restarts after %v", h.number, d)
		h.signal(syscall.SIGKILL)
		<-h.done
		s.undoAfter(d, func() { s.startHost(h); release() })
	}
}

func (s *soak) stopGracefully(d time.Duration) {
	if h, release := s.lockHost(); h != nil {
		s.logf("host %d is stopped gracefully", h.number)
		h.signal(syscall.SIGTERM)
		s.undoAfter(0, func() {
			select {
			case <-h.done:
			case <-time.After(6 * time.Second):
				s.t.Errorf("host %d did not stop within its grace period", h.number)
				h.signal(syscall.SIGKILL)
				<-h.done
			}
			time.Sleep(d / 4)
			s.startHost(h)
			release()
		})
	}
}

func (s *soak) freeze(d time.Duration) {
	if h, release := s.lockHost(); h != nil {
		s.logf("host %d is suspended for %v", h.number, d)
		h.signal(syscall.SIGSTOP)
		s.undoAfter(d, func() { h.signal(syscall.SIGCONT); release() })
	}
}

func (s *soak) reload(time.Duration) {
	if h, release := s.lockHost(); h != nil {
		h.signal(syscall.SIGHUP)
		release()
	}
}

// randomLinkFaults returns the faults of a link that resets connections, drops all data in both directions or in one, or
// delays it.
func (s *soak) randomLinkFaults() proxy.LinkFaults {
	slow := proxy.Faults{DelayMS: 50, JitterMS: 300}
	return []proxy.LinkFaults{
		{Forward: proxy.Faults{ResetConns: true}, Back: proxy.Faults{ResetConns: true}},
		{Forward: proxy.Faults{Cut: true}, Back: proxy.Faults{Cut: true}},
		{Back: proxy.Faults{Cut: true}},
		{Forward: proxy.Faults{Cut: true}},
		{Forward: slow, Back: slow},
	}[s.random.IntN(5)]
}

// silenceConnections makes the open connections of all hosts to the store and to each other carry nothing more. New ones work.
func (s *soak) silenceConnections() {
	for _, h := range s.hosts {
		for _, link := range []string{"store-", "peer-"} {
			s.proxy.Silence(fmt.Sprint(link, h.number))
		}
	}
}

func (s *soak) degradeLink(name string, faults proxy.LinkFaults, d time.Duration) {
	s.logf("link %s: %+v for %v", name, faults, d)
	s.proxy.SetFaults(name, netip.Addr{}, faults)
	s.undoAfter(d, func() { s.proxy.SetFaults(name, netip.Addr{}, proxy.LinkFaults{}) })
}

func (s *soak) degradeStoreLink(d time.Duration) {
	s.degradeLink(fmt.Sprint("store-", 1+s.random.IntN(soakHosts)), s.randomLinkFaults(), d)
}

func (s *soak) degradePeerLink(d time.Duration) {
	s.degradeLink(fmt.Sprint("peer-", 1+s.random.IntN(soakHosts)), s.randomLinkFaults(), d)
}

func (s *soak) degradeTargetLink(d time.Duration) {
	lossy := proxy.Faults{Loss: 0.2, Duplicate: 0.1, Reorder: 0.1, ReorderMS: 30}
	s.degradeLink(fmt.Sprint("target-", 1+s.random.IntN(soakTargets)), proxy.LinkFaults{Forward: lossy}, d)
}

func (s *soak) failStore(d time.Duration) {
	s.logf("the store fails all calls for %v", d)
	s.store.SetFailing(true)
	s.undoAfter(d, func() { s.store.SetFailing(false) })
}

func (s *soak) dropHistory(time.Duration) {
	s.logf("the store drops its history")
	s.store.DropHistory()
}

// restoreStore restores the store from a copy that is copyAge old, after a moment without the store. Targets and the operator write again
// what they wrote.
func (s *soak) restoreStore() {
	backup := s.store.Copy()
	time.Sleep(copyAge)
	s.store.SetFailing(true)
	time.Sleep(restoreTime)
	s.store.Restore(backup)
	s.store.SetFailing(false)
	time.Sleep(rewriteDelay)
	for i := range s.targetLocks {
		if s.targetLocks[i].TryLock() { // otherwise its record is written at the end of its own fault
			s.putTargetRecord(i+1, "ready")
			s.targetLocks[i].Unlock()
		}
	}
	s.publish()
	s.repeatEvacuations()
}

// crashTarget stops a target without a drain notice and starts it again under the same name after the given time.
func (s *soak) crashTarget(d time.Duration) {
	i := s.random.IntN(soakTargets)
	if !s.targetLocks[i].TryLock() {
		return
	}
	s.logf("target %d crashes and restarts after %v", i+1, d)
	s.stopTarget(i + 1)
	s.undoAfter(d, func() { s.startTarget(i + 1); s.targetLocks[i].Unlock() })
}

// cutTargetsInTurn cuts two targets at a time off from the balancers, three times.
func (s *soak) cutTargetsInTurn() {
	for range 3 {
		time.Sleep(time.Duration(s.cutTimes.IntN(1000)) * time.Millisecond)
		duration := time.Duration(500+s.cutTimes.IntN(1500)) * time.Millisecond
		var wg sync.WaitGroup
		for _, i := range s.cutTimes.Perm(soakTargets)[:2] {
			if s.targetLocks[i].TryLock() {
				wg.Go(func() {
					s.cutTarget(i+1, duration)
					s.putTargetRecord(i+1, "ready") // a store that was restored meanwhile may have lost it
					s.targetLocks[i].Unlock()
				})
			}
		}
		wg.Wait()
	}
}

// removeTargetRecord removes the record of a live target for a shorter time than balancers wait for a record to return.
func (s *soak) removeTargetRecord(time.Duration) {
	i := s.random.IntN(soakTargets)
	if !s.targetLocks[i].TryLock() {
		return
	}
	s.logf("the record of live target %d is removed for 1.5 s", i+1)
	s.store.Delete("servers/" + targetName(i+1))
	s.undoAfter(1500*time.Millisecond, func() { s.putTargetRecord(i+1, "ready"); s.targetLocks[i].Unlock() })
}

// evacuateFor evacuates a data centre, and takes that back after the given time.
func (s *soak) evacuateFor(d time.Duration) {
	dataCentre := dataCentres[s.evacuations.IntN(len(dataCentres))]
	s.logf("data centre %s is evacuated for %v", dataCentre, d)
	s.evacuate(dataCentre, true)
	s.undoAfter(d, func() { s.evacuate(dataCentre, false) })
}

func (s *soak) changeRoutes(time.Duration) {
	port := uint16(9000 + s.random.IntN(3))
	s.logf("a route for port %d is published", port)
	s.setPorts(443, 8443, port)
}

// checkRecovery checks that changes are in force in time and requests are answered after the faults.
func (s *soak) checkRecovery() {
	s.logf("all faults are over")
	time.Sleep(recoveryTime)
	s.eventually("all hosts are in rotation", 3*time.Second, func() bool { return s.hostsInRotation() == soakHosts })
	drained, number := time.Now(), 1+s.random.IntN(soakTargets)
	s.putTargetRecord(number, "draining")
	evacuated := dataCentres[s.evacuations.IntN(len(dataCentres))]
	s.evacuate(evacuated, true)
	s.setPorts(443, 8443, 9443)
	s.eventually("a new route is served everywhere", propagationLimit, func() bool { return s.hostsServing(9443) == soakHosts })
	s.setPorts(443, 8443)
	s.eventually("a removed route is served nowhere", propagationLimit, func() bool { return s.hostsServing(9443) == 0 })
	time.Sleep(time.Until(drained.Add(propagationLimit + time.Second)))
	for _, o := range s.recorder.OpeningPackets() {
		if o.Target == targetName(number) && o.At.Sub(drained) > propagationLimit {
			s.t.Errorf("a draining target received a new flow %v after its notice, later than propagationLimit", o.At.Sub(drained))
		}
	}
	if n := s.openingsIn(evacuated, drained.Add(propagationLimit)); n > 0 {
		s.t.Errorf("%d new flows went to evacuated data centre %s, later than propagationLimit", n, evacuated)
	}
	s.evacuate(evacuated, false)
	s.putTargetRecord(number, "ready")
	c := s.newCaller(220 + s.random.IntN(20))
	defer c.Close()
	for n := range 50 {
		f, err := c.Open(s.endpoint(443))
		if err != nil {
			s.t.Errorf("open the flow of request %d after the faults: %v", n, err)
			continue
		}
		if _, err := f.Request(fmt.Sprint("calm-", n), time.Second); err != nil {
			s.t.Errorf("request %d after the faults: %v", n, err)
		}
		f.Close()
	}
}
