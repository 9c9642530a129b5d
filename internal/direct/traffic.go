package direct

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
	"github.com/marigoldwood/marigoldwood/platform"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// batchPackets is the maximum number of packets per system call.
const batchPackets = 64

// loadInterval is how often loads are collected for other balancers. It is shorter than the interval between reports.
const loadInterval = 100 * time.Millisecond

// loadRetention is how long loads are reported after the last packet: without packets this balancer no longer carries flows.
const loadRetention = time.Second

// readRetryDelay is the delay after a failed read of the socket, so that a persistent failure does not occupy the processor.
const readRetryDelay = 100 * time.Millisecond

// maxControlPause is the time since the control goroutine last ran above which the process counts as paused: callers give up
// opening a flow after 1.4 s.
const maxControlPause = 1400 * time.Millisecond

// Traffic forwards packets in one goroutine.
type Traffic struct {
	conn       *udpbatch.Conn
	reader     *udpbatch.Reader
	writer     *udpbatch.Writer
	mu         sync.Mutex // guards engine, which operators' queries read
	engine     *steer.Engine
	clock      Clock
	decisions  *decisionLog
	log        *logrus.Entry // for events that concern no single flow
	metrics    *metrics
	callerPort uint16 // on which callers receive packets
	resets     [batchPackets][platform.HeaderBytes]byte

	firstView       chan struct{} // closed when the first view is set
	view            atomic.Pointer[steer.View]
	ownLoads        atomic.Pointer[[]directory.Load] // loads observed by the engine
	otherLoads      atomic.Pointer[directory.Loads]  // loads observed by other balancers
	coldHosts       atomic.Int64                     // that share the limits for cold targets
	appliedLoads    *directory.Loads                 // otherLoads that the engine uses
	loadsCollected  time.Duration                    // when ownLoads was last updated
	batches         uint64
	lastPacket      atomic.Int64
	lastControlTurn atomic.Int64 // when the control goroutine last ran

	doubting      atomic.Bool          // some balancer has evidence of silence of a target
	darkTargets   atomic.Int64         // number of targets that are taken to be dark
	silencePeers  steer.Peers          // evidence of other balancers that the engine has, owned by the control goroutine
	silenceNews   chan struct{}        // tells the control goroutine that ExchangeSilence has news
	silenceEvents []steer.SilenceEvent // not yet recorded, guarded by mu
	tellSilence   bool                 // other hosts should know the evidence of this one at once, guarded by mu
}

// NewTraffic opens the socket for callers' packets. Metrics are recorded in m.
func NewTraffic(listen netip.AddrPort, clock Clock, log *logrus.Entry, m *metrics) (*Traffic, error) {
	conn, err := udpbatch.Listen(listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Traffic{
		conn:   conn,
		reader: udpbatch.NewReader(conn, batchPackets, platform.MaxPacketBytes, platform.TargetPrefixBytes),
		writer: udpbatch.NewWriter(conn, batchPackets),
		engine: steer.NewEngine(), clock: clock, decisions: newDecisionLog(log), log: log, metrics: m, callerPort: listen.Port(),
		firstView: make(chan struct{}), loadsCollected: -loadInterval, silenceNews: make(chan struct{}, 1),
	}, nil
}

// SetView sets the view that applies from the next batch of packets on. Only the control goroutine may call it.
func (t *Traffic) SetView(v *steer.View) {
	if t.view.Swap(v) == nil {
		close(t.firstView)
	}
}

// View returns the view that was last set, or nil.
func (t *Traffic) View() *steer.View { return t.view.Load() }

// LastPacket returns when the last packet arrived.
func (t *Traffic) LastPacket() time.Duration { return time.Duration(t.lastPacket.Load()) }

// ControlAlive records that the control goroutine is running.
func (t *Traffic) ControlAlive(now time.Duration) { t.lastControlTurn.Store(int64(now)) }

// Loads returns the loads of targets that the engine has observed. They are at most loadInterval old while packets arrive. It
// returns nil if no packet has arrived for loadRetention.
func (t *Traffic) Loads() []directory.Load {
	own := t.ownLoads.Load()
	if own == nil || t.clock()-t.LastPacket() > loadRetention {
		return nil
	}
	return *own
}

// SetOtherLoads sets the loads of targets that other balancers have observed.
func (t *Traffic) SetOtherLoads(loads directory.Loads) { t.otherLoads.Store(&loads) }

// SetColdHosts sets the number of hosts that share the limits for cold targets, or 0 if this host may not open flows at them.
func (t *Traffic) SetColdHosts(hosts int) { t.coldHosts.Store(int64(hosts)) }

// Slowdowns returns the factors by which targets are slower than the others of their service, for the slow ones.
func (t *Traffic) Slowdowns() map[directory.Token]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Slowdowns()
}

// Failing returns the targets that get no new flows because they fail requests.
func (t *Traffic) Failing() map[directory.Token]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Failing(t.clock())
}

// HandedOn returns the part of a service's new flows that goes to other data centres for lack of room.
func (t *Traffic) HandedOn(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.engine.Balances() {
		if b.Service == service {
			return b.HandedOn
		}
	}
	return 0
}

