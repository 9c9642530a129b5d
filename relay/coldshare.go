package relay

import (
	"slices"
	"time"
)

const (
	// hostCountRetention is how long the largest number of hosts that was known counts: a relay that has just started knows few hosts, and
	// hosts that are lost may be cut off and still send.
	hostCountRetention = 10 * time.Second
	// settlingTime is how long after its start or a pause, in addition to two report intervals, a host has no share. Within it the others
	// learn of it and it learns of them.
	settlingTime = 3 * time.Second
	// maxUpdateGap is the time between two updates from which on the process may have been paused.
	maxUpdateGap = 3 * time.Second
)

// ColdShare decides by how many hosts the opening packets to cold targets of this data centre are shared, as far as this host knows. It
// is not safe for concurrent use.
type ColdShare struct {
	counts        []hostCount   // of the last hostCountRetention
	updated       time.Duration // last update
	settlingSince time.Duration // start of the process or end of its last pause
	started       bool
	knewLocal     bool // another host of this data centre was known
	knewOther     bool // any other host was known
}

// hostCount is the number of hosts that was known at a time.
type hostCount struct {
	hosts int
	at    time.Duration
}

// Update records what the fleet knows now and returns the number of hosts that share, including this one, or 0 if this host has no share:
// it has started or resumed a moment ago, or it knows no other host although there may be some. It must be called with each report.
func (s *ColdShare) Update(f *Fleet, now time.Duration) int {
	if !s.started || now-s.updated > maxUpdateGap+f.Interval() {
		s.started, s.settlingSince = true, now
	}
	s.updated = now
	s.knewLocal = s.knewLocal || f.localMembers() > 0
	s.knewOther = s.knewOther || !f.IsAlone()
	s.counts = append(s.counts, hostCount{f.HostCount(), now})
	s.counts = slices.DeleteFunc(s.counts, func(c hostCount) bool { return now-c.at > hostCountRetention })
	switch {
	case now-s.settlingSince < settlingTime+2*f.Interval():
		return 0
	case f.localMembers() == 0 && (s.knewLocal || !s.knewOther && f.hasOtherSeeds()):
		return 0
	}
	hosts := 0
	for _, c := range s.counts {
		hosts = max(hosts, c.hosts)
	}
	return hosts
}

// hasOtherSeeds reports whether other hosts than this one are configured as seeds.
func (f *Fleet) hasOtherSeeds() bool {
	for _, seed := range f.seeds {
		if seed != f.self.Address {
			return true
		}
	}
	return false
}
