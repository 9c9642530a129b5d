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
	// askTimeout is how long an answer of another balancer may take. A slow answer is worth less than asking another one.
	askTimeout = 600 * time.Millisecond
	// askerIdle ends the goroutine of a peer that nothing is asked of any more.
	askerIdle = 5 * time.Second
)

// inbound is a report of another balancer that waits for its reply.
type inbound struct {
	report *relay.Report
	reply  chan *relay.Reply
}

// replyResult is the outcome of a report to another balancer.
type replyResult struct {
	to    netip.AddrPort
	asked time.Duration // when the report was sent
	reply *relay.Reply
	err   error
}

// Exchange carries reports and replies between the control goroutine and other balancers.
type Exchange struct {
	identity *peer.Identity
	log      *logrus.Entry
	clock    Clock
	inbound  chan inbound
	results  chan replyResult
	stopped  chan netip.AddrPort
	askers   map[netip.AddrPort]chan *relay.Report // owned by the control goroutine
}

// exchangeIncarnation is the incarnation of all messages: a reply stands for itself, so there is no earlier life of the
// sender to tell apart.
const exchangeIncarnation = 1

// NewExchange returns an exchange that is not connected to anyone.
func NewExchange(host, dataCentre string, clock Clock, log *logrus.Entry) *Exchange {
	return &Exchange{
		identity: peer.NewIdentity(host, dataCentre, exchangeIncarnation), log: log, clock: clock,
		inbound: make(chan inbound), results: make(chan replyResult), stopped: make(chan netip.AddrPort),
		askers: map[netip.AddrPort]chan *relay.Report{},
	}
}

// Serve answers the reports of other balancers until the context ends.
func (x *Exchange) Serve(ctx context.Context, listener net.Listener) error {
	answerer := peer.Server{Identity: x.identity, Handler: x.answer, Refused: func(r peer.Refusal) {
		x.log.WithError(r.Err).WithFields(logrus.Fields{"event": "peer-refused", "code": r.Code, "remote": r.Remote}).Info("message of a peer is not accepted")
	}}
	return answerer.Serve(ctx, listener)
}

func (x *Exchange) answer(ctx context.Context, m peer.Message) (peer.Message, error) {
	report, ok := m.(*peer.RelayReport)
	if !ok {
		return nil, resultcode.Errorf(resultcode.PeerFrame, m.Type().String(), "not a report")
	}
	if err := report.Validate(); err != nil {
		return nil, err
	}
	in := inbound{report: &report.Report, reply: make(chan *relay.Reply, 1)}
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

// Ask sends a report unless one to the same address is still without an answer. Only the control goroutine may call it.
func (x *Exchange) Ask(ctx context.Context, to netip.AddrPort, report *relay.Report) {
	reports := x.askers[to]
	if reports == nil {
		reports = make(chan *relay.Report, 1)
		x.askers[to] = reports
		go x.ask(ctx, to, reports)
	}
	select {
	case reports <- report:
	default:
	}
}

// Forget takes note that the goroutine of an address has ended. Only the control goroutine may call it.
func (x *Exchange) Forget(to netip.AddrPort) { delete(x.askers, to) }

// ask sends the reports to one address and returns the replies.
func (x *Exchange) ask(ctx context.Context, to netip.AddrPort, reports <-chan *relay.Report) {
	asker := peer.NewClient(x.identity, to, askTimeout)
	defer asker.Close()
	for {
		var result replyResult
		select {
		case report := <-reports:
			result = x.exchange(ctx, asker, to, report)
		case <-time.After(askerIdle):
			select {
			case x.stopped <- to:
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

func (x *Exchange) exchange(ctx context.Context, asker *peer.Client, to netip.AddrPort, report *relay.Report) replyResult {
	result := replyResult{to: to, asked: x.clock()}
	answer, err := asker.Call(ctx, &peer.RelayReport{Report: *report})
	if err != nil {
		result.err = err
		return result
	}
	reply, ok := answer.(*peer.RelayReply)
	if !ok {
		result.err = resultcode.Errorf(resultcode.PeerFrame, answer.Type().String(), "not a reply")
		return result
	}
	result.reply, result.err = &reply.Reply, reply.Validate()
	return result
}
