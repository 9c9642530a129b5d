package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/rollout"
	"github.com/marigoldwood/marigoldwood/timeline"
)

func (l *Loop) applyMembers(effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			l.cfg.Transport.SendProbe(e.To, &e.Message)
		case membership.MemberChanged:
			l.memberChanged(e)
		case membership.ViewChanged:
			l.pendingOwners = append([]membership.HostID{}, e.Owners...)
		case membership.StatusReceived:
			l.statusReceived(e)
		case membership.SelfDeclaredGone:
			if e.Isolated {
				// Other members have taken over the buckets. This balancer claims them back before it decides about packets.
				l.applyBuckets(l.handover.Handle(l.now, ownership.Evicted{}))
			}
			l.record(timeline.Event{
				Kind: "declared-gone", Detail: fmt.Sprintf("rejoins with incarnation %d after %s", e.Incarnation, e.Hold),
			})
		case membership.MemberListedLeaving:
			l.record(timeline.Event{Kind: "member-listed-leaving", Member: l.memberName(e.Member)})
		case membership.Refreshed:
			l.viewRefreshed(e.NoPeerAnswered)
		}
	}
}

func (l *Loop) memberChanged(e membership.MemberChanged) {
	l.snapshotStale = true
	l.record(timeline.Event{
		Kind: "member-state", Member: e.Member.Name,
		Detail: fmt.Sprintf("%s to %s, incarnation %d", e.Previous, e.Member.State, e.Member.Incarnation),
	})
	l.recordLoss(e)
	l.applyRollout(l.rollout.Handle(l.now, rollout.MemberView{Members: l.allMembers()}))
	if e.Member.State == membership.Leaving || e.Previous == membership.Leaving {
		l.updateOwnership()
	}
}

const (
	// partitionTimeout is how long a lost member counts as possibly alive on the other side of a partition. Partitions last
	// for minutes.
	partitionTimeout = 10 * time.Minute
	// unknownFlowGrace is how long after the loss of a member packets of unknown connections are dropped rather than reset.
	// It covers a partition of 30 s; after it the connections are reset, so that callers of a dead member reconnect.
	unknownFlowGrace = time.Minute
	// rejoinGrace is how long a lost member still counts as possibly partitioned after it is back: callers repeat requests
	// that they sent before.
	rejoinGrace = 5 * time.Second
)

// recordLoss records a member of the data centre that was lost without notice, and its return.
func (l *Loop) recordLoss(e membership.MemberChanged) {
	m := e.Member
	if m.DataCentre != l.cfg.Self.DataCentre || m.ID == l.cfg.Self.ID {
		return
	}
	switch {
	case m.State == membership.Gone && e.Previous.OwnsBuckets():
		l.lostMembers[m.ID] = l.now + partitionTimeout
		l.lastLossAt = l.now
	case m.State.OwnsBuckets():
		if _, found := l.lostMembers[m.ID]; found {
			l.lostMembers[m.ID] = l.now + rejoinGrace
		}
	}
}

// possiblyPartitioned reports whether a lost member may still decide about packets on the other side of a partition.
func (l *Loop) possiblyPartitioned() bool {
	for id, until := range l.lostMembers {
		if l.now < until {
			return true
		}
		delete(l.lostMembers, id)
		l.snapshotStale = true
	}
	return false
}

// lostRecently reports whether a member was lost without notice within unknownFlowGrace and is not back.
func (l *Loop) lostRecently() bool {
	recent := l.lastLossAt > 0 && l.now-l.lastLossAt < unknownFlowGrace && l.possiblyPartitioned()
	if !recent && l.lastLossAt > 0 {
		l.lastLossAt, l.snapshotStale = 0, true
	}
	return recent
}

func (l *Loop) allMembers() []membership.Member {
	return append(l.members.Members(), l.members.Remote()...)
}

func (l *Loop) member(id membership.HostID) (membership.Member, bool) {
	for _, m := range l.allMembers() {
		if m.ID == id {
			return m, true
		}
	}
	return membership.Member{}, false
}

func (l *Loop) memberName(id membership.HostID) string {
	if m, found := l.member(id); found {
		return m.Name
	}
	return ""
}

// peers returns the other members of the data centre that can receive messages.
func (l *Loop) peers() []membership.Member {
	var out []membership.Member
	for _, m := range l.members.Members() {
		if m.ID != l.cfg.Self.ID && m.State != membership.Gone {
			out = append(out, m)
		}
	}
	return out
}

func (l *Loop) send(to membership.HostID, m peer.Message) {
	if member, found := l.member(to); found {
		l.cfg.Transport.Send(member.Peer, m)
	}
}

// applyOwners builds the ownership map from the owners that the membership has last reported, and updates what depends on
// it.
func (l *Loop) applyOwners() {
	owners, previous := l.pendingOwners, l.owners
	l.pendingOwners = nil
	l.owners = ownership.Build(owners)
	l.installBasesOfLostOwners(previous)
	l.applyHealth(l.health.Handle(l.now, health.Members{Members: owners}))
	l.updateLedgers()
	l.updateOwnership()
}

// updateOwnership passes the ownership map to the handover, with the reachable members. Leaving members are among them,
// since they still answer claims.
func (l *Loop) updateOwnership() {
	reachable := slices.Clone(l.owners.Members())
	for _, m := range l.members.Members() {
		if m.State == membership.Leaving {
			reachable = append(reachable, m.ID)
		}
	}
	l.applyBuckets(l.handover.Handle(l.now, ownership.MapChanged{Map: l.owners, Reachable: reachable}))
	l.replicator.SetOwnership(l.now, l.owners, l.handover.States())
	l.store.Prune(l.now, l.cfg.Self.ID, l.owners)
	l.snapshotStale = true
}

func (l *Loop) statusReceived(e membership.StatusReceived) {
	m, found := l.member(e.Member)
	if !found {
		return
	}
	a := rollout.Announcement{
		Host: e.Member, DataCentre: m.DataCentre,
		InForce: e.Status.InForce.Version, InForceDigest: e.Status.InForce.Digest,
		Staged: e.Status.Staged.Version, StagedDigest: e.Status.Staged.Digest, SinceReadMS: -1,
	}
	if e.Status.PlatformAge >= 0 {
		a.SinceReadMS = e.Status.PlatformAge.Milliseconds()
	}
	if m.DataCentre == l.cfg.Self.DataCentre {
		l.bundleHistory.seen[e.Member] = a.InForce
	}
	l.applyRollout(l.rollout.Handle(l.now, rollout.PeerAnnounced{Announcement: a}))
}

// handlePause fences the balancer after a gap in which it did not run, because its view of the members may be out of date.
func (l *Loop) handlePause(gap time.Duration) {
	l.refreshingView = true
	l.publish()
	l.record(timeline.Event{Kind: "pause-detected", Code: uint16(resultcode.PauseDetected), Detail: gap.String()})
	l.applyMembers(l.members.Handle(l.now, membership.PauseDetected{Gap: gap}))
}

// viewRefreshed ends the fencing after a pause. alone is true when no peer answered.
func (l *Loop) viewRefreshed(alone bool) {
	l.refreshingView = false
	l.snapshotStale = true
	detail := "a peer answered"
	if alone {
		detail = "no peer answered"
	}
	l.record(timeline.Event{Kind: "view-refreshed", Detail: detail})
}
