package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/timeline"
)

const (
	// followWindow is how long timeline --follow delays an event, so that earlier events of other hosts can arrive and be
	// printed in order.
	followWindow = 500 * time.Millisecond
	followWait   = 10 * time.Second // how long a host waits for an event before it sends an empty response
	followRetry  = time.Second      // delay after a failed request
	timeFormat   = "15:04:05.000000"
)

type timelineCommand struct {
	command
	Kind    string `long:"kind" description:"only events of this kind"`
	Flow    string `long:"flow" description:"only events of this flow"`
	Target  string `long:"target" description:"only events of this target"`
	Host    string `long:"host" description:"only events of this host"`
	Version uint64 `long:"bundle-version" description:"only events of this bundle version"`
	Follow  bool   `long:"follow" short:"f" description:"go on with new events"`
}

// Execute prints the events of all hosts, merged in timeline order.
func (c *timelineCommand) Execute([]string) error {
	cl, err := newClient(c.options)
	if err != nil {
		return err
	}
	if c.Follow {
		return c.follow(cl)
	}
	responses := queryAll[[]timeline.Event](cl, "/timeline")
	var events []timeline.Event
	for _, r := range responses {
		events = append(events, r.Value...)
	}
	timeline.Sort(events)
	if err := c.print(events); err != nil {
		return err
	}
	return reportErrors(c.streams.Err, responses)
}

func (c *timelineCommand) filter() timeline.Filter {
	return timeline.Filter{Kind: c.Kind, Flow: c.Flow, Target: c.Target, Host: c.Host, Version: c.Version}
}

func (c *timelineCommand) print(events []timeline.Event) error {
	filter := c.filter()
	for _, e := range events {
		if !filter.Match(e) {
			continue
		}
		if err := c.printEvent(e); err != nil {
			return err
		}
	}
	return nil
}

func (c *timelineCommand) printEvent(e timeline.Event) error {
	if c.options.Output == "json" {
		return json.NewEncoder(c.streams.Out).Encode(e)
	}
	_, err := fmt.Fprintln(c.streams.Out, formatEvent(e))
	return err
}

// formatEvent formats an event as a line that starts with its logical timestamp and the wall clock time of its host.
func formatEvent(e timeline.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d wall=%s host=%s event=%s", time.Unix(0, e.Stamp.Wall).UTC().Format(timeFormat), e.Stamp.Logical,
		time.Unix(0, e.Local).UTC().Format(timeFormat), e.Host, e.Kind)
	add := func(key, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%q", key, value)
		}
	}
	add("service", e.Service)
	add("target", e.Target)
	add("member", e.Member)
	add("flow", e.Flow)
	add("detail", e.Detail)
	if e.Version != 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	if e.Code != 0 {
		fmt.Fprintf(&b, " code=%d", e.Code)
	}
	return b.String()
}

// follow prints the events of all hosts, and then new ones as they occur, until an interrupt signal.
func (c *timelineCommand) follow(cl *client) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	received := make(chan []timeline.Event)
	var wg sync.WaitGroup
	for _, host := range cl.hosts {
		wg.Go(func() { followHost(ctx, cl, host, received, c.streams.Err) })
	}
	defer wg.Wait()
	ticker := time.NewTicker(followWindow)
	defer ticker.Stop()
	var pending []timeline.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case events := <-received:
			pending = append(pending, events...)
		case <-ticker.C:
			if err := c.print(takeBefore(&pending, time.Now().Add(-followWindow))); err != nil {
				stop()
				return err
			}
		}
	}
}

// takeBefore removes the events before the given time from pending and returns them in order.
func takeBefore(pending *[]timeline.Event, before time.Time) []timeline.Event {
	timeline.Sort(*pending)
	n := 0
	for n < len(*pending) && (*pending)[n].Stamp.Wall < before.UnixNano() {
		n++
	}
	taken := (*pending)[:n:n]
	*pending = (*pending)[n:]
	return taken
}

// followHost sends the events of one host to received, oldest first, and retries after errors until ctx is done.
func followHost(ctx context.Context, cl *client, host string, received chan<- []timeline.Event, errorOutput io.Writer) {
	var since timeline.Stamp
	for ctx.Err() == nil {
		var events []timeline.Event
		path := fmt.Sprintf("/timeline?wall=%d&logical=%d&wait_ms=%d", since.Wall, since.Logical, followWait.Milliseconds())
		if err := cl.get(ctx, host, path, &events); err != nil {
			if ctx.Err() == nil {
				_, _ = fmt.Fprintln(errorOutput, err)
			}
			sleep(ctx, followRetry)
			continue
		}
		if len(events) == 0 {
			continue
		}
		since = events[len(events)-1].Stamp
		select {
		case received <- events:
		case <-ctx.Done():
		}
	}
}

// sleep waits for the duration d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
