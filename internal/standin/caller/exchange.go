package caller

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

const (
	defaultTimeout = 10 * time.Second
	defaultRepeat  = 500 * time.Millisecond
	// remember is how long an answered UDP flow is kept, to notice answers and refusals that come too late.
	remember = 2 * time.Second
)

// exchange is one request of a Load, with the flow that carries it.
type exchange struct {
	lane    *lane
	load    *loadGroup
	stats   *loadStats // of this lane
	request message.Request
	local   netip.AddrPort
	due     time.Duration // when the request was to be sent
	long    bool
	timeout *minitcp.Timer
	cancel  *minitcp.Timer
	done    bool
	ok      bool
}

// start sends a request of a load that was due at the given time. The lane is locked.
func (l *lane) start(g *loadGroup, due time.Duration) {
	plan := &g.plan
	e := &exchange{lane: l, load: g, stats: g.stats[l.index], due: due, local: l.address(plan.Tenant, plan.Spread, plan.Endpoint.Addr())}
	e.request = message.Request{
		ID: l.caller.ids.next(), Sequence: 1, Service: plan.Service, WorkMicros: plan.WorkMicros,
		DeadlineMS: plan.DeadlineMS, ResponseBytes: plan.AnswerBytes,
	}
	if plan.LongFraction > 0 && l.random.Float64() < plan.LongFraction {
		e.long, e.request.WorkMicros = true, plan.LongMicros
	}
	e.stats.Sent++
	e.stats.slot(due).Offered++
	l.unsettled++
	timeout := defaultTimeout
	if plan.TimeoutMS > 0 {
		timeout = time.Duration(plan.TimeoutMS) * time.Millisecond
	}
	if plan.Protocol == "udp" {
		l.startUDP(e, timeout)
		return
	}
	c := l.stack.Dial(e.local, plan.Endpoint, &tcpExchange{exchange: e})
	e.timeout = l.stack.After(timeout, func() { e.stats.TimedOut++; e.finish(); c.Abort() })
	e.cancelAfter(func(b []byte) {
		if c.Open() { // before that the cancellation would be queued ahead of the request
			c.Write(b)
		}
	}, message.EncodeFrame)
}

// cancelAfter sends a cancellation when the request is not answered in time.
func (e *exchange) cancelAfter(write func([]byte), encode func(any) ([]byte, error)) {
	if e.load.plan.CancelMS <= 0 {
		return
	}
	e.cancel = e.lane.stack.After(time.Duration(e.load.plan.CancelMS)*time.Millisecond, func() {
		if b, err := encode(&message.Request{CancelID: e.request.ID, Service: e.request.Service}); err == nil && !e.done {
			e.stats.CancelsSent++
			write(b)
		}
	})
}

// finish ends the exchange, whatever its outcome.
func (e *exchange) finish() {
	if e.done {
		return
	}
	e.done = true
	e.lane.unsettled--
	e.lane.stack.Stop(e.timeout)
	e.lane.stack.Stop(e.cancel)
}

// answered checks an answer. It reports whether it is the answer to the request.
func (e *exchange) answered(a *message.Response) bool {
	switch {
	case a.Service != e.request.Service:
		e.stats.Foreign++
		e.lane.caller.log.WithField("event", "foreign").WithField("from", a.Service).WithField("request", e.request.ID).Error("foreign answer")
		return false
	case a.ID != e.request.ID || a.Sequence != e.request.Sequence:
		e.stats.Mixed++
		e.lane.caller.log.WithField("event", "mixed").WithField("got", a.ID).WithField("request", e.request.ID).Error("answer to another request")
		return false
	case e.done:
		e.stats.Duplicates++
		return false
	}
	e.record(a)
	e.finish()
	return true
}

func (e *exchange) record(a *message.Response) {
	now := e.lane.stack.Now()
	took := now - e.due
	switch {
	case a.Status == message.DeadlineExceeded:
		e.stats.Late++
		return
	case a.Status == message.Canceled:
		e.stats.Canceled++
		return
	case !a.BodyIntact(int(e.request.ResponseBytes)):
		e.stats.Truncated++
		return
	}
	e.ok = true
	e.stats.OK++
	deadline := time.Duration(e.request.DeadlineMS) * time.Millisecond
	if deadline == 0 || took <= deadline {
		e.stats.InTime++
		e.stats.slot(e.due).InTime++
		e.stats.slot(now).Goodput++
	}
	if e.long {
		record(e.stats.long, took)
	} else {
		record(e.stats.short, took)
	}
}

