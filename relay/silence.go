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
	// silenceReview is the least time between two sums of the evidence of all hosts. A sum over 75 hosts takes longer than a message.
	silenceReview = 10 * time.Millisecond
	// pollTimeout is how long a poll waits for the replies of all hosts. A report that takes longer has failed.
	pollTimeout = 600 * time.Millisecond
	// pollRetention is how long the result of a poll is told. Evidence from before it has expired by then.
	pollRetention = 3 * time.Second
	// maxHostFlows bounds the flows that one host may count as evidence against one target.
	maxHostFlows = 4
)

// timedSilence is evidence from one message, with the time at which it arrived.
type timedSilence struct {
	list       []directory.Silence
	cutOffs    uint16 // hosts that are cut off from some targets
	receivedAt time.Duration
}

// poll is a poll of all hosts of this data centre about the targets that were doubted at the time.
type poll struct {
	targets []directory.Token
	at      time.Duration
}

// silenceExchange is the state of the exchange of evidence on silent targets.
type silenceExchange struct {
	own        timedSilence
	ownChanged bool                            // own evidence that others should know was not sent yet
	toldCutOff uint16                          // number of cut-off hosts that a relay told to those of its data centre
	toldRemote uint16                          // the same to the other relays, of its own data centre
	told       map[directory.Token]toldSilence // by a relay to the hosts of its data centre
	toldRelays map[directory.Token]toldSilence // by a relay to the other relays
	pending    *poll                           // the poll that awaits replies, or nil
	polled     map[directory.Token]time.Duration
	hosts      earlyLimit  // of reports to the hosts of this data centre, or to the relay
	relays     earlyLimit  // of reports to the other relays
	whole      *silenceSum // evidence of all hosts at wholeAt, as a relay knows it
	wholeAt    time.Duration
	reviewed   time.Duration // when DueSilence last looked for news
	silent     silentTargets // as a relay knows them
}

// SetOwnSilence sets the evidence of this host, and whether it is cut off from some targets. changed reports that other hosts should
// know this before the next regular report.
func (f *Fleet) SetOwnSilence(list []directory.Silence, cutOff, changed bool, now time.Duration) {
	f.silence.own = timedSilence{list: list, receivedAt: now}
	if cutOff {
		f.silence.own.cutOffs = 1
	}
	f.silence.ownChanged = f.silence.ownChanged || changed
}

// handleSilence records the evidence from a message. Evidence from a single host counts as that of one host, whatever it says.
func (f *Fleet) handleSilence(m *member, loads *directory.Loads, whole bool, now time.Duration) {
	s := timedSilence{loads.Silence, loads.CutOffs, now}
	switch {
	case m.host.DataCentre != f.self.DataCentre:
		if !s.isEmpty() || !m.centreSilence.isEmpty() {
			m.centreSilence = s
		}
	case whole:
		m.peerSilence = s
	default:
		m.silence = timedSilence{limitToOneHost(s.list), min(s.cutOffs, 1), now}
	}
}

func (t *timedSilence) isEmpty() bool { return len(t.list) == 0 && t.cutOffs == 0 }

func limitToOneHost(list []directory.Silence) []directory.Silence {
	for i := range list {
		s := &list[i]
		s.Hosts, s.Near, s.Flows, s.Polls = min(s.Hosts, 1), min(s.Near, 1), min(s.Flows, maxHostFlows), 0
	}
	return list
}

// silenceSum adds up evidence by target.
type silenceSum struct {
	targets map[directory.Token]directory.Silence
	cutOffs uint16
}

func newSilenceSum() *silenceSum {
	return &silenceSum{targets: map[directory.Token]directory.Silence{}}
}

// add adds evidence that is not older than maxAge, if only is not nil that on these targets alone.
func (s *silenceSum) add(t timedSilence, now, maxAge time.Duration, only map[directory.Token]bool) {
	if now-t.receivedAt > maxAge {
		return
	}
	s.cutOffs = saturate(s.cutOffs, t.cutOffs)
	for _, e := range t.list {
		if only == nil || only[e.Token] {
			s.addTarget(e.Aged(now - t.receivedAt))
		}
	}
}

func (s *silenceSum) addTarget(e directory.Silence) {
	if sum, found := s.targets[e.Token]; found {
		e = sum.Add(e)
	}
	s.targets[e.Token] = e
}

// list returns the evidence on at most maxLoads targets, those with most unanswered flows first.
func (s *silenceSum) list() []directory.Silence {
	list := slices.SortedFunc(maps.Values(s.targets), func(a, b directory.Silence) int {
		return cmp.Or(cmp.Compare(b.Hosts, a.Hosts), cmp.Compare(b.Unopened, a.Unopened), cmp.Compare(a.AnswerAge, b.AnswerAge),
			cmp.Compare(a.Token, b.Token))
	})
	return list[:min(len(list), maxLoads)]
}

