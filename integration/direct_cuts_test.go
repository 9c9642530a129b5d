package integration

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
	"github.com/marigoldwood/marigoldwood/platform/standin"
)

const (
	// takenBackWithin is the time from the first answer of a target that was cut off until no balancer resets its flows any more.
	takenBackWithin = time.Second
	// stableWindow is the same from the end of the cut, if the target gets nothing that it could answer.
	stableWindow = 4 * time.Second
	briefCut     = 1500 * time.Millisecond
)

// targetCuts holds when each target was last cut off from the balancers.
type targetCuts struct {
	mu   sync.Mutex
	ends map[string]time.Time // by name of the target; the zero time while it is cut off
}

// cutTarget cuts a target off from all balancers for the given time. It must not be cut off already.
func (d *directDeployment) cutTarget(number int, duration time.Duration) {
	d.setTargetCut(number, true)
	time.Sleep(duration)
	d.setTargetCut(number, false)
}

func (d *directDeployment) setTargetCut(number int, cut bool) {
	target := d.target(number)
	d.cuts.mu.Lock()
	defer d.cuts.mu.Unlock()
	d.proxy.SetFaults(fmt.Sprint("target-", number), netip.Addr{}, proxy.LinkFaults{Forward: proxy.Faults{Cut: cut}})
	if cut {
		d.cuts.ends[target.Name] = time.Time{}
	} else {
		d.cuts.ends[target.Name] = time.Now()
		target.AwaitAnswer()
	}
}

// mustKeepFlows reports whether no balancer may reset the flows of the target: it lives, and was not cut off, or has been back for long
// enough. A nil target has ended.
func (d *directDeployment) mustKeepFlows(t *standin.Target) bool {
	if t == nil {
		return false
	}
	d.cuts.mu.Lock()
	end, wasCut := d.cuts.ends[t.Name]
	d.cuts.mu.Unlock()
	switch first := t.FirstAnswer(); {
	case !wasCut:
		return true
	case end.IsZero():
		return false
	case time.Since(end) > stableWindow:
		return true
	default:
		return !first.IsZero() && time.Since(first) > takenBackWithin
	}
}

// Guards against open flows that are reset at targets that answer again after a brief cut, and against such targets that get no new flows:
// case review/6. The cuts come in series, beside a release, a crash and a restart of a host.
func TestDirectBriefCutsOfTargets(t *testing.T) {
	for name, requestsEndHandshakes := range map[string]bool{"both forms of handshake": false, "requests end handshakes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDirect(t, 6, 8)
			d.requestsEndHandshakes = requestsEndHandshakes
			d.cutTargetsBesideChanges()
		})
	}
}

func (d *directDeployment) cutTargetsBesideChanges() {
	tr := d.startTraffic(60, 4)
	tr.recorder = d.recorder
	tr.addIdleSessions(90)
	time.Sleep(stableWindow) // until the idle sessions have their flows
	for round, beside := range []func(){
		func() {},
		func() { d.putTargetRecord(8, "draining") },
		func() { d.stopTarget(7); d.startTarget(7) },
		func() {
			d.hosts[3].signal(syscall.SIGKILL)
			<-d.hosts[3].done
			d.startHost(d.hosts[3])
		},
	} {
		cut := []int{1 + 2*round%6, 2 + 2*round%6}
		var wg sync.WaitGroup
		for _, number := range cut {
			wg.Go(func() { d.cutTarget(number, briefCut) })
		}
		beside()
		wg.Wait()
		time.Sleep(stableWindow + takenBackWithin)
		for _, number := range cut {
			d.expectTakenBack(number)
		}
	}
	tr.finish()
	for _, fault := range append(tr.resetsWithLiveTarget, tr.movedSessions...) {
		d.t.Error(fault)
	}
	d.expectNoViolations()
}

// expectTakenBack fails the test unless the target, which was cut off before, has received new flows since takenBackWithin after its first
// answer.
func (d *directDeployment) expectTakenBack(number int) {
	target := d.target(number)
	first := target.FirstAnswer()
	for _, o := range d.recorder.OpeningPackets() {
		if o.Target == target.Name && !first.IsZero() && o.At.After(first.Add(takenBackWithin)) && o.At.Before(first.Add(2*takenBackWithin)) {
			return
		}
	}
	d.t.Errorf("target %s, which answered first at %s, got no new flow in the second after %v", target.Name, first.Format("05.000"), takenBackWithin)
}
