package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
)

// sweeper removes expired flows, resets silent connections and sends held packets whose flows have been decided about.
type sweeper struct {
	dataplane *Dataplane
	engine    *forward.Engine
	batches   batchCounter
	mu        sync.Mutex // guards out and tally, which workers also use for packets whose decision was made first
	out       *output
	tally     forward.ActionCounts
	placed    []forward.DelayedDecision
	endings   []forward.ConnectionReset
}

func newSweeper(d *Dataplane, conn *udpbatch.Conn) *sweeper {
	return &sweeper{dataplane: d, engine: d.config.Engine, out: newOutput(d, conn)}
}

// run sweeps the flow table periodically until ctx is done. While packets are held, it also polls for admissions.
func (s *sweeper) run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		var polls <-chan time.Time
		if !s.dataplane.held.empty() {
			polls = poll.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			s.pass(true)
		case <-polls:
			s.pass(false)
		case <-s.dataplane.held.wake:
		}
	}
}

// pass carries out the new decisions about waiting flows and, when sweep is true, sweeps a part of the flow table.
func (s *sweeper) pass(sweep bool) {
	s.batches.begin()
	defer s.batches.end()
	now := s.dataplane.config.Clock()
	if s.dataplane.fenced(now) {
		return
	}
	s.placed = s.engine.Poll(now, s.placed[:0])
	if s.dataplane.config.Clock()-now > fenceAfter {
		return // the process was paused meanwhile and the decisions may be out of date; callers retransmit
	}
	for i := range s.placed {
		p := &s.placed[i]
		for _, h := range s.dataplane.held.take(p.Key, p.Decision) {
			s.deliver(&p.Decision, h.inner, &h.packet)
		}
	}
	if !sweep {
		return
	}
	s.dataplane.held.prune(s.engine.IsWaiting)
	s.endings = s.engine.Sweep(now, s.endings[:0])
	s.sendResets(s.endings)
}

// deliver carries out the decision about a held packet. It copies the packet to make room for the Geneve header.
func (s *sweeper) deliver(d *forward.Decision, inner []byte, p *forward.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally[d.Action]++
	switch d.Action {
	case forward.ForwardTarget, forward.ForwardPeer:
		b := make([]byte, geneve.MaxHeaderBytes+len(inner))
		copy(b[geneve.MaxHeaderBytes:], inner)
		s.out.forward(d, b, geneve.MaxHeaderBytes, len(b))
	case forward.Refuse, forward.Reset:
		s.out.reply(d, inner, p)
	}
	s.out.flush()
	s.engine.AddActions(&s.tally)
}

// sendResets resets both ends of connections that the engine has ended.
func (s *sweeper) sendResets(endings []forward.ConnectionReset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range endings {
		s.out.addResets(&endings[i])
	}
	s.out.flush()
}
