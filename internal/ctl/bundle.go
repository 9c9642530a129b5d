package ctl

import "github.com/marigoldwood/marigoldwood/internal/bundlecli"

// runBundle runs the bundle command, which has its own parser.
func runBundle(args []string, streams Streams) int {
	return bundlecli.Run(args, streams.In, streams.Out, streams.Err)
}
