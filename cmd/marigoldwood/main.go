// Command marigoldwood is the load balancer daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/marigoldwood/marigoldwood/internal/buildinfo"
	"github.com/marigoldwood/marigoldwood/internal/daemon"
	"github.com/marigoldwood/marigoldwood/internal/settings"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// options holds the command line options.
type options struct {
	Settings string `long:"settings" value-name:"FILE" env:"MARIGOLDWOOD_SETTINGS" description:"settings file, YAML"`
	Check    bool   `long:"check-settings" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command line args and returns the exit code.
func run(args []string) int {
	if len(args) > 0 && args[0] == directCommand {
		return runDirect(args[1:])
	}
	return runDaemon("marigoldwood", args, settings.Load, func(ctx context.Context, _ string, s *settings.Settings) error {
		return daemon.Run(ctx, s, os.Stderr)
	})
}

// runDaemon parses the command line, loads the settings and runs the daemon until SIGTERM or an interrupt. It returns the
// exit code.
func runDaemon[S any](
	name string, args []string, load func(path string) (S, error), run func(ctx context.Context, path string, s S) error,
) int {
	var o options
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return failed(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err)
	}
	if o.Version {
		fmt.Println(buildinfo.Version())
		return exitOK
	}
	if o.Settings == "" {
		return usage(errors.New("--settings FILE is required"))
	}
	s, err := load(o.Settings)
	if err != nil {
		return failed(fmt.Errorf("%s: %w", o.Settings, err))
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o.Settings, s); err != nil {
		return failed(err)
	}
	return exitOK
}

// usage prints a usage error, or the requested help, and returns the exit code.
func usage(err error) int {
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "marigoldwood:", err)
	return exitUsage
}

// failed prints an error and returns exitFailed.
func failed(err error) int {
	fmt.Fprintln(os.Stderr, "marigoldwood:", err)
	return exitFailed
}
