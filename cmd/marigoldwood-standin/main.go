// Command marigoldwood-standin runs one of the stand-ins for outside systems that tests and experiments use.
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

// command runs one stand-in with its options until a signal comes.
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

func add[O any](parser *flags.Parser, name, short string, run func(context.Context, O) error) {
	c := &command[O]{run: run}
	if _, err := parser.AddCommand(name, short, "", c); err != nil {
		panic(err) // the option tags are wrong
	}
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	add(parser, "platform", "Configuration service and host list", platform.Run)
	add(parser, "fabric", "Network that hands packets to balancers", fabric.Run)
	add(parser, "target", "Targets that do a service's work", target.Run)
	add(parser, "caller", "Callers with sessions and requests", caller.Run)
	add(parser, "proxy", "Fault-injecting proxy for TCP and UDP", proxy.Run)
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
