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
	// followWindow is how long an event of a followed time line is held back, so that events of other hosts that
	// come before it can arrive and be printed in order.
	followWindow = 500 * time.Millisecond
	followWait   = 10 * time.Second
	followRetry  = time.Second
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

// Execute prints the events of every host in one order.
func (c *timelineCommand) Execute([]string) error {
	cl, err := newClient(c.options)
	if err != nil {
		return err
	}
	if c.Follow {
		return c.follow(cl)
	}
	answers := askAll[[]timeline.Event](cl, "/timeline")
	var events []timeline.Event
	for _, a := range answers {
		events = append(events, a.Value...)
	}
	timeline.Sort(events)
	if err := c.print(events); err != nil {
		return err
	}
	return reportMissing(c.streams.Err, answers)
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
		if err := c.printOne(e); err != nil {
			return err
		}
	}
	return nil
}

func (c *timelineCommand) printOne(e timeline.Event) error {
	if c.options.Output == "json" {
		return json.NewEncoder(c.streams.Out).Encode(e)
	}
	_, err := fmt.Fprintln(c.streams.Out, formatEvent(e))
	return err
}

// formatEvent shows the logical time first and the host's own wall clock beside it.
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
			if err := c.print(takeOld(&pending, time.Now().Add(-followWindow))); err != nil {
				stop()
				return err
			}
		}
	}
}

// takeOld removes and returns, in order, the events before the given time.
func takeOld(pending *[]timeline.Event, before time.Time) []timeline.Event {
	timeline.Sort(*pending)
	n := 0
	for n < len(*pending) && (*pending)[n].Stamp.Wall < before.UnixNano() {
		n++
	}
	old := (*pending)[:n:n]
	*pending = (*pending)[n:]
	return old
}

func followHost(ctx context.Context, cl *client, host string, received chan<- []timeline.Event, errors io.Writer) {
	var since timeline.Stamp
	for ctx.Err() == nil {
		var events []timeline.Event
		path := fmt.Sprintf("/timeline?wall=%d&logical=%d&wait_ms=%d", since.Wall, since.Logical, followWait.Milliseconds())
		if err := cl.get(ctx, host, path, &events); err != nil {
			if ctx.Err() == nil {
				_, _ = fmt.Fprintln(errors, err)
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
