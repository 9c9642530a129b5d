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

// Durations and limits of steps.
const (
	stepTime      = time.Millisecond      // of every step, in addition to the time that it lets pass
	tickTime      = 10 * time.Millisecond // greatest common divisor of the timer intervals
	waitTime      = 100 * time.Millisecond
	settleTime    = 1100 * time.Millisecond // longer than serveTime
	detectTime    = 1250 * time.Millisecond // minimum from the first missed probe to the declaration as gone
	fenceTime     = 500 * time.Millisecond  // a host is fenced after a longer pause
	serveTime     = time.Second             // time for which a restarted balancer waits before it serves
	maxDeliveries = 400                     // messages that one tick of settle may deliver; more would be a message loop
)

// Fault is a defect that a test injects to verify that the rules detect it.
type Fault uint8

// Faults.
const (
	NoFault               Fault = iota
	GrantDropsFlows             // a grant arrives without the flows that the previous owner collected
	TakeoverIgnoresCopies       // a backup that takes over a bucket has no copies
	DecidesDuringRelease        // an owner that releases a bucket handles its packets until the grant is sent
)

// channel is a kind of message. Control messages and data packets may be lost, duplicated and delayed; internal messages may
// only be delayed.
type channel uint8

const (
	control  channel = iota // peer messages, in order on each connection
	data                    // packets between balancers
	internal                // membership views and quiescence
)

// link identifies a queue of messages by sender, receiver and channel.
type link struct {
	from, to int
	channel  channel
}

type message struct {
	text     string
	sequence int // order of sending, across all links
	apply    func(*balancer)
}

type membershipView struct {
	owners             *ownership.Map
	members, reachable []membership.HostID
	incarnations       [hostCount]uint64
}

// status is the state of a host in the membership, on which all members agree.
type status uint8

const (
	serving status = iota
	leaving
	gone     // declared gone while paused
	starting // restarted, not serving yet
)

type delivery struct {
	target netip.Addr
	at     time.Duration
}

// world is the state of one run: the balancers, the messages in transit and the observations that the rules need.
type world struct {
	sc              *scope
	fault           Fault
	now             time.Duration
	hosts           [hostCount]*balancer
	status          [hostCount]status
	links           map[link][]message
	messagesSent    int
	deliveries      [flowCount][]delivery
	opened          [flowCount]bool // a packet of the connection has reached a target
	closed          [flowCount]bool // the connection was reset
	mayChangeTarget [flowCount]bool // the flow is exempt from the rule of one target, see exemptLostOwner
	batchLost       [hostCount]bool // a batch from the host was lost; it is resent after 1 s
	highestVersions [hostCount]uint64
	generations     [hostCount]int
	started         bool     // the initial takeover is over
	notes           []string // effects of the current step, for the trace
	violation       string
}

// newWorld returns a run in which all hosts serve with version 1 in force, and all buckets have their owners and backup copies.
func newWorld(sc *scope, fault Fault) *world {
	w := &world{sc: sc, fault: fault, now: time.Second, links: make(map[link][]message)}
	for i := range w.hosts {
		w.hosts[i] = &balancer{w: w, index: i}
		w.hosts[i].start(1)
	}
	// No other member is reachable and the copies count as complete, so that each host takes over its buckets immediately.
	// Claims would take most of the time of a run.
	owners := ownership.Build(sc.ids[:])
	for i, b := range w.hosts {
		b.updateView(membershipView{owners: owners, reachable: sc.ids[i : i+1]})
	}
	w.started = true
	w.sendViews()
	w.settle(200*time.Millisecond, 600*time.Millisecond) // until the backups have the copies
	w.settle(10*time.Second, 10*time.Second)             // until the initial takeover no longer counts as recent
	w.notes = nil
	return w
}

func (w *world) fail(text string) {
	if w.violation == "" {
		w.violation = text
	}
}

func (w *world) notef(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf(format, args...))
}

func (w *world) enqueue(l link, text string, apply func(*balancer)) {
	w.messagesSent++
	w.links[l] = append(w.links[l], message{text: text, sequence: w.messagesSent, apply: apply})
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

// bucketText returns the names of the flows whose buckets are in the list, for the text of a message.
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

// backupCopies gives the handover access to the copies that a balancer holds as backup. Until the initial takeover is over,
// they count as complete.
type backupCopies struct{ *balancer }

// Get implements ownership.BackupStore.
func (c backupCopies) Get(b ownership.Bucket) (ownership.Exceptions, bool) {
	x, complete := c.store.Get(b)
	if c.w.fault == TakeoverIgnoresCopies {
		x = ownership.Exceptions{}
	}
	return x, complete || !c.w.started
}

// Source implements ownership.BackupStore.
func (c backupCopies) Source(b ownership.Bucket) membership.HostID { return c.store.Source(b) }

// deliver delivers the oldest message of a link, and removes it from the queue if remove is set.
func (w *world) deliver(l link, remove bool) {
	m := w.links[l][0]
	if remove {
		w.links[l] = w.links[l][1:]
	}
	m.apply(w.hosts[l.to])
}

// advance advances the time by d in ticks. At each tick, all running hosts receive probes and run their timers.
func (w *world) advance(tick, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		for _, b := range w.hosts {
			if !b.paused {
				w.updateSeenVersions(b)
				b.runTimers()
			}
		}
	}
}

