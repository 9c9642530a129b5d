package admission

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
)

const budgetSeconds = 10

// retryBudget counts the requests and retries of one service over a sliding window of 10 s, in buckets of 1 s.
type retryBudget struct {
	second   int64
	requests [budgetSeconds]int
	retries  [budgetSeconds]int
}

func (b *retryBudget) advance(now time.Duration) int {
	second := int64(now / time.Second)
	for skipped := 0; b.second < second && skipped < budgetSeconds; skipped++ {
		b.second++
		b.requests[b.second%budgetSeconds], b.retries[b.second%budgetSeconds] = 0, 0
	}
	b.second = second
	return int(second % budgetSeconds)
}

func (b *retryBudget) recordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// spend records a retry and reports true if the retries, this one included, stay within percent of the requests.
func (b *retryBudget) spend(now time.Duration, percent int) bool {
	bucket := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if (retries+1)*100 > percent*requests {
		return false
	}
	b.retries[bucket]++
	return true
}

// AllowRetry reports whether the retry budget of the service permits another attempt now, and charges the attempt to it. The
// caller must know that the first attempt did not run, or that the service is idempotent.
func (c *Controller) AllowRetry(now time.Duration, id flow.ServiceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	return s != nil && s.budget.spend(now, s.state.Info.Retry.BudgetPercent)
}

// AllowHedge reports whether a request of an idempotent service that has run for the given time may be sent to a second
// target: it has run longer than the 95th percentile of answers, no flow waits for a slot, and the retry budget permits it.
// The hedge is charged to the budget.
func (c *Controller) AllowHedge(now time.Duration, id flow.ServiceID, running time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	if s == nil || !s.state.Info.Idempotent || s.p95 == 0 || running <= s.p95 || len(s.pool.byKey) > 0 {
		return false
	}
	return s.budget.spend(now, s.state.Info.Retry.BudgetPercent)
}
