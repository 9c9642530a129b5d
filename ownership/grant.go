package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

// handleClaim answers a claim. Buckets that the map does not assign to the claimer get no answer: the claimer repeats the
// claim until both members have the same view.
func (h *Handover) handleClaim(from membership.HostID, buckets []Bucket, denied membership.HostID) {
	redirects := make(map[membership.HostID][]Bucket)
	resends := make(map[uint64]*Grant)
	complete, incomplete := Grant{Result: BackupCopies, InSync: true}, Grant{Result: BackupCopies}
	for _, b := range buckets {
		k := &h.buckets[b%BucketCount]
		if h.currentMap == nil || h.currentMap.Owner(b) != from {
			if h.currentMap == nil {
				redirects[0] = append(redirects[0], b)
			}
			continue
		}
		switch k.phase {
		case phaseOwner:
			h.startRelease(k, from)
		case phaseReleasing, phaseMerging:
		case phaseAcquiring:
			// This member stops acquiring. A grant still in flight makes it an owner that offers the bucket.
			redirects[0] = append(redirects[0], b)
			*k = bucket{peer: from}
			h.dirty = true
		case phaseNotOwner:
			if g, found := h.sentGrants[b]; found && (g.to == from || g.to == denied || !h.reachable[g.to]) {
				if resends[g.release] == nil {
					resends[g.release] = &Grant{Result: Granted, Release: g.release, InSync: true}
				}
				resends[g.release].append(b, g.exceptions, g.inSync)
				g.to, g.expiresAt = from, h.now+grantRetention
				h.sentGrants[b] = g
				continue
			}
			h.answerAsNonOwner(from, b, &complete, &incomplete, redirects)
		}
	}
	for _, release := range slices.Sorted(maps.Keys(resends)) {
		h.sendGrant(from, *resends[release])
	}
	h.sendGrant(from, complete)
	h.sendGrant(from, incomplete)
	for _, holder := range sortedIDs(redirects) {
		h.emit(SendGrant{To: from, Grant: Grant{Result: Redirect, Buckets: redirects[holder], Holder: holder}})
	}
}

// answerAsNonOwner answers a claim for a bucket that this member does not own: with the copies of an owner that has failed
// or restarted, or with a redirect to the member that it granted the bucket to.
func (h *Handover) answerAsNonOwner(
	from membership.HostID, b Bucket, complete, incomplete *Grant, redirects map[membership.HostID][]Bucket,
) {
	if source := h.copies.Source(b); source != 0 && (source == from || !h.reachable[source]) {
		held, inSync := h.copies.Get(b)
		if inSync {
			complete.append(b, held, true)
		} else {
			incomplete.append(b, held, false)
		}
		return
	}
	holder := membership.HostID(0)
	if g, found := h.sentGrants[b]; found {
		holder = g.to
	}
	redirects[holder] = append(redirects[holder], b)
}

func (g *Grant) append(b Bucket, e Exceptions, inSync bool) {
	g.Buckets = append(g.Buckets, b)
	g.Exceptions.add(e)
	g.InSync = g.InSync && inSync
}

// sendGrant sends a grant in messages of bounded size; the last one lists the buckets.
func (h *Handover) sendGrant(to membership.HostID, g Grant) {
	if len(g.Buckets) == 0 {
		return
	}
	for len(g.Exceptions.Flows) > maxMessageFlows {
		part := Exceptions{Flows: g.Exceptions.Flows[:maxMessageFlows], Retired: g.Exceptions.Retired}
		h.emit(SendGrant{To: to, Grant: Grant{Result: Partial, Exceptions: part}})
		g.Exceptions.Flows = g.Exceptions.Flows[maxMessageFlows:]
	}
	h.emit(SendGrant{To: to, Grant: g})
}

// collectReleased requests the exceptions of the buckets that no traffic goroutine handles any more, and lets claims go
// out for the buckets being merged.
func (h *Handover) collectReleased(number uint64) {
	due := make(map[membership.HostID][]Bucket)
	for b := range h.buckets {
		k := &h.buckets[b]
		if k.collecting || k.publication == 0 || k.publication > number {
			continue
		}
		switch k.phase {
		case phaseMerging:
			k.collecting, k.nextSend = true, h.now // the claim can be sent now
		case phaseReleasing:
			k.collecting = true
			due[k.peer] = append(due[k.peer], Bucket(b))
		}
	}
	for _, to := range sortedIDs(due) {
		h.emit(Collect{To: to, Buckets: due[to]})
	}
}

