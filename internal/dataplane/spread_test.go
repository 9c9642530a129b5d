package dataplane

import (
	"net/netip"
	"testing"

	"golang.org/x/net/bpf"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
)

// Guards against flows whose two directions meet different workers, and workers that get no flows.
func TestSpread(t *testing.T) {
	const workers, flows = 4, 1000
	raw, err := spreadProgram(workers)
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
		there, err := vm.Run(encapsulate(geneve.Header{VNI: 1}, inner(flow.TCP, source, endpoint, forward.ACK)))
		back, backErr := vm.Run(encapsulate(geneve.Header{VNI: 2, HasPeer: true}, inner(flow.TCP, endpoint, source, forward.ACK)))
		if err != nil || backErr != nil || there != back || there >= workers {
			t.Fatalf("worker %d there, %d back: %v, %v", there, back, err, backErr)
		}
		count[there]++
	}
	for i, n := range count {
		if n < flows/workers*7/10 {
			t.Errorf("worker %d gets %d of %d flows", i, n, flows)
		}
	}
}
