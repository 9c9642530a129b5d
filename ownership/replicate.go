package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// Timing and bounds of replication.
const (
	batchDelay    = 80 * time.Millisecond // age of the oldest addition that triggers a batch; at most 100 ms with a 20 ms tick
	removalDelay  = 2 * time.Second       // the copy of an ended flow is harmless, so removals are batched for longer
	resendTimeout = time.Second
	resyncRate    = 4 << 10 // bytes per second, for the copies that a new backup needs
	resyncBurst   = 1 << 10

	// stagedRate limits the copies of flows whose default target a staged bundle changes. Until they are copied, the loss
	// of their owner breaks them: a change that affects a third of 300,000 flows takes 50 s.
	stagedRate     = 16 << 10 // bytes per second
	maxBatchFlows  = 2048     // additions in one batch; at most 50 KB with IPv6 callers
	maxUnacked     = 64       // batches per stream; further changes are queued
	minStagedBatch = 32       // fewest staged additions that are sent as a batch, unless no more are queued
	additionBytes  = 8        // typical size of an encoded addition, for rate limiting
	startBytes     = 4        // typical size of the encoded start and completion of a bucket, for rate limiting
)

// SendBatch sends a batch to a backup.
type SendBatch struct {
	To    membership.HostID
	Batch Batch
}

func (SendBatch) effect() {}

type bucketFlows struct {
	flows  map[flow.Key]flow.TargetID
	backup membership.HostID
	owned  bool
}

// Replicator copies the exceptions of the owned buckets to their backups. It is not safe for concurrent use.
type Replicator struct {
	self         membership.HostID
	epoch        uint64
	buckets      [BucketCount]bucketFlows
	streams      map[membership.HostID]*stream
	retired      map[flow.TargetID]RetiredTarget
	resyncTokens float64 // token bucket of resync, in bytes
	stagedTokens float64 // token bucket of staged exceptions, in bytes
	refilledAt   time.Duration
}

// NewReplicator returns a replicator without exceptions. The epoch must be higher than in any earlier run of the process;
// the incarnation at start meets this.
func NewReplicator(self membership.HostID, epoch uint64) *Replicator {
	return &Replicator{
		self: self, epoch: epoch, streams: make(map[membership.HostID]*stream),
		retired: make(map[flow.TargetID]RetiredTarget),
	}
}

// Add records a new exception, or the new target of one, and sends it with the next batch.
func (r *Replicator) Add(now time.Duration, e Exception) {
	if s := r.record(e); s != nil {
		s.add(now, e)
	}
}

// AddStaged records an open flow that becomes an exception when a staged bundle comes into force. There can be many at
// once, so their copies are limited to stagedRate.
func (r *Replicator) AddStaged(e Exception) {
	if s := r.record(e); s != nil && s.started[e.Bucket()] {
		s.staged = append(s.staged, e)
	}
}

// record stores an exception and returns the stream to send it on, or nil if there is none or the exception is unchanged.
func (r *Replicator) record(e Exception) *stream {
	k := &r.buckets[e.Bucket()]
	if k.flows == nil {
		k.flows = make(map[flow.Key]flow.TargetID)
	}
	if t, found := k.flows[e.Key]; found && t == e.Target || !k.owned {
		k.flows[e.Key] = e.Target
		return nil
	}
	k.flows[e.Key] = e.Target
	return r.streams[k.backup]
}

// AddRetired records the address of a target that the bundle no longer contains.
func (r *Replicator) AddRetired(t RetiredTarget) { r.retired[t.ID] = t }

// Remove records the end of an exception.
func (r *Replicator) Remove(now time.Duration, key flow.Key) {
	k := &r.buckets[BucketOf(key.Hash())]
	if _, found := k.flows[key]; !found {
		return
	}
	delete(k.flows, key)
	if s := r.streams[k.backup]; s != nil {
		s.remove(now, key)
	}
}

// SetOwnership applies a change of the map or of the bucket states. The exceptions of a bucket that this member no longer
// owns are dropped; a bucket with a new backup is copied to it in full.
func (r *Replicator) SetOwnership(now time.Duration, m *Map, states *[BucketCount]BucketState) {
	for b := range r.buckets {
		k := &r.buckets[b]
		if states[b].Role != RoleOwner {
			if k.owned {
				r.detach(Bucket(b))
				*k = bucketFlows{}
			}
			continue
		}
		backup := m.Backup(Bucket(b))
		if m.Owner(Bucket(b)) != r.self {
			backup = k.backup // the owner in the map has not claimed the bucket yet
		}
		if k.owned && backup == k.backup {
			continue
		}
		r.detach(Bucket(b))
		k.owned, k.backup = true, backup
		if backup != 0 {
			s := r.stream(now, backup)
			s.resyncQueue = append(s.resyncQueue, Bucket(b))
		}
	}
	for id := range r.streams {
		if !m.Contains(id) {
			delete(r.streams, id)
		}
	}
}

