package caller

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

const (
	defaultTimeout        = 10 * time.Second
	defaultRepeatInterval = 500 * time.Millisecond
	// udpFlowRetention is how long a finished UDP flow is kept, to detect responses and refusals that arrive late.
	udpFlowRetention = 2 * time.Second
)

// exchange is one request of a Load and the flow that carries it.
type exchange struct {
	lane         *lane
	group        *loadGroup
	stats        *loadStats // of this lane
	request      message.Request
	local        netip.AddrPort
	dueAt        time.Duration // scheduled time of the request
	isLong       bool
	timeoutTimer *minitcp.Timer
	cancelTimer  *minitcp.Timer
	done         bool
	succeeded    bool
}

// startExchange sends a request of a load that was due at the given time. The lane must be locked.
func (l *lane) startExchange(g *loadGroup, due time.Duration) {
	plan := &g.plan
	e := &exchange{lane: l, group: g, stats: g.stats[l.index], dueAt: due, local: l.nextAddress(plan.Tenant, plan.Spread, plan.Endpoint.Addr())}
	e.request = message.Request{
		ID: l.caller.ids.next(), Sequence: 1, Service: plan.Service, WorkMicros: plan.WorkMicros,
		DeadlineMS: plan.DeadlineMS, ResponseBytes: plan.AnswerBytes,
	}
	if plan.LongFraction > 0 && l.random.Float64() < plan.LongFraction {
		e.isLong, e.request.WorkMicros = true, plan.LongMicros
	}
	e.stats.Sent++
	e.stats.slot(due).Offered++
	l.outstanding++
	timeout := defaultTimeout
	if plan.TimeoutMS > 0 {
		timeout = time.Duration(plan.TimeoutMS) * time.Millisecond
	}
	if plan.Protocol == "udp" {
		l.startUDP(e, timeout)
		return
	}
	c := l.stack.Dial(e.local, plan.Endpoint, &tcpExchange{exchange: e})
	e.timeoutTimer = l.stack.After(timeout, func() { e.stats.TimedOut++; e.finish(); c.Abort() })
	e.scheduleCancel(func(b []byte) {
		if c.Open() { // before the handshake, the cancellation would be queued ahead of the request
			c.Write(b)
		}
	}, message.EncodeFrame)
}

// scheduleCancel schedules a cancellation for the case that the request is not answered in time.
func (e *exchange) scheduleCancel(write func([]byte), encode func(any) ([]byte, error)) {
	if e.group.plan.CancelMS <= 0 {
		return
	}
	e.cancelTimer = e.lane.stack.After(time.Duration(e.group.plan.CancelMS)*time.Millisecond, func() {
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
	e.lane.outstanding--
	e.lane.stack.Stop(e.timeoutTimer)
	e.lane.stack.Stop(e.cancelTimer)
}

// handleResponse checks a response. It reports whether it is the first response to the request.
func (e *exchange) handleResponse(response *message.Response) bool {
	switch {
	case response.Service != e.request.Service:
		e.stats.Foreign++
		e.lane.caller.log.WithField("event", "foreign").WithField("from", response.Service).WithField("request", e.request.ID).
			Error("response from another service")
		return false
	case response.ID != e.request.ID || response.Sequence != e.request.Sequence:
		e.stats.Mixed++
		e.lane.caller.log.WithField("event", "mixed").WithField("got", response.ID).WithField("request", e.request.ID).
			Error("response to another request")
		return false
	case e.done:
		e.stats.Duplicates++
		return false
	}
	e.recordOutcome(response)
	e.finish()
	return true
}

func (e *exchange) recordOutcome(response *message.Response) {
	now := e.lane.stack.Now()
	latency := now - e.dueAt
	switch {
	case response.Status == message.DeadlineExceeded:
		e.stats.Late++
		return
	case response.Status == message.Canceled:
		e.stats.Canceled++
		return
	case !response.BodyIntact(int(e.request.ResponseBytes)):
		e.stats.Truncated++
		return
	}
	e.succeeded = true
	e.stats.OK++
	deadline := time.Duration(e.request.DeadlineMS) * time.Millisecond
	if deadline == 0 || latency <= deadline {
		e.stats.InTime++
		e.stats.slot(e.dueAt).InTime++
		e.stats.slot(now).Goodput++
	}
	if e.isLong {
		recordLatency(e.stats.long, latency)
	} else {
		recordLatency(e.stats.short, latency)
	}
}

// recordRefusal records that the request was refused, and so not run.
func (e *exchange) recordRefusal() {
	e.stats.Refused++
	e.stats.slot(e.dueAt).Refused++
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
		var response message.Response
		if message.Decode(b, &response) != nil {
			t.stats.Truncated++
			continue
		}
		if t.handleResponse(&response) {
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
		t.recordRefusal()
		return
	case minitcp.Reset:
		t.stats.Reset++
	case minitcp.TimedOut:
		t.stats.TimedOut++
	default: // closed without a response
		t.stats.Truncated++
	}
	t.finish()
}

// udpExchange is a request on its own UDP flow.
type udpExchange struct {
	*exchange
	payload     []byte
	repeatTimer *minitcp.Timer
}

func (l *lane) startUDP(e *exchange, timeout time.Duration) {
	f := &udpExchange{exchange: e}
	payload, err := message.EncodeDatagram(&e.request)
	if err != nil {
		l.caller.log.WithField("request", e.request.ID).WithError(err).Error("cannot encode the request")
		e.finish()
		return
	}
	f.payload = payload
	l.udpExchanges[flowKey{e.local, e.group.plan.Endpoint}] = f
	e.timeoutTimer = l.stack.After(timeout, func() { e.stats.TimedOut++; f.close() })
	e.scheduleCancel(f.transmit, message.EncodeDatagram)
	f.transmit(payload)
	f.scheduleRepeat(repeatInterval(e.group.plan.RepeatMS))
}

func repeatInterval(ms int) time.Duration {
	switch {
	case ms < 0:
		return 0
	case ms == 0:
		return defaultRepeatInterval
	}
	return time.Duration(ms) * time.Millisecond
}

func (f *udpExchange) transmit(payload []byte) {
	f.lane.send(&wire.Packet{Kind: wire.UDP, Src: f.local, Dst: f.group.plan.Endpoint, Payload: payload})
}

func (f *udpExchange) scheduleRepeat(d time.Duration) {
	if d == 0 {
		return
	}
	f.repeatTimer = f.lane.stack.After(d, func() {
		f.stats.Repeated++
		f.transmit(f.payload)
		f.scheduleRepeat(2 * d)
	})
}

// close ends the exchange, but keeps the flow for udpFlowRetention.
func (f *udpExchange) close() {
	f.finish()
	f.lane.stack.Stop(f.repeatTimer)
	f.lane.stack.After(udpFlowRetention, func() { delete(f.lane.udpExchanges, flowKey{f.local, f.group.plan.Endpoint}) })
}

func (f *udpExchange) handleRefusal() {
	switch {
	case f.succeeded: // the request was answered and thus run, so the refusal is wrong
		f.stats.RefusedAfterAnswer++
	case !f.done:
		f.recordRefusal()
		f.close()
	}
}

// handleUDP processes a UDP response. The lane must be locked.
func (l *lane) handleUDP(p *wire.Packet) {
	f := l.udpExchanges[flowKey{p.Dst, p.Src}]
	if f == nil {
		l.unmatched++
		return
	}
	var response message.Response
	if message.Decode(p.Payload, &response) != nil {
		f.stats.Truncated++
		return
	}
	if f.handleResponse(&response) {
		f.close()
	}
}
