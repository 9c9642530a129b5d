package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// maxWait bounds the time for which newer versions can put off an activation by replacing a staged one, so that a
// series of publications still takes effect within the 6 s that a single one has.
const maxWait = 3 * time.Second

// pushFanOut is the number of peers that a balancer which sees the bundle staged everywhere tells so. Those announce the
// activation in turn: 118 messages from one balancer would exceed the 16 KB that a small change may cost it.
const pushFanOut = 8

// next returns the state of a bundle after an event. The code fires only events that the chart lists.
func (c *Core) next(state, event string) string {
	after, err := bundle.Chart().Next(state, event)
	if err != nil {
		panic(err)
	}
	return after
}

// stage keeps an accepted bundle for activation. It replaces one that waits with a lower version.
func (c *Core) stage(h held) {
	if c.staged.bundle == nil {
		c.waitsSince = c.now
	} else {
		c.next(c.staged.state, bundle.EventReplace)
		c.event("bundle-superseded", c.staged.version(), resultcode.OK, fmt.Sprintf("by %d before activation", h.version()))
	}
	c.staged, c.stagedAt = h, c.now
	wait := bundle.DefaultMaxStage
	if ms := h.bundle.Activation.MaxStageMS; ms > 0 {
		wait = time.Duration(ms) * time.Millisecond
	}
	c.activateAt = min(c.now+wait, c.waitsSince+max(wait, maxWait))
	clear(c.deltas)
	c.event("bundle-staged", h.version(), resultcode.OK, "")
	c.emit(BundleStaged{Bundle: h.bundle})
	c.announceChange()
}

// activate puts the staged bundle in force when one of the conditions for it holds. A peer with a later version than
// the staged one in force shows that the staged one will be skipped; only the deadline, which covers that the later
// version cannot be had, puts it in force then.
func (c *Core) activate() {
	if c.staged.bundle == nil {
		return
	}
	ahead := uint64(0)
	if id := c.ahead(); id != 0 {
		ahead = c.peers[id].known.InForce
	}
	switch {
	case ahead != 0 && ahead <= c.staged.version():
		c.putInForce(ReasonPeer)
	case ahead == 0 && c.allStaged():
		c.putInForce(ReasonAllStaged)
	case c.now >= c.activateAt:
		c.putInForce(ReasonDeadline)
	}
}

// allStaged reports whether every live member of the data centre shows the staged bundle. A joining member does not
// count: it serves nothing before it has a bundle. Before the first member view nothing is known of the members.
func (c *Core) allStaged() bool {
	if !c.viewed {
		return false
	}
	version, digest := c.staged.version(), PrefixOf(c.staged.bundle)
	for _, id := range c.local {
		p := c.peers[id]
		if p.member.State == membership.Joining {
			continue
		}
		if d, holds := p.known.digestOf(version); !holds || d != digest {
			return false
		}
	}
	return true
}

func (c *Core) putInForce(reason Reason) {
	old := c.inForce
	if old.bundle != nil {
		old.state = c.next(old.state, bundle.EventReplace)
		c.event("bundle-superseded", old.version(), resultcode.OK, fmt.Sprintf("by %d", c.staged.version()))
		c.older = slices.Insert(c.older, 0, base{old.sum, old.envelope()})
		c.older = c.older[:min(len(c.older), maxBases)]
	}
	c.staged.state = c.next(c.staged.state, bundle.EventActivate)
	c.inForce, c.staged = c.staged, held{}
	c.inForceAt = c.now
	if c.conflict < c.inForce.version() {
		c.conflict = 0
	}
	c.event("bundle-in-force", c.inForce.version(), resultcode.OK, string(reason))
	c.emit(BundleInForce{Bundle: c.inForce.bundle, Previous: old.bundle, Reason: reason})
	if reason == ReasonAllStaged {
		c.pushActivate()
	}
	c.announceChange()
}

// pushActivate tells peers that the bundle is in force.
func (c *Core) pushActivate() {
	to := c.sample(c.local, pushFanOut)
	if len(to) == 0 {
		return
	}
	for _, id := range to { // their announcements that are under way need no reply
		c.peers[id].nextReply = c.now + repeatInterval
	}
	c.emit(PushActivate{To: to, Version: c.inForce.version(), Digest: PrefixOf(c.inForce.bundle)})
}
