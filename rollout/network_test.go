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

// Overhead of a message in bytes: IP, UDP and probe headers with authentication, or IP, TCP and frame headers.
const (
	probeOverhead = 28 + 60
	frameOverhead = 40 + 40
)

const (
	probeInterval        = 250 * time.Millisecond
	viewInterval         = 500 * time.Millisecond
	failureDetectionTime = 2 * time.Second // until a member view no longer includes an unreachable host
	stepLength           = 10 * time.Millisecond
)

var testKey = ed25519.NewKeyFromSeed([]byte("rollout test key of 32 bytes .. "))

// envelope returns a signed bundle with n targets. fields holds further top-level fields of the document.
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
	at         time.Duration
	to         int
	startCount int // the receiver's when the message was sent
	event      Event
}

// host is a simulated balancer with the observations of the test.
type host struct {
	member                        membership.Member
	core                          *Core
	startCount                    int
	partition                     int // hosts with different values do not reach each other
	down, paused, noPlatform      bool
	unreachableSince              map[int]time.Duration // by index of the other host
	nextTick, nextProbe, nextView time.Duration
	watchUntil                    time.Duration
	watching                      bool
	watchAfter                    string
	version                       uint64 // version in force since the last start
	inForceAt                     map[uint64]time.Duration
	bytesSent                     int
	refusals                      []BundleRefused
}

// network simulates message delivery between cores, with faults.
type network struct {
	rng               *rand.Rand
	now               time.Duration
	queue             []message // in order of arrival
	hosts             []*host
	index             map[membership.HostID]int
	loss, duplicate   float64
	delay             time.Duration
	revision          int
	publishedEnvelope []byte
	platformCalls     int
	violation         string                  // last violation of an invariant, empty when there was none
	digestByVersion   map[uint64]DigestPrefix // of each version that was in force
	reasons           map[Reason]int
}

func newNetwork(seed uint64, centres ...int) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), index: map[membership.HostID]int{},
		digestByVersion: map[uint64]DigestPrefix{}, reasons: map[Reason]int{},
	}
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

// start starts or restarts a host without any state of its previous run.
func (n *network) start(i int) {
	h := n.hosts[i]
	ring, _ := bundle.NewKeyring(bundle.Key{ID: "k", Public: testKey.Public().(ed25519.PublicKey)})
	h.core = New(Config{Self: h.member.ID, DataCentre: h.member.DataCentre, Keys: ring, Wall: time.Unix(1e9, 0)}, n.rng)
	h.startCount, h.down, h.paused, h.watching, h.version = h.startCount+1, false, false, false, 0
	h.inForceAt, h.unreachableSince = map[uint64]time.Duration{}, map[int]time.Duration{}
	h.nextTick = n.now + time.Duration(n.rng.Int64N(int64(100*time.Millisecond)))
	h.nextProbe = n.now + time.Duration(n.rng.Int64N(int64(probeInterval)))
	h.nextView = n.now
}

func (n *network) reachable(a, b int) bool {
	return !n.hosts[a].down && !n.hosts[b].down && n.hosts[a].partition == n.hosts[b].partition
}

func (n *network) enqueue(m message) {
	i, _ := slices.BinarySearchFunc(n.queue, m.at+1, func(q message, at time.Duration) int { return cmp.Compare(q.at, at) })
	n.queue = slices.Insert(n.queue, i, m)
}

// send delivers a message with the network's loss, delay and duplication.
func (n *network) send(from, to, size int, e Event) {
	n.hosts[from].bytesSent += size
	for copies := 0; copies == 0 || n.rng.Float64() < n.duplicate; copies++ {
		if n.reachable(from, to) && n.rng.Float64() >= n.loss {
			n.enqueue(message{
				at: n.now + n.delay/2 + time.Duration(n.rng.Int64N(int64(n.delay)+1)),
				to: to, startCount: n.hosts[to].startCount, event: e,
			})
		}
	}
}

