package ownership

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Scheme is a replication scheme: it determines which flows are copied to which members. Replicator copies exceptions to
// the backup; PureHash and FullReplica are baselines for comparison.
type Scheme interface {
	Name() string
	// Opened records a new flow. exception tells whether its target differs from its default target.
	Opened(now time.Duration, e Exception, exception bool)
	// Staged records an open flow that becomes an exception when a staged bundle comes into force.
	Staged(now time.Duration, e Exception)
	// Closed records the end of a flow.
	Closed(now time.Duration, key flow.Key)
	// SetOwnership applies a change of the map or of the bucket states.
	SetOwnership(now time.Duration, m *Map, states *[BucketCount]BucketState)
	// Tick returns the batches that are due.
	Tick(now time.Duration) []SendBatch
	// Acked processes an ack from another member.
	Acked(now time.Duration, from membership.HostID, a BatchAck)
}

// Name returns "exceptions".
func (r *Replicator) Name() string { return "exceptions" }

// Opened copies the flow if it is an exception.
func (r *Replicator) Opened(now time.Duration, e Exception, exception bool) {
	if exception {
		r.Add(now, e)
	}
}

// Staged copies the flow.
func (r *Replicator) Staged(_ time.Duration, e Exception) { r.AddStaged(e) }

// Closed removes the copy of the flow.
func (r *Replicator) Closed(now time.Duration, key flow.Key) { r.Remove(now, key) }

// PureHash copies nothing: every flow uses its default target.
type PureHash struct{}

// Name returns "purehash".
func (PureHash) Name() string { return "purehash" }

// Opened does nothing.
func (PureHash) Opened(time.Duration, Exception, bool) {}

// Staged does nothing.
func (PureHash) Staged(time.Duration, Exception) {}

// Closed does nothing.
func (PureHash) Closed(time.Duration, flow.Key) {}

// SetOwnership does nothing.
func (PureHash) SetOwnership(time.Duration, *Map, *[BucketCount]BucketState) {}

// Tick returns nothing.
func (PureHash) Tick(time.Duration) []SendBatch { return nil }

// Acked does nothing.
func (PureHash) Acked(time.Duration, membership.HostID, BatchAck) {}

// FullReplica copies every flow to every other member.
type FullReplica struct {
	self        membership.HostID
	epoch       uint64
	replicators map[membership.HostID]*Replicator
	owned       [BucketCount]bool
	flows       [BucketCount]map[flow.Key]flow.TargetID
}

// NewFullReplica returns a scheme without flows. The epoch is as for NewReplicator.
func NewFullReplica(self membership.HostID, epoch uint64) *FullReplica {
	return &FullReplica{self: self, epoch: epoch, replicators: make(map[membership.HostID]*Replicator)}
}

// Name returns "fullreplica".
func (f *FullReplica) Name() string { return "fullreplica" }

// Opened copies the flow to every member.
func (f *FullReplica) Opened(now time.Duration, e Exception, _ bool) {
	flows := &f.flows[e.Bucket()]
	if *flows == nil {
		*flows = make(map[flow.Key]flow.TargetID)
	}
	(*flows)[e.Key] = e.Target
	for _, r := range f.replicators {
		r.Add(now, e)
	}
}

// Staged does nothing: the flow has already been copied.
func (f *FullReplica) Staged(time.Duration, Exception) {}

// Closed removes the copies of the flow.
func (f *FullReplica) Closed(now time.Duration, key flow.Key) {
	delete(f.flows[BucketOf(key.Hash())], key)
	for _, r := range f.replicators {
		r.Remove(now, key)
	}
}

// SetOwnership drops the flows of buckets that this member no longer owns, and starts a full copy to each new member.
func (f *FullReplica) SetOwnership(now time.Duration, m *Map, states *[BucketCount]BucketState) {
	for b := range f.owned {
		f.owned[b] = states[b].Role == RoleOwner
		if !f.owned[b] {
			f.flows[b] = nil
		}
	}
	for id := range f.replicators {
		if !m.Contains(id) {
			delete(f.replicators, id)
		}
	}
	for _, id := range m.Members() {
		if id == f.self {
			continue
		}
		if f.replicators[id] == nil {
			f.epoch++
			f.replicators[id] = NewReplicator(f.self, f.epoch)
			f.copyAll(now, f.replicators[id])
		}
		f.replicators[id].SetOwnership(now, f.pairMap(id), states)
	}
}

func (f *FullReplica) copyAll(now time.Duration, r *Replicator) {
	for b := range f.flows {
		for key, target := range f.flows[b] {
			r.Add(now, Exception{Key: key, Target: target})
		}
	}
}

// pairMap returns a map in which this member owns every bucket and id is the backup of every bucket.
func (f *FullReplica) pairMap(id membership.HostID) *Map {
	m := &Map{members: []membership.HostID{min(f.self, id), max(f.self, id)}}
	for b := range m.owner {
		m.owner[b], m.backup[b] = f.self, id
	}
	return m
}

// Tick returns the batches that are due.
func (f *FullReplica) Tick(now time.Duration) []SendBatch {
	var out []SendBatch
	for _, id := range sortedIDs(f.replicators) {
		out = append(out, f.replicators[id].Tick(now)...)
	}
	return out
}

// Acked passes an ack to the replicator of its sender.
func (f *FullReplica) Acked(now time.Duration, from membership.HostID, a BatchAck) {
	if r := f.replicators[from]; r != nil {
		r.Acked(now, from, a)
	}
}
