package relay

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseInterval is the time between two reports in a small data centre.
	baseInterval = 200 * time.Millisecond
	// intervalPerHost lengthens it with the hosts of the data centre, so that a relay's work stays bounded.
	intervalPerHost = 15 * time.Millisecond
	// firstInterval is the time between two reports of a host that has just started and knows nothing: packets wait for what it
	// is told. A host that knows the store has its answer after one of them.
	firstInterval = 100 * time.Millisecond
	// remoteInterval is the time between two reports to the relay of another data centre.
	remoteInterval = 500 * time.Millisecond
	// ownCandidates and otherCandidates bound the hosts that a reply tells of, for each data centre.
	ownCandidates   = 4
	otherCandidates = 2
	// staleAfter is the age of the store's last answer at which a host reads the store itself, beside the time between two
	// reports. It is above followAge, so that the relay goes first; a configuration must be in force within 3 s.
	staleAfter = 2200 * time.Millisecond
	// firstWait is how long a host that knows nothing waits for the answer of one host before it asks another one: the
	// directory of 4,600 targets takes about half a second on a link of 10 Mbit/s.
	firstWait = time.Second
	// deadAfter is how long a host is known after its last report, beside the time that news of it takes over a relay.
	deadAfter = 3 * time.Second
)

// member is what is known of another host.
type member struct {
	host     Host
	heard    time.Duration
	standing HostState
	failed   time.Duration // when it last did not answer, 0 for never; it is no relay until it is heard of again
	own      loads         // of a host of this data centre, by its reports
	centre   loads         // of the whole data centre of a relay of another one
	total    loads         // of all other hosts, by the replies of the relay of this data centre
}

// answers reports whether the host was heard of since it last did not answer.
func (m *member) answers() bool { return m.failed == 0 || m.heard > m.failed }

// Fleet is a balancer's view of the other balancers. One goroutine may use it.
type Fleet struct {
	self    Host
	seeds   []netip.AddrPort
	former  []former // hosts of other data centres that were lost, the newest last
	absent  []former // hosts of this data centre that were lost, the newest last
	members map[string]*member
	reports map[netip.AddrPort]time.Duration // when a report to the address was last due
	seed    int
	told    int           // number of hosts of the data centre by the relay's count
	asked   time.Duration // when a seed was last asked
	started time.Duration // of the first report
	relay   string        // name of the relay of this data centre at the last report
	// firstFrom is the host that was asked for everything at firstAsked, invalid when none is.
	firstFrom  netip.AddrPort
	firstAsked time.Duration
}

// NewFleet returns a fleet of self alone.
func NewFleet(self Host, seeds []netip.AddrPort) *Fleet {
	return &Fleet{self: self, seeds: seeds, members: map[string]*member{}, reports: map[netip.AddrPort]time.Duration{}}
}

// SetSeeds replaces the addresses that are asked while no other host is known.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) { f.seeds = seeds }

// Self returns the host of this balancer.
func (f *Fleet) Self() Host { return f.self }

// Interval returns the time between two reports to the relay.
func (f *Fleet) Interval() time.Duration {
	return max(baseInterval, time.Duration(f.HostCount())*intervalPerHost)
}

// ReportInterval returns the time between two reports of this host, whose standing is own.
func (f *Fleet) ReportInterval(own HostState, now time.Duration) time.Duration {
	if f.starting(own, now) {
		return firstInterval
	}
	return f.Interval()
}

// starting reports whether this host has just started and knows nothing. Without an answer for the time of the introduction it
// asks as rarely as others, so that a long outage of the store does not keep the fleet busy.
func (f *Fleet) starting(own HostState, now time.Duration) bool {
	return own.Revision == 0 && (f.started == 0 || now-f.started < introduction)
}

// HostCount returns the number of known hosts of this data centre. Hosts other than the relay get it from the relay.
func (f *Fleet) HostCount() int { return max(1+f.ownMembers(), f.told) }

// ownMembers returns the number of other hosts of this data centre that are known.
func (f *Fleet) ownMembers() int {
	n := 0
	for _, m := range f.members {
		if m.host.DataCentre == f.self.DataCentre {
			n++
		}
	}
	return n
}

// deadAfter returns how long a host is known after its last report. News of a host reach others within two intervals.
func (f *Fleet) deadAfter() time.Duration { return deadAfter + 2*f.Interval() }

