package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// keepUnused is how long copies are kept after this member stopped being the backup: the new backup may still be
// receiving them, and an owner that is lost in that time needs the old ones.
const keepUnused = time.Minute

// maxCopies bounds the copies that this member holds as a backup. At 34 bytes and the overhead of a map this is about
// 64 MB.
const maxCopies = 500_000

// copied is a bucket of copies.
type copied struct {
	source   membership.HostID
	epoch    uint64
	flows    map[flow.Key]flow.TargetID
	complete bool
	unused   time.Duration // since when this member is not the backup, 0 while it is
}

// incoming is the receiving side of one owner's stream.
type incoming struct {
	epoch, sequence uint64
	endpoints       []flow.EndpointID
	targets         []flow.TargetID
	keys            map[uint32]flow.Key
	ack             bool // an ack is due
}

// Store holds the exception copies for which this member is the backup. It is not safe for use by several goroutines.
type Store struct {
	buckets map[Bucket]*copied
	streams map[membership.HostID]*incoming
	retired map[flow.TargetID]RetiredTarget
	count   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		buckets: make(map[Bucket]*copied), streams: make(map[membership.HostID]*incoming),
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

// Acks returns the acks that are due. One ack covers all batches before it, so call it every 200 to 500 ms rather than
// after each batch: with small batches the acks would take as many bytes as the batches.
func (s *Store) Acks() []SendAck {
	var out []SendAck
	for _, id := range sortedIDs(s.streams) {
		if in := s.streams[id]; in.ack {
			in.ack = false
			out = append(out, SendAck{To: id, Ack: BatchAck{Epoch: in.epoch, Sequence: in.sequence}})
		}
	}
	return out
}

// Apply applies a batch. A batch that comes after a gap, or again, is ignored; the ack names the last one applied, so
// that the owner sends again from there. The error tells that the batch cannot be decoded.
func (s *Store) Apply(from membership.HostID, b *Batch) error {
	in := s.streams[from]
	if in == nil || b.Epoch > in.epoch {
		in = &incoming{epoch: b.Epoch, keys: make(map[uint32]flow.Key)}
		s.streams[from] = in
	}
	if b.Epoch < in.epoch {
		return nil
	}
	in.ack = true
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

func (s *Store) apply(from membership.HostID, in *incoming, c *changes) error {
	endpoints, targets := len(in.endpoints)+len(c.endpoints), len(in.targets)+len(c.targets)
	for i := range c.added {
		if int(c.added[i].endpoint) >= endpoints || int(c.added[i].target) >= targets {
			return errBatch
		}
	}
	in.endpoints, in.targets = append(in.endpoints, c.endpoints...), append(in.targets, c.targets...)
	for _, r := range c.retired {
		s.retired[r.ID] = r
	}
	for _, b := range c.start {
		s.drop(b)
		s.buckets[b] = &copied{source: from, epoch: in.epoch, flows: make(map[flow.Key]flow.TargetID)}
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
		return // the owner starts a bucket before it adds to it; the bucket has moved since
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

func (s *Store) drop(b Bucket) {
	if c := s.buckets[b]; c != nil {
		s.count -= len(c.flows)
		delete(s.buckets, b)
	}
}

// Get returns the copies of a bucket and whether they are complete. The store keeps them until Prune.
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

// Source returns the member that the copies of a bucket came from, or 0 when there are none.
func (s *Store) Source(b Bucket) membership.HostID {
	if c := s.buckets[b]; c != nil {
		return c.source
	}
	return 0
}

// Prune drops copies that this member, self, has not been the backup for during the last minute, and streams of
// members that sent none of the copies that are left.
func (s *Store) Prune(now time.Duration, self membership.HostID, m *Map) {
	used := make(map[membership.HostID]bool)
	for b, c := range s.buckets {
		switch {
		case m.Backup(b) == self && m.Owner(b) == c.source:
			c.unused = 0
		case c.unused == 0:
			c.unused = max(now, 1)
		case now-c.unused > keepUnused:
			s.drop(b)
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
