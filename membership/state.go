package membership

import (
	_ "embed"
	"slices"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/chart"
)

//go:embed host.yaml
var hostChartYAML []byte

// hostChart returns the state chart of a member, which is loaded at the first use.
var hostChart = sync.OnceValue(func() *chart.Chart { return chart.MustLoad(hostChartYAML) })

var stateByName = func() map[string]State {
	m := make(map[string]State)
	for i, name := range stateNames {
		m[name] = State(i)
	}
	return m
}()

// transition applies an event of the state chart to a member. An event that the chart does not allow in the member's state
// is ignored.
func (c *Core) transition(m *member, event string) {
	next, err := hostChart().Next(m.State.String(), event)
	if err != nil {
		return
	}
	m.State = stateByName[next]
}

func (c *Core) reportChange(m *member, previous State, isNew bool) {
	c.lastChange = c.now
	c.emit(MemberChanged{Member: m.Member, Previous: previous, New: isNew})
}

// Flap damping of a member that is repeatedly isolated and declared gone: from the second time within flapWindow on, it is
// held before it serves again, for twice as long each time. Each such cycle moves ownership of its buckets twice.
const (
	flapWindow  = time.Minute
	initialHold = time.Second
	maxHold     = 30 * time.Second
)

// rejoin handles an update by which other members declared this one gone.
func (c *Core) rejoin() {
	var hold time.Duration
	isolated := c.wasIsolated()
	if isolated {
		c.forgetGoneMembers()
		c.rejoinTimes = slices.DeleteFunc(c.rejoinTimes, func(at time.Duration) bool { return c.now-at > flapWindow })
		if n := len(c.rejoinTimes); n > 0 {
			hold = min(initialHold<<(min(n, 6)-1), maxHold)
		}
		c.rejoinTimes = append(c.rejoinTimes, c.now)
	}
	if hold > 0 && c.local.State == Serving {
		c.holdUntil = max(c.holdUntil, c.now+hold)
		if c.self.announced == Serving {
			c.restartSelf(Warm)
		}
	}
	c.emit(SelfDeclaredGone{Isolated: isolated, Incarnation: c.self.Incarnation, Hold: hold})
}

// wasIsolated reports whether this member was paused lately, received no message for longer than SuspicionTime, or has more
// than two thirds of the others suspected or gone. It tells an outage of this member from an outage of the reporting one
// and from a partition into halves.
func (c *Core) wasIsolated() bool {
	unreachable := 0
	for _, m := range c.members {
		if m.suspected || m.announced == Gone {
			unreachable++
		}
	}
	return c.now-c.lastHeard > SuspicionTime || c.now-c.resumedAt < refreshTimeout || 3*unreachable > 2*len(c.members)
}

// forgetGoneMembers removes the members that this one declared gone while it was isolated. The view of the members that
// it reaches now is more accurate, and gossip of its own view would make each of them refute it.
func (c *Core) forgetGoneMembers() {
	for id, m := range c.members {
		if m.suspected {
			m.expires = c.now + SuspicionTime
		}
		if m.announced == Gone {
			delete(c.members, id)
			delete(c.transmissionsLeft, id)
		}
	}
	c.digest = 0
}

func (c *Core) restartSelf(to State) {
	previous := c.self.State
	c.transition(c.self, "restart")
	c.self.announced = Joining
	c.advance(c.self, to)
	c.reportChange(c.self, previous, false)
}

func (c *Core) expireHold() {
	if c.holdUntil > 0 && c.now >= c.holdUntil {
		c.holdUntil = 0
		c.setLocal(c.local)
	}
}

func (c *Core) setLocal(l LocalChanged) {
	c.local = l
	c.self.BundleInForce, c.self.InForceDigest = l.InForce.Version, l.InForce.Digest
	c.self.BundleStaged, c.self.StagedDigest = l.Staged.Version, l.Staged.Digest
	c.self.LastPlatformRead = l.LastPlatformRead
	to := l.State
	if to == Serving && c.now < c.holdUntil {
		to = Warm
	}
	if to <= c.self.announced || to == Suspect {
		return
	}
	previous := c.self.State
	c.advance(c.self, to)
	c.queueUpdate(c.self.ID)
	c.reportChange(c.self, previous, false)
	if to >= Leaving {
		c.announce()
	}
}

// announce pings three members at once to tell them that this one is leaving or has left, without waiting for the next
// probe.
func (c *Core) announce() {
	for _, m := range c.pickMembers(3) {
		c.sequence++
		c.sendPing(m, c.sequence)
	}
}

func (c *Core) pickMembers(n int) []*member {
	var live []*member
	for _, id := range c.sortedMembers() {
		if m := c.members[id]; m.announced != Gone {
			live = append(live, m)
		}
	}
	c.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// resume handles the end of a pause. Timeouts that expired while the process did not run are not evidence against other
// members, so that probes are dropped and suspicions restarted.
func (c *Core) resume() {
	c.probes = nil
	clear(c.relays)
	for _, m := range c.members {
		if m.suspected {
			m.expires = c.now + SuspicionTime
		}
	}
	c.nextProbe, c.lastHeard, c.resumedAt = c.now+ProbeInterval, c.now, c.now
	c.refreshDeadline = c.now + refreshTimeout
	c.sync = syncState{}
	for _, m := range c.pickMembers(3) {
		c.startSync(m)
	}
}

func (c *Core) endRefresh() {
	if c.refreshDeadline > 0 && c.now >= c.refreshDeadline {
		c.refreshDeadline = 0
		c.emit(Refreshed{NoPeerAnswered: true})
	}
}
