// Package logging formats the log: one line of key=value pairs per event.
package logging

import (
	"io"
	"maps"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/timeline"
)

// New returns a logger that writes entries of the given level or above to w. Every entry has the field host. An unknown
// level is an error.
func New(w io.Writer, level, host string) (*logrus.Entry, error) {
	parsedLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsedLevel)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
	})
	return logger.WithField("host", host), nil
}

// FlowName returns the name of a flow in the log: "CALLER>ENDPOINT".
func FlowName(caller, endpoint netip.AddrPort) string {
	return caller.String() + ">" + endpoint.String()
}

// Event logs an event of the timeline at level info.
func Event(log *logrus.Entry, e timeline.Event) { EventWithFields(log, logrus.InfoLevel, e, nil) }

// EventWithFields logs an event of the timeline together with the inputs of the decision that it records.
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
