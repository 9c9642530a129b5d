package steer

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// BenchmarkCarry is the decision about a packet of a known flow among 10,000.
func BenchmarkCarry(b *testing.B) {
	e := engine(five(local)...)
	tokens := make([]directory.Token, 10_000)
	for n := range tokens {
		tokens[n] = e.Decide(opening(n), time.Second).Target.Token
		answered(e, n, tokens[n], time.Second)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := i * 7919 % len(tokens)
		e.Decide(data(n, tokens[n], uint32(i)), time.Second)
	}
}

// BenchmarkOpen is the placement of a new flow on one of 657 targets, those of a data centre at the planned size.
func BenchmarkOpen(b *testing.B) {
	var targets []directory.TargetEntry
	for i := range 657 {
		targets = append(targets, known(i+1, local))
	}
	e := engine(targets...)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e.Decide(opening(n), time.Duration(n)*time.Millisecond)
	}
}
