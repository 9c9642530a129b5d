package caller

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
)

// session is one long-lived connection.
type session struct {
	lane           *lane
	group          *sessionGroup
	stats          *sessionStats // of this lane
	conn           *minitcp.Conn
	local          netip.AddrPort
	splitter       message.FrameSplitter
	opened         bool
	closed         bool
	closeRequested bool // closed by this side on purpose
	sequence       uint32
	lastPush       uint32
	target         string
	pending        map[uint64]pendingRequest
	requestTimer   *minitcp.Timer
	lifeTimer      *minitcp.Timer
}

type pendingRequest struct {
	sequence uint32
	sent     time.Duration
}

// openSession opens a session. The lane must be locked.
func (l *lane) openSession(g *sessionGroup) {
	s := &session{
		lane: l, group: g, stats: g.stats[l.index], pending: make(map[uint64]pendingRequest, 1),
		local: l.nextAddress(g.plan.Tenant, g.plan.Spread, g.plan.Endpoint.Addr()),
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
		s.lifeTimer = s.lane.stack.After(life, s.replace)
	}
	s.sendRequest()
}

// replace closes the session once its responses have arrived, and opens another one in its place.
func (s *session) replace() {
	if s.closed || s.closeRequested {
		return
	}
	s.lane.stack.Stop(s.requestTimer)
	if len(s.pending) > 0 {
		s.lifeTimer = s.lane.stack.After(replaceRetryInterval, s.replace)
		return
	}
	s.close()
	s.lane.openSession(s.group)
}

// replaceRetryInterval is the interval at which a session that is to be replaced checks for outstanding responses.
const replaceRetryInterval = 50 * time.Millisecond

func (s *session) sendRequest() {
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
	s.pending[r.ID] = pendingRequest{s.sequence, s.lane.stack.Now()}
	s.stats.Requests++
	s.conn.Write(b)
	if plan.IntervalMS > 0 {
		// Half of the interval is random, so that sessions opened together do not send requests together.
		interval := time.Duration(plan.IntervalMS) * time.Millisecond
		interval = interval*3/4 + time.Duration(s.lane.random.Int64N(int64(interval/2)+1))
		s.requestTimer = s.lane.stack.After(interval, func() {
			if !s.closed && !s.closeRequested {
				s.sendRequest()
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
		var response message.Response
		if message.Decode(b, &response) != nil {
			s.stats.Truncated++
			continue
		}
		s.handleResponse(&response)
	}
}

func (s *session) handleResponse(response *message.Response) {
	switch {
	case response.Service != s.group.plan.Service:
		s.stats.Foreign++
		s.lane.caller.log.WithField("event", "foreign").WithField("from", response.Service).WithField("flow", s.local).
			Error("response from another service")
		return
	case s.target != "" && s.target != response.Target:
		s.stats.Mixed++
	}
	s.target = response.Target
	if response.Status == message.Push {
		s.handlePush(response)
		return
	}
	p, known := s.pending[response.ID]
	if !known || p.sequence != response.Sequence {
		s.stats.Duplicates++
		return
	}
	delete(s.pending, response.ID)
	if response.Status != message.OK || !response.BodyIntact(int(s.group.plan.AnswerBytes)) {
		s.stats.Truncated++
		return
	}
	s.stats.Answers++
	recordLatency(s.stats.latency, s.lane.stack.Now()-p.sent)
}

func (s *session) handlePush(response *message.Response) {
	s.stats.Pushes++
	if response.Sequence != s.lastPush+1 {
		s.stats.Reordered++
	}
	s.lastPush = response.Sequence
	if !response.BodyIntact(int(s.group.plan.AnswerBytes)) {
		s.stats.Truncated++
	}
}

// PeerClosed implements minitcp.Handler.
func (s *session) PeerClosed(c *minitcp.Conn) { c.Close() }

// Closed implements minitcp.Handler.
func (s *session) Closed(_ *minitcp.Conn, reason minitcp.Reason) {
	s.closed = true
	s.lane.stack.Stop(s.requestTimer)
	s.lane.stack.Stop(s.lifeTimer)
	delete(s.lane.sessions, s)
	switch {
	case reason == minitcp.Refused:
		s.stats.Refused++
		s.stats.refused = append(s.stats.refused, Flow{Caller: s.local, Service: s.group.plan.Service})
	case !s.opened:
		s.stats.OpenTimedOut++
	case s.closeRequested && reason == minitcp.Finished:
		s.stats.Closed++
		s.stats.Lost += uint64(len(s.pending))
	default:
		s.recordBroken(reason)
	}
	s.pending = nil
}

func (s *session) recordBroken(reason minitcp.Reason) {
	s.stats.Broken++
	if s.stats.reasons == nil {
		s.stats.reasons = make(map[string]uint64)
	}
	s.stats.reasons[reason.String()]++
	if len(s.stats.samples) < maxSamples {
		s.stats.samples = append(s.stats.samples, BrokenFlow{
			Caller: s.local, Target: s.target, Reason: reason.String(), AtMS: s.lane.stack.Now().Milliseconds(),
		})
	}
	s.lane.caller.log.WithField("event", "broken").WithField("flow", s.local).WithField("target", s.target).
		WithField("reason", reason).Warn("session broken")
}

// close closes the session, or drops it if it is not yet open.
func (s *session) close() {
	if s.closed || s.closeRequested {
		return
	}
	s.closeRequested = true
	s.lane.stack.Stop(s.requestTimer)
	s.lane.stack.Stop(s.lifeTimer)
	if !s.opened {
		s.conn.Kill(minitcp.TimedOut)
		return
	}
	s.conn.Close()
}
