package experiment

import (
	"math"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// Guards against report figures that are computed wrongly, so that a missed goal is reported as met.
func TestFigures(t *testing.T) {
	hundred := make([]float64, 100)
	for i := range hundred {
		hundred[i] = float64(i + 1)
	}
	targets := []target.Counters{
		{Service: "a", Address: "1", Connections: 10},
		{Service: "a", Address: "2", Connections: 20},
		{Service: "a", Address: "3", Connections: 0},
		{Service: "b", Address: "4", Connections: 99},
	}
	points := []point{{X: 1, usage: usage{CPU: 5}}, {X: 2, usage: usage{CPU: 7}}, {X: 4, usage: usage{CPU: 11}}}
	base, slope := fit(points, func(u *usage) float64 { return u.CPU })
	load := caller.LoadResult{SlotMS: 100}
	for range 30 {
		load.Slots = append(load.Slots, caller.Slot{Offered: 10, InTime: 5, Goodput: 8})
	}
	tests := []struct {
		name      string
		got, want float64
	}{
		{"p99 of 100 values", quantile(hundred, 0.99), 99},
		{"maximum", quantile(hundred, 1), 100},
		{"quantile of no values", quantile(nil, 0.99), 0},
		{"imbalance", imbalance(targets, "a"), 2},
		{"imbalance without a leaving target", imbalance(targets, "a", "3"), 4.0 / 3},
		{"intercept of the line", base, 3},
		{"slope of the line", slope, 2},
		{"goodput", goodput(&load, 1, 2), 80},
		{"fraction in time", inTimeFraction(&load, 1, 2), 0.5},
	}
	for _, tt := range tests {
		if math.Abs(tt.got-tt.want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", tt.name, tt.got, tt.want)
		}
	}
}

// Guards against a watcher that misses a revert to an older version, or that reports a version as in force everywhere although
// a balancer does not have it yet.
func TestVersionWatcher(t *testing.T) {
	published := time.UnixMilli(1_000_000)
	w := &versionWatcher{lastVersion: make(map[string]uint64), activatedAt: make(map[string]map[uint64]time.Time)}
	note := func(name string, version uint64, afterMS int64) {
		s := Status{}
		s.Bundle.InForce, s.Bundle.InForceUnixMS = version, published.UnixMilli()+afterMS
		w.record(name, &s)
	}
	note("b1", 1, -500)
	note("b2", 1, -500)
	note("b1", 2, 200)
	if got := w.activationSeconds(2, published); got != -1 {
		t.Errorf("version 2 reported in force everywhere after %v s, want -1: b2 does not have it", got)
	}
	note("b2", 3, 700) // a newer version counts as version 2 in force
	if got := w.activationSeconds(2, published); got != 0.7 {
		t.Errorf("version 2 reported in force everywhere after %v s, want 0.7", got)
	}
	note("b2", 2, 900)
	if w.reverts != 1 {
		t.Errorf("got %d reverts after b2 went from version 3 back to 2, want 1", w.reverts)
	}
}
