package dataplane

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/packet"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
)

const (
	// benchPackets is the number of packets of one measurement. Measurements of the balancer and of the relay alternate, so
	// that changes of the machine's load affect both.
	benchPackets = 20_000
)

// BenchmarkForwarding compares the packets per second of CPU time of the balancer with those of a bare UDP relay that
// uses the same batches and makes no decisions.
func BenchmarkForwarding(b *testing.B) {
	for _, flows := range []int{10_000, 500_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) { compareWithRelay(b, flows) })
	}
}

func compareWithRelay(b *testing.B, flows int) {
	p := newTestDataplane(b, nil)
	packets := benchTraffic(b, p, flows)
	relay, err := udpbatch.Listen(netip.MustParseAddrPort("127.31.0.9:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = relay.Close() })
	reader := udpbatch.NewReader(relay, batchSize, maxPacketBytes, geneve.MaxHeaderBytes)
	writer := udpbatch.NewWriter(relay, batchSize)
	worker := newWorker(p.Dataplane, p.conns[0])
	for _, c := range p.conns[1:] {
		_ = c.Close() // the remaining socket receives all packets
	}
	discardReceived(b, p.target)
	var relayTime, balancerTime time.Duration
	for b.Loop() {
		relayTime += measure(b, packets, relay.LocalAddr(), p.fabric, reader, func(n int) {
			for i := range n {
				buffer, start, end := reader.Buffer(i)
				writer.Add(buffer[start:end], p.target.addr)
			}
			writer.Flush()
		})
		balancerTime += measure(b, packets, p.Addr(), p.fabric, worker.reader, worker.handleBatch)
	}
	total := float64(b.N * benchPackets)
	b.ReportMetric(total/relayTime.Seconds(), "relay-packets/core-s")
	b.ReportMetric(total/balancerTime.Seconds(), "balancer-packets/core-s")
	b.ReportMetric(relayTime.Seconds()/balancerTime.Seconds(), "ratio")
	var actions [7]uint64
	p.engine.Actions(func(a forward.Action, n uint64) { actions[a] = n })
	if actions[forward.Drop] > 0 || actions[forward.ForwardTarget] < uint64(b.N*benchPackets) {
		b.Fatalf("got actions %v, want no drops and every packet forwarded to the target", actions)
	}
}

// benchTraffic opens flows in the engine and returns one encapsulated data packet of each.
func benchTraffic(b *testing.B, p *testDataplane, flows int) (out [][]byte) {
	for i := range flows {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
		var parsed forward.Packet
		packet.Parse(innerPacket(flow.TCP, source, endpoint, forward.SYN), &parsed)
		p.engine.FromCaller(0, &parsed)
		packet.Parse(innerPacket(flow.TCP, endpoint, source, forward.SYN|forward.ACK), &parsed)
		p.engine.FromTarget(0, &parsed, p.target.addr.Addr(), testVNI)
		data := innerPacket(flow.TCP, source, endpoint, forward.ACK)
		packet.Parse(data, &parsed)
		p.engine.FromCaller(0, &parsed)
		out = append(out, encapsulate(geneve.Header{VNI: geneve.VNICaller}, data))
	}
	return out
}

// discardReceived reads and drops what a socket receives until the benchmark ends.
func discardReceived(b *testing.B, socket testSocket) {
	var wait sync.WaitGroup
	wait.Go(func() {
		buffer := make([]byte, 2048)
		for {
			if _, err := socket.Read(buffer); err != nil {
				return
			}
		}
	})
	b.Cleanup(func() {
		_ = socket.Close()
		wait.Wait()
	})
}

// measure sends packets to an address without pause and returns the CPU time that one thread needs to read and handle
// benchPackets of them.
func measure(
	b *testing.B, packets [][]byte, to netip.AddrPort, from testSocket, r *udpbatch.Reader, handle func(n int),
) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var used atomic.Int64
	wait.Go(func() { sendContinuously(b, ctx, packets, to, from) })
	wait.Go(func() {
		defer cancel()
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		start := threadTime(b)
		for done := 0; done < benchPackets; {
			n, err := r.Read()
			if err != nil {
				b.Error(err)
				return
			}
			handle(n)
			done += n
		}
		used.Store(int64(threadTime(b) - start))
	})
	wait.Wait()
	return time.Duration(used.Load())
}

// sendContinuously sends packets from the fabric's address until ctx is done. The source port does not matter.
func sendContinuously(b *testing.B, ctx context.Context, packets [][]byte, to netip.AddrPort, from testSocket) {
	conn, err := udpbatch.Listen(netip.AddrPortFrom(from.addr.Addr(), 0))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	w := udpbatch.NewWriter(conn, batchSize)
	for i := 0; ctx.Err() == nil; i++ {
		w.Add(packets[i%len(packets)], to)
		if w.Full() {
			w.Flush()
		}
	}
}

// threadTime returns the CPU time that the calling thread has used.
func threadTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