// updateSeenVersions simulates probes that tell a host the versions in force at the running hosts.
func (w *world) updateSeenVersions(b *balancer) {
	before := b.seenVersions
	for i, other := range w.hosts {
		if !other.paused {
			b.seenVersions[i] = other.inForce.Version
		}
	}
	if b.seenVersions != before {
		b.publish()
	}
}

// settle advances the time by d in ticks and delivers all messages in the order of sending after each tick.
func (w *world) settle(tick, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance(tick, tick)
		for range maxDeliveries {
			l, found := w.oldestLink()
			if !found {
				break
			}
			w.deliver(l, true)
		}
	}
}

// oldestLink returns the link to a running host whose first message was sent earliest.
func (w *world) oldestLink() (best link, found bool) {
	for _, l := range w.sortedLinks() {
		if w.hosts[l.to].paused {
			continue
		}
		if !found || w.links[l][0].sequence < w.links[best][0].sequence {
			best, found = l, true
		}
	}
	return best, found
}

// sendViews sends the current membership view to all hosts that are not declared gone. A host applies the view when the message
// is delivered.
func (w *world) sendViews() {
	var v membershipView
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
		text += " " + hostName(w.sc.hostIndex(id))
	}
	for i := range w.hosts {
		if w.status[i] != gone {
			w.enqueue(link{i, i, internal}, text, func(b *balancer) { b.updateView(v) })
		}
	}
}

// sendPacket sends the next packet of a flow from the caller to a host.
func (w *world) sendPacket(f, host int) {
	p := w.sc.flows[f].packet
	if f == sessionFlow {
		p.Flags, p.Seq = forward.SYN, 100
		p.Payload = 0
		if w.opened[f] {
			p.Flags, p.Seq, p.Ack, p.Payload = forward.ACK, 101, 501, 10
		}
	}
	w.applyDecision(f, host, p, w.hosts[host].engine.FromCaller(w.now, &p))
}

// applyDecision executes the decision of a host about a packet of a flow.
func (w *world) applyDecision(f, host int, p forward.Packet, d forward.Decision) {
	switch d.Action {
	case forward.ForwardPeer:
		to, info, from := w.sc.hostIndexByAddr(d.Addr().Addr()), d.Peer(), w.sc.addrs[host].Addr()
		w.enqueue(link{host, to, data}, fmt.Sprintf("packet of %s to the %s", flowNames[f],
			[]string{"", "target", "caller"}[info.Direction]), func(b *balancer) {
			w.applyDecision(f, b.index, p, b.engine.FromPeer(w.now, &p, from, info))
		})
		w.notef("%s forwards %s to %s", hostName(host), flowNames[f], hostName(to))
	case forward.ForwardTarget:
		w.recordDelivery(f, host, p, d)
	case forward.SendCaller:
		w.notef("%s sends a packet to the caller of %s", hostName(host), flowNames[f])
	case forward.Refuse:
		w.notef("%s refuses %s: %v", hostName(host), flowNames[f], d.Code)
		if len(w.deliveries[f]) > 0 {
			w.fail("a refusal of " + flowNames[f] + " follows a delivery to a target")
		}
	default:
		if d.Action == forward.Reset && d.Direction == forward.ToTarget {
			w.closed[f] = true
		}
		w.notef("%s: %v of %s: %v", hostName(host), d.Action, flowNames[f], d.Code)
	}
}

// recordDelivery checks and records the delivery of a packet to a target. The target answers immediately to the same balancer.
func (w *world) recordDelivery(f, host int, p forward.Packet, d forward.Decision) {
	addr := d.Addr().Addr()
	t := w.sc.targets[addr]
	w.notef("%s delivers %s to %s", hostName(host), flowNames[f], addr)
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
	w.applyDecision(f, host, answer, w.hosts[host].engine.FromTarget(w.now, &answer, addr, t.vni))
}

// checkEvaluation checks that a host accepts version 2 with the expected content and refuses version 1 from then on.
func (w *world) checkEvaluation(b *balancer, v bundle.Decision) {
	if v.Outcome == bundle.Accepted && v.Bundle.Digest != w.sc.bundles[1].Digest {
		w.fail("version 2 has unexpected content at " + hostName(b.index))
	}
	if v.Outcome != bundle.Accepted {
		w.fail("version 2 is refused at " + hostName(b.index))
	}
	// Version 1 must be refused everywhere from now on.
	if old := bundle.Evaluate(v.Bundle, w.sc.envelopes[0], w.sc.keys, w.sc.wallTime); old.Outcome != bundle.Refused {
		w.fail("version 1 is not refused after version 2 at " + hostName(b.index))
	}
}
