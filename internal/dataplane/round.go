package dataplane

import "sync/atomic"

// batchCounter counts the starts and ends of batches of one goroutine. It is odd while the goroutine handles a batch and even
// while it waits.
type batchCounter struct {
	n atomic.Uint64
	_ [56]byte // padding that keeps the counters of workers on separate cache lines
}

// begin must be called before the first decision of a batch, and end after the last.
func (c *batchCounter) begin() { c.n.Add(1) }
func (c *batchCounter) end()   { c.n.Add(1) }

// current returns the count, as an argument for passed.
func (c *batchCounter) current() uint64 { return c.n.Load() }

// passed reports whether the batch that was being handled when current returned mark, if any, has ended.
func (c *batchCounter) passed(mark uint64) bool { return mark%2 == 0 || c.n.Load() != mark }
