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
	// maxOwnAnswers bounds the answers of one target that a balancer counts, so that no balancer alone can decide.
	maxOwnAnswers = 6
	// failingShare is the share of short answers from which a target is taken to fail. Targets that fail less often still do more work
	// than they lose.
	failingShare = 0.2
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
	if a.all >= maxOwnAnswers { // the newest answers count
		scale := (maxOwnAnswers - 1) / a.all
		a.all, a.short = a.all*scale, a.short*scale
	}
	a.all++
	if short {
		a.short++
	}
}

// reported returns the counts for a report, in hundredths. There are none while no answer was short, since most targets have none.
func (a *answers) reported(now time.Duration) (all, short uint16) {
	if a.short == 0 {
		return 0, 0
	}
	a.fade(now)
	return uint16(math.Round(100 * a.all)), uint16(math.Round(100 * a.short))
}

// FailingChange reports that a target was set aside because it fails, or gets new flows again.
type FailingChange struct {
	Target         *Target
	Failing        bool
	Answers, Short float64 // recent answers by all balancers, and those of them that were much shorter than usual
}

// failureEvidence returns the recent answers of the target by all balancers, and how many of them were short.
func (t *Target) failureEvidence(now time.Duration) (all, short float64) {
	own := t.load.answers
	own.fade(now)
	return own.all + float64(t.load.peers.Answers)/100, own.short + float64(t.load.peers.Short)/100
}

// isFailing reports whether the target gets no new flows of the route because it fails part of its requests.
func (t *Target) isFailing(r *directory.Route, now time.Duration) bool {
	since := now - t.load.failingSince
	return t.load.failingSince > 0 && (since < failingFor || since < failingFor+probationFor && !r.Idempotent)
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
	var changes []FailingChange
	var failing []FailingChange
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			if t.load.failingSince > 0 && now-t.load.failingSince >= failingFor+probationFor {
				t.load.failingSince = 0
				changes = append(changes, FailingChange{Target: t})
			}
			all, short := t.failureEvidence(now)
			if all >= minFailingAnswers && short >= failingShare*all {
				failing = append(failing, FailingChange{Target: t, Failing: true, Answers: all, Short: short})
			}
		}
	}
	if !p.maySetAside(failing) {
		return changes
	}
	for _, f := range failing {
		if l := f.Target.load; l.failingSince == 0 || now-l.failingSince >= failingFor { // it still fails on probation
			l.failingSince = now
			changes = append(changes, f)
		}
	}
	return changes
}

// maySetAside reports whether the failing targets are few enough, in each data centre and in all.
func (p *pool) maySetAside(failing []FailingChange) bool {
	total, failed := map[string]int{}, map[string]int{}
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			total[t.DataCentre]++
		}
	}
	for _, f := range failing {
		failed[f.Target.DataCentre]++
	}
	for dataCentre, n := range failed {
		if float64(n) > maxFailingTargets*float64(total[dataCentre]) {
			return false
		}
	}
	return true
}
