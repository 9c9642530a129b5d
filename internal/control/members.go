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
			l.newOwners = append([]membership.HostID{}, e.Owners...)
		case membership.StatusReceived:
			l.statusReceived(e)
		case membership.SelfDeclaredGone:
			if e.Isolated {
				// Others have taken over the buckets. They are claimed back before the balancer decides again.
				l.applyBuckets(l.handover.Handle(l.now, ownership.Evicted{}))
			}
			l.record(timeline.Event{Kind: "declared-gone", Detail: fmt.Sprintf("rejoins with incarnation %d after %s", e.Incarnation, e.Hold)})
		case membership.MemberListedLeaving:
			l.record(timeline.Event{Kind: "member-listed-leaving", Member: l.memberName(e.Member)})
		case membership.Refreshed:
			l.refreshed(e.NoPeerAnswered)
		}
	}
}

func (l *Loop) memberChanged(e membership.MemberChanged) {
	l.dirty = true
	l.record(timeline.Event{
		Kind: "member-state", Member: e.Member.Name,
		Detail: fmt.Sprintf("%s to %s, incarnation %d", e.Previous, e.Member.State, e.Member.Incarnation),
	})
	l.noteLoss(e)
	l.applyRollout(l.rollout.Handle(l.now, rollout.MemberView{Members: l.allMembers()}))
	if e.Member.State == membership.Leaving || e.Previous == membership.Leaving {
		l.updateMap()
	}
}

const (
	// divisionTime is how long a lost member counts as possibly alive on the other side of a partition. Partitions last
	// for minutes.
	divisionTime = 10 * time.Minute
	// patienceTime is how long connections of a lost member that are unknown here are left alone. It covers a partition of
	// 30 s; after it they are reset, so that callers of a member that has died reconnect.
	patienceTime = time.Minute
	// reunionTime is how long the balancer stays careful after the last lost member is back: callers repeat requests that
	// they sent before.
	reunionTime = 5 * time.Second
)

// noteLoss remembers members of the data centre that were lost without notice.
func (l *Loop) noteLoss(e membership.MemberChanged) {
	m := e.Member
	if m.DataCentre != l.cfg.Self.DataCentre || m.ID == l.cfg.Self.ID {
		return
	}
	switch {
	case m.State == membership.Gone && e.Previous.OwnsBuckets():
		l.lost[m.ID] = l.now + divisionTime
		l.lostAt = l.now
	case m.State.OwnsBuckets():
		if _, found := l.lost[m.ID]; found {
			l.lost[m.ID] = l.now + reunionTime
		}
	}
}

// possiblyDivided reports whether a lost member may still decide.
func (l *Loop) possiblyDivided() bool {
	for id, until := range l.lost {
		if l.now < until {
			return true
		}
		delete(l.lost, id)
		l.dirty = true
	}
	return false
}

// lostRecently reports whether a member was lost without notice within patienceTime and is not back.
func (l *Loop) lostRecently() bool {
	recent := l.lostAt > 0 && l.now-l.lostAt < patienceTime && l.possiblyDivided()
	if !recent && l.lostAt > 0 {
		l.lostAt, l.dirty = 0, true
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

// applyOwners builds the map of the owners that the membership has reported last.
func (l *Loop) applyOwners() {
	owners, previous := l.newOwners, l.owners
	l.newOwners = nil
	l.owners = ownership.Build(owners)
	l.installLostBases(previous)
	l.applyHealth(l.health.Handle(l.now, health.Members{Members: owners}))
	l.setLedgers()
	l.updateMap()
}

// updateMap tells the handover about the owners, and about leaving members, which still answer claims.
func (l *Loop) updateMap() {
	reachable := slices.Clone(l.owners.Members())
	for _, m := range l.members.Members() {
		if m.State == membership.Leaving {
			reachable = append(reachable, m.ID)
		}
	}
	l.applyBuckets(l.handover.Handle(l.now, ownership.MapChanged{Map: l.owners, Reachable: reachable}))
	l.replicator.SetOwnership(l.now, l.owners, l.handover.States())
	l.store.Prune(l.now, l.cfg.Self.ID, l.owners)
	l.dirty = true
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
		l.bases.seen[e.Member] = a.InForce
	}
	l.applyRollout(l.rollout.Handle(l.now, rollout.PeerAnnounced{Announcement: a}))
}

// paused fences the balancer after a gap in which it did not run: what it believes may be out of date.
func (l *Loop) paused(gap time.Duration) {
	l.refreshing = true
	l.publish()
	l.record(timeline.Event{Kind: "pause-detected", Code: uint16(resultcode.PauseDetected), Detail: gap.String()})
	l.applyMembers(l.members.Handle(l.now, membership.PauseDetected{Gap: gap}))
}

func (l *Loop) refreshed(alone bool) {
	l.refreshing = false
	l.dirty = true
	detail := "a peer answered"
	if alone {
		detail = "no peer answered"
	}
	l.record(timeline.Event{Kind: "view-refreshed", Detail: detail})
}
