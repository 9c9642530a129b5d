package steer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lossyService plays open flows at one target through several balancers, over links that lose packets.
type lossyService struct {
	random  *rand.Rand
	engines []*Engine
	target  *Target
	loss    float64
	work    func(*rand.Rand) time.Duration
	flows   []lossyFlow
	broken  int // flows that were reset
}

type lossyFlow struct {
	engine   *Engine
	sequence uint32
	received uint32
	sent     time.Duration // of the request that is under way
	repeats  int
	done     time.Duration // when the target answers it, 0 when it has not got it
	next     time.Duration // next request, 0 while one is under way
}

func newLossyService(seed uint64, loss float64, work func(*rand.Rand) time.Duration) *lossyService {
	s := &lossyService{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, work: work, flows: make([]lossyFlow, 24)}
	for range 4 {
		s.engines = append(s.engines, engine(known(1, local)))
	}
	s.target = s.engines[0].View().Resolve(s.engines[0].Decide(opening(0), 0).Target.Token)
	for i := range s.flows {
		e := s.engines[i%len(s.engines)]
		e.Decide(opening(i), 0)
		answered(e, i, s.target.Token, time.Millisecond)
		s.flows[i] = lossyFlow{engine: e, received: 7, next: time.Duration(1 + s.random.Int64N(int64(time.Second)))}
	}
	return s
}

// run plays until a time. The target ends at the time end.
func (s *lossyService) run(from, until, end time.Duration) {
	const step = 5 * time.Millisecond
	for now := from; now < until; now += step {
		for i := range s.flows {
			s.turn(i, now, now >= end)
		}
		if now%(200*time.Millisecond) == 0 {
			shareLoads(s.engines, now)
		}
	}
}

func (s *lossyService) turn(i int, now time.Duration, ended bool) {
	f := &s.flows[i]
	switch {
	case f.next > 0 && now >= f.next:
		f.next, f.sent, f.repeats = 0, now, 0
		f.sequence += 100
		s.send(i, now, ended)
	case f.next > 0:
	case f.done > 0 && now >= f.done && !ended:
		f.done = 0
		if s.random.Float64() < s.loss {
			f.done = now + 200*time.Millisecond // the target repeats its answer
			return
		}
		f.received += 500
		f.next = now + time.Second
		f.engine.Decide(&Packet{Caller: caller(i), Endpoint: endpoint, Acknowledges: true, Acknowledgement: f.received, Sequence: f.sequence, Token: s.target.Token}, now)
	case f.repeats < 2 && now >= f.sent+[]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}[f.repeats]:
		f.repeats++
		s.send(i, now, ended)
	}
}

func (s *lossyService) send(i int, now time.Duration, ended bool) {
	f := &s.flows[i]
	d := f.engine.Decide(&Packet{
		Caller: caller(i), Endpoint: endpoint, Acknowledges: true, Acknowledgement: f.received, Sequence: f.sequence, Payload: 100, Token: s.target.Token,
	}, now)
	if d.Action == Break {
		s.broken++
	} else if !ended && f.done == 0 && s.random.Float64() >= s.loss {
		f.done = now + s.work(s.random)
	}
}

func longWork(r *rand.Rand) time.Duration {
	if r.Float64() < 0.1 {
		return time.Duration(200+r.IntN(800)) * time.Millisecond
	}
	return time.Duration(20+r.IntN(40)) * time.Millisecond
}

// Replays a target that lives behind lossy links and has requests that take longer than its callers' repetitions. Guards
// against resets of its flows.
func TestLivingTargetKeepsItsFlows(t *testing.T) {
	for seed := range uint64(300) {
		s := newLossyService(seed, 0.05, longWork)
		if s.run(0, time.Minute, time.Hour); s.broken > 0 {
			t.Errorf("seed %d: %d resets of a living target's flows", seed, s.broken)
		}
	}
}

// Replays the crash of that target. Guards against callers that wait for the store's word, which takes 2.3 s and more.
func TestCrashIsNoticedFromPackets(t *testing.T) {
	for seed := range uint64(30) {
		s := newLossyService(seed, 0.05, longWork)
		s.run(0, 10*time.Second, 10*time.Second)
		if s.run(10*time.Second, 11500*time.Millisecond, 10*time.Second); s.broken == 0 {
			t.Errorf("seed %d: no flow was reset 1.5 s after the crash", seed)
		}
	}
}

// Guards against a suspicion of every target, for example when the balancer's own link fails, that empties a service.
func TestAllSuspect(t *testing.T) {
	e := engine(five(local)...)
	for n := range 100 {
		e.Decide(opening(n), 10*time.Second)
		e.Decide(opening(n), 10*time.Second+200*time.Millisecond)
	}
	if d := e.Decide(opening(999), 10*time.Second+300*time.Millisecond); d.Action != Forward {
		t.Fatalf("%v, %v", d.Action, d.Code)
	}
}
