package explore

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/ownership"
)

var evicted = ownership.Evicted{}

// checkDelivery checks the rules for a packet that is about to be delivered to a target: the target belongs to the service of
// the flow, the VNI matches, and the flow has had no other target unless mayChangeTarget is set.
func (w *world) checkDelivery(f int, addr netip.Addr, vni uint32) {
	t := w.sc.targets[addr]
	if t.service != flowNames[f] || t.vni != vni {
		w.fail(fmt.Sprintf("a packet of %s is delivered to %s of service %q", flowNames[f], addr, t.service))
	}
	for _, d := range w.deliveries[f] {
		if d.target != addr && !w.mayChangeTarget[f] {
			w.fail(fmt.Sprintf("%s is delivered to two targets, %s and %s", flowNames[f], d.target, addr))
			return
		}
	}
}

// replicationLimit is the age by which an exception has been sent to the backup, as the design page guarantees.
const replicationLimit = 100 * time.Millisecond

// exemptLostOwner permits the connection to change its target in the only case that the design allows: it is not on its
// default target, its owner fails without notice, and no backup has the copy, because the exception was placed in the last
// 100 ms ("lost: exceptions of the last 100 ms"), or because the message with the copy is delayed or lost. The datagram flow
// is never exempt, because it is not idempotent: its packets are dropped while the outcome is unknown. at is the time of the
// failure.
func (w *world) exemptLostOwner(b *balancer, at time.Duration) {
	placed := w.deliveries[sessionFlow]
	if len(placed) == 0 || b.states[w.sc.flows[sessionFlow].bucket].Role != ownership.RoleOwner {
		return
	}
	for _, other := range w.hosts {
		copies, _ := other.store.Get(w.sc.flows[sessionFlow].bucket)
		if other != b && len(copies.Flows) > 0 {
			return
		}
	}
	late := w.batchLost[b.index]
	for l, queue := range w.links {
		late = late || l.from == b.index && slices.ContainsFunc(queue, isBatch)
	}
	w.mayChangeTarget[sessionFlow] = w.mayChangeTarget[sessionFlow] || late || at-placed[0].at <= replicationLimit
}

func isBatch(m message) bool { return strings.HasPrefix(m.text, batchPrefix) }

// checkRules checks the rules that must hold after every step.
func (w *world) checkRules() {
	for i, b := range w.hosts {
		v := b.engine.Snapshot().Bundle.Version
		if w.generations[i] == b.generation && v < w.highestVersions[i] {
			w.fail(fmt.Sprintf("the version in force at %s decreases from %d to %d", hostName(i), w.highestVersions[i], v))
		}
		w.generations[i], w.highestVersions[i] = b.generation, v
	}
	for f := range w.sc.flows {
		w.checkOwners(f)
	}
}

// checkOwners checks that balancers that act as owner of a flow's bucket at the same time have the same target for the flow.
func (w *world) checkOwners(f int) {
	first, at := forward.Explanation{}, -1
	for i, b := range w.hosts {
		if b.paused || b.fenced {
			continue
		}
		x := b.engine.Explain(w.now, w.sc.flows[f].key)
		if x.Role != forward.RoleOwner || x.TargetID == 0 {
			continue
		}
		if at >= 0 && first.TargetID != x.TargetID {
			w.fail(fmt.Sprintf("%s and %s both own %s with different targets: %v by %s, %v by %s", hostName(at), hostName(i),
				flowNames[f], first.Target, first.Rule, x.Target, x.Rule))
		}
		first, at = x, i
	}
}

// fingerprint returns a hash of the observable state.
func (w *world) fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now, w.status, w.opened, w.closed, w.mayChangeTarget, w.batchLost, w.highestVersions)
	for i, b := range w.hosts {
		fmt.Fprint(h, i, b.generation, b.incarnation, b.paused, b.pausedAt, b.fenced, b.joinAt, b.nextTick, b.nextReplication,
			b.seenVersions, b.knownIncarnations, b.owners.Members(), len(b.sink.changes))
		owned, synced := b.replicator.InSync()
		fmt.Fprint(h, b.handover.Owned(), b.handover.Pending(), owned, synced, b.engine.NewestVersion())
		for f := range w.sc.flows {
			k := &w.sc.flows[f]
			copies, complete := b.store.Get(k.bucket)
			fmt.Fprint(h, b.states[k.bucket], b.engine.Explain(w.now, k.key), len(copies.Flows), complete, b.store.Source(k.bucket))
		}
	}
	for _, l := range w.sortedLinks() {
		fmt.Fprint(h, l)
		for _, m := range w.links[l] {
			fmt.Fprint(h, m.text, ";")
		}
	}
	for f := range w.deliveries {
		seen := map[netip.Addr]bool{}
		for _, d := range w.deliveries[f] {
			if !seen[d.target] {
				seen[d.target] = true
				fmt.Fprint(h, f, d.target)
			}
		}
	}
	return h.Sum64()
}