// StaleAfter returns the age of the store's last answer at which this host reads the store itself.
func (f *Fleet) StaleAfter() time.Duration { return staleAfter + f.Interval() }

// Relay returns the relay of a data centre, and false when no host of it is known. own is the standing of this host.
func (f *Fleet) Relay(dataCentre string, own HostState) (Host, bool) {
	var best *member
	for _, m := range f.members {
		if m.host.DataCentre == dataCentre && m.answers() && (best == nil || better(m, best)) {
			best = m
		}
	}
	if dataCentre == f.self.DataCentre {
		self := &member{host: f.self, standing: own}
		if best == nil || better(self, best) {
			best = self
		}
	}
	if best == nil {
		return Host{}, false
	}
	return best.host, true
}

// IsAlone reports whether no other host is known.
func (f *Fleet) IsAlone() bool { return len(f.members) == 0 }

// better ranks candidates for the relay: those that know the store, then the heavier ones. Without the store the host that
// knows most leads, so that the others learn from it. The hash keeps the duty from falling on the same place in every data
// centre.
func better(a, b *member) bool {
	x, y := a.standing, b.standing
	switch {
	case (x.Revision == 0) != (y.Revision == 0):
		return x.Revision > 0
	case x.Leaving != y.Leaving:
		return y.Leaving
	case x.Fresh != y.Fresh:
		return x.Fresh
	case !x.Fresh && x.Revision != y.Revision:
		return x.Revision > y.Revision
	case a.host.Weight != b.host.Weight:
		return a.host.Weight > b.host.Weight
	}
	return xxhash.Sum64String(a.host.Name) > xxhash.Sum64String(b.host.Name)
}

// DueReports returns the addresses to which a report is due now: the relay of this data centre or, if this host is the
// relay, those of the others; hosts of this data centre that went missing; and a seed from time to time. own is the
// state of this host.
func (f *Fleet) DueReports(own HostState, now time.Duration) []netip.AddrPort {
	f.expire(now)
	var due []netip.AddrPort
	add := func(to netip.AddrPort, every time.Duration) {
		if last, asked := f.reports[to]; !asked || now-last >= every {
			f.reports[to] = now
			due = append(due, to)
		}
	}
	if f.started == 0 {
		f.started = now
	}
	relay, _ := f.Relay(f.self.DataCentre, own)
	f.relay = relay.Name
	if !f.isRelay() {
		add(relay.Address, f.ReportInterval(own, now))
	} else {
		reader := f.Reader(own)
		for _, dc := range f.dataCentres() {
			if other, found := f.Relay(dc, HostState{}); found && other != reader {
				add(other.Address, remoteInterval)
			}
		}
		if reader != f.self {
			add(reader.Address, readerInterval)
		}
		for _, seed := range f.unknownSeeds() {
			add(seed, unknownSeedInterval)
		}
	}
	if f.isRelay() || f.relayKnowsFewer(now) {
		for _, address := range f.missing(now) {
			add(address, remoteInterval)
		}
	}
	if seed, found := f.dueSeed(own, now); found {
		add(seed, remoteInterval)
	}
	return due
}

// WantsChanges reports whether a report to the host requests changes. own is the state of this host. Changes come from
// hosts of this data centre and, to a relay, from the reader. Traffic between data centres costs money: from another
// data centre they are requested otherwise only if the store does not answer this host or the other host is known to be
// ahead. A host that knows nothing requests them from one of those hosts at a time, because the reply holds the whole
// list.
func (f *Fleet) WantsChanges(to netip.AddrPort, own HostState, now time.Duration) bool {
	ahead := false
	for _, m := range f.members {
		if m.host.Address == to {
			if m.host.DataCentre == f.self.DataCentre {
				return true
			}
			ahead = m.standing.Revision > own.Revision
		}
	}
	if own.Revision > 0 {
		return ahead || !own.Fresh || f.isRelay() && f.Reader(own).Address == to
	}
	if f.firstFrom.IsValid() && f.firstFrom != to && now-f.firstAsked < firstWait {
		return false
	}
	f.firstFrom, f.firstAsked = to, now
	return true
}

// answered notes that the host that was asked for everything has answered, or failed to.
func (f *Fleet) answered(address netip.AddrPort) {
	if f.firstFrom == address {
		f.firstFrom = netip.AddrPort{}
	}
}

// isRelay reports whether this host took itself for the relay of its data centre at the last report.
func (f *Fleet) isRelay() bool { return f.relay == f.self.Name }

