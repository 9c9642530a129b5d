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
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := c.Next("locked", "open"); got != "locked" || err == nil {
		t.Fatalf("an event that the state does not list gave %q, %v", got, err)
	}
}

// Guards against charts that the code would misread in the middle of its work.
func TestLoadRefuses(t *testing.T) {
	for name, change := range map[string][2]string{
		"undefined next state": {"unlock: closed", "unlock: ajar"},
		"unreachable state":    {", lock: locked", ""},
		"undefined initial":    {"initial: closed", "initial: shut"},
		"unknown field":        {"name: door", "name: door\nowner: x"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Load([]byte(strings.Replace(door, change[0], change[1], 1))); err == nil {
				t.Fatal("accepted")
			}
		})
	}
}

func TestTable(t *testing.T) {
	c := MustLoad([]byte(door))
	table, err := c.Table([]string{"closed", "open", "locked"}, []string{"open", "close", "lock", "unlock"})
	if err != nil || table[0][2] != 2 || table[2][0] != 2 {
		t.Fatalf("got %v, %v", table, err)
	}
	if _, err := c.Table([]string{"closed", "open"}, []string{"open", "close", "lock", "unlock"}); err == nil {
		t.Fatal("a state that the code lacks was accepted")
	}
}
