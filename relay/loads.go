package relay

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// loadAge is how long reported loads count, beside the time between two reports.
	loadAge = time.Second
	// maxLoads bounds the loads of one message to the busiest targets: others are as good as idle.
	maxLoads = 64
)

// loads were told at a time.
type loads struct {
	list []directory.Load
	at   time.Duration
}

func (f *Fleet) loadAge() time.Duration { return loadAge + f.Interval() }

// ReplyLoads returns the loads for a reply to the named host of the data centre. own are the loads of this host. It
// returns nil when this host is not the relay.
func (f *Fleet) ReplyLoads(name, dataCentre string, own []directory.Load, now time.Duration) []directory.Load {
	if !f.isRelay() {
		return nil
	}
	var sum loadSum
	sum.add(own)
	f.addCentre(&sum, name, now)
	if dataCentre == f.self.DataCentre {
		f.addOthers(&sum, now)
	}
	return sum.list()
}

// ReportLoads returns the loads for a report to a host, and whether they cover the whole data centre.
func (f *Fleet) ReportLoads(to netip.AddrPort, own []directory.Load, now time.Duration) (list []directory.Load, centre bool) {
	for _, m := range f.members {
		if m.host.Address == to && m.host.DataCentre != f.self.DataCentre && f.isRelay() {
			return f.ReplyLoads(m.host.Name, m.host.DataCentre, own, now), true
		}
	}
	var sum loadSum
	sum.add(own)
	return sum.list(), false
}

// PeerLoads returns the sum of the loads of all other hosts.
func (f *Fleet) PeerLoads(now time.Duration) []directory.Load {
	if m := f.members[f.relay]; m != nil && !f.isRelay() {
		if now-m.total.at > f.loadAge() {
			return nil
		}
		return m.total.list
	}
	var sum loadSum
	f.addCentre(&sum, "", now)
	f.addOthers(&sum, now)
	return sum.list()
}

// addCentre adds what hosts of this data centre have reported here, but for the one called except.
func (f *Fleet) addCentre(sum *loadSum, except string, now time.Duration) {
	age := f.loadAge()
	for _, m := range f.members {
		if m.host.Name != except && now-m.own.at <= age {
			sum.add(m.own.list)
		}
	}
}

// addOthers adds the newest loads of each other data centre.
func (f *Fleet) addOthers(sum *loadSum, now time.Duration) {
	newest, age := map[string]loads{}, f.loadAge()
	for _, m := range f.members {
		if m.centre.at > newest[m.host.DataCentre].at && now-m.centre.at <= age {
			newest[m.host.DataCentre] = m.centre
		}
	}
	for _, l := range newest {
		sum.add(l.list)
	}
}

// loadSum adds up loads by target.
type loadSum map[directory.Token]directory.Load

func (s *loadSum) add(loads []directory.Load) {
	if *s == nil {
		*s = make(loadSum, len(loads))
	}
	for _, l := range loads {
		have := (*s)[l.Token]
		(*s)[l.Token] = directory.Load{
			Token: l.Token, Pending: saturate(have.Pending, l.Pending), Open: saturate(have.Open, l.Open), Suspect: have.Suspect || l.Suspect,
		}
	}
}

func saturate(a, b uint16) uint16 { return uint16(min(uint32(a)+uint32(b), 1<<16-1)) }

// list returns the busiest targets first, within the bound of a message. Targets without waiting requests are left out,
// unless they are suspect.
func (s *loadSum) list() []directory.Load {
	maps.DeleteFunc(*s, func(_ directory.Token, l directory.Load) bool { return l.Pending == 0 && !l.Suspect })
	loads := slices.SortedFunc(maps.Values(*s), func(a, b directory.Load) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.Open, a.Open), cmp.Compare(a.Token, b.Token))
	})
	return loads[:min(len(loads), maxLoads)]
}
