package health

import (
	"time"
)

const (
	// suspectFailures is the number of failed probes of all probers together that makes a target suspect. One lost probe is
	// common; two in a row from every prober are not.
	suspectFailures = 2
	// downFailures is the number of failed probes of all probers together that makes a target down. With two probers this takes
	// at least 3 s.
	downFailures = 6
	// recentAnswer is the age up to which an answer to traffic shows that the target is reachable, whatever the probes show.
	recentAnswer = time.Second
	// initialShare is the share at the beginning of slow start. Zero would leave a service whose targets all start at the same
	// time without capacity.
	initialShare = 0.1
	// sheddingShare is the share of a target that requests less work. It is not zero, because at a demand peak all targets may
	// shed load, and the last ones that do not would get all work.
	sheddingShare = 0.25
)

// observation is the newest observation of one prober.
type observation struct {
	Observation
	from                uint64 // member that probed
	incarnation         uint64
	sequence            uint64
	at                  time.Duration
	lastAnswerAt        time.Duration // of the last valid answer, whose load the observation holds
	consecutiveFailures uint16
	everAnswered        bool // there has been a valid answer
	healthySince        time.Duration
}

// newestAnswer returns the observation with the newest valid answer, or nil.
func (x *target) newestAnswer() *observation {
	var best *observation
	for i := range x.observations {
		if o := &x.observations[i]; o.everAnswered && (best == nil || o.lastAnswerAt > best.lastAnswerAt) {
			best = o
		}
	}
	return best
}

// failedProbes returns the number of consecutive failed probes of all probers with a fresh observation, and 0 if one of them
// gets answers.
func (t *Tracker) failedProbes(now time.Duration, x *target) int {
	sum := 0
	for i := range x.observations {
		o := &x.observations[i]
		if now-o.at > t.settings.StaleAfter {
			continue
		}
		if !o.Failed {
			return 0
		}
		sum += int(o.consecutiveFailures)
	}
	return sum
}

// reachable reports whether a fresh observation or answer shows that the target can be reached. Without one, a suspect or down
// target stays so.
func (t *Tracker) reachable(now time.Duration, x *target) bool {
	if x.info.HealthPort == 0 || x.answeredRecently(now) {
		return true
	}
	for i := range x.observations {
		if o := &x.observations[i]; !o.Failed && now-o.at <= t.settings.StaleAfter {
			return true
		}
	}
	return false
}

// answeredRecently reports whether the target answered traffic so recently that it is reachable, whatever the probes show.
func (x *target) answeredRecently(now time.Duration) bool {
	return x.traffic.answeredAt > 0 && now-x.traffic.answeredAt <= recentAnswer
}

func (x *target) signal() Signal {
	if o := x.newestAnswer(); o != nil {
		return o.Signal
	}
	return SignalServing
}

func (x *target) isLeaving() bool {
	return x.info.Drain || x.hostLeaving || x.signal() == SignalDraining
}

func (x *target) notices() []string {
	var n []string
	if x.info.Drain {
		n = append(n, "bundle")
	}
	if x.hostLeaving {
		n = append(n, "host list")
	}
	if x.signal() == SignalDraining {
		n = append(n, "target")
	}
	return n
}

// advance fires triggers until the state agrees with the observations. The number of iterations is bounded in case the state
// chart has a cycle.
func (t *Tracker) advance(now time.Duration, x *target) {
	for range stateNames {
		if !t.fire(now, x, t.nextTrigger(now, x)) {
			return
		}
	}
}

func (t *Tracker) fire(now time.Duration, x *target, tr trigger) bool {
	from, to := x.state, State(transitions()[x.state][tr])
	if tr == triggerNone || from == to {
		return false
	}
	x.state, x.since = to, now
	if to == Warming {
		x.warmingSince = now
		if from == Cold {
			x.warmingSince = x.healthySince(now)
		}
	}
	t.emit(StateChanged{Target: x.info.ID, From: from, To: to, Cause: triggerNames[tr]})
	return true
}

// healthySince returns the earliest time since which a prober has observed the target as healthy. With it, a balancer that has
// just started takes over the progress of slow start from its peers.
func (x *target) healthySince(now time.Duration) time.Duration {
	from := now
	for i := range x.observations {
		if o := &x.observations[i]; o.everAnswered && !o.Failed && o.Signal == SignalServing {
			from = min(from, o.healthySince)
		}
	}
	return from
}

func (t *Tracker) nextTrigger(now time.Duration, x *target) trigger {
	failed := t.failedProbes(now, x)
	if x.answeredRecently(now) {
		failed = 0
	}
	silent, leaving := failed >= downFailures, x.isLeaving()
	switch {
	case x.state == Down:
		return t.nextFromDown(now, x, leaving)
	case silent && (x.state == Draining || x.state == Suspect):
		return triggerSilent
	case x.state == Draining && !leaving:
		return triggerReturn
	case leaving:
		return triggerDrain
	case failed >= suspectFailures:
		return triggerFail
	case x.state == Suspect && (now < x.ejectedUntil || !t.reachable(now, x)):
		return triggerNone
	case x.signal() == SignalCold && x.state != Cold:
		return triggerCool
	case x.state == Suspect:
		return triggerRecover
	}
	return t.nextWhileReachable(now, x)
}

func (t *Tracker) nextFromDown(now time.Duration, x *target, leaving bool) trigger {
	switch {
	case !t.reachable(now, x):
		return triggerNone
	case leaving:
		return triggerDrain
	}
	return triggerRecover
}

func (t *Tracker) nextWhileReachable(now time.Duration, x *target) trigger {
	shedding := x.signal() == SignalShedding
	switch x.state {
	case Cold:
		if x.info.HealthPort == 0 || (x.newestAnswer() != nil && x.signal() != SignalCold) {
			return triggerAnswer
		}
	case Warming:
		if shedding {
			return triggerShed
		}
		if now-x.warmingSince >= t.settings.SlowStart {
			return triggerWarmed
		}
	case Serving:
		if shedding {
			return triggerShed
		}
	case Shedding:
		if !shedding {
			return triggerRecover
		}
	}
	return triggerNone
}

// share returns the fraction of its weight that the target can take now.
func (t *Tracker) share(now time.Duration, x *target) float64 {
	switch x.state {
	case Warming:
		progress := float64(now-x.warmingSince) / float64(t.settings.SlowStart)
		return min(1, initialShare+(1-initialShare)*max(0, progress))
	case Shedding:
		return sheddingShare
	case Serving:
		return 1
	}
	return initialShare
}
