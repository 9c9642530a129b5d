// Package flowlog selects the lines about one flow, with their context, from the logs of balancers.
package flowlog

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("flowlog")

const (
	// contextMargin is the time before the first and after the last line of a flow from which lines about its targets and
	// hosts are selected. A target is forgotten, and a store counts as lost, within that time.
	contextMargin = 10 * time.Second
	// maxLineBytes is the maximum length of a line in bytes. A longer line ends the reading with an error.
	maxLineBytes = 1 << 20
)

// Line is a line of a balancer's log.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Flow   string // "" when the line names none
	Target string // "" when the line names none
	Text   string // the whole line
}

// Read returns the lines of a log that have a time, a host and an event, and skips all others.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

// parse reads a line in logfmt. It reports whether the line has a time, a host and an event.
func parse(text string) (Line, bool) {
	l := Line{Text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			value := string(decoder.Value())
			switch string(decoder.Key()) {
			case "time":
				l.At, _ = time.Parse(time.RFC3339Nano, value) // a line without a valid time is skipped below
			case "host":
				l.Host = value
			case "event":
				l.Event = value
			case "flow":
				l.Flow = value
			case "target":
				l.Target = value
			}
		}
	}
	return l, decoder.Err() == nil && !l.At.IsZero() && l.Host != "" && l.Event != ""
}

// hostEvents are the events of a host that explain what happened to the flows it carries.
var hostEvents = []string{
	"start", "stop", "lifecycle", "reload", "relay", "store-lost", "store-regained", "history-gone", "configuration-accepted",
	"configuration-stale", "decisions-left-out", "log-lines-dropped",
}

// Select returns the lines about a flow in order of time, with the lines about its targets and about the hosts that carried
// it from contextMargin before its first line to contextMargin after its last. It returns nil when no line is about the flow.
func Select(lines []Line, flow string) []Line {
	hosts, targets := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Flow != flow {
			continue
		}
		if len(hosts) == 0 || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
		hosts[l.Host] = true
		if l.Target != "" {
			targets[l.Target] = true
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	first, last = first.Add(-contextMargin), last.Add(contextMargin)
	var out []Line
	for _, l := range lines {
		aboutTarget := strings.HasPrefix(l.Event, "target-") && targets[l.Target]
		aboutHost := hosts[l.Host] && slices.Contains(hostEvents, l.Event)
		if l.Flow == flow || (aboutTarget || aboutHost) && l.At.After(first) && l.At.Before(last) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host)) })
	return out
}
