package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// sessionRequests is the mean number of requests of a session, and sessionPause the mean pause between two of them.
	sessionRequests = 6
	sessionPause    = 150 * time.Millisecond
	// retryDelay is the time from a refusal to the next attempt, and maxAttempts the number of attempts.
	retryDelay  = 5 * time.Millisecond
	maxAttempts = 3
	// crestStart and crestEnd are when the demand rises and falls.
	crestStart = 3 * time.Second
	crestEnd   = 9 * time.Second
)

// kindOfWork is one kind of sessions: a route and the addresses that use it.
type kindOfWork struct {
	endpoint  directory.Endpoint
	priority  int
	objective time.Duration
	// firstAccount and accounts are the range of the callers' addresses.
	firstAccount, accounts int
	use                    float64 // part of the capacity of all targets that the demand needs
	tally
	lost int // requests that failed after all attempts
}

func (k *kindOfWork) failedShare() float64 { return float64(k.late+k.lost) / float64(max(k.sent, 1)) }

// session is a caller that sends several requests on one flow, and opens a new one after a refusal.
type session struct {
	load     *sessionLoad
	kind     *kindOfWork
	account  int
	left     int
	attempts int           // of the current request
	start    time.Duration // of the first attempt
	flow     *request      // nil while no flow is open
	target   *Target
}

// sessionLoad simulates sessions on a loaded service.
type sessionLoad struct {
	*loadedService
	timers map[time.Duration][]func(now time.Duration)
	kinds  []*kindOfWork
	port   uint16
	// reservesBefore is the number of balancers that reserved targets when the crest began, and answeredInCrest that of requests that
	// were answered during the crest.
	reservesBefore, answeredInCrest int
}

func (l *sessionLoad) after(now, d time.Duration, f func(now time.Duration)) {
	at := (now + max(d, time.Millisecond)).Truncate(time.Millisecond)
	l.timers[at] = append(l.timers[at], f)
}

// run simulates the time d, in which new sessions of each kind arrive.
func (l *sessionLoad) run(from, d time.Duration) {
	const tick = time.Millisecond
	for now := from; now < from+d; now += tick {
		l.step(now)
		due := l.timers[now]
		delete(l.timers, now)
		for _, f := range due {
			f(now)
		}
		for _, k := range l.kinds {
			for range l.arrivals(k.use * l.capacity() / sessionRequests * tick.Seconds()) {
				s := &session{load: l, kind: k, account: k.firstAccount + l.random.IntN(k.accounts), left: 1 + l.random.IntN(2*sessionRequests-1)}
				s.begin(now)
			}
		}
		for i := range l.engines {
			if (now+time.Duration(i)*reportInterval/8)%reportInterval == 0 {
				updatePeerLoads(l.engines, i, now)
			}
		}
	}
}

// begin starts the next request of the session.
func (s *session) begin(now time.Duration) {
	if s.left == 0 {
		s.close(now)
		return
	}
	s.left--
	s.attempts, s.start = 0, now
	s.kind.sent++
	s.attempt(now)
}

// close ends the session's flow.
func (s *session) close(now time.Duration) {
	if s.flow != nil {
		s.load.finish(s.flow, s.load.servers[s.target.Name], now)
		s.flow = nil
	}
}

// attempt sends the request on the open flow or on a new one.
func (s *session) attempt(now time.Duration) {
	l := s.load
	s.attempts++
	if s.flow != nil {
		s.flow.earlier++
		s.flow.at, s.flow.serviceTime = s.start, l.serviceTime()
		l.sendOpen(s.flow, s.target, now)
		return
	}
	l.port++
	address := [4]byte{127, 2, byte(s.account >> 8), byte(s.account)}
	r := &request{
		caller: directory.Endpoint{Address: address, Port: l.port}, engine: l.engines[l.random.IntN(len(l.engines))],
		endpoint: s.kind.endpoint, at: s.start, serviceTime: l.serviceTime(), kind: &s.kind.tally, objective: s.kind.objective,
	}
	r.done = s.done
	d := r.engine.Decide(&Packet{Caller: r.caller, Endpoint: r.endpoint, Open: true}, now)
	if d.Action != Forward {
		s.kind.refused++
		s.retry(now)
		return
	}
	s.flow, s.target = r, d.Target
	l.send(r, d.Target, now)
}

// done handles the end of a request at its target.
func (s *session) done(r *request, answered bool, now time.Duration) {
	r.engine.Decide(s.load.packet(r, s.target.Token, 107, 0), now)
	if !answered {
		s.close(now)
		s.retry(now)
		return
	}
	s.load.after(now, s.load.pause(), s.begin)
}

// retry makes the next attempt, or gives up the request after the last one.
func (s *session) retry(now time.Duration) {
	if s.attempts < maxAttempts {
		s.load.after(now, retryDelay, s.attempt)
		return
	}
	s.kind.lost++
	s.load.after(now, s.load.pause(), s.begin)
}

// reserves returns the number of balancers that reserve targets.
func (l *sessionLoad) reserves(now time.Duration) int {
	n := 0
	for _, e := range l.engines {
		for _, d := range e.Demands(now) {
			if d.Overloaded {
				n++
			}
		}
	}
	return n
}

// capacity returns the requests per second that all targets can answer.
func (l *sessionLoad) capacity() float64 {
	return float64(len(l.servers)) * 3 * float64(time.Second) / float64(meanServiceTime)
}

func (l *sessionLoad) pause() time.Duration {
	return time.Duration((0.5 + l.random.Float64()) * float64(sessionPause))
}

