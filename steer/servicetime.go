package steer

import (
	"math"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// usualHalfLife is the time in which answers of a target that is not slow lose half of their weight. It is short, so that a target that
	// becomes slow is found within a second although it answered many requests before.
	usualHalfLife = 1000 * time.Millisecond
	// slowHalfLife is the same for a slow target, which gets only a few requests per second.
	slowHalfLife = 2 * time.Second
	// slowExcess is the mean excess from which on a target is slow: a factor of 2.4, which work that varies does not reach on average. It
	// is slow until the mean excess is below directory.UsualExcess.
	slowExcess = 1.25
	// slowPrior is the number of usual answers that is added to the evidence before a target becomes slow. One answer that takes several
	// times the usual time, as a few in a hundred do, must not make a target slow.
	slowPrior = 8.0
	// factorPrior is the number of usual answers that is added to the evidence for the factor, so that the factor fades with it.
	factorPrior = 1.0
	// relapsePrior replaces slowPrior for a target that was slow within the last relapseTime: its evidence may have faded for lack of answers.
	relapsePrior = 1.0
	relapseTime  = 10 * time.Second
	// maxExcess bounds the excess of one answer: a factor of 16.
	maxExcess = 4.0
	// minExtraTime is the least time above the usual one that counts: network paths to targets differ by up to this.
	minExtraTime = 10 * time.Millisecond
	// referenceQuantile is the part of the answers that are faster than the usual time. It is below a half, so that the usual time is that
	// of the fast targets when half of the targets are slow, and high enough for a few targets that fail fast not to set it.
	referenceQuantile = 0.4
	// referenceStep is the largest change of the usual time by one answer, as a logarithm to base 2.
	referenceStep = 0.05
	// fastExcess is the excess below which an answer is taken for a failure or a rejection: a quarter of the usual time. Such answers are no
	// evidence about a target, and move the usual time by only fastStep, so that it follows when the work itself becomes less.
	fastExcess = -2.0
	fastStep   = referenceStep / 10
	// minReferenceAnswers is the number of answers from which on the usual time of a route is known.
	minReferenceAnswers = 16
	// maxSlowShare is the largest part of a service's targets that may count as slow. If there are more, the others are not the usual
	// ones: they may answer fast because they fail.
	maxSlowShare = 0.6
	// peerUpdates is the number of consecutive updates in which other hosts must report on a target before their reports are used. The
	// first report comes from hosts that saw slow answers; hosts that saw usual ones add theirs when they learn of it.
	peerUpdates = 3
	// candidateExcess is the sum of excesses from which on a host reports on a target: one answer of 8 times the usual time, or two of 3
	// times.
	candidateExcess = 3.0
	// maxSlowChanges bounds the changes that are kept for the log.
	maxSlowChanges = 256
	// queueUnit is the unit in which flows store the queue that their request found, in requests per slot.
	queueUnit = 1.0 / 8
)

// answerTimes is the evidence of a target's answers about its service time, weighted by age. The excess of an answer is the logarithm to
// base 2 of its time relative to the usual time: the few answers that take several times as long would dominate a mean of times.
type answerTimes struct {
	answers float64 // number of answers
	excess  float64 // sum of their excesses
	at      time.Duration
}

// decay reduces the weight of the evidence to that at now.
func (a *answerTimes) decay(now, halfLife time.Duration) {
	if a.answers > 0 && now > a.at {
		weight := math.Exp2(-float64(now-a.at) / float64(halfLife))
		a.answers, a.excess = a.answers*weight, a.excess*weight
	}
	a.at = now
}

// recordTime adds an answer to the evidence.
func (l *load) recordTime(excess float64, now time.Duration) {
	l.times.decay(now, l.halfLife())
	l.times.answers, l.times.excess = l.times.answers+1, l.times.excess+excess
}

func (l *load) halfLife() time.Duration {
	if l.slow {
		return slowHalfLife
	}
	return usualHalfLife
}

// reference estimates the usual time of a route's answers, as a logarithm to base 2 of nanoseconds.
type reference struct {
	level   float64
	answers int
}

// excess returns the excess of an answer over the usual time, and false if the answer is no evidence. An answer that is faster than
// usual has an excess of 0.
func (r *reference) excess(took time.Duration) (float64, bool) {
	if r.answers < minReferenceAnswers {
		return 0, false
	}
	excess := math.Log2(float64(took)) - r.level
	if excess > 0 && float64(took)-math.Exp2(r.level) < float64(minExtraTime) {
		excess = 0
	}
	return min(max(excess, 0), maxExcess), excess >= fastExcess
}