// dataCentres returns the other data centres with known hosts.
func (f *Fleet) dataCentres() []string {
	set := map[string]bool{}
	for _, m := range f.members {
		if m.host.DataCentre != f.self.DataCentre {
			set[m.host.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// expire forgets hosts that have not been heard of. Some are kept as further seeds: the seeds of the settings may be stale,
// and after a pause of this process every host counts as lost.
func (f *Fleet) expire(now time.Duration) {
	age := f.deadAfter()
	maps.DeleteFunc(f.members, func(_ string, m *member) bool {
		if now-m.heard <= age {
			return false
		}
		f.lost(m)
		return true
	})
	maps.DeleteFunc(f.reports, func(_ netip.AddrPort, last time.Duration) bool { return now-last > age })
}

// HandleReport records a report of another host.
func (f *Fleet) HandleReport(r *Report, now time.Duration) {
	if r.Host.Name == f.self.Name {
		return
	}
	m := f.heard(r.Host, now)
	m.standing = standing(&r.Freshness, r.Leaving)
	switch {
	case r.Host.DataCentre == f.self.DataCentre:
		m.own = loads{r.Loads, now}
	case r.WholeDataCentre:
		m.centre = loads{r.Loads, now}
	}
}

// HandleReply records a reply of another host.
func (f *Fleet) HandleReply(r *Reply, now time.Duration) {
	if r.Host.Name == f.self.Name {
		return
	}
	f.answered(r.Host.Address)
	m := f.heard(r.Host, now)
	m.standing = standing(&r.Freshness, r.Leaving)
	if r.Host.DataCentre == f.self.DataCentre {
		m.total, f.told = loads{r.Loads, now}, r.HostCount
	} else if len(r.Loads) > 0 {
		m.centre = loads{r.Loads, now}
	}
	for i := range r.Hosts {
		f.merge(&r.Hosts[i], now)
	}
}

func standing(k *Freshness, leaving bool) HostState {
	s := HostState{Leaving: leaving, ReadFailed: k.ReadFailed}
	if k.Known {
		s.Fresh, s.Revision = k.Age < staleAfter, k.Revision
	}
	return s
}

func (f *Fleet) heard(h Host, at time.Duration) *member {
	m := f.members[h.Name]
	if m == nil {
		m = &member{}
		f.members[h.Name] = m
		f.found(h)
	}
	m.host, m.heard = h, max(m.heard, at)
	return m
}

// merge takes in what another host knows of a third one, when it is newer.
func (f *Fleet) merge(o *Member, now time.Duration) {
	at := now - o.LastSeen
	if o.Host.Name == f.self.Name || o.LastSeen > f.deadAfter() || o.LastSeen < 0 {
		return
	}
	if known := f.members[o.Host.Name]; known != nil && known.heard >= at {
		return
	}
	m := f.heard(o.Host, at)
	m.standing = o.State
}

// HandleFailure records that a host did not answer a report.
func (f *Fleet) HandleFailure(address netip.AddrPort, now time.Duration) {
	f.answered(address)
	for _, m := range f.members {
		if m.host.Address == address {
			m.failed = now
		}
	}
}

// Members returns all hosts that are known.
func (f *Fleet) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(f.members))
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		out = append(out, f.members[name].describe(now))
	}
	return out
}

func (m *member) describe(now time.Duration) Member {
	return Member{Host: m.host, LastSeen: now - m.heard, State: m.standing}
}

// Candidates returns the best candidates for the relay of each data centre, to tell the host with that name.
func (f *Fleet) Candidates(name, dataCentre string, now time.Duration) []Member {
	best := map[string][]*member{}
	for _, m := range f.members {
		if m.host.Name == name || !m.answers() {
			continue
		}
		most := otherCandidates
		if m.host.DataCentre == dataCentre {
			most = ownCandidates
		}
		best[m.host.DataCentre] = insert(best[m.host.DataCentre], m, most)
	}
	var out []Member
	for _, dc := range slices.Sorted(maps.Keys(best)) {
		for _, m := range best[dc] {
			out = append(out, m.describe(now))
		}
	}
	return out
}

// insert keeps the best members in order, at most most.
func insert(list []*member, m *member, most int) []*member {
	i := 0
	for i < len(list) && better(list[i], m) {
		i++
	}
	if i >= most {
		return list
	}
	return slices.Insert(list, i, m)[:min(len(list)+1, most)]
}
