package steer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

var (
	urgentEndpoint = directory.Endpoint{Address: [4]byte{127, 0, 9, 1}, Port: 8080}
	rareEndpoint   = directory.Endpoint{Address: [4]byte{127, 0, 9, 2}, Port: 8080}
)

const (
	bulkObjective   = 200 * time.Millisecond
	urgentObjective = 250 * time.Millisecond
	meanWork        = 40 * time.Millisecond
	// reportInterval is the time between two reports of load to a balancer.
	reportInterval = 320 * time.Millisecond
)

// tally counts requests of one kind.
type tally struct{ sent, inTime, late, refused, shed int }

func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

// request is work that a caller has sent.
type request struct {
	n        int // of the flow
	engine   *Engine
	endpoint directory.Endpoint
	at       time.Duration
	work     time.Duration
	kind     *tally
	limit    time.Duration // objective
}

// server is a target with its slots and a queue in front of them.
type server struct {
	target *Target
	done   [3]time.Duration // when each slot becomes free
	busy   [3]*request
	queue  []*request
}

// loadedService plays targets behind several balancers that tell each other of load once in an interval.
type loadedService struct {
	random  *rand.Rand
	engines []*Engine
	servers map[string]*server
	flows   int
}

func newLoadedService(seed uint64, targets int) *loadedService {
	s := &loadedService{random: rand.New(rand.NewPCG(seed, 2)), servers: map[string]*server{}}
	var all []directory.TargetEntry
	for i := range targets {
		all = append(all, known(i+1, local))
	}
	snapshot := snapshot(all...)
	bulk := &snapshot.Configuration.Routes[0]
	bulk.Priority, bulk.Objective = 2, bulkObjective
	urgent, rare := *bulk, *bulk
	urgent.Endpoint, urgent.Priority, urgent.Objective = urgentEndpoint, 1, urgentObjective
	rare.Endpoint, rare.Priority = rareEndpoint, 5
	snapshot.Configuration.Routes = append(snapshot.Configuration.Routes, urgent, rare)
	for range 8 {
		e := NewEngine()
		e.SetView(NewView(snapshot, local))
		s.engines = append(s.engines, e)
	}
	for _, t := range s.engines[0].View().tokens {
		s.servers[t.Name] = &server{target: t}
	}
	return s
}

// open sends the opening packet of a request on its own flow, and the request when it is admitted.
func (s *loadedService) open(r *request, now time.Duration) {
	s.flows++
	r.n, r.at, r.engine = s.flows, now, s.engines[s.random.IntN(len(s.engines))]
	r.work = time.Duration((0.5 + s.random.Float64()) * float64(meanWork))
	r.kind.sent++
	d := r.engine.Decide(&Packet{Caller: caller(r.n), Endpoint: r.endpoint, Open: true}, now)
	if d.Action == Refuse {
		r.kind.refused++
		return
	}
	s.send(r, d.Target, now)
}

// send sends the request on its flow, which is open.
func (s *loadedService) send(r *request, t *Target, now time.Duration) {
	r.engine.Decide(s.packet(r, t.Token, 7, 0), now)
	r.engine.Decide(s.packet(r, t.Token, 7, 100), now)
	v := s.servers[t.Name]
	if len(v.queue) >= queue {
		r.kind.shed++
		s.end(r, v, now)
		return
	}
	v.queue = append(v.queue, r)
}

func (s *loadedService) packet(r *request, token directory.Token, received uint32, payload int) *Packet {
	return &Packet{Caller: caller(r.n), Endpoint: r.endpoint, Acknowledges: true, Acknowledgement: received, Sequence: 1, Payload: payload, Token: token}
}

// end tells the balancer of the answer.
func (s *loadedService) end(r *request, v *server, now time.Duration) {
	p := s.packet(r, v.target.Token, 107, 0)
	p.Finish = true
	r.engine.Decide(p, now)
}

func (s *loadedService) step(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		v := s.servers[name]
		for i := range v.busy {
			if r := v.busy[i]; r != nil && v.done[i] <= now {
				v.busy[i] = nil
				if now-r.at <= r.limit {
					r.kind.inTime++
				} else {
					r.kind.late++
				}
				s.end(r, v, now)
			}
			if v.busy[i] == nil && len(v.queue) > 0 {
				v.busy[i], v.queue = v.queue[0], v.queue[1:]
				v.done[i] = now + v.busy[i].work
			}
		}
	}
}

// arrivals returns a random number with the given mean.
func (s *loadedService) arrivals(mean float64) int { return int(mean + s.random.Float64()) }

// fillTargets tells one balancer of full targets, after it has learned how long work takes, and returns it.
func (s *loadedService) fillTargets() *Engine {
	var warm tally
	s.run(0, time.Second, &warm, &warm, 40, 10)
	e := s.engines[0]
	var others []directory.Load
	for token := range e.View().tokens {
		others = append(others, directory.Load{Token: token, Pending: 3 + queue})
	}
	e.SetOthers(others)
	return e
}

// run plays for d: new flows of both kinds at rates per second, each with one request.
func (s *loadedService) run(from, d time.Duration, bulk, urgent *tally, bulkRate, urgentRate float64) {
	const tick = time.Millisecond
	for now := from; now < from+d; now += tick {
		s.step(now)
		for range s.arrivals(bulkRate * tick.Seconds()) {
			s.open(&request{endpoint: endpoint, kind: bulk, limit: bulkObjective}, now)
		}
		for range s.arrivals(urgentRate * tick.Seconds()) {
			s.open(&request{endpoint: urgentEndpoint, kind: urgent, limit: urgentObjective}, now)
		}
		for i := range s.engines {
			if (now+time.Duration(i)*reportInterval/8)%reportInterval == 0 {
				shareLoad(s.engines, i, now)
			}
		}
	}
}

