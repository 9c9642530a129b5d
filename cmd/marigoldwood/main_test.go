package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"marigoldwood": func() { os.Exit(run(os.Args[1:])) }})
}

// Guards against invalid settings or command lines that are accepted. The scripts in testdata name the cases.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
