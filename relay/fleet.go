package relay

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// baseInterval is the time between two reports of a host in a small data centre.
	baseInterval = 200 * time.Millisecond
	// intervalPerHost is the least time between two reports for each host of the data centre, which bounds the work of a relay.
	intervalPerHost = 15 * time.Millisecond
	// startupInterval is the time between two reports of a host that has just started and knows nothing: packets wait for
	// the first reply. One report to a host that knows the store is enough.
	startupInterval = 100 * time.Millisecond
	// remoteInterval is the time between two reports to the relay of another data centre.
	remoteInterval = 500 * time.Millisecond
	// localCandidates and remoteCandidates bound the hosts in a reply: those of the recipient's data centre, and of each
	// other one.
	localCandidates  = 4
	remoteCandidates = 2
	// staleAfter plus the time between two reports is the age of the store's last answer at which a host reads the store itself.
	// It is above relayStaleAfter, so that the relay is first; a configuration must be in force within 3 s.
	staleAfter = 2200 * time.Millisecond
	// initialSyncTimeout is how long a host that knows nothing waits for the reply of one host before it requests
	// everything from another one: the list of 4,600 targets takes about half a second on a link of 10 Mbit/s.
	initialSyncTimeout = time.Second
	// memberTimeout is how long a host stays a member after its last message, plus the time that its news takes over a relay.
	memberTimeout = 3 * time.Second
)

// member is the state of another host.
type member struct {
	host        Host
	lastSeen    time.Duration // time of its last message that is known, here or at another host
	state       HostState
	lastFailure time.Duration // when it last did not answer, 0 for never; it cannot be the relay until it is seen again
	loads       timedLoads    // from the reports of a host of this data centre
	centreLoads timedLoads    // of the whole data centre, from the relay of another data centre
	peerLoads   timedLoads    // of all other hosts, from the replies of the relay of this data centre

	silence       timedSilence  // of a host of this data centre
	centreSilence timedSilence  // of the whole data centre, from the relay of another data centre
	peerSilence   timedSilence  // of all other hosts, from the relay of this data centre
	lastReplySent time.Duration // when the newest report was sent to which the host has replied
}

// isResponsive reports whether the host was seen since it last did not answer.
func (m *member) isResponsive() bool { return m.lastFailure == 0 || m.lastSeen > m.lastFailure }

// Fleet is the set of other balancers that this balancer knows. It is not safe for concurrent use.
type Fleet struct {
	self           Host
	seeds          []netip.AddrPort
	lostRemote     []lostHost // lost hosts of other data centres, the most recent last
	lostLocal      []lostHost // lost hosts of this data centre, the most recent last
	members        map[string]*member
	lastReports    map[netip.AddrPort]time.Duration // time of the last report by address
	nextSeed       int                              // index of the next seed to report to, modulo their number
	relayHostCount int                              // number of hosts of this data centre as the relay counts them
	relayKnown     int                              // number of hosts of this data centre that the relay itself knows, 0 before its first reply
	lastSeedReport time.Duration                    // time of the last report to a seed
	started        time.Duration                    // time of the first report
	relay          string                           // name of the relay of this data centre at the last report
	// initialSyncHost is the host that was asked for everything at initialSyncStart, invalid when no reply is awaited.
	initialSyncHost  netip.AddrPort
	initialSyncStart time.Duration
	serviceOf        func(directory.Token) string
	silence          silenceExchange
}

// NewFleet returns a fleet that knows no other host than self.
func NewFleet(self Host, seeds []netip.AddrPort) *Fleet {
	return &Fleet{
		self: self, seeds: seeds, members: map[string]*member{}, lastReports: map[netip.AddrPort]time.Duration{},
		serviceOf: func(directory.Token) string { return "" }, silence: silenceExchange{silent: silentTargets{}},
	}
}

// SetServices sets the function that returns the service of a target, or "" if the target is unknown.
func (f *Fleet) SetServices(serviceOf func(directory.Token) string) { f.serviceOf = serviceOf }

// SetSeeds replaces the addresses that get reports while no other host is known.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) { f.seeds = seeds }

// Self returns the host of this balancer.
func (f *Fleet) Self() Host { return f.self }

// Interval returns the time between two reports to the relay.
func (f *Fleet) Interval() time.Duration {
	return max(baseInterval, time.Duration(f.HostCount())*intervalPerHost)
}

// ReportInterval returns the time between two reports of this host, whose state is own.
func (f *Fleet) ReportInterval(own HostState, now time.Duration) time.Duration {
	if f.isStarting(own, now) {
		return startupInterval
	}
	return f.Interval()
}

// isStarting reports whether this host has just started and knows nothing. After discoveryPeriod without an answer it
// reports as rarely as others, so that a long outage of the store does not load the fleet.
func (f *Fleet) isStarting(own HostState, now time.Duration) bool {
	return own.Revision == 0 && (f.started == 0 || now-f.started < discoveryPeriod)
}

// HostCount returns the number of known hosts of this data centre. Hosts other than the relay get it from the relay.
func (f *Fleet) HostCount() int { return max(f.KnownHosts(), f.relayHostCount) }

