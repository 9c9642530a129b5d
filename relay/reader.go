package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hostsPerInitialReader is the number of hosts of which one, besides the seeds, reads a long list of the store at once: 13 of
	// 830 hosts and the seeds read the 100 pages of 4,600 targets in a second with 2,000 calls.
	hostsPerInitialReader = 64
	// readerInterval is the time between two reports to the relay that reads the store for all data centres.
	readerInterval = 250 * time.Millisecond
	// relayStaleAfter is the age of the store's last answer at which a relay reads the store itself although another one does. An
	// idle watch of the reader answers every 1 s, pauses for 0.2 s, and its answer arrives here within readerInterval.
	relayStaleAfter = 1900 * time.Millisecond
)

// Reader returns the relay that reads the store for those of all data centres, so that calls to the store do not grow with
// their number: the best relay that the store answers, or else the best one. own is the state of this host.
func (f *Fleet) Reader(own HostState) Host {
	self := &member{host: f.self, state: own}
	relays := map[string]*member{f.self.DataCentre: self}
	for _, m := range f.members {
		if best := relays[m.host.DataCentre]; m.isResponsive() && (best == nil || ranksHigher(m, best)) {
			relays[m.host.DataCentre] = m
		}
	}
	var reader *member
	for _, m := range relays {
		switch {
		case reader == nil, reader.state.ReadFailed && !m.state.ReadFailed:
			reader = m
		case reader.state.ReadFailed == m.state.ReadFailed && ranksHigher(m, reader):
			reader = m
		}
	}
	return reader.host
}

// MustRead reports whether this host reads the store: as the reader for all data centres, or because the last known answer of
// the store is so old that its readers have failed or are cut off. own is the state of this host, age that of the answer; known
// is false when there is none.
func (f *Fleet) MustRead(own HostState, age time.Duration, known bool) bool {
	relay, _ := f.Relay(f.self.DataCentre, own)
	switch {
	case relay.Name != f.self.Name:
		return !known || age >= f.StaleAfter()
	case !known || age >= relayStaleAfter:
		return true
	}
	return f.Reader(own).Name == f.self.Name
}

// IsInitialReader reports whether this host is one of the few that read a long list of the store at once when the whole
// fleet starts: the seeds, which all others contact, and one of every hostsPerInitialReader hosts. If every host read
// it, the bandwidth of the store's link would be the limit.
func (f *Fleet) IsInitialReader() bool {
	return slices.Contains(f.seeds, f.self.Address) || xxhash.Sum64String(f.self.Name)%hostsPerInitialReader == 0
}
