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

// settingsInterval is how often the settings file is checked for changes, which may come without a signal.
const settingsInterval = 2 * time.Second

// settingsWatch reloads the settings file when its content has changed. It checks periodically and on SIGHUP.
type settingsWatch struct {
	path    string
	log     *logrus.Entry
	updates chan *settings.Direct
}

func newSettingsWatch(path settingsPath, log *logrus.Entry) *settingsWatch {
	return &settingsWatch{path: string(path), log: log, updates: make(chan *settings.Direct)}
}

func (w *settingsWatch) run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(w.path)
	if err != nil {
		w.logRejected(err)
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
			w.logRejected(err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		if !w.deliver(ctx, data) {
			return nil
		}
	}
}

// deliver passes valid settings to the control goroutine and logs invalid ones. It returns false if ctx is done first.
func (w *settingsWatch) deliver(ctx context.Context, data []byte) bool {
	s, err := settings.ParseDirect(data)
	if err != nil {
		w.logRejected(err)
		return true
	}
	select {
	case w.updates <- s:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *settingsWatch) logRejected(err error) {
	w.log.WithError(err).WithFields(logrus.Fields{
		"event": "reload-rejected", "code": resultcode.Of(err),
	}).Warn("settings were not reloaded")
}

// reload applies the settings that may change at run time: seeds, shutdown and log level. Others take effect after a restart.
func (c *Control) reload(s *settings.Direct) {
	c.fleet.SetSeeds(s.Peers.Seeds)
	restart := s.Host != c.settings.Host || s.Listen != c.settings.Listen || s.Platform != c.settings.Platform ||
		s.Cold != c.settings.Cold
	c.settings.Shutdown = s.Shutdown
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil { // cannot fail: the settings are valid
		c.log.Logger.SetLevel(level)
	}
	c.record(logrus.InfoLevel, timeline.Event{Kind: "reload"}, logrus.Fields{
		"seeds": s.Peers.Seeds, "level": s.Log.Level, "needs_restart": restart,
	})
}