// setSilence sets the evidence in the loads for a message to the named host. A host that is not the relay tells its own evidence to hosts
// of its data centre. A relay tells the hosts of its data centre the evidence of all others, and other data centres that of its own.
func (f *Fleet) setSilence(loads *directory.Loads, name, dataCentre string, now time.Duration) {
	sum, local := newSilenceSum(), dataCentre == f.self.DataCentre
	switch {
	case f.isRelay() && local:
		sum = f.silenceOfOthers(f.members[name], now)
	case f.isRelay():
		sum = f.dataCentreSilence(now)
	case local:
		sum.add(f.silence.own, now, f.maxLoadAge(), nil)
	}
	loads.Silence, loads.CutOffs = sum.list(), sum.cutOffs
}

// dataCentreSilence returns the evidence of all hosts of this data centre.
func (f *Fleet) dataCentreSilence(now time.Duration) *silenceSum {
	sum := f.localSilence(nil, now, nil)
	sum.add(f.silence.own, now, f.maxLoadAge(), nil)
	return sum
}

// wholeSilence returns the evidence of all hosts, as a relay knows it, which is at most silenceReview old.
func (f *Fleet) wholeSilence(now time.Duration) *silenceSum {
	x := &f.silence
	if x.whole == nil || now-x.wholeAt >= silenceReview {
		x.whole, x.wholeAt = f.dataCentreSilence(now), now
		f.addRemoteSilence(x.whole, now, nil)
		x.silent.note(x.whole, now)
	}
	return x.whole
}

// silenceOfOthers returns the evidence of all hosts but m, on the targets that some host doubts or recently took for silent: hosts that have
// no evidence of their own must hear of the answer that ends it. Hosts would otherwise go on to tell each other of the answers of a
// target that was doubted once. A nil m stands for this host. The sum is computed anew only for targets against which m itself has
// evidence: its answers are not counted.
func (f *Fleet) silenceOfOthers(m *member, now time.Duration) *silenceSum {
	whole, held := f.wholeSilence(now), now-f.silence.wholeAt
	sum, from := newSilenceSum(), f.silence.own
	if m != nil {
		from = m.silence
	}
	against := map[directory.Token]bool{}
	for _, e := range from.list {
		against[e.Token] = e.Flows > 0 || e.Unopened > 0
	}
	for token, e := range whole.targets {
		if (e.Flows > 0 || e.Unopened > 0 || f.silence.silent.isRecent(token, now)) && !against[token] {
			sum.targets[token] = e.Aged(held)
		}
	}
	others := f.localSilence(m, now, against)
	if m != nil {
		others.add(f.silence.own, now, f.maxLoadAge(), against)
	}
	f.addRemoteSilence(others, now, against)
	for token, e := range others.targets {
		if against[token] {
			sum.targets[token] = e
		}
	}
	sum.cutOffs = others.cutOffs
	return sum
}

// localSilence returns the evidence that hosts of this data centre have reported, except m, with the poll of them. If only is not nil it
// is limited to these targets.
func (f *Fleet) localSilence(except *member, now time.Duration, only map[directory.Token]bool) *silenceSum {
	sum, age := newSilenceSum(), f.maxLoadAge()
	for _, m := range f.members {
		if m != except && m.host.DataCentre == f.self.DataCentre {
			sum.add(m.silence, now, age, only)
		}
	}
	for token, at := range f.silence.polled {
		if now-at <= pollRetention && (only == nil || only[token]) {
			sum.addTarget(directory.Silence{Token: token, AnswerAge: directory.NoAnswer, Polls: 1, PollAge: directory.SilenceAge(now - at)})
		}
	}
	return sum
}

// addRemoteSilence adds the newest evidence of each other data centre.
func (f *Fleet) addRemoteSilence(sum *silenceSum, now time.Duration, only map[directory.Token]bool) {
	newest := map[string]timedSilence{}
	for _, m := range f.members {
		if s := m.centreSilence; !s.isEmpty() && s.receivedAt > newest[m.host.DataCentre].receivedAt {
			newest[m.host.DataCentre] = s
		}
	}
	for _, s := range newest {
		sum.add(s, now, maxLoadAge+remoteInterval, only)
	}
}

// PeerSilence is the evidence of all other hosts.
type PeerSilence struct {
	Targets     []directory.Silence
	CutOffs     int // hosts that are cut off from some targets
	DataCentres int // known data centres, which must have been polled before the evidence is acted on
	Hosts       int // hosts of the fleet, if all data centres have as many as this one
}

// PeerSilence returns the evidence of all other hosts.
func (f *Fleet) PeerSilence(now time.Duration) PeerSilence {
	sum := newSilenceSum()
	if m := f.members[f.relay]; m != nil && !f.isRelay() {
		sum.add(m.peerSilence, now, f.maxLoadAge(), nil)
	} else {
		sum = f.silenceOfOthers(nil, now)
	}
	p := PeerSilence{Targets: sum.list(), CutOffs: int(sum.cutOffs), DataCentres: 1 + len(f.remoteDataCentres())}
	p.Hosts = p.DataCentres * f.HostCount()
	return p
}

