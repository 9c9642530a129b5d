package rollout

import (
	"cmp"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Bytes that carry a message beside its body: IP, UDP and probe header with authentication, or IP, TCP and frame.
const (
	probeOverhead = 28 + 60
	frameOverhead = 40 + 40
)

const (
	probeInterval = 250 * time.Millisecond
	viewInterval  = 500 * time.Millisecond
	detectionTime = 2 * time.Second // until a member view shows that a host is gone
	stepLength    = 10 * time.Millisecond
)

var testKey = ed25519.NewKeyFromSeed([]byte("rollout test key of 32 bytes .. "))

// envelope returns a signed bundle with n targets. Further top-level fields of the document come from fields.
func envelope(version uint64, fields string, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\n%s\nservices:\n- {name: a, vni: 16, protocol: tcp, endpoints: [\"10.0.0.1:1\"], class: bulk, kind: short, idempotent: true, targets: [", version, fields)
	for i := range n {
		fmt.Fprintf(&b, "{address: 10.1.%d.%d, data_centre: regina, weight: 10, health_port: 8080},", i/256, i%256)
	}
	data, err := bundle.Sign([]byte(b.String()+"]}\n"), "k", testKey)
	if err != nil {
		panic(err)
	}
	return data
}

type message struct {
	at    time.Duration
	to    int
	epoch int // life of the receiver that it was sent to; -1 for any
	event Event
}

// host is one balancer with what the test observes of it.
type host struct {
	member                        membership.Member
	core                          *Core
	epoch                         int
	side                          int // hosts on different sides of a partition do not reach each other
	down, paused, noPlatform      bool
	separated                     map[int]time.Duration // since when another host has been out of reach
	nextTick, nextProbe, nextView time.Duration
	watchUntil                    time.Duration
	watching                      bool
	watchAfter                    string
	version                       uint64 // highest version in force in this life
	inForceAt                     map[uint64]time.Duration
	bytes                         int
	refusals                      []BundleRefused
}

// network carries messages between cores with faults.
type network struct {
	rng             *rand.Rand
	now             time.Duration
	queue           []message // in order of arrival
	hosts           []*host
	index           map[membership.HostID]int
	loss, duplicate float64
	delay           time.Duration
	revision        int
	content         []byte
	calls           int
	fault           string                  // first broken rule
	contents        map[uint64]DigestPrefix // content of each version that was in force
	reasons         map[Reason]int
}

func newNetwork(seed uint64, centres ...int) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 1)), index: map[membership.HostID]int{}, contents: map[uint64]DigestPrefix{}, reasons: map[Reason]int{}}
	for dc, size := range centres {
		for range size {
			name := fmt.Sprintf("h%d", len(n.hosts))
			h := &host{member: membership.Member{ID: membership.NewHostID(name), Name: name, DataCentre: fmt.Sprintf("dc%d", dc), State: membership.Serving}}
			n.index[h.member.ID] = len(n.hosts)
			n.hosts = append(n.hosts, h)
		}
	}
	for i := range n.hosts {
		n.start(i)
	}
	return n
}

// start begins a new life of a host, which keeps nothing of the last one.
func (n *network) start(i int) {
	h := n.hosts[i]
	ring, _ := bundle.NewKeyring(bundle.Key{ID: "k", Public: testKey.Public().(ed25519.PublicKey)})
	h.core = New(Config{Self: h.member.ID, DataCentre: h.member.DataCentre, Keys: ring, Wall: time.Unix(1e9, 0)}, n.rng)
	h.epoch, h.down, h.paused, h.watching, h.version = h.epoch+1, false, false, false, 0
	h.inForceAt, h.separated = map[uint64]time.Duration{}, map[int]time.Duration{}
	h.nextTick = n.now + time.Duration(n.rng.Int64N(int64(100*time.Millisecond)))
	h.nextProbe = n.now + time.Duration(n.rng.Int64N(int64(probeInterval)))
	h.nextView = n.now
}

func (n *network) reachable(a, b int) bool {
	return !n.hosts[a].down && !n.hosts[b].down && n.hosts[a].side == n.hosts[b].side
}

func (n *network) post(m message) {
	i, _ := slices.BinarySearchFunc(n.queue, m.at+1, func(q message, at time.Duration) int { return cmp.Compare(q.at, at) })
	n.queue = slices.Insert(n.queue, i, m)
}

// send loses, delays and repeats a message.
func (n *network) send(from, to, size int, e Event) {
	n.hosts[from].bytes += size
	for copies := 0; copies == 0 || n.rng.Float64() < n.duplicate; copies++ {
		if n.reachable(from, to) && n.rng.Float64() >= n.loss {
			n.post(message{at: n.now + n.delay/2 + time.Duration(n.rng.Int64N(int64(n.delay)+1)), to: to, epoch: n.hosts[to].epoch, event: e})
		}
	}
}

