package dataplane

import (
	"net/netip"
	"testing"

	"golang.org/x/net/bpf"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
)

// Guards against a hash that sends the two directions of a flow to different workers, and against one that leaves workers
// with few flows.
func TestSocketSelector(t *testing.T) {
	const workers, flows = 4, 1000
	raw, err := socketSelector(workers)
	if err != nil {
		t.Fatal(err)
	}
	program, _ := bpf.Disassemble(raw)
	vm, err := bpf.NewVM(program)
	if err != nil {
		t.Fatal(err)
	}
	var count [workers]int
	for i := range flows {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i % 8)}), uint16(30000+i/8))
		forwardSocket, err := vm.Run(encapsulate(geneve.Header{VNI: 1}, innerPacket(flow.TCP, source, endpoint, forward.ACK)))
		returnSocket, returnErr := vm.Run(encapsulate(
			geneve.Header{VNI: 2, HasPeer: true}, innerPacket(flow.TCP, endpoint, source, forward.ACK),
		))
		if err != nil || returnErr != nil || forwardSocket != returnSocket || forwardSocket >= workers {
			t.Fatalf("got socket %d for the request and %d for the answer (errors %v, %v), want the same valid socket",
				forwardSocket, returnSocket, err, returnErr)
		}
		count[forwardSocket]++
	}
	for i, n := range count {
		if n < flows/workers*7/10 {
			t.Errorf("worker %d gets %d of %d flows, want at least 70%% of an even share", i, n, flows)
		}
	}
}
