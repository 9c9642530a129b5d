package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
)

// sweeper removes old flows, ends silent connections and sends packets whose wait is over.
type sweeper struct {
	plane   *Dataplane
	engine  *forward.Engine
	round   round
	mu      sync.Mutex // guards out and tally, which workers use for packets that were decided early
	out     *output
	tally   forward.ActionCounts
	placed  []forward.DelayedDecision
	endings []forward.ConnectionReset
}

func newSweeper(d *Dataplane, conn *udpbatch.Conn) *sweeper {
	return &sweeper{plane: d, engine: d.config.Engine, out: newOutput(d, conn)}
}

func (s *sweeper) run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		var polls <-chan time.Time
		if !s.plane.held.empty() {
			polls = poll.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			s.pass(true)
		case <-polls:
			s.pass(false)
		case <-s.plane.held.wake:
		}
	}
}

// pass takes the decisions of waiting flows and, when sweep is true, sweeps a part of the table.
func (s *sweeper) pass(sweep bool) {
	s.round.begin()
	defer s.round.end()
	now := s.plane.config.Clock()
	if s.plane.fenced(now) {
		return
	}
	s.placed = s.engine.Poll(now, s.placed[:0])
	if s.plane.config.Clock()-now > maxTickAge {
		return // the process was paused meanwhile; callers send again
	}
	for i := range s.placed {
		p := &s.placed[i]
		for _, h := range s.plane.held.take(p.Key, p.Decision) {
			s.deliver(&p.Decision, h.inner, &h.packet)
		}
	}
	if !sweep {
		return
	}
	s.plane.held.forget(s.engine.IsWaiting)
	s.endings = s.engine.Sweep(now, s.endings[:0])
	s.end(s.endings)
}

// deliver sends a packet that was kept, by its own copy.
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

// end sends the resets of connections that the engine has ended.
func (s *sweeper) end(endings []forward.ConnectionReset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range endings {
		s.out.end(&endings[i])
	}
	s.out.flush()
}