func size(body any) int {
	data, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (n *network) announce(from int, to []membership.HostID) {
	a := n.hosts[from].core.Announcement(n.now)
	for _, id := range to {
		n.send(from, n.index[id], probeOverhead+size(a), PeerAnnounced{a})
	}
}

func (n *network) handle(i int, e Event) {
	h := n.hosts[i]
	for _, effect := range h.core.Handle(n.now, e) {
		switch x := effect.(type) {
		case WatchPlatform:
			n.calls++
			h.watching, h.watchAfter, h.watchUntil = true, x.After, n.now+x.Wait
		case RequestBundle:
			n.send(i, n.index[x.To], frameOverhead+size(x.Request), PeerRequested{h.member.ID, x.Request})
		case SendData:
			n.send(i, n.index[x.To], frameOverhead+size(x.Data), PeerData{h.member.ID, x.Data})
		case Announce:
			n.announce(i, x.To)
		case PushActivate:
			for _, id := range x.To {
				n.send(i, n.index[id], frameOverhead+20, PeerInForce{h.member.ID, x.Version, x.Digest})
			}
		case BundleInForce:
			n.observe(h, x)
		case BundleRefused:
			h.refusals = append(h.refusals, x)
		}
	}
}

func (n *network) observe(h *host, x BundleInForce) {
	v := x.Bundle.Version
	if v <= h.version {
		n.fault = fmt.Sprintf("%s: version fell from %d to %d", h.member.Name, h.version, v)
	}
	if d, found := n.contents[v]; found && d != PrefixOf(x.Bundle) {
		n.fault = fmt.Sprintf("%s: version %d is in force with two contents", h.member.Name, v)
	}
	h.version, n.contents[v], h.inForceAt[v] = v, PrefixOf(x.Bundle), n.now
	n.reasons[x.Reason]++
}

func (n *network) publish(envelope []byte) { n.revision, n.content = n.revision+1, envelope }

// view gives a host the members that it reaches or lost only lately.
func (n *network) view(i int) {
	var members []membership.Member
	for j, other := range n.hosts {
		if n.reachable(i, j) {
			delete(n.hosts[i].separated, j)
		} else if _, found := n.hosts[i].separated[j]; !found {
			n.hosts[i].separated[j] = n.now
		}
		if since, found := n.hosts[i].separated[j]; !found || n.now-since < detectionTime {
			members = append(members, other.member)
		}
	}
	n.handle(i, MemberView{members})
}

// poll answers a platform read when there is something to say or its time is over.
func (n *network) poll(i int) {
	h := n.hosts[i]
	revision := fmt.Sprint(n.revision)
	switch {
	case !h.watching:
	case h.noPlatform:
		h.watching = false
		n.handle(i, PlatformFailed{resultcode.Errorf(resultcode.PlatformUnavailable, "", "down")})
	case n.content != nil && h.watchAfter != revision:
		h.watching = false
		n.handle(i, PlatformBundle{revision, n.content})
	case n.now >= h.watchUntil:
		h.watching = false
		n.handle(i, PlatformNotModified{h.watchAfter})
	}
}

// run passes time until the deadline or until done reports true.
func (n *network) run(d time.Duration, done func() bool) bool {
	for end := n.now + d; n.now < end; {
		if done != nil && done() {
			return true
		}
		n.now += stepLength
		for len(n.queue) > 0 && n.queue[0].at <= n.now {
			m := n.queue[0]
			n.queue = n.queue[1:]
			h := n.hosts[m.to]
			if h.paused { // its sockets keep what arrives
				m.at = n.now + stepLength
				n.post(m)
			} else if !h.down && h.epoch == m.epoch {
				n.handle(m.to, m.event)
			}
		}
		for i, h := range n.hosts {
			if h.down || h.paused {
				continue
			}
			n.poll(i)
			if n.now >= h.nextTick {
				h.nextTick = n.now + 100*time.Millisecond
				n.handle(i, Tick{})
			}
			if n.now >= h.nextView {
				h.nextView = n.now + viewInterval
				n.view(i)
			}
			if n.now >= h.nextProbe {
				h.nextProbe = n.now + probeInterval
				n.probe(i)
			}
		}
	}
	return done != nil && done()
}

// probe exchanges announcements with a random member, as probe and answer do.
func (n *network) probe(i int) {
	h := n.hosts[i]
	if len(h.core.local) == 0 {
		return
	}
	to := h.core.local[n.rng.IntN(len(h.core.local))]
	n.announce(i, []membership.HostID{to})
	if j := n.index[to]; n.reachable(i, j) && !n.hosts[j].paused {
		n.announce(j, []membership.HostID{h.member.ID})
	}
}

// everywhere reports whether every running host has the version in force.
func (n *network) everywhere(version uint64) func() bool {
	return func() bool {
		for _, h := range n.hosts {
			if !h.down && h.version != version {
				return false
			}
		}
		return true
	}
}
