// Package flowlog finds what the logs of balancers say about one flow.
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
	// margin is how long before the first and after the last line of a flow its targets and hosts are looked at: a target is
	// forgotten, and a store counts as lost, within that time.
	margin = 10 * time.Second
	// maxLine bounds a line, bytes.
	maxLine = 1 << 20
)

// Line is a line of a balancer's log.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Flow   string // "" when it is about none
	Target string // "" when it is about none
	Text   string
}

// Read returns the lines of a log that name a time, a host and an event. Others are left out.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

func parse(text string) (Line, bool) {
	l := Line{Text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			value := string(decoder.Value())
			switch string(decoder.Key()) {
			case "time":
				l.At, _ = time.Parse(time.RFC3339Nano, value) // a line without a time is left out below
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

// Select returns the lines about a flow in the order of time, with those about its targets and the hosts that carried it from
// shortly before its first line until shortly after its last. Without a line about the flow it returns nil.
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
	first, last = first.Add(-margin), last.Add(margin)
	var out []Line
	for _, l := range lines {
		ofTarget := strings.HasPrefix(l.Event, "target-") && targets[l.Target]
		ofHost := hosts[l.Host] && slices.Contains(hostEvents, l.Event)
		if l.Flow == flow || (ofTarget || ofHost) && l.At.After(first) && l.At.Before(last) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host)) })
	return out
}
