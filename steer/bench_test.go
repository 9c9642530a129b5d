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
