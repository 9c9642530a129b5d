// Package dataplane receives packets on the data sockets, has package forward decide about them, and sends the results.
package dataplane

import (
	"context"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
)

// Error is the class of errors of this package.
var Error = errs.Class("dataplane")

const (
	// fenceAfter is the age of the control loop's heartbeat above which the data plane forwards nothing.
	fenceAfter = 500 * time.Millisecond
	// batchSize is the maximum number of datagrams that a worker receives at once. Larger batches gain little and delay the
	// first packet of the batch.
	batchSize = 64
	// maxPacketBytes is large enough for jumbo frames.
	maxPacketBytes = 9216
	sweepInterval  = 100 * time.Millisecond
	// pollInterval is the resolution of waits for admission, whose goal is 20 ms.
	pollInterval = time.Millisecond
	// quiesceInterval is how often Quiesce checks the workers. A batch takes less than a millisecond.
	quiesceInterval = 200 * time.Microsecond
	defaultMaxHeld  = 4096
)

// Config holds the settings and the dependencies of a Dataplane.
type Config struct {
	Listen        netip.AddrPort // data address of this host
	Workers       int            // traffic goroutines, each with its own socket
	Fabric        netip.AddrPort // address that packets to callers are sent to
	Engine        *forward.Engine
	Clock         func() time.Duration // monotonic time since process start
	LastHeartbeat func() time.Duration // time of the last iteration of the control loop on the same clock
	MaxHeld       int                  // maximum number of packets that wait for admission; 0 means 4096
}

// Dataplane forwards packets with one goroutine per data socket, and sweeps the flow table in another.
type Dataplane struct {
	config  Config
	conns   []*udpbatch.Conn
	workers []*worker
	sweeper *sweeper
	held    *holdBuffer
}

// New opens the data sockets and returns a Dataplane that does not forward yet.
func New(c Config) (*Dataplane, error) {
	if c.MaxHeld == 0 {
		c.MaxHeld = defaultMaxHeld
	}
	d := &Dataplane{config: c, held: newHoldBuffer(c.MaxHeld)}
	for range max(c.Workers, 1) {
		conn, err := udpbatch.Listen(c.Listen)
		if err != nil {
			return nil, Error.Wrap(errs.Combine(err, d.close()))
		}
		d.conns = append(d.conns, conn)
		if c.Listen.Port() == 0 { // the other sockets share the port assigned to the first one
			c.Listen = conn.LocalAddr()
			d.config.Listen = c.Listen
		}
	}
	if err := d.distributeFlows(); err != nil {
		return nil, Error.Wrap(errs.Combine(err, d.close()))
	}
	for _, conn := range d.conns {
		d.workers = append(d.workers, newWorker(d, conn))
	}
	d.sweeper = newSweeper(d, d.conns[0])
	return d, nil
}

// distributeFlows attaches a filter to the sockets that distributes flows over the workers and keeps each flow on one.
func (d *Dataplane) distributeFlows() error {
	if len(d.conns) < 2 {
		return nil
	}
	filter, err := socketSelector(len(d.conns))
	if err != nil {
		return err
	}
	return d.conns[0].SetReusePortFilter(filter)
}

// Addr returns the address of the data sockets.
func (d *Dataplane) Addr() netip.AddrPort { return d.config.Listen }

// Run forwards packets until ctx is done, and then closes the sockets.
func (d *Dataplane) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range d.workers {
		group.Go(func() error { return w.run(ctx) })
	}
	group.Go(func() error { return d.sweeper.run(ctx) })
	var closing sync.WaitGroup
	var closed error
	closing.Go(func() {
		<-ctx.Done()
		closed = d.close() // unblocks the workers
	})
	err := group.Wait()
	closing.Wait()
	return Error.Wrap(errs.Combine(err, closed))
}

func (d *Dataplane) close() error {
	var all errs.Group
	for _, c := range d.conns {
		all.Add(c.Close())
	}
	return all.Err()
}

// Quiesce waits until no traffic goroutine uses a snapshot that was replaced before the call. It returns the error of ctx
// when that ends first, and returns at once when the data plane does not run yet.
func (d *Dataplane) Quiesce(ctx context.Context) error {
	marks := make([]uint64, 0, len(d.workers)+1)
	counters := d.batchCounters()
	for _, c := range counters {
		marks = append(marks, c.current())
	}
	for i, c := range counters {
		for !c.passed(marks[i]) {
			if err := ctx.Err(); err != nil {
				return Error.Wrap(err)
			}
			runtime.Gosched()
			if !c.passed(marks[i]) {
				time.Sleep(quiesceInterval)
			}
		}
	}
	return nil
}

func (d *Dataplane) batchCounters() []*batchCounter {
	out := []*batchCounter{&d.sweeper.batches}
	for _, w := range d.workers {
		out = append(out, &w.batches)
	}
	return out
}

// SendResets resets both ends of the connections that Engine.ResetTarget has ended.
func (d *Dataplane) SendResets(endings []forward.ConnectionReset) { d.sweeper.sendResets(endings) }

// fenced reports whether the control goroutine has not run for so long that its snapshot may be out of date.
func (d *Dataplane) fenced(now time.Duration) bool { return now-d.config.LastHeartbeat() > fenceAfter }
