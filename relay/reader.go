package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstReaders is the number of hosts of which one, beside the seeds, does not wait for others before it reads a long list of the
	// store: 13 of 830 hosts and the seeds read the 100 pages of 4,600 targets in a second with 2,000 calls.
	firstReaders = 64
	// readerInterval is the time between two reports to the relay that reads the store for all data centres.
	readerInterval = 250 * time.Millisecond
	// followAge is the age of the store's last answer at which a relay reads the store itself although another one does so for
	// all: an idle watch of that one answers every 1 s, is followed by a pause of 0.2 s, and is told within readerInterval.
	followAge = 1900 * time.Millisecond
)

// Reader returns the relay that reads the store for those of all data centres, so that calls to the store do not grow with the data
// centres: the best one that the store answers, or else the best one. own is the standing of this host.
func (f *Fleet) Reader(own HostState) Host {
	self := &member{host: f.self, standing: own}
	relays := map[string]*member{f.self.DataCentre: self}
	for _, m := range f.members {
		if best := relays[m.host.DataCentre]; m.answers() && (best == nil || better(m, best)) {
			relays[m.host.DataCentre] = m
		}
	}
	var reader *member
	for _, m := range relays {
		switch {
		case reader == nil, reader.standing.ReadFailed && !m.standing.ReadFailed:
			reader = m
		case reader.standing.ReadFailed == m.standing.ReadFailed && better(m, reader):
			reader = m
		}
	}
	return reader.host
}

// MustRead reports whether this host reads the store: as the reader for all data centres, or because the store's last answer that it
// knows of is so old that those who read for it have failed, or are cut off. own is the standing of this host, age that of the
// answer; known is false when it knows of none.
func (f *Fleet) MustRead(own HostState, age time.Duration, known bool) bool {
	relay, _ := f.Relay(f.self.DataCentre, own)
	switch {
	case relay.Name != f.self.Name:
		return !known || age >= f.StaleAfter()
	case !known || age >= followAge:
		return true
	}
	return f.Reader(own).Name == f.self.Name
}

// IsInitialReader reports whether this host is one of the few that read a long list of the store at once when the whole
// fleet starts: the seeds, which all others contact, and one host in firstReaders. If every host read it, the bandwidth
// of the store's link would be the limit.
func (f *Fleet) IsInitialReader() bool {
	return slices.Contains(f.seeds, f.self.Address) || xxhash.Sum64String(f.self.Name)%firstReaders == 0
}
