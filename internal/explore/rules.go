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

var lapsed = ownership.Evicted{}

// checkDelivery checks a delivery to a target before it is noted.
func (w *world) checkDelivery(f int, addr netip.Addr, vni uint32) {
	t := w.sc.targets[addr]
	if t.service != flowNames[f] || t.vni != vni {
		w.fail(fmt.Sprintf("a packet of %s reaches %s of service %q", flowNames[f], addr, t.service))
	}
	for _, d := range w.deliveries[f] {
		if d.target != addr && !w.exempt[f] {
			w.fail(fmt.Sprintf("%s is delivered to %s and to %s", flowNames[f], d.target, addr))
			return
		}
	}
}

// copyLimit is the age at which the design page promises that an exception has been sent to the backup.
const copyLimit = 100 * time.Millisecond

// lostOwner allows the one case in which a flow may change its target: the connection is off its default target, its
// owner is lost without notice, and no backup has the copy, because the exception was placed in the last 100 ms ("lost:
// exceptions of the last 100 ms"), or because the message with the copy is late or was lost. The non-idempotent
// datagrams have no such exception: they are dropped while the outcome is unknown.
func (w *world) lostOwner(b *balancer, at time.Duration) {
	placed := w.deliveries[session]
	if len(placed) == 0 || b.states[w.sc.flows[session].bucket].Role != ownership.RoleOwner {
		return
	}
	for _, other := range w.hosts {
		copies, _ := other.store.Get(w.sc.flows[session].bucket)
		if other != b && len(copies.Flows) > 0 {
			return
		}
	}
	late := w.batchLost[b.i]
	for l, queue := range w.links {
		late = late || l.from == b.i && slices.ContainsFunc(queue, isBatch)
	}
	w.exempt[session] = w.exempt[session] || late || at-placed[0].at <= copyLimit
}

func isBatch(m message) bool { return strings.HasPrefix(m.text, batchText) }

// check checks the rules that hold between steps.
func (w *world) check() {
	for i, b := range w.hosts {
		v := b.engine.Snapshot().Bundle.Version
		if w.lives[i] == b.life && v < w.highest[i] {
			w.fail(fmt.Sprintf("the version in force at %s falls from %d to %d", hostName(i), w.highest[i], v))
		}
		w.lives[i], w.highest[i] = b.life, v
	}
	for f := range w.sc.flows {
		w.checkOwners(f)
	}
}

// checkOwners checks that no two balancers that decide for a bucket have different targets for its flow.
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
			w.fail(fmt.Sprintf("%s and %s both decide for %s: %v by %s, %v by %s", hostName(at), hostName(i), flowNames[f],
				first.Target, first.Rule, x.Target, x.Rule))
		}
		first, at = x, i
	}
}

// fingerprint identifies what can be observed of the state.
func (w *world) fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now, w.status, w.opened, w.closed, w.exempt, w.batchLost, w.highest)
	for i, b := range w.hosts {
		fmt.Fprint(h, i, b.life, b.incarnation, b.paused, b.pausedAt, b.fenced, b.joinAt, b.nextTick, b.nextCopies, b.seen, b.known, b.owners.Members(), len(b.sink.changes))
		owned, synced := b.replicator.InSync()
		fmt.Fprint(h, b.h.Owned(), b.h.Pending(), owned, synced, b.engine.NewestVersion())
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
