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
	meanServiceTime = 40 * time.Millisecond
	// reportInterval is the time between two load reports to a balancer.
	reportInterval = 320 * time.Millisecond
)

// tally counts the requests of one kind by outcome.
type tally struct{ sent, inTime, late, refused, shed int }

func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

// request is a request of a caller on its own flow.
type request struct {
	n           int // number of the flow
	engine      *Engine
	endpoint    directory.Endpoint
	at          time.Duration
	serviceTime time.Duration
	kind        *tally
	objective   time.Duration
}

// server simulates a target with its slots and the queue in front of them.
type server struct {
	target *Target
	freeAt [3]time.Duration // when each slot becomes free
	busy   [3]*request
	queue  []*request
}

// loadedService simulates targets behind several balancers that exchange their loads once per reportInterval.
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
		all = append(all, knownTarget(i+1, local))
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

// open sends the opening packet of a request's flow, and then the request if the flow is admitted.
func (s *loadedService) open(r *request, now time.Duration) {
	s.flows++
	r.n, r.at, r.engine = s.flows, now, s.engines[s.random.IntN(len(s.engines))]
	r.serviceTime = time.Duration((0.5 + s.random.Float64()) * float64(meanServiceTime))
	r.kind.sent++
	d := r.engine.Decide(&Packet{Caller: caller(r.n), Endpoint: r.endpoint, Open: true}, now)
	if d.Action == Refuse {
		r.kind.refused++
		return
	}
	s.send(r, d.Target, now)
}

// send sends the request on its open flow.
func (s *loadedService) send(r *request, t *Target, now time.Duration) {
	r.engine.Decide(s.packet(r, t.Token, 7, 0), now)
	r.engine.Decide(s.packet(r, t.Token, 7, 100), now)
	v := s.servers[t.Name]
	if len(v.queue) >= queueLimit {
		r.kind.shed++
		s.finish(r, v, now)
		return
	}
	v.queue = append(v.queue, r)
}

func (s *loadedService) packet(r *request, token directory.Token, received uint32, payload int) *Packet {
	return &Packet{
		Caller: caller(r.n), Endpoint: r.endpoint, Acknowledges: true, Acknowledgement: received, Sequence: 1,
		Payload: payload, Token: token,
	}
}

// finish sends the packet in which the caller acknowledges the answer and ends the flow.
func (s *loadedService) finish(r *request, v *server, now time.Duration) {
	p := s.packet(r, v.target.Token, 107, 0)
	p.Finish = true
	r.engine.Decide(p, now)
}

func (s *loadedService) step(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		v := s.servers[name]
		for i := range v.busy {
			if r := v.busy[i]; r != nil && v.freeAt[i] <= now {
				v.busy[i] = nil
				if now-r.at <= r.objective {
					r.kind.inTime++
				} else {
					r.kind.late++
				}
				s.finish(r, v, now)
			}
			if v.busy[i] == nil && len(v.queue) > 0 {
				v.busy[i], v.queue = v.queue[0], v.queue[1:]
				v.freeAt[i] = now + v.busy[i].serviceTime
			}
		}
	}
}

// arrivals returns a random number of arrivals with the given mean.
func (s *loadedService) arrivals(mean float64) int { return int(mean + s.random.Float64()) }

// fillTargets lets the engines learn the service time, reports full targets to one of them, and returns that one.
func (s *loadedService) fillTargets() *Engine {
	var warm tally
	s.run(0, time.Second, &warm, &warm, 40, 10)
	e := s.engines[0]
	var others []directory.Load
	for token := range e.View().tokens {
		others = append(others, directory.Load{Token: token, Pending: 3 + queueLimit})
	}
	e.SetPeerLoads(directory.Loads{Targets: others})
	return e
}

// run simulates the time d, with new flows of both kinds at the given rates per second and one request on each.
func (s *loadedService) run(from, d time.Duration, bulk, urgent *tally, bulkRate, urgentRate float64) {
	const tick = time.Millisecond
	for now := from; now < from+d; now += tick {
		s.step(now)
		for range s.arrivals(bulkRate * tick.Seconds()) {
			s.open(&request{endpoint: endpoint, kind: bulk, objective: bulkObjective}, now)
		}
		for range s.arrivals(urgentRate * tick.Seconds()) {
			s.open(&request{endpoint: urgentEndpoint, kind: urgent, objective: urgentObjective}, now)
		}
		for i := range s.engines {
			if (now+time.Duration(i)*reportInterval/8)%reportInterval == 0 {
				updatePeerLoads(s.engines, i, now)
			}
		}
	}
}

// Replays a peak at which a service gets 1.6 times the work that its targets can do. Guards against a queue that makes
// every answer late, and against urgent requests that wait behind bulk requests.
func TestOverloadKeepsAnswersInTime(t *testing.T) { testOverload(t, 14) }

// Replays the same peak on more targets than a report names. Guards against busy targets that look idle because a report
// has no room for them: urgent requests went to them and were turned away, and bulk requests were not refused.
func TestOverloadOfManyTargetsKeepsAnswersInTime(t *testing.T) { testOverload(t, 2*maxNamedTargets) }

