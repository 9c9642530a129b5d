package control

import (
	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// maxBases is the number of earlier bundles whose defaults can still be looked up. A member that is declared gone has
// been silent for seconds, in which few bundles come into force.
const maxBases = 8

// bases remembers by which bundle other members placed their flows. Quiet flows of a lost member are on the defaults of
// the bundle that it had in force, which can be an earlier one than here.
type bases struct {
	seen    map[membership.HostID]uint64 // bundle version that each member last had in force
	bundles []*bundle.Bundle             // in force here, oldest first
}

func newBases() bases { return bases{seen: make(map[membership.HostID]uint64)} }

func (x *bases) remember(b *bundle.Bundle) {
	x.bundles = append(x.bundles, b)
	if len(x.bundles) > maxBases {
		x.bundles = x.bundles[1:]
	}
}

func (x *bases) version(v uint64) *bundle.Bundle {
	for _, b := range x.bundles {
		if b.Version == v {
			return b
		}
	}
	return nil
}

// installLostBases prepares the takeover of buckets whose owner is gone and had another bundle in force.
func (l *Loop) installLostBases(previous *ownership.Map) {
	inForce := l.rollout.InForce()
	if inForce == nil {
		return
	}
	lost := make(map[membership.HostID][]ownership.Bucket)
	for b := ownership.Bucket(0); b < ownership.BucketCount; b++ {
		if owner := previous.Owner(b); owner != 0 && owner != l.cfg.Self.ID && !l.owners.Contains(owner) && l.owners.Owner(b) == l.cfg.Self.ID {
			lost[owner] = append(lost[owner], b)
		}
	}
	for owner, buckets := range lost {
		v := l.bases.seen[owner]
		if b := l.bases.version(v); b != nil && v != inForce.Version {
			l.installBase(buckets, l.baseOf(b))
		}
	}
}

// baseOf returns the defaults of a bundle in this data centre.
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

// sendBases tells the new owner of buckets on which defaults their quiet flows are. It goes out before the grant, on the
// same connection.
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
