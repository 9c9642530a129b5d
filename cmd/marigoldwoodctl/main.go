// Command marigoldwoodctl is the command-line tool for operators.
package main

import (
	"os"

	"github.com/marigoldwood/marigoldwood/internal/buildinfo"
	"github.com/marigoldwood/marigoldwood/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], buildinfo.Version(), ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
