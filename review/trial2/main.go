//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit codes of a trial.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*world) error{
	"unnamed-service": unnamedService,
	"cut-targets":     cutTargets,
	"no-start":        entryWithoutStart,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- play(w) }()
	select {
	case err = <-done:
	case <-stop:
		rec.say("stopped by a signal")
		return exitNotRun
	}
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	for what, n := range rec.counts {
		rec.say("%d %s", n, what)
	}
	if len(rec.breaks) > 0 {
		rec.say("%d breaks of a rule, the first: %s", len(rec.breaks), rec.breaks[0])
		return exitBroken
	}
	rec.say("no rule was broken")
	return exitHeld
}

func filterLines(text string, limit int, words []string) []string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		for _, word := range words {
			if strings.Contains(line, word) && len(out) < limit {
				out = append(out, line)
				break
			}
		}
	}
	return out
}
