package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

// claimed answers a claim. Buckets that the map does not give to the claimer get no answer: the claimer repeats the
// claim until both have the same view.
func (h *Handover) claimed(from membership.HostID, buckets []Bucket, denied membership.HostID) {
	redirects := make(map[membership.HostID][]Bucket)
	again := make(map[uint64]*Grant)
	copies, incomplete := Grant{Result: BackupCopies, InSync: true}, Grant{Result: BackupCopies}
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
			// Given up. A grant that is still on its way makes this member an owner that offers the bucket.
			redirects[0] = append(redirects[0], b)
			*k = bucket{peer: from}
			h.dirty = true
		case phaseOther:
			if g, found := h.granted[b]; found && (g.to == from || g.to == denied || !h.reachable[g.to]) {
				if again[g.release] == nil {
					again[g.release] = &Grant{Result: Granted, Release: g.release, InSync: true}
				}
				again[g.release].append(b, g.exceptions, g.inSync)
				g.to, g.until = from, h.now+retainGranted
				h.granted[b] = g
				continue
			}
			h.answerOther(from, b, &copies, &incomplete, redirects)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(again)) {
		h.sendParts(from, *again[number])
	}
	h.sendParts(from, copies)
	h.sendParts(from, incomplete)
	for _, holder := range sortedIDs(redirects) {
		h.emit(SendGrant{To: from, Grant: Grant{Result: Redirect, Buckets: redirects[holder], Holder: holder}})
	}
}

// answerOther answers for a bucket that this member does not own: with the copies of an owner that is gone or has
// restarted, or with the member that it granted the bucket to.
func (h *Handover) answerOther(
	from membership.HostID, b Bucket, copies, incomplete *Grant, redirects map[membership.HostID][]Bucket,
) {
	if source := h.copies.Source(b); source != 0 && (source == from || !h.reachable[source]) {
		held, complete := h.copies.Get(b)
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
	grants := [2]Grant{{Result: Granted, Release: h.rng.Uint64()}, {Result: Granted, Release: h.rng.Uint64(), InSync: true}}
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
		h.granted[b] = granted{
			to: e.To, exceptions: held, inSync: k.inSync, until: h.now + retainGranted, release: g.Release,
		}
		*k = bucket{peer: e.To}
		if owner := h.current.Owner(b); owner != h.self {
			k.peer = owner // the map has changed meanwhile; the owner that it names gets the bucket from e.To
		}
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
			if to := h.buckets[b].peer; h.reachable[to] {
				h.acquire(&h.buckets[b], to, 0, false)
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
	if g.Result == Partial {
		if parts := h.parts[from]; len(parts.Flows) < maxPartFlows {
			parts.add(g.Exceptions)
			h.parts[from] = parts
		}
		return
	}
	if g.Result == Granted || g.Result == BackupCopies {
		h.discardLapsed(g)
		all := h.parts[from]
		delete(h.parts, from)
		all.add(g.Exceptions)
		h.install(all)
	}
	for _, b := range g.Buckets {
		k := &h.buckets[b%BucketCount]
		switch g.Result {
		case Granted:
			h.takeGranted(b, k, from, g)
		case BackupCopies:
			h.takeCopies(b, k, from, g.InSync)
		case Redirect:
			h.redirected(b, k, from, g.Holder)
		case Offer:
			h.offered(b, k, from)
		case Acknowledged:
			if h.granted[b].release == g.Release {
				delete(h.granted, b)
			}
		}
	}
	if g.Result == Granted {
		h.emit(SendGrant{To: from, Grant: Grant{Result: Acknowledged, Release: g.Release, Buckets: g.Buckets}})
	}
}

// discardLapsed drops the entries of granted buckets that this member owned before it was declared gone: the granter has
// decided for them since.
func (h *Handover) discardLapsed(g *Grant) {
	var old []Bucket
	for _, b := range g.Buckets {
		if k := &h.buckets[b%BucketCount]; g.Result == Granted && k.phase == phaseAcquiring && k.lapsed {
			old = append(old, b)
		}
	}
	if len(old) > 0 {
		h.emit(Discard{Buckets: old})
	}
}

func (h *Handover) takeGranted(b Bucket, k *bucket, from membership.HostID, g *Grant) {
	id := release{number: g.Release, bucket: b}
	if _, found := h.taken[id]; found {
		// The sender has nothing newer, so whoever this member passed the bucket on to must be asked.
		h.redirected(b, k, from, 0)
		return
	}
	h.taken[id] = h.now + 2*retainGranted
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
	h.dirty = true
	k.redirects++
	if g, found := h.granted[b]; found && g.to == from && (holder == 0 || holder == h.self) {
		// The grant was lost, and the map gives the bucket back.
		delete(h.granted, b)
		h.install(g.exceptions)
		h.own(k, g.inSync, 0)
		return
	}
	switch {
	case holder == 0 && k.lost:
		h.own(k, false, h.now)
	case h.reachable[k.via] && k.redirects < 2*maxRedirects && holder == 0:
		// A grant that was lost on its way to a member that no longer asks for it; its sender has kept it.
		k.peer, k.denied, k.via, k.next = k.via, from, 0, h.now
	case holder == 0, holder == h.self, k.redirects >= maxRedirects:
		h.search(b, k)
	case h.reachable[holder]:
		k.via, k.denied = from, 0
		// The bucket may be on its way between two members that name each other, so only the first steps go at once.
		k.peer, k.lost, k.wait = holder, false, 0
		if k.redirects <= 2 {
			k.next = h.now
		}
	default:
		// The other member does not know yet that the holder is gone. The claim is repeated.
	}
}

// takeCopies follows the copies of a backup. Unless the owner is known to be gone, another member may still hold the
// bucket itself, so the search goes on.
func (h *Handover) takeCopies(b Bucket, k *bucket, from membership.HostID, complete bool) {
	if k.phase != phaseAcquiring || k.peer != from {
		return
	}
	if k.lost {
		h.own(k, complete, h.now)
		return
	}
	if complete {
		k.copies = copiesComplete
	} else if k.copies == copiesNone {
		k.copies = copiesIncomplete
	}
	h.search(b, k)
}

// search asks the next member in the ranking of the bucket. A member that joins together with others cannot know which
// of them owned the bucket; the owner under any recent map is high in the ranking. When nobody holds the bucket, it is
// new, or its owner has restarted.
func (h *Handover) search(b Bucket, k *bucket) {
	ranking := h.ranking(b)
	if k.asked >= len(ranking) {
		takenOver := time.Duration(0)
		if k.copies != copiesNone {
			takenOver = h.now
		}
		h.own(k, k.copies != copiesIncomplete, takenOver)
		return
	}
	k.peer, k.via, k.denied, k.next, k.wait = ranking[k.asked], 0, 0, h.now, 0
	k.asked++
	h.dirty = true
}

// ranking returns the other reachable members in the order in which they would own the bucket.
func (h *Handover) ranking(b Bucket) []membership.HostID {
	ids := sortedIDs(h.reachable)
	ids = without(ids, h.self)
	slices.SortStableFunc(ids, func(x, y membership.HostID) int { return cmp.Compare(score(y, b), score(x, b)) })
	return ids
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
