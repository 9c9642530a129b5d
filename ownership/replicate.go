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
	batchAge        = 80 * time.Millisecond // of the oldest addition; with a tick every 20 ms, batches are at most 100 ms apart
	removalInterval = 2 * time.Second       // a copy of an ended flow does no harm; removals wait for company
	resendAfter     = time.Second
	resyncRate      = 4 << 10 // bytes per second, for the copies that a new backup needs
	resyncBurst     = 1 << 10

	// stagedRate is for flows whose default target a staged bundle changes. Until they are copied, the loss of their
	// owner breaks them: a change for a third of 300,000 flows takes 50 s.
	stagedRate    = 16 << 10 // bytes per second
	maxBatchFlows = 2048     // additions in one batch; at most 50 KB with IPv6 callers
	maxUnacked    = 64       // batches per stream; beyond it, changes wait
	minStaged     = 32       // staged additions that are worth a batch of their own
	additionBytes = 8        // typical encoded addition, for pacing
	startBytes    = 4        // typical encoded start and completion of a bucket, for pacing
)

// SendBatch sends a batch to a backup.
type SendBatch struct {
	To    membership.HostID
	Batch Batch
}

func (SendBatch) effect() {}

type bucketCopy struct {
	flows  map[flow.Key]flow.TargetID
	backup membership.HostID
	owned  bool
}

// Replicator copies the exceptions of the owned buckets to their backups. It is not safe for use by several goroutines.
type Replicator struct {
	self    membership.HostID
	epoch   uint64
	buckets [BucketCount]bucketCopy
	streams map[membership.HostID]*stream
	retired map[flow.TargetID]RetiredTarget
	tokens  float64 // bytes that may be spent on resync
	staged  float64 // bytes that may be spent on staged exceptions
	filled  time.Duration
}

// NewReplicator returns a replicator. Epoch must be higher than in any earlier life of the process; the incarnation
// at start is.
func NewReplicator(self membership.HostID, epoch uint64) *Replicator {
	return &Replicator{
		self: self, epoch: epoch, streams: make(map[membership.HostID]*stream),
		retired: make(map[flow.TargetID]RetiredTarget),
	}
}

// Add records a new exception, or a changed target. It is sent with the next batch.
func (r *Replicator) Add(now time.Duration, e Exception) {
	if s := r.record(e); s != nil {
		s.add(now, e)
	}
}

// AddStaged records a running flow that becomes an exception when a staged bundle comes into force. There can be many
// at once, so they are paced.
func (r *Replicator) AddStaged(e Exception) {
	if s := r.record(e); s != nil && s.started[e.Bucket()] {
		s.staged = append(s.staged, e)
	}
}

// record stores an exception and returns the stream that must carry it, nil when there is none or nothing is new.
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

// AddRetired records the address of a target that the bundle no longer holds.
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

// SetOwnership follows a change of the map or of the bucket states. A bucket that left this member is forgotten; a
// bucket with another backup is sent to it anew.
func (r *Replicator) SetOwnership(now time.Duration, m *Map, states *[BucketCount]BucketState) {
	for b := range r.buckets {
		k := &r.buckets[b]
		if states[b].Role != RoleOwner {
			if k.owned {
				r.detach(Bucket(b))
				*k = bucketCopy{}
			}
			continue
		}
		backup := m.Backup(Bucket(b))
		if m.Owner(Bucket(b)) != r.self {
			backup = k.backup // the bucket waits for its claim
		}
		if k.owned && backup == k.backup {
			continue
		}
		r.detach(Bucket(b))
		k.owned, k.backup = true, backup
		if backup != 0 {
			s := r.stream(now, backup)
			s.resync = append(s.resync, Bucket(b))
		}
	}
	for id := range r.streams {
		if !m.Contains(id) {
			delete(r.streams, id)
		}
	}
}

// detach takes a bucket out of the stream to its backup so far.
func (r *Replicator) detach(b Bucket) {
	k := &r.buckets[b]
	if s := r.streams[k.backup]; s != nil {
		s.forget(b, k.flows)
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

// Acked handles an ack of a backup.
func (r *Replicator) Acked(now time.Duration, from membership.HostID, a BatchAck) {
	if s := r.streams[from]; s != nil && s.epoch == a.Epoch {
		s.acked(now, a.Sequence)
	}
}

// Drained reports that every change has been acknowledged, so that a leaving member may stop.
func (r *Replicator) Drained() bool {
	for _, s := range r.streams {
		if len(s.unacked) > 0 || len(s.added) > 0 || len(s.staged) > 0 || len(s.resync) > 0 {
			return false
		}
	}
	return true
}

// InSync returns the number of owned buckets and how many of them have all copies acknowledged by a backup.
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

// Tick returns the batches that are due. Call it every 20 ms.
func (r *Replicator) Tick(now time.Duration) []SendBatch {
	r.tokens = min(r.tokens+resyncRate*(now-r.filled).Seconds(), resyncBurst)
	r.staged = min(r.staged+stagedRate*(now-r.filled).Seconds(), resyncBurst)
	r.filled = now
	var out []SendBatch
	for _, to := range sortedIDs(r.streams) {
		s := r.streams[to]
		if b, ok := s.resend(now); ok {
			out = append(out, b.to(to)...)
		}
		if len(s.unacked) >= maxUnacked {
			continue
		}
		c := s.fresh(now, r.retired)
		r.fillStaged(s, c)
		r.fillResync(s, c)
		if b, ok := s.seal(now, c); ok {
			out = append(out, SendBatch{To: to, Batch: b})
		}
	}
	return out
}

func (r *Replicator) fillStaged(s *stream, c *changes) {
	n := min(len(s.staged), maxBatchFlows, max(0, int(r.staged/additionBytes)))
	if n == 0 || n < len(s.staged) && n < minStaged {
		return
	}
	for _, e := range s.staged[:n] {
		if t, found := r.buckets[e.Bucket()].flows[e.Key]; found && t == e.Target {
			s.append(c, e)
		}
	}
	s.staged = s.staged[n:]
	r.staged -= float64(n * additionBytes)
}

// fillResync adds the exceptions of buckets that the backup lacks, as far as the byte rate and the size of a batch
// allow. A large bucket takes several batches; it is complete after the last.
func (r *Replicator) fillResync(s *stream, c *changes) {
	for len(s.resync) > 0 && r.tokens > 0 && len(c.added) < maxBatchFlows {
		b := s.resync[0]
		flows := r.buckets[b].flows
		if !s.started[b] {
			s.started[b] = true
			c.start = append(c.start, b)
			s.resyncing = slices.Collect(maps.Keys(flows))
			r.tokens -= startBytes
		}
		n := min(len(s.resyncing), maxBatchFlows-len(c.added))
		for _, key := range s.resyncing[:n] {
			if _, sent := s.ids[key]; sent {
				continue
			}
			if target, found := flows[key]; found {
				s.append(c, Exception{Key: key, Target: target})
				r.tokens -= additionBytes
			}
		}
		if s.resyncing = s.resyncing[n:]; len(s.resyncing) == 0 {
			c.complete = append(c.complete, b)
			s.resync = s.resync[1:]
		}
	}
	slices.Sort(c.start)
	slices.Sort(c.complete)
}
