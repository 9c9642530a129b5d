// Package health derives the state of every target from probe answers, from what balancers see of the target's traffic,
// and from notices that the target is leaving.
//
// The package does no I/O: events and the time go in, effects come out.
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
	Cold     State = iota // has not answered yet, or says that it is starting
	Warming               // slow start: takes a rising share of its weight
	Serving               // takes its full weight
	Shedding              // asks for less work
	Draining              // leaving: gets no new flows
	Suspect               // fails probes, or ejected as an outlier
	Down                  // answers nothing
)

var stateNames = []string{"cold", "warming", "serving", "shedding", "draining", "suspect", "down"}

// String returns the name of the state as the chart spells it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// acceptsNew reports whether the state alone allows new flows.
func (s State) acceptsNew() bool { return s == Warming || s == Serving || s == Shedding }

type trigger uint8

const (
	none trigger = iota
	answer
	warmed
	shed
	recovered
	cool
	fail
	eject
	silent
	drain
	returned
)

var triggerNames = []string{"none", "answer", "warmed", "shed", "recover", "cool", "fail", "eject", "silent", "drain", "return"}

//go:embed target.yaml
var chartFile []byte

// transitions returns the chart as a table, which is built at the first use. A chart that names a state or event that the
// code lacks stops the program.
var transitions = sync.OnceValue(func() [][]uint8 {
	table, err := chart.MustLoad(chartFile).Table(stateNames, triggerNames)
	if err != nil {
		panic(err)
	}
	return table
})