// record moves the usual time towards the referenceQuantile of the answers.
func (r *reference) record(took time.Duration) {
	x := math.Log2(float64(max(took, time.Microsecond)))
	if r.answers == 0 {
		r.level = x
	}
	r.answers = min(r.answers+1, math.MaxInt32)
	step := max(referenceStep, 1/float64(r.answers))
	if r.answers > minReferenceAnswers && x-r.level < fastExcess {
		step = fastStep
	}
	if x > r.level {
		r.level += step * referenceQuantile
	} else {
		r.level -= step * (1 - referenceQuantile)
	}
}

// recordAnswerTime records the time of an answer to a request of the flow. The time is divided by the queue that the request found, so
// that a busy target does not count as slow.
func (f *flowState) recordAnswerTime(endpoint directory.Endpoint, t *Target, now time.Duration) {
	r, took := f.serviceTime(endpoint, t, now)
	if r == nil {
		return
	}
	if excess, known := r.excess(took); known {
		t.load.recordTime(excess, now)
	}
	if f.queued == 0 {
		r.record(took)
	}
}

// serviceTime returns the time that the target has worked on the request of the flow, and the usual time of the
// route. It returns nil if the time is no evidence: the route is not known, the target is cold, or this process was paused.
func (f *flowState) serviceTime(endpoint directory.Endpoint, t *Target, now time.Duration) (*reference, time.Duration) {
	r := t.demand.references[endpoint]
	if r == nil || t.isCold(now) || f.waitStart < t.demand.resumed {
		return nil, 0
	}
	queued := queueUnit * float64(max(f.queued, t.queued(now)))
	return r, time.Duration(float64(now-f.waitStart) / (1 + queued))
}

// collectWaits adds the requests that have waited for markedly longer than usual to the evidence, with their time so far: the first answers
// of a target that has become slow come late.
func (e *Engine) collectWaits(now time.Duration) {
	for _, w := range e.waits {
		f, found := e.flows[w.key]
		if !found || !f.waiting || !f.opened || f.waitStart != w.start {
			continue
		}
		t := e.view.Resolve(f.token)
		if t == nil {
			continue
		}
		if r, waited := f.serviceTime(w.key.Endpoint, t, now); r != nil {
			if excess, _ := r.excess(waited); excess >= slowExcess {
				t.load.waits.answers, t.load.waits.excess = t.load.waits.answers+1, t.load.waits.excess+excess
			}
		}
	}
}

// evidence returns the number of answers and requests that wait, and the sum of their excesses.
func (l *load) evidence(now time.Duration) (answers, excess float64) {
	l.times.decay(now, l.halfLife())
	return l.times.answers + l.waits.answers, l.times.excess + l.waits.excess
}

// ignoreWaits excludes the requests that wait now from the evidence: the process may have been paused, and their answers arrived meanwhile.
func (e *Engine) ignoreWaits(now time.Duration) {
	for _, d := range e.demands {
		d.resumed = now
	}
}

// queued returns the requests per slot that a new request would find waiting at the target, in queueUnit. It is 0 if a slot is free.
func (t *Target) queued(now time.Duration) uint8 {
	if t.hasFreeSlot(now) {
		return 0
	}
	slots := t.slots(now)
	return uint8(min(math.Ceil((t.pending()+1-slots)/slots/queueUnit), math.MaxUint8))
}

// setReferences prepares the usual times for the routes of a view, and drops those of other routes.
func (e *Engine) setReferences(v *View) {
	old := map[*demand]map[directory.Endpoint]*reference{}
	for _, d := range e.demands {
		old[d], d.references = d.references, map[directory.Endpoint]*reference{}
	}
	for endpoint, route := range v.routes {
		for _, s := range route.Services {
			if d := e.demands[s.Name]; d != nil {
				if d.references[endpoint] = old[d][endpoint]; d.references[endpoint] == nil {
					d.references[endpoint] = &reference{}
				}
			}
		}
	}
}

// SlowChange reports that a target has become slow compared with its service, or is no longer slow.
type SlowChange struct {
	Target      *Target
	Slow        bool
	Factor      float64       // by which its answers take longer than usual
	OwnAnswers  float64       // answers seen here, weighted by age
	PeerAnswers float64       // answers that other hosts report
	Usual       time.Duration // least usual time of the routes of its service
	Age         time.Duration // since the last answer seen here, 0 if there was none
}

// TakeSlowChanges returns the changes since the last call, oldest first.
func (e *Engine) TakeSlowChanges() []SlowChange {
	changes := e.slowChanges
	e.slowChanges = nil
	return changes
}

