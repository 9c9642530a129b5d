package admission

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
)

const budgetSeconds = 10

// budget counts requests and retries of one service over the last 10 s, in buckets of 1 s.
type budget struct {
	second   int64
	requests [budgetSeconds]int
	retries  [budgetSeconds]int
}

func (b *budget) advance(now time.Duration) int {
	second := int64(now / time.Second)
	for skipped := 0; b.second < second && skipped < budgetSeconds; skipped++ {
		b.second++
		b.requests[b.second%budgetSeconds], b.retries[b.second%budgetSeconds] = 0, 0
	}
	b.second = second
	return int(second % budgetSeconds)
}

func (b *budget) request(now time.Duration) { b.requests[b.advance(now)]++ }

// spend records a retry and reports true if the retries stay within percent of the requests.
func (b *budget) spend(now time.Duration, percent int) bool {
	at := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if (retries+1)*100 > percent*requests {
		return false
	}
	b.retries[at]++
	return true
}

// AllowRetry reports whether the retry budget of the service allows another attempt now, and spends it. The caller must know
// that the first attempt did not run, or that the service is idempotent.
func (c *Controller) AllowRetry(now time.Duration, id flow.ServiceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	return s != nil && s.budget.spend(now, s.state.Info.Retry.BudgetPercent)
}

// AllowHedge reports whether a request of an idempotent service that has run for the given time may be sent to a second
// target: later than 95% of the answers take, with nothing waiting for a slot, and within the retry budget, which it
// spends.
func (c *Controller) AllowHedge(now time.Duration, id flow.ServiceID, running time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	if s == nil || !s.state.Info.Idempotent || s.late == 0 || running <= s.late || len(s.pool.byKey) > 0 {
		return false
	}
	return s.budget.spend(now, s.state.Info.Retry.BudgetPercent)
}
