package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/marigoldwood/marigoldwood/internal/direct"
	"github.com/marigoldwood/marigoldwood/internal/settings"
)

type directOptions struct {
	Settings string `long:"settings" value-name:"FILE" env:"MARIGOLDWOOD_SETTINGS" description:"settings file, YAML"`
	Check    bool   `long:"check-settings" description:"check the settings file and exit"`
}

func runDirect(args []string) int {
	var o directOptions
	parser := flags.NewNamedParser("marigoldwood "+directCommand, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return failed(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err)
	}
	if o.Settings == "" {
		return usage(errors.New("--settings FILE is required"))
	}
	s, err := settings.LoadDirect(o.Settings)
	if err != nil {
		return failed(fmt.Errorf("%s: %w", o.Settings, err))
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := direct.Run(ctx, o.Settings, s, os.Stdout); err != nil {
		return failed(err)
	}
	return exitOK
}
