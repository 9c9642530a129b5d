package relay

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// maxLoadAge is how long reported loads are valid, in addition to the time between two reports.
	maxLoadAge = time.Second
	// maxLoads bounds the targets that one message names.
	maxLoads = 64
	// maxServiceLoads bounds the services for which one message sums up the targets that it does not name.
	maxServiceLoads = 64
)

// timedLoads are the loads from one message, with the time at which it arrived.
type timedLoads struct {
	loads      directory.Loads
	receivedAt time.Duration
}

func (f *Fleet) maxLoadAge() time.Duration { return maxLoadAge + f.Interval() }

// ReplyLoads returns the loads for a reply to the named host, only evidence of silence if this host is not the relay. own are its own
// loads.
func (f *Fleet) ReplyLoads(name, dataCentre string, own []directory.Load, now time.Duration) (loads directory.Loads) {
	if !f.isRelay() {
		f.setSilence(&loads, name, dataCentre, now)
		return loads
	}
	sum := newLoadSum()
	sum.addTargets(own)
	f.addLocal(sum, name, now)
	if dataCentre == f.self.DataCentre {
		f.addRemote(sum, now)
		sum.dropUsualTimes()
	}
	loads = sum.loads(f.serviceOf)
	f.setSilence(&loads, name, dataCentre, now)
	return loads
}

// ReportLoads returns the loads for a report to a host, and whether they cover the whole data centre.
func (f *Fleet) ReportLoads(to netip.AddrPort, own []directory.Load, now time.Duration) (loads directory.Loads, whole bool) {
	for _, m := range f.members {
		if m.host.Address == to && m.host.DataCentre != f.self.DataCentre && f.isRelay() {
			return f.ReplyLoads(m.host.Name, m.host.DataCentre, own, now), true
		}
	}
	sum := newLoadSum()
	sum.addTargets(own)
	loads = sum.loads(f.serviceOf)
	if !f.isRelay() {
		f.setSilence(&loads, "", f.self.DataCentre, now)
	}
	return loads, false
}

// PeerLoads returns the sum of the loads of all other hosts.
func (f *Fleet) PeerLoads(now time.Duration) directory.Loads {
	if m := f.members[f.relay]; m != nil && !f.isRelay() {
		if now-m.peerLoads.receivedAt > f.maxLoadAge() {
			return directory.Loads{}
		}
		return m.peerLoads.loads
	}
	sum := newLoadSum()
	f.addLocal(sum, "", now)
	f.addRemote(sum, now)
	sum.dropUsualTimes()
	return sum.loads(f.serviceOf)
}

// addLocal adds the loads that hosts of this data centre have reported, except those of the host named except.
func (f *Fleet) addLocal(sum *loadSum, except string, now time.Duration) {
	age := f.maxLoadAge()
	for _, m := range f.members {
		if m.host.Name != except && now-m.loads.receivedAt <= age {
			sum.add(m.loads.loads)
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
		sum.add(l.loads)
	}
}

// loadSum sums loads by target, and those of targets that the messages did not name by service.
type loadSum struct {
	targets map[directory.Token]directory.Load
	rest    map[string]uint64 // pending requests by service
}

func newLoadSum() *loadSum {
	return &loadSum{targets: map[directory.Token]directory.Load{}, rest: map[string]uint64{}}
}

func (s *loadSum) add(loads directory.Loads) {
	s.addTargets(loads.Targets)
	s.addTimes(loads.Times)
	for _, l := range loads.Rest {
		s.rest[l.Service] += uint64(l.Pending)
	}
}

func (s *loadSum) addTargets(loads []directory.Load) {
	for _, l := range loads {
		sum := s.targets[l.Token]
		s.targets[l.Token] = directory.Load{
			Token: l.Token, Pending: saturate(sum.Pending, l.Pending), Open: saturate(sum.Open, l.Open),
			Suspect: sum.Suspect || l.Suspect, Silent: sum.Silent || l.Silent,
			Answers: saturate(sum.Answers, l.Answers), ExcessShort: saturateSigned(sum.ExcessShort, l.ExcessShort),
			ShortVariance: saturate(sum.ShortVariance, l.ShortVariance),
			Times:         addAnswerTimes(sum.Times, l.Times),
		}
	}
}

func saturateSigned(a, b int16) int16 {
	return int16(min(max(int32(a)+int32(b), math.MinInt16), math.MaxInt16))
}

func saturate(a, b uint16) uint16 { return uint16(min(uint32(a)+uint32(b), 1<<16-1)) }

// loads returns the sum for a message. It names at most maxLoads targets: the suspect ones, those with short or slow answers, and then the
// busiest. Targets without any of these are left out. serviceOf returns the service of a target, and "" if the target is unknown.
func (s *loadSum) loads(serviceOf func(directory.Token) string) directory.Loads {
	named := make([]directory.Load, 0, len(s.targets))
	for _, l := range s.targets {
		if l.Pending > 0 || l.Suspect || l.Answers > 0 || l.Times.Answers > 0 {
			named = append(named, l)
		}
	}
	slices.SortFunc(named, func(a, b directory.Load) int {
		return cmp.Or(compareSuspect(a, b), compareFailing(a, b), compareTimes(a, b), cmp.Compare(b.Pending, a.Pending),
			cmp.Compare(b.Open, a.Open), cmp.Compare(a.Token, b.Token))
	})
	for _, l := range named[min(len(named), maxLoads):] {
		if service := serviceOf(l.Token); service != "" {
			s.rest[service] += uint64(l.Pending)
		}
	}
	named = named[:min(len(named), maxLoads)]
	times := takeTimes(named)
	return directory.Loads{Targets: named, Rest: s.restList(), Times: times}
}

// compareFailing orders targets with more short answers than their service lets expect before others.
func compareFailing(a, b directory.Load) int {
	return cmp.Compare(max(b.ExcessShort, 0), max(a.ExcessShort, 0))
}

// compareSuspect orders suspect targets before others.
func compareSuspect(a, b directory.Load) int {
	switch {
	case a.Suspect == b.Suspect:
		return 0
	case a.Suspect:
		return -1
	}
	return 1
}

// restList returns the loads of the targets that are not named, for at most maxServiceLoads services, the busiest first.
func (s *loadSum) restList() []directory.ServiceLoad {
	list := make([]directory.ServiceLoad, 0, len(s.rest))
	for service, pending := range s.rest {
		list = append(list, directory.ServiceLoad{Service: service, Pending: uint32(min(pending, math.MaxUint32))})
	}
	slices.SortFunc(list, func(a, b directory.ServiceLoad) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(a.Service, b.Service))
	})
	return list[:min(len(list), maxServiceLoads)]
}
