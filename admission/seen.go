package admission

import (
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/health"
)

// seen sums what the traffic showed of a target since the last call of Seen.
type seen struct {
	answers, refusals uint32
	took              time.Duration
}

func (x *seen) add(took time.Duration, refused bool) {
	if refused {
		x.refusals++
		return
	}
	x.answers++
	x.took += took
}

// Seen appends to dst what was seen of the targets of short services since the last call. Sessions say nothing about
// how fast a target works.
func (c *Controller) Seen(now time.Duration, dst []health.Seen) []health.Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if s.state.Info.Kind == bundle.KindSession {
			continue
		}
		for id, t := range s.byID {
			dst = append(dst, t.takeSeen(now, id))
		}
	}
	return dst
}

func (t *target) takeSeen(now time.Duration, id flow.TargetID) health.Seen {
	out := health.Seen{Target: id, Answers: t.seen.answers, Refusals: t.seen.refusals, Took: t.seen.took, InFlight: uint32(len(t.running))}
	for _, r := range t.running {
		out.Oldest = max(out.Oldest, now-r.started)
	}
	t.seen = seen{}
	return out
}
