package direct

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// replyTimeout is the timeout of a report to another balancer. Asking another one is better than a slow reply.
	replyTimeout = 600 * time.Millisecond
	// senderIdleTimeout is the time without reports to a peer after which its goroutine returns.
	senderIdleTimeout = 5 * time.Second
)

// inboundReport is a report from another balancer that awaits its reply.
type inboundReport struct {
	report *relay.Report
	reply  chan *relay.Reply
}

// replyResult is the result of a report to another balancer.
type replyResult struct {
	to     netip.AddrPort
	sentAt time.Duration // when the report was sent
	reply  *relay.Reply
	// rejected holds an error for each change in the reply that this host cannot use.
	rejected []error
	err      error
}

// Exchange carries reports and replies between the control goroutine and other balancers.
type Exchange struct {
	identity      *peer.Identity
	log           *logrus.Entry
	clock         Clock
	inbound       chan inboundReport
	results       chan replyResult
	senderStopped chan netip.AddrPort
	reportQueues  map[netip.AddrPort]chan *relay.Report // owned by the control goroutine
}

// exchangeIncarnation is the incarnation in all messages. It is constant because a reply does not depend on earlier messages,
// so restarts of the sender need not be distinguished.
const exchangeIncarnation = 1

// NewExchange returns an exchange without connections.
func NewExchange(host, dataCentre string, clock Clock, log *logrus.Entry) *Exchange {
	return &Exchange{
		identity: peer.NewIdentity(host, dataCentre, exchangeIncarnation), log: log, clock: clock,
		inbound: make(chan inboundReport), results: make(chan replyResult), senderStopped: make(chan netip.AddrPort),
		reportQueues: map[netip.AddrPort]chan *relay.Report{},
	}
}

// Serve replies to the reports of other balancers until ctx is done.
func (x *Exchange) Serve(ctx context.Context, listener net.Listener) error {
	answerer := peer.Server{Identity: x.identity, Handler: x.handleMessage, Refused: func(r peer.Refusal) {
		x.log.WithError(r.Err).WithFields(logrus.Fields{
			"event": "peer-refused", "code": r.Code, "remote": r.Remote,
		}).Info("rejected a message from a peer")
	}}
	return answerer.Serve(ctx, listener)
}

func (x *Exchange) handleMessage(ctx context.Context, m peer.Message) (peer.Message, error) {
	report, ok := m.(*peer.RelayReport)
	if !ok {
		return nil, resultcode.Errorf(resultcode.PeerFrame, m.Type().String(), "message is not a relay report")
	}
	if err := report.Validate(); err != nil {
		return nil, err
	}
	in := inboundReport{report: &report.Report, reply: make(chan *relay.Reply, 1)}
	select {
	case x.inbound <- in:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case reply := <-in.reply:
		return &peer.RelayReply{Reply: *reply}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send queues a report to an address. It replaces an early report that is still queued, and is dropped if it is early and a regular one is
// queued, which is about as new. Only the control goroutine may call it.
func (x *Exchange) Send(ctx context.Context, to netip.AddrPort, report *relay.Report) {
	reports := x.reportQueues[to]
	if reports == nil {
		reports = make(chan *relay.Report, 1)
		x.reportQueues[to] = reports
		go x.runSender(ctx, to, reports)
	}
	select {
	case queued := <-reports:
		if !queued.Early && report.Early {
			report = queued
		}
	default:
	}
	reports <- report
}

// RemoveSender removes the queue of an address whose goroutine has returned. Only the control goroutine may call it.
func (x *Exchange) RemoveSender(to netip.AddrPort) { delete(x.reportQueues, to) }

// runSender sends queued reports to one address and passes on the replies, until it has been idle for senderIdleTimeout.
func (x *Exchange) runSender(ctx context.Context, to netip.AddrPort, reports <-chan *relay.Report) {
	asker := peer.NewClient(x.identity, to, replyTimeout)
	defer asker.Close()
	for {
		var result replyResult
		select {
		case report := <-reports:
			result = x.roundTrip(ctx, asker, to, report)
		case <-time.After(senderIdleTimeout):
			select {
			case x.senderStopped <- to:
			case <-ctx.Done():
			}
			return
		case <-ctx.Done():
			return
		}
		select {
		case x.results <- result:
		case <-ctx.Done():
			return
		}
	}
}

func (x *Exchange) roundTrip(ctx context.Context, asker *peer.Client, to netip.AddrPort, report *relay.Report) replyResult {
	result := replyResult{to: to, sentAt: x.clock()}
	answer, err := asker.Call(ctx, &peer.RelayReport{Report: *report})
	if err != nil {
		result.err = err
		return result
	}
	reply, ok := answer.(*peer.RelayReply)
	if !ok {
		result.err = resultcode.Errorf(resultcode.PeerFrame, answer.Type().String(), "message is not a relay reply")
		return result
	}
	result.reply, result.err = &reply.Reply, reply.Validate()
	if result.err == nil {
		result.rejected = reply.Changes.RejectUnusable()
	}
	return result
}
