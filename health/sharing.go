package health

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	probersPerTarget = 2
	// MaxReports is the maximum number of entries in a HealthReport. An entry takes less than 64 bytes of msgpack.
	MaxReports = 256
	// A changed signal or reachability is sent at once. Loads are sent at an interval of batchIntervalPerMember for each
	// member, within the bounds below, so that the bytes that a member sends stay the same: each of n members reports 2/n of
	// the targets to n-1 peers.
	minBatchInterval       = time.Second
	batchIntervalPerMember = 60 * time.Millisecond
	maxBatchInterval       = 5 * time.Second
	// changeRepeats is the number of consecutive probes after which a change is sent at once. One message may be lost, and the
	// next regular batch may be too late for the 3 s within which a leaving target must no longer get new flows.
	changeRepeats = 2
	// maxObservations is the number of observations kept of a target. Beyond it, those of members that no longer probe the
	// target are replaced.
	maxObservations = 4
)

// Probers returns the members that probe a target, ranked by rendezvous hashing. With fewer than two members the missing ones
// are 0.
func Probers(members []membership.HostID, id flow.TargetID) [probersPerTarget]membership.HostID {
	var best [probersPerTarget]membership.HostID
	var scores [probersPerTarget]uint64
	for _, m := range members {
		score := flow.Mix(uint64(m), uint64(id))
		switch {
		case best[0] == 0 || score > scores[0]:
			best[1], scores[1] = best[0], scores[0]
			best[0], scores[0] = m, score
		case best[1] == 0 || score > scores[1]:
			best[1], scores[1] = m, score
		}
	}
	return best
}

// scheduleProbes emits the probes that are due. Their phase within the interval depends on the target, and the second prober
// is half an interval behind the first.
func (t *Tracker) scheduleProbes(now time.Duration) {
	interval := t.settings.ProbeInterval
	for _, s := range t.services {
		for _, x := range s.targets {
			rank := t.proberRank(x.info.ID)
			if rank < 0 || x.info.HealthPort == 0 || now < x.nextProbe {
				continue
			}
			phase := time.Duration(uint64(x.info.ID)%uint64(interval)) + time.Duration(rank)*interval/probersPerTarget
			x.nextProbe = now - (now-phase)%interval + interval
			if x.nextProbe <= now {
				x.nextProbe += interval
			}
			t.emit(Probe{Target: x.info.ID})
		}
	}
}

func (t *Tracker) proberRank(id flow.TargetID) int {
	for i, m := range Probers(t.members, id) {
		if m == t.self && m != 0 {
			return i
		}
	}
	return -1
}

// handleProbe records the outcome of a probe by this host.
func (t *Tracker) handleProbe(now time.Duration, e Probed) {
	x := t.targets[e.Target]
	if x == nil {
		return
	}
	o := x.observationOf(uint64(t.self))
	if o.everAnswered && e.At < o.at {
		return
	}
	before := *o
	o.incarnation, o.at = t.incarnation, e.At
	o.sequence++
	if e.Failed {
		o.Failed = true
		o.consecutiveFailures++
	} else {
		if !o.everAnswered || before.Failed || before.Signal != SignalServing {
			o.healthySince = e.At
		}
		o.Observation, o.lastAnswerAt, o.consecutiveFailures, o.everAnswered = e.Observation, e.At, 0, true
	}
	if !before.everAnswered || before.Failed != o.Failed || before.Signal != o.Signal ||
		(o.Failed && o.consecutiveFailures <= downFailures) {
		x.repeatsLeft = changeRepeats
	}
	if x.repeatsLeft > 0 {
		x.repeatsLeft--
		x.sendNow = true
	}
	t.advance(now, x)
}

// handleReports merges the observations of a peer. Among observations of one prober, a later incarnation takes precedence, and
// then a later message. Among probers, the later observation counts.
func (t *Tracker) handleReports(now time.Duration, e Reports) {
	for _, r := range e.Reports[:min(len(e.Reports), MaxReports)] {
		x := t.targets[r.Target]
		if x == nil || e.From == t.self {
			continue
		}
		o := x.observationOf(uint64(e.From))
		if e.Incarnation < o.incarnation || (e.Incarnation == o.incarnation && e.Sequence <= o.sequence) {
			continue
		}
		at := now - time.Duration(r.AgeMS)*time.Millisecond
		o.incarnation, o.sequence, o.at = e.Incarnation, e.Sequence, at
		if r.Failed {
			// The load in a failed report is that of the last answer, whose age is unknown.
			o.Failed, o.consecutiveFailures = true, max(1, r.ConsecutiveFailures)
		} else {
			o.Observation, o.lastAnswerAt, o.consecutiveFailures, o.everAnswered = r.Observation, at, 0, true
			o.healthySince = now - time.Duration(r.HealthyMS)*time.Millisecond
		}
		t.advance(now, x)
	}
}

// observationOf returns the observation of a prober. If there are too many for a new one, it replaces the oldest.
func (x *target) observationOf(from uint64) *observation {
	oldest := 0
	for i := range x.observations {
		if x.observations[i].from == from {
			return &x.observations[i]
		}
		if x.observations[i].at < x.observations[oldest].at {
			oldest = i
		}
	}
	if len(x.observations) < maxObservations {
		x.observations = append(x.observations, observation{from: from})
		return &x.observations[len(x.observations)-1]
	}
	x.observations[oldest] = observation{from: from}
	return &x.observations[oldest]
}

// sendReports sends the observations of this prober: changed ones at once, the others when the batch interval has passed.
func (t *Tracker) sendReports(now time.Duration) {
	interval := min(maxBatchInterval, max(minBatchInterval, time.Duration(len(t.members))*batchIntervalPerMember))
	regular := now-t.lastBatchAt >= interval
	var batch []Report
	for _, s := range t.services {
		for _, x := range s.targets {
			if len(batch) == MaxReports {
				break
			}
			if !x.sendNow && (!regular || now-x.sentAt < interval) {
				continue
			}
			if o := x.ownObservation(t.self); o != nil && o.at > x.sentAt-interval {
				batch = append(batch, makeReport(now, x.info.ID, o))
				x.sendNow, x.sentAt = false, now
			}
		}
	}
	if regular {
		t.lastBatchAt = now
	}
	if len(batch) > 0 {
		t.sequence++
		t.emit(SendReports{Sequence: t.sequence, Reports: batch})
	}
}

func (x *target) ownObservation(self membership.HostID) *observation {
	for i := range x.observations {
		if x.observations[i].from == uint64(self) {
			return &x.observations[i]
		}
	}
	return nil
}

func makeReport(now time.Duration, id flow.TargetID, o *observation) Report {
	r := Report{
		Target: id, AgeMS: uint32((now - o.at).Milliseconds()), ConsecutiveFailures: o.consecutiveFailures,
		Observation: o.Observation,
	}
	if !o.Failed && o.Signal == SignalServing {
		r.HealthyMS = uint32((now - o.healthySince).Milliseconds())
	}
	return r
}
