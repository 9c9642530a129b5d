package forward

import (
	"sync/atomic"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// codeLimit is greater than the highest result code.
const codeLimit = 1000

type counters struct {
	actions [actionCount]atomic.Uint64
	codes   [codeLimit]atomic.Uint64
}

func (c *counters) countCode(code resultcode.Code) {
	if code != resultcode.OK && code < codeLimit {
		c.codes[code].Add(1)
	}
}

// count counts the result code of a decision and returns the decision. Most decisions have none, so goroutines rarely
// write to the same cache line.
func (e *Engine) count(d Decision) Decision {
	if d.Code != resultcode.OK {
		e.counters.countCode(d.Code)
	}
	return d
}

// ActionCounts holds the number of decisions that one goroutine has carried out, by action. The goroutine adds them to
// the counters of the engine from time to time, since an atomic addition for every packet would take a tenth of the time
// spent on the packet.
type ActionCounts [actionCount]uint64

// AddActions adds the counts to the counters of the engine and clears them.
func (e *Engine) AddActions(t *ActionCounts) {
	for a, n := range t {
		if n > 0 {
			e.counters.actions[a].Add(n)
		}
	}
	*t = ActionCounts{}
}

// CountDrop counts n packets that were dropped outside the engine, before or after the decision about them.
func (e *Engine) CountDrop(code resultcode.Code, n int) {
	if n <= 0 {
		return
	}
	e.counters.actions[Drop].Add(uint64(n))
	e.counters.codes[code%codeLimit].Add(uint64(n))
}

// Actions calls fn for each action with the number of its decisions.
func (e *Engine) Actions(fn func(a Action, n uint64)) {
	for a := range actionCount {
		fn(a, e.counters.actions[a].Load())
	}
}

// Codes calls fn for each result code that has occurred with the number of its decisions.
func (e *Engine) Codes(fn func(c resultcode.Code, n uint64)) {
	for i := range e.counters.codes {
		if n := e.counters.codes[i].Load(); n > 0 {
			fn(resultcode.Code(i), n)
		}
	}
}
