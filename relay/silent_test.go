package relay

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Guards against hosts without evidence of their own that go on to take a target for silent, because the relay no longer names it once the
// others have heard of its answer; against answers that wait for a regular report; and against answers that are told for ever.
func TestAnswerIsToldToHostsWithoutEvidence(t *testing.T) {
	n := newNetwork(5, "a")
	n.run(2 * time.Second)
	var relay, listener *simHost
	var witnesses []*simHost
	for _, h := range n.hosts {
		switch {
		case h.fleet.isRelay():
			relay = h
		case listener == nil:
			listener = h
		default:
			witnesses = append(witnesses, h)
		}
	}
	report := func(e directory.Silence) {
		for _, h := range witnesses {
			relay.fleet.HandleReport(&Report{Host: h.self, Early: true, Loads: directory.Loads{Silence: []directory.Silence{e}}}, n.now)
		}
	}
	heard := func() []directory.Silence { return relay.fleet.EarlyReply(listener.self, n.now).Silence }
	report(directory.Silence{Token: 7, Flows: 2, Hosts: 1, Near: 1, WaitAge: 900, AnswerAge: 1000})
	relay.fleet.DueSilence(n.now)
	if len(heard()) != 1 || heard()[0].Hosts != 3 {
		t.Fatalf("evidence of 3 hosts is told as %+v", heard())
	}
	n.now += 500 * time.Millisecond
	report(directory.Silence{Token: 7, AnswerAge: 10})
	if due := relay.fleet.DueSilence(n.now); len(due) != 4 {
		t.Errorf("%d early reports after the answer, want one to each of 4 hosts", len(due))
	}
	n.now += 100 * time.Millisecond
	if due := relay.fleet.DueSilence(n.now); len(due) != 0 {
		t.Errorf("%d further early reports, want none", len(due))
	}
	if list := heard(); len(list) != 1 || list[0].Flows != 0 || list[0].AnswerAge != 110 {
		t.Errorf("a host without evidence hears %+v, want the answer 0.11 s ago", list)
	}
	n.now += silentRetention
	report(directory.Silence{Token: 7, AnswerAge: 10})
	if list := heard(); len(list) != 0 {
		t.Errorf("%v after the evidence, a host hears %+v, want nothing", silentRetention, list)
	}
}