// detach removes a bucket from the stream to its present backup.
func (r *Replicator) detach(b Bucket) {
	k := &r.buckets[b]
	if s := r.streams[k.backup]; s != nil {
		s.dropBucket(b, k.flows)
	}
}

func (r *Replicator) stream(now time.Duration, to membership.HostID) *stream {
	s := r.streams[to]
	if s == nil {
		r.epoch++
		s = newStream(r.epoch, now)
		r.streams[to] = s
	}
	return s
}

// Acked processes an ack from a backup. Acks of other epochs are ignored.
func (r *Replicator) Acked(now time.Duration, from membership.HostID, a BatchAck) {
	if s := r.streams[from]; s != nil && s.epoch == a.Epoch {
		s.acked(now, a.Sequence)
	}
}

// Drained reports whether every addition and every batch sent has been acknowledged, so that a leaving member can stop.
func (r *Replicator) Drained() bool {
	for _, s := range r.streams {
		if len(s.unacked) > 0 || len(s.added) > 0 || len(s.staged) > 0 || len(s.resyncQueue) > 0 {
			return false
		}
	}
	return true
}

// InSync returns the number of owned buckets and how many of them have been copied in full and acknowledged by a backup.
func (r *Replicator) InSync() (owned, synced int) {
	for b := range r.buckets {
		k := &r.buckets[b]
		if !k.owned {
			continue
		}
		owned++
		if s := r.streams[k.backup]; s != nil && s.synced[Bucket(b)] {
			synced++
		}
	}
	return owned, synced
}

// Tick returns the batches that are due. It must be called every 20 ms.
func (r *Replicator) Tick(now time.Duration) []SendBatch {
	r.resyncTokens = min(r.resyncTokens+resyncRate*(now-r.refilledAt).Seconds(), resyncBurst)
	r.stagedTokens = min(r.stagedTokens+stagedRate*(now-r.refilledAt).Seconds(), resyncBurst)
	r.refilledAt = now
	var out []SendBatch
	for _, to := range sortedIDs(r.streams) {
		s := r.streams[to]
		if b, ok := s.resend(now); ok {
			out = append(out, b.addressTo(to)...)
		}
		if len(s.unacked) >= maxUnacked {
			continue
		}
		c := s.takeDue(now, r.retired)
		r.appendStaged(s, c)
		r.appendResync(s, c)
		if b, ok := s.makeBatch(now, c); ok {
			out = append(out, SendBatch{To: to, Batch: b})
		}
	}
	return out
}

func (r *Replicator) appendStaged(s *stream, c *changes) {
	n := min(len(s.staged), maxBatchFlows, max(0, int(r.stagedTokens/additionBytes)))
	if n == 0 || n < len(s.staged) && n < minStagedBatch {
		return
	}
	for _, e := range s.staged[:n] {
		if t, found := r.buckets[e.Bucket()].flows[e.Key]; found && t == e.Target {
			s.append(c, e)
		}
	}
	s.staged = s.staged[n:]
	r.stagedTokens -= float64(n * additionBytes)
}

// appendResync adds the exceptions of buckets that the backup lacks, within resyncRate and the size of a batch. A large
// bucket takes several batches and is complete after the last.
func (r *Replicator) appendResync(s *stream, c *changes) {
	for len(s.resyncQueue) > 0 && r.resyncTokens > 0 && len(c.added) < maxBatchFlows {
		b := s.resyncQueue[0]
		flows := r.buckets[b].flows
		if !s.started[b] {
			s.started[b] = true
			c.start = append(c.start, b)
			s.resyncKeys = slices.Collect(maps.Keys(flows))
			r.resyncTokens -= startBytes
		}
		n := min(len(s.resyncKeys), maxBatchFlows-len(c.added))
		for _, key := range s.resyncKeys[:n] {
			if _, sent := s.ids[key]; sent {
				continue
			}
			if target, found := flows[key]; found {
				s.append(c, Exception{Key: key, Target: target})
				r.resyncTokens -= additionBytes
			}
		}
		if s.resyncKeys = s.resyncKeys[n:]; len(s.resyncKeys) == 0 {
			c.complete = append(c.complete, b)
			s.resyncQueue = s.resyncQueue[1:]
		}
	}
	slices.Sort(c.start)
	slices.Sort(c.complete)
}