func (s *loadedService) serviceTime() time.Duration {
	return time.Duration((0.5 + s.random.Float64()) * float64(meanServiceTime))
}

// newSessionLoad returns sessions on 25 targets. Objectives are long enough for all queued requests, so only targets turn work away.
func newSessionLoad(seed uint64, kinds ...*kindOfWork) *sessionLoad {
	l := &sessionLoad{loadedService: newLoadedService(seed, 25), timers: map[time.Duration][]func(time.Duration){}, kinds: kinds}
	routes := l.engines[0].view.routes // shared by all engines
	for _, k := range kinds {
		routes[k.endpoint].Priority, routes[k.endpoint].Objective = k.priority, k.objective
	}
	return l
}

func bulkWork(endpoint directory.Endpoint, firstAccount, accounts int, use float64) *kindOfWork {
	return &kindOfWork{
		endpoint: endpoint, priority: 2, objective: 800 * time.Millisecond, firstAccount: firstAccount, accounts: accounts, use: use,
	}
}

func urgentWork(use float64) *kindOfWork {
	return &kindOfWork{endpoint: urgentEndpoint, priority: 1, objective: 400 * time.Millisecond, accounts: 200, use: use}
}

// crest simulates the usual demand, a crest in which the demand of the given kinds is factor times as high, and 3 s of the usual
// demand. It counts the requests from the beginning of the crest.
func (l *sessionLoad) crest(factor float64, rising ...*kindOfWork) {
	l.run(0, crestStart)
	for _, k := range l.kinds {
		k.tally, k.lost = tally{}, 0
	}
	l.reservesBefore = l.reserves(crestStart)
	for _, k := range rising {
		k.use *= factor
	}
	l.run(crestStart, crestEnd-crestStart)
	for _, k := range l.kinds {
		l.answeredInCrest += k.inTime + k.late
	}
	for _, k := range rising {
		k.use /= factor
	}
	l.run(crestEnd, 3*time.Second)
}

// Replays a crest of all demand at 12 times the usual, on long flows. Guards against urgent requests that targets turn away because
// bulk requests fill all queues, against targets that reject work before balancers refuse it, against idle targets meanwhile, and
// against a reserve that is in force before or after the crest.
func TestUrgentWorkIsServedAtACrest(t *testing.T) {
	for seed := range uint64(3) {
		bulk, urgent := bulkWork(endpoint, 0, 200, 0.11), urgentWork(0.03)
		l := newSessionLoad(seed, bulk, urgent)
		l.crest(12, bulk, urgent)
		if failed := urgent.failedShare(); failed >= 0.02 {
			t.Errorf("seed %d: %.3f of the urgent requests are late or lost, want less than 0.02: %+v", seed, failed, urgent)
		}
		if rejected, refused := bulk.shed+urgent.shed, bulk.refused+urgent.refused; 10*rejected > refused {
			t.Errorf("seed %d: targets rejected %d requests and balancers refused %d flows, want a tenth", seed, rejected, refused)
		}
		answered := float64(l.answeredInCrest) / ((crestEnd - crestStart).Seconds() * l.capacity())
		if answered < 0.85 {
			t.Errorf("seed %d: answers are %.2f of the capacity during the crest, want 0.85", seed, answered)
		}
		if before, after := l.reservesBefore, l.reserves(crestEnd+3*time.Second); before+after > 0 {
			t.Errorf("seed %d: %d balancers reserve targets before the crest and %d 3 s after it", seed, before, after)
		}
		t.Logf("seed %d: urgent failed %.4f, bulk failed %.3f, rejected %d, refused %d, answered %.3f of the capacity", seed,
			urgent.failedShare(), bulk.failedShare(), bulk.shed+urgent.shed, bulk.refused, answered)
	}
}

// Replays a crest of one of two bulk routes at 12 times its usual demand. Guards against a crest that takes the room of other kinds.
func TestCrestOfOneRouteLeavesOthersWhole(t *testing.T) {
	for seed := range uint64(3) {
		rising, other, urgent := bulkWork(endpoint, 0, 200, 0.1), bulkWork(rareEndpoint, 0, 200, 0.1), urgentWork(0.05)
		newSessionLoad(seed, rising, other, urgent).crest(12, rising)
		expectWhole(t, seed, rising, other, urgent)
	}
}

// Replays a crest of some callers of a route. Guards against a crest that takes the room of the route's other callers.
func TestCrestOfSomeCallersLeavesOthersWhole(t *testing.T) {
	for seed := range uint64(3) {
		rising, other, urgent := bulkWork(endpoint, 1000, 20, 0.1), bulkWork(endpoint, 0, 200, 0.1), urgentWork(0.05)
		newSessionLoad(seed, rising, other, urgent).crest(12, rising)
		expectWhole(t, seed, rising, other, urgent)
	}
}

// expectWhole checks that the other kinds are served during a crest as on a normal day, on which none of their requests fails.
func expectWhole(t *testing.T, seed uint64, rising *kindOfWork, others ...*kindOfWork) {
	t.Helper()
	if rising.lost == 0 {
		t.Errorf("seed %d: no request of the crest failed: it is no overload", seed)
	}
	for _, k := range others {
		if failed := k.failedShare(); failed > 0.01 {
			t.Errorf("seed %d: %.4f of the requests of %v failed, want at most 0.01", seed, failed, k.endpoint)
		}
		t.Logf("seed %d: failed %.4f of the crest, %.4f of %v", seed, rising.failedShare(), k.failedShare(), k.endpoint)
	}
}
