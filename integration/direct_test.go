package integration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/platform/standin"
)

// propagationLimit is the longest time until a new configuration or the draining of a target is in force on all hosts.
const propagationLimit = 3 * time.Second

// traffic runs sessions and single requests until finish is called, and counts their results.
type traffic struct {
	d                                         *directDeployment
	wg                                        sync.WaitGroup
	stop                                      chan struct{}
	answered, refused, timedOut, targetResets atomic.Int64
	balancerResets                            atomic.Int64
	mu                                        sync.Mutex
	movedSessions                             []string
	recorder                                  *standin.Recorder // if not nil, resets of flows with a live target are recorded
	resetsWithLiveTarget                      []string
	unsafeRequests                            atomic.Int64
	sessionInterval, requestInterval          time.Duration
}

func (d *directDeployment) startTraffic(sessions, requesters int) *traffic {
	tr := &traffic{d: d, stop: make(chan struct{}), sessionInterval: 100 * time.Millisecond, requestInterval: 20 * time.Millisecond}
	for i := range sessions {
		c := d.newCaller(i + 1)
		tr.wg.Go(func() { tr.runSession(c, i, tr.sessionInterval) })
	}
	for i := range requesters {
		c := d.newCaller(100 + i)
		tr.wg.Go(func() { tr.runRequests(c) })
	}
	return tr
}

// addIdleSessions adds sessions with a request every 3 to 6 s. They use the addresses of the callers from 110 on.
func (tr *traffic) addIdleSessions(sessions int) {
	for i := range sessions {
		c := tr.d.newCaller(110 + i)
		tr.wg.Go(func() { tr.runSession(c, 110+i, 3*time.Second+time.Duration(i)*3*time.Second/time.Duration(sessions)) })
	}
}

func (tr *traffic) finish() {
	close(tr.stop)
	tr.wg.Wait()
	tr.d.t.Logf("answered %d, refused %d, timed out %d, reset by targets %d, reset by balancers %d",
		tr.answered.Load(), tr.refused.Load(), tr.timedOut.Load(), tr.targetResets.Load(), tr.balancerResets.Load())
}

