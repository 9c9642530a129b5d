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
	// maxLoadAge is how long reported loads are valid, in addition to the time between two reports.
	maxLoadAge = time.Second
	// maxLoads bounds the loads in one message to the busiest targets: the others are nearly idle.
	maxLoads = 64
)

// timedLoads are the loads from one message, with the time at which it arrived.
type timedLoads struct {
	list       []directory.Load
	receivedAt time.Duration
}

func (f *Fleet) maxLoadAge() time.Duration { return maxLoadAge + f.Interval() }

// ReplyLoads returns the loads for a reply to the named host, nil if this host is not the relay. own are its own loads.
func (f *Fleet) ReplyLoads(name, dataCentre string, own []directory.Load, now time.Duration) []directory.Load {
	if !f.isRelay() {
		return nil
	}
	var sum loadSum
	sum.add(own)
	f.addLocal(&sum, name, now)
	if dataCentre == f.self.DataCentre {
		f.addRemote(&sum, now)
	}
	return sum.list()
}

// ReportLoads returns the loads for a report to a host, and whether they cover the whole data centre.
func (f *Fleet) ReportLoads(to netip.AddrPort, own []directory.Load, now time.Duration) (list []directory.Load, whole bool) {
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
		if now-m.peerLoads.receivedAt > f.maxLoadAge() {
			return nil
		}
		return m.peerLoads.list
	}
	var sum loadSum
	f.addLocal(&sum, "", now)
	f.addRemote(&sum, now)
	return sum.list()
}

// addLocal adds the loads that hosts of this data centre have reported, except those of the host named except.
func (f *Fleet) addLocal(sum *loadSum, except string, now time.Duration) {
	age := f.maxLoadAge()
	for _, m := range f.members {
		if m.host.Name != except && now-m.loads.receivedAt <= age {
			sum.add(m.loads.list)
		}
	}
}

// addRemote adds the newest loads of each other data centre.
func (f *Fleet) addRemote(sum *loadSum, now time.Duration) {
	newest, age := map[string]timedLoads{}, f.maxLoadAge()
	for _, m := range f.members {
		if m.centreLoads.receivedAt > newest[m.host.DataCentre].receivedAt && now-m.centreLoads.receivedAt <= age {
			newest[m.host.DataCentre] = m.centreLoads
		}
	}
	for _, l := range newest {
		sum.add(l.list)
	}
}

// loadSum sums loads by target.
type loadSum map[directory.Token]directory.Load

func (s *loadSum) add(loads []directory.Load) {
	if *s == nil {
		*s = make(loadSum, len(loads))
	}
	for _, l := range loads {
		sum := (*s)[l.Token]
		(*s)[l.Token] = directory.Load{
			Token: l.Token, Pending: saturate(sum.Pending, l.Pending), Open: saturate(sum.Open, l.Open),
			Suspect: sum.Suspect || l.Suspect,
		}
	}
}

func saturate(a, b uint16) uint16 { return uint16(min(uint32(a)+uint32(b), 1<<16-1)) }

// list returns at most maxLoads loads, with the busiest targets first. Targets without pending requests are left out,
// unless they are suspect.
func (s *loadSum) list() []directory.Load {
	maps.DeleteFunc(*s, func(_ directory.Token, l directory.Load) bool { return l.Pending == 0 && !l.Suspect })
	loads := slices.SortedFunc(maps.Values(*s), func(a, b directory.Load) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.Open, a.Open), cmp.Compare(a.Token, b.Token))
	})
	return loads[:min(len(loads), maxLoads)]
}
