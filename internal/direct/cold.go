package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// limitedGroup identifies the targets of a service in a data centre.
type limitedGroup struct{ dataCentre, service string }

// limitedTargets are the targets of a group to which opening packets are limited.
type limitedTargets struct {
	count int
	until time.Duration // end of the last limit
}

// updateColdLimits tells the traffic goroutine the number of hosts that share the limits for cold targets, and records when limits begin
// and end.
func (c *Control) updateColdLimits(now time.Duration) {
	hosts := c.coldShare.Update(c.fleet, now)
	c.traffic.SetColdHosts(hosts)
	groups := map[limitedGroup]limitedTargets{}
	total := 0
	if view := c.traffic.View(); view != nil {
		for _, t := range view.Limited(now) {
			key := limitedGroup{t.DataCentre, t.Service}
			g := groups[key]
			groups[key] = limitedTargets{g.count + 1, max(g.until, t.LimitedUntil())}
			total++
		}
	}
	c.metrics.limitedTargets.Store(int64(total))
	for key, g := range groups {
		if _, known := c.limited[key]; !known {
			c.recordColdLimit("cold-limit-started", key, logrus.Fields{"targets": g.count, "for": g.until - now, "hosts": hosts})
		}
	}
	for key := range c.limited {
		if _, remains := groups[key]; !remains {
			c.recordColdLimit("cold-limit-ended", key, logrus.Fields{"hosts": hosts})
		}
	}
	c.limited = groups
}

// recordColdLimit records a change of the limits of a group, with the number of hosts that share them and the age of what the store told.
func (c *Control) recordColdLimit(kind string, key limitedGroup, inputs logrus.Fields) {
	inputs["data_centre"], inputs["revision"] = key.dataCentre, c.directory.Revision()
	if age, known := c.directory.Age(c.clock()); known {
		inputs["age"] = age
	}
	c.record(logrus.InfoLevel, timeline.Event{Kind: kind, Service: key.service}, inputs)
}

// activeEvacuations returns the number of evacuated data centres that have targets.
func activeEvacuations(s *directory.Snapshot) int {
	n := 0
	for _, e := range s.Evacuations {
		if e.Active {
			n++
		}
	}
	return n
}

// evacuationStatus returns the evacuated data centres that have targets, sorted by name.
func evacuationStatus(s *directory.Snapshot) []status.Evacuation {
	var out []status.Evacuation
	for _, name := range slices.Sorted(maps.Keys(s.Evacuations)) {
		if e := s.Evacuations[name]; e.Active {
			out = append(out, status.Evacuation{DataCentre: name, AgeMS: (s.TakenAt - e.Since).Milliseconds()})
		}
	}
	return out
}
