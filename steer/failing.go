package steer

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// evidenceHalfLife is the time in which the answers of a target that were counted lose half of their weight.
	evidenceHalfLife = 2 * time.Second
	// minFailingAnswers is the number of recent answers of a target, by all balancers, from which it can be taken to fail.
	minFailingAnswers = 8
	// minExcessShort is the number of short answers among them that cannot be chance: of usual answers less than one in 1,000 is short.
	minExcessShort = 3.0
	// maxOwnAnswers bounds the answers of one target that a balancer counts, so that no balancer alone can decide.
	maxOwnAnswers = 6
	// failingShare is the share of short answers from which a target is taken to fail. Targets that fail less often still do more work
	// than they lose.
	failingShare = 0.25
	// maxServiceShort is the share of short answers of a whole service from which on a balancer takes no short answer for evidence against
	// one target: the answers have changed, and their usual size is not known yet.
	maxServiceShort = 0.4
	// minServiceShort is the share below which short answers of a service count as chance.
	minServiceShort = 0.01
	// failingDeviations is by how many standard deviations the short answers of a failing target exceed what its service lets expect.
	failingDeviations = 5.0
	// maxFailingTargets is the largest part of a service's targets that is set aside, in each data centre and in all. When more answer
	// in the same way, the cause is not the targets, and the others could not do their work.
	maxFailingTargets = 1.0 / 3
	// failingFor is how long a failing target gets no new flows, and probationFor how long after that only requests that may be
	// repeated try it again.
	failingFor   = 4 * time.Second
	probationFor = 3 * time.Second
	// failingInterval is the time between two decisions about failing targets, about that between two reports of loads.
	failingInterval = 250 * time.Millisecond
)

// answers counts the recent answers of a target, weighted by their age.
type answers struct {
	all, short float64
	updated    time.Duration
}

// fade reduces the weight of the counted answers by the time since the last update.
func (a *answers) fade(now time.Duration) {
	weight := math.Exp2(-float64(now-a.updated) / float64(evidenceHalfLife))
	a.all, a.short, a.updated = a.all*weight, a.short*weight, now
}

// record counts an answer.
func (a *answers) record(short bool, now time.Duration) {
	a.fade(now)
	a.all++
	if short {
		a.short++
	}
}

// limitTo scales the counts down if there are more than a number of answers.
func (a *answers) limitTo(most float64) {
	if a.all > most {
		a.all, a.short = most, a.short*most/a.all
	}
}

// shortShare returns the share of short answers.
func (a *answers) shortShare() float64 { return a.short / max(a.all, 1) }

// failureEvidence says how many more of a target's recent answers are short than those of its service. The counts of several balancers add
// up, since each of them compares the target with what it has seen of the service itself.
type failureEvidence struct {
	answers  float64
	excess   float64 // short answers beyond those that the share in the whole service lets expect; may be negative
	variance float64 // of excess, if the target were like the others
}

// ownEvidence returns the evidence of this balancer.
func (t *Target) ownEvidence(now time.Duration) failureEvidence {
	own, share := t.load.answers, t.demand.answers.shortShare()
	own.fade(now)
	switch {
	case share > maxServiceShort:
		return failureEvidence{}
	case share < minServiceShort:
		share = 0
	}
	return failureEvidence{answers: own.all, excess: own.short - share*own.all, variance: share * (1 - share) * own.all}
}

// addTo adds the evidence to a report, in hundredths. Without short answers, as in most services, there is none.
func (v *failureEvidence) addTo(l *directory.Load) {
	if v.excess == 0 {
		return
	}
	l.Answers, l.ExcessShort, l.ShortVariance = uint16(100*v.answers), int16(math.Round(100*v.excess)), uint16(math.Round(100*v.variance))
}

// FailingChange reports that a target was set aside because it fails, or gets new flows again.
type FailingChange struct {
	Target  *Target
	Failing bool
	// Answers counts recent answers to all balancers, and ExcessShort those that were much shorter than usual, beyond the share of them in
	// the whole service.
	Answers, ExcessShort float64
}

// evidence returns the evidence of all balancers.
func (t *Target) evidence(now time.Duration) failureEvidence {
	v, peers := t.ownEvidence(now), &t.load.peers
	v.answers += float64(peers.Answers) / 100
	v.excess += float64(peers.ExcessShort) / 100
	v.variance += float64(peers.ShortVariance) / 100
	return v
}

// isDecisive reports whether the target is taken to fail requests.
func (v *failureEvidence) isDecisive() bool {
	return v.answers >= minFailingAnswers &&
		v.excess >= max(minExcessShort, failingShare*v.answers, failingDeviations*math.Sqrt(v.variance))
}

// isFailing reports whether the target gets no new flows of the route because it fails part of its requests.
func (t *Target) isFailing(r *directory.Route, now time.Duration) bool {
	since := now - t.load.failingSince
	return t.load.failingSince > 0 && (since < failingFor || since < failingFor+probationFor && !r.Idempotent)
}

// Failing returns the targets that get no new flows because they fail part of their requests.
func (e *Engine) Failing(now time.Duration) map[directory.Token]bool {
	failing := map[directory.Token]bool{}
	if e.view == nil {
		return failing
	}
	for token, t := range e.view.tokens {
		if t.load.failingSince > 0 && now-t.load.failingSince < failingFor+probationFor {
			failing[token] = true
		}
	}
	return failing
}

// UpdateFailing decides which targets are set aside because they fail part of their requests while they look well: a large share of
// their answers is much shorter than usual for the route, and most targets of the service answer as usual. It returns the changes.
func (e *Engine) UpdateFailing(now time.Duration) []FailingChange {
	if e.view == nil || now-e.lastFailingUpdate < failingInterval {
		return nil
	}
	e.lastFailingUpdate = now
	var changes []FailingChange
	for _, p := range e.view.pools {
		changes = append(changes, p.updateFailing(now)...)
	}
	return changes
}

func (p *pool) updateFailing(now time.Duration) []FailingChange {
	var changes, failing []FailingChange
	total, setAside := map[string]int{}, map[string]int{} // targets by data centre
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			total[t.DataCentre]++
			if t.load.failingSince > 0 && now-t.load.failingSince >= failingFor+probationFor {
				t.load.failingSince = 0
				changes = append(changes, FailingChange{Target: t})
			}
			evidence := t.evidence(now)
			found := evidence.isDecisive()
			if found {
				failing = append(failing, FailingChange{Target: t, Failing: true, Answers: evidence.answers, ExcessShort: evidence.excess})
			}
			if found || t.load.failingSince > 0 {
				setAside[t.DataCentre]++
			}
		}
	}
	for dataCentre, n := range setAside {
		if float64(n) > maxFailingTargets*float64(total[dataCentre]) {
			return changes
		}
	}
	for _, f := range failing {
		if l := f.Target.load; l.failingSince == 0 || now-l.failingSince >= failingFor { // it still fails on probation
			l.failingSince = now
			changes = append(changes, f)
		}
	}
	return changes
}
