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
	// baseInterval is the time between two reports in a small data centre.
	baseInterval = 200 * time.Millisecond
	// intervalPerHost lengthens it with the hosts of the data centre, so that a relay's work stays bounded.
	intervalPerHost = 15 * time.Millisecond
	// remoteInterval is the time between two reports to the relay of another data centre.
	remoteInterval = 500 * time.Millisecond
	// staleAfter is the age of the store's last answer at which a host reads the store itself. An idle watch answers
	// every 1.5 s, and a configuration must be in force within 3 s.
	staleAfter = 2200 * time.Millisecond
	// deadAfter is how long a host is known after its last report.
	deadAfter = 3 * time.Second
	// failedFor is how long a host that did not answer is not asked again.
	failedFor = 2 * time.Second
	// loadAge is how long reported loads count.
	loadAge = 1500 * time.Millisecond
	// maxLoads bounds the loads of one message to the busiest targets.
	maxLoads = 256
)

// member is what is known of another host.
type member struct {
	host    Host
	heard   time.Duration
	fresh   bool
	leaving bool
	failed  time.Duration // until when it is not asked
	loads   []directory.Load
	loaded  time.Duration // when loads were reported
}

// Fleet is a balancer's view of the other balancers. One goroutine may use it.
type Fleet struct {
	self    Host
	seeds   []netip.AddrPort
	members map[string]*member
	nextAsk map[netip.AddrPort]time.Duration
	seed    int
}

// NewFleet returns a fleet of self alone.
func NewFleet(self Host, seeds []netip.AddrPort) *Fleet {
	return &Fleet{self: self, seeds: seeds, members: map[string]*member{}, nextAsk: map[netip.AddrPort]time.Duration{}}
}

// SetSeeds replaces the addresses that are asked while no other host is known.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) { f.seeds = seeds }

// Self returns the host of this balancer.
func (f *Fleet) Self() Host { return f.self }

// Interval returns the time between two reports to the relay.
func (f *Fleet) Interval() time.Duration {
	n := 1
	for _, m := range f.members {
		if m.host.DataCentre == f.self.DataCentre {
			n++
		}
	}
	return max(baseInterval, time.Duration(n)*intervalPerHost)
}

// StaleAfter returns the age of the store's last answer at which this host reads the store itself.
func (f *Fleet) StaleAfter() time.Duration { return staleAfter + f.Interval() }

// Relay returns the relay of a data centre, and false when no host of it is known. own tells whether this host knows the
// store well.
func (f *Fleet) Relay(dataCentre string, ownFresh bool, leaving bool, now time.Duration) (Host, bool) {
	var best *member
	for _, m := range f.members {
		if m.host.DataCentre == dataCentre && now >= m.failed && (best == nil || better(m, best)) {
			best = m
		}
	}
	if dataCentre == f.self.DataCentre {
		self := &member{host: f.self, fresh: ownFresh, leaving: leaving}
		if best == nil || better(self, best) {
			best = self
		}
	}
	if best == nil {
		return Host{}, false
	}
	return best.host, true
}

// better ranks candidates for the relay: those that know the store, then the heavier ones. The hash keeps the duty from
// falling on the same place in every data centre.
func better(a, b *member) bool {
	if a.leaving != b.leaving {
		return b.leaving
	}
	if a.fresh != b.fresh {
		return a.fresh
	}
	if a.host.Weight != b.host.Weight {
		return a.host.Weight > b.host.Weight
	}
	return xxhash.Sum64String(a.host.Name) > xxhash.Sum64String(b.host.Name)
}

// Ask returns the hosts that a report is due to: the relay of the own data centre, as a relay those of the others, and a
// seed while nobody else is known.
func (f *Fleet) Ask(ownFresh, leaving bool, now time.Duration) []netip.AddrPort {
	f.expire(now)
	var due []netip.AddrPort
	add := func(to netip.AddrPort, every time.Duration) {
		if now >= f.nextAsk[to] {
			f.nextAsk[to] = now + every
			due = append(due, to)
		}
	}
	relay, _ := f.Relay(f.self.DataCentre, ownFresh, leaving, now)
	if relay.Name != f.self.Name {
		add(relay.Address, f.Interval())
	} else {
		for _, dc := range f.dataCentres() {
			if other, found := f.Relay(dc, false, false, now); found {
				add(other.Address, remoteInterval)
			}
		}
	}
	if len(due) == 0 && len(f.seeds) > 0 && !f.knowsSeeds() {
		seed := f.seeds[f.seed%len(f.seeds)]
		f.seed++
		if seed != f.self.Address {
			add(seed, remoteInterval)
		}
	}
	return due
}

