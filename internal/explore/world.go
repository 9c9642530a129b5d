package explore

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// Durations of steps.
const (
	stepTime     = time.Millisecond      // of a step that does not say otherwise
	tickTime     = 10 * time.Millisecond // the greatest common divisor of the intervals
	waitTime     = 100 * time.Millisecond
	settledTime  = 1100 * time.Millisecond // longer than the second that a restarted balancer waits before it serves
	detectTime   = 1250 * time.Millisecond // from the first missed probe to the end of suspicion, at least
	fenceTime    = 500 * time.Millisecond
	serveTime    = time.Second
	maxDelivered = 400 // messages that one tick of a settling network may deliver; more would be a loop
)

// Fault is a defect that a test injects, to show that the rules find it.
type Fault uint8

// Faults.
const (
	NoFault               Fault = iota
	GrantDropsFlows             // a grant arrives without the flows that the previous owner collected
	TakeoverIgnoresCopies       // a backup that takes a bucket over has no copies
	DecidesDuringRelease        // an owner goes on deciding until the grant is sent
)

// channel is a kind of message. Control messages and data packets may be lost and duplicated; the others may only be
// late.
type channel uint8

const (
	control  channel = iota // peer messages, in order on each connection
	data                    // packets between balancers
	internal                // membership views and quiescence
)

type link struct {
	from, to int
	channel  channel
}

type message struct {
	text  string
	order int // of sending, over all links
	apply func(*balancer)
}

type view struct {
	owners             *ownership.Map
	members, reachable []membership.HostID
	incarnations       [hostCount]uint64
}

// status is what the members agree on about a host.
type status uint8

const (
	serving status = iota
	leaving
	gone     // declared gone while paused
	starting // restarted, does not serve yet
)

type delivery struct {
	target netip.Addr
	at     time.Duration
}

// world is one run: the balancers, the messages between them and what has happened.
type world struct {
	sc         *scope
	fault      Fault
	now        time.Duration
	hosts      [hostCount]*balancer
	status     [hostCount]status
	links      map[link][]message
	sent       int
	deliveries [flowCount][]delivery
	opened     [flowCount]bool // the connection's SYN has reached a target
	closed     [flowCount]bool // the connection was reset
	exempt     [flowCount]bool // the flow may change its target, see lostOwner
	batchLost  [hostCount]bool // a batch of the host was lost, so that it is sent again after a second
	highest    [hostCount]uint64
	lives      [hostCount]int
	started    bool     // every host serves
	notes      []string // what the step in progress has caused
	violation  string
}

// newWorld returns a run in which every host serves with version 1 and all buckets have their owners and copies.
func newWorld(sc *scope, fault Fault) *world {
	w := &world{sc: sc, fault: fault, now: time.Second, links: make(map[link][]message)}
	for i := range w.hosts {
		w.hosts[i] = &balancer{w: w, i: i}
		w.hosts[i].start(1)
	}
	// Alone with complete copies, each host takes its buckets over at once. Claims would take most of the time of a run.
	owners := ownership.Build(sc.ids[:])
	for i, b := range w.hosts {
		b.view(view{owners: owners, reachable: sc.ids[i : i+1]})
	}
	w.started = true
	w.spreadView()
	w.settle(200*time.Millisecond, 600*time.Millisecond) // until the backups have the copies
	w.settle(10*time.Second, 10*time.Second)             // until the takeover of the start no longer counts as recent
	w.notes = nil
	return w
}

func (w *world) fail(text string) {
	if w.violation == "" {
		w.violation = text
	}
}

func (w *world) note(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf(format, args...))
}

func (w *world) push(l link, text string, apply func(*balancer)) {
	w.sent++
	w.links[l] = append(w.links[l], message{text: text, order: w.sent, apply: apply})
}

// sortedLinks returns the links with pending messages in a fixed order.
func (w *world) sortedLinks() []link {
	var out []link
	for l, queue := range w.links {
		if len(queue) > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b link) int {
		return (a.from*hostCount+a.to)*3 + int(a.channel) - (b.from*hostCount+b.to)*3 - int(b.channel)
	})
	return out
}

// bucketText names the flows whose buckets are in the list.
func (w *world) bucketText(buckets []ownership.Bucket) string {
	var names []string
	for i := range w.sc.flows {
		if slices.Contains(buckets, w.sc.flows[i].bucket) {
			names = append(names, flowNames[i])
		}
	}
	if names == nil {
		return " of other buckets"
	}
	return " of " + strings.Join(names, " and ")
}

// copiesOf are the copies that a balancer holds as backup, as its handover sees them.
type copiesOf struct{ *balancer }

// Get implements ownership.BackupStore.
func (c copiesOf) Get(b ownership.Bucket) (ownership.Exceptions, bool) {
	x, complete := c.store.Get(b)
	if c.w.fault == TakeoverIgnoresCopies {
		x = ownership.Exceptions{}
	}
	return x, complete || !c.w.started
}

// Source implements ownership.BackupStore.
func (c copiesOf) Source(b ownership.Bucket) membership.HostID { return c.store.Source(b) }

func (w *world) deliver(l link, remove bool) {
	m := w.links[l][0]
	if remove {
		w.links[l] = w.links[l][1:]
	}
	m.apply(w.hosts[l.to])
}

