// Package ownership assigns every flow to the balancer that selects its target, and hands flows over between balancers.
//
// A flow hashes to a bucket. Rendezvous hashing ranks the members for every bucket; the first is the owner and the
// second the backup. When the owner leaves or fails, the backup is first in the new ranking, so the balancer that
// holds the copies becomes the owner without a consensus protocol.
package ownership

import (
	"slices"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// BucketCount is the number of buckets that flows are divided into. With 118 members, the size planned for one
// data centre, a member owns about 35 buckets, which keeps the spread of load between members near 17%.
const BucketCount = 4096

// Bucket is the number of a bucket, the unit in which ownership of flows moves between members.
type Bucket uint16

// BucketOf returns the bucket of a flow hash: its 12 most significant bits.
func BucketOf(hash uint64) Bucket {
	return Bucket(hash >> 52)
}

// Map is the owner and the backup of every bucket for one set of members. It is immutable.
type Map struct {
	members []membership.HostID
	owner   [BucketCount]membership.HostID
	backup  [BucketCount]membership.HostID
}

// Build ranks the members for every bucket. The order of members does not matter; duplicates are ignored.
func Build(members []membership.HostID) *Map {
	m := &Map{members: slices.Compact(slices.Sorted(slices.Values(members)))}
	for b := range m.owner {
		m.rank(b)
	}
	return m
}

func (m *Map) rank(b int) {
	var first, second uint64
	for _, id := range m.members {
		rank := score(id, Bucket(b))
		switch {
		case m.owner[b] == 0 || rank > first:
			m.backup[b], second = m.owner[b], first
			m.owner[b], first = id, rank
		case m.backup[b] == 0 || rank > second:
			m.backup[b], second = id, rank
		}
	}
}

// score returns the rendezvous hash of a member for a bucket; the member with the highest score owns it.
func score(id membership.HostID, b Bucket) uint64 { return flow.Mix(uint64(id), uint64(b)+1) }

// Owner returns the owner of the bucket, or 0 if there are no members.
func (m *Map) Owner(b Bucket) membership.HostID { return m.owner[b%BucketCount] }

// Backup returns the member that holds the copies of the bucket, or 0 if there are fewer than two members.
func (m *Map) Backup(b Bucket) membership.HostID { return m.backup[b%BucketCount] }

// Members returns the members in ascending order of ID. The caller must not change the slice.
func (m *Map) Members() []membership.HostID { return m.members }

// Contains reports whether id is one of the members.
func (m *Map) Contains(id membership.HostID) bool {
	_, found := slices.BinarySearch(m.members, id)
	return found
}
