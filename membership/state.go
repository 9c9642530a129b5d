package membership

import (
	_ "embed"
	"slices"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/chart"
)

//go:embed host.yaml
var hostChart []byte

// hosts returns the chart, which is loaded at the first use.
var hosts = sync.OnceValue(func() *chart.Chart { return chart.MustLoad(hostChart) })

var stateByName = func() map[string]State {
	m := make(map[string]State)
	for i, name := range stateNames {
		m[name] = State(i)
	}
	return m
}()

// transition moves a member along the chart. An event that the chart refuses leaves the member as it is.
func (c *Core) transition(m *member, event string) {
	next, err := hosts().Next(m.State.String(), event)
	if err != nil {
		return
	}
	m.State = stateByName[next]
}

func (c *Core) changed(m *member, previous State, isNew bool) {
	c.lastChange = c.now
	c.emit(MemberChanged{Member: m.Member, Previous: previous, New: isNew})
}

// Damping of a member that is cut off and declared gone again and again: from the second time within flapWindow on, it waits
// before it serves again, each time twice as long. Every return moves ownership of its buckets twice.
const (
	flapWindow = time.Minute
	flapHold   = time.Second
	maxHold    = 30 * time.Second
)

// rejoin follows the news that others declared this member gone.
func (c *Core) rejoin() {
	var hold time.Duration
	cutOff := c.wasCutOff()
	if cutOff {
		c.dropVerdicts()
		c.rejoins = slices.DeleteFunc(c.rejoins, func(at time.Duration) bool { return c.now-at > flapWindow })
		if n := len(c.rejoins); n > 0 {
			hold = min(flapHold<<(min(n, 6)-1), maxHold)
		}
		c.rejoins = append(c.rejoins, c.now)
	}
	if hold > 0 && c.local.State == Serving {
		c.holdUntil = max(c.holdUntil, c.now+hold)
		if c.self.announced == Serving {
			c.restartSelf(Warm)
		}
	}
	c.emit(SelfDeclaredGone{Isolated: cutOff, Incarnation: c.self.Incarnation, Hold: hold})
}

// wasCutOff tells an outage of this member from that of its accuser, and from a partition into halves: this one was
// paused, heard nobody, or found more than two thirds of the others gone.
func (c *Core) wasCutOff() bool {
	lost := 0
	for _, m := range c.members {
		if m.suspected || m.announced == Gone {
			lost++
		}
	}
	return c.now-c.lastHeard > SuspicionTime || c.now-c.wokeAt < refreshLimit || 3*lost > 2*len(c.members)
}

// dropVerdicts forgets the members that this one declared gone while it was cut off. The view of those that it meets
// now is better, and spreading its own would make every one of them refute it.
func (c *Core) dropVerdicts() {
	for id, m := range c.members {
		if m.suspected {
			m.expires = c.now + SuspicionTime
		}
		if m.announced == Gone {
			delete(c.members, id)
			delete(c.gossip, id)
		}
	}
	c.digest = 0
}

func (c *Core) restartSelf(to State) {
	previous := c.self.State
	c.transition(c.self, "restart")
	c.self.announced = Joining
	c.advance(c.self, to)
	c.changed(c.self, previous, false)
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
	c.spread(c.self.ID)
	c.changed(c.self, previous, false)
	if to >= Leaving {
		c.announce()
	}
}

// announce tells three members at once that this one leaves or has left, instead of waiting for the next probe.
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

// wake follows a pause: what expired while the process did not run says nothing about the others.
func (c *Core) wake() {
	c.probes = nil
	clear(c.relays)
	for _, m := range c.members {
		if m.suspected {
			m.expires = c.now + SuspicionTime
		}
	}
	c.nextProbe, c.lastHeard, c.wokeAt = c.now+ProbeInterval, c.now, c.now
	c.refreshUntil = c.now + refreshLimit
	c.sync = syncState{}
	for _, m := range c.pickMembers(3) {
		c.startSync(m)
	}
}

func (c *Core) endRefresh() {
	if c.refreshUntil > 0 && c.now >= c.refreshUntil {
		c.refreshUntil = 0
		c.emit(Refreshed{NoPeerAnswered: true})
	}
}
