// Package placement chooses targets for new flows and computes the default target of a flow.
//
// The default target depends only on the flow and the bundle, so every balancer computes the same one. A strategy may choose
// another target because of load. Such a flow is an exception, which its owner copies to the backup.
package placement

import (
	"math"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
)

// Table lists the targets of one service in one data centre. It is immutable.
type Table struct {
	Targets []bundle.TargetInfo
	index   map[flow.TargetID]int
}

// NewTable returns the table of the service's targets in a data centre.
func NewTable(service *bundle.ServiceInfo, dataCentre string) *Table {
	t := &Table{index: make(map[flow.TargetID]int)}
	for _, target := range service.Resolved {
		if target.DataCentre != dataCentre {
			continue
		}
		t.index[target.ID] = len(t.Targets)
		t.Targets = append(t.Targets, target)
	}
	return t
}

// Index returns the position of a target in Targets, or -1.
func (t *Table) Index(id flow.TargetID) int {
	if i, found := t.index[id]; found {
		return i
	}
	return -1
}

// Default returns the position of the default target of the flow with the hash, or -1 if the bundle drains every target. It
// uses weighted rendezvous hashing, so that a target that leaves or joins moves no flows between the others.
func (t *Table) Default(hash uint64) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range t.Targets {
		if t.Targets[i].Drain {
			continue
		}
		if s := Score(hash, &t.Targets[i]); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Score returns the score of a target for a flow; the target with the highest score is the first choice. For a weight w and a
// hash u distributed uniformly over (0, 1), w / -ln(u) is the highest score with a probability proportional to w.
func Score(hash uint64, target *bundle.TargetInfo) float64 {
	u := (float64(flow.Mix(uint64(target.ID), hash)>>11) + 0.5) / (1 << 53)
	return float64(target.Weight) / -math.Log(u)
}

// View is the current state of the targets of a Table, by position.
type View interface {
	// Eligible reports whether the target may get new flows.
	Eligible(i int) bool
	// Load returns the estimated number of open flows of the target, or of pieces of work in progress there.
	Load(i int) float64
	// Share returns the fraction of its full weight that the target can take, 0 to 1. It is below 1 during slow start.
	Share(i int) float64
}

// Strategy chooses the target of a new flow.
type Strategy interface {
	// Pick returns the position of the chosen target, or -1 when no target is eligible.
	Pick(hash uint64, t *Table, v View) int
}
