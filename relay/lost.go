package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// seedInterval is the time between two reports to a seed while other hosts are known.
	seedInterval = 5 * time.Second
	// discoveryPeriod is how long after its start a host reports to seeds often, so that hosts that start at the same
	// time discover each other.
	discoveryPeriod = 3 * time.Second
	// unknownSeedInterval is the time between two reports of a relay to a seed that is not the address of a known host:
	// the seed may be down, and know no host when it is back.
	unknownSeedInterval = time.Second
	// maxLostSeeds bounds the lost hosts that get reports like seeds, separately for other data centres and this one.
	maxLostSeeds = 8
	// maxLostLocal bounds the lost hosts of this data centre that are kept, at about 100 bytes each.
	maxLostLocal = 256
	// missingAfter is how long a host of this data centre may be silent, in addition to two intervals, before the relay
	// sends it reports: a process restarts about a second after its end.
	missingAfter = 500 * time.Millisecond
	// maxMissingAge is how long the relay sends reports to a lost host after it was last seen: the longest start that a
	// planned restart is allowed.
	maxMissingAge = 30 * time.Second
	// maxMissingReports bounds the missing hosts that get a report at a time.
	maxMissingReports = 4
)

// lostHost is a host that is no longer a member.
type lostHost struct {
	host     Host
	lastSeen time.Duration
}

// addLost keeps the address of a host that is no longer a member.
func (f *Fleet) addLost(m *member) {
	if m.host.DataCentre == f.self.DataCentre {
		f.lostLocal = lastN(append(f.lostLocal, lostHost{m.host, m.lastSeen}), maxLostLocal)
	} else {
		f.lostRemote = lastN(append(f.lostRemote, lostHost{m.host, m.lastSeen}), maxLostSeeds)
	}
}

// removeLost removes a host from the lost ones, because it was seen again.
func (f *Fleet) removeLost(h Host) {
	sameAddress := func(lost lostHost) bool { return lost.host.Address == h.Address }
	f.lostLocal, f.lostRemote = slices.DeleteFunc(f.lostLocal, sameAddress), slices.DeleteFunc(f.lostRemote, sameAddress)
}

func lastN(list []lostHost, n int) []lostHost { return list[max(0, len(list)-n):] }

// recentlyLost returns the lost hosts of this data centre that may restart.
func (f *Fleet) recentlyLost(now time.Duration) []lostHost {
	var out []lostHost
	for _, lost := range f.lostLocal {
		if now-lost.lastSeen <= maxMissingAge {
			out = append(out, lost)
		}
	}
	return out
}

// missingHosts returns addresses of hosts of this data centre that stopped reporting here or to the relay, those with the
// oldest report to them first. They may have restarted without a seed or a store that answers, and then know no other host.
func (f *Fleet) missingHosts(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	timeout := missingAfter + 2*f.Interval()
	for _, m := range f.members {
		if m.host.DataCentre == f.self.DataCentre && now-m.lastSeen > timeout {
			out = append(out, m.host.Address)
		}
	}
	for _, lost := range f.recentlyLost(now) {
		out = append(out, lost.host.Address)
	}
	slices.SortFunc(out, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(f.lastReports[a], f.lastReports[b]), a.Compare(b))
	})
	return out[:min(len(out), maxMissingReports)]
}

// relayKnowsFewer reports whether the relay knows fewer hosts of this data centre than this host does. The relay may
// have started a moment ago, and has then never seen hosts that restart after it. The number of hosts that it was told does not
// count: it cannot send reports to hosts that it does not know.
func (f *Fleet) relayKnowsFewer(now time.Duration) bool {
	known := f.KnownHosts() + len(f.recentlyLost(now))
	return f.relayKnown > 0 && f.relayKnown < known
}

// unknownSeeds returns the seeds that are not the address of a known host.
func (f *Fleet) unknownSeeds() []netip.AddrPort {
	known := map[netip.AddrPort]bool{f.self.Address: true}
	for _, m := range f.members {
		known[m.host.Address] = true
	}
	var out []netip.AddrPort
	for _, seed := range f.seeds {
		if !known[seed] {
			out = append(out, seed)
		}
	}
	return out
}

// dueSeed returns the seed to which a report is due, and false when there is none. Seeds get reports often while no
// other host is known and during discoveryPeriod. Later only relays send them, rarely, so that parts of the fleet that
// were separated by a partition find each other again.
func (f *Fleet) dueSeed(own HostState, now time.Duration) (netip.AddrPort, bool) {
	interval := seedInterval
	switch {
	case f.isStarting(own, now) && f.localMembers() == 0:
		interval = startupInterval
	case len(f.members) == 0 || now-f.started < discoveryPeriod:
		interval = remoteInterval
	}
	candidates := slices.Clone(f.seeds)
	for _, lost := range slices.Concat(f.lostRemote, lastN(f.lostLocal, maxLostSeeds)) {
		if !slices.Contains(f.seeds, lost.host.Address) {
			candidates = append(candidates, lost.host.Address)
		}
	}
	if len(candidates) == 0 || f.lastSeedReport > 0 && now-f.lastSeedReport < interval || !f.isRelay() && interval == seedInterval {
		return netip.AddrPort{}, false
	}
	f.lastSeedReport = now
	seed := candidates[f.nextSeed%len(candidates)]
	f.nextSeed++
	return seed, seed != f.self.Address
}
