package steer

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	unevenEngines  = 20 // per data centre
	unevenSlots    = 2  // per target
	unevenQueue    = 8  // per target
	unevenWork     = 25 * time.Millisecond
	unevenGoal     = 250 * time.Millisecond // objective
	unevenExchange = 300 * time.Millisecond
	// adaptTime is the time after a change from which on the goals hold.
	adaptTime = 2 * time.Second
	// strayChanges is the number of changes when one of 120 targets counts as slow for a moment on all engines, which a cluster of requests
	// that take 7 times as long may cause.
	strayChanges = 2 * 3 * unevenEngines
	// goalInTime is the part of the new requests that must be answered within the objective.
	goalInTime = 0.95
)

// heavyEndpoint is the endpoint of a route whose requests take heavyWork times as long.
var heavyEndpoint = directory.Endpoint{Address: [4]byte{127, 0, 9, 3}, Port: 8080}

const heavyWork = 5

// unevenTarget simulates a target. slowdown is by how many times its work takes longer, failing that it answers each request at once.
type unevenTarget struct {
	target   *Target
	slowdown float64
	failing  bool
	down     bool
	busy     int
	queue    []*unevenRequest
}

type unevenRequest struct {
	n        int
	engine   *Engine
	server   *unevenTarget
	endpoint directory.Endpoint
	at       time.Duration
	work     time.Duration
	goal     time.Duration
	paid     bool // served in another data centre
}

// unevenFleet simulates data centres with engines, targets and demand.
type unevenFleet struct {
	random  *rand.Rand
	centres []string
	engines map[string][]*Engine
	servers []*unevenTarget
	byName  map[string]*unevenTarget
	entries []directory.TargetEntry
	perDC   int
	work    func(*unevenFleet) float64 // of a request, relative to unevenWork
	heavy   float64                    // part of the requests that go to heavyEndpoint
	finish  map[time.Duration][]*unevenRequest
	flows   int
	all     []outcome
	sums    map[string]map[directory.Token]directory.Load // of the last exchange
	changes int                                           // targets that became or stopped being slow on an engine
}

// outcome is the result of a request.
type outcome struct {
	at             time.Duration
	centre         string
	inTime, remote bool
	target         string
}

func newUnevenFleet(seed uint64, perDC int, centres ...string) *unevenFleet {
	f := &unevenFleet{
		random: rand.New(rand.NewPCG(seed, 5)), centres: centres, engines: map[string][]*Engine{}, byName: map[string]*unevenTarget{},
		perDC: perDC, work: variedWork, finish: map[time.Duration][]*unevenRequest{}, sums: map[string]map[directory.Token]directory.Load{},
	}
	for d, dc := range centres {
		for i := range perDC {
			entry := knownTarget(1000*d+i+1, dc)
			entry.Capacity = unevenSlots
			f.entries = append(f.entries, entry)
			v := &unevenTarget{slowdown: 1}
			f.byName[entry.Name], f.servers = v, append(f.servers, v)
		}
		for range unevenEngines {
			f.engines[dc] = append(f.engines[dc], NewEngine())
		}
	}
	f.publish()
	return f
}

// variedWork draws log-normal work with a spread of 0.5, of which 3% takes 7 times as long.
func variedWork(f *unevenFleet) float64 {
	work := math.Exp(0.5 * f.random.NormFloat64())
	if f.random.Float64() < 0.03 {
		work *= 7
	}
	return work
}

// publish gives all engines a view of the targets that are not down.
func (f *unevenFleet) publish() {
	var up []directory.TargetEntry
	for i := range f.entries {
		if !f.servers[i].down {
			up = append(up, f.entries[i])
		}
	}
	s := snapshot(up...)
	s.Configuration.Routes[0].Objective = unevenGoal
	heavy := s.Configuration.Routes[0]
	heavy.Endpoint, heavy.Objective = heavyEndpoint, heavyWork*unevenGoal
	s.Configuration.Routes = append(s.Configuration.Routes, heavy)
	for _, dc := range f.centres {
		for _, e := range f.engines[dc] {
			v := NewView(s, dc)
			e.SetView(v)
			for _, t := range v.tokens {
				f.byName[t.Name].target = t
			}
		}
	}
}

// slow makes the targets from the first to before the last of each data centre slower by a factor.
func (f *unevenFleet) slow(first, last int, factor float64) {
	for i, v := range f.servers {
		if n := i % f.perDC; n >= first && n < last {
			v.slowdown = factor
		}
	}
}

// capacity returns the requests per second that the targets of a data centre can serve.
func (f *unevenFleet) capacity() float64 {
	work := math.Exp(0.125) * 1.18 // mean of variedWork
	work *= 1 + f.heavy*(heavyWork-1)
	return float64(f.perDC*unevenSlots) / (work * unevenWork.Seconds())
}

// run simulates the time between from and until. use returns the offered load of a data centre as a part of its capacity.
func (f *unevenFleet) run(from, until time.Duration, use func(dc int, now time.Duration) float64) {
	const tick = time.Millisecond
	for now := from; now < until; now += tick {
		for _, r := range f.finish[now] {
			f.end(r, now)
		}
		delete(f.finish, now)
		for d, dc := range f.centres {
			for range int(use(d, now)*f.capacity()*tick.Seconds() + f.random.Float64()) {
				f.send(dc, now)
			}
		}
		if now%unevenExchange == 0 {
			f.exchange(now)
		}
	}
}

// constant returns a use that does not change.
func constant(use float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return use }
}

