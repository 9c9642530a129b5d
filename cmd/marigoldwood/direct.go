package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marigoldwood/marigoldwood/internal/direct"
	"github.com/marigoldwood/marigoldwood/internal/settings"
)

// directCommand is the subcommand for a balancer whose targets answer callers directly (direct server return).
const directCommand = "direct"

// runDirect runs a balancer whose targets answer callers directly and returns the exit code. The log goes to standard output.
func runDirect(args []string) int {
	// SIGHUP requests a reload of the settings. By default it would terminate a process that is still starting.
	signal.Ignore(syscall.SIGHUP)
	return runDaemon("marigoldwood "+directCommand, args, settings.LoadDirect, func(ctx context.Context, path string, s *settings.Direct) error {
		return direct.Run(ctx, path, s, os.Stdout)
	})
}
