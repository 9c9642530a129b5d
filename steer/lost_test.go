package steer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lossyService simulates open flows at one target through several balancers, over links that lose packets.
type lossyService struct {
	random      *rand.Rand
	engines     []*Engine
	target      *Target
	loss        float64
	serviceTime func(*rand.Rand) time.Duration
	flows       []lossyFlow
	resets      int // flows that were reset
}

type lossyFlow struct {
	engine      *Engine
	sequence    uint32
	received    uint32
	sentAt      time.Duration // when the pending request was first sent
	repeats     int
	answerAt    time.Duration // when the target answers it, 0 while it has not received it
	nextRequest time.Duration // when the next request is sent, 0 while one is pending
}

func newLossyService(seed uint64, loss float64, work func(*rand.Rand) time.Duration) *lossyService {
	s := &lossyService{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, serviceTime: work, flows: make([]lossyFlow, 24)}
	for range 4 {
		s.engines = append(s.engines, engine(knownTarget(1, local)))
	}
	s.target = s.engines[0].View().Resolve(s.engines[0].Decide(openingPacket(0), 0).Target.Token)
	for i := range s.flows {
		e := s.engines[i%len(s.engines)]
		e.Decide(openingPacket(i), 0)
		acknowledge(e, i, s.target.Token, time.Millisecond)
		s.flows[i] = lossyFlow{engine: e, received: 7, nextRequest: time.Duration(1 + s.random.Int64N(int64(time.Second)))}
	}
	return s
}

// run simulates the time between from and until. The target ends at end.
func (s *lossyService) run(from, until, end time.Duration) {
	const step = 5 * time.Millisecond
	for now := from; now < until; now += step {
		for i := range s.flows {
			s.step(i, now, now >= end)
		}
		if now%(200*time.Millisecond) == 0 {
			exchangeLoads(s.engines, now)
		}
	}
}

func (s *lossyService) step(i int, now time.Duration, ended bool) {
	f := &s.flows[i]
	switch {
	case f.nextRequest > 0 && now >= f.nextRequest:
		f.nextRequest, f.sentAt, f.repeats = 0, now, 0
		f.sequence += 100
		s.send(i, now, ended)
	case f.nextRequest > 0:
	case f.answerAt > 0 && now >= f.answerAt && !ended:
		f.answerAt = 0
		if s.random.Float64() < s.loss {
			f.answerAt = now + 200*time.Millisecond // the target retransmits its answer
			return
		}
		f.received += 500
		f.nextRequest = now + time.Second
		f.engine.Decide(&Packet{
			Caller: caller(i), Endpoint: endpoint, Acknowledges: true, Acknowledgement: f.received, Sequence: f.sequence,
			Token: s.target.Token,
		}, now)
	case f.repeats < 2 && now >= f.sentAt+[]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}[f.repeats]:
		f.repeats++
		s.send(i, now, ended)
	}
}

func (s *lossyService) send(i int, now time.Duration, ended bool) {
	f := &s.flows[i]
	d := f.engine.Decide(&Packet{
		Caller: caller(i), Endpoint: endpoint, Acknowledges: true, Acknowledgement: f.received, Sequence: f.sequence,
		Payload: 100, Token: s.target.Token,
	}, now)
	if d.Action == Break {
		s.resets++
	} else if !ended && f.answerAt == 0 && s.random.Float64() >= s.loss {
		f.answerAt = now + s.serviceTime(s.random)
	}
}

func longServiceTime(r *rand.Rand) time.Duration {
	if r.Float64() < 0.1 {
		return time.Duration(200+r.IntN(800)) * time.Millisecond
	}
	return time.Duration(20+r.IntN(40)) * time.Millisecond
}

// Replays a live target behind lossy links, with requests that take longer than the retransmission time of its callers.
// Guards against resets of its flows.
func TestLiveTargetKeepsItsFlows(t *testing.T) {
	for seed := range uint64(300) {
		s := newLossyService(seed, 0.05, longServiceTime)
		if s.run(0, time.Minute, time.Hour); s.resets > 0 {
			t.Errorf("seed %d: %d flows of a live target were reset, want none", seed, s.resets)
		}
	}
}

// Replays the crash of that target. Guards against callers that wait until the store reports it, which takes 2.3 s or more.
func TestCrashIsDetectedFromPackets(t *testing.T) {
	for seed := range uint64(30) {
		s := newLossyService(seed, 0.05, longServiceTime)
		s.run(0, 10*time.Second, 10*time.Second)
		if s.run(10*time.Second, 11500*time.Millisecond, 10*time.Second); s.resets == 0 {
			t.Errorf("seed %d: no flow was reset within 1.5 s of the crash", seed)
		}
	}
}

// Guards against a service that is left without targets because all are suspect, for example when the balancer's own
// link fails.
func TestAllTargetsSuspect(t *testing.T) {
	e := engine(fiveTargets(local)...)
	for n := range 100 {
		e.Decide(openingPacket(n), 10*time.Second)
		e.Decide(openingPacket(n), 10*time.Second+200*time.Millisecond)
	}
	if d := e.Decide(openingPacket(999), 10*time.Second+300*time.Millisecond); d.Action != Forward {
		t.Fatalf("action %v, code %v, want forward to a suspect target", d.Action, d.Code)
	}
}
