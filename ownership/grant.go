package ownership

import (
	"github.com/marigoldwood/marigoldwood/membership"
)

// claimed answers a claim. Buckets that the map does not give to the claimer get no answer: the claimer repeats the
// claim until both have the same view.
func (h *Handover) claimed(from membership.HostID, buckets []Bucket) {
	redirects := make(map[membership.HostID][]Bucket)
	copies, again := Grant{Result: HeldCopies, InSync: true}, Grant{Result: Granted, InSync: true}
	incomplete := Grant{Result: HeldCopies}
	for _, b := range buckets {
		k := &h.buckets[b%BucketCount]
		if h.current == nil || h.current.Owner(b) != from {
			if h.current == nil {
				redirects[0] = append(redirects[0], b)
			}
			continue
		}
		switch k.phase {
		case phaseOwner:
			h.release(k, from)
		case phaseReleasing, phaseMerging:
		case phaseAcquiring:
			redirects[k.peer] = append(redirects[k.peer], b)
			*k = bucket{peer: from, holder: k.peer}
			h.dirty = true
		case phaseOther:
			if g, found := h.granted[b]; found && (g.to == from || !h.reachable[g.to]) {
				again.append(b, g.exceptions, g.inSync)
				h.granted[b] = granted{to: from, exceptions: g.exceptions, inSync: g.inSync, until: h.now + retainGranted}
				continue
			}
			h.answerOther(from, b, &copies, &incomplete, redirects)
		}
	}
	for _, g := range []Grant{again, copies, incomplete} {
		h.sendParts(from, g)
	}
	for _, holder := range sortedIDs(redirects) {
		h.emit(SendGrant{To: from, Grant: Grant{Result: Redirect, Buckets: redirects[holder], Holder: holder}})
	}
}

// answerOther answers for a bucket that this member does not own: with the copies of an owner that is gone or has
// restarted, or with the member that it takes for the owner.
func (h *Handover) answerOther(from membership.HostID, b Bucket, copies, incomplete *Grant, redirects map[membership.HostID][]Bucket) {
	if source := h.copies.Source(b); source != 0 && (source == from || !h.reachable[source]) {
		held, complete := h.copies.Take(b)
		if complete {
			copies.append(b, held, true)
		} else {
			incomplete.append(b, held, false)
		}
		return
	}
	holder := membership.HostID(0)
	if g, found := h.granted[b]; found {
		holder = g.to
	} else if k := &h.buckets[b]; k.holder != from && k.holder != h.self {
		holder = k.holder
	}
	redirects[holder] = append(redirects[holder], b)
}

func (g *Grant) append(b Bucket, e Exceptions, inSync bool) {
	g.Buckets = append(g.Buckets, b)
	g.Exceptions.add(e)
	g.InSync = g.InSync && inSync
}

// sendParts sends a grant in messages of bounded size; the last one names the buckets.
func (h *Handover) sendParts(to membership.HostID, g Grant) {
	if len(g.Buckets) == 0 {
		return
	}
	for len(g.Exceptions.Flows) > grantPartFlows {
		part := Exceptions{Flows: g.Exceptions.Flows[:grantPartFlows], Retired: g.Exceptions.Retired}
		h.emit(SendGrant{To: to, Grant: Grant{Result: Partial, Exceptions: part}})
		g.Exceptions.Flows = g.Exceptions.Flows[grantPartFlows:]
	}
	h.emit(SendGrant{To: to, Grant: g})
}

// collect asks for the exceptions of the buckets that no traffic goroutine decides for any more.
func (h *Handover) collect(number uint64) {
	due := make(map[membership.HostID][]Bucket)
	for b := range h.buckets {
		k := &h.buckets[b]
		if k.collecting || k.publication == 0 || k.publication > number {
			continue
		}
		switch k.phase {
		case phaseMerging:
			k.collecting, k.next = true, h.now // the claim may go out
		case phaseReleasing:
			k.collecting = true
			due[k.peer] = append(due[k.peer], Bucket(b))
		}
	}
	for _, to := range sortedIDs(due) {
		h.emit(Collect{To: to, Buckets: due[to]})
	}
}

