package admission

import (
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/health"
)

// trafficSample sums the results of a target's traffic since the last call of TrafficSamples.
type trafficSample struct {
	answers, refusals uint32
	answerTime        time.Duration
}

func (x *trafficSample) add(took time.Duration, refused bool) {
	if refused {
		x.refusals++
		return
	}
	x.answers++
	x.answerTime += took
}

// TrafficSamples appends to dst the traffic results of the targets of short services since the last call. Sessions are left
// out: their duration does not show how fast a target works.
func (c *Controller) TrafficSamples(now time.Duration, dst []health.TrafficSample) []health.TrafficSample {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if s.state.Info.Kind == bundle.KindSession {
			continue
		}
		for id, t := range s.byID {
			dst = append(dst, t.takeSample(now, id))
		}
	}
	return dst
}

func (t *target) takeSample(now time.Duration, id flow.TargetID) health.TrafficSample {
	out := health.TrafficSample{
		Target: id, Answers: t.sample.answers, Refusals: t.sample.refusals, AnswerTime: t.sample.answerTime,
		InFlight: uint32(len(t.running)),
	}
	for _, r := range t.running {
		out.OldestInFlight = max(out.OldestInFlight, now-r.started)
	}
	t.sample = trafficSample{}
	return out
}
