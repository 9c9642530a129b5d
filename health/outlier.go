package health

import (
	"math"
	"slices"
	"time"
)

const (
	trafficWindowLength = 5 * time.Second // the last two windows count, which cover 5 to 10 s
	minAttempts         = 5               // for a meaningful refusal ratio or mean
	minRefusalRatio     = 0.5             // of an outlier, which also refuses twice as often as the best target of its service
	// A load below half of the mean counts as idle, and an answer time above twice the median as slow.
	idleLoadRatio   = 0.5
	slowAnswerRatio = 2.0
	// An estimated load is at most this multiple of the mean, so that one slow answer does not keep all work from a target.
	maxLoadRatio = 4.0
	// Work in progress for longer than this multiple of the median answer time shows that the target is slow to free slots.
	longWorkRatio = 5.0
	// The count of ejections decreases by one for every such period without a further one.
	ejectionMemory = 60 * time.Second
)

// trafficWindow sums the results of a target's traffic in one window.
type trafficWindow struct {
	answers, refusals uint32
	answerTime        time.Duration
}

type traffic struct {
	windowStart       time.Duration
	current, previous trafficWindow
	answeredAt        time.Duration
	inFlight          uint32
	inFlightAt        time.Duration
	oldestInFlight    time.Duration
}

func (w *traffic) rotate(now time.Duration) {
	for now-w.windowStart >= trafficWindowLength {
		w.previous, w.current = w.current, trafficWindow{}
		if now-w.windowStart >= 2*trafficWindowLength {
			w.previous, w.windowStart = trafficWindow{}, now
			return
		}
		w.windowStart += trafficWindowLength
	}
}

func (w *traffic) total() trafficWindow {
	return trafficWindow{
		w.current.answers + w.previous.answers, w.current.refusals + w.previous.refusals,
		w.current.answerTime + w.previous.answerTime,
	}
}

// meanAnswerTime returns the mean duration of answers, or 0 if there are too few.
func (w *traffic) meanAnswerTime() time.Duration {
	sum := w.total()
	if sum.answers < minAttempts {
		return 0
	}
	return sum.answerTime / time.Duration(sum.answers)
}

func (t *Tracker) handleTraffic(now time.Duration, e TrafficSample) {
	x := t.targets[e.Target]
	if x == nil {
		return
	}
	w := &x.traffic
	w.rotate(now)
	w.current.answers += e.Answers
	w.current.refusals += e.Refusals
	w.current.answerTime += e.AnswerTime
	w.inFlight, w.inFlightAt, w.oldestInFlight = e.InFlight, now, e.OldestInFlight
	if e.Answers > 0 {
		w.answeredAt = now
	}
}

// ejectOutliers ejects targets that refuse far more often than the best target of their service, as long as at least half of
// the service's targets stay eligible. This minimum prevents a fault that all targets share, or a fault of this balancer, from
// ejecting every target.
func (t *Tracker) ejectOutliers(now time.Duration, s *service) {
	minEligible := (len(s.targets) + 1) / 2
	eligible, lowestRatio := 0, 1.0
	for _, x := range s.targets {
		x.traffic.rotate(now)
		if x.state.acceptsNewFlows() {
			eligible++
		}
		if ratio, known := x.traffic.refusalRatio(); known {
			lowestRatio = min(lowestRatio, ratio)
		}
		if x.ejections > 0 && now-max(x.ejectedUntil, x.since) > ejectionMemory {
			x.ejections--
			x.ejectedUntil = now
		}
	}
	for _, x := range s.targets {
		if eligible <= minEligible {
			return
		}
		ratio, known := x.traffic.refusalRatio()
		if x.state.acceptsNewFlows() && known && ratio >= minRefusalRatio && ratio >= 2*lowestRatio {
			t.ejectTarget(now, x)
			eligible--
		}
	}
}

// refusalRatio returns the fraction of attempts that the target refused, and whether there were enough attempts.
func (w *traffic) refusalRatio() (float64, bool) {
	sum := w.total()
	attempts := sum.answers + sum.refusals
	if attempts < minAttempts {
		return 0, false
	}
	return float64(sum.refusals) / float64(attempts), true
}

