package forward

import (
	"sync/atomic"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// codeLimit is above the highest result code.
const codeLimit = 1000

// counterShards spreads the action counters so that traffic goroutines rarely write to the same cache line.
const counterShards = 64

type counters struct {
	actions [counterShards]actionCounters
	codes   [codeLimit]atomic.Uint64
}

type actionCounters struct {
	n [actionCount]atomic.Uint64
	_ [64 - actionCount*8%64]byte
}

func (c *counters) code(code resultcode.Code) {
	if code != resultcode.OK && code < codeLimit {
		c.codes[code].Add(1)
	}
}

// count notes a decision and returns it.
func (e *Engine) count(q *query, d Decision) Decision {
	e.counters.actions[q.hash%counterShards].n[d.Action].Add(1)
	e.counters.code(d.Code)
	return d
}

// CountDrop counts a packet that was dropped before a decision could be asked for.
func (e *Engine) CountDrop(code resultcode.Code) {
	e.counters.actions[0].n[Drop].Add(1)
	e.counters.code(code)
}

// Actions calls fn with the number of decisions of each action.
func (e *Engine) Actions(fn func(a Action, n uint64)) {
	for a := range actionCount {
		var n uint64
		for i := range e.counters.actions {
			n += e.counters.actions[i].n[a].Load()
		}
		fn(a, n)
	}
}

// Codes calls fn with the number of decisions of each result code that has occurred.
func (e *Engine) Codes(fn func(c resultcode.Code, n uint64)) {
	for i := range e.counters.codes {
		if n := e.counters.codes[i].Load(); n > 0 {
			fn(resultcode.Code(i), n)
		}
	}
}
