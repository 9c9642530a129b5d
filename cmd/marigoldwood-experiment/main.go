// Command marigoldwood-experiment runs the demo and the measurements of docs/design.md against real processes on
// loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/marigoldwood/marigoldwood/internal/experiment"
)

type options struct {
	Bin   string  `long:"bin" default:"bin" description:"directory of the programs"`
	Out   string  `long:"out" default:"out" description:"directory for results, settings and logs"`
	Seed  uint64  `long:"seed" default:"1" description:"seed of random choices"`
	Scale float64 `long:"scale" default:"1" description:"part of the full number of flows and requests"`
}

type runner struct {
	options *options
}

func (r *runner) run(name string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := experiment.Do(ctx, name, experiment.Config{
		Bin: r.options.Bin, Out: r.options.Out, Seed: r.options.Seed, Scale: r.options.Scale, Progress: experiment.NewLines(os.Stderr),
	})
	if report != nil {
		err = errors.Join(err, report.Print(os.Stdout))
	}
	if err != nil {
		return err
	}
	if n := report.Missed(); n > 0 {
		return fmt.Errorf("%d of %d goals were not met", n, len(report.Goals))
	}
	return nil
}

type demoCommand struct{ runner }

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error { return c.run("demo") }

type capacityCommand struct{ runner }

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error { return c.run("capacity") }

type runCommand struct {
	runner
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error { return c.run(c.Args.Name) }

func main() {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, data any) {
		if _, err := parser.AddCommand(name, short, "", data); err != nil {
			panic(err) // the option tags are wrong
		}
	}
	add("demo", "Show a deployment while a target drains and a balancer is replaced", &demoCommand{runner{&o}})
	add("capacity", "Measure the cost of a balancer and project it to the planned size", &capacityCommand{runner{&o}})
	add("run", "Run a measurement: "+strings.Join(experiment.Names(), ", "), &runCommand{runner: runner{&o}})
	_, err := parser.Parse()
	var e *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &e) && e.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
