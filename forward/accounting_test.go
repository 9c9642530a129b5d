package forward

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// countingAdmission is an Admission that counts used slots and waiting requests, and lets every third flow wait.
type countingAdmission struct {
	StrategyAdmission
	used, waiting atomic.Int64
	mu            sync.Mutex
	queue         []Released
}

func (l *countingAdmission) Admit(now time.Duration, r Request) Verdict {
	if r.Key.CallerPort%3 == 0 {
		l.waiting.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queue = append(l.queue, Released{Key: r.Key, Verdict: Verdict{Target: int(r.Hash % 3)}})
		return Verdict{Outcome: Waiting}
	}
	l.used.Add(1)
	return Verdict{Target: int(r.Hash % 3)}
}

func (l *countingAdmission) Done(time.Duration, flow.ServiceID, flow.TargetID, time.Duration, bool) {
	l.used.Add(-1)
}

func (l *countingAdmission) Cancel(_ time.Duration, k flow.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.queue {
		if l.queue[i].Key == k {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			l.waiting.Add(-1)
			return
		}
	}
}

func (l *countingAdmission) Poll(_ time.Duration, dst []Released) []Released {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.queue) / 2
	dst = append(dst, l.queue[:n]...)
	l.queue = l.queue[n:]
	l.waiting.Add(-int64(n))
	l.used.Add(int64(n))
	return dst
}

// Guards against slots and open-flow counts that leak or become negative while traffic, sweeps, handovers and new snapshots
// are processed concurrently. With -race it also detects state that is shared without synchronization.
func TestConcurrentAccounting(t *testing.T) {
	const seed = 1
	s := testSnapshot(testBundle(t, 1, tcpSession, udpShort))
	released := *s
	released.Buckets = new([ownership.BucketCount]BucketState)
	copy(released.Buckets[:], s.Buckets[:])
	for b := range ownership.BucketCount / 2 {
		released.Buckets[b] = BucketState{Role: RoleForward, Peer: hostPeer}
	}
	l := &countingAdmission{}
	e := NewEngine(Config{Flows: 1 << 12, Admission: l})
	e.Publish(s)
	var traffic, control sync.WaitGroup
	for worker := range uint64(4) {
		traffic.Go(func() { randomTraffic(e, rand.New(rand.NewPCG(seed, worker))) })
	}
	stop := make(chan struct{})
	control.Go(func() {
		for now := time.Duration(0); ; now += 10 * time.Millisecond {
			select {
			case <-stop:
				return
			default:
			}
			e.Sweep(now, nil)
			e.Poll(now, nil)
			e.Publish(&released)
			e.ReconcileExceptions(nil, &released)
			for _, x := range e.Collect(now, 1, 2, 3) {
				e.Install(now, bucketOf(&x.Key), []Exception{x})
			}
			e.Publish(s)
		}
	})
	traffic.Wait()
	close(stop)
	control.Wait()
	for range 2 * sweepParts {
		e.Poll(0, nil)
		e.Sweep(12*time.Hour, nil)
	}
	if used, waiting := l.used.Load(), l.waiting.Load(); used != 0 || waiting != 0 || e.Flows() != 0 {
		t.Errorf("seed %d: %d slots in use, %d requests waiting and %d flows left, want none", seed, used, waiting, e.Flows())
	}
	for _, ss := range s.Services {
		for _, x := range ss.Table.Targets {
			if n := e.OpenFlows(x.ID); n != 0 {
				t.Errorf("seed %d: %d flows open at target %v, want 0", seed, n, x.Addr)
			}
		}
	}
}

// randomTraffic sends random packets of 500 callers, and answers to some of those that are delivered.
func randomTraffic(e *Engine, r *rand.Rand) {
	flags := []TCPFlags{SYN, ACK, ACK, FIN | ACK, RST}
	for i := range 20_000 {
		now := time.Duration(i) * time.Millisecond
		p := tcp(flags[r.IntN(len(flags))], r.Uint32N(50), r.Uint32N(50), r.Uint32N(2))
		if r.IntN(2) == 0 {
			p = udp(0)
		}
		p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1+r.IntN(500)))
		d := e.FromCaller(now, p)
		if d.Action == ForwardTarget && r.IntN(2) == 0 {
			e.FromTarget(now, answer(p, flags[r.IntN(len(flags))]|ACK), d.Addr().Addr(), d.VNI)
		}
	}
}
