package relay

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/steer"
)

type silenceTarget struct {
	index    int
	silent   bool
	full     bool
	slots    [2]time.Duration // when each becomes free
	endedAt  time.Duration    // when it was last silent
	answered time.Duration    // time of the first answer after that, 0 before it
}

// answer notes that the target answers a caller.
func (t *silenceTarget) answer(now time.Duration) {
	if t.answered == 0 {
		t.answered = now
	}
}

// sessionForm tells how the caller of a session acknowledges.
type sessionForm struct {
	dataEndsHandshake bool // the packet that ends the handshake holds the request
	lazy              bool // answers are acknowledged by the next request only
}

type silenceSession struct {
	sessionForm
	number   int
	host     *silenceHost
	token    directory.Token
	sequence uint32
	received uint32
	busy     bool
}

type silenceRequest struct {
	session  *silenceSession
	issued   time.Duration
	sent     time.Duration // first packet of this attempt
	copies   int
	attempts int
	opening  bool
	accepted bool // a target has the request
	done     bool
}

// issue sends a request on a session that is idle, which opens its flow first if it has none.
func (w *silenceWorld) issue() {
	s := &w.sessions[w.random.IntN(len(w.sessions))]
	if s.busy {
		return
	}
	s.busy = true
	w.issued++
	if w.now >= w.fallAt+time.Second {
		w.issuedLate++
	}
	r := &silenceRequest{session: s, issued: w.now}
	w.requests = append(w.requests, r)
	w.attempt(r, s.token == 0)
}

func (w *silenceWorld) attempt(r *silenceRequest, open bool) {
	r.sent, r.copies, r.opening, r.accepted = w.now, 0, open, false
	if open {
		w.flows++
		r.session.number, r.session.token, r.session.sequence, r.session.received = w.flows, 0, 1, 1
	} else {
		r.session.sequence += 100
	}
	w.send(r)
}

func (w *silenceWorld) stepRequest(r *silenceRequest) bool {
	repeat := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, time.Hour}
	switch {
	case r.done:
		r.session.busy = false
		return false
	case w.now-r.issued >= requestTimeout || r.attempts > 2:
		r.done, r.session.busy, r.session.token = true, false, 0
		w.failed++
		if r.issued >= w.fallAt+time.Second {
			w.failedLate++
		}
		return false
	case w.now-r.sent >= repeat[r.copies]:
		r.copies++
		w.send(r)
	}
	return true
}

func (w *silenceWorld) packet(s *silenceSession) steer.Packet {
	n := s.number
	return steer.Packet{
		Caller:   directory.Endpoint{Address: [4]byte{100, byte(n >> 24), byte(n >> 16), byte(n >> 8)}, Port: uint16(1000 + n&0xff)},
		Endpoint: silenceEndpoint, Token: s.token, Sequence: s.sequence - 100, Acknowledgement: s.received, Acknowledges: true,
	}
}

// send sends the packet of the current attempt to the session's balancer, which gets it when it is not paused.
func (w *silenceWorld) send(r *silenceRequest) {
	p := w.packet(r.session)
	if r.opening {
		p.Open, p.Acknowledges, p.Acknowledgement, p.Token = true, false, uint32(r.copies), 0
	} else {
		p.Payload = 100
	}
	sent := r.sent
	w.toHost(r.session.host, func() { w.decide(r, &p, sent) })
	if w.duplicate > 0 && w.random.Float64() < w.duplicate {
		w.toHost(r.session.host, func() { w.decide(r, &p, sent) })
	}
}

func (w *silenceWorld) toHost(h *silenceHost, do func()) {
	if w.random.Float64() < w.loss {
		return
	}
	if w.now < h.paused {
		h.queue = append(h.queue, do)
		return
	}
	do()
}

func (w *silenceWorld) decide(r *silenceRequest, p *steer.Packet, sent time.Duration) {
	h := r.session.host
	d := h.engine.Decide(p, w.now)
	if t := w.targets[p.Token]; d.Action == steer.Break && !t.silent {
		w.breaksAtLiving++
		if t.answered > 0 && w.now > t.answered+recoveryLimit || w.now > t.endedAt+stableWindow {
			w.lateBreaks++
		}
	}
	stale := func() bool { return r.done || r.sent != sent }
	switch d.Action {
	case steer.Break, steer.Refuse:
		w.after(silenceStep, func() {
			if !stale() {
				r.attempts++
				w.attempt(r, true)
			}
		})
	case steer.Forward:
		t := w.targets[d.Target.Token]
		if t.silent || w.cut(h, t) || w.random.Float64() < w.loss || p.Open && t.full || !p.Open && r.accepted {
			return
		}
		token := d.Target.Token
		if p.Open {
			t.answer(w.now)
			w.after(2*silenceStep, func() {
				if !stale() && r.opening {
					r.session.token = token
					if !r.session.dataEndsHandshake {
						w.acknowledge(r.session)
					}
					w.attempt(r, false)
				}
			})
			return
		}
		r.accepted = true
		w.serve(t, func() {
			if !stale() {
				r.done = true
				r.session.received += 500
				if !r.session.lazy {
					w.acknowledge(r.session)
				}
			}
		})
	}
}

func (w *silenceWorld) acknowledge(s *silenceSession) {
	p := w.packet(s)
	w.toHost(s.host, func() { s.host.engine.Decide(&p, w.now) })
}

// serve answers a request when a slot of the target has worked on it, unless the target falls silent before.
func (w *silenceWorld) serve(t *silenceTarget, answer func()) {
	slot := 0
	if t.slots[1] < t.slots[0] {
		slot = 1
	}
	t.slots[slot] = max(t.slots[slot], w.now) + w.service(w.random)
	w.after(t.slots[slot]-w.now+silenceStep, func() {
		if !t.silent {
			t.answer(w.now)
			answer()
		}
	})
}

func (w *silenceWorld) setSilent(t *silenceTarget, silent bool) {
	if t.silent && !silent {
		t.endedAt, t.answered = w.now, 0
	}
	t.silent = silent
}

// setForms draws the form of each session.
func (w *silenceWorld) setForms(form func(*rand.Rand) sessionForm) {
	for i := range w.sessions {
		w.sessions[i].sessionForm = form(w.random)
	}
}
