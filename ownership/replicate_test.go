package ownership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
)

// replicaPair is an owner of all buckets with its backup.
type replicaPair struct {
	r         *Replicator
	backups   map[membership.HostID]*Store
	now       time.Duration
	rng       *rand.Rand
	bytes     int
	batches   int
	dropBatch func() bool
}

const (
	testOwner  membership.HostID = 1
	testBackup membership.HostID = 2
)

func newPair() *replicaPair {
	p := &replicaPair{r: NewReplicator(testOwner, 1), backups: make(map[membership.HostID]*Store), rng: rand.New(rand.NewPCG(1, 1))}
	p.setBackup(testBackup)
	return p
}

func (p *replicaPair) setBackup(id membership.HostID) {
	m, states := &Map{members: []membership.HostID{testOwner, id}}, &[BucketCount]BucketState{}
	for b := range m.owner {
		m.owner[b], m.backup[b], states[b] = testOwner, id, BucketState{Role: RoleOwner}
	}
	if p.backups[id] == nil {
		p.backups[id] = NewStore()
	}
	p.r.SetOwnership(p.now, m, states)
}

func (p *replicaPair) run(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += 20 * time.Millisecond {
		for _, b := range p.r.Tick(p.now) {
			p.bytes += len(b.Batch.Data)
			p.batches++
			if p.dropBatch == nil || !p.dropBatch() {
				_ = p.backups[b.To].Apply(testOwner, &b.Batch)
			}
		}
		for id, s := range p.backups {
			for _, a := range s.Acks() {
				p.r.Acked(p.now, id, a.Ack)
			}
		}
	}
}

func (p *replicaPair) exception() Exception {
	ip := netip.AddrFrom4([4]byte{10, byte(p.rng.IntN(256)), byte(p.rng.IntN(256)), byte(p.rng.IntN(256))})
	key := flow.NewKey(netip.AddrPortFrom(ip, uint16(p.rng.IntN(60000))), flow.EndpointID(p.rng.IntN(4)))
	return Exception{Key: key, Target: flow.TargetID(p.rng.IntN(15))}
}

func (p *replicaPair) copiesAt(id membership.HostID) map[flow.Key]flow.TargetID {
	all := make(map[flow.Key]flow.TargetID)
	for b := range BucketCount {
		e, _ := p.backups[id].Get(Bucket(b))
		for _, x := range e.Flows {
			all[x.Key] = x.Target
		}
	}
	return all
}

func (p *replicaPair) synced() bool {
	owned, synced := p.r.InSync()
	return owned == synced && p.r.Drained()
}

// Guards against copies that differ from the exceptions of the owner after lost batches, ended flows and a change of
// backup.
func TestReplication(t *testing.T) {
	t.Parallel()
	p := newPair()
	p.run(20 * time.Second)
	p.dropBatch = func() bool { return p.rng.IntN(3) == 0 }
	want := make(map[flow.Key]flow.TargetID)
	var live []Exception
	for i := range 3000 {
		e := p.exception()
		p.r.Add(p.now, e)
		want[e.Key] = e.Target
		live = append(live, e)
		if i%3 == 0 {
			p.r.Remove(p.now, live[i/2].Key)
			delete(want, live[i/2].Key)
		}
		if i == 1500 {
			p.setBackup(3)
		}
		p.run(20 * time.Millisecond)
	}
	p.dropBatch = nil
	p.run(30 * time.Second)
	if !p.synced() {
		t.Fatal("replicator is not in sync 30 s after the last change")
	}
	got := p.copiesAt(3)
	if len(got) != len(want) {
		t.Errorf("backup holds %d copies, want %d", len(got), len(want))
	}
	for k, target := range want {
		if got[k] != target {
			t.Fatalf("copy has target %d, want %d", got[k], target)
		}
	}
}