// grantCollected grants the collected buckets to their claimer. The exceptions are retained for grantRetention: a grant
// that is lost with its connection is resent when the claim is repeated.
func (h *Handover) grantCollected(e *Collected) {
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
		h.sentGrants[b] = sentGrant{
			to: e.To, exceptions: held, inSync: k.inSync, expiresAt: h.now + grantRetention, release: g.Release,
		}
		*k = bucket{peer: e.To}
		if owner := h.currentMap.Owner(b); owner != h.self {
			k.peer = owner // the map has changed since; its owner gets the bucket from e.To
		}
		h.dirty = true
	}
	for _, g := range grants {
		h.sendGrant(e.To, g)
	}
	h.reclaim(e.Buckets)
}

// reclaim takes back granted buckets that the map has since assigned to this member: from the grantee if it can be
// reached, else as after the loss of an owner.
func (h *Handover) reclaim(buckets []Bucket) {
	var recovered Exceptions
	for _, b := range buckets {
		if h.currentMap.Owner(b) == h.self && h.buckets[b].phase == phaseNotOwner {
			if to := h.buckets[b].peer; h.reachable[to] {
				h.startAcquire(&h.buckets[b], to, 0, false)
			} else {
				h.takeOver(b, 0, &recovered)
			}
		}
	}
	h.install(recovered)
}

// handleGrant processes the answer to a claim, or an offer. Granted buckets are accepted even if the map has changed since,
// because no other member holds them; the owner in the map claims them from this member.
func (h *Handover) handleGrant(from membership.HostID, g *Grant) {
	if g.Result == Partial {
		if parts := h.partialGrants[from]; len(parts.Flows) < maxGrantFlows {
			parts.add(g.Exceptions)
			h.partialGrants[from] = parts
		}
		return
	}
	if g.Result == Granted || g.Result == BackupCopies {
		h.discardStale(g)
		all := h.partialGrants[from]
		delete(h.partialGrants, from)
		all.add(g.Exceptions)
		h.install(all)
	}
	for _, b := range g.Buckets {
		k := &h.buckets[b%BucketCount]
		switch g.Result {
		case Granted:
			h.acceptGranted(b, k, from, g)
		case BackupCopies:
			h.acceptCopies(b, k, from, g.InSync)
		case Redirect:
			h.handleRedirect(b, k, from, g.Holder)
		case Offer:
			h.handleOffer(b, k, from)
		case Acknowledged:
			if h.sentGrants[b].release == g.Release {
				delete(h.sentGrants, b)
			}
		}
	}
	if g.Result == Granted {
		h.emit(SendGrant{To: from, Grant: Grant{Result: Acknowledged, Release: g.Release, Buckets: g.Buckets}})
	}
}

// discardStale removes the flow table entries of granted buckets that this member owned before it was declared gone: they
// are out of date, since the sender of the grant has owned the buckets in between.
func (h *Handover) discardStale(g *Grant) {
	var stale []Bucket
	for _, b := range g.Buckets {
		if k := &h.buckets[b%BucketCount]; g.Result == Granted && k.phase == phaseAcquiring && k.evicted {
			stale = append(stale, b)
		}
	}
	if len(stale) > 0 {
		h.emit(Discard{Buckets: stale})
	}
}

func (h *Handover) acceptGranted(b Bucket, k *bucket, from membership.HostID, g *Grant) {
	id := grantKey{release: g.Release, bucket: b}
	if _, found := h.acceptedGrants[id]; found {
		// A repeated grant holds nothing newer. The member that this one passed the bucket on to must be asked.
		h.handleRedirect(b, k, from, 0)
		return
	}
	h.acceptedGrants[id] = h.now + 2*grantRetention
	delete(h.sentGrants, b)
	switch k.phase {
	case phaseReleasing:
		k.inSync = k.inSync || g.InSync
	case phaseOwner, phaseMerging:
		h.becomeOwner(k, k.inSync || g.InSync, k.takenOverAt)
	default:
		h.becomeOwner(k, g.InSync, 0)
	}
	if h.currentMap != nil && h.currentMap.Owner(b) != h.self && k.phase == phaseOwner {
		h.awaitClaim(k)
	}
}

