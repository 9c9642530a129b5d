package ctl

import "github.com/marigoldwood/marigoldwood/internal/bundlecli"

// runBundle hands the arguments of the bundle command to its own parser.
func runBundle(args []string, streams Streams) int {
	return bundlecli.Run(args, streams.In, streams.Out, streams.Err)
}