// notRun records a refusal.
func (e *exchange) notRun() {
	e.stats.Refused++
	e.stats.slot(e.due).Refused++
	e.stats.refused = append(e.stats.refused, Flow{Caller: e.local, Service: e.request.Service})
	e.finish()
}

// tcpExchange is a request on its own TCP connection.
type tcpExchange struct {
	*exchange
	splitter message.FrameSplitter
}

// Opened implements minitcp.Handler.
func (t *tcpExchange) Opened(c *minitcp.Conn) {
	if b, err := message.EncodeFrame(&t.request); err == nil {
		c.Write(b)
	}
}

// Received implements minitcp.Handler.
func (t *tcpExchange) Received(c *minitcp.Conn, data []byte) {
	t.splitter.Add(data)
	for {
		b, err := t.splitter.Next()
		if err != nil {
			t.stats.Truncated++
			c.Abort()
			return
		}
		if b == nil {
			return
		}
		var a message.Response
		if message.Decode(b, &a) != nil {
			t.stats.Truncated++
			continue
		}
		if t.answered(&a) {
			c.Close()
		}
	}
}

// PeerClosed implements minitcp.Handler.
func (t *tcpExchange) PeerClosed(c *minitcp.Conn) { c.Close() }

// Closed implements minitcp.Handler.
func (t *tcpExchange) Closed(_ *minitcp.Conn, reason minitcp.Reason) {
	if t.done {
		return
	}
	switch reason {
	case minitcp.Refused:
		t.notRun()
		return
	case minitcp.Reset:
		t.stats.Reset++
	case minitcp.TimedOut:
		t.stats.TimedOut++
	default: // closed without an answer
		t.stats.Truncated++
	}
	t.finish()
}

// datagramFlow is a request on its own UDP flow.
type datagramFlow struct {
	*exchange
	payload []byte
	repeat  *minitcp.Timer
}

func (l *lane) startUDP(e *exchange, timeout time.Duration) {
	f := &datagramFlow{exchange: e}
	payload, err := message.EncodeDatagram(&e.request)
	if err != nil {
		l.caller.log.WithField("request", e.request.ID).WithError(err).Error("request cannot be encoded")
		e.finish()
		return
	}
	f.payload = payload
	l.udp[addresses{e.local, e.load.plan.Endpoint}] = f
	e.timeout = l.stack.After(timeout, func() { e.stats.TimedOut++; f.close() })
	e.cancelAfter(f.transmit, message.EncodeDatagram)
	f.transmit(payload)
	f.repeatAfter(repeatInterval(e.load.plan.RepeatMS))
}

func repeatInterval(ms int) time.Duration {
	switch {
	case ms < 0:
		return 0
	case ms == 0:
		return defaultRepeat
	}
	return time.Duration(ms) * time.Millisecond
}

func (f *datagramFlow) transmit(payload []byte) {
	f.lane.send(&wire.Packet{Kind: wire.UDP, Src: f.local, Dst: f.load.plan.Endpoint, Payload: payload})
}

func (f *datagramFlow) repeatAfter(d time.Duration) {
	if d == 0 {
		return
	}
	f.repeat = f.lane.stack.After(d, func() {
		f.stats.Repeated++
		f.transmit(f.payload)
		f.repeatAfter(2 * d)
	})
}

// close ends the exchange but remembers the flow for a while.
func (f *datagramFlow) close() {
	f.finish()
	f.lane.stack.Stop(f.repeat)
	f.lane.stack.After(remember, func() { delete(f.lane.udp, addresses{f.local, f.load.plan.Endpoint}) })
}

func (f *datagramFlow) refused() {
	switch {
	case f.ok: // an answered request was run, so the refusal is false
		f.stats.RefusedAfterAnswer++
	case !f.done:
		f.notRun()
		f.close()
	}
}

// inputUDP handles an answer. The lane is locked.
func (l *lane) inputUDP(p *wire.Packet) {
	f := l.udp[addresses{p.Dst, p.Src}]
	if f == nil {
		l.strays++
		return
	}
	var a message.Response
	if message.Decode(p.Payload, &a) != nil {
		f.stats.Truncated++
		return
	}
	if f.answered(&a) {
		f.close()
	}
}
