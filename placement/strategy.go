package placement

import (
	"math"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// DefaultLoadFactor is the load factor of Bounded if none is given.
const DefaultLoadFactor = 1.1

// minShare keeps a target with a share of zero selectable, so that a service whose targets are all at the beginning of their
// slow start still gets a target.
const minShare = 0.01

// ByName returns the strategy with the given name in a bundle; an empty name means bounded. The load factor applies to bounded
// only; 0 means DefaultLoadFactor. Errors have the result code BundleInvalidValue.
func ByName(name string, loadFactor float64) (Strategy, error) {
	switch name {
	case "hrw":
		return HRW{}, nil
	case "", "bounded":
		if loadFactor == 0 {
			loadFactor = DefaultLoadFactor
		}
		if loadFactor < 1 {
			return nil, resultcode.Errorf(resultcode.BundleInvalidValue, "placement.load_factor",
				"%g is not allowed: must be at least 1", loadFactor)
		}
		return Bounded{LoadFactor: loadFactor}, nil
	case "p2c":
		return P2C{}, nil
	case "leastload":
		return LeastLoad{}, nil
	}
	return nil, resultcode.Errorf(resultcode.BundleInvalidValue, "placement.strategy",
		"%q is not allowed: must be hrw, bounded, p2c or leastload", name)
}

// capacity returns the weight of a target scaled by its share.
func capacity(i int, t *Table, v View) float64 {
	return float64(t.Targets[i].Weight) * math.Max(v.Share(i), minShare)
}

// HRW is rendezvous hashing (highest random weight): it picks the eligible target with the highest score for the flow, whatever
// its load. It ignores slow start, because a flow that slow start moves to another target is an exception until it ends.
type HRW struct{}

// Pick implements Strategy.
func (HRW) Pick(hash uint64, t *Table, v View) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range t.Targets {
		if !v.Eligible(i) {
			continue
		}
		if s := Score(hash, &t.Targets[i]); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Bounded is rendezvous hashing with bounded loads: it picks the first target in the flow's ranking whose load is below
// LoadFactor times its part of the total load. The part is proportional to weight and share.
type Bounded struct {
	LoadFactor float64
}

// Pick implements Strategy. The first target in the ranking that is below its bound has the highest score among all targets
// below their bounds, so the targets need not be sorted.
func (b Bounded) Pick(hash uint64, t *Table, v View) int {
	load, total := 1.0, 0.0
	for i := range t.Targets {
		if v.Eligible(i) {
			load += v.Load(i)
			total += capacity(i, t, v)
		}
	}
	if total == 0 {
		return -1
	}
	loadBound := b.LoadFactor * load / total
	best, bestScore := -1, math.Inf(-1)
	for i := range t.Targets {
		if !v.Eligible(i) || v.Load(i) >= loadBound*capacity(i, t, v) {
			continue
		}
		if s := Score(hash, &t.Targets[i]); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// P2C (power of two choices) picks the less loaded of the first two eligible targets in the flow's ranking.
type P2C struct{}

// Pick implements Strategy.
func (P2C) Pick(hash uint64, t *Table, v View) int {
	first, second := -1, -1
	firstScore, secondScore := math.Inf(-1), math.Inf(-1)
	for i := range t.Targets {
		if !v.Eligible(i) {
			continue
		}
		switch s := Score(hash, &t.Targets[i]); {
		case s > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, s
		case s > secondScore:
			second, secondScore = i, s
		}
	}
	if second >= 0 && v.Load(second)/capacity(second, t, v) < v.Load(first)/capacity(first, t, v) {
		return second
	}
	return first
}

// LeastLoad picks the eligible target with the lowest load relative to its capacity. The flow's ranking decides between equal
// loads.
type LeastLoad struct{}

// Pick implements Strategy.
func (LeastLoad) Pick(hash uint64, t *Table, v View) int {
	best, bestLoad, bestScore := -1, math.Inf(1), math.Inf(-1)
	for i := range t.Targets {
		if !v.Eligible(i) {
			continue
		}
		load := (v.Load(i) + 1) / capacity(i, t, v)
		if load > bestLoad {
			continue
		}
		if s := Score(hash, &t.Targets[i]); load < bestLoad || s > bestScore {
			best, bestLoad, bestScore = i, load, s
		}
	}
	return best
}
