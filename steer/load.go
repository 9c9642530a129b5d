package steer

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
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
	// lostSuspicion is the same when another balancer suspects it too: the record of a target that ended lapses within 3 s.
	lostSuspicion = 3 * time.Second
	// lostAfter is how long a target that two balancers suspect must have shown no sign of life here before its flows are
	// reset: few requests work longer.
	lostAfter = time.Second
)

// load is what this balancer has seen of a target.
type load struct {
	startedMS int64
	pending   int // flows and requests that wait for an answer
	open      int // flows
	answered  time.Duration
	failed    int            // flows that went unanswered since the last answer
	doubt     time.Duration  // when the last of them went unanswered
	until     time.Duration  // when the suspicion ends
	others    directory.Load // what other balancers have seen
}

// alive notes an answer of the target.
func (l *load) alive(now time.Duration) {
	l.answered, l.failed, l.until = now, 0, 0
}

// silent notes that a flow went unanswered. It returns the target when that makes it suspect.
func (l *load) silent(t *Target, now time.Duration) *Target {
	l.failed++
	l.doubt = now
	if l.failed < silentFlows || now < l.until || now-l.answered < silenceAfter {
		return nil
	}
	l.until = now + suspicion
	if l.others.Suspect {
		l.until = now + lostSuspicion
	}
	return t
}

// lost reports whether the target has ended for all that balancers can see: here and elsewhere several flows went unanswered,
// and it was alive before.
func (l *load) lost(now time.Duration) bool {
	return now < l.until && l.others.Suspect && l.answered > 0 && now-l.answered >= lostAfter
}

// forgetSilence drops the evidence against targets. Without a packet for long the process may have stood still, and repetitions
// that waited meanwhile prove nothing.
func (e *Engine) forgetSilence() {
	for _, l := range e.loads {
		l.answered, l.failed, l.until = 0, 0, 0
	}
}

// doubted reports whether a flow went unanswered a moment ago. In a large fleet a balancer sees few flows of each target, and would
// meet a silent one anew with each of them. One lost datagram has the same look, so this proves nothing to others.
func (l *load) doubted(now time.Duration) bool { return l.failed > 0 && now-l.doubt < suspicion }

// suspect reports whether the target gets no new flows because it does not answer here or at another balancer.
func (l *load) suspect(now time.Duration) bool {
	return now < l.until || l.others.Suspect && now-l.answered >= silenceAfter
}

// Loads returns what this balancer has seen of the targets that it uses or suspects.
func (e *Engine) Loads(now time.Duration) []directory.Load {
	if e.view == nil {
		return nil
	}
	e.expireWaits(now)
	loads := make([]directory.Load, 0, len(e.view.tokens))
	for token, t := range e.view.tokens {
		l := directory.Load{Token: token, Pending: saturate(t.load.pending), Open: saturate(t.load.open), Suspect: now < t.load.until}
		if l.Pending > 0 || l.Open > 0 || l.Suspect {
			loads = append(loads, l)
		}
	}
	return loads
}

func saturate(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// SetPeerLoads replaces what other balancers have seen of the targets.
func (e *Engine) SetPeerLoads(loads []directory.Load) {
	for _, l := range e.loads {
		l.others = directory.Load{}
	}
	if e.view == nil {
		return
	}
	for _, l := range loads {
		if t := e.view.Resolve(l.Token); t != nil {
			t.load.others = l
		}
	}
}

// end notes that a flow is over.
func (l *load) end(f *flowState) {
	if f.waiting {
		l.pending = max(l.pending-1, 0)
	}
	if f.opened {
		l.open = max(l.open-1, 0)
	}
}

// observe follows the progress of an open flow by its sequence numbers, and completes the decision with what the packet
// shows about the target.
func (e *Engine) observe(p *Packet, d *Decision, now time.Duration) {
	t, key := d.Target, p.Flow()
	f, found := e.flows[key]
	switch {
	case p.Reset || p.Finish:
		if found {
			f.acknowledged(p, t, now)
			e.flows[key] = f
			e.forget(key)
		}
		return
	case !found && p.Payload == 0:
		return // an acknowledgement says nothing of a flow that is not known here
	case !found || f.token != p.Token:
		d.Adopted = true
		e.adopt(p, t, now)
		return
	case !f.opened:
		d.OpenLatency = now - f.since
		f.opened, f.waiting, f.reported = true, false, false
		f.sent, f.received = p.Sequence, p.Acknowledgement
		t.load.pending = max(t.load.pending-1, 0)
		t.load.open++
		t.load.alive(now)
	}
	f.last = now
	f.acknowledged(p, t, now)
	waited := f.waiting
	d.Suspected = f.data(p, t, now)
	if f.waiting && !waited {
		e.awaitAnswer(key, now, now)
	}
	e.flows[key] = f
}

// adopt remembers a flow that another balancer carried so far.
func (e *Engine) adopt(p *Packet, t *Target, now time.Duration) {
	e.forget(p.Flow())
	e.remember(p.Flow(), flowState{
		token: p.Token, opened: true, sent: p.end(), received: p.Acknowledgement, since: now, last: now,
	})
	t.load.open++
}

// acknowledged takes in what the caller has received of the target.
func (f *flowState) acknowledged(p *Packet, t *Target, now time.Duration) {
	if !f.opened || !p.Acknowledges || int32(p.Acknowledgement-f.received) <= 0 {
		return
	}
	f.received = p.Acknowledgement
	t.load.alive(now)
	if f.waiting {
		if f.alone {
			t.demand.answered(now - f.since)
		}
		f.waiting, f.reported = false, false
		t.load.pending = max(t.load.pending-1, 0)
	}
}

// data takes in data of the caller: new data starts a wait for the target, repeated data shows that it does not answer.
// It returns the target when that makes it suspect.
func (f *flowState) data(p *Packet, t *Target, now time.Duration) *Target {
	switch {
	case p.Payload == 0:
	case int32(p.end()-f.sent) > 0:
		f.sent = p.end()
		if !f.waiting {
			f.waiting, f.since, f.alone = true, now, t.hasFreeSlot(now)
			t.load.pending++
		}
	case f.waiting && !f.reported && now-f.since >= silenceAfter:
		f.reported = true
		return t.load.silent(t, now)
	}
	return nil
}

// end returns the sequence after the last byte of the packet.
func (p *Packet) end() uint32 { return p.Sequence + uint32(p.Payload) }