// Guards against additions that are copied later than 100 ms, and against copies that use more bytes than the budget of
// control traffic allows. It logs the bytes per exception.
func TestBytesPerException(t *testing.T) {
	t.Parallel()
	p := newPair()
	p.run(10 * time.Second)
	const n = 6000
	p.bytes, p.batches = 0, 0
	var live []Exception
	for range n / 2 {
		for range 2 {
			e := p.exception()
			p.r.Add(p.now, e)
			live = append(live, e)
		}
		p.run(20 * time.Millisecond)
		old := len(live) - 11 // added 100 ms ago
		if old >= 0 && p.copiedTarget(live[old]) != live[old].Target {
			t.Fatal("an exception was not copied with its target within 100 ms")
		}
	}
	t.Logf("addition: %.2f bytes (%d batches, %.2f with frames)", float64(p.bytes)/n, p.batches,
		float64(p.bytes+batchFrameBytes*p.batches)/n)
	if p.bytes > 10*n {
		t.Errorf("%d bytes for %d additions, want at most 10 each", p.bytes, n)
	}
	p.bytes = 0
	for _, e := range live {
		p.r.Remove(p.now, e.Key)
		p.run(20 * time.Millisecond)
	}
	p.run(5 * time.Second)
	t.Logf("removal: %.2f bytes", float64(p.bytes)/n)
	if p.bytes > 4*n {
		t.Errorf("%d bytes for %d removals, want at most 4 each", p.bytes, n)
	}
	if left := p.backups[testBackup].Len(); left != 0 {
		t.Errorf("%d copies left after all removals, want 0", left)
	}
}

func (p *replicaPair) copiedTarget(e Exception) flow.TargetID {
	return p.backups[testBackup].buckets[e.Bucket()].flows[e.Key]
}

// Guards against a change of backup that uses the bandwidth of other control traffic: the resync may use 4 KB/s.
func TestResyncIsPaced(t *testing.T) {
	t.Parallel()
	p := newPair()
	for range 10000 {
		p.r.Add(p.now, p.exception())
	}
	p.run(40 * time.Second)
	p.setBackup(3)
	p.bytes = 0
	start := p.now
	for !p.synced() {
		p.run(time.Second)
		if rate := float64(p.bytes) / (p.now - start).Seconds(); rate > 1.3*resyncRate {
			t.Fatalf("resync uses %.0f bytes/s after %v, want about %d", rate, p.now-start, resyncRate)
		}
	}
	t.Logf("10,000 copies in %v, %.0f bytes/s, %.1f bytes each", p.now-start, float64(p.bytes)/(p.now-start).Seconds(),
		float64(p.bytes)/10000)
}

// Guards against encodings of grants and batches that lose IPv6 callers or the addresses of retired targets.
func TestExceptionsRoundTrip(t *testing.T) {
	t.Parallel()
	e := Exceptions{
		Flows: []Exception{
			{Key: flow.NewKey(netip.MustParseAddrPort("[2001:db8::1]:5"), 9), Target: 4},
			{Key: flow.NewKey(netip.MustParseAddrPort("10.0.0.1:6"), 9), Target: 5},
		},
		Retired: []RetiredTarget{{ID: 4, Service: 3, Addr: netip.MustParseAddr("127.0.0.8"), DataPort: 6081}},
	}
	got, err := DecodeExceptions(EncodeExceptions(e))
	if err != nil || !slices.Equal(got.Flows, e.Flows) || !slices.Equal(got.Retired, e.Retired) {
		t.Fatalf("exceptions decode to %+v, error %v, want the encoded ones", got, err)
	}
	p := newPair()
	p.r.AddRetired(e.Retired[0])
	for _, x := range e.Flows {
		p.r.Add(p.now, x)
	}
	p.run(20 * time.Second)
	held, complete := p.backups[testBackup].Get(e.Flows[0].Bucket())
	if !complete || !slices.Equal(held.Retired, e.Retired) || !slices.Contains(held.Flows, e.Flows[0]) {
		t.Fatalf("backup holds %+v, complete %v, want the first exception and its retired target", held, complete)
	}
}

// FuzzBatch guards against malformed batches that panic the backup or leave copies.
func FuzzBatch(f *testing.F) {
	f.Add(EncodeExceptions(Exceptions{Flows: []Exception{{Target: 1}}}))
	f.Add((&changes{start: []Bucket{1, 9}, complete: []Bucket{1}, removed: []uint32{1, 4}}).encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewStore()
		if s.Apply(1, &Batch{Epoch: 1, Sequence: 1, Data: b}) != nil && s.Len() > 0 {
			t.Fatal("a batch that was rejected left copies")
		}
		_, _ = DecodeExceptions(b)
		_, _ = DecodeBuckets(b)
	})
}