func (h *Handover) handleRedirect(b Bucket, k *bucket, from, holder membership.HostID) {
	if k.phase == phaseMerging && k.peer == from {
		h.becomeOwner(k, k.inSync, k.takenOverAt)
		return
	}
	if k.phase != phaseAcquiring || k.peer != from {
		return
	}
	h.dirty = true
	k.redirects++
	if g, found := h.sentGrants[b]; found && g.to == from && (holder == 0 || holder == h.self) {
		// The grant from this member was lost, and the map assigns the bucket to this member again.
		delete(h.sentGrants, b)
		h.install(g.exceptions)
		h.becomeOwner(k, g.inSync, 0)
		return
	}
	switch {
	case holder == 0 && k.ownerLost:
		h.becomeOwner(k, false, h.now)
	case h.reachable[k.redirectedBy] && k.redirects < 2*maxRedirects && holder == 0:
		// The grant was lost on its way to a member that no longer claims the bucket; its sender has retained it.
		k.peer, k.denied, k.redirectedBy, k.nextSend = k.redirectedBy, from, 0, h.now
	case holder == 0, holder == h.self, k.redirects >= maxRedirects:
		h.askNextMember(b, k)
	case h.reachable[holder]:
		k.redirectedBy, k.denied = from, 0
		// The bucket may be in flight between two members that redirect to each other, so only the first two redirects are
		// followed at once.
		k.peer, k.ownerLost, k.retryDelay = holder, false, 0
		if k.redirects <= 2 {
			k.nextSend = h.now
		}
	default:
		// The sender does not know yet that the holder has failed. The claim is repeated.
	}
}

// acceptCopies processes the copies sent by a backup. Unless the owner is known to have failed, another member may still own
// the bucket, so the next member is asked.
func (h *Handover) acceptCopies(b Bucket, k *bucket, from membership.HostID, complete bool) {
	if k.phase != phaseAcquiring || k.peer != from {
		return
	}
	if k.ownerLost {
		h.becomeOwner(k, complete, h.now)
		return
	}
	if complete {
		k.copiesFound = copiesComplete
	} else if k.copiesFound == copiesNone {
		k.copiesFound = copiesIncomplete
	}
	h.askNextMember(b, k)
}

// askNextMember claims the bucket from the next member in its ranking. A member that joins together with others cannot
// know which of them owned the bucket; the owner under any recent map is high in the ranking. If no member holds the
// bucket, it is new or its owner has restarted, and this member becomes the owner.
func (h *Handover) askNextMember(b Bucket, k *bucket) {
	ranking := h.ranking(b)
	if k.membersAsked >= len(ranking) {
		takenOver := time.Duration(0)
		if k.copiesFound != copiesNone {
			takenOver = h.now
		}
		h.becomeOwner(k, k.copiesFound != copiesIncomplete, takenOver)
		return
	}
	k.peer, k.redirectedBy, k.denied, k.nextSend, k.retryDelay = ranking[k.membersAsked], 0, 0, h.now, 0
	k.membersAsked++
	h.dirty = true
}

// ranking returns the other reachable members in descending order of their score for the bucket.
func (h *Handover) ranking(b Bucket) []membership.HostID {
	ids := sortedIDs(h.reachable)
	ids = without(ids, h.self)
	slices.SortStableFunc(ids, func(x, y membership.HostID) int { return cmp.Compare(score(y, b), score(x, b)) })
	return ids
}

func (h *Handover) handleOffer(b Bucket, k *bucket, from membership.HostID) {
	if h.currentMap == nil || h.currentMap.Owner(b) != h.self {
		return
	}
	switch k.phase {
	case phaseOwner:
		h.startMerge(k, from)
	case phaseAcquiring:
		k.peer, k.ownerLost, k.nextSend = from, false, h.now
		h.dirty = true
	case phaseNotOwner:
		h.startAcquire(k, from, 0, false)
	}
}