// sendGranted sends the collected exceptions. They are kept for a while: a grant that is lost with its connection is
// sent again when the claim is repeated.
func (h *Handover) sendGranted(e *Collected) {
	byBucket := make(map[Bucket]*Exceptions)
	for _, x := range e.Exceptions.Flows {
		b := x.Bucket()
		if byBucket[b] == nil {
			byBucket[b] = &Exceptions{Retired: e.Exceptions.Retired}
		}
		byBucket[b].Flows = append(byBucket[b].Flows, x)
	}
	grants := [2]Grant{{Result: Granted}, {Result: Granted, InSync: true}}
	for _, b := range e.Buckets {
		k := &h.buckets[b%BucketCount]
		if k.phase != phaseReleasing || !k.collecting || k.peer != e.To {
			continue
		}
		var held Exceptions
		if x := byBucket[b]; x != nil {
			held = *x
		}
		g := &grants[0]
		if k.inSync {
			g = &grants[1]
		}
		g.append(b, held, k.inSync)
		h.granted[b] = granted{to: e.To, exceptions: held, inSync: k.inSync, until: h.now + retainGranted}
		*k = bucket{peer: e.To}
		h.dirty = true
	}
	for _, g := range grants {
		h.sendParts(e.To, g)
	}
	h.reclaim(e.Buckets)
}

// reclaim takes buckets back whose new owner was lost while they were released to it.
func (h *Handover) reclaim(buckets []Bucket) {
	var back Exceptions
	for _, b := range buckets {
		if h.current.Owner(b) == h.self && h.buckets[b].phase == phaseOther {
			if h.reachable[h.buckets[b].peer] {
				h.acquire(&h.buckets[b], h.buckets[b].peer, 0, false)
			} else {
				h.lose(b, 0, &back)
			}
		}
	}
	h.install(back)
}

// receiveGrant takes the answer to a claim. Granted buckets are taken even when the map has changed meanwhile, since
// nobody else holds them; the owner that the map names claims them from here.
func (h *Handover) receiveGrant(from membership.HostID, g *Grant) {
	switch g.Result {
	case Granted, HeldCopies, Partial:
		h.install(g.Exceptions)
	}
	for _, b := range g.Buckets {
		k := &h.buckets[b%BucketCount]
		switch g.Result {
		case Granted:
			h.takeGranted(b, k, g)
		case HeldCopies:
			if k.phase == phaseAcquiring && k.peer == from {
				h.own(k, g.InSync, h.now)
			}
		case Redirect:
			h.redirected(b, k, from, g.Holder)
		case Offer:
			h.offered(b, k, from)
		}
	}
}

func (h *Handover) takeGranted(b Bucket, k *bucket, g *Grant) {
	delete(h.granted, b)
	switch k.phase {
	case phaseReleasing:
		k.inSync = k.inSync || g.InSync
	case phaseOwner, phaseMerging:
		h.own(k, k.inSync || g.InSync, k.takenOverAt)
	default:
		h.own(k, g.InSync, 0)
	}
	if h.current != nil && h.current.Owner(b) != h.self && k.phase == phaseOwner {
		h.awaitClaim(k)
	}
}

func (h *Handover) redirected(b Bucket, k *bucket, from, holder membership.HostID) {
	if k.phase == phaseMerging && k.peer == from {
		h.own(k, k.inSync, k.takenOverAt)
		return
	}
	if k.phase != phaseAcquiring || k.peer != from {
		return
	}
	k.redirects++
	switch {
	case holder != 0 && holder != h.self && h.reachable[holder] && k.redirects < maxRedirects && !k.lost:
		k.peer = holder
		if k.redirects > 2 {
			return // two members may point at each other while views differ; the retry wait applies
		}
		k.next = h.now
	case k.lost && holder != 0:
		// The holder of the copies does not know yet that the owner is gone. The claim is repeated until copiesLimit.
	case k.lost:
		h.own(k, false, h.now)
	case k.alternative != 0 && k.alternative != h.self && h.reachable[k.alternative]:
		k.peer, k.alternative, k.next = k.alternative, 0, h.now
	case holder == 0 || k.redirects >= maxRedirects:
		h.own(k, holder == 0, 0)
	}
	h.dirty = true
}

func (h *Handover) offered(b Bucket, k *bucket, from membership.HostID) {
	if h.current == nil || h.current.Owner(b) != h.self {
		return
	}
	switch k.phase {
	case phaseOwner:
		h.merge(k, from)
	case phaseAcquiring:
		k.peer, k.lost, k.next = from, false, h.now
		h.dirty = true
	case phaseOther:
		h.acquire(k, from, 0, false)
	}
}
