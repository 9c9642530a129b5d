package health

import (
	"math"
	"slices"
	"time"
)

const (
	trafficWindow = 5 * time.Second // two windows are kept, so that counts cover 5 to 10 s
	minAttempts   = 5               // fewer say nothing about a refusal ratio
	refusalRatio  = 0.5             // of attempts; an outlier also refuses twice as often as the best target of its service
	// A load under half of the mean is called idle, and answers over twice the median slow.
	idleBelow = 0.5
	slowAbove = 2.0
	// A corrected load is at most this multiple of the mean, so that one slow answer does not empty a target.
	maxCorrection = 4.0
	// Work that is under way longer than this multiple of the median shows that the target holds its slots long.
	heldAbove = 5.0
	// Ejections are forgotten one by one for every such period without another.
	ejectionMemory = 60 * time.Second
)

// window counts what traffic showed of a target.
type window struct {
	answers, refusals uint32
	took              time.Duration
}

type traffic struct {
	started    time.Duration
	now, last  window
	answeredAt time.Duration
	inFlight   uint32
	inFlightAt time.Duration
	oldest     time.Duration
}

func (w *traffic) rotate(now time.Duration) {
	for now-w.started >= trafficWindow {
		w.last, w.now = w.now, window{}
		if now-w.started >= 2*trafficWindow {
			w.last, w.started = window{}, now
			return
		}
		w.started += trafficWindow
	}
}

func (w *traffic) total() window {
	return window{w.now.answers + w.last.answers, w.now.refusals + w.last.refusals, w.now.took + w.last.took}
}

// mean returns the mean duration of answers, or 0 when there are too few.
func (w *traffic) mean() time.Duration {
	sum := w.total()
	if sum.answers < minAttempts {
		return 0
	}
	return sum.took / time.Duration(sum.answers)
}

func (t *Tracker) traffic(now time.Duration, e TrafficSample) {
	x := t.targets[e.Target]
	if x == nil {
		return
	}
	w := &x.traffic
	w.rotate(now)
	w.now.answers += e.Answers
	w.now.refusals += e.Refusals
	w.now.took += e.AnswerTime
	w.inFlight, w.inFlightAt, w.oldest = e.InFlight, now, e.OldestInFlight
	if e.Answers > 0 {
		w.answeredAt = now
	}
}

// ejectOutliers makes targets suspect that refuse far more than the best of their service, as long as at least half of
// the service's targets stay eligible. The floor keeps a fault that all targets share, or a fault of this balancer, from
// emptying the service.
func (t *Tracker) ejectOutliers(now time.Duration, s *service) {
	floor := (len(s.targets) + 1) / 2
	eligible, lowest := 0, 1.0
	for _, x := range s.targets {
		x.traffic.rotate(now)
		if x.state.acceptsNew() {
			eligible++
		}
		if ratio, known := x.traffic.refusalRatio(); known {
			lowest = min(lowest, ratio)
		}
		if x.ejections > 0 && now-max(x.ejectedTil, x.since) > ejectionMemory {
			x.ejections--
			x.ejectedTil = now
		}
	}
	for _, x := range s.targets {
		if eligible <= floor {
			return
		}
		ratio, known := x.traffic.refusalRatio()
		if x.state.acceptsNew() && known && ratio >= refusalRatio && ratio >= 2*lowest {
			t.ejectTarget(now, x)
			eligible--
		}
	}
}

// refusalRatio returns the part of attempts that the target refused and whether there were enough attempts to tell.
func (w *traffic) refusalRatio() (float64, bool) {
	sum := w.total()
	attempts := sum.answers + sum.refusals
	if attempts < minAttempts {
		return 0, false
	}
	return float64(sum.refusals) / float64(attempts), true
}

func (t *Tracker) ejectTarget(now time.Duration, x *target) {
	backoff := min(t.settings.MaxEjectionTime, t.settings.BaseEjectionTime<<min(x.ejections, 10))
	x.ejections++
	x.ejectedTil = now + backoff
	x.traffic.now, x.traffic.last = window{}, window{} // what led to the ejection must not lead to the next one
	t.fire(now, x, eject)
}

// judgeReports compares the targets' load reports with what this balancer sees of them.
func (t *Tracker) judgeReports(now time.Duration, s *service) {
	if now-s.evaluated < t.settings.ProbeInterval/2 {
		return
	}
	s.evaluated = now
	mean, median := t.meanLoad(now, s), s.medianTook()
	for _, x := range s.targets {
		if reason := t.contradiction(now, s, x, mean, median); reason != "" {
			x.distrustTo, x.reason = now+t.settings.DistrustPeriod, reason
		}
		if distrusted := now < x.distrustTo; distrusted != x.distrusted {
			x.distrusted = distrusted
			change := TrustChanged{Target: x.info.ID}
			if distrusted {
				change.Reason = x.reason
			}
			t.emit(change)
		}
	}
}

// contradiction returns why the target's newest load report cannot be true, or an empty string.
func (t *Tracker) contradiction(now time.Duration, s *service, x *target, mean float64, median time.Duration) string {
	o := x.newest()
	if o == nil {
		return ""
	}
	w := &x.traffic
	// Work that was in progress for longer than the report is old was in progress when it was made.
	if w.inFlight > 0 && s.reportedLoad(o) == 0 && w.oldest > now-o.okAt+t.settings.ProbeInterval && now-w.inFlightAt < t.settings.ProbeInterval {
		return "reports no work while it holds work of this host"
	}
	if load := s.reportedLoad(o); load >= idleBelow*mean || median == 0 {
		return ""
	}
	if took := w.mean(); float64(took) > slowAbove*float64(median) {
		return "reports idle while its answers are slow"
	}
	if float64(w.oldest) > heldAbove*float64(median) && w.total().answers == 0 && now-w.inFlightAt < t.settings.ProbeInterval {
		return "reports idle while it holds its slots long"
	}
	return ""
}

func (s *service) medianTook() time.Duration {
	var took []time.Duration
	for _, x := range s.targets {
		if m := x.traffic.mean(); m > 0 {
			took = append(took, m)
		}
	}
	if len(took) < 3 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// reportedLoad returns what a target reports of the unit that its service is placed by: open connections of sessions,
// work in progress and queued of requests.
func (s *service) reportedLoad(o *observation) float64 {
	if s.sessions {
		return float64(o.Connections)
	}
	return float64(o.InFlight) + float64(o.Queue)
}

// meanLoad returns the mean of the loads reported by eligible targets that are not distrusted.
func (t *Tracker) meanLoad(now time.Duration, s *service) float64 {
	sum, weights := 0.0, 0.0
	for _, x := range s.targets {
		if o := x.newest(); o != nil && x.state.acceptsNew() && !x.distrusted {
			w := t.reportWeight(now - o.okAt)
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

// effectiveLoad returns the load that placement works with. A report moves towards the mean of the service as it ages.
// A distrusted report is replaced by the mean times how much slower than the median the target answers: at an equal
// rate of requests, work in progress is in proportion to its duration.
func (t *Tracker) effectiveLoad(now time.Duration, s *service, x *target, mean float64) float64 {
	o := x.newest()
	if o == nil {
		return mean
	}
	if x.distrusted {
		ratio := 1.0
		if median := s.medianTook(); median > 0 {
			ratio = min(maxCorrection, max(1, float64(max(x.traffic.mean(), x.traffic.oldest))/float64(median)))
		}
		return mean * ratio
	}
	w := t.reportWeight(now - o.okAt)
	return w*s.reportedLoad(o) + (1-w)*mean
}