// send opens a flow with one request at a random engine of the data centre.
func (f *unevenFleet) send(dc string, now time.Duration) {
	f.flows++
	r := &unevenRequest{n: f.flows, at: now, endpoint: endpoint, goal: unevenGoal, engine: f.engines[dc][f.random.IntN(unevenEngines)]}
	work := f.work(f)
	if f.random.Float64() < f.heavy {
		r.endpoint, r.goal, work = heavyEndpoint, heavyWork*unevenGoal, heavyWork*work
	}
	r.work = time.Duration(work * float64(unevenWork))
	d := r.engine.Decide(&Packet{Caller: caller(r.n), Endpoint: r.endpoint, Open: true}, now)
	if d.Action != Forward {
		f.all = append(f.all, outcome{at: now, centre: dc})
		return
	}
	r.server, r.paid = f.byName[d.Target.Name], d.Target.DataCentre != dc
	r.engine.Decide(r.packet(7, 0), now)
	r.engine.Decide(r.packet(7, 100), now)
	f.all = append(f.all, outcome{at: now, centre: dc, remote: r.paid, target: d.Target.Name})
	r.n = len(f.all) - 1
	r.n, f.flows = r.n+1, len(f.all)
	switch v := r.server; {
	case v.failing:
		f.finish[now+2*time.Millisecond] = append(f.finish[now+2*time.Millisecond], r)
	case v.busy < unevenSlots:
		f.start(r, now)
	case len(v.queue) < unevenQueue:
		v.queue = append(v.queue, r)
	default:
		r.goal = 0
		f.finish[now+2*time.Millisecond] = append(f.finish[now+2*time.Millisecond], r)
	}
}

func (f *unevenFleet) start(r *unevenRequest, now time.Duration) {
	r.server.busy++
	at := now + max(time.Duration(float64(r.work)*r.server.slowdown), time.Millisecond).Truncate(time.Millisecond)
	f.finish[at] = append(f.finish[at], r)
}

// end sends the packet in which the caller acknowledges the answer and ends the flow.
func (f *unevenFleet) end(r *unevenRequest, now time.Duration) {
	p := r.packet(107, 0)
	p.Finish = true
	r.engine.Decide(p, now)
	v := r.server
	if r.goal == 0 || v.failing {
		return
	}
	f.all[r.n-1].inTime = now-r.at <= r.goal
	v.busy--
	if len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		f.start(next, now)
	}
}

func (r *unevenRequest) packet(received uint32, payload int) *Packet {
	return &Packet{
		Caller: caller(r.n), Endpoint: r.endpoint, Acknowledges: true, Acknowledgement: received, Sequence: 1,
		Payload: payload, Token: r.server.target.Token,
	}
}

// exchange gives every engine the loads of the others of its data centre, and those of the other data centres at the last exchange.
func (f *unevenFleet) exchange(now time.Duration) {
	earlier := f.sums
	f.sums = map[string]map[directory.Token]directory.Load{}
	for _, dc := range f.centres {
		own := make([][]directory.Load, unevenEngines)
		sum := map[directory.Token]directory.Load{}
		for i, e := range f.engines[dc] {
			own[i] = e.Loads(now)
			for _, l := range own[i] {
				sum[l.Token] = addLoads(sum[l.Token], l, 1)
			}
			f.changes += len(e.TakeSlowChanges())
		}
		f.sums[dc] = sum
		for i, e := range f.engines[dc] {
			others := maps.Clone(sum)
			for _, l := range own[i] {
				others[l.Token] = addLoads(others[l.Token], l, -1)
			}
			for _, other := range f.centres {
				if other == dc {
					continue
				}
				for token, l := range earlier[other] {
					others[token] = addLoads(others[token], l, 1)
				}
			}
			e.SetPeerLoads(nameBusiest(others, e.View()))
		}
	}
}

// addLoads adds the loads of two sources, or subtracts the second if sign is -1.
func addLoads(a, b directory.Load, sign int) directory.Load {
	add := func(a, b uint16) uint16 { return uint16(int(a) + sign*int(b)) }
	return directory.Load{
		Token: b.Token, Pending: add(a.Pending, b.Pending), Open: add(a.Open, b.Open), Suspect: a.Suspect || b.Suspect,
		Silent: a.Silent || b.Silent,
		Times:  directory.AnswerTimes{Answers: add(a.Times.Answers, b.Times.Answers), Excess: add(a.Times.Excess, b.Times.Excess)},
	}
}

// shares returns the parts of the requests sent between from and until that were answered in time, and sent to other data centres.
func (f *unevenFleet) shares(from, until time.Duration) (inTime, remote float64) {
	sent := 0
	for _, o := range f.all {
		if o.at < from || o.at >= until {
			continue
		}
		sent++
		if o.inTime {
			inTime++
		}
		if o.remote {
			remote++
		}
	}
	return inTime / float64(sent), remote / float64(sent)
}

// slowTargets returns the number of targets that are slow on the first engine of the first data centre.
func (f *unevenFleet) slowTargets() int {
	e, n := f.engines[f.centres[0]][0], 0
	for _, t := range e.View().tokens {
		if t.load.slow {
			n++
		}
	}
	return n
}

// shareOf returns the part of the requests sent between from and until that went to the first n targets of each data centre.
func (f *unevenFleet) shareOf(n int, from, until time.Duration) float64 {
	sent, there := 0, 0
	for _, o := range f.all {
		if o.at < from || o.at >= until {
			continue
		}
		sent++
		for i := range f.servers {
			if i%f.perDC < n && f.entries[i].Name == o.target {
				there++
			}
		}
	}
	return float64(there) / float64(sent)
}
