package direct

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// settingsInterval is how often the settings file is compared with what was read: it may change without a signal.
const settingsInterval = 2 * time.Second

// settingsWatch reads the settings file again on SIGHUP and when its content changes.
type settingsWatch struct {
	path    string
	log     *logrus.Entry
	changed chan *settings.Direct
}

func newSettingsWatch(path settingsPath, log *logrus.Entry) *settingsWatch {
	return &settingsWatch{path: string(path), log: log, changed: make(chan *settings.Direct)}
}

func (w *settingsWatch) run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(w.path)
	if err != nil {
		w.rejected(err)
	}
	for {
		select {
		case <-hangup:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		data, err := os.ReadFile(w.path)
		if err != nil {
			w.rejected(err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		if !w.offer(ctx, data) {
			return nil
		}
	}
}

// offer hands new settings to the control goroutine. It returns false when the context ends first.
func (w *settingsWatch) offer(ctx context.Context, data []byte) bool {
	s, err := settings.ParseDirect(data)
	if err != nil {
		w.rejected(err)
		return true
	}
	select {
	case w.changed <- s:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *settingsWatch) rejected(err error) {
	w.log.WithError(err).WithFields(logrus.Fields{"event": "reload-rejected", "code": resultcode.Of(err)}).Warn("settings stay as they are")
}

// reload takes over the settings that may change while the process runs: seeds and the level of the log. Others take
// effect at the next start.
func (c *Control) reload(s *settings.Direct) {
	c.fleet.SetSeeds(s.Peers.Seeds)
	restart := s.Host != c.settings.Host || s.Listen != c.settings.Listen || s.Platform != c.settings.Platform
	c.settings.Shutdown = s.Shutdown
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil { // the settings were checked
		c.log.Logger.SetLevel(level)
	}
	c.record(logrus.InfoLevel, timeline.Event{Kind: "reload"}, logrus.Fields{"seeds": s.Peers.Seeds, "level": s.Log.Level, "needs_restart": restart})
}
