package steer

import (
	"time"
)

const (
	// silenceAfter is how long a target may take to answer before a repeated packet counts against it. Callers and
	// targets repeat after 200 ms; a fresh repetition may come a little early.
	silenceAfter = 150 * time.Millisecond
	// silentFlows is the number of flows that must go unanswered before a target is suspect: one lost datagram proves
	// nothing.
	silentFlows = 2
	// suspicion is how long a suspect target gets no new flows before it is tried again.
	suspicion = 1500 * time.Millisecond
)

// load is what this balancer has seen of a target.
type load struct {
	startedMS int64
	pending   int // flows and requests that wait for an answer
	open      int // flows
	answered  time.Duration
	failed    int // flows that went unanswered since the last answer
	until     time.Duration
}

// alive notes an answer of the target.
func (l *load) alive(now time.Duration) {
	l.answered, l.failed, l.until = now, 0, 0
}

// silent notes that a flow went unanswered. It returns the target when that makes it suspect.
func (l *load) silent(t *Target, now time.Duration) *Target {
	l.failed++
	if l.failed < silentFlows || l.suspect(now) || now-l.answered < silenceAfter {
		return nil
	}
	l.until = now + suspicion
	return t
}

// suspect reports whether the target gets no new flows because it does not answer.
func (l *load) suspect(now time.Duration) bool { return now < l.until }

// end notes that a flow is over.
func (l *load) end(f *flowState) {
	if f.waiting {
		l.pending = max(l.pending-1, 0)
	}
	if f.opened {
		l.open = max(l.open-1, 0)
	}
}

// observe follows the progress of an open flow by its sequence numbers. It returns the target when the packet is the
// evidence that makes it suspect.
func (e *Engine) observe(p *Packet, t *Target, now time.Duration) *Target {
	key := p.Flow()
	f, found := e.flows[key]
	if p.Reset || p.Finish {
		if found {
			t.load.alive(now)
			e.forget(key)
		}
		return nil
	}
	end := p.Sequence + uint32(p.Payload)
	switch {
	case !found && p.Payload == 0:
		return nil // an acknowledgement says nothing of a flow that is not known here
	case !found || f.token != p.Token:
		// Another balancer carried the flow so far.
		e.forget(key)
		e.remember(key, flowState{token: p.Token, opened: true, sent: end, received: p.Acknowledgement, since: now, last: now})
		t.load.open++
		return nil
	case !f.opened:
		f.opened, f.waiting, f.reported = true, false, false
		f.sent, f.received = p.Sequence, p.Acknowledgement
		t.load.pending = max(t.load.pending-1, 0)
		t.load.open++
		t.load.alive(now)
	}
	f.last = now
	var suspected *Target
	if p.Acknowledges && int32(p.Acknowledgement-f.received) > 0 {
		f.received = p.Acknowledgement
		t.load.alive(now)
		if f.waiting {
			f.waiting, f.reported = false, false
			t.load.pending = max(t.load.pending-1, 0)
		}
	}
	switch {
	case p.Payload == 0:
	case int32(end-f.sent) > 0: // new data: a request begins or goes on
		f.sent = end
		if !f.waiting {
			f.waiting, f.since = true, now
			t.load.pending++
		}
	case f.waiting && !f.reported && now-f.since >= silenceAfter: // the caller repeats data that was not acknowledged
		f.reported = true
		suspected = t.load.silent(t, now)
	}
	e.flows[key] = f
	return suspected
}
