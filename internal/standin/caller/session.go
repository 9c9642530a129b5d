package caller

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
)

// session is one long-lived connection.
type session struct {
	lane     *lane
	group    *sessionGroup
	stats    *sessionStats // of this lane
	conn     *minitcp.Conn
	local    netip.AddrPort
	splitter message.FrameSplitter
	opened   bool
	ended    bool
	closing  bool // closed by this side on purpose
	sequence uint32
	pushed   uint32
	target   string
	waiting  map[uint64]pending
	timer    *minitcp.Timer
	life     *minitcp.Timer
}

type pending struct {
	sequence uint32
	sent     time.Duration
}

// open opens a session. The lane is locked.
func (l *lane) open(g *sessionGroup) {
	s := &session{
		lane: l, group: g, stats: g.stats[l.index], waiting: make(map[uint64]pending, 1),
		local: l.address(g.plan.Tenant, g.plan.Spread, g.plan.Endpoint.Addr()),
	}
	s.stats.Started++
	l.sessions[s] = struct{}{}
	s.conn = l.stack.Dial(s.local, g.plan.Endpoint, s)
}

// Opened implements minitcp.Handler.
func (s *session) Opened(*minitcp.Conn) {
	s.opened = true
	s.stats.Opened++
	if mean := s.group.plan.LifeMS; mean > 0 {
		life := time.Duration(float64(mean) * s.lane.random.ExpFloat64() * float64(time.Millisecond))
		s.life = s.lane.stack.After(life, s.renew)
	}
	s.ask()
}

// renew closes the session once its answers have come, and opens another one in its place.
func (s *session) renew() {
	if s.ended || s.closing {
		return
	}
	s.lane.stack.Stop(s.timer)
	if len(s.waiting) > 0 {
		s.life = s.lane.stack.After(renewPause, s.renew)
		return
	}
	s.finish()
	s.lane.open(s.group)
}

// renewPause is how long a session that is to be renewed waits for its answers before it looks again.
const renewPause = 50 * time.Millisecond

func (s *session) ask() {
	s.sequence++
	plan := &s.group.plan
	r := message.Request{
		ID: s.lane.caller.ids.next(), Sequence: s.sequence, Service: plan.Service, WorkMicros: plan.WorkMicros, ResponseBytes: plan.AnswerBytes,
	}
	if s.sequence == 1 {
		r.PushIntervalMS = plan.FeedMS
	}
	b, err := message.EncodeFrame(&r)
	if err != nil {
		return
	}
	s.waiting[r.ID] = pending{s.sequence, s.lane.stack.Now()}
	s.stats.Requests++
	s.conn.Write(b)
	if plan.IntervalMS > 0 {
		// Half of the interval is random, so that sessions opened together do not ask together.
		interval := time.Duration(plan.IntervalMS) * time.Millisecond
		interval = interval*3/4 + time.Duration(s.lane.random.Int64N(int64(interval/2)+1))
		s.timer = s.lane.stack.After(interval, func() {
			if !s.ended && !s.closing {
				s.ask()
			}
		})
	}
}

// Received implements minitcp.Handler.
func (s *session) Received(c *minitcp.Conn, data []byte) {
	s.splitter.Add(data)
	for {
		b, err := s.splitter.Next()
		if err != nil {
			s.stats.Truncated++
			c.Abort()
			return
		}
		if b == nil {
			return
		}
		var a message.Response
		if message.Decode(b, &a) != nil {
			s.stats.Truncated++
			continue
		}
		s.answer(&a)
	}
}

func (s *session) answer(a *message.Response) {
	switch {
	case a.Service != s.group.plan.Service:
		s.stats.Foreign++
		s.lane.caller.log.WithField("event", "foreign").WithField("from", a.Service).WithField("flow", s.local).Error("foreign answer")
		return
	case s.target != "" && s.target != a.Target:
		s.stats.Mixed++
	}
	s.target = a.Target
	if a.Status == message.Push {
		s.push(a)
		return
	}
	p, known := s.waiting[a.ID]
	if !known || p.sequence != a.Sequence {
		s.stats.Duplicates++
		return
	}
	delete(s.waiting, a.ID)
	if a.Status != message.OK || !a.BodyIntact(int(s.group.plan.AnswerBytes)) {
		s.stats.Truncated++
		return
	}
	s.stats.Answers++
	record(s.stats.latency, s.lane.stack.Now()-p.sent)
}

func (s *session) push(a *message.Response) {
	s.stats.Pushes++
	if a.Sequence != s.pushed+1 {
		s.stats.Reordered++
	}
	s.pushed = a.Sequence
	if !a.BodyIntact(int(s.group.plan.AnswerBytes)) {
		s.stats.Truncated++
	}
}

// PeerClosed implements minitcp.Handler.
func (s *session) PeerClosed(c *minitcp.Conn) { c.Close() }

// Closed implements minitcp.Handler.
func (s *session) Closed(_ *minitcp.Conn, reason minitcp.Reason) {
	s.ended = true
	s.lane.stack.Stop(s.timer)
	s.lane.stack.Stop(s.life)
	delete(s.lane.sessions, s)
	switch {
	case reason == minitcp.Refused:
		s.stats.Refused++
		s.stats.refused = append(s.stats.refused, Flow{Caller: s.local, Service: s.group.plan.Service})
	case !s.opened:
		s.stats.OpenTimedOut++
	case s.closing && reason == minitcp.Finished:
		s.stats.Closed++
		s.stats.Lost += uint64(len(s.waiting))
	default:
		s.broken(reason)
	}
	s.waiting = nil
}

func (s *session) broken(reason minitcp.Reason) {
	s.stats.Broken++
	if s.stats.reasons == nil {
		s.stats.reasons = make(map[string]uint64)
	}
	s.stats.reasons[reason.String()]++
	if len(s.stats.samples) < sampleLimit {
		s.stats.samples = append(s.stats.samples, BrokenFlow{
			Caller: s.local, Target: s.target, Reason: reason.String(), AtMS: s.lane.stack.Now().Milliseconds(),
		})
	}
	s.lane.caller.log.WithField("event", "broken").WithField("flow", s.local).WithField("target", s.target).
		WithField("reason", reason).Warn("session broken")
}

// finish closes the session once its answers have come.
func (s *session) finish() {
	if s.ended || s.closing {
		return
	}
	s.closing = true
	s.lane.stack.Stop(s.timer)
	s.lane.stack.Stop(s.life)
	if !s.opened {
		s.conn.Kill(minitcp.TimedOut)
		return
	}
	s.conn.Close()
}
