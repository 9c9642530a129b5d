// Package logging writes the log: one line of key=value pairs for each event.
package logging

import (
	"io"
	"maps"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/timeline"
)

// New returns a logger that writes lines at level or above to w. Every line carries the host.
func New(w io.Writer, level, host string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return logger.WithField("host", host), nil
}

// FlowName names a flow in the log: caller, then endpoint.
func FlowName(caller, endpoint netip.AddrPort) string {
	return caller.String() + ">" + endpoint.String()
}

// Event writes an event of the time line to the log.
func Event(log *logrus.Entry, e timeline.Event) { EventWithFields(log, logrus.InfoLevel, e, nil) }

// EventWithFields writes an event of the time line to the log, with the values that it was decided by.
func EventWithFields(log *logrus.Entry, level logrus.Level, e timeline.Event, inputs logrus.Fields) {
	fields := logrus.Fields{"event": e.Kind}
	maps.Copy(fields, inputs)
	add := func(key, value string) {
		if value != "" {
			fields[key] = value
		}
	}
	add("service", e.Service)
	add("target", e.Target)
	add("member", e.Member)
	add("flow", e.Flow)
	add("detail", e.Detail)
	if e.Version != 0 {
		fields["version"] = e.Version
	}
	if e.Code != 0 {
		fields["code"] = e.Code
	}
	log.WithFields(fields).Log(level, e.Kind)
}
