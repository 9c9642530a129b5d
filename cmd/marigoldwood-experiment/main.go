// Command marigoldwood-experiment runs the demo and the measurements of docs/design.md with real processes on the loopback
// interface.
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

// options holds the command line options.
type options struct {
	Bin   string  `long:"bin" default:"bin" description:"directory of the programs"`
	Out   string  `long:"out" default:"out" description:"directory for results, settings and logs"`
	Seed  uint64  `long:"seed" default:"1" description:"seed of random choices"`
	Scale float64 `long:"scale" default:"1" description:"part of the full number of flows and requests"`
}

// runner runs experiments with the options.
type runner struct {
	options *options
}

// run runs the named experiment until it ends or a signal arrives, and prints its report. Missed goals are an error.
func (r *runner) run(name string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := experiment.Do(ctx, name, experiment.Config{
		Bin: r.options.Bin, Out: r.options.Out, Seed: r.options.Seed, Scale: r.options.Scale, Progress: experiment.NewLineProgress(os.Stderr),
	})
	if report != nil {
		err = errors.Join(err, report.Print(os.Stdout))
	}
	if err != nil {
		return err
	}
	if missed := report.Missed(); missed > 0 {
		return fmt.Errorf("%d of %d goals were not met", missed, len(report.Goals))
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
	addCommand := func(name, short string, data any) {
		if _, err := parser.AddCommand(name, short, "", data); err != nil {
			panic(err) // the struct tags of the options are invalid
		}
	}
	addCommand("demo", "Show a deployment while a target drains and a balancer is replaced", &demoCommand{runner{&o}})
	addCommand("capacity", "Measure the cost of a balancer and project it to the planned size", &capacityCommand{runner{&o}})
	addCommand("run", "Run a measurement: "+strings.Join(experiment.Names(), ", "), &runCommand{runner: runner{&o}})
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