// Replays a crest at which a service gets 1.6 times the work that it can do. Guards against a queue that makes every answer
// late, and against urgent work that waits behind bulk work.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	for seed := range uint64(3) {
		s := newLoadedService(seed, 14)
		const capacity = 14 * 3 * float64(time.Second) / float64(meanWork) // requests a second
		var warm, bulk, urgent tally
		s.run(0, time.Second, &warm, &warm, 0.4*capacity, 0.1*capacity)
		const noticed = queueAge + 2*waitAverage
		s.run(time.Second, noticed, &warm, &warm, 1.3*capacity, 0.3*capacity)
		s.run(time.Second+noticed, 6*time.Second, &bulk, &urgent, 1.3*capacity, 0.3*capacity)
		s.run(7*time.Second+noticed, time.Second, &warm, &warm, 0, 0)
		if urgent.refused > 0 || urgent.inTimeShare() < 0.95 {
			t.Errorf("seed %d: urgent work in time %.2f, %+v", seed, urgent.inTimeShare(), urgent)
		}
		if goodput := float64(bulk.inTime+urgent.inTime) / (6 * capacity); goodput < 0.85 {
			t.Errorf("seed %d: answers in time are %.2f of what the targets can do, %+v", seed, goodput, bulk)
		}
		if late := float64(bulk.late) / float64(max(bulk.late+bulk.inTime, 1)); late > 0.1 {
			t.Errorf("seed %d: %.2f of the admitted bulk work is late, %+v", seed, late, bulk)
		}
	}
}

// Replays the wave of repetitions after a loss of power: for 0.3 s twice the work that the targets can do, then half of it. Guards against refusals while the wave is worked off.
func TestShortWaveIsServed(t *testing.T) {
	s := newLoadedService(7, 14)
	const capacity = 14 * 3 * float64(time.Second) / float64(meanWork)
	var wave, after tally
	s.run(0, 300*time.Millisecond, &wave, &wave, 1.6*capacity, 0.4*capacity)
	s.run(300*time.Millisecond, 3*time.Second, &after, &after, 0.4*capacity, 0.1*capacity)
	if wave.refused+after.refused > 0 {
		t.Errorf("refused %d of the wave and %d after it", wave.refused, after.refused)
	}
}

// Guards against refusals of work that could be served: at 0.9 of the capacity in bursts, and before anything is known of the
// work that requests take.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	s := newLoadedService(4, 14)
	const capacity = 14 * 3 * float64(time.Second) / float64(meanWork)
	var bulk, urgent tally
	s.run(0, 6*time.Second, &bulk, &urgent, 0.65*capacity, 0.25*capacity)
	if refused := bulk.refused + urgent.refused; refused > (bulk.sent+urgent.sent)/500 {
		t.Errorf("%d of %d requests refused", refused, bulk.sent+urgent.sent)
	}
}

// Replays an overload during which a route is added that few flows use. Guards against refusals on it, which tell callers that the
// configuration in force has no such route, and against a rare route of low priority that protects the bulk work.
func TestRareRoutesAreServed(t *testing.T) {
	s := newLoadedService(8, 14)
	const capacity = 14 * 3 * float64(time.Second) / float64(meanWork)
	var bulk, urgent, rare tally
	for second := range 6 {
		s.run(time.Duration(second)*time.Second, time.Second, &bulk, &urgent, 1.3*capacity, 0.3*capacity)
		for range 8 {
			s.open(&request{endpoint: rareEndpoint, kind: &rare, limit: bulkObjective}, time.Duration(second+1)*time.Second)
		}
	}
	if rare.refused > 0 || bulk.refused == 0 {
		t.Errorf("refused %d flows of the rare route and %d of the bulk route", rare.refused, bulk.refused)
	}
}

// Replays a service with few flows that finds full targets after a quiet time. Guards against refusals though nobody knows how long the
// queue has lasted.
func TestQueueAtFirstSightIsServed(t *testing.T) {
	e := newLoadedService(9, 5).fillTargets()
	for n := range 40 {
		if d := e.Decide(opening(1000+n), 10*time.Second+time.Duration(n)*time.Millisecond); d.Action != Forward {
			t.Fatalf("flow %d: %v, %v", n, d.Action, d.Code)
		}
	}
}

// Guards against a refusal after a copy of the opening packet may have been offered to a target by another balancer: it would
// not be true that nothing has run.
func TestCopiesAreNeverRefused(t *testing.T) {
	e := newLoadedService(6, 5).fillTargets()
	const later = 2*time.Second + queueAge
	for now := 2 * time.Second; now < later; now += queueAge / 4 {
		e.Decide(opening(900+int(now/time.Millisecond)), now)
	}
	refused := 0
	for n := range 40 {
		first, copied := opening(1000+n), opening(2000+n)
		copied.Acknowledgement = 1
		if d := e.Decide(first, later); d.Action == Refuse && d.Code == resultcode.RefusedNoSlot {
			refused++
		}
		if d := e.Decide(copied, later); d.Action != Forward {
			t.Fatalf("copy: %v, %v", d.Action, d.Code)
		}
	}
	if refused == 0 {
		t.Error("no flow refused before full targets")
	}
}
