package ownership

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Scheme decides which flows are copied to which members. Replicator copies exceptions to the backup; PureHash and
// FullReplica are baselines to compare it with.
type Scheme interface {
	Name() string
	// Opened records a new flow. exception tells that its target is not its default target.
	Opened(now time.Duration, e Exception, exception bool)
	// Staged records a running flow that a staged bundle turns into an exception.
	Staged(now time.Duration, e Exception)
	// Closed records the end of a flow.
	Closed(now time.Duration, key flow.Key)
	// SetOwnership follows a change of the map or of the bucket states.
	SetOwnership(now time.Duration, m *Map, states *[BucketCount]BucketState)
	// Tick returns the batches that are due.
	Tick(now time.Duration) []SendBatch
	// Acked handles an ack.
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

// Closed ends the copy of a flow.
func (r *Replicator) Closed(now time.Duration, key flow.Key) { r.Remove(now, key) }

// PureHash copies nothing: every flow goes to its default target.
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
	self    membership.HostID
	epoch   uint64
	copies  map[membership.HostID]*Replicator
	owned   [BucketCount]bool
	current [BucketCount]map[flow.Key]flow.TargetID
}

// NewFullReplica returns a scheme without flows. Epoch is that of NewReplicator.
func NewFullReplica(self membership.HostID, epoch uint64) *FullReplica {
	return &FullReplica{self: self, epoch: epoch, copies: make(map[membership.HostID]*Replicator)}
}

// Name returns "fullreplica".
func (f *FullReplica) Name() string { return "fullreplica" }

// Opened copies the flow to every member.
func (f *FullReplica) Opened(now time.Duration, e Exception, _ bool) {
	flows := &f.current[e.Bucket()]
	if *flows == nil {
		*flows = make(map[flow.Key]flow.TargetID)
	}
	(*flows)[e.Key] = e.Target
	for _, r := range f.copies {
		r.Add(now, e)
	}
}

// Staged does nothing: the flow has been copied.
func (f *FullReplica) Staged(time.Duration, Exception) {}

// Closed ends the copies of the flow.
func (f *FullReplica) Closed(now time.Duration, key flow.Key) {
	delete(f.current[BucketOf(key.Hash())], key)
	for _, r := range f.copies {
		r.Remove(now, key)
	}
}

// SetOwnership starts a full copy to each new member.
func (f *FullReplica) SetOwnership(now time.Duration, m *Map, states *[BucketCount]BucketState) {
	for b := range f.owned {
		f.owned[b] = states[b].Role == RoleOwner
		if !f.owned[b] {
			f.current[b] = nil
		}
	}
	for id := range f.copies {
		if !m.Contains(id) {
			delete(f.copies, id)
		}
	}
	for _, id := range m.Members() {
		if id == f.self {
			continue
		}
		if f.copies[id] == nil {
			f.epoch++
			f.copies[id] = NewReplicator(f.self, f.epoch)
			f.refill(now, f.copies[id])
		}
		f.copies[id].SetOwnership(now, f.pair(id), states)
	}
}

func (f *FullReplica) refill(now time.Duration, r *Replicator) {
	for b := range f.current {
		for key, target := range f.current[b] {
			r.Add(now, Exception{Key: key, Target: target})
		}
	}
}

// pair is a map in which this member owns everything and id is the backup of everything.
func (f *FullReplica) pair(id membership.HostID) *Map {
	m := &Map{members: []membership.HostID{min(f.self, id), max(f.self, id)}}
	for b := range m.owner {
		m.owner[b], m.backup[b] = f.self, id
	}
	return m
}

// Tick returns the batches that are due.
func (f *FullReplica) Tick(now time.Duration) []SendBatch {
	var out []SendBatch
	for _, id := range sortedIDs(f.copies) {
		out = append(out, f.copies[id].Tick(now)...)
	}
	return out
}

// Acked passes an ack to the copy that it belongs to.
func (f *FullReplica) Acked(now time.Duration, from membership.HostID, a BatchAck) {
	if r := f.copies[from]; r != nil {
		r.Acked(now, from, a)
	}
}