// Run forwards packets until ctx is done.
func (t *Traffic) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	t.awaitView(ctx)
	for {
		n, err := t.reader.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			t.readFailed(ctx, err)
			continue
		}
		if err := t.handleBatch(n); err != nil {
			t.batchFailed(n, err)
		}
	}
}

// readFailed logs a failed read of the socket and waits before the next one: the cause may be temporary.
func (t *Traffic) readFailed(ctx context.Context, err error) {
	t.log.WithError(err).WithFields(logrus.Fields{
		"event": "read-failed", "code": resultcode.Internal, "retry": readRetryDelay,
	}).Warn("reading packets failed")
	sleep(ctx, readRetryDelay)
}

// handleBatch forwards a batch of n packets. If a packet causes a panic, the rest of the batch is lost and the process continues.
func (t *Traffic) handleBatch(n int) (err error) {
	defer resultcode.Recover(&err)
	t.forwardBatch(n)
	return nil
}

// batchFailed logs and counts a failed batch of n packets. Packets already decided are sent before the next read overwrites
// them.
func (t *Traffic) batchFailed(n int, err error) {
	t.writer.Flush()
	t.metrics.count(steer.Drop, resultcode.Internal, 1)
	t.log.WithError(err).WithFields(logrus.Fields{
		"event": "panic", "code": resultcode.Internal, "packets": n,
	}).Error("dropped the rest of a batch of packets")
}

// awaitView waits for the first view, while packets queue in the socket. It waits no longer than callers do.
func (t *Traffic) awaitView(ctx context.Context) {
	timer := time.NewTimer(maxControlPause)
	defer timer.Stop()
	select {
	case <-t.firstView:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Flow returns the state of a flow, or false if the engine has none.
func (t *Traffic) Flow(key steer.FlowKey) (steer.FlowInfo, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Lookup(key, t.clock())
}

// Rank returns the ranking of targets for a new flow. It depends on what the engine knows of the targets.
func (t *Traffic) Rank(key steer.FlowKey) steer.Ranking {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateView()
	if v := t.engine.View(); v != nil {
		return v.Rank(key, t.clock())
	}
	return steer.Ranking{}
}

// updateView makes the engine use the view that was last set. The caller holds t.mu.
func (t *Traffic) updateView() {
	if v := t.view.Load(); v != nil && v != t.engine.View() {
		t.engine.SetView(v)
	}
}

func (t *Traffic) forwardBatch(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.lastPacket.Store(int64(now))
	t.engine.SetFenced(now-time.Duration(t.lastControlTurn.Load()) > maxControlPause)
	t.updateView()
	t.engine.SetColdHosts(int(t.coldHosts.Load()), now)
	if others := t.otherLoads.Load(); others != t.appliedLoads {
		t.appliedLoads = others
		t.engine.SetPeerLoads(*others)
	}
	for i := range n {
		t.forwardPacket(i, now)
	}
	if failed := t.writer.Flush(); failed > 0 {
		t.metrics.count(steer.Drop, resultcode.PacketSendFailed, uint64(failed))
	}
	for _, change := range t.engine.UpdateFailing(now) {
		t.decisions.logFailing(&change)
	}
	if now-t.loadsCollected >= loadInterval {
		own := t.engine.Loads(now)
		t.ownLoads.Store(&own)
		t.metrics.failingTargets.Store(int64(len(t.engine.Failing(now))))
		t.reportBalance(now)
		t.loadsCollected = now
	}
	t.reviewSilence(now)
	t.metrics.flows.Store(int64(t.engine.Flows()))
	t.batches++
	t.metrics.recordBatch(t.batches, t.clock()-now)
}

// reportBalance updates the metrics of slow targets and of flows that are handed on, and logs what has changed.
func (t *Traffic) reportBalance(now time.Duration) {
	balances := t.engine.Balances()
	t.metrics.balances.Store(&balances)
	t.decisions.logBalance(t.engine.TakeSlowChanges(), t.engine.TakeHandOnChanges(), now)
}

func (t *Traffic) forwardPacket(i int, now time.Duration) {
	buffer, start, end := t.reader.Buffer(i)
	var p steer.Packet
	if code := platform.ParsePacket(buffer[start:end], &p); code != resultcode.OK || t.reader.Truncated(i) {
		if code == resultcode.OK {
			code = resultcode.PacketOversized
		}
		t.metrics.count(steer.Drop, code, 1)
		return
	}
	d := t.engine.Decide(&p, now)
	t.metrics.count(d.Action, d.Code, 1)
	if d.OpenLatency > 0 {
		t.metrics.openTimes.Record(context.Background(), d.OpenLatency.Seconds())
	}
	switch d.Action {
	case steer.Forward:
		platform.PutToken(buffer[start:end], d.Target.Token)
		platform.PutTargetPrefix(buffer[:start], d.Target.ID)
		t.writer.Add(buffer[:end], d.Target.Address)
	case steer.Refuse, steer.Break:
		reset := platform.PutReset(t.resets[i][:], &p)
		t.writer.Add(reset, netip.AddrPortFrom(p.Caller.AddrPort().Addr(), t.callerPort))
	}
	t.decisions.logDecision(&p, &d, t.engine.View(), now)
}
