package direct

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/internal/buildinfo"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/steer"
)

// queryTimeout is how long an operator's query waits for the control goroutine.
const queryTimeout = 2 * time.Second

// ruleControlBusy is reported if the control goroutine is busy or has stopped.
const ruleControlBusy = "the control goroutine does not answer"

// query runs fn on the control goroutine. It returns false if the goroutine does not accept it within queryTimeout.
func (c *Control) query(fn func()) bool {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case c.queries <- func() { fn(); close(done) }:
	case <-ctx.Done():
		return false
	}
	<-done
	return true
}

// Ready implements operator.Provider.
func (c *Control) Ready() (ready bool, reason string) {
	state := *c.publishedState.Load()
	return state == stateServing, state
}

// Status implements operator.Provider.
func (c *Control) Status() status.Status {
	s := status.Status{Host: c.settings.Host.Name, Reason: ruleControlBusy}
	c.query(func() { s = c.status() })
	return s
}

func (c *Control) status() status.Status {
	now := c.clock()
	ready, state := c.Ready()
	age, known := c.directory.Age(now)
	s := status.Status{
		Host: c.settings.Host.Name, DataCentre: c.settings.Host.DataCentre, Program: buildinfo.Version(), State: state, Ready: ready,
		UptimeMS: now.Milliseconds(), Bundle: status.Bundle{PlatformAgeMS: -1, PlatformCalls: c.storeReads},
		Flows: status.Flows{Open: int(c.metrics.flows.Load()), Capacity: steer.MaxFlows}, Counters: c.metrics.counters(),
	}
	if known {
		s.Bundle.PlatformAgeMS = age.Milliseconds()
	}
	if configuration := c.directory.Configuration(); configuration != nil {
		s.Bundle.InForce = configuration.Version
	}
	s.Bundle.StoreEra, s.Bundle.KeepsLost = c.directory.Revision().Era(), c.directory.KeepsLost()
	for _, m := range c.fleet.Members(now) {
		s.Members = append(s.Members, status.Member{Name: m.Host.Name, DataCentre: m.Host.DataCentre, State: memberState(m.State.Leaving)})
	}
	snapshot := c.directory.Snapshot(now)
	s.Evacuations = evacuationStatus(snapshot)
	s.Services = c.serviceStatus(snapshot, now)
	return s
}

func memberState(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return stateServing
}

// limitedUntil returns until when opening packets to each limited target are limited, by its token.
func (c *Control) limitedUntil(now time.Duration) map[directory.Token]time.Duration {
	until := map[directory.Token]time.Duration{}
	if view := c.traffic.View(); view != nil {
		for _, t := range view.Limited(now) {
			until[t.Token] = t.LimitedUntil()
		}
	}
	return until
}

// serviceStatus returns the targets by service, with the flows of this balancer to them. Targets that are suspect, dark or fail requests
// are distrusted.
func (c *Control) serviceStatus(s *directory.Snapshot, now time.Duration) []status.Service {
	loads, limited, slowdowns := c.traffic.Loads(), c.limitedUntil(now), c.traffic.Slowdowns()
	failing, dark := c.traffic.Failing(), c.traffic.DarkTargets()
	open := make(map[directory.Token]directory.Load, len(loads))
	for _, l := range loads {
		open[l.Token] = l
	}
	byName := map[string]*status.Service{}
	for i := range s.Targets {
		t := &s.Targets[i]
		service := byName[t.Service]
		if service == nil {
			service = &status.Service{Name: t.Service}
			byName[t.Service] = service
		}
		load := open[t.Token()]
		distrusted := load.Suspect || failing[t.Token()] || dark[t.Token()]
		evacuated := s.Evacuated(t.DataCentre)
		service.Targets = append(service.Targets, status.Target{
			Address: t.Address.String(), State: t.Presence.String(), Eligible: t.Presence == directory.Ready && !distrusted && !evacuated,
			Evacuated: evacuated, LimitedMS: max(limited[t.Token()]-s.TakenAt, 0).Milliseconds(),
			Share: 1, Reported: float64(load.Pending) / float64(t.Capacity), Flows: int64(load.Open), Distrusted: distrusted,
			Slowdown: slowdowns[t.Token()],
		})
	}
	out := make([]status.Service, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

// Explain implements operator.Provider. It returns the state of the flow on this host, or else where a new flow would go.
func (c *Control) Explain(a operator.FlowAddr) status.Explanation {
	x := status.Explanation{Host: c.settings.Host.Name, Flow: a.String(), Rule: ruleControlBusy}
	if a.Protocol != flow.UDP || !a.Caller.Addr().Is4() || !a.Endpoint.Addr().Is4() {
		x.Rule = "flows of this balancer have the form udp,CALLER:PORT,ENDPOINT:PORT with IPv4 addresses"
		return x
	}
	c.query(func() { c.explain(a, &x) })
	return x
}

func (c *Control) explain(a operator.FlowAddr, x *status.Explanation) {
	view := c.traffic.View()
	if view == nil {
		x.Rule = "routes and targets are not known yet"
		return
	}
	x.Version, x.Role = view.Version, "any"
	key := steer.FlowKey{
		Caller:   directory.Endpoint{Address: a.Caller.Addr().As4(), Port: a.Caller.Port()},
		Endpoint: directory.Endpoint{Address: a.Endpoint.Addr().As4(), Port: a.Endpoint.Port()},
	}
	if f, found := c.traffic.Flow(key); found {
		x.Known, x.Target, x.Service, x.Rule = true, f.Target.Name, f.Target.Service, describeFlow(f)
		return
	}
	ranking := c.traffic.Rank(key)
	x.Service = ranking.Service
	switch {
	case !ranking.Routed:
		x.Rule = "no route for the endpoint: a new flow is refused"
	case ranking.First == nil:
		x.Rule = "no ready target: a new flow is refused"
	default:
		x.Default, x.Rule = ranking.First.Name, "a new flow goes to the default target"
		if ranking.First.LimitedUntil() > c.clock() {
			x.Rule += " if it has a permit, because the target is cold"
		}
		if ranking.Second != nil {
			x.Rule += ", or to " + ranking.Second.Name + " while it is less loaded"
		}
		x.Rule += describeBalance(c.traffic.Slowdowns()[ranking.First.Token], c.traffic.HandedOn(ranking.Service))
	}
}

// describeBalance returns why a new flow may go to another target, "" if neither the default target is slow nor flows are handed on.
func describeBalance(slowdown, handedOn float64) string {
	text := ""
	if slowdown > 0 {
		text += fmt.Sprintf("; the default target is %.1f times slower than usual", slowdown)
	}
	if handedOn > 0 {
		text += fmt.Sprintf("; %.0f%% of the new flows go to other data centres for lack of room", 100*handedOn)
	}
	return text
}

// describeFlow returns a description of the state of a flow.
func describeFlow(f steer.FlowInfo) string {
	state := "open"
	if !f.Open {
		state = "opening"
	}
	text := fmt.Sprintf("%s, target %s, last packet %v ago", state, f.Target.Presence, f.Idle.Round(time.Millisecond))
	if f.Waiting > 0 {
		text += fmt.Sprintf(", waiting for the target for %v", f.Waiting.Round(time.Millisecond))
	}
	return text
}