// stoppedWithin waits until the traffic is stopped or the time has passed, and reports whether it is stopped.
func (tr *traffic) stoppedWithin(wait time.Duration) bool {
	select {
	case <-tr.stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// runSession sends requests over one flow, and opens a new flow after an error other than a timeout. It records responses that
// come from another target than the first one of the flow, and resets by a balancer while the flow's target is live.
func (tr *traffic) runSession(c *standin.Caller, number int, interval time.Duration) {
	for !tr.stoppedWithin(interval) {
		f, err := c.Open(tr.d.endpoint(443))
		if err != nil {
			tr.countResult(err)
			continue
		}
		firstTarget := ""
		for n := 0; !tr.stoppedWithin(interval); n++ {
			target, err := f.Request(fmt.Sprintf("feed-%d-%d", number, n), 2*time.Second)
			tr.countResult(err)
			if errors.Is(err, standin.ErrBalancerReset) && tr.recorder != nil && tr.d.mustKeepFlows(f.LiveTarget(tr.recorder)) {
				tr.mu.Lock()
				tr.resetsWithLiveTarget = append(tr.resetsWithLiveTarget, fmt.Sprintf(
					"%s session %d was reset by a balancer while its target %s is live", time.Now().Format("05.000"), number, firstTarget))
				tr.mu.Unlock()
			}
			if err != nil && !errors.Is(err, standin.ErrTimeout) {
				break
			}
			if err == nil && firstTarget == "" {
				firstTarget = target
			}
			if err == nil && target != firstTarget {
				tr.mu.Lock()
				tr.movedSessions = append(tr.movedSessions, fmt.Sprintf("session %d moved from %s to %s", number, firstTarget, target))
				tr.mu.Unlock()
			}
		}
		f.Close()
	}
}

// runRequests opens a flow for each request. It does not retry requests, because they are not idempotent; only a flow that
// failed to open is followed by another one.
func (tr *traffic) runRequests(c *standin.Caller) {
	for !tr.stoppedWithin(tr.requestInterval) {
		f, err := c.Open(tr.d.endpoint(8443))
		if err != nil {
			tr.countResult(err)
			continue
		}
		_, err = f.Request(fmt.Sprintf("unsafe-%d", tr.unsafeRequests.Add(1)), 2*time.Second)
		tr.countResult(err)
		f.Close()
	}
}

func (tr *traffic) countResult(err error) {
	switch {
	case err == nil:
		tr.answered.Add(1)
	case errors.Is(err, standin.ErrRefused):
		tr.refused.Add(1)
	case errors.Is(err, standin.ErrTargetReset):
		tr.targetResets.Add(1)
	case errors.Is(err, standin.ErrBalancerReset):
		tr.balancerResets.Add(1)
	default:
		tr.timedOut.Add(1)
	}
}

// expectUninterrupted fails the test if a session changed its target or a request was not answered, or if the targets recorded
// a violation.
func (tr *traffic) expectUninterrupted() {
	tr.d.t.Helper()
	for _, m := range tr.movedSessions {
		tr.d.t.Error(m)
	}
	if tr.balancerResets.Load() > 0 || tr.targetResets.Load() > 0 || tr.timedOut.Load() > 0 || tr.refused.Load() > 0 ||
		tr.answered.Load() == 0 {
		tr.d.t.Errorf("callers were affected: expected only answered requests and at least one; the counts are logged above")
	}
	tr.d.expectNoViolations()
}

// Guards against interrupted sessions and requests during a rolling restart, in which every balancer in turn is stopped
// gracefully and started again, and against a balancer that does not stop within its grace period.
func TestDirectRestartInTurn(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	tr := d.startTraffic(20, 3)
	for _, h := range d.hosts {
		h.signal(syscall.SIGTERM)
		select {
		case <-h.done:
		case <-time.After(6 * time.Second):
			t.Error("a host did not stop within its grace period of 6 s")
			h.signal(syscall.SIGKILL)
			<-h.done
		}
		// Packets that the fabric sends to a host between the end of its process and its removal from rotation are lost.
		d.eventually("the host is out of rotation", 5*time.Second, func() bool { return d.hostsInRotation() == len(d.hosts)-1 })
		d.startHost(h)
		d.eventually("the host is back", 5*time.Second, func() bool { return d.hostsInRotation() == len(d.hosts) })
	}
	tr.finish()
	tr.expectUninterrupted()
}

// Guards against a new configuration or a draining target that is not in force on all hosts within propagationLimit, and
// against sessions that break while their target drains.
func TestDirectChangesInForce(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	tr := d.startTraffic(20, 3)
	d.putTargetRecord(1, "draining")
	drained := time.Now()
	d.setPorts(443, 8443, 9443)
	d.eventually("a new route is served everywhere", propagationLimit, func() bool { return d.hostsServing(9443) == len(d.hosts) })
	d.setPorts(443, 8443)
	d.eventually("a removed route is served nowhere", propagationLimit, func() bool { return d.hostsServing(9443) == 0 })
	time.Sleep(2 * propagationLimit)
	for _, o := range d.recorder.OpeningPackets() {
		if o.Target == targetName(1) && o.At.Sub(drained) > propagationLimit {
			t.Errorf("a draining target received a new flow %v after its notice, expected none after propagationLimit", o.At.Sub(drained))
		}
	}
	tr.finish()
	tr.expectUninterrupted()
}

// hostsServing returns the number of hosts that accept a flow to the endpoint, or -1 on an error.
func (d *directDeployment) hostsServing(port uint16) int {
	serving := 0
	for _, h := range d.hosts {
		caller, err := standin.NewCaller(d.address(callerSubnet, 210+h.number, dataPort), func(netip.AddrPort) netip.AddrPort {
			return d.address(balancerSubnet, h.number, dataPort)
		})
		if err != nil {
			d.t.Error(err)
			return -1
		}
		if f, err := caller.Open(d.endpoint(port)); err == nil {
			serving++
			f.Close()
		}
		caller.Close()
	}
	return serving
}

// status returns the status of a host, or nil if the host does not answer.
func (d *directDeployment) status(h *directHost) *status.Status {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.address(balancerSubnet, h.number, metricsPort).String() + "/status")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var s status.Status
	if json.NewDecoder(response.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}

// Guards against connections to the store or between balancers that receive nothing any more and are treated as idle, so that
// changes are missed.
func TestDirectSilentConnections(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	silent := proxy.LinkFaults{Back: proxy.Faults{Cut: true}}
	for _, h := range d.hosts {
		for _, link := range []string{"store-", "peer-"} {
			d.proxy.SetFaults(fmt.Sprint(link, h.number), netip.Addr{}, silent)
		}
	}
	time.Sleep(2 * time.Second)
	for _, h := range d.hosts {
		d.proxy.SetFaults(fmt.Sprint("peer-", h.number), netip.Addr{}, proxy.LinkFaults{})
	}
	d.proxy.SetFaults("store-2", netip.Addr{}, proxy.LinkFaults{}) // only host 2 can reach the store again
	d.setPorts(443, 8443, 9443)
	// The silent connection is given up when the watch and its timeout expire, after 2 s. The limit counts from then.
	d.eventually("a new route is served everywhere", 2*time.Second+propagationLimit,
		func() bool { return d.hostsServing(9443) == len(d.hosts) })
	d.expectNoViolations()
}

// Guards against a process that terminates on SIGHUP, and against an operator interface that does not answer.
func TestDirectReloadAndOperatorPort(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 2, 4)
	d.hosts[0].signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	for _, path := range []string{
		"/status", "/timeline", "/metrics", "/readyz", "/explain?flow=udp,127.0.0.5:1000," + d.endpoint(443).String(),
	} {
		response, err := http.Get("http://" + d.address(balancerSubnet, 1, metricsPort).String() + path)
		if err != nil {
			t.Errorf("GET %s: %v", path, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("GET %s: status %s, expected 200", path, response.Status)
		}
	}
	if d.hostsInRotation() != 2 {
		t.Error("a host left the rotation after SIGHUP, expected both to stay")
	}
	d.expectNoViolations()
}

// Guards against new flows to an evacuated data centre, also from a host that starts during the evacuation and from one that is cut off from
// the store, against sessions that the evacuation breaks, and against a data centre that stays empty after it.
func TestDirectEvacuation(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 4, 6)
	tr := d.startTraffic(20, 3)
	d.cutFromStore(d.hosts[2])
	d.evacuate(dataCentres[0], true)
	begun := time.Now()
	d.hosts[3].signal(syscall.SIGTERM)
	<-d.hosts[3].done
	d.startHost(d.hosts[3])
	time.Sleep(2 * propagationLimit)
	if n := d.openingsIn(dataCentres[0], begun.Add(propagationLimit)); n > 0 {
		t.Errorf("%d new flows went to the evacuated data centre later than %v after the request", n, propagationLimit)
	}
	d.evacuate(dataCentres[0], false)
	ended := time.Now()
	d.eventually("new flows go to the data centre again", propagationLimit, func() bool { return d.openingsIn(dataCentres[0], ended) > 0 })
	tr.finish()
	for _, m := range tr.movedSessions {
		t.Error(m)
	}
	if tr.balancerResets.Load() > 0 || tr.targetResets.Load() > 0 {
		t.Error("open flows were reset; the counts are logged above")
	}
	d.expectNoViolations()
}