func (t *Tracker) ejectTarget(now time.Duration, x *target) {
	duration := min(t.settings.MaxEjectionTime, t.settings.BaseEjectionTime<<min(x.ejections, 10))
	x.ejections++
	x.ejectedUntil = now + duration
	// The refusals that led to this ejection must not cause the next one.
	x.traffic.current, x.traffic.previous = trafficWindow{}, trafficWindow{}
	t.fire(now, x, triggerEject)
}

// checkReports compares the targets' load reports with the traffic of this balancer.
func (t *Tracker) checkReports(now time.Duration, s *service) {
	if now-s.reportsCheckedAt < t.settings.ProbeInterval/2 {
		return
	}
	s.reportsCheckedAt = now
	mean, median := t.meanLoad(now, s), s.medianAnswerTime()
	for _, x := range s.targets {
		if reason := t.contradiction(now, s, x, mean, median); reason != "" {
			x.distrustedUntil, x.distrustReason = now+t.settings.DistrustPeriod, reason
		}
		if distrusted := now < x.distrustedUntil; distrusted != x.distrusted {
			x.distrusted = distrusted
			change := TrustChanged{Target: x.info.ID}
			if distrusted {
				change.Reason = x.distrustReason
			}
			t.emit(change)
		}
	}
}

// contradiction returns why the target's newest load report cannot be true, or an empty string if it can.
func (t *Tracker) contradiction(now time.Duration, s *service, x *target, mean float64, median time.Duration) string {
	o := x.newestAnswer()
	if o == nil {
		return ""
	}
	w := &x.traffic
	// Work that has been in progress for longer than the age of the report was in progress when the report was made.
	if w.inFlight > 0 && s.reportedLoad(o) == 0 &&
		w.oldestInFlight > now-o.lastAnswerAt+t.settings.ProbeInterval && now-w.inFlightAt < t.settings.ProbeInterval {
		return "reports no load while work of this host is in progress"
	}
	if load := s.reportedLoad(o); load >= idleLoadRatio*mean || median == 0 {
		return ""
	}
	if took := w.meanAnswerTime(); float64(took) > slowAnswerRatio*float64(median) {
		return "reports low load while its answers are slow"
	}
	if float64(w.oldestInFlight) > longWorkRatio*float64(median) && w.total().answers == 0 &&
		now-w.inFlightAt < t.settings.ProbeInterval {
		return "reports low load while its work in progress takes long"
	}
	return ""
}

func (s *service) medianAnswerTime() time.Duration {
	var took []time.Duration
	for _, x := range s.targets {
		if m := x.traffic.meanAnswerTime(); m > 0 {
			took = append(took, m)
		}
	}
	if len(took) < 3 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// reportedLoad returns the reported load in the unit by which the service is placed: open connections for sessions, work in
// progress and queued for requests.
func (s *service) reportedLoad(o *observation) float64 {
	if s.isSession {
		return float64(o.Connections)
	}
	return float64(o.InFlight) + float64(o.Queue)
}

// meanLoad returns the mean load reported by eligible targets that are not distrusted, weighted by the age of the reports.
func (t *Tracker) meanLoad(now time.Duration, s *service) float64 {
	sum, weights := 0.0, 0.0
	for _, x := range s.targets {
		if o := x.newestAnswer(); o != nil && x.state.acceptsNewFlows() && !x.distrusted {
			w := t.reportWeight(now - o.lastAnswerAt)
			sum += w * s.reportedLoad(o)
			weights += w
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

func (t *Tracker) reportWeight(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(t.settings.ReportHalfLife))
}

// effectiveLoad returns the load for placement. As a report ages, its load converges to the mean of the service. A distrusted
// report is replaced by the mean multiplied by the ratio of the target's answer time to the median: at equal request rates,
// work in progress is proportional to its duration.
func (t *Tracker) effectiveLoad(now time.Duration, s *service, x *target, mean float64) float64 {
	o := x.newestAnswer()
	if o == nil {
		return mean
	}
	if x.distrusted {
		ratio := 1.0
		if median := s.medianAnswerTime(); median > 0 {
			ratio = min(maxLoadRatio, max(1, float64(max(x.traffic.meanAnswerTime(), x.traffic.oldestInFlight))/float64(median)))
		}
		return mean * ratio
	}
	w := t.reportWeight(now - o.lastAnswerAt)
	return w*s.reportedLoad(o) + (1-w)*mean
}