func testOverload(t *testing.T, targets int) {
	for seed := range uint64(3) {
		s := newLoadedService(seed, targets)
		capacity := float64(targets) * 3 * float64(time.Second) / float64(meanServiceTime) // requests a second
		var warm, bulk, urgent tally
		s.run(0, time.Second, &warm, &warm, 0.4*capacity, 0.1*capacity)
		const detectionTime = minQueueDuration + 2*waitAveragingTime
		s.run(time.Second, detectionTime, &warm, &warm, 1.3*capacity, 0.3*capacity)
		s.run(time.Second+detectionTime, 6*time.Second, &bulk, &urgent, 1.3*capacity, 0.3*capacity)
		s.run(7*time.Second+detectionTime, time.Second, &warm, &warm, 0, 0)
		if urgent.refused > 0 || urgent.inTimeShare() < 0.95 {
			t.Errorf("seed %d: urgent requests in time are %.2f, want 0.95 and no refusal: %+v", seed, urgent.inTimeShare(), urgent)
		}
		if goodput := float64(bulk.inTime+urgent.inTime) / (6 * capacity); goodput < 0.85 {
			t.Errorf("seed %d: answers in time are %.2f of the capacity, want 0.85: %+v", seed, goodput, bulk)
		}
		if late := float64(bulk.late) / float64(max(bulk.late+bulk.inTime, 1)); late > 0.1 {
			t.Errorf("seed %d: %.2f of the admitted bulk requests are late, want at most 0.1: %+v", seed, late, bulk)
		}
	}
}

// Replays the retries after a power outage: for 0.3 s twice the work that the targets can do, then half of it. Guards
// against refusals while the backlog is worked off.
func TestShortBurstIsServed(t *testing.T) {
	s := newLoadedService(7, 14)
	const capacity = 14 * 3 * float64(time.Second) / float64(meanServiceTime)
	var burst, after tally
	s.run(0, 300*time.Millisecond, &burst, &burst, 1.6*capacity, 0.4*capacity)
	s.run(300*time.Millisecond, 3*time.Second, &after, &after, 0.4*capacity, 0.1*capacity)
	if burst.refused+after.refused > 0 {
		t.Errorf("%d requests of the burst and %d after it were refused, want none", burst.refused, after.refused)
	}
}

// Guards against refusals of requests that could be served: at 0.9 of the capacity in bursts, and before the service
// time is known.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	s := newLoadedService(4, 14)
	const capacity = 14 * 3 * float64(time.Second) / float64(meanServiceTime)
	var bulk, urgent tally
	s.run(0, 6*time.Second, &bulk, &urgent, 0.65*capacity, 0.25*capacity)
	if refused := bulk.refused + urgent.refused; refused > (bulk.sent+urgent.sent)/500 {
		t.Errorf("%d of %d requests were refused, want at most 1 in 500", refused, bulk.sent+urgent.sent)
	}
}

// Replays an overload during which a route is added that few flows use. Guards against refusals on it, which callers
// take for a missing route, and against a rare route of low priority that keeps the bulk requests from being refused.
func TestRareRoutesAreServed(t *testing.T) {
	s := newLoadedService(8, 14)
	const capacity = 14 * 3 * float64(time.Second) / float64(meanServiceTime)
	var bulk, urgent, rare tally
	for second := range 6 {
		s.run(time.Duration(second)*time.Second, time.Second, &bulk, &urgent, 1.3*capacity, 0.3*capacity)
		for range 8 {
			s.open(&request{endpoint: rareEndpoint, kind: &rare, objective: bulkObjective}, time.Duration(second+1)*time.Second)
		}
	}
	if rare.refused > 0 || bulk.refused == 0 {
		t.Errorf("%d flows of the rare route and %d of the bulk route were refused, want none and some", rare.refused, bulk.refused)
	}
}

// Replays a service with few flows that finds full targets after an idle time. Guards against refusals although it is
// not known how long the queue has lasted.
func TestQueueAtFirstSightIsServed(t *testing.T) {
	e := newLoadedService(9, 5).fillTargets()
	for n := range 40 {
		if d := e.Decide(openingPacket(1000+n), 10*time.Second+time.Duration(n)*time.Millisecond); d.Action != Forward {
			t.Fatalf("flow %d: action %v, code %v, want forward", n, d.Action, d.Code)
		}
	}
}

// Guards against a refusal after another balancer may have sent a copy of the opening packet to a target: the refusal
// would wrongly tell the caller that no work has run.
func TestCopiesAreNeverRefused(t *testing.T) {
	e := newLoadedService(6, 5).fillTargets()
	const later = 2*time.Second + minQueueDuration
	for now := 2 * time.Second; now < later; now += minQueueDuration / 4 {
		e.Decide(openingPacket(900+int(now/time.Millisecond)), now)
	}
	refused := 0
	for n := range 40 {
		first, copied := openingPacket(1000+n), openingPacket(2000+n)
		copied.Acknowledgement = 1
		if d := e.Decide(first, later); d.Action == Refuse && d.Code == resultcode.RefusedNoSlot {
			refused++
		}
		if d := e.Decide(copied, later); d.Action != Forward {
			t.Fatalf("copy of an opening packet: action %v, code %v, want forward", d.Action, d.Code)
		}
	}
	if refused == 0 {
		t.Error("no flow was refused although all targets are full")
	}
}
