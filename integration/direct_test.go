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

// inForceBound is how long a configuration or a notice of a leaving target may take to be in force everywhere.
const inForceBound = 3 * time.Second

// traffic runs sessions and single requests until it is stopped, and counts how they end.
type traffic struct {
	d                                 *direct
	wg                                sync.WaitGroup
	stop                              chan struct{}
	answered, refused, late, resets   atomic.Int64
	broken                            atomic.Int64
	mu                                sync.Mutex
	moved                             []string
	ledger                            *standin.Recorder // to look for resets of flows whose target lives; nil for not
	brokenWhileHeld                   []string
	unsafeNumber                      atomic.Int64
	sessionInterval, requestsInterval time.Duration
}

func (d *direct) startTraffic(sessions, requesters int) *traffic {
	tr := &traffic{d: d, stop: make(chan struct{}), sessionInterval: 100 * time.Millisecond, requestsInterval: 20 * time.Millisecond}
	for i := range sessions {
		c := d.newCaller(i + 1)
		tr.wg.Go(func() { tr.session(c, i) })
	}
	for i := range requesters {
		c := d.newCaller(100 + i)
		tr.wg.Go(func() { tr.requests(c) })
	}
	return tr
}

func (tr *traffic) end() {
	close(tr.stop)
	tr.wg.Wait()
	tr.d.t.Logf("answered %d, refused %d, late %d, reset by targets %d, broken %d", tr.answered.Load(), tr.refused.Load(), tr.late.Load(), tr.resets.Load(), tr.broken.Load())
}