// knowsSeeds reports whether every seed is a known host or was asked in vain a moment ago.
func (f *Fleet) knowsSeeds() bool {
	known := map[netip.AddrPort]bool{f.self.Address: true}
	for _, m := range f.members {
		known[m.host.Address] = true
	}
	for _, s := range f.seeds {
		if !known[s] {
			return false
		}
	}
	return true
}

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

// expire forgets hosts that have not been heard of.
func (f *Fleet) expire(now time.Duration) {
	maps.DeleteFunc(f.members, func(_ string, m *member) bool { return now-m.heard > deadAfter })
}

// Reported takes in a report of another host.
func (f *Fleet) Reported(r *Report, now time.Duration) {
	if r.Host.Name == f.self.Name {
		return
	}
	m := f.heard(r.Host, now)
	m.fresh, m.leaving = fresh(&r.Freshness), r.Leaving
	m.loads, m.loaded = r.Loads, now
	m.failed = 0
}

// Replied takes in a reply.
func (f *Fleet) Replied(r *Reply, now time.Duration) {
	if r.Host.Name == f.self.Name {
		return
	}
	m := f.heard(r.Host, now)
	m.fresh, m.leaving = fresh(&r.Freshness), r.Leaving
	m.loads, m.loaded = r.Loads, now
	m.failed = 0
	for i := range r.Hosts {
		f.merge(&r.Hosts[i], now)
	}
}

func fresh(k *Freshness) bool { return k.Known && k.Age < staleAfter }

func (f *Fleet) heard(h Host, at time.Duration) *member {
	m := f.members[h.Name]
	if m == nil {
		m = &member{}
		f.members[h.Name] = m
	}
	m.host, m.heard = h, max(m.heard, at)
	return m
}

// merge takes in what another host knows of a third one, when it is newer.
func (f *Fleet) merge(o *Member, now time.Duration) {
	at := now - o.Heard
	if o.Host.Name == f.self.Name || o.Heard > deadAfter || o.Heard < 0 {
		return
	}
	if known := f.members[o.Host.Name]; known != nil && known.heard >= at {
		return
	}
	m := f.heard(o.Host, at)
	m.fresh, m.leaving = o.Fresh, o.Leaving
}

// Failed notes that a host did not answer.
func (f *Fleet) Failed(address netip.AddrPort, now time.Duration) {
	for _, m := range f.members {
		if m.host.Address == address {
			m.failed = now + failedFor
		}
	}
}

// Members returns what is known of all hosts but the one called except.
func (f *Fleet) Members(except string, now time.Duration) []Member {
	out := make([]Member, 0, len(f.members))
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		if m := f.members[name]; name != except {
			out = append(out, Member{Host: m.host, Heard: now - m.heard, Fresh: m.fresh, Leaving: m.leaving})
		}
	}
	return out
}

// LoadsFor returns the loads to tell a host of the data centre: those of all other hosts to one of the own data centre,
// those of the own data centre to one of another. own are the loads of this host.
func (f *Fleet) LoadsFor(name, dataCentre string, own []directory.Load, now time.Duration) []directory.Load {
	var sum loadSum
	sum.add(own)
	for _, m := range f.members {
		if m.host.Name == name || now-m.loaded > loadAge {
			continue
		}
		if m.host.DataCentre == f.self.DataCentre || dataCentre == f.self.DataCentre {
			sum.add(m.loads)
		}
	}
	return sum.list()
}

// LoadsOf returns the loads to report to a host: this host's own, or those of the data centre for the relay of another.
func (f *Fleet) LoadsOf(to netip.AddrPort, own []directory.Load, now time.Duration) []directory.Load {
	for _, m := range f.members {
		if m.host.Address == to && m.host.DataCentre != f.self.DataCentre {
			return f.LoadsFor(m.host.Name, m.host.DataCentre, own, now)
		}
	}
	return own
}

// Others returns the loads that all other hosts have seen, as far as this host was told: by its relay everything, as a
// relay by every host.
func (f *Fleet) Others(now time.Duration) []directory.Load {
	var sum loadSum
	for _, m := range f.members {
		if now-m.loaded <= loadAge {
			sum.add(m.loads)
		}
	}
	return sum.list()
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

// list returns the busiest targets first, within the bound of a message.
func (s *loadSum) list() []directory.Load {
	loads := slices.SortedFunc(maps.Values(*s), func(a, b directory.Load) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.Open, a.Open), cmp.Compare(a.Token, b.Token))
	})
	return loads[:min(len(loads), maxLoads)]
}
