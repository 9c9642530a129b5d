package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marigoldwood/marigoldwood/internal/direct"
	"github.com/marigoldwood/marigoldwood/internal/settings"
)

// directCommand is the word that selects a balancer whose targets answer callers directly.
const directCommand = "direct"

// runDirect runs a balancer whose targets answer callers directly. Its log goes to the standard output.
func runDirect(args []string) int {
	// A request to read the settings again must not end a process that is still starting.
	signal.Ignore(syscall.SIGHUP)
	return runDaemon("marigoldwood "+directCommand, args, settings.LoadDirect, func(ctx context.Context, path string, s *settings.Direct) error {
		return direct.Run(ctx, path, s, os.Stdout)
	})
}
