package ownership

import (
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// stream is the sending side of the copies to one backup.
type stream struct {
	epoch, sequence uint64
	nextID          uint32
	ids             map[flow.Key]uint32 // numbers of the copies that the backup has been sent
	endpoints       map[flow.EndpointID]uint32
	targets         map[flow.TargetID]uint32
	retiredSent     map[flow.TargetID]bool

	added      []Exception
	addedAt    time.Duration // oldest of added
	staged     []Exception   // additions that are paced
	removed    []uint32
	removedAt  time.Duration // oldest of removed
	resync     []Bucket
	resyncing  []flow.Key      // rest of the first bucket of resync
	started    map[Bucket]bool // buckets whose start has been sent
	synced     map[Bucket]bool // buckets whose completion has been acknowledged
	unacked    []sealed
	progressAt time.Duration
}

// sealed is a batch that waits for its ack.
type sealed struct {
	batch    Batch
	complete []Bucket
}

type batches []Batch

func (b batches) to(id membership.HostID) []SendBatch {
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

// forget drops what was sent of a bucket that this stream no longer carries.
func (s *stream) forget(b Bucket, flows map[flow.Key]flow.TargetID) {
	delete(s.started, b)
	delete(s.synced, b)
	for key := range flows {
		delete(s.ids, key)
	}
	s.added = slices.DeleteFunc(s.added, func(e Exception) bool { return e.Bucket() == b })
	s.staged = slices.DeleteFunc(s.staged, func(e Exception) bool { return e.Bucket() == b })
	if len(s.resync) > 0 && s.resync[0] == b {
		s.resyncing = nil
	}
	s.resync = slices.DeleteFunc(s.resync, func(other Bucket) bool { return other == b })
}

// fresh takes the changes that are due.
func (s *stream) fresh(now time.Duration, retired map[flow.TargetID]RetiredTarget) *changes {
	c := &changes{firstID: s.nextID}
	due := len(s.added) > 0 && now-s.addedAt >= batchAge
	if due {
		n := min(len(s.added), maxBatchFlows)
		for _, e := range s.added[:n] {
			s.append(c, e)
		}
		s.added = slices.Clone(s.added[n:])
	}
	if len(s.removed) > 0 && (due || now-s.removedAt >= removalInterval) {
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

// append adds an exception under the next number.
func (s *stream) append(c *changes, e Exception) {
	a := addition{caller: e.Key.Caller, port: e.Key.CallerPort}
	var fresh bool
	if a.endpoint, fresh = position(s.endpoints, e.Key.Endpoint); fresh {
		c.endpoints = append(c.endpoints, e.Key.Endpoint)
	}
	if a.target, fresh = position(s.targets, e.Target); fresh {
		c.targets = append(c.targets, e.Target)
	}
	c.added = append(c.added, a)
	s.ids[e.Key] = s.nextID
	s.nextID++
}

func position[K comparable](m map[K]uint32, k K) (uint32, bool) {
	i, found := m[k]
	if !found {
		i = uint32(len(m))
		m[k] = i
	}
	return i, !found
}

// seal makes a batch of changes, if there are any.
func (s *stream) seal(now time.Duration, c *changes) (Batch, bool) {
	if len(c.start)+len(c.complete)+len(c.retired)+len(c.added)+len(c.removed) == 0 {
		return Batch{}, false
	}
	s.sequence++
	batch := Batch{Epoch: s.epoch, Sequence: s.sequence, Data: c.encode()}
	if len(s.unacked) == 0 {
		s.progressAt = now
	}
	s.unacked = append(s.unacked, sealed{batch: batch, complete: c.complete})
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

// resend returns the batches to send again when the backup has acknowledged nothing for a while.
func (s *stream) resend(now time.Duration) (batches, bool) {
	if len(s.unacked) == 0 || now-s.progressAt < resendAfter {
		return nil, false
	}
	s.progressAt = now
	var out batches
	for _, u := range s.unacked[:min(len(s.unacked), 8)] {
		out = append(out, u.batch)
	}
	return out, true
}