// pass lets time pass in steps of a tick, at which the timers run at every host that runs.
func (w *world) pass(tick, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		for _, b := range w.hosts {
			if !b.paused {
				w.probes(b)
				b.runTimers()
			}
		}
	}
}

// probes shows a host the versions of the hosts that run.
func (w *world) probes(b *balancer) {
	before := b.seen
	for i, other := range w.hosts {
		if !other.paused {
			b.seen[i] = other.inForce.Version
		}
	}
	if b.seen != before {
		b.publish()
	}
}

// settle lets time pass with a network that delivers everything in order.
func (w *world) settle(tick, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.pass(tick, tick)
		for range maxDelivered {
			l, found := w.oldest()
			if !found {
				break
			}
			w.deliver(l, true)
		}
	}
}

func (w *world) oldest() (best link, found bool) {
	for _, l := range w.sortedLinks() {
		if w.hosts[l.to].paused {
			continue
		}
		if !found || w.links[l][0].order < w.links[best][0].order {
			best, found = l, true
		}
	}
	return best, found
}

// spreadView sends the hosts the view that the members agree on. Each takes it when its message is delivered.
func (w *world) spreadView() {
	var v view
	for i, id := range w.sc.ids {
		v.incarnations[i] = w.hosts[i].incarnation
		if w.status[i] == serving {
			v.members = append(v.members, id)
		}
		if w.status[i] == serving || w.status[i] == leaving {
			v.reachable = append(v.reachable, id)
		}
	}
	v.owners = ownership.Build(v.members)
	text := "view"
	for _, id := range v.members {
		text += " " + hostName(w.sc.host(id))
	}
	for i := range w.hosts {
		if w.status[i] != gone {
			w.push(link{i, i, internal}, text, func(b *balancer) { b.view(v) })
		}
	}
}

// packet hands the next packet of a flow to a host.
func (w *world) packet(f, host int) {
	p := w.sc.flows[f].packet
	if f == session {
		p.Flags, p.Seq = forward.SYN, 100
		p.Payload = 0
		if w.opened[f] {
			p.Flags, p.Seq, p.Ack, p.Payload = forward.ACK, 101, 501, 10
		}
	}
	w.decided(f, host, p, w.hosts[host].engine.FromCaller(w.now, &p))
}

// decided carries out the decision of a host about a packet of a flow.
func (w *world) decided(f, host int, p forward.Packet, d forward.Decision) {
	switch d.Action {
	case forward.ForwardPeer:
		to, info, from := w.sc.hostAt(d.Addr().Addr()), d.Peer(), w.sc.addrs[host].Addr()
		w.push(link{host, to, data}, fmt.Sprintf("packet of %s to the %s", flowNames[f], []string{"", "target", "caller"}[info.Direction]), func(b *balancer) {
			w.decided(f, b.i, p, b.engine.FromPeer(w.now, &p, from, info))
		})
		w.note("%s passes %s on to %s", hostName(host), flowNames[f], hostName(to))
	case forward.ForwardTarget:
		w.delivered(f, host, p, d)
	case forward.SendCaller:
		w.note("%s answers the caller of %s", hostName(host), flowNames[f])
	case forward.Refuse:
		w.note("%s refuses %s: %v", hostName(host), flowNames[f], d.Code)
		if len(w.deliveries[f]) > 0 {
			w.fail("the refusal of " + flowNames[f] + " is false: it has been delivered")
		}
	default:
		if d.Action == forward.Reset && d.Direction == forward.ToTarget {
			w.closed[f] = true
		}
		w.note("%s: %v of %s: %v", hostName(host), d.Action, flowNames[f], d.Code)
	}
}

// delivered notes that a packet has reached a target. The target answers at once, to the same balancer.
func (w *world) delivered(f, host int, p forward.Packet, d forward.Decision) {
	addr := d.Addr().Addr()
	t := w.sc.targets[addr]
	w.note("%s delivers %s to %s", hostName(host), flowNames[f], addr)
	w.checkDelivery(f, addr, d.VNI)
	w.deliveries[f] = append(w.deliveries[f], delivery{target: addr, at: w.now})
	answer := p
	answer.Source, answer.Destination = p.Destination, p.Source
	if p.Protocol == flow.TCP {
		w.opened[f] = true
		answer.Flags, answer.Seq, answer.Ack = forward.ACK, 501, p.Seq+p.SequenceLength()
		if p.Has(forward.SYN) {
			answer.Flags, answer.Seq = forward.SYN|forward.ACK, 500
		}
	}
	w.decided(f, host, answer, w.hosts[host].engine.FromTarget(w.now, &answer, addr, t.vni))
}

func (w *world) verdict(b *balancer, v bundle.Decision) {
	if v.Outcome == bundle.Accepted && v.Bundle.Digest != w.sc.bundles[1].Digest {
		w.fail("version 2 has another content at " + hostName(b.i))
	}
	if v.Outcome != bundle.Accepted {
		w.fail("version 2 is refused at " + hostName(b.i))
	}
	// Version 1 must be refused everywhere from now on.
	if old := bundle.Evaluate(v.Bundle, w.sc.envelopes[0], w.sc.keys, w.sc.wall); old.Outcome != bundle.Refused {
		w.fail("version 1 is not refused after version 2 at " + hostName(b.i))
	}
}
