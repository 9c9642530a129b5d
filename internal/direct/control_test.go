package direct

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/steer"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// hookFunc is called with each line of the log.
type hookFunc func(*logrus.Entry)

// Levels implements logrus.Hook.
func (hookFunc) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (f hookFunc) Fire(e *logrus.Entry) error {
	f(e)
	return nil
}

// Replays the start of a host while packets wait in its socket. Guards against a first view that waits until each target of a large
// list is logged.
func TestViewIsInForceBeforeItsChangesAreLogged(t *testing.T) {
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := func() time.Duration { return time.Second }
	s := &settings.Direct{Host: settings.DirectHost{Name: "h", DataCentre: "a", Weight: 1}}
	s.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:9000")
	c := NewControl(controlParts{
		Settings: s, Log: logrus.NewEntry(logger), Clock: clock, Ring: timeline.NewRing("h", timeline.NewClock(time.Now), 16),
		Reader: newStoreReader(nil, clock), Exchange: &Exchange{}, Metrics: m,
		Traffic: &Traffic{engine: steer.NewEngine(), clock: clock, first: make(chan struct{})},
	})
	listed := 0
	logger.AddHook(hookFunc(func(e *logrus.Entry) {
		if e.Data["event"] == directory.TargetListed.String() {
			listed++
			if c.traffic.View() == nil {
				t.Error("a target is logged before the view is in force")
			}
		}
	}))
	target := &directory.Target{Name: "t-1", ID: 1, Service: "ingest", DataCentre: "a", Capacity: 1, Address: netip.MustParseAddrPort("127.0.0.2:80")}
	c.apply(directory.Batch{
		Complete: true, Revision: 2, Configuration: &directory.Configuration{Version: 1, Revision: 1},
		Changes: []directory.Change{{Name: target.Name, Revision: 2, Target: target}},
	}, sourceStore, time.Second)
	if listed != 1 {
		t.Errorf("%d targets logged", listed)
	}
}
