package direct

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

const (
	// decisionLines bounds the lines about flows in each interval, so that a flood of flows does not fill the log.
	decisionLines    = 100
	decisionInterval = time.Second
	// slowOpening is how long a target may take to open a flow before that is worth a line: callers repeat their opening
	// packet after 200 ms.
	slowOpening = 150 * time.Millisecond
)

// decisionLog writes a line for each decision that opens, refuses or ends a flow, within a bound. Packets that follow a
// flow's earlier packets are counted by metrics only.
type decisionLog struct {
	log     *logrus.Entry
	started time.Duration
	lines   int
	left    int
}

func newDecisionLog(log *logrus.Entry) *decisionLog { return &decisionLog{log: log} }

func (l *decisionLog) decision(p *steer.Packet, d *steer.Decision, v *steer.View, now time.Duration) {
	if d.Suspected != nil {
		l.log.WithFields(logrus.Fields{
			"event": "target-suspect", "code": resultcode.TargetSuspect, "target": d.Suspected.Name, "service": d.Suspected.Service,
			"flow": flowName(p),
		}).Warn("target leaves flows unanswered")
	}
	event := eventOf(d)
	if event == "" || !l.room(now) {
		return
	}
	fields := logrus.Fields{"event": event, "flow": flowName(p), "code": d.Code}
	if d.Opened > 0 {
		fields["took"] = d.Opened
	}
	if d.Target != nil {
		fields["target"], fields["presence"] = d.Target.Name, d.Target.Presence
	}
	if p.Open {
		fields["copy"] = p.Acknowledgement
	}
	if v != nil {
		s := v.Snapshot()
		if d.Code == resultcode.RefusedNoSlot {
			fields["wait"], fields["objective"] = d.Wait, v.Route(p.Endpoint).Objective
		}
		fields["version"], fields["revision"], fields["view_age"] = v.Version, s.Revision, (now - s.TakenAt).Truncate(time.Millisecond)
	}
	l.log.WithFields(fields).Info("decision")
}

// eventOf names the event that a decision is logged as, or returns "" for a packet that follows an earlier decision.
func eventOf(d *steer.Decision) string {
	switch {
	case d.Placed:
		return "flow-placed"
	case d.Adopted:
		return "flow-adopted"
	case d.Opened >= slowOpening:
		return "flow-opened-late"
	case d.Action == steer.Forward:
		return ""
	}
	return "flow-" + d.Action.String()
}

// room reports whether another line may be written, and writes how many were left out before.
func (l *decisionLog) room(now time.Duration) bool {
	if now-l.started >= decisionInterval {
		if l.left > 0 {
			l.log.WithFields(logrus.Fields{"event": "decisions-left-out", "count": l.left}).Info("decision")
		}
		l.started, l.lines, l.left = now, 0, 0
	}
	if l.lines >= decisionLines {
		l.left++
		return false
	}
	l.lines++
	return true
}

func flowName(p *steer.Packet) string {
	return logging.FlowName(p.Caller.AddrPort(), p.Endpoint.AddrPort())
}
