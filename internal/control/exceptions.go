package control

import (
	"sync"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// maxQueuedChanges bounds the queue between two ticks of the loop. It holds 50 ms of changes at over 600,000 a second.
const maxQueuedChanges = 32 << 10

// exceptionChange is an exception that was added, or the key of one that was removed.
type exceptionChange struct {
	exception forward.Exception
	removed   bool
}

// ExceptionQueue carries changes of exceptions from the traffic goroutines to the control goroutine.
type ExceptionQueue struct {
	mu       sync.Mutex
	changes  []exceptionChange
	spare    []exceptionChange
	overflow bool
}

// ExceptionAdded implements forward.ExceptionSink.
func (q *ExceptionQueue) ExceptionAdded(_ ownership.Bucket, e forward.Exception) {
	q.add(exceptionChange{exception: e})
}

// ExceptionRemoved implements forward.ExceptionSink.
func (q *ExceptionQueue) ExceptionRemoved(_ ownership.Bucket, k flow.Key) {
	q.add(exceptionChange{exception: forward.Exception{Key: k}, removed: true})
}

func (q *ExceptionQueue) add(c exceptionChange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.changes) == maxQueuedChanges {
		q.overflow = true
		return
	}
	q.changes = append(q.changes, c)
}

// take empties the queue. It returns the queued changes, which are valid until the next call, and whether changes were
// lost because the queue was full.
func (q *ExceptionQueue) take() ([]exceptionChange, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes, overflow := q.changes, q.overflow
	q.changes, q.spare, q.overflow = q.spare[:0], changes, false
	return changes, overflow
}