func encodedSize(body any) int {
	data, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (n *network) announce(from int, to []membership.HostID) {
	a := n.hosts[from].core.Announcement(n.now)
	for _, id := range to {
		n.send(from, n.index[id], probeOverhead+encodedSize(a), PeerAnnounced{a})
	}
}

func (n *network) handle(i int, e Event) {
	h := n.hosts[i]
	for _, effect := range h.core.Handle(n.now, e) {
		switch x := effect.(type) {
		case WatchPlatform:
			n.platformCalls++
			h.watching, h.watchAfter, h.watchUntil = true, x.After, n.now+x.Wait
		case RequestBundle:
			n.send(i, n.index[x.To], frameOverhead+encodedSize(x.Request), PeerRequested{h.member.ID, x.Request})
		case SendData:
			n.send(i, n.index[x.To], frameOverhead+encodedSize(x.Data), PeerData{h.member.ID, x.Data})
		case Announce:
			n.announce(i, x.To)
		case PushActivate:
			for _, id := range x.To {
				n.send(i, n.index[id], frameOverhead+20, PeerInForce{h.member.ID, x.Version, x.Digest})
			}
		case BundleInForce:
			n.checkInForce(h, x)
		case BundleRefused:
			h.refusals = append(h.refusals, x)
		}
	}
}

func (n *network) checkInForce(h *host, x BundleInForce) {
	v := x.Bundle.Version
	if v <= h.version {
		n.violation = fmt.Sprintf("%s: version in force changed from %d to %d, want an increase", h.member.Name, h.version, v)
	}
	if d, found := n.digestByVersion[v]; found && d != PrefixOf(x.Bundle) {
		n.violation = fmt.Sprintf("%s: version %d was put in force with two contents", h.member.Name, v)
	}
	h.version, n.digestByVersion[v], h.inForceAt[v] = v, PrefixOf(x.Bundle), n.now
	n.reasons[x.Reason]++
}

func (n *network) publish(envelope []byte) { n.revision, n.publishedEnvelope = n.revision+1, envelope }

// view passes a host the members that it reaches or lost less than failureDetectionTime ago.
func (n *network) view(i int) {
	var members []membership.Member
	for j, other := range n.hosts {
		if n.reachable(i, j) {
			delete(n.hosts[i].unreachableSince, j)
		} else if _, found := n.hosts[i].unreachableSince[j]; !found {
			n.hosts[i].unreachableSince[j] = n.now
		}
		if since, found := n.hosts[i].unreachableSince[j]; !found || n.now-since < failureDetectionTime {
			members = append(members, other.member)
		}
	}
	n.handle(i, MemberView{members})
}

// poll answers a pending platform watch when there is a new bundle, the platform fails, or the watch has timed out.
func (n *network) poll(i int) {
	h := n.hosts[i]
	revision := fmt.Sprint(n.revision)
	switch {
	case !h.watching:
	case h.noPlatform:
		h.watching = false
		n.handle(i, PlatformFailed{resultcode.Errorf(resultcode.PlatformUnavailable, "", "down")})
	case n.publishedEnvelope != nil && h.watchAfter != revision:
		h.watching = false
		n.handle(i, PlatformBundle{revision, n.publishedEnvelope})
	case n.now >= h.watchUntil:
		h.watching = false
		n.handle(i, PlatformNotModified{h.watchAfter})
	}
}

// run advances time by d or until done returns true, and reports whether done did.
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
			if h.paused { // its sockets buffer received messages
				m.at = n.now + stepLength
				n.enqueue(m)
			} else if !h.down && h.startCount == m.startCount {
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

// probe exchanges announcements with a random member, as a ping and its ack do.
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

// inForceEverywhere returns a function that reports whether every running host has the version in force.
func (n *network) inForceEverywhere(version uint64) func() bool {
	return func() bool {
		for _, h := range n.hosts {
			if !h.down && h.version != version {
				return false
			}
		}
		return true
	}
}