// DueSilence returns the hosts to which a report is due before its regular time, because of evidence on a target: from a host the relay,
// from a relay the hosts of its data centre and the other relays. Replies of hosts hold their evidence on the targets that the report
// names, so that a report to all hosts is also a poll.
func (f *Fleet) DueSilence(now time.Duration) []netip.AddrPort {
	x := &f.silence
	if !f.isRelay() {
		if m := f.members[f.relay]; x.ownChanged && m != nil && f.allowEarly(&x.hosts, now) {
			x.ownChanged = false
			return []netip.AddrPort{m.host.Address}
		}
		return nil
	}
	if now-x.reviewed < silenceReview {
		return nil
	}
	x.ownChanged, x.reviewed = false, now
	f.completePoll(now)
	due, sum := f.dueToRelays(f.dataCentreSilence(now), now), f.wholeSilence(now)
	x.toldCutOff = min(x.toldCutOff, sum.cutOffs)
	forget(x.told, sum)
	dataCentres, poll := 1+len(f.remoteDataCentres()), f.needsPoll(sum, now)
	if (poll || sum.cutOffs > x.toldCutOff || hasNews(sum, x.told, x.silent, dataCentres, now)) && f.allowEarly(&x.hosts, now) {
		x.told, x.toldCutOff = newToldSilence(sum, dataCentres, now), sum.cutOffs
		for _, m := range f.members {
			if m.host.DataCentre == f.self.DataCentre {
				due = append(due, m.host.Address)
			}
		}
		if poll {
			f.startPoll(sum, now)
		}
	}
	return due
}

// dueToRelays returns the other relays, if the evidence of this data centre is news for them.
func (f *Fleet) dueToRelays(sum *silenceSum, now time.Duration) []netip.AddrPort {
	x := &f.silence
	x.toldRemote = min(x.toldRemote, sum.cutOffs)
	forget(x.toldRelays, sum)
	news := sum.cutOffs > x.toldRemote || hasNews(sum, x.toldRelays, x.silent, 1, now) || hasNewPoll(sum, x.toldRelays, now)
	if !news || !f.allowEarly(&x.relays, now) {
		return nil
	}
	x.toldRelays, x.toldRemote = newToldSilence(sum, 1, now), sum.cutOffs
	var due []netip.AddrPort
	for _, dc := range f.remoteDataCentres() {
		if other, found := f.Relay(dc, HostState{}); found {
			due = append(due, other.Address)
		}
	}
	return due
}

// startPoll starts a poll of the hosts of this data centre, which replies to reports sent from now on complete.
func (f *Fleet) startPoll(sum *silenceSum, now time.Duration) {
	p := &poll{at: now}
	for token, s := range sum.targets {
		if s.Flows > 0 {
			p.targets = append(p.targets, token)
		}
	}
	f.silence.pending = p
	f.completePoll(now)
}

// HandlePollReply records that a host has replied to an early report that was sent at sentAt.
func (f *Fleet) HandlePollReply(name string, sentAt time.Duration) {
	if m := f.members[name]; m != nil {
		m.lastReplySent = max(m.lastReplySent, sentAt)
	}
}

// completePoll ends the poll in progress when all hosts have replied, or failed to.
func (f *Fleet) completePoll(now time.Duration) {
	p := f.silence.pending
	if p == nil {
		return
	}
	for _, m := range f.members {
		replied := m.lastReplySent >= p.at || m.lastFailure > p.at
		if m.host.DataCentre == f.self.DataCentre && !replied && now-p.at < pollTimeout {
			return
		}
	}
	f.silence.pending, f.silence.polled = nil, make(map[directory.Token]time.Duration, len(p.targets))
	for _, token := range p.targets {
		f.silence.polled[token] = p.at
	}
}

// needsPoll reports whether the evidence on a target is decisive, and the hosts of this data centre have not been polled since.
func (f *Fleet) needsPoll(sum *silenceSum, now time.Duration) bool {
	if f.silence.pending != nil {
		return false
	}
	for token, s := range sum.targets {
		age := now
		if at, found := f.silence.polled[token]; found {
			age = now - at
		}
		if s.NeedsPoll(age) {
			return true
		}
	}
	return false
}

// IsDoubtful reports whether DueSilence must be called often: a relay while any host has evidence against a target, another host while
// its own evidence waits to be sent.
func (f *Fleet) IsDoubtful(now time.Duration) bool {
	if !f.isRelay() {
		return f.silence.ownChanged
	}
	if f.silence.pending != nil {
		return true
	}
	for _, s := range f.wholeSilence(now).targets {
		if s.Flows > 0 {
			return true
		}
	}
	return len(f.silence.silent) > 0
}

// EarlyReport returns the evidence for an early report to a host, and whether it covers more than this host.
func (f *Fleet) EarlyReport(to netip.AddrPort, now time.Duration) (loads directory.Loads, whole bool) {
	name, dataCentre := "", f.self.DataCentre
	for _, m := range f.members {
		if m.host.Address == to {
			name, dataCentre = m.host.Name, m.host.DataCentre
		}
	}
	f.setSilence(&loads, name, dataCentre, now)
	return loads, f.isRelay()
}

// EarlyReply returns the evidence for a reply to an early report of the host.
func (f *Fleet) EarlyReply(to Host, now time.Duration) (loads directory.Loads) {
	f.setSilence(&loads, to.Name, to.DataCentre, now)
	return loads
}
