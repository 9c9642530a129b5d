package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// groups holds the groups of sessions and the loads that were started.
type groups struct {
	mu       sync.Mutex
	sessions []*sessionGroup
	loads    []*loadGroup
}

type sessionGroup struct {
	plan   Sessions
	lanes  []*lane
	stats  []*sessionStats // by lane
	cancel context.CancelFunc
	done   chan struct{} // closed when all sessions have been started
}

type loadGroup struct {
	plan   Load
	lanes  []*lane
	stats  []*loadStats // by lane
	cancel context.CancelFunc
	done   chan struct{} // closed when the last request has been sent
}

// Start starts the sessions and loads of the plan, in addition to those already running.
func (c *Caller) Start(ctx context.Context, p Plan) error {
	if err := p.check(); err != nil {
		return err
	}
	c.groups.mu.Lock()
	defer c.groups.mu.Unlock()
	for i := range p.Sessions {
		g := &sessionGroup{plan: p.Sessions[i], lanes: c.lanes, done: make(chan struct{})}
		for range c.lanes {
			g.stats = append(g.stats, &sessionStats{latency: newHistogram()})
		}
		ctx, cancel := context.WithCancel(ctx)
		g.cancel = cancel
		c.groups.sessions = append(c.groups.sessions, g)
		go g.run(ctx)
	}
	for i := range p.Loads {
		g := &loadGroup{plan: p.Loads[i], lanes: c.lanes, done: make(chan struct{})}
		for range c.lanes {
			g.stats = append(g.stats, &loadStats{short: newHistogram(), long: newHistogram(), start: c.clock.Now()})
		}
		ctx, cancel := context.WithCancel(ctx)
		g.cancel = cancel
		c.groups.loads = append(c.groups.loads, g)
		go g.run(ctx, c, rand.New(rand.NewPCG(c.options.Seed, uint64(1000+len(c.groups.loads)))))
	}
	return nil
}

// generatorInterval is the interval at which generators check for sessions or requests that are due.
const generatorInterval = time.Millisecond

// run opens the sessions at the rate of the plan.
func (g *sessionGroup) run(ctx context.Context) {
	defer close(g.done)
	start := time.Now()
	for i := 0; i < g.plan.Count; {
		due := g.plan.Count
		if g.plan.OpenPerS > 0 {
			due = min(due, int(time.Since(start).Seconds()*g.plan.OpenPerS)+1)
		}
		for ; i < due && ctx.Err() == nil; i++ {
			l := g.lanes[i%len(g.lanes)]
			l.withLock(func() { l.openSession(g) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(generatorInterval):
		}
	}
}

// run sends the requests of all steps. Requests are sent when they are due, even if earlier ones are unanswered.
func (g *loadGroup) run(ctx context.Context, c *Caller, random *rand.Rand) {
	defer close(g.done)
	start := c.clock.Now()
	for _, step := range g.plan.Steps {
		end := start + time.Duration(step.Seconds*float64(time.Second))
		if !g.runStep(ctx, c, random, &step, start, end) {
			return
		}
		start = end
	}
}

func (g *loadGroup) runStep(ctx context.Context, c *Caller, random *rand.Rand, step *Step, start, end time.Duration) bool {
	for at := start; ; {
		rate := step.rateAt(float64(at-start) / float64(end-start))
		if rate <= 0 {
			at += generatorInterval
		} else {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
		if at >= end {
			return sleepUntil(ctx, c, end)
		}
		if !sleepUntil(ctx, c, at) {
			return false
		}
		if rate > 0 {
			l := g.lanes[random.IntN(len(g.lanes))]
			l.withLock(func() { l.startExchange(g, at) })
		}
	}
}

func (s *Step) rateAt(fraction float64) float64 {
	if s.RampFrom == nil {
		return s.Rate
	}
	return *s.RampFrom + (s.Rate-*s.RampFrom)*fraction
}

// sleepUntil waits until a time of the caller's clock. It returns false if ctx ended.
func sleepUntil(ctx context.Context, c *Caller, at time.Duration) bool {
	for wait := at - c.clock.Now(); wait > 0; wait = at - c.clock.Now() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
	}
	return ctx.Err() == nil
}

// Finish stops the generators, waits up to the given time for outstanding requests, closes the sessions and returns
// the result.
func (c *Caller) Finish(ctx context.Context, wait time.Duration) Result {
	c.groups.mu.Lock()
	sessions, loads := c.groups.sessions, c.groups.loads
	c.groups.mu.Unlock()
	for _, g := range sessions {
		g.cancel()
		<-g.done
	}
	for _, g := range loads {
		g.cancel()
		<-g.done
	}
	deadline := time.Now().Add(wait)
	for _, phase := range []func() bool{c.drainRequests, c.closeSessions} {
		for !phase() && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return c.Result()
}

// drainRequests stops new requests of sessions, and reports whether every request has an outcome.
func (c *Caller) drainRequests() bool {
	outstanding := 0
	for _, l := range c.lanes {
		l.withLock(func() {
			for s := range l.sessions {
				l.stack.Stop(s.requestTimer)
				l.stack.Stop(s.lifeTimer)
				outstanding += len(s.pending)
			}
			outstanding += l.outstanding
		})
	}
	return outstanding == 0
}

// closeSessions closes the sessions, and reports whether all connections have ended.
func (c *Caller) closeSessions() bool {
	open := 0
	for _, l := range c.lanes {
		l.withLock(func() {
			for s := range l.sessions {
				s.close()
			}
			open += len(l.sessions)
		})
	}
	return open == 0
}

// Result returns the result so far.
func (c *Caller) Result() Result {
	c.groups.mu.Lock()
	defer c.groups.mu.Unlock()
	r := Result{Sessions: []SessionResult{}, Loads: []LoadResult{}}
	for _, g := range c.groups.sessions {
		s, refused := g.result()
		r.Sessions = append(r.Sessions, s)
		r.Refused = append(r.Refused, refused...)
	}
	for _, g := range c.groups.loads {
		l, refused := g.result()
		r.Loads = append(r.Loads, l)
		r.Refused = append(r.Refused, refused...)
	}
	for _, l := range c.lanes {
		l.withLock(func() { r.Strays += l.unmatched; r.Damaged += l.damaged })
		r.Strays += l.stack.Counters().Unmatched
	}
	return r
}
