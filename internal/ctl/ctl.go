// Package ctl implements the commands of marigoldwoodctl, the command-line tool for operators.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Exit codes of Run.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the command failed or its result is a refusal
	ExitUsage   = 2 // the command line is invalid
	ExitPartial = 3 // some of the hosts did not respond
)

// Streams are the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// globalOptions holds the options that all commands accept.
type globalOptions struct {
	Operators []string `long:"operator" short:"o" value-name:"ADDRESS:PORT" description:"operator port of a host; repeat for several hosts" env:"MARIGOLDWOOD_OPERATORS" env-delim:","`
	Output    string   `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	CertFile  string   `long:"tls-certificate" value-name:"FILE" description:"PEM file of the client certificate"`
	KeyFile   string   `long:"tls-key" value-name:"FILE" description:"PEM file of the client key"`
	CAFile    string   `long:"tls-authority" value-name:"FILE" description:"PEM file of the authorities that sign the hosts' certificates"`
}

// errPartial means that some of the hosts did not respond.
var errPartial = errors.New("some hosts did not respond")

// Run executes the command line args, which excludes the program name, and returns the exit code.
func Run(args []string, version string, streams Streams) int {
	if len(args) > 0 && args[0] == "bundle" {
		return runBundle(args[1:], streams)
	}
	var options globalOptions
	parser := flags.NewNamedParser("marigoldwoodctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Global options", "", &options); err != nil {
		return report(streams, err)
	}
	addCommands(parser, &options, version, streams)
	_, err := parser.ParseArgs(args)
	return report(streams, err)
}

func addCommands(parser *flags.Parser, options *globalOptions, version string, streams Streams) {
	base := command{options: options, streams: streams}
	for _, c := range []struct {
		name, short string
		data        flags.Commander
	}{
		{"status", "Show what runs where", &statusCommand{command: base}},
		{"timeline", "Show the events of all hosts in one order", &timelineCommand{command: base}},
		{"explain", "Show where a flow goes, and why", &explainCommand{command: base}},
		{"codes", "List the result codes", &codesCommand{command: base}},
		{"settings-reference", "Print the settings reference", &referenceCommand{command: base}},
		{"metrics-reference", "Print the metrics reference", &metricsCommand{command: base}},
		{"version", "Print the version", &versionCommand{command: base, version: version}},
		{"completion", "Print a completion script for bash", &completionCommand{command: base}},
		{"bundle", "Create, sign and compare bundles", &placeholderCommand{}},
	} {
		_, _ = parser.AddCommand(c.name, c.short, c.short+".", c.data)
	}
}

// command is the part that all commands have in common.
type command struct {
	options *globalOptions
	streams Streams
}

// placeholderCommand makes "bundle" appear in the help. Run passes its arguments to another parser.
type placeholderCommand struct{}

// Execute does nothing. It is never called.
func (*placeholderCommand) Execute([]string) error { return nil }

// report writes the error, or the requested help, and returns the exit code.
func report(streams Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(streams.Out, err)
			return ExitOK
		}
		_, _ = fmt.Fprintln(streams.Err, err)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(streams.Err, "marigoldwoodctl:", err)
	switch {
	case errors.Is(err, errPartial):
		return ExitPartial
	case resultcode.Of(err) == resultcode.Usage:
		return ExitUsage
	}
	return ExitFailed
}
