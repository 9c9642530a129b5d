package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// fullService simulates targets that open no more flows at their limit and answer the open ones, behind several balancers.
type fullService struct {
	engines  []*Engine
	room     map[string]int // flows that each target still opens
	sessions []fullSession
	breaks   int // packets of open flows that were answered with a reset
	opening  []fullOpening
	opened   int
	refused  int // at the first packet
	silent   int // not opened and not refused when the caller gives up
}

// fullSession is an open flow with a request from time to time.
type fullSession struct {
	engine      *Engine
	number      int
	target      *Target
	sequence    uint32
	received    uint32
	nextRequest time.Duration
	answerAt    time.Duration // 0 while no request is pending
}

// fullOpening is a flow that a caller tries to open.
type fullOpening struct {
	engine *Engine
	number int
	sentAt time.Duration
	copies uint32
	target *Target       // that answers, nil while none has
	openAt time.Duration // when the caller acknowledges the target's answer, 0 while no target has answered
}

const (
	fullTargets  = 4
	fullRoom     = 20 // flows of each target before the burst
	fullBalancer = 4
)

func newFullService() *fullService {
	s := &fullService{room: map[string]int{}}
	for range fullBalancer {
		targets := fiveTargets(local)[:fullTargets]
		s.engines = append(s.engines, engine(targets...))
		for i := range targets {
			s.room[targets[i].Name] = fullRoom
		}
	}
	return s
}

// run simulates the time between from and until, with new flows at the given interval.
func (s *fullService) run(from, until, interval time.Duration) {
	const step = 5 * time.Millisecond
	for now := from; now < until; now += step {
		if interval > 0 && now%interval == 0 {
			n := int(now / step)
			s.opening = append(s.opening, fullOpening{engine: s.engines[n%len(s.engines)], number: n, sentAt: now})
			s.sendOpening(&s.opening[len(s.opening)-1], now)
		}
		kept := s.opening[:0]
		for i := range s.opening {
			if s.stepOpening(&s.opening[i], now) {
				kept = append(kept, s.opening[i])
			}
		}
		s.opening = kept
		for i := range s.sessions {
			s.stepSession(&s.sessions[i], now)
		}
		if now%(200*time.Millisecond) == 0 {
			exchangeLoads(s.engines, now)
		}
	}
}

func (s *fullService) sendOpening(o *fullOpening, now time.Duration) {
	p := openingPacket(o.number)
	p.Acknowledgement = o.copies
	d := o.engine.Decide(p, now)
	switch {
	case d.Action == Refuse && d.Code == resultcode.RefusedConnections:
		s.refused++
		o.sentAt = -1
	case d.Action == Forward && o.openAt == 0 && s.room[d.Target.Name] > 0:
		s.room[d.Target.Name]--
		o.target, o.openAt = d.Target, now+10*time.Millisecond
	}
}

// stepOpening returns false when the caller is done with the flow.
func (s *fullService) stepOpening(o *fullOpening, now time.Duration) bool {
	waited := now - o.sentAt
	switch {
	case o.sentAt < 0:
		return false
	case o.openAt > 0 && now >= o.openAt:
		acknowledge(o.engine, o.number, o.target.Token, now)
		s.opened++
		s.sessions = append(s.sessions, fullSession{
			engine: o.engine, number: o.number, target: o.target, received: 7, nextRequest: now + time.Duration(1+o.number%5)*time.Second,
		})
		return false
	case o.openAt == 0 && (o.copies == 0 && waited >= 200*time.Millisecond || o.copies == 1 && waited >= 600*time.Millisecond):
		o.copies++
		s.sendOpening(o, now)
	case waited >= 1400*time.Millisecond:
		s.silent++
		return false
	}
	return true
}

