// Command marigoldwood-standin runs a simulated external system, such as the platform or a target, for tests and experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/fabric"
	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// command runs a simulated system with its options until SIGTERM or an interrupt.
type command[O any] struct {
	Options O
	run     func(context.Context, O) error
}

// Execute implements flags.Commander.
func (c *command[O]) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, c.Options)
}

// addCommand adds the command of a simulated system to the parser.
func addCommand[O any](parser *flags.Parser, name, short string, run func(context.Context, O) error) {
	c := &command[O]{run: run}
	if _, err := parser.AddCommand(name, short, "", c); err != nil {
		panic(err) // the struct tags of the options are invalid
	}
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "platform", "Configuration service and host list", platform.Run)
	addCommand(parser, "fabric", "Network that delivers packets to balancers", fabric.Run)
	addCommand(parser, "target", "Targets that process the requests of a service", target.Run)
	addCommand(parser, "caller", "Callers with sessions and requests", caller.Run)
	addCommand(parser, "proxy", "Fault-injecting proxy for TCP and UDP", proxy.Run)
	if _, err := parser.Parse(); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		if !errors.As(err, &e) {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(1)
	}
}
