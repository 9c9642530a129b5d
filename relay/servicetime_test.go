package relay

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against evidence of slow answers that is lost or counted twice on its way over two relays.
func TestAnswerTimesAreSummedOnce(t *testing.T) {
	n := newNetwork(4, "a", "b", "c")
	for _, h := range n.hosts {
		h.loads = []directory.Load{{Token: 7, Pending: 1, Times: directory.NewAnswerTimes(1, 3)}}
	}
	n.run(6 * time.Second)
	for _, h := range n.hosts {
		times := h.fleet.PeerLoads(n.now).Times
		if len(times) != 1 || times[0].Token != 7 {
			t.Errorf("%s: the peers report the times %v, want those of one target", h.self.Name, times)
			continue
		}
		if answers, excess := times[0].Times.Values(); answers != 11 || excess != 33 {
			t.Errorf("%s: %v answers with a sum of %v, want 11 and 33", h.self.Name, answers, excess)
		}
	}
}

// Replays one host that saw slow answers of a target where the others saw usual ones. Guards against a target that counts as slow
// because only the hosts that saw slow answers report on it, and against usual targets that are named in replies.
func TestUsualAnswersOutweighSlowOnes(t *testing.T) {
	n := newNetwork(4, "a", "b")
	for i, h := range n.hosts {
		excess := 0.25
		if i == 0 {
			excess = 3
		}
		h.loads = []directory.Load{{Token: 7, Pending: 1, Times: directory.NewAnswerTimes(2, excess)}}
	}
	n.run(6 * time.Second)
	for _, h := range n.hosts {
		if loads := h.fleet.PeerLoads(n.now); len(loads.Times) > 0 || len(loads.Targets) != 1 {
			t.Errorf("%s: the peer loads are %+v, want one target without times", h.self.Name, loads)
		}
	}
}

// Guards against messages that name more targets, or become larger, because of answer times: at most maxLoads targets, those with slow
// answers first, 12 bytes for each of them.
func TestAnswerTimesAreBounded(t *testing.T) {
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1}, nil)
	f.DueReports(HostState{Fresh: true, Revision: 1}, time.Second)
	size := func(slow int) int {
		var own []directory.Load
		for i := range 5000 {
			l := directory.Load{Token: directory.Token(1<<20 + i), Pending: uint16(1 + i%100)}
			if i < slow {
				l.Times = directory.NewAnswerTimes(5, 15)
			}
			own = append(own, l)
		}
		loads := f.ReplyLoads("other", "a", own, time.Second)
		if len(loads.Targets) != maxLoads || len(loads.Times) != min(slow, maxLoads) {
			t.Errorf("%d slow targets: %d targets and %d times in a message, want maxLoads and all of them that fit", slow, len(loads.Targets),
				len(loads.Times))
		}
		var b bytes.Buffer
		e := msgpack.NewEncoder(&b)
		e.UseArrayEncodedStructs(true)
		e.UseCompactInts(true)
		if err := e.Encode(&loads); err != nil {
			t.Fatal(err)
		}
		return b.Len()
	}
	const maxTimesBytes = 12
	usual := size(0)
	if extra := size(20) - usual; extra > 20*maxTimesBytes {
		t.Errorf("20 slow targets take %d bytes", extra)
	}
	if extra := size(300) - usual; extra > maxLoads*maxTimesBytes {
		t.Errorf("300 slow targets take %d bytes", extra)
	}
}
