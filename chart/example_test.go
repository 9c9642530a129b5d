package chart_test

import (
	"fmt"

	"github.com/marigoldwood/marigoldwood/chart"
)

func Example() {
	c := chart.MustLoad([]byte(`
name: door
initial: closed
states:
  closed: {open: open}
  open: {close: closed}
`))
	next, _ := c.Next(c.Initial(), "open")
	fmt.Println(next)
	// Output: open
}
