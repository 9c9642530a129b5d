package forward

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/placement"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// StrategyAdmission admits every flow for which the service's strategy finds a target. It is stateless and enforces no
// limits.
type StrategyAdmission struct{}

// Admit implements Admission. Without a strategy, or when the strategy finds no target, it selects the eligible target
// with the highest rendezvous score for the flow.
func (StrategyAdmission) Admit(_ time.Duration, r Request) Verdict {
	i := -1
	if r.Service.Strategy != nil {
		i = r.Service.Strategy.Pick(r.Hash, r.Service.Table, r.View)
	}
	if i < 0 {
		i = highestRanked(r)
	}
	if i < 0 {
		return Verdict{Outcome: Refused, Code: resultcode.RefusedNoTarget}
	}
	return Verdict{Outcome: Admitted, Target: i}
}

// highestRanked returns the position of the eligible target with the highest rendezvous score for the flow, or -1.
func highestRanked(r Request) int {
	best, bestScore := -1, 0.0
	for i := range r.Service.Table.Targets {
		if t := &r.Service.Table.Targets[i]; !t.Drain && r.View.Eligible(i) {
			if s := placement.Score(r.Hash, t); best < 0 || s > bestScore {
				best, bestScore = i, s
			}
		}
	}
	return best
}

// Done implements Admission.
func (StrategyAdmission) Done(time.Duration, flow.ServiceID, flow.TargetID, time.Duration, bool) {}

// Cancel implements Admission.
func (StrategyAdmission) Cancel(time.Duration, flow.Key) {}

// Poll implements Admission.
func (StrategyAdmission) Poll(_ time.Duration, dst []Released) []Released { return dst }
