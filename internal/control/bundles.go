package control

import (
	"encoding/hex"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/rollout"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// copyRetention is how long copies that only the previous bundle needs are kept. Every reachable balancer has the new
// bundle in force within 6 s.
const copyRetention = 10 * time.Second

// platformUsage counts the calls of this balancer to the platform.
type platformUsage struct {
	calls    uint64
	lastRead time.Duration // time of the last successful read, -1 when there was none
}

func (l *Loop) applyRollout(effects []rollout.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case rollout.WatchPlatform:
			l.watchPlatform(e)
		case rollout.RequestBundle:
			l.send(e.To, &peer.BundleRequest{Request: e.Request})
		case rollout.SendData:
			l.send(e.To, &peer.BundleData{Data: e.Data})
		case rollout.Announce:
			for _, to := range e.To {
				l.send(to, &peer.Announcement{Announcement: l.rollout.Announcement(l.now)})
			}
		case rollout.PushActivate:
			for _, to := range e.To {
				l.send(to, &peer.BundleActivate{Version: e.Version, Digest: e.Digest})
			}
		case rollout.BundleStaged:
			l.bundleStaged(e.Bundle)
		case rollout.BundleInForce:
			l.bundleInForce(e)
		case rollout.BundleRefused:
			l.bundleRefused(e)
		case rollout.AddTimeline:
			l.record(e.Event)
		}
	}
}

func (l *Loop) watchPlatform(e rollout.WatchPlatform) {
	l.platform.calls++
	go func() {
		answer, err := l.cfg.Platform.Bundle(l.ctx, e.After, e.Wait)
		if err != nil {
			l.post(l.ctx, platformError{err: err})
			return
		}
		l.post(l.ctx, platformAnswer{answer: answer})
	}()
}

func (e platformAnswer) apply(l *Loop) {
	l.platform.lastRead = l.now
	var event rollout.Event = rollout.PlatformNotModified{Revision: e.answer.Revision}
	if e.answer.Modified {
		event = rollout.PlatformBundle{Revision: e.answer.Revision, Envelope: e.answer.Envelope}
	}
	l.applyRollout(l.rollout.Handle(l.now, event))
}

func (e platformError) apply(l *Loop) {
	l.applyRollout(l.rollout.Handle(l.now, rollout.PlatformFailed{Err: e.err}))
}

// bundleStaged starts to copy the flows whose default target the staged bundle changes, so that few copies are missing
// when it comes into force.
func (l *Loop) bundleStaged(b *bundle.Bundle) {
	if l.rollout.InForce() != nil {
		l.cfg.Engine.AddExceptions(l.cfg.Engine.Snapshot(), l.snapshot(b))
	}
}

func (l *Loop) bundleInForce(e rollout.BundleInForce) {
	l.inForceAt = time.Now()
	l.bundleHistory.add(e.Bundle)
	l.retireTargets(e.Previous, e.Bundle)
	l.applyHealth(l.health.Handle(l.now, health.Bundle{DataCentre: l.cfg.Self.DataCentre, Services: e.Bundle.ServiceInfos()}))
	l.updateLedgers()
	l.cfg.Engine.AddExceptions(l.cfg.Engine.Snapshot(), l.snapshot(e.Bundle))
	l.dropCopiesAt = l.now + copyRetention
	l.publish()
}

// dropOldCopies removes the copies that only the previous bundle needs, once copyRetention has passed. Until then a backup
// may still have that bundle in force, and would take over flows without a copy on its default targets.
func (l *Loop) dropOldCopies() {
	if l.dropCopiesAt == 0 || l.now < l.dropCopiesAt {
		return
	}
	l.dropCopiesAt = 0
	l.cfg.Engine.ReconcileExceptions(nil, l.cfg.Engine.Snapshot())
}

func (l *Loop) bundleRefused(e rollout.BundleRefused) {
	detail := e.Code.String()
	if e.Err != nil {
		detail = e.Err.Error()
	}
	l.record(timeline.Event{
		Kind: "bundle-refused", Version: e.Version, Code: uint16(e.Code), Member: l.memberName(e.From), Detail: detail,
	})
}

// shortDigest returns the first 8 bytes of the digest of a bundle in hexadecimal.
func shortDigest(b *bundle.Bundle) string { return hex.EncodeToString(b.Digest[:8]) }

// noticeNewerVersion reports a bundle version to the rollout that is newer than the one in force and that a peer's packet
// has carried.
func (l *Loop) noticeNewerVersion() {
	newest := l.cfg.Engine.NewestVersion()
	if b := l.rollout.InForce(); b == nil || newest <= b.Version {
		return
	}
	l.applyRollout(l.rollout.Handle(l.now, rollout.PeerInForce{Version: newest}))
	l.snapshotStale = true
}

// updateLocalMember passes the state and the bundle versions of this balancer to the membership, which announces them in
// its probes.
func (l *Loop) updateLocalMember() {
	a := l.rollout.Announcement(l.now)
	read := time.Duration(-1)
	if a.SinceReadMS >= 0 {
		read = l.now - time.Duration(a.SinceReadMS)*time.Millisecond
	}
	l.applyMembers(l.members.Handle(l.now, membership.LocalChanged{
		State:            l.lifecycle.announced,
		InForce:          membership.VersionDigest{Version: a.InForce, Digest: a.InForceDigest},
		Staged:           membership.VersionDigest{Version: a.Staged, Digest: a.StagedDigest},
		LastPlatformRead: read,
	}))
}

// retireTargets records the targets that are not in the current bundle any more, for the flows that still use them.
func (l *Loop) retireTargets(previous, current *bundle.Bundle) {
	if previous == nil {
		return
	}
	kept := make(map[flow.TargetID]bool)
	for _, s := range current.ServiceInfos() {
		for _, t := range s.Resolved {
			kept[t.ID] = true
		}
	}
	for _, s := range previous.ServiceInfos() {
		for _, t := range s.Resolved {
			if t.DataCentre == l.cfg.Self.DataCentre && !kept[t.ID] {
				l.addRetired(ownership.RetiredTarget{ID: t.ID, Service: s.ID, Addr: t.Addr, DataPort: t.DataPort})
			}
		}
	}
	for id := range l.retired {
		if kept[id] {
			delete(l.retired, id)
		}
	}
}

func (l *Loop) addRetired(r ownership.RetiredTarget) {
	if _, found := l.retired[r.ID]; found {
		return
	}
	vni := uint32(0)
	if b := l.rollout.InForce(); b != nil {
		for _, s := range b.ServiceInfos() {
			if s.ID == r.Service {
				vni = s.VNI
			}
		}
	}
	l.retired[r.ID] = forward.RetiredTarget{Addr: r.Addr, DataPort: r.DataPort, Service: r.Service, VNI: vni}
	l.replicator.AddRetired(r)
	l.snapshotStale = true
}

// retiredTargetsOf returns the retired targets that the given flows use, each once.
func (l *Loop) retiredTargetsOf(exceptions []forward.Exception) []ownership.RetiredTarget {
	var out []ownership.RetiredTarget
	added := make(map[flow.TargetID]bool)
	for _, e := range exceptions {
		r, found := l.retired[e.Target]
		if !found || added[e.Target] {
			continue
		}
		added[e.Target] = true
		out = append(out, ownership.RetiredTarget{ID: e.Target, Service: r.Service, Addr: r.Addr, DataPort: r.DataPort})
	}
	return out
}
