package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Replays the reports at a crest: all targets are full but for one, which rejects requests and so has few pending. Guards against all balancers
// sending it more than its share of the new flows, and against a spread without regard to loads where there is no lasting queue.
func TestFlowsAreSpreadWhileTargetsAreFull(t *testing.T) {
	for name, tt := range map[string]struct {
		queue     time.Duration // how long the targets have been full
		min, most int           // of 1,000 new flows that go to the target with few requests pending
	}{
		"for a moment": {spreadAfter / 2, 150, 250}, // twice its share: it is the less loaded of two
		"for long":     {2 * spreadAfter, 50, 150},
	} {
		s := newLoadedService(1, 10)
		e := s.fillTargets()
		var loads []directory.Load
		for token := range e.View().tokens {
			loads = append(loads, directory.Load{Token: token, Pending: 3 + queueLimit})
		}
		loads[0].Pending = 2
		e.SetPeerLoads(directory.Loads{Targets: loads})
		begin, n, rejecting := 2*time.Second, 0, 0
		open := func(now time.Duration) *Target {
			n++
			return e.Decide(openingPacket(1000+n), now).Target
		}
		for now := begin; now < begin+tt.queue; now += spreadAfter / 10 {
			open(now)
		}
		for range 1000 {
			d := e.view.pick(e.View().Route(endpoint), FlowKey{Caller: caller(5000 + n), Endpoint: endpoint}, begin+tt.queue, nil)
			n++
			if d.Token == loads[0].Token {
				rejecting++
			}
		}
		if rejecting < tt.min || rejecting > tt.most {
			t.Errorf("full %s: %d of 1,000 flows go to the target with few requests pending, want %d to %d", name, rejecting, tt.min, tt.most)
		}
	}
}
