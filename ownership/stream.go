package ownership

import (
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// stream is the sending side of the stream of copies to one backup.
type stream struct {
	epoch, sequence uint64
	nextID          uint32
	ids             map[flow.Key]uint32 // numbers of the copies that have been sent
	endpoints       map[flow.EndpointID]uint32
	targets         map[flow.TargetID]uint32
	retiredSent     map[flow.TargetID]bool

	added       []Exception
	addedAt     time.Duration // time of the oldest entry of added
	staged      []Exception   // additions limited to stagedRate
	removed     []uint32
	removedAt   time.Duration // time of the oldest entry of removed
	resyncQueue []Bucket
	resyncKeys  []flow.Key      // keys of the first bucket of resyncQueue that are still to be sent
	started     map[Bucket]bool // buckets whose start has been sent
	synced      map[Bucket]bool // buckets whose completion has been acknowledged
	unacked     []sentBatch
	progressAt  time.Duration
}

// sentBatch is a batch that has not been acknowledged.
type sentBatch struct {
	batch    Batch
	complete []Bucket
}

type batches []Batch

func (b batches) addressTo(id membership.HostID) []SendBatch {
	out := make([]SendBatch, len(b))
	for i := range b {
		out[i] = SendBatch{To: id, Batch: b[i]}
	}
	return out
}

func newStream(epoch uint64, now time.Duration) *stream {
	return &stream{
		epoch: epoch, ids: make(map[flow.Key]uint32), endpoints: make(map[flow.EndpointID]uint32),
		targets: make(map[flow.TargetID]uint32), retiredSent: make(map[flow.TargetID]bool),
		started: make(map[Bucket]bool), synced: make(map[Bucket]bool), progressAt: now,
	}
}

func (s *stream) add(now time.Duration, e Exception) {
	if !s.started[e.Bucket()] {
		return // the resync of the bucket will include it
	}
	if len(s.added) == 0 {
		s.addedAt = now
	}
	s.added = append(s.added, e)
}

func (s *stream) remove(now time.Duration, key flow.Key) {
	s.added = slices.DeleteFunc(s.added, func(e Exception) bool { return e.Key == key })
	id, found := s.ids[key]
	if !found {
		return
	}
	delete(s.ids, key)
	if len(s.removed) == 0 {
		s.removedAt = now
	}
	s.removed = append(s.removed, id)
}

// dropBucket drops the state of a bucket that this stream no longer carries.
func (s *stream) dropBucket(b Bucket, flows map[flow.Key]flow.TargetID) {
	delete(s.started, b)
	delete(s.synced, b)
	for key := range flows {
		delete(s.ids, key)
	}
	s.added = slices.DeleteFunc(s.added, func(e Exception) bool { return e.Bucket() == b })
	s.staged = slices.DeleteFunc(s.staged, func(e Exception) bool { return e.Bucket() == b })
	if len(s.resyncQueue) > 0 && s.resyncQueue[0] == b {
		s.resyncKeys = nil
	}
	s.resyncQueue = slices.DeleteFunc(s.resyncQueue, func(other Bucket) bool { return other == b })
}

// takeDue removes the changes that are due from the queues and returns them.
func (s *stream) takeDue(now time.Duration, retired map[flow.TargetID]RetiredTarget) *changes {
	c := &changes{firstID: s.nextID}
	due := len(s.added) > 0 && now-s.addedAt >= batchDelay
	if due {
		n := min(len(s.added), maxBatchFlows)
		for _, e := range s.added[:n] {
			s.append(c, e)
		}
		s.added = slices.Clone(s.added[n:])
	}
	if len(s.removed) > 0 && (due || now-s.removedAt >= removalDelay) {
		n := min(len(s.removed), maxBatchFlows)
		c.removed = slices.Sorted(slices.Values(s.removed[:n]))
		s.removed = slices.Clone(s.removed[n:])
	}
	for id, t := range retired {
		if _, used := s.targets[id]; used && !s.retiredSent[id] {
			s.retiredSent[id] = true
			c.retired = append(c.retired, t)
		}
	}
	return c
}

// append adds an exception to c under the next number.
func (s *stream) append(c *changes, e Exception) {
	a := addition{caller: e.Key.Caller, port: e.Key.CallerPort}
	var isNew bool
	if a.endpoint, isNew = dictionaryIndex(s.endpoints, e.Key.Endpoint); isNew {
		c.endpoints = append(c.endpoints, e.Key.Endpoint)
	}
	if a.target, isNew = dictionaryIndex(s.targets, e.Target); isNew {
		c.targets = append(c.targets, e.Target)
	}
	c.added = append(c.added, a)
	s.ids[e.Key] = s.nextID
	s.nextID++
}

func dictionaryIndex[K comparable](m map[K]uint32, k K) (uint32, bool) {
	i, found := m[k]
	if !found {
		i = uint32(len(m))
		m[k] = i
	}
	return i, !found
}

// makeBatch makes the next batch from changes and reports whether there are any.
func (s *stream) makeBatch(now time.Duration, c *changes) (Batch, bool) {
	if len(c.start)+len(c.complete)+len(c.retired)+len(c.added)+len(c.removed) == 0 {
		return Batch{}, false
	}
	s.sequence++
	batch := Batch{Epoch: s.epoch, Sequence: s.sequence, Data: c.encode()}
	if len(s.unacked) == 0 {
		s.progressAt = now
	}
	s.unacked = append(s.unacked, sentBatch{batch: batch, complete: c.complete})
	return batch, true
}

func (s *stream) acked(now time.Duration, sequence uint64) {
	n := 0
	for n < len(s.unacked) && s.unacked[n].batch.Sequence <= sequence {
		for _, b := range s.unacked[n].complete {
			s.synced[b] = true
		}
		n++
	}
	if n > 0 {
		s.unacked, s.progressAt = slices.Clone(s.unacked[n:]), now
	}
}

// resend returns the batches to resend if the backup has acknowledged nothing for resendTimeout.
func (s *stream) resend(now time.Duration) (batches, bool) {
	if len(s.unacked) == 0 || now-s.progressAt < resendTimeout {
		return nil, false
	}
	s.progressAt = now
	var out batches
	for _, u := range s.unacked[:min(len(s.unacked), 8)] {
		out = append(out, u.batch)
	}
	return out, true
}