func (s *fullService) stepSession(f *fullSession, now time.Duration) {
	p := Packet{
		Caller: caller(f.number), Endpoint: endpoint, Acknowledges: true, Acknowledgement: f.received, Sequence: f.sequence, Token: f.target.Token,
	}
	switch {
	case f.answerAt > 0 && now >= f.answerAt:
		f.answerAt, f.received, f.nextRequest = 0, f.received+500, now+4*time.Second
		p.Acknowledgement = f.received
	case f.answerAt == 0 && now >= f.nextRequest:
		f.answerAt = now + 40*time.Millisecond
		f.sequence += 100
		p.Payload = 100
	default:
		return
	}
	if d := f.engine.Decide(&p, now); d.Action == Break {
		s.breaks++
	}
}

// Replays many callers that open more flows than the targets hold, while the open flows have a request every few seconds. Guards
// against resets of those flows: targets at their limit leave opening packets unanswered, and go on answering the open flows.
func TestFullTargetsKeepTheirFlows(t *testing.T) {
	s := newFullService()
	s.run(time.Second, 2*time.Second, 10*time.Millisecond)
	s.run(2*time.Second, 15*time.Second, 5*time.Millisecond)
	if s.breaks > 0 || s.opened != fullTargets*fullRoom {
		t.Errorf("%d packets of open flows were answered with a reset, want none; %d flows opened, want %d", s.breaks, s.opened, fullTargets*fullRoom)
	}
}

// Replays the same. Guards against callers that wait until they give up although no target has room, and against a service that
// refuses flows after a target has room again.
func TestNewFlowsWhenAllTargetsAreFull(t *testing.T) {
	s := newFullService()
	s.run(time.Second, 4*time.Second, 5*time.Millisecond)
	s.refused, s.silent = 0, 0
	s.run(4*time.Second, 8*time.Second, 5*time.Millisecond)
	if s.refused < 4*s.silent {
		t.Errorf("%d flows were refused at once and %d waited until their callers gave up, want at least four of five refused", s.refused, s.silent)
	}
	for name := range s.room {
		s.room[name] = 1000
	}
	s.opened = 0
	s.run(8*time.Second, 8500*time.Millisecond, 5*time.Millisecond)
	s.refused, s.opened = 0, 0
	s.run(8500*time.Millisecond, 10*time.Second, 5*time.Millisecond)
	if s.refused > 0 || s.opened < 250 {
		t.Errorf("0.5 s after targets have room: %d flows refused, %d opened in 1.5 s, want none refused and nearly 300 opened", s.refused, s.opened)
	}
}

// Replays targets of which one has room, and callers that find it by their copies. Guards against refusals while a target has room.
func TestNoRefusalWhileATargetHasRoom(t *testing.T) {
	s := newFullService()
	for name := range s.room {
		s.room[name] = 0
	}
	s.room["t-1"] = 1 << 20
	s.run(time.Second, 10*time.Second, 5*time.Millisecond)
	if s.refused > 0 || s.opened < 1700 {
		t.Errorf("%d flows refused, %d opened in 9 s, want none refused and nearly 1,800 opened", s.refused, s.opened)
	}
}

// Replays services whose targets all fall silent, with open flows or without. Guards against refusals that take silence for a lack of
// room: the network between may be cut for a moment, and the copies of opening packets reach the targets later.
func TestSilentTargetsAreNotFull(t *testing.T) {
	for _, withFlows := range []bool{false, true} {
		e, random, refused := engine(fiveTargets(local)...), rand.New(rand.NewPCG(1, 1)), 0
		now := 10 * time.Second
		var tokens []*Target
		for n := range 50 {
			d := e.Decide(openingPacket(n), now)
			tokens = append(tokens, d.Target)
			if withFlows {
				acknowledge(e, n, d.Target.Token, now)
			}
		}
		for n := 100; n < 1000; n++ {
			now += 10 * time.Millisecond
			if i := random.IntN(50); withFlows {
				e.Decide(dataPacket(i, tokens[i].Token, 1), now)
			}
			e.Decide(openingPacket(n-20), now) // a copy of a flow that was opened 0.2 s ago
			if d := e.Decide(openingPacket(n), now); d.Action == Refuse {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("with open flows %t: %d flows were refused, want none", withFlows, refused)
		}
	}
}
