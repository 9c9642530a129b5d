package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// unusedRetention is how long copies are kept after this member stopped being the backup: the new backup may still be
// receiving its copies, and if the owner fails meanwhile, the old ones are needed.
const unusedRetention = time.Minute

// maxCopies limits the copies that this member holds as a backup. At 34 bytes each plus the overhead of a map, they take
// about 64 MB.
const maxCopies = 500_000

// bucketCopies holds the copies of one bucket.
type bucketCopies struct {
	source      membership.HostID
	epoch       uint64
	flows       map[flow.Key]flow.TargetID
	complete    bool
	unusedSince time.Duration // time at which this member stopped being the backup, 0 while it is
}

// receiveStream is the receiving side of the stream of one owner.
type receiveStream struct {
	epoch, sequence uint64
	endpoints       []flow.EndpointID
	targets         []flow.TargetID
	keys            map[uint32]flow.Key
	ackDue          bool
}

// Store holds the exception copies for which this member is the backup. It is not safe for concurrent use.
type Store struct {
	buckets map[Bucket]*bucketCopies
	streams map[membership.HostID]*receiveStream
	retired map[flow.TargetID]RetiredTarget
	count   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		buckets: make(map[Bucket]*bucketCopies), streams: make(map[membership.HostID]*receiveStream),
		retired: make(map[flow.TargetID]RetiredTarget),
	}
}

// Len returns the number of copies held.
func (s *Store) Len() int { return s.count }

// SendAck sends an ack to an owner.
type SendAck struct {
	To  membership.HostID
	Ack BatchAck
}

// Acks returns the acks that are due. An ack covers all batches up to its sequence number, so call it every 200 to 500 ms
// rather than after each batch: with small batches the acks would take as many bytes as the batches.
func (s *Store) Acks() []SendAck {
	var out []SendAck
	for _, id := range sortedIDs(s.streams) {
		if in := s.streams[id]; in.ackDue {
			in.ackDue = false
			out = append(out, SendAck{To: id, Ack: BatchAck{Epoch: in.epoch, Sequence: in.sequence}})
		}
	}
	return out
}

// Apply applies a batch. A duplicate batch, or one after a gap, is ignored; the ack names the last batch applied, so that
// the owner resends from there. The error is non-nil if the batch cannot be decoded.
func (s *Store) Apply(from membership.HostID, b *Batch) error {
	in := s.streams[from]
	if in == nil || b.Epoch > in.epoch {
		in = &receiveStream{epoch: b.Epoch, keys: make(map[uint32]flow.Key)}
		s.streams[from] = in
	}
	if b.Epoch < in.epoch {
		return nil
	}
	in.ackDue = true
	if b.Sequence != in.sequence+1 {
		return nil
	}
	c, err := decodeChanges(b.Data)
	if err != nil {
		return err
	}
	if err := s.apply(from, in, c); err != nil {
		return err
	}
	in.sequence = b.Sequence
	return nil
}

func (s *Store) apply(from membership.HostID, in *receiveStream, c *changes) error {
	endpoints, targets := len(in.endpoints)+len(c.endpoints), len(in.targets)+len(c.targets)
	for i := range c.added {
		if int(c.added[i].endpoint) >= endpoints || int(c.added[i].target) >= targets {
			return errMalformedBatch
		}
	}
	in.endpoints, in.targets = append(in.endpoints, c.endpoints...), append(in.targets, c.targets...)
	for _, r := range c.retired {
		s.retired[r.ID] = r
	}
	for _, b := range c.start {
		s.dropBucket(b)
		s.buckets[b] = &bucketCopies{source: from, epoch: in.epoch, flows: make(map[flow.Key]flow.TargetID)}
	}
	for i := range c.added {
		a := &c.added[i]
		k := flow.Key{Caller: a.caller, Endpoint: in.endpoints[a.endpoint], CallerPort: a.port}
		in.keys[c.firstID+uint32(i)] = k
		s.add(from, in.epoch, k, in.targets[a.target])
	}
	for _, id := range c.removed {
		if k, found := in.keys[id]; found {
			delete(in.keys, id)
			s.remove(from, in.epoch, k)
		}
	}
	for _, b := range c.complete {
		if k := s.buckets[b]; k != nil && k.source == from && k.epoch == in.epoch {
			k.complete = true
		}
	}
	return nil
}

func (s *Store) add(from membership.HostID, epoch uint64, k flow.Key, t flow.TargetID) {
	c := s.buckets[BucketOf(k.Hash())]
	if c == nil || c.source != from || c.epoch != epoch {
		return // the owner sends the start of a bucket before additions to it, so the bucket has moved since
	}
	if _, found := c.flows[k]; !found {
		if s.count >= maxCopies {
			c.complete = false
			return
		}
		s.count++
	}
	c.flows[k] = t
}

func (s *Store) remove(from membership.HostID, epoch uint64, k flow.Key) {
	c := s.buckets[BucketOf(k.Hash())]
	if c == nil || c.source != from || c.epoch != epoch {
		return
	}
	if _, found := c.flows[k]; found {
		delete(c.flows, k)
		s.count--
	}
}

func (s *Store) dropBucket(b Bucket) {
	if c := s.buckets[b]; c != nil {
		s.count -= len(c.flows)
		delete(s.buckets, b)
	}
}

// Get returns the copies of a bucket and whether they are complete. The store keeps them until Prune drops them.
func (s *Store) Get(b Bucket) (Exceptions, bool) {
	c := s.buckets[b]
	if c == nil {
		return Exceptions{}, false
	}
	var e Exceptions
	for k, t := range c.flows {
		e.Flows = append(e.Flows, Exception{Key: k, Target: t})
		if r, found := s.retired[t]; found && !slices.Contains(e.Retired, r) {
			e.Retired = append(e.Retired, r)
		}
	}
	slices.SortFunc(e.Flows, func(a, b Exception) int { return cmp.Compare(a.Key.Hash(), b.Key.Hash()) })
	return e, c.complete
}

// Source returns the member that sent the copies of a bucket, or 0 if there are none.
func (s *Store) Source(b Bucket) membership.HostID {
	if c := s.buckets[b]; c != nil {
		return c.source
	}
	return 0
}

// Prune drops the copies that self, this member, has not been the backup for in the last minute, and the streams of
// departed members that sent none of the remaining copies.
func (s *Store) Prune(now time.Duration, self membership.HostID, m *Map) {
	used := make(map[membership.HostID]bool)
	for b, c := range s.buckets {
		switch {
		case m.Backup(b) == self && m.Owner(b) == c.source:
			c.unusedSince = 0
		case c.unusedSince == 0:
			c.unusedSince = max(now, 1)
		case now-c.unusedSince > unusedRetention:
			s.dropBucket(b)
			continue
		}
		used[c.source] = true
	}
	for id := range s.streams {
		if !used[id] && !m.Contains(id) {
			delete(s.streams, id)
		}
	}
}
