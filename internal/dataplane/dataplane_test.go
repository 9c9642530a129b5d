package dataplane

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

var caller = netip.MustParseAddrPort("192.0.2.1:4000")

// Guards against a packet that changes on its way, or leaves on the wrong leg.
func TestForward(t *testing.T) {
	p := newPlane(t, nil)
	p.start(t)
	request := inner(flow.TCP, caller, endpoint, forward.SYN)
	p.send(t, p.fabric, geneve.Header{VNI: geneve.VNICaller}, request)
	if h, _, got := receive(t, p.target); h.VNI != testVNI || !bytes.Equal(got, request) {
		t.Fatalf("the target got %x with %+v", got, h)
	}
	answer := inner(flow.TCP, endpoint, caller, forward.SYN|forward.ACK)
	p.send(t, p.target, geneve.Header{VNI: testVNI}, answer)
	if h, _, got := receive(t, p.fabric); h.VNI != geneve.VNICaller || !bytes.Equal(got, answer) {
		t.Fatalf("the fabric got %x with %+v", got, h)
	}
	p.send(t, p.fabric, geneve.Header{VNI: geneve.VNICaller}, inner(flow.UDP, caller, endpoint, 0))
	if _, _, got := receive(t, p.fabric); got[9] != 1 || got[20] != 3 || got[21] != 13 {
		t.Fatalf("a refused datagram was answered with %x", got)
	}
	p.send(t, p.target, geneve.Header{VNI: geneve.VNICaller}, request)
	waitFor(t, "a count of the foreign source", func() bool { return p.codeCount(resultcode.PacketForeignSource) == 1 })
}

// Guards against packets between balancers that lose their option or are not accepted.
func TestPeers(t *testing.T) {
	p := newPlane(t, nil)
	next := *p.snapshot
	next.Buckets = new([ownership.BucketCount]forward.BucketState)
	for i := range next.Buckets {
		next.Buckets[i] = forward.BucketState{Role: forward.RoleForward, Peer: 2}
	}
	p.engine.Publish(&next)
	p.start(t)
	request := inner(flow.TCP, caller, endpoint, forward.ACK)
	p.send(t, p.fabric, geneve.Header{VNI: geneve.VNICaller}, request)
	h, _, got := receive(t, p.peer)
	want := forward.PeerInfo{Version: 1, Incarnation: 1, Hops: 1, Direction: forward.ToTarget, VNI: testVNI}
	if h.VNI != geneve.VNIPeer || h.Peer != want || !bytes.Equal(got, request) {
		t.Fatalf("the peer got %x with %+v", got, h)
	}
	p.engine.Publish(p.snapshot)
	p.send(t, p.peer, h, request)
	if h, _, got := receive(t, p.target); h.VNI != testVNI || !bytes.Equal(got, request) {
		t.Fatalf("the target got %x with %+v", got, h)
	}
}

// Guards against decisions of a balancer that was paused.
func TestFencing(t *testing.T) {
	p := newPlane(t, nil)
	p.tick.Store(-int64(time.Second))
	p.start(t)
	p.send(t, p.fabric, geneve.Header{VNI: geneve.VNICaller}, inner(flow.TCP, caller, endpoint, forward.SYN))
	waitFor(t, "a fenced packet", func() bool { return p.codeCount(resultcode.PacketFenced) == 1 })
	if p.engine.Flows() != 0 {
		t.Error("a flow was placed while fenced")
	}
}

// waiter makes every flow wait until it is released.
type waiter struct {
	forward.StrategyAdmission
	mu      sync.Mutex
	release []forward.Released
}

func (*waiter) Admit(time.Duration, forward.Request) forward.Verdict {
	return forward.Verdict{Outcome: forward.Waiting}
}

func (w *waiter) Poll(_ time.Duration, dst []forward.Released) []forward.Released {
	w.mu.Lock()
	defer w.mu.Unlock()
	dst = append(dst, w.release...)
	w.release = nil
	return dst
}

func (w *waiter) let(k flow.Key, v forward.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.release = append(w.release, forward.Released{Key: k, Verdict: v})
}

// Guards against a first packet that is lost while its flow waits, and a refusal that is not sent after the wait.
func TestWaiting(t *testing.T) {
	admission := &waiter{}
	p := newPlane(t, admission)
	p.start(t)
	id := p.snapshot.Bundle.Endpoint(bundle.EndpointAddr{Protocol: flow.TCP, Addr: endpoint}).ID
	for port, v := range map[uint16]forward.Verdict{
		1: {Outcome: forward.Admitted}, 2: {Outcome: forward.Refused, Code: resultcode.RefusedNoSlot},
	} {
		source := netip.AddrPortFrom(caller.Addr(), port)
		request := inner(flow.TCP, source, endpoint, forward.SYN)
		p.send(t, p.fabric, geneve.Header{VNI: geneve.VNICaller}, request)
		k := flow.NewKey(source, id)
		waitFor(t, "the flow to wait", func() bool { return p.engine.IsWaiting(k) })
		admission.let(k, v)
		if v.Outcome == forward.Admitted {
			if _, _, got := receive(t, p.target); !bytes.Equal(got, request) {
				t.Fatalf("the target got %x", got)
			}
		} else if _, got, _ := receive(t, p.fabric); !got.Has(forward.RST) || got.Ack != 2 {
			t.Fatalf("the refusal is %+v", got)
		}
	}
}

// Guards against packets kept for ever, and a verdict that overtakes its packet.
func TestHeld(t *testing.T) {
	h := newHeld(2)
	var p forward.Packet
	a, b, c := flow.Key{CallerPort: 1}, flow.Key{CallerPort: 2}, flow.Key{CallerPort: 3}
	if len(h.take(a, forward.Decision{Attributes: forward.Attributes{VNI: 9}})) != 0 {
		t.Fatal("a packet that was never put")
	}
	if d, result := h.put(a, nil, &p); result != heldDecided || d.VNI != 9 {
		t.Fatalf("got %v, %v", d, result)
	}
	h.put(a, []byte("1"), &p)
	h.put(b, []byte("2"), &p)
	if _, result := h.put(c, nil, &p); result != heldFull {
		t.Fatalf("got %v", result)
	}
	h.forget(func(k flow.Key) bool { return k == a })
	if got := h.take(a, forward.Decision{}); len(got) != 1 || !h.empty() {
		t.Fatalf("got %v", got)
	}
}

// Guards against Quiesce that returns while a batch still runs under the snapshot before, or never returns.
func TestQuiesce(t *testing.T) {
	p := newPlane(t, nil)
	p.start(t)
	if err := p.Quiesce(context.Background()); err != nil {
		t.Fatal(err)
	}
	w := p.workers[0]
	w.round.begin()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := p.Quiesce(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v while a batch runs", err)
	}
	w.round.end()
	if err := p.Quiesce(context.Background()); err != nil {
		t.Fatal(err)
	}
}
