package control

import (
	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// maxBundleHistory is the number of bundles whose default targets can still be looked up. A member is declared gone after
// seconds of silence, in which only a few bundles can come into force.
const maxBundleHistory = 8

// bundleHistory records which bundle each member had in force. Idle flows of a lost member are on the default targets of
// its last bundle, which can be older than the one in force here.
type bundleHistory struct {
	seen    map[membership.HostID]uint64 // bundle version that each member was last seen to have in force
	bundles []*bundle.Bundle             // bundles that were in force here, oldest first
}

func newBundleHistory() bundleHistory { return bundleHistory{seen: make(map[membership.HostID]uint64)} }

func (x *bundleHistory) add(b *bundle.Bundle) {
	x.bundles = append(x.bundles, b)
	if len(x.bundles) > maxBundleHistory {
		x.bundles = x.bundles[1:]
	}
}

func (x *bundleHistory) find(v uint64) *bundle.Bundle {
	for _, b := range x.bundles {
		if b.Version == v {
			return b
		}
	}
	return nil
}

// installBasesOfLostOwners installs the default targets for buckets that this balancer takes over from an owner that is
// gone and had another bundle in force.
func (l *Loop) installBasesOfLostOwners(previous *ownership.Map) {
	inForce := l.rollout.InForce()
	if inForce == nil {
		return
	}
	bucketsOfLost := make(map[membership.HostID][]ownership.Bucket)
	for b := ownership.Bucket(0); b < ownership.BucketCount; b++ {
		if owner := previous.Owner(b); owner != 0 && owner != l.cfg.Self.ID &&
			!l.owners.Contains(owner) && l.owners.Owner(b) == l.cfg.Self.ID {
			bucketsOfLost[owner] = append(bucketsOfLost[owner], b)
		}
	}
	for owner, buckets := range bucketsOfLost {
		v := l.bundleHistory.seen[owner]
		if b := l.bundleHistory.find(v); b != nil && v != inForce.Version {
			l.installBase(buckets, l.baseOf(b))
		}
	}
}

// baseOf returns the default targets that a bundle gives in this data centre.
func (l *Loop) baseOf(b *bundle.Bundle) *forward.Baseline {
	base := &forward.Baseline{}
	for _, info := range b.ServiceInfos() {
		s := forward.BaselineService{Service: info.ID}
		for _, t := range info.Resolved {
			if t.DataCentre == l.cfg.Self.DataCentre {
				s.Targets = append(s.Targets, forward.BaselineTarget{ID: t.ID, Weight: t.Weight, Drain: t.Drain})
			}
		}
		base.Services = append(base.Services, s)
	}
	return base
}

func (l *Loop) installBase(buckets []ownership.Bucket, base *forward.Baseline) {
	for _, b := range buckets {
		l.cfg.Engine.InstallBaseline(b%ownership.BucketCount, base)
	}
}

// sendBases sends the default targets of the idle flows in buckets to their new owner. The messages precede the grant on
// the same connection, so that they arrive first.
func (l *Loop) sendBases(to membership.HostID, buckets []ownership.Bucket) {
	type group struct {
		base    *forward.Baseline
		buckets []ownership.Bucket
	}
	var groups []group
	for _, b := range buckets {
		base := l.cfg.Engine.Baseline(l.now, b)
		if base == nil {
			continue
		}
		found := false
		for i := range groups {
			if groups[i].base.Equal(base) {
				groups[i].buckets, found = append(groups[i].buckets, b), true
				break
			}
		}
		if !found {
			groups = append(groups, group{base: base, buckets: []ownership.Bucket{b}})
		}
	}
	for _, g := range groups {
		l.send(to, &peer.BucketBase{Buckets: g.buckets, Services: g.base.Services, Recent: g.base.Recent})
	}
}
