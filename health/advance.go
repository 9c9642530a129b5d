package health

import (
	"time"
)

const (
	// One lost probe is common; two in a row from every prober are not.
	suspectAfter = 2
	// Failed probes of all probers together before a target is taken to be down, at least 3 s with two probers.
	downAfter = 6
	// A target that answered traffic this recently is reachable whatever the probes say.
	answerProof = time.Second
	// Share at the start of slow start. Zero would leave a service that starts as a whole without any capacity.
	firstShare = 0.1
	// Share of a target that asks for less work. It is not zero, because at a crest all targets may shed, and those that
	// still do not would get everything.
	sheddingShare = 0.25
)

// observation is the newest observation of one prober.
type observation struct {
	Observation
	from        uint64 // member
	incarnation uint64
	sequence    uint64
	at          time.Duration
	okAt        time.Duration // of the last valid answer, whose load the observation carries
	failedRuns  uint16
	answered    bool // a valid answer was seen at some time
	healthyFrom time.Duration
}

// newest returns the newest observation with a valid answer, or nil.
func (x *target) newest() *observation {
	var best *observation
	for i := range x.seen {
		if o := &x.seen[i]; o.answered && (best == nil || o.okAt > best.okAt) {
			best = o
		}
	}
	return best
}

// failedProbes returns the consecutive failed probes of all probers with a fresh observation, and 0 when one of them
// gets answers.
func (t *Tracker) failedProbes(now time.Duration, x *target) int {
	sum := 0
	for i := range x.seen {
		o := &x.seen[i]
		if now-o.at > t.settings.StaleAfter {
			continue
		}
		if !o.Failed {
			return 0
		}
		sum += int(o.failedRuns)
	}
	return sum
}

// reachable reports whether something fresh shows that the target can be reached. Without any news a target that was
// taken out stays out.
func (t *Tracker) reachable(now time.Duration, x *target) bool {
	if x.info.HealthPort == 0 || x.provenAt(now) {
		return true
	}
	for i := range x.seen {
		if o := &x.seen[i]; !o.Failed && now-o.at <= t.settings.StaleAfter {
			return true
		}
	}
	return false
}

// provenAt reports whether the target answered traffic so recently that it is reachable whatever the probes say.
func (x *target) provenAt(now time.Duration) bool {
	return x.traffic.answeredAt > 0 && now-x.traffic.answeredAt <= answerProof
}

func (x *target) signal() Signal {
	if o := x.newest(); o != nil {
		return o.Signal
	}
	return SignalServing
}

func (x *target) isLeaving() bool {
	return x.info.Drain || x.hostLeaves || x.signal() == SignalDraining
}

func (x *target) notices() []string {
	var n []string
	if x.info.Drain {
		n = append(n, "bundle")
	}
	if x.hostLeaves {
		n = append(n, "host list")
	}
	if x.signal() == SignalDraining {
		n = append(n, "target")
	}
	return n
}

// advance fires triggers until the state agrees with what is known. The bound stops a chart with a loop.
func (t *Tracker) advance(now time.Duration, x *target) {
	for range stateNames {
		if !t.fire(now, x, t.nextTrigger(now, x)) {
			return
		}
	}
}

func (t *Tracker) fire(now time.Duration, x *target, tr trigger) bool {
	from, to := x.state, State(transitions()[x.state][tr])
	if tr == none || from == to {
		return false
	}
	x.state, x.since = to, now
	if to == Warming {
		x.warmSince = now
		if from == Cold {
			x.warmSince = x.healthyFrom(now)
		}
	}
	t.emit(StateChanged{Target: x.info.ID, From: from, To: to, Cause: triggerNames[tr]})
	return true
}

// healthyFrom returns since when the first prober has seen the target healthy. A balancer that has just started so takes
// over the progress of slow start from its peers.
func (x *target) healthyFrom(now time.Duration) time.Duration {
	from := now
	for i := range x.seen {
		if o := &x.seen[i]; o.answered && !o.Failed && o.Signal == SignalServing {
			from = min(from, o.healthyFrom)
		}
	}
	return from
}

func (t *Tracker) nextTrigger(now time.Duration, x *target) trigger {
	failed := t.failedProbes(now, x)
	if x.provenAt(now) {
		failed = 0
	}
	isSilent, leaving := failed >= downAfter, x.isLeaving()
	switch {
	case x.state == Down:
		return t.afterDown(now, x, leaving)
	case isSilent && (x.state == Draining || x.state == Suspect):
		return silent
	case x.state == Draining && !leaving:
		return returned
	case leaving:
		return drain
	case failed >= suspectAfter:
		return fail
	case x.state == Suspect && (now < x.ejectedTil || !t.reachable(now, x)):
		return none
	case x.signal() == SignalCold && x.state != Cold:
		return cool
	case x.state == Suspect:
		return recovered
	}
	return t.whileReachable(now, x)
}

func (t *Tracker) afterDown(now time.Duration, x *target, leaving bool) trigger {
	switch {
	case !t.reachable(now, x):
		return none
	case leaving:
		return drain
	}
	return recovered
}

func (t *Tracker) whileReachable(now time.Duration, x *target) trigger {
	shedding := x.signal() == SignalShedding
	switch x.state {
	case Cold:
		if x.info.HealthPort == 0 || (x.newest() != nil && x.signal() != SignalCold) {
			return answer
		}
	case Warming:
		if shedding {
			return shed
		}
		if now-x.warmSince >= t.settings.SlowStart {
			return warmed
		}
	case Serving:
		if shedding {
			return shed
		}
	case Shedding:
		if !shedding {
			return recovered
		}
	}
	return none
}

// share returns the part of its weight that the target can take now.
func (t *Tracker) share(now time.Duration, x *target) float64 {
	switch x.state {
	case Warming:
		progress := float64(now-x.warmSince) / float64(t.settings.SlowStart)
		return min(1, firstShare+(1-firstShare)*max(0, progress))
	case Shedding:
		return sheddingShare
	case Serving:
		return 1
	}
	return firstShare
}