// updateSlow decides whether the target is slow, from the answers seen here and those that other hosts report.
func (e *Engine) updateSlow(t *Target, now time.Duration) {
	l := t.load
	if l.times.answers == 0 && l.waits.answers == 0 && l.peerTimes.Answers == 0 && !l.slow {
		return
	}
	answers, excess := l.evidence(now)
	l.waits = answerTimes{}
	ownAnswers, peerAnswers := answers, 0.0
	if l.peerUpdates >= peerUpdates {
		n, sum := l.peerTimes.Values()
		peerAnswers = n
		answers, excess = answers+n, excess+min(sum, n*maxExcess)
	}
	prior := slowPrior
	if l.lastSlow > 0 && now-l.lastSlow < relapseTime {
		prior = relapsePrior
	}
	slow := l.slow && !directory.IsUsual(answers, excess) || excess >= slowExcess*(answers+prior)
	if slow {
		l.lastSlow = now
	}
	factor := math.Exp2(excess / (answers + factorPrior))
	if slow != l.slow {
		l.slow = slow
		if len(e.slowChanges) < maxSlowChanges {
			e.slowChanges = append(e.slowChanges, SlowChange{
				Target: t, Slow: slow, Factor: factor, OwnAnswers: ownAnswers, PeerAnswers: peerAnswers, Usual: t.demand.usualTime(),
				Age: l.answerAge(now),
			})
		}
	}
	l.extra = 0
	if l.slow {
		t.demand.slowNow++
		if !t.demand.mostSlow {
			l.extra = factor - 1
		}
	}
}

// answerAge returns the time since the last answer, 0 if there was none.
func (l *load) answerAge(now time.Duration) time.Duration {
	if l.lastAnswer == 0 {
		return 0
	}
	return now - l.lastAnswer
}

// countSlow updates, for each service, whether too many of its targets are slow for the others to be the usual ones.
func (e *Engine) countSlow() {
	for service, d := range e.demands {
		n := 0
		if p := e.view.pools[service]; p != nil {
			n = len(p.local) + len(p.remote)
		}
		d.slow, d.slowNow = d.slowNow, 0
		d.mostSlow = float64(d.slow) > maxSlowShare*float64(n)
	}
}

// usualTime returns the shortest usual time of the routes of the service, 0 while none is known.
func (d *demand) usualTime() time.Duration {
	var levels []float64
	for _, r := range d.references {
		if r.answers >= minReferenceAnswers {
			levels = append(levels, r.level)
		}
	}
	if len(levels) == 0 {
		return 0
	}
	return time.Duration(math.Exp2(slices.Min(levels)))
}

// reportedTimes returns the evidence for a report: none about a target whose answers here are usual and that no other host reports on.
func (l *load) reportedTimes(now time.Duration) directory.AnswerTimes {
	if l.times.answers == 0 && l.waits.answers == 0 {
		return directory.AnswerTimes{}
	}
	answers, excess := l.evidence(now)
	if !l.slow && l.peerUpdates == 0 && (excess < candidateExcess || excess < slowExcess*answers) {
		return directory.AnswerTimes{}
	}
	return directory.NewAnswerTimes(answers, excess)
}

// setPeerTimes replaces the evidence that other hosts report.
func (e *Engine) setPeerTimes(times []directory.TargetTimes) {
	for _, l := range e.loads {
		l.peerTimes = directory.AnswerTimes{}
	}
	for _, reported := range times {
		if t := e.view.Resolve(reported.Token); t != nil {
			t.load.peerTimes = reported.Times
		}
	}
	for _, l := range e.loads {
		if l.peerTimes.Answers == 0 {
			l.peerUpdates = 0
			continue
		}
		l.peerUpdates = min(l.peerUpdates+1, peerUpdates)
	}
}

// factor returns by how many times the answers of the target take longer than usual, 1 if it is not slow.
func (t *Target) factor() float64 { return 1 + t.load.extra }

// probeDivisor returns the number by which the weight of the target in the ranking is divided. The cube of the factor leaves a slow target
// a few flows per second, which show whether it has recovered, and keeps their part of the work small when half of the targets are slow.
func (t *Target) probeDivisor() float64 {
	f := t.factor()
	return f * f * f
}

// Slowdowns returns the factors of the slow targets of the view.
func (e *Engine) Slowdowns() map[directory.Token]float64 {
	out := map[directory.Token]float64{}
	if e.view == nil {
		return out
	}
	for token, t := range e.view.tokens {
		if t.load.extra > 0 {
			out[token] = t.factor()
		}
	}
	return out
}
