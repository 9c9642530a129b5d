package direct

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/status"
)

// Guards against an evacuation and limits of cold targets that operators cannot see, and against limits that are never shared because the
// control goroutine does not tell the number of hosts.
func TestEvacuationAndLimitsAreVisible(t *testing.T) {
	now, logger := time.Second, logrus.New()
	c := newTestControl(t, func() time.Duration { return now }, logger)
	var logged []string
	logger.AddHook(hookFunc(func(e *logrus.Entry) {
		if kind, _ := e.Data["event"].(string); strings.HasPrefix(kind, "evacuation-") || strings.HasPrefix(kind, "cold-") {
			logged = append(logged, kind)
		}
	}))
	batch := singleTargetList(2)
	batch.Configuration.Services = []directory.Service{{Name: "ingest", ColdStart: 4 * time.Second, ColdPerSecond: 10}}
	batch.Evacuations = []directory.Evacuation{{DataCentre: "a", Revision: 2}, {DataCentre: "misspelled", Revision: 2}}
	run := func(end time.Duration) (status.Status, status.Target) {
		for ; now < end; now += 200 * time.Millisecond {
			c.sendReports(context.Background(), now)
		}
		s := c.status()
		return s, s.Services[0].Targets[0]
	}
	c.apply(batch, sourceStore, now)
	s, target := run(3 * time.Second)
	want := []status.Evacuation{{DataCentre: "a", AgeMS: 2000}}
	if !slices.Equal(s.Evacuations, want) || !target.Evacuated || target.Eligible {
		t.Errorf("evacuated: got %+v, target %+v", s.Evacuations, target)
	}
	if got := c.metrics.evacuations.Load(); got != 1 {
		t.Errorf("metric shows %d evacuated data centres, want 1", got)
	}
	c.apply(directory.Batch{Revision: 3, Evacuations: []directory.Evacuation{{DataCentre: "a", Revision: 3, Removed: true}}}, sourceStore, now)
	if s, target = run(8 * time.Second); len(s.Evacuations) > 0 || target.Evacuated || target.LimitedMS != 1000 {
		t.Errorf("5 s after the end: got %+v, target %+v, want it limited for 1 s more", s.Evacuations, target)
	}
	if got := c.metrics.limitedTargets.Load(); got != 1 || c.traffic.coldHosts.Load() != 1 {
		t.Errorf("metric shows %d limited targets, and %d hosts share them, want 1 and 1", got, c.traffic.coldHosts.Load())
	}
	if _, target = run(10 * time.Second); target.LimitedMS > 0 {
		t.Errorf("warm target: got %+v", target)
	}
	if want := []string{"evacuation-started", "evacuation-ended", "cold-limit-started", "cold-limit-ended"}; !slices.Equal(logged, want) {
		t.Errorf("logged %v, want %v", logged, want)
	}
}
