package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// BenchmarkForwardOpenFlow measures the decision about a packet of one of 10,000 tracked flows.
func BenchmarkForwardOpenFlow(b *testing.B) {
	e := engine(fiveTargets(local)...)
	tokens := make([]directory.Token, 10_000)
	for n := range tokens {
		tokens[n] = e.Decide(openingPacket(n), time.Second).Target.Token
		acknowledge(e, n, tokens[n], time.Second)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := i * 7919 % len(tokens)
		e.Decide(dataPacket(n, tokens[n], uint32(i)), time.Second)
	}
}

// BenchmarkOpen measures the placement of a new flow on one of 657 targets, those of a data centre of the planned size.
func BenchmarkOpen(b *testing.B) {
	var targets []directory.TargetEntry
	for i := range 657 {
		targets = append(targets, knownTarget(i+1, local))
	}
	e := engine(targets...)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e.Decide(openingPacket(n), time.Duration(n)*time.Millisecond)
	}
}

// BenchmarkRequest measures the decisions about a request of an open flow and the acknowledgement of its answer.
func BenchmarkRequest(b *testing.B) {
	e := engine(fiveTargets(local)...)
	token := e.Decide(openingPacket(1), time.Second).Target.Token
	acknowledge(e, 1, token, time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Second + time.Duration(i)*20*time.Millisecond
		p := dataPacket(1, token, uint32(100*i+1))
		p.Acknowledgement = uint32(100*i + 7)
		e.Decide(p, now)
		p.Payload, p.Acknowledgement = 0, p.Acknowledgement+100
		e.Decide(p, now+10*time.Millisecond)
	}
}

// BenchmarkLoads measures the collection of loads over the 4,600 targets of the planned size, of which one in 50 is in use.
func BenchmarkLoads(b *testing.B) {
	var targets []directory.TargetEntry
	for i := range 4600 {
		targets = append(targets, knownTarget(i+1, local))
	}
	e := engine(targets...)
	for n := range 92 {
		token := e.Decide(openingPacket(n), time.Second).Target.Token
		acknowledge(e, n, token, time.Second)
		e.Decide(dataPacket(n, token, 1), time.Second)
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Loads(time.Second)
	}
}
