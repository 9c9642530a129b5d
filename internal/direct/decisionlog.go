package direct

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

const (
	// maxDecisionLines is the maximum number of lines about flows per interval, so that a flood of flows does not fill the log.
	maxDecisionLines = 100
	decisionInterval = time.Second
	// slowOpen is the time to open a flow from which on it is logged: callers retransmit the opening packet after 200 ms.
	slowOpen = 150 * time.Millisecond
)

// decisionLog logs each decision that opens, refuses or resets a flow, with a limited rate. Further packets of a flow appear only
// in metrics.
type decisionLog struct {
	log           *logrus.Entry
	intervalStart time.Duration
	lines         int
	omitted       int
}

func newDecisionLog(log *logrus.Entry) *decisionLog { return &decisionLog{log: log} }

func (l *decisionLog) logDecision(p *steer.Packet, d *steer.Decision, v *steer.View, now time.Duration) {
	if d.Suspected != nil {
		l.log.WithFields(logrus.Fields{
			"event": "target-suspect", "code": resultcode.TargetSuspect, "target": d.Suspected.Name, "service": d.Suspected.Service,
			"flow": flowName(p),
		}).Warn("target does not respond to flows")
	}
	event := eventName(d)
	if event == "" || !l.allow(now) {
		return
	}
	fields := logrus.Fields{"event": event, "flow": flowName(p), "code": d.Code}
	if d.OpenLatency > 0 {
		fields["took"] = d.OpenLatency
	}
	if d.Target != nil {
		fields["target"], fields["presence"] = d.Target.Name, d.Target.Presence
	}
	if p.Open {
		fields["copy"] = p.Acknowledgement
	}
	if d.Probe {
		fields["probe"] = true
	}
	if v != nil {
		s := v.Snapshot()
		if d.Code == resultcode.RefusedNoSlot {
			fields["wait"], fields["objective"] = d.ExpectedWait, v.Route(p.Endpoint).Objective
		}
		fields["version"], fields["revision"], fields["view_age"] = v.Version, s.Revision, (now - s.TakenAt).Truncate(time.Millisecond)
	}
	l.log.WithFields(fields).Info("decision")
}

// logFailing logs that a target is set aside because it fails requests, or gets new flows again.
func (l *decisionLog) logFailing(c *steer.FailingChange) {
	fields := logrus.Fields{"event": "target-well", "target": c.Target.Name, "service": c.Target.Service}
	if c.Failing {
		fields["event"], fields["answers"], fields["excess_short"] = "target-failing", c.Answers, c.ExcessShort
	}
	l.log.WithFields(fields).Info("decision about a target that fails requests")
}

// logBalance logs targets that became or stopped being slow, and services whose new flows began or ceased to be handed on, with the same
// limited rate.
func (l *decisionLog) logBalance(slow []steer.SlowChange, handOn []steer.HandOnChange, now time.Duration) {
	for _, c := range slow {
		if !l.allow(now) {
			continue
		}
		event := "target-usual"
		if c.Slow {
			event = "target-slow"
		}
		l.log.WithFields(logrus.Fields{
			"event": event, "target": c.Target.Name, "service": c.Target.Service, "factor": round(c.Factor), "usual": c.Usual,
			"answers": round(c.OwnAnswers), "peer_answers": round(c.PeerAnswers), "age": c.Age,
		}).Info("service time of a target")
	}
	for _, c := range handOn {
		if !l.allow(now) {
			continue
		}
		event := "hand-on-end"
		if c.HandedOn > 0 {
			event = "hand-on-start"
		}
		l.log.WithFields(logrus.Fields{
			"event": event, "service": c.Service, "part": round(c.HandedOn), "pending": round(c.LocalPending), "slots": c.LocalSlots,
			"pending_elsewhere": round(c.RemotePending), "slots_elsewhere": c.RemoteSlots,
		}).Info("new flows to other data centres")
	}
}

// round rounds an input of a decision for the log.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// eventName returns the event name under which a decision is logged, or "" for a packet that follows an earlier decision.
func eventName(d *steer.Decision) string {
	switch {
	case d.Placed:
		return "flow-placed"
	case d.Adopted:
		return "flow-adopted"
	case d.OpenLatency >= slowOpen:
		return "flow-opened-late"
	case d.Action == steer.Forward:
		return ""
	}
	return "flow-" + d.Action.String()
}

// allow reports whether the rate limit permits another line. At the start of an interval it logs the number of lines omitted
// before.
func (l *decisionLog) allow(now time.Duration) bool {
	if now-l.intervalStart >= decisionInterval {
		if l.omitted > 0 {
			l.log.WithFields(logrus.Fields{"event": "decisions-left-out", "count": l.omitted}).Info("decision")
		}
		l.intervalStart, l.lines, l.omitted = now, 0, 0
	}
	if l.lines >= maxDecisionLines {
		l.omitted++
		return false
	}
	l.lines++
	return true
}

func flowName(p *steer.Packet) string {
	return logging.FlowName(p.Caller.AddrPort(), p.Endpoint.AddrPort())
}
