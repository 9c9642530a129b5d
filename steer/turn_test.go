package steer

import (
	"testing"
	"time"
)

// Guards against callers that are never admitted, against retries that get another decision within milliseconds, and against a
// refused share that is not kept.
func TestRefusedCallersTakeTurns(t *testing.T) {
	for _, share := range []float64{0.3, 0.5, 0.8, maxRefusedShare} {
		const turns = 2000
		longest := int(3/(1-share)) + 1 // a golden-ratio sequence visits each interval of width w within 3/w steps
		refused := 0
		for n := range 50 {
			hash, run := openingPacket(n<<8).Flow().callerHash(), 0
			for i := range turns {
				wall := time.Duration(i)*turnDuration + turnDuration - time.Duration(hash%uint64(turnDuration))
				if turn(hash, wall) != turn(hash, wall+turnDuration-1) {
					t.Fatalf("caller %d: the decision changes within a turn", n)
				}
				if turn(hash, wall) >= share {
					run = 0
					continue
				}
				refused++
				if run++; run > longest {
					t.Fatalf("caller %d is refused in %d turns on end at a refused share of %.2f, want at most %d", n, run, share, longest)
				}
			}
		}
		if got := float64(refused) / (50 * turns); got < share-0.01 || got > share+0.01 {
			t.Errorf("refused %.3f, want %.2f", got, share)
		}
	}
}
