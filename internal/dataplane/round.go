package dataplane

import "sync/atomic"

// round counts the batches of a goroutine: odd while it works on one, even while it waits.
type round struct {
	n atomic.Uint64
	_ [56]byte // keeps the counters of workers on separate cache lines
}

// begin must come before the first decision of a batch and end after the last.
func (r *round) begin() { r.n.Add(1) }
func (r *round) end()   { r.n.Add(1) }

// mark returns the current count for passed.
func (r *round) mark() uint64 { return r.n.Load() }

// passed reports whether every batch that ran at the time of the mark has ended.
func (r *round) passed(mark uint64) bool { return mark%2 == 0 || r.n.Load() != mark }