func (tr *traffic) stopped(wait time.Duration) bool {
	select {
	case <-tr.stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// session keeps one flow open and notes when its answers come from another target, or when it is broken.
func (tr *traffic) session(c *standin.Caller, number int) {
	for !tr.stopped(tr.sessionInterval) {
		f, err := c.Open(tr.d.endpoint(443))
		if err != nil {
			tr.count(err)
			continue
		}
		first := ""
		for n := 0; !tr.stopped(tr.sessionInterval); n++ {
			target, err := f.Request(fmt.Sprintf("feed-%d-%d", number, n), 2*time.Second)
			tr.count(err)
			if errors.Is(err, standin.ErrBalancerReset) && tr.ledger != nil && f.HasLiveTarget(tr.ledger) {
				tr.mu.Lock()
				tr.brokenWhileHeld = append(tr.brokenWhileHeld, fmt.Sprintf("%s session %d was reset while its target %s lives", time.Now().Format("05.000"), number, first))
				tr.mu.Unlock()
			}
			if err != nil && !errors.Is(err, standin.ErrTimeout) {
				break
			}
			if err == nil && first == "" {
				first = target
			}
			if err == nil && target != first {
				tr.mu.Lock()
				tr.moved = append(tr.moved, fmt.Sprintf("session %d moved from %s to %s", number, first, target))
				tr.mu.Unlock()
			}
		}
		f.Close()
	}
}

// requests opens a flow for each request, of which no second one is tried unless the flow never opened.
func (tr *traffic) requests(c *standin.Caller) {
	for !tr.stopped(tr.requestsInterval) {
		f, err := c.Open(tr.d.endpoint(8443))
		if err != nil {
			tr.count(err)
			continue
		}
		_, err = f.Request(fmt.Sprintf("unsafe-%d", tr.unsafeNumber.Add(1)), 2*time.Second)
		tr.count(err)
		f.Close()
	}
}

func (tr *traffic) count(err error) {
	switch {
	case err == nil:
		tr.answered.Add(1)
	case errors.Is(err, standin.ErrRefused):
		tr.refused.Add(1)
	case errors.Is(err, standin.ErrTargetReset):
		tr.resets.Add(1)
	case errors.Is(err, standin.ErrBalancerReset):
		tr.broken.Add(1)
	default:
		tr.late.Add(1)
	}
}

// expectWhole fails the test when a planned change was seen by a caller.
func (tr *traffic) expectWhole() {
	tr.d.t.Helper()
	for _, m := range tr.moved {
		tr.d.t.Error(m)
	}
	if tr.broken.Load() > 0 || tr.resets.Load() > 0 || tr.late.Load() > 0 || tr.refused.Load() > 0 || tr.answered.Load() == 0 {
		tr.d.t.Errorf("callers noticed the change")
	}
	tr.d.expectNoFaults()
}

// Guards against sessions and requests that are cut off while every balancer is stopped gracefully and started again, and
// against a balancer that is killed by the end of its grace period.
func TestDirectRestartInTurn(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	tr := d.startTraffic(20, 3)
	for _, h := range d.hosts {
		h.signal(syscall.SIGTERM)
		select {
		case <-h.done:
		case <-time.After(6 * time.Second):
			t.Error("not stopped within the grace period")
			h.signal(syscall.SIGKILL)
			<-h.done
		}
		// Callers' packets to a host that ended too early are lost until it is out of rotation.
		d.eventually("the host is out of rotation", 5*time.Second, func() bool { return d.inRotation() == len(d.hosts)-1 })
		d.start(h)
		d.eventually("the host is back", 5*time.Second, func() bool { return d.inRotation() == len(d.hosts) })
	}
	tr.end()
	tr.expectWhole()
}

// Guards against a configuration or a leaving target that is not in force everywhere in time, and against sessions that
// break when their target drains.
func TestDirectChangesInForce(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	tr := d.startTraffic(20, 3)
	d.list(1, "draining")
	drained := time.Now()
	d.setPorts(443, 8443, 9443)
	d.eventually("a new route is served everywhere", inForceBound, func() bool { return d.servedBy(9443) == len(d.hosts) })
	d.setPorts(443, 8443)
	d.eventually("a removed route is served nowhere", inForceBound, func() bool { return d.servedBy(9443) == 0 })
	time.Sleep(2 * inForceBound)
	for _, o := range d.ledger.OpeningPackets() {
		if o.Target == targetName(1) && o.At.Sub(drained) > inForceBound {
			t.Errorf("a new flow on a draining target after %v", o.At.Sub(drained))
		}
	}
	tr.end()
	tr.expectWhole()
}

// servedBy returns the number of hosts that place a flow of the endpoint.
func (d *direct) servedBy(port uint16) int {
	served := 0
	for _, h := range d.hosts {
		direct, err := standin.NewCaller(d.address(callers, 210+h.number, dataPort), func(netip.AddrPort) netip.AddrPort {
			return d.address(balancers, h.number, dataPort)
		})
		if err != nil {
			d.t.Error(err)
			return -1
		}
		if f, err := direct.Open(d.endpoint(port)); err == nil {
			served++
			f.Close()
		}
		direct.Close()
	}
	return served
}

// Guards against a host that starts while the store is down and serves nothing although other hosts know everything, and
// against one that loses what it knows when the store fails.
func TestDirectStartWithoutStore(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	d.store.SetFailing(true)
	h := d.hosts[2]
	h.signal(syscall.SIGKILL)
	<-h.done
	d.eventually("the host is out of rotation", 5*time.Second, func() bool { return d.inRotation() == len(d.hosts)-1 })
	d.start(h)
	d.eventually("the host is back", 5*time.Second, func() bool { return d.inRotation() == len(d.hosts) })
	tr := d.startTraffic(10, 2)
	time.Sleep(4 * time.Second)
	tr.end()
	tr.expectWhole()
}

// Guards against a host that the store turns away and that misses a change which the other hosts know.
func TestDirectStoreRefusesOneHost(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	d.proxy.SetFaults("store-1", netip.Addr{}, proxy.LinkFaults{Forward: proxy.Faults{ResetConns: true}})
	time.Sleep(time.Second)
	d.setPorts(443, 8443, 9443)
	d.eventually("a new route is served everywhere", inForceBound, func() bool { return d.servedBy(9443) == len(d.hosts) })
	d.expectNoFaults()
}

// status asks a host for its state, or returns nil when it does not answer.
func (d *direct) status(h *directHost) *status.Status {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.address(balancers, h.number, metricsPort).String() + "/status")
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

// readers returns the hosts that read the store within d.
func (d *direct) readers(within time.Duration) []*directHost {
	before := map[*directHost]uint64{}
	for _, h := range d.hosts {
		if s := d.status(h); s != nil {
			before[h] = s.Bundle.PlatformCalls
		}
	}
	time.Sleep(within)
	var readers []*directHost
	for _, h := range d.hosts {
		if s := d.status(h); s != nil && s.Bundle.PlatformCalls > before[h] {
			readers = append(readers, h)
		}
	}
	return readers
}

// Replays a change of the configuration right after the one host that reads the store has ended, or stands still. Guards against hosts
// that all read the store, and against a fleet that waits for the reader.
func TestDirectReaderIsLost(t *testing.T) {
	t.Parallel()
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			d := startDirect(t, 4, 6)
			time.Sleep(2 * time.Second) // for the hosts to know each other
			readers := d.readers(2 * time.Second)
			if len(readers) != 1 {
				t.Fatalf("%d hosts read the store", len(readers))
			}
			readers[0].signal(signal)
			d.setPorts(443, 8443, 9443)
			d.eventually("the new version is in force on the others", inForceBound, func() bool {
				for _, h := range d.hosts {
					if s := d.status(h); h != readers[0] && (s == nil || s.Bundle.InForce != d.version) {
						return false
					}
				}
				return true
			})
			d.expectNoFaults()
		})
	}
}

// Guards against changes that are lost with the store's history.
func TestDirectHistoryDropped(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 2, 4)
	for round := range 3 {
		d.setPorts(443, 8443, uint16(9000+round))
		d.store.DropHistory()
		d.eventually("a new route is served everywhere", inForceBound, func() bool { return d.servedBy(uint16(9000+round)) == len(d.hosts) })
	}
	d.expectNoFaults()
}

// Guards against connections to the store and between balancers that go silent and are taken for idle ones.
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
	d.proxy.SetFaults("store-2", netip.Addr{}, proxy.LinkFaults{}) // one host alone reaches the store again
	d.setPorts(443, 8443, 9443)
	// The silence ends with the watch and its timeout, 2 s; then the bound begins.
	d.eventually("a new route is served everywhere", 2*time.Second+inForceBound, func() bool { return d.servedBy(9443) == len(d.hosts) })
	d.expectNoFaults()
}

// Guards against a process that ends at SIGHUP, and against an operator interface that does not answer.
func TestDirectReloadAndOperatorPort(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 2, 4)
	d.hosts[0].signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	for _, path := range []string{"/status", "/timeline", "/metrics", "/readyz", "/explain?flow=udp,127.0.0.5:1000," + d.endpoint(443).String()} {
		response, err := http.Get("http://" + d.address(balancers, 1, metricsPort).String() + path)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: %s", path, response.Status)
		}
	}
	if d.inRotation() != 2 {
		t.Error("a host left the rotation")
	}
	d.expectNoFaults()
}
