// Package chart loads state charts from YAML files and interprets them.
//
// A chart lists its states and, for each state, the next state after each event. Charts are embedded in the binary and
// validated when they are loaded, so that an invalid chart stops the program at its first use. Tests load every chart.
package chart

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/goccy/go-yaml"
	"github.com/qmuntal/stateless"
	"github.com/zeebo/errs"
)

// Error is the class of the errors that this package returns.
var Error = errs.Class("chart")

type document struct {
	Name    string                       `yaml:"name"`
	Initial string                       `yaml:"initial"`
	States  map[string]map[string]string `yaml:"states"` // next state by state and event
}

// Chart is a validated state chart. It is safe for concurrent use.
type Chart struct {
	doc     document
	mu      sync.Mutex // guards current, which machine reads and writes
	current string
	machine *stateless.StateMachine
}

// Load decodes and validates a chart. Every state must be reachable from the initial state.
func Load(data []byte) (*Chart, error) {
	c := &Chart{}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&c.doc); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := c.doc.validate(); err != nil {
		return nil, err
	}
	c.machine = stateless.NewStateMachineWithExternalStorage(c.currentState, c.setCurrentState, stateless.FiringImmediate)
	for state, events := range c.doc.States {
		configuration := c.machine.Configure(state)
		for event, next := range events {
			if next == state {
				configuration.PermitReentry(event)
				continue
			}
			configuration.Permit(event, next)
		}
	}
	return c, nil
}

// MustLoad is like Load but panics on an error. It is meant for embedded charts.
func MustLoad(data []byte) *Chart {
	c, err := Load(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (d *document) validate() error {
	if _, found := d.States[d.Initial]; !found {
		return Error.New("%s: initial state %q is not defined", d.Name, d.Initial)
	}
	reached := map[string]bool{d.Initial: true}
	for queue := []string{d.Initial}; len(queue) > 0; queue = queue[1:] {
		for event, next := range d.States[queue[0]] {
			if _, found := d.States[next]; !found {
				return Error.New("%s: state %q, event %q: next state %q is not defined", d.Name, queue[0], event, next)
			}
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	for state := range d.States {
		if !reached[state] {
			return Error.New("%s: state %q is not reachable from the initial state", d.Name, state)
		}
	}
	return nil
}

func (c *Chart) currentState(context.Context) (stateless.State, error) { return c.current, nil }

func (c *Chart) setCurrentState(_ context.Context, s stateless.State) error {
	c.current = s.(string)
	return nil
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.doc.Name }

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.doc.Initial }

// Next returns the state that follows the given one after an event. If the chart lists no such transition, it returns the
// given state and an error.
func (c *Chart) Next(state, event string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = state
	if err := c.machine.Fire(event); err != nil {
		return state, Error.New("%s: state %q does not accept event %q", c.doc.Name, state, event)
	}
	return c.current, nil
}

// Table returns the chart as a lookup table for code that runs for every packet: table[state][event] is the index in states
// of the next state, or of the same state if the chart lists no transition. It returns an error if the chart has a state or
// event that is not in states or events.
func (c *Chart) Table(states, events []string) ([][]uint8, error) {
	stateIndex := make(map[string]uint8, len(states))
	for i, s := range states {
		stateIndex[s] = uint8(i)
	}
	eventIndex := make(map[string]int, len(events))
	for i, e := range events {
		eventIndex[e] = i
	}
	table := make([][]uint8, len(states))
	for i, s := range states {
		row := make([]uint8, len(events))
		for j := range row {
			row[j] = uint8(i)
		}
		for event, next := range c.doc.States[s] {
			j, found := eventIndex[event]
			if !found {
				return nil, Error.New("%s: event %q is not in the given list of events", c.doc.Name, event)
			}
			row[j] = stateIndex[next]
		}
		table[i] = row
	}
	for s := range c.doc.States {
		if _, found := stateIndex[s]; !found {
			return nil, Error.New("%s: state %q is not in the given list of states", c.doc.Name, s)
		}
	}
	return table, nil
}

// String returns the name of the chart and its number of states.
func (c *Chart) String() string { return fmt.Sprintf("%s (%d states)", c.doc.Name, len(c.doc.States)) }
