package direct

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/platform"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
	"github.com/marigoldwood/marigoldwood/timeline"
)

func provideLog(s *settings.Direct, out logOutput) (*logrus.Entry, error) {
	return logging.New(out, s.Log.Level, s.Host.Name)
}

func provideTraffic(s *settings.Direct, clock Clock, log *logrus.Entry, m *metrics) (*Traffic, error) {
	t, err := NewTraffic(s.Listen.Packets, clock, log, m)
	if err != nil {
		return nil, err
	}
	t.engine.LimitCold(steer.NewColdLimits(s.Cold.Overshoot, s.Cold.Slack, provideRandom(s)))
	return t, nil
}

func provideStore(s *settings.Direct, log *logrus.Entry) *platform.Store {
	log = log.WithField("source", sourceStore)
	return platform.NewStore(s.Platform.Address, s.Platform.Timeout, func(err error) { logRejectedRecord(log, err) })
}

// logRejectedRecord logs that a record of the store is not used, where log names the source that it came from.
func logRejectedRecord(log *logrus.Entry, err error) {
	log.WithError(err).WithFields(logrus.Fields{
		"event": "record-rejected", "code": resultcode.Of(err),
	}).Warn("ignored an unusable record")
}

// provideRandom derives the seed from the host name and the process ID, so that hosts that start at the same time do not act in
// step.
func provideRandom(s *settings.Direct) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s.Host.Name)
	return rand.New(rand.NewPCG(h.Sum64(), uint64(os.Getpid())))
}

func provideExchange(s *settings.Direct, clock Clock, log *logrus.Entry) *Exchange {
	return NewExchange(s.Host.Name, s.Host.DataCentre, clock, log)
}

// timelineEvents is the number of events that the timeline keeps, at about 200 bytes each.
const timelineEvents = 2048

func provideRing(s *settings.Direct) *timeline.Ring {
	return timeline.NewRing(s.Host.Name, timeline.NewClock(time.Now), timelineEvents)
}

func provideOperator(c *Control, ring *timeline.Ring, m *metrics) *operator.Server {
	return operator.NewServer(c, ring, m.handler)
}
