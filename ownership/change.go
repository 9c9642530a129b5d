package ownership

import (
	"slices"

	"github.com/marigoldwood/marigoldwood/membership"
)

// setMap replaces the map and applies the changes from the previous one to each bucket.
func (h *Handover) setMap(m *Map, reachable []membership.HostID) {
	previous := h.currentMap
	if previous == nil {
		// A member that has just joined has no previous map: it assumes the ranking of the others without itself.
		previous = Build(without(m.Members(), h.self))
	}
	h.currentMap = m
	h.reachable = make(map[membership.HostID]bool, len(reachable))
	for _, id := range reachable {
		h.reachable[id] = true
	}
	var takenOver Exceptions
	for b := range h.buckets {
		h.changeBucket(Bucket(b), previous, &takenOver)
	}
	h.install(takenOver)
	h.dirty = true
}

func without(ids []membership.HostID, id membership.HostID) []membership.HostID {
	return slices.DeleteFunc(slices.Clone(ids), func(other membership.HostID) bool { return other == id })
}

func (h *Handover) changeBucket(b Bucket, previous *Map, takenOver *Exceptions) {
	k := &h.buckets[b]
	owner := h.currentMap.Owner(b)
	if k.phase == phaseMerging && (owner != h.self || !h.reachable[k.peer]) {
		h.becomeOwner(k, k.inSync, k.takenOverAt)
	}
	switch {
	case k.phase == phaseMerging:
	case k.phase == phaseReleasing:
		// The release in progress is completed first; the owner in the new map then claims the bucket.
	case k.phase == phaseOwner && owner == h.self:
		k.waitingSince = 0
	case k.phase == phaseOwner:
		h.awaitClaim(k)
	case k.phase == phaseAcquiring && owner == h.self:
		k.membersAsked, k.redirects, k.abandoned = 0, 0, false
		if !h.reachable[k.peer] {
			h.takeOver(b, k.fallback, takenOver)
		}
	case owner == h.self:
		h.acquireAssigned(b, previous, takenOver)
	case k.phase == phaseAcquiring && (!k.ownerLost || k.abandoned):
		if !k.abandoned {
			k.abandoned, k.waitingSince = true, h.now
		}
		k.fallback = owner
	default:
		*k = bucket{peer: owner}
	}
}

// awaitClaim keeps a bucket that the map assigns to another member until that member claims it. A member that does not
// know this one, for example after a partition, claims nothing; it is offered the bucket after offerDelay.
func (h *Handover) awaitClaim(k *bucket) {
	if k.waitingSince == 0 {
		k.waitingSince, k.nextSend, k.retryDelay = h.now, h.now+offerDelay, offerDelay
	}
}

// acquireAssigned starts to acquire a bucket that the map newly assigns to this member.
func (h *Handover) acquireAssigned(b Bucket, previous *Map, takenOver *Exceptions) {
	from, backup := previous.Owner(b), previous.Backup(b)
	if from == h.self {
		others := Build(without(h.currentMap.Members(), h.self))
		from, backup = others.Owner(b), others.Backup(b)
	}
	switch {
	case from == 0:
		h.becomeOwner(&h.buckets[b], true, 0)
	case h.reachable[from]:
		h.startAcquire(&h.buckets[b], from, backup, false)
	default:
		h.takeOver(b, backup, takenOver)
	}
}

// takeOver takes over a bucket whose owner has failed, with the copies held here or else those of the backup. Exceptions
// to install are added to takenOver.
func (h *Handover) takeOver(b Bucket, backup membership.HostID, takenOver *Exceptions) {
	k := &h.buckets[b]
	copies, complete := h.copies.Get(b)
	if g, found := h.sentGrants[b]; found && !h.reachable[g.to] {
		delete(h.sentGrants, b)
		// Complete copies received from the grantee are newer than the exceptions that it was granted.
		if !complete || h.copies.Source(b) != g.to {
			takenOver.add(g.exceptions)
			takenOver.add(copies)
			h.becomeOwner(k, g.inSync, h.now)
			return
		}
	}
	takenOver.add(copies)
	if !complete && backup != h.self && h.reachable[backup] {
		h.startAcquire(k, backup, 0, true)
		return
	}
	h.becomeOwner(k, complete, h.now)
}

func (e *Exceptions) add(other Exceptions) {
	e.Flows = append(e.Flows, other.Flows...)
	for _, r := range other.Retired {
		if !slices.Contains(e.Retired, r) {
			e.Retired = append(e.Retired, r)
		}
	}
}

func (h *Handover) install(e Exceptions) {
	if len(e.Flows) > 0 {
		h.emit(Install{Exceptions: e})
	}
}

// handleEviction gives up the buckets that this member owned before it was paused or cut off. It claims each bucket from
// the member that took it over, and keeps its own entries only if none did.
func (h *Handover) handleEviction() {
	if h.currentMap == nil {
		return
	}
	others := Build(without(h.currentMap.Members(), h.self))
	for b := range h.buckets {
		k := &h.buckets[b]
		from := others.Owner(Bucket(b))
		if from == 0 || k.phase == phaseNotOwner || k.phase == phaseAcquiring {
			continue
		}
		if owner := h.currentMap.Owner(Bucket(b)); owner != h.self {
			*k = bucket{peer: owner}
		} else {
			h.startAcquire(k, from, others.Backup(Bucket(b)), false)
			k.evicted = true
		}
		h.dirty = true
	}
}
