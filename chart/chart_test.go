package chart

import (
	"strings"
	"testing"
)

const door = `
name: door
initial: closed
states:
  closed: {open: open, lock: locked}
  open: {close: closed}
  locked: {unlock: closed}
`

func TestNext(t *testing.T) {
	c := MustLoad([]byte(door))
	if got, err := c.Next("closed", "open"); got != "open" || err != nil {
		t.Fatalf("event open in state closed leads to %q, error %v, want open", got, err)
	}
	if got, err := c.Next("locked", "open"); got != "locked" || err == nil {
		t.Fatalf("event open in state locked leads to %q, error %v, want locked and an error", got, err)
	}
}

// Guards against invalid charts that are accepted by Load and fail only when they are interpreted.
func TestLoadRefuses(t *testing.T) {
	for name, change := range map[string][2]string{
		"undefined next state": {"unlock: closed", "unlock: ajar"},
		"unreachable state":    {", lock: locked", ""},
		"undefined initial":    {"initial: closed", "initial: shut"},
		"unknown field":        {"name: door", "name: door\nowner: x"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Load([]byte(strings.Replace(door, change[0], change[1], 1))); err == nil {
				t.Fatal("Load accepted the chart, want an error")
			}
		})
	}
}

func TestTable(t *testing.T) {
	c := MustLoad([]byte(door))
	table, err := c.Table([]string{"closed", "open", "locked"}, []string{"open", "close", "lock", "unlock"})
	if err != nil || table[0][2] != 2 || table[2][0] != 2 {
		t.Fatalf("got table %v, error %v, want table[0][2] and table[2][0] to be 2", table, err)
	}
	if _, err := c.Table([]string{"closed", "open"}, []string{"open", "close", "lock", "unlock"}); err == nil {
		t.Fatal("Table accepted a chart with a state that is not in the list, want an error")
	}
}
