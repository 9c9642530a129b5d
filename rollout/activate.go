package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// maxActivationDelay bounds the time for which newer versions can postpone activation by replacing a staged one, so that
// frequent publications still take effect within the 6 s allowed for a single one.
const maxActivationDelay = 3 * time.Second

// pushFanOut is the number of peers that a balancer notifies when it activates a bundle that is staged everywhere. They
// announce the activation in turn: 118 messages from one balancer would exceed its limit of 16 KB for a small change.
const pushFanOut = 8

// nextState returns the state of a bundle after an event. It panics on an event that the chart does not allow in the state,
// which would be a programming error.
func (c *Core) nextState(state, event string) string {
	after, err := bundle.Chart().Next(state, event)
	if err != nil {
		panic(err)
	}
	return after
}

// stage stages an accepted bundle for activation, in place of a staged one with a lower version.
func (c *Core) stage(h heldBundle) {
	if c.staged.bundle == nil {
		c.firstStagedAt = c.now
	} else {
		c.nextState(c.staged.state, bundle.EventReplace)
		c.addTimelineEvent("bundle-superseded", c.staged.version(), resultcode.OK,
			fmt.Sprintf("by %d before activation", h.version()))
	}
	c.staged, c.stagedAt = h, c.now
	wait := bundle.DefaultMaxStage
	if ms := h.bundle.Activation.MaxStageMS; ms > 0 {
		wait = time.Duration(ms) * time.Millisecond
	}
	c.activationDeadline = min(c.now+wait, c.firstStagedAt+max(wait, maxActivationDelay))
	clear(c.deltas)
	c.addTimelineEvent("bundle-staged", h.version(), resultcode.OK, "")
	c.emit(BundleStaged{Bundle: h.bundle})
	c.announceChange()
}

// activateIfDue puts the staged bundle in force when one of the conditions for activation holds. When a peer has a later
// version in force than the staged one, the staged one is to be skipped and only the deadline activates it, in case the
// later version cannot be fetched.
func (c *Core) activateIfDue() {
	if c.staged.bundle == nil {
		return
	}
	peerVersion := uint64(0)
	if id := c.peerAhead(); id != 0 {
		peerVersion = c.peers[id].known.InForce
	}
	switch {
	case peerVersion != 0 && peerVersion <= c.staged.version():
		c.putInForce(ReasonPeer)
	case peerVersion == 0 && c.allStaged():
		c.putInForce(ReasonAllStaged)
	case c.now >= c.activationDeadline:
		c.putInForce(ReasonDeadline)
	}
}

// allStaged reports whether every live member of the data centre reports the staged bundle. Joining members are not counted,
// because they serve no traffic before they have a bundle. The result is false before the first member view.
func (c *Core) allStaged() bool {
	if !c.hasMemberView {
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
		old.state = c.nextState(old.state, bundle.EventReplace)
		c.addTimelineEvent("bundle-superseded", old.version(), resultcode.OK, fmt.Sprintf("by %d", c.staged.version()))
		c.olderBases = slices.Insert(c.olderBases, 0, deltaBase{old.sum, old.envelope()})
		c.olderBases = c.olderBases[:min(len(c.olderBases), maxBases)]
	}
	c.staged.state = c.nextState(c.staged.state, bundle.EventActivate)
	c.inForce, c.staged = c.staged, heldBundle{}
	c.inForceAt = c.now
	if c.conflictVersion < c.inForce.version() {
		c.conflictVersion = 0
	}
	c.addTimelineEvent("bundle-in-force", c.inForce.version(), resultcode.OK, string(reason))
	c.emit(BundleInForce{Bundle: c.inForce.bundle, Previous: old.bundle, Reason: reason})
	if reason == ReasonAllStaged {
		c.pushActivate()
	}
	c.announceChange()
}

// pushActivate notifies peers that the bundle is in force.
func (c *Core) pushActivate() {
	to := c.sample(c.local, pushFanOut)
	if len(to) == 0 {
		return
	}
	for _, id := range to { // announcements already in flight from these peers need no reply
		c.peers[id].nextReply = c.now + repeatInterval
	}
	c.emit(PushActivate{To: to, Version: c.inForce.version(), Digest: PrefixOf(c.inForce.bundle)})
}
