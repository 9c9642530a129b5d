// Package health derives the state of every target from probe results, from the results of the target's traffic, and from
// notices that the target is leaving.
//
// The package does no I/O: events and times are arguments, and effects to carry out are results.
package health

import (
	_ "embed"
	"sync"

	"github.com/zeebo/errs"

	"github.com/marigoldwood/marigoldwood/chart"
)

// Error is the class of errors of this package.
var Error = errs.Class("health")

// State is the state of a target.
type State uint8

// Target states.
const (
	Cold     State = iota // has not answered yet, or reports that it is starting
	Warming               // slow start: takes a rising share of its weight
	Serving               // takes its full weight
	Shedding              // requests less work
	Draining              // leaving: gets no new flows
	Suspect               // fails probes, or is ejected as an outlier
	Down                  // unreachable
)

var stateNames = []string{"cold", "warming", "serving", "shedding", "draining", "suspect", "down"}

// String returns the name of the state in the state chart.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// acceptsNewFlows reports whether the state by itself allows new flows.
func (s State) acceptsNewFlows() bool { return s == Warming || s == Serving || s == Shedding }

type trigger uint8

const (
	triggerNone trigger = iota
	triggerAnswer
	triggerWarmed
	triggerShed
	triggerRecover
	triggerCool
	triggerFail
	triggerEject
	triggerSilent
	triggerDrain
	triggerReturn
)

var triggerNames = []string{"none", "answer", "warmed", "shed", "recover", "cool", "fail", "eject", "silent", "drain", "return"}

//go:embed target.yaml
var chartFile []byte

// transitions returns the state chart as a table, which is built at the first use. It panics if the chart names a state or
// event that the code lacks.
var transitions = sync.OnceValue(func() [][]uint8 {
	table, err := chart.MustLoad(chartFile).Table(stateNames, triggerNames)
	if err != nil {
		panic(err)
	}
	return table
})
