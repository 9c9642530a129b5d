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
	// introduction is how long after its start a host asks seeds often, so that all hosts that start at once learn of each
	// other.
	introduction = 3 * time.Second
	// unknownSeedInterval is the time between two reports of a relay to a seed that no known host has: the seed may be down,
	// and know nobody when it is back.
	unknownSeedInterval = time.Second
	// maxFormer bounds the hosts of other data centres, and those of the own one, that are asked like seeds after they were
	// lost.
	maxFormer = 8
	// maxAbsent bounds the lost hosts of the data centre that are remembered, at about 100 bytes each.
	maxAbsent = 256
	// missingAfter is how long a host of the data centre may be silent, beside two intervals, before the relay asks it: a
	// process is started again about a second after its end.
	missingAfter = 500 * time.Millisecond
	// missingFor is how long the relay goes on asking after the host was last heard of: the longest start that a planned
	// restart is given.
	missingFor = 30 * time.Second
	// maxMissing bounds the missing hosts that are asked with one report.
	maxMissing = 4
)

// former is a host that was known and lost.
type former struct {
	host  Host
	heard time.Duration
}

// lost keeps a host that is no longer a member.
func (f *Fleet) lost(m *member) {
	if m.host.DataCentre == f.self.DataCentre {
		f.absent = newest(append(f.absent, former{m.host, m.heard}), maxAbsent)
	} else {
		f.former = newest(append(f.former, former{m.host, m.heard}), maxFormer)
	}
}

// found forgets that a host was lost.
func (f *Fleet) found(h Host) {
	isHost := func(lost former) bool { return lost.host.Address == h.Address }
	f.absent, f.former = slices.DeleteFunc(f.absent, isHost), slices.DeleteFunc(f.former, isHost)
}

func newest(list []former, most int) []former { return list[max(0, len(list)-most):] }

// recentlyAbsent returns the hosts of the data centre that were lost but may start again.
func (f *Fleet) recentlyAbsent(now time.Duration) []former {
	var out []former
	for _, lost := range f.absent {
		if now-lost.heard <= missingFor {
			out = append(out, lost)
		}
	}
	return out
}

// missing returns hosts of the data centre that stopped reporting here or to the relay, those first that were asked longest ago.
// They may have started again with neither a seed nor a store that answers, and then know nobody.
func (f *Fleet) missing(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	silence := missingAfter + 2*f.Interval()
	for _, m := range f.members {
		if m.host.DataCentre == f.self.DataCentre && now-m.heard > silence {
			out = append(out, m.host.Address)
		}
	}
	for _, lost := range f.recentlyAbsent(now) {
		out = append(out, lost.host.Address)
	}
	slices.SortFunc(out, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(f.reports[a], f.reports[b]), a.Compare(b))
	})
	return out[:min(len(out), maxMissing)]
}

// relayKnowsFewer reports whether the relay knows fewer hosts of the data centre than this one: it may have started a moment ago, and
// then never heard of hosts that have not started again yet.
func (f *Fleet) relayKnowsFewer(now time.Duration) bool {
	known := 1 + f.ownMembers() + len(f.recentlyAbsent(now))
	return f.told > 0 && f.told < known
}

// unknownSeeds returns the seeds that no known host has.
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

// dueSeed returns a seed to ask. Seeds are asked often while no other host is known and in the first moments, and rarely by
// relays afterwards, so that parts of the fleet that lost each other in a partition find together again.
func (f *Fleet) dueSeed(own HostState, now time.Duration) (netip.AddrPort, bool) {
	every := seedInterval
	switch {
	case f.starting(own, now) && f.ownMembers() == 0:
		every = firstInterval
	case len(f.members) == 0 || now-f.started < introduction:
		every = remoteInterval
	}
	candidates := slices.Clone(f.seeds)
	for _, lost := range slices.Concat(f.former, newest(f.absent, maxFormer)) {
		if !slices.Contains(f.seeds, lost.host.Address) {
			candidates = append(candidates, lost.host.Address)
		}
	}
	if len(candidates) == 0 || f.asked > 0 && now-f.asked < every || !f.isRelay() && every == seedInterval {
		return netip.AddrPort{}, false
	}
	f.asked = now
	seed := candidates[f.seed%len(candidates)]
	f.seed++
	return seed, seed != f.self.Address
}
