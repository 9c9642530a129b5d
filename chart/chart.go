// Package chart loads state charts from YAML files and interprets them.
//
// A chart lists its states and, for each state, the next state after an event. Charts are embedded in the binary and
// checked when they are loaded, so that a mistake stops a program at their first use. Tests load every chart.
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

// Error is the class of errors of this package.
var Error = errs.Class("chart")

type document struct {
	Name    string                       `yaml:"name"`
	Initial string                       `yaml:"initial"`
	States  map[string]map[string]string `yaml:"states"` // state, event, next state
}

// Chart is a checked state chart. It is safe for use by several goroutines.
type Chart struct {
	doc     document
	mu      sync.Mutex // guards current, which the interpreter reads and writes
	current string
	machine *stateless.StateMachine
}

// Load decodes and checks a chart. Every state must be reachable from the initial state.
func Load(data []byte) (*Chart, error) {
	c := &Chart{}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&c.doc); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := c.doc.check(); err != nil {
		return nil, err
	}
	c.machine = stateless.NewStateMachineWithExternalStorage(c.load, c.store, stateless.FiringImmediate)
	for state, events := range c.doc.States {
		configured := c.machine.Configure(state)
		for event, next := range events {
			if next == state {
				configured.PermitReentry(event)
				continue
			}
			configured.Permit(event, next)
		}
	}
	return c, nil
}

// MustLoad is Load for embedded charts. It panics on an error.
func MustLoad(data []byte) *Chart {
	c, err := Load(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (d *document) check() error {
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
			return Error.New("%s: state %q cannot be reached", d.Name, state)
		}
	}
	return nil
}

func (c *Chart) load(context.Context) (stateless.State, error) { return c.current, nil }

func (c *Chart) store(_ context.Context, s stateless.State) error {
	c.current = s.(string)
	return nil
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.doc.Name }

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.doc.Initial }

// Next returns the state after an event. An event that the state does not list is an error.
func (c *Chart) Next(state, event string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = state
	if err := c.machine.Fire(event); err != nil {
		return state, Error.New("%s: state %q does not accept event %q", c.doc.Name, state, event)
	}
	return c.current, nil
}

// Table returns the chart as a table for code that is called for every packet: table[state][event] is the position of
// the next state in states, or the same state where the chart lists no transition. It is an error if the chart has a
// state or event that the arguments lack.
func (c *Chart) Table(states, events []string) ([][]uint8, error) {
	position := make(map[string]uint8, len(states))
	for i, s := range states {
		position[s] = uint8(i)
	}
	column := make(map[string]int, len(events))
	for i, e := range events {
		column[e] = i
	}
	table := make([][]uint8, len(states))
	for i, s := range states {
		row := make([]uint8, len(events))
		for j := range row {
			row[j] = uint8(i)
		}
		for event, next := range c.doc.States[s] {
			j, found := column[event]
			if !found {
				return nil, Error.New("%s: event %q is unknown to the code", c.doc.Name, event)
			}
			row[j] = position[next]
		}
		table[i] = row
	}
	for s := range c.doc.States {
		if _, found := position[s]; !found {
			return nil, Error.New("%s: state %q is unknown to the code", c.doc.Name, s)
		}
	}
	return table, nil
}

// String returns the name of the chart and its number of states.
func (c *Chart) String() string { return fmt.Sprintf("%s (%d states)", c.doc.Name, len(c.doc.States)) }