// KnownHosts returns the number of hosts of this data centre that this host knows itself, including itself.
func (f *Fleet) KnownHosts() int { return 1 + f.localMembers() }

// localMembers returns the number of other known hosts of this data centre.
func (f *Fleet) localMembers() int {
	n := 0
	for _, m := range f.members {
		if m.host.DataCentre == f.self.DataCentre {
			n++
		}
	}
	return n
}

// memberTimeout returns how long a host stays a member after its last message. Its news reaches others within two intervals.
func (f *Fleet) memberTimeout() time.Duration { return memberTimeout + 2*f.Interval() }

// StaleAfter returns the age of the store's last answer at which this host reads the store itself.
func (f *Fleet) StaleAfter() time.Duration { return staleAfter + f.Interval() }

// Relay returns the relay of a data centre, and false when no host of it is known. own is the state of this host.
func (f *Fleet) Relay(dataCentre string, own HostState) (Host, bool) {
	var best *member
	for _, m := range f.members {
		if m.host.DataCentre == dataCentre && m.isResponsive() && (best == nil || ranksHigher(m, best)) {
			best = m
		}
	}
	if dataCentre == f.self.DataCentre {
		self := &member{host: f.self, state: own}
		if best == nil || ranksHigher(self, best) {
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

// ranksHigher ranks candidates for the relay: first those that know the store, then those with more weight. Without the store
// the one with the highest revision leads, so that the others learn from it. The hash breaks ties, so that the role does not
// fall to the host of the same position in every data centre.
func ranksHigher(a, b *member) bool {
	x, y := a.state, b.state
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

// DueReports returns the addresses to which a report is due: the relay of this data centre or, if this host is the relay, those
// of the others; missing hosts of this data centre; and a seed from time to time. own is the state of this host.
func (f *Fleet) DueReports(own HostState, now time.Duration) []netip.AddrPort {
	f.expire(now)
	var due []netip.AddrPort
	add := func(to netip.AddrPort, interval time.Duration) {
		if last, reported := f.lastReports[to]; !reported || now-last >= interval {
			f.lastReports[to] = now
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
		for _, dc := range f.remoteDataCentres() {
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
		if other := f.knowsLost(own); other != nil {
			add(other.host.Address, remoteInterval)
		}
	}
	if f.isRelay() || f.relayKnowsFewer(now) {
		for _, address := range f.missingHosts(now) {
			add(address, remoteInterval)
		}
	}
	if seed, found := f.dueSeed(own, now); found {
		add(seed, remoteInterval)
	}
	return due
}

// isAhead reports whether a host knows changes of the store that another one lacks, or keeps what the store has lost when it was
// restored from a copy.
func (s *HostState) isAhead(other HostState) bool {
	return s.Revision > other.Revision || s.knowsLost(other)
}

// knowsLost reports whether a host keeps what the restored store has lost, and another one does not.
func (s *HostState) knowsLost(other HostState) bool {
	return s.Version > other.Version || s.KeepsLost && !other.KeepsLost && s.Revision.Era() == other.Revision.Era()
}

// knowsLost returns the host that best knows what a restored store has lost, or nil if none knows more than this host. A relay that
// knows only the copy learns of it from this host, also if that reports to it.
func (f *Fleet) knowsLost(own HostState) *member {
	var best *member
	for _, m := range f.members {
		if own.Revision == 0 || !m.isResponsive() || !m.state.knowsLost(own) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(m.state.Version, best.state.Version), cmp.Compare(best.host.Name, m.host.Name)) > 0 {
			best = m
		}
	}
	return best
}

// WantsChanges reports whether a report to the host requests changes. own is the state of this host. Changes come from hosts of
// this data centre and, to a relay, from the reader. From another data centre, which costs money, they are requested otherwise
// only if the store does not answer this host or the other host is known to be ahead. A host that knows nothing requests them
// from one of those hosts at a time, because the reply holds the whole list.
func (f *Fleet) WantsChanges(to netip.AddrPort, own HostState, now time.Duration) bool {
	ahead := false
	for _, m := range f.members {
		if m.host.Address == to {
			if m.host.DataCentre == f.self.DataCentre {
				return true
			}
			ahead = m.state.isAhead(own)
		}
	}
	if own.Revision > 0 {
		return ahead || !own.Fresh || f.isRelay() && f.Reader(own).Address == to
	}
	if f.initialSyncHost.IsValid() && f.initialSyncHost != to && now-f.initialSyncStart < initialSyncTimeout {
		return false
	}
	f.initialSyncHost, f.initialSyncStart = to, now
	return true
}

// endInitialSync records that the host from which everything was requested has replied or failed.
func (f *Fleet) endInitialSync(address netip.AddrPort) {
	if f.initialSyncHost == address {
		f.initialSyncHost = netip.AddrPort{}
	}
}

// isRelay reports whether this host considered itself the relay of its data centre at the last report.
func (f *Fleet) isRelay() bool { return f.relay == f.self.Name }

// remoteDataCentres returns the names of the other data centres with known hosts, sorted.
func (f *Fleet) remoteDataCentres() []string {
	set := map[string]bool{}
	for _, m := range f.members {
		if m.host.DataCentre != f.self.DataCentre {
			set[m.host.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// expire removes hosts that were not seen for memberTimeout. Some of them are kept as additional seeds: the seeds in
// the settings may be out of date, and after a pause of this process every host counts as lost.
func (f *Fleet) expire(now time.Duration) {
	age := f.memberTimeout()
	maps.DeleteFunc(f.members, func(_ string, m *member) bool {
		if now-m.lastSeen <= age {
			return false
		}
		f.addLost(m)
		return true
	})
	maps.DeleteFunc(f.lastReports, func(_ netip.AddrPort, last time.Duration) bool { return now-last > age })
}

// HandleReport records a report of another host.
func (f *Fleet) HandleReport(r *Report, now time.Duration) {
	if r.Host.Name == f.self.Name {
		return
	}
	m := f.updateMember(r.Host, now)
	m.state = hostState(&r.Freshness, r.Leaving)
	f.handleSilence(m, &r.Loads, r.WholeDataCentre, now)
	switch {
	case r.Early:
	case r.Host.DataCentre == f.self.DataCentre:
		m.loads = timedLoads{r.Loads, now}
	case r.WholeDataCentre:
		m.centreLoads = timedLoads{r.Loads, now}
	}
}

// HandleReply records a reply of another host.
func (f *Fleet) HandleReply(r *Reply, now time.Duration) {
	if r.Host.Name == f.self.Name {
		return
	}
	f.endInitialSync(r.Host.Address)
	m := f.updateMember(r.Host, now)
	m.state = hostState(&r.Freshness, r.Leaving)
	f.handleSilence(m, &r.Loads, !f.isRelay(), now)
	if r.Early {
		return
	}
	if r.Host.DataCentre == f.self.DataCentre {
		m.peerLoads, f.relayHostCount, f.relayKnown = timedLoads{r.Loads, now}, r.HostCount, r.KnownHosts
	} else if len(r.Loads.Targets) > 0 {
		m.centreLoads = timedLoads{r.Loads, now}
	}
	for i := range r.Hosts {
		f.mergeMember(&r.Hosts[i], now)
	}
}

func hostState(k *Freshness, leaving bool) HostState {
	s := HostState{Leaving: leaving, ReadFailed: k.ReadFailed}
	if k.Known {
		s.Fresh, s.Revision, s.Version, s.KeepsLost = k.Age < staleAfter, k.Revision, k.Version, k.KeepsLost
	}
	return s
}

func (f *Fleet) updateMember(h Host, at time.Duration) *member {
	m := f.members[h.Name]
	if m == nil {
		m = &member{}
		f.members[h.Name] = m
		f.removeLost(h)
	}
	m.host, m.lastSeen = h, max(m.lastSeen, at)
	return m
}

// mergeMember records what another host knows of a third one, when that is newer than what is known here.
func (f *Fleet) mergeMember(o *Member, now time.Duration) {
	lastSeen := now - o.LastSeen
	if o.Host.Name == f.self.Name || o.LastSeen > f.memberTimeout() || o.LastSeen < 0 {
		return
	}
	if known := f.members[o.Host.Name]; known != nil && known.lastSeen >= lastSeen {
		return
	}
	m := f.updateMember(o.Host, lastSeen)
	m.state = o.State
}

// HandleFailure records that a host did not answer a report.
func (f *Fleet) HandleFailure(address netip.AddrPort, now time.Duration) {
	f.endInitialSync(address)
	for _, m := range f.members {
		if m.host.Address == address {
			m.lastFailure = now
		}
	}
}

// Members returns all known hosts, sorted by name.
func (f *Fleet) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(f.members))
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		out = append(out, f.members[name].describe(now))
	}
	return out
}

func (m *member) describe(now time.Duration) Member {
	return Member{Host: m.host, LastSeen: now - m.lastSeen, State: m.state}
}

// Candidates returns the best candidates for the relay of each data centre, for a reply to the named host.
func (f *Fleet) Candidates(name, dataCentre string, now time.Duration) []Member {
	best := map[string][]*member{}
	for _, m := range f.members {
		if m.host.Name == name || !m.isResponsive() {
			continue
		}
		limit := remoteCandidates
		if m.host.DataCentre == dataCentre {
			limit = localCandidates
		}
		best[m.host.DataCentre] = insertRanked(best[m.host.DataCentre], m, limit)
	}
	var out []Member
	for _, dc := range slices.Sorted(maps.Keys(best)) {
		for _, m := range best[dc] {
			out = append(out, m.describe(now))
		}
	}
	return out
}

// insertRanked inserts a member into a list that is sorted by rank and holds at most limit members.
func insertRanked(list []*member, m *member, limit int) []*member {
	i := 0
	for i < len(list) && ranksHigher(list[i], m) {
		i++
	}
	if i >= limit {
		return list
	}
	return slices.Insert(list, i, m)[:min(len(list)+1, limit)]
}
