// Package dataplane moves packets between the data sockets and the decisions of package forward.
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
	// maxTickAge is the age of the control tick beyond which nothing is decided.
	maxTickAge = 500 * time.Millisecond
	// batchSize is the number of datagrams that a worker receives at once. Larger batches gain little and delay the
	// first packet of the batch.
	batchSize = 64
	// maxPacketBytes admits jumbo frames.
	maxPacketBytes = 9216
	sweepInterval  = 100 * time.Millisecond
	// pollInterval is the resolution of waits for admission; their goal is 20 ms.
	pollInterval = time.Millisecond
	// quiesceInterval is how often Quiesce looks at the workers. A batch takes less than a millisecond.
	quiesceInterval = 200 * time.Microsecond
	defaultHeld     = 4096
)

// Config holds what a Dataplane needs.
type Config struct {
	Listen  netip.AddrPort // data address of this host
	Workers int            // traffic goroutines, each with its own socket
	Fabric  netip.AddrPort // where packets to callers go
	Engine  *forward.Engine
	Clock   func() time.Duration // monotonic time since process start
	Tick    func() time.Duration // time of the last control tick on the same clock
	Held    int                  // packets that may wait for admission; 0 means 4096
}

// Dataplane receives, decides about and sends packets.
type Dataplane struct {
	config  Config
	conns   []*udpbatch.Conn
	workers []*worker
	sweeper *sweeper
	held    *held
}

// New opens the sockets.
func New(c Config) (*Dataplane, error) {
	if c.Held == 0 {
		c.Held = defaultHeld
	}
	d := &Dataplane{config: c, held: newHeld(c.Held)}
	for range max(c.Workers, 1) {
		conn, err := udpbatch.Listen(c.Listen)
		if err != nil {
			return nil, Error.Wrap(errs.Combine(err, d.close()))
		}
		d.conns = append(d.conns, conn)
		if c.Listen.Port() == 0 { // the other sockets share the port that the first one got
			c.Listen = conn.LocalAddr()
			d.config.Listen = c.Listen
		}
	}
	if err := d.spread(); err != nil {
		return nil, Error.Wrap(errs.Combine(err, d.close()))
	}
	for _, conn := range d.conns {
		d.workers = append(d.workers, newWorker(d, conn))
	}
	d.sweeper = newSweeper(d, d.conns[0])
	return d, nil
}

// spread keeps each flow on one worker.
func (d *Dataplane) spread() error {
	if len(d.conns) < 2 {
		return nil
	}
	filter, err := spreadProgram(len(d.conns))
	if err != nil {
		return err
	}
	return d.conns[0].SetReusePortFilter(filter)
}

// Addr returns the data address.
func (d *Dataplane) Addr() netip.AddrPort { return d.config.Listen }

// Run forwards packets until ctx is done, and closes the sockets.
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

// Quiesce returns when no goroutine still decides under a snapshot that was replaced before the call. Until the data
// plane runs it returns at once.
func (d *Dataplane) Quiesce(ctx context.Context) error {
	marks := make([]uint64, 0, len(d.workers)+1)
	rounds := d.rounds()
	for _, r := range rounds {
		marks = append(marks, r.mark())
	}
	for i, r := range rounds {
		for !r.passed(marks[i]) {
			if err := ctx.Err(); err != nil {
				return Error.Wrap(err)
			}
			runtime.Gosched()
			if !r.passed(marks[i]) {
				time.Sleep(quiesceInterval)
			}
		}
	}
	return nil
}

func (d *Dataplane) rounds() []*round {
	out := []*round{&d.sweeper.round}
	for _, w := range d.workers {
		out = append(out, &w.round)
	}
	return out
}

// End sends the resets of connections that Engine.ResetTarget has ended.
func (d *Dataplane) End(endings []forward.ConnectionReset) { d.sweeper.end(endings) }

// fenced reports whether the control goroutine has not run for so long that its view may be out of date.
func (d *Dataplane) fenced(now time.Duration) bool { return now-d.config.Tick() > maxTickAge }
