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

// batchPackets is the number of packets that one system call reads or writes at most.
const batchPackets = 64

// loadInterval is how often loads are collected for other balancers. It is below the time between two reports.
const loadInterval = 100 * time.Millisecond

// loadRetention is how long loads count after the last packet: without packets no flow is carried here any more.
const loadRetention = time.Second

// readPause is how long the socket is left alone after a failed read, so that a lasting fault does not take the processor.
const readPause = 100 * time.Millisecond

// pauseLimit is the age of the control goroutine's last turn at which this process counts as having stood still: callers
// give up opening a flow after 1.4 s.
const pauseLimit = 1400 * time.Millisecond

// Traffic forwards packets in one goroutine.
type Traffic struct {
	conn    *udpbatch.Conn
	reader  *udpbatch.Reader
	writer  *udpbatch.Writer
	mu      sync.Mutex // guards engine, which operators' questions read
	engine  *steer.Engine
	clock   Clock
	log     *decisionLog
	logs    *logrus.Entry // of what concerns no single flow
	metrics *metrics
	port    uint16 // at which callers receive
	resets  [batchPackets][platform.HeaderBytes]byte

	first      chan struct{} // closed with the first view
	view       atomic.Pointer[steer.View]
	own        atomic.Pointer[[]directory.Load] // loads that the engine has seen
	others     atomic.Pointer[[]directory.Load] // loads that other balancers have seen
	taken      *[]directory.Load                // others that the engine has taken in
	reported   time.Duration                    // when own was written
	batches    uint64
	lastPacket atomic.Int64
	lastTurn   atomic.Int64 // of the control goroutine
}

// NewTraffic opens the socket for callers' packets.
func NewTraffic(listen netip.AddrPort, clock Clock, log *logrus.Entry, m *metrics) (*Traffic, error) {
	conn, err := udpbatch.Listen(listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Traffic{
		conn:   conn,
		reader: udpbatch.NewReader(conn, batchPackets, platform.MaxPacketBytes, platform.TargetPrefixBytes),
		writer: udpbatch.NewWriter(conn, batchPackets),
		engine: steer.NewEngine(), clock: clock, log: newDecisionLog(log), logs: log, metrics: m, port: listen.Port(),
		first: make(chan struct{}), reported: -loadInterval,
	}, nil
}

// SetView puts a view in force with the next batch of packets. Only the control goroutine may call it.
func (t *Traffic) SetView(v *steer.View) {
	if t.view.Swap(v) == nil {
		close(t.first)
	}
}

// View returns the view in force, or nil.
func (t *Traffic) View() *steer.View { return t.view.Load() }

// LastPacket returns when the last packet arrived.
func (t *Traffic) LastPacket() time.Duration { return time.Duration(t.lastPacket.Load()) }

// Turn notes that the control goroutine runs.
func (t *Traffic) Turn(now time.Duration) { t.lastTurn.Store(int64(now)) }

// Loads returns what the engine has seen of targets, at most loadInterval ago while packets arrive, and nothing when none
// have come for a while.
func (t *Traffic) Loads() []directory.Load {
	own := t.own.Load()
	if own == nil || t.clock()-t.LastPacket() > loadRetention {
		return nil
	}
	return *own
}

// SetOthers passes on what other balancers have seen of targets.
func (t *Traffic) SetOthers(loads []directory.Load) { t.others.Store(&loads) }

// Run forwards packets until the context ends.
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
		if err := t.guardedBatch(n); err != nil {
			t.batchFailed(n, err)
		}
	}
}

// readFailed tells of a socket that gives no packets, and leaves it a moment: the cause may pass.
func (t *Traffic) readFailed(ctx context.Context, err error) {
	t.logs.WithError(err).WithFields(logrus.Fields{"event": "read-failed", "code": resultcode.Internal, "retry": readPause}).Warn("packets cannot be read")
	sleep(ctx, readPause)
}

// guardedBatch is batch, but a packet that makes it panic costs the rest of its batch and not the process.
func (t *Traffic) guardedBatch(n int) (err error) {
	defer resultcode.Recover(&err)
	t.batch(n)
	return nil
}

// batchFailed tells of a batch of n packets that was given up. Those that were decided about are sent before the next read
// overwrites them.
func (t *Traffic) batchFailed(n int, err error) {
	t.writer.Flush()
	t.metrics.count(steer.Drop, resultcode.Internal, 1)
	t.logs.WithError(err).WithFields(logrus.Fields{"event": "panic", "code": resultcode.Internal, "packets": n}).Error("the rest of a batch of packets is dropped")
}

// awaitView lets packets wait in the socket for the first view, as long as that is of use to their callers.
func (t *Traffic) awaitView(ctx context.Context) {
	timer := time.NewTimer(pauseLimit)
	defer timer.Stop()
	select {
	case <-t.first:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Flow returns what is remembered of a flow, and false when nothing is.
func (t *Traffic) Flow(key steer.FlowKey) (steer.FlowInfo, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Lookup(key, t.clock())
}

func (t *Traffic) batch(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.lastPacket.Store(int64(now))
	t.engine.SetFenced(now-time.Duration(t.lastTurn.Load()) > pauseLimit)
	if v := t.view.Load(); v != nil && v != t.engine.View() {
		t.engine.SetView(v)
	}
	if others := t.others.Load(); others != t.taken {
		t.taken = others
		t.engine.SetPeerLoads(*others)
	}
	for i := range n {
		t.packet(i, now)
	}
	if failed := t.writer.Flush(); failed > 0 {
		t.metrics.count(steer.Drop, resultcode.PacketSendFailed, uint64(failed))
	}
	if now-t.reported >= loadInterval {
		own := t.engine.Loads(now)
		t.own.Store(&own)
		t.reported = now
	}
	t.metrics.flows.Store(int64(t.engine.Flows()))
	t.batches++
	t.metrics.batch(t.batches, t.clock()-now)
}

func (t *Traffic) packet(i int, now time.Duration) {
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
		t.metrics.answers.Record(context.Background(), d.OpenLatency.Seconds())
	}
	switch d.Action {
	case steer.Forward:
		platform.PutToken(buffer[start:end], d.Target.Token)
		platform.PutTargetPrefix(buffer[:start], d.Target.ID)
		t.writer.Add(buffer[:end], d.Target.Address)
	case steer.Refuse, steer.Break:
		reset := platform.PutReset(t.resets[i][:], &p)
		t.writer.Add(reset, netip.AddrPortFrom(p.Caller.AddrPort().Addr(), t.port))
	}
	t.log.decision(&p, &d, t.engine.View(), now)
}
