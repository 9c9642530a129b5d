package control

import (
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// requestTimeout bounds how long an operator's request waits for the control goroutine.
const requestTimeout = 2 * time.Second

// record adds an event to the timeline and logs it.
func (l *Loop) record(e timeline.Event) {
	logging.Event(l.cfg.Log, l.cfg.Ring.Add(e))
}

// Ready reports whether the balancer serves, and the reason if it does not.
func (l *Loop) Ready() (ready bool, reason string) {
	if !l.Do(func() { ready, reason = l.ready() }, requestTimeout) {
		return false, "the control goroutine does not answer"
	}
	return ready, reason
}

func (l *Loop) ready() (bool, string) {
	switch {
	case l.rollout.InForce() == nil:
		return false, resultcode.BundleNotAvailable.String()
	case l.lifecycle.leaving:
		return false, "leaving"
	case l.refreshingView:
		return false, "refreshing its view after a pause"
	case l.lifecycle.announced != membership.Serving:
		return false, "warming up"
	case l.handover.Pending() > 0:
		return false, "claiming buckets"
	case !l.owners.Contains(l.cfg.Self.ID):
		return false, "not yet known as an owner"
	}
	return true, ""
}

// Status returns the state of the balancer.
func (l *Loop) Status() status.Status {
	var s status.Status
	if !l.Do(func() { s = l.status() }, requestTimeout) {
		return status.Status{
			Host: l.cfg.Self.Name, DataCentre: l.cfg.Self.DataCentre, Reason: "the control goroutine does not answer",
		}
	}
	return s
}

func (l *Loop) status() status.Status {
	ready, reason := l.ready()
	s := status.Status{
		Host: l.cfg.Self.Name, DataCentre: l.cfg.Self.DataCentre, Incarnation: l.members.Self().Incarnation,
		Program: l.cfg.ProgramVersion, State: l.members.Self().State.String(), Ready: ready, Reason: reason,
		UptimeMS: l.now.Milliseconds(), Bundle: l.bundleStatus(), Buckets: l.bucketStatus(), Counters: l.counters(),
		Flows: status.Flows{
			Open: l.cfg.Engine.Flows(), Capacity: l.cfg.FlowCapacity, Exceptions: l.replicator.Len(), Copies: l.store.Len(),
		},
	}
	s.Flows.Silent = s.Counters[resultcode.FlowSilent.String()]
	for _, m := range l.allMembers() {
		s.Members = append(s.Members, status.Member{
			Name: m.Name, DataCentre: m.DataCentre, State: m.State.String(), Incarnation: m.Incarnation,
			InForce: m.BundleInForce, Staged: m.BundleStaged,
		})
	}
	if b := l.rollout.InForce(); b != nil {
		for _, info := range b.ServiceInfos() {
			s.Services = append(s.Services, l.serviceStatus(b, info))
		}
	}
	return s
}

func (l *Loop) bundleStatus() status.Bundle {
	r := l.rollout.Status(l.now)
	s := status.Bundle{
		InForce: r.InForce, Staged: r.Staged, Behind: r.Behind, Conflict: r.Conflict != 0,
		PlatformAgeMS: -1, PlatformCalls: l.platform.calls,
	}
	if l.platform.lastRead >= 0 {
		s.PlatformAgeMS = (l.now - l.platform.lastRead).Milliseconds()
	}
	if r.LastRefusal != resultcode.OK {
		s.LastRefusal = r.LastRefusal.String()
	}
	if b := l.rollout.InForce(); b != nil {
		s.Digest, s.InForceUnixMS = shortDigest(b), l.inForceAt.UnixMilli()
	}
	return s
}

func (l *Loop) bucketStatus() status.Buckets {
	var s status.Buckets
	for _, b := range l.handover.States() {
		switch b.Role {
		case ownership.RoleOwner:
			s.Owned++
			if b.InSync {
				s.InSync++
			}
		case ownership.RoleAcquiring:
			s.Acquiring++
		}
	}
	return s
}

func (l *Loop) counters() map[string]uint64 {
	counters := make(map[string]uint64)
	l.cfg.Engine.Actions(func(a forward.Action, n uint64) { counters["action-"+a.String()] = n })
	l.cfg.Engine.Codes(func(c resultcode.Code, n uint64) { counters[c.String()] = n })
	for name, n := range l.cfg.Transport.Counters() {
		counters[name] = n
	}
	return counters
}

func (l *Loop) serviceStatus(b *bundle.Bundle, info *bundle.ServiceInfo) status.Service {
	s := status.Service{Name: info.Name}
	states := l.health.States(l.now, info.ID, nil)
	for i, t := range l.table(b, info).Targets {
		target := status.Target{Address: t.Addr.String(), Flows: l.cfg.Engine.OpenFlows(t.ID)}
		if i < len(states) {
			target.Eligible, target.Share, target.Reported = states[i].Eligible, states[i].Share, states[i].ReportedLoad
		}
		if h, found := l.health.Status(l.now, t.ID); found {
			target.State, target.Distrusted = h.State.String(), h.Distrusted != ""
		}
		s.Targets = append(s.Targets, target)
	}
	return s
}

// Explain returns the target of a flow and the rule that selects it.
func (l *Loop) Explain(a operator.FlowAddr) status.Explanation {
	var explanation status.Explanation
	if !l.Do(func() { explanation = l.explain(a) }, requestTimeout) {
		return status.Explanation{Host: l.cfg.Self.Name, Flow: a.String(), Rule: "the control goroutine does not answer"}
	}
	return explanation
}

func (l *Loop) explain(a operator.FlowAddr) status.Explanation {
	explanation := status.Explanation{Host: l.cfg.Self.Name, Flow: a.String()}
	b := l.rollout.InForce()
	if b == nil {
		explanation.Rule = resultcode.BundleNotAvailable.String()
		return explanation
	}
	endpoint := b.Endpoint(bundle.EndpointAddr{Protocol: a.Protocol, Addr: a.Endpoint})
	if endpoint == nil {
		explanation.Rule = resultcode.PacketUnknownEndpoint.String()
		return explanation
	}
	e := l.cfg.Engine.Explain(l.now, flow.NewKey(a.Caller, endpoint.ID))
	explanation.Service, explanation.Bucket, explanation.Rule, explanation.Version =
		endpoint.Service.Name, int(e.Bucket), string(e.Rule), e.Version
	explanation.Owner, explanation.Backup, explanation.Role = l.memberName(e.Owner), l.memberName(e.Backup), e.Role.String()
	explanation.Known = e.Rule == forward.RuleEntry || e.Rule == forward.RuleException || e.Rule == forward.RuleWaiting
	if e.Target.IsValid() {
		explanation.Target = e.Target.String()
	}
	if e.Default.IsValid() {
		explanation.Default = e.Default.String()
	}
	return explanation
}
