package health

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

const (
	probersPerTarget = 2
	// MaxReports bounds the entries of one HealthReport. An entry takes under 64 bytes of msgpack.
	MaxReports = 256
	// A changed signal or reachability is sent at once; loads are sent at this interval, which grows with the number
	// of members so that the bytes that a member sends stay the same: each of n members reports 2/n of the targets to n-1
	// peers.
	minBatchInterval = time.Second
	batchPerMember   = 60 * time.Millisecond
	maxBatchInterval = 5 * time.Second
	// A change is sent with this many probes in a row, because one message may be lost and the next regular batch may come
	// too late for the 3 s in which a leaving target must lose its new flows.
	urgentRepeats = 2
	// Observations of members that no longer probe the target are dropped beyond this number.
	maxObservations = 4
)

// Probers returns the members that probe a target, ranked by rendezvous hashing. The second is 0 with fewer than two
// members.
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

// scheduleProbes asks for the probes that are due. The phase depends on the target, and the second prober is half an
// interval behind the first.
func (t *Tracker) scheduleProbes(now time.Duration) {
	interval := t.settings.ProbeInterval
	for _, s := range t.services {
		for _, x := range s.targets {
			rank := t.rank(x.info.ID)
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

func (t *Tracker) rank(id flow.TargetID) int {
	for i, m := range Probers(t.members, id) {
		if m == t.self && m != 0 {
			return i
		}
	}
	return -1
}

// probed records the outcome of an own probe.
func (t *Tracker) probed(now time.Duration, e Probed) {
	x := t.targets[e.Target]
	if x == nil {
		return
	}
	o := x.observation(uint64(t.self))
	if o.answered && e.At < o.at {
		return
	}
	before := *o
	o.incarnation, o.at = t.incarnation, e.At
	o.sequence++
	if e.Failed {
		o.Failed = true
		o.failedRuns++
	} else {
		if !o.answered || before.Failed || before.Signal != SignalServing {
			o.healthyFrom = e.At
		}
		o.Observation, o.okAt, o.failedRuns, o.answered = e.Observation, e.At, 0, true
	}
	if !before.answered || before.Failed != o.Failed || before.Signal != o.Signal || (o.Failed && o.failedRuns <= downAfter) {
		x.repeats = urgentRepeats
	}
	if x.repeats > 0 {
		x.repeats--
		x.unsent = true
	}
	t.advance(now, x)
}

// reports merges the observations of a peer. Of one prober, the observation of the higher incarnation wins, then the one
// of the later message; between probers the later observation counts.
func (t *Tracker) reports(now time.Duration, e Reports) {
	for _, r := range e.Reports[:min(len(e.Reports), MaxReports)] {
		x := t.targets[r.Target]
		if x == nil || e.From == t.self {
			continue
		}
		o := x.observation(uint64(e.From))
		if e.Incarnation < o.incarnation || (e.Incarnation == o.incarnation && e.Sequence <= o.sequence) {
			continue
		}
		at := now - time.Duration(r.AgeMS)*time.Millisecond
		o.incarnation, o.sequence, o.at = e.Incarnation, e.Sequence, at
		if r.Failed {
			// The load in a failed report is that of the last answer, whose age is not known.
			o.Failed, o.failedRuns = true, max(1, r.ConsecutiveFailures)
		} else {
			o.Observation, o.okAt, o.failedRuns, o.answered = r.Observation, at, 0, true
			o.healthyFrom = now - time.Duration(r.HealthyMS)*time.Millisecond
		}
		t.advance(now, x)
	}
}

// observation returns the entry of a prober. The entry with the oldest observation makes room for a new one.
func (x *target) observation(from uint64) *observation {
	oldest := 0
	for i := range x.seen {
		if x.seen[i].from == from {
			return &x.seen[i]
		}
		if x.seen[i].at < x.seen[oldest].at {
			oldest = i
		}
	}
	if len(x.seen) < maxObservations {
		x.seen = append(x.seen, observation{from: from})
		return &x.seen[len(x.seen)-1]
	}
	x.seen[oldest] = observation{from: from}
	return &x.seen[oldest]
}

// sendReports sends own observations: changed ones at once, the others when the batch interval has passed.
func (t *Tracker) sendReports(now time.Duration) {
	interval := min(maxBatchInterval, max(minBatchInterval, time.Duration(len(t.members))*batchPerMember))
	regular := now-t.lastBatch >= interval
	var batch []Report
	for _, s := range t.services {
		for _, x := range s.targets {
			if len(batch) == MaxReports {
				break
			}
			if !x.unsent && (!regular || now-x.lastSent < interval) {
				continue
			}
			if o := x.own(t.self); o != nil && o.at > x.lastSent-interval {
				batch = append(batch, makeReport(now, x.info.ID, o))
				x.unsent, x.lastSent = false, now
			}
		}
	}
	if regular {
		t.lastBatch = now
	}
	if len(batch) > 0 {
		t.sequence++
		t.emit(SendReports{Sequence: t.sequence, Reports: batch})
	}
}

func (x *target) own(self membership.HostID) *observation {
	for i := range x.seen {
		if x.seen[i].from == uint64(self) {
			return &x.seen[i]
		}
	}
	return nil
}

func makeReport(now time.Duration, id flow.TargetID, o *observation) Report {
	r := Report{Target: id, AgeMS: uint32((now - o.at).Milliseconds()), ConsecutiveFailures: o.failedRuns, Observation: o.Observation}
	if !o.Failed && o.Signal == SignalServing {
		r.HealthyMS = uint32((now - o.healthyFrom).Milliseconds())
	}
	return r
}
