package ownership

import (
	"slices"

	"github.com/marigoldwood/marigoldwood/membership"
)

// setMap compares the new map with the old one and starts what follows for each bucket.
func (h *Handover) setMap(m *Map, reachable []membership.HostID) {
	previous := h.current
	if previous == nil {
		// A new member takes the ranking without itself for the one before it joined.
		previous = Build(without(m.Members(), h.self))
	}
	h.current = m
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
	owner := h.current.Owner(b)
	if k.phase == phaseMerging && (owner != h.self || !h.reachable[k.peer]) {
		h.own(k, k.inSync, k.takenOverAt)
	}
	switch {
	case k.phase == phaseMerging:
	case k.phase == phaseReleasing:
		// The grant is finished first; a claim of the owner that the new map names follows.
	case k.phase == phaseOwner && owner == h.self:
		k.since = 0
	case k.phase == phaseOwner:
		h.awaitClaim(k)
	case k.phase == phaseAcquiring && owner == h.self:
		k.asked, k.redirects, k.abandoned = 0, 0, false
		if !h.reachable[k.peer] {
			h.lose(b, k.alternative, takenOver)
		}
	case owner == h.self:
		h.gain(b, previous, takenOver)
	case k.phase == phaseAcquiring && (!k.lost || k.abandoned):
		if !k.abandoned {
			k.abandoned, k.since = true, h.now
		}
		k.alternative = owner
	default:
		*k = bucket{peer: owner}
	}
}

// awaitClaim keeps a bucket that the map gives to another member until that member claims it. An owner that does not
// know of this one, as after a partition, claims nothing; it is then offered the bucket.
func (h *Handover) awaitClaim(k *bucket) {
	if k.since == 0 {
		k.since, k.next, k.wait = h.now, h.now+offerDelay, offerDelay
	}
}

// gain starts to acquire a bucket that the map newly gives to this member.
func (h *Handover) gain(b Bucket, previous *Map, takenOver *Exceptions) {
	from, alternative := previous.Owner(b), previous.Backup(b)
	if from == h.self {
		without := Build(without(h.current.Members(), h.self))
		from, alternative = without.Owner(b), without.Backup(b)
	}
	switch {
	case from == 0:
		h.own(&h.buckets[b], true, 0)
	case h.reachable[from]:
		h.acquire(&h.buckets[b], from, alternative, false)
	default:
		h.lose(b, alternative, takenOver)
	}
}

// lose follows the loss of a bucket's owner: this member uses its own copies, or asks the backup for them.
func (h *Handover) lose(b Bucket, backup membership.HostID, takenOver *Exceptions) {
	k := &h.buckets[b]
	copies, complete := h.copies.Get(b)
	if g, found := h.granted[b]; found && !h.reachable[g.to] {
		delete(h.granted, b)
		// The copies of the member that got the grant are newer than what it was granted, once they are complete.
		if !complete || h.copies.Source(b) != g.to {
			takenOver.add(g.exceptions)
			takenOver.add(copies)
			h.own(k, g.inSync, h.now)
			return
		}
	}
	takenOver.add(copies)
	if !complete && backup != h.self && h.reachable[backup] {
		h.acquire(k, backup, 0, true)
		return
	}
	h.own(k, complete, h.now)
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

// lapse gives up what this member owned before it was paused or cut off. It asks the member that took each bucket over,
// and keeps its own entries only if nobody did.
func (h *Handover) lapse() {
	if h.current == nil {
		return
	}
	others := Build(without(h.current.Members(), h.self))
	for b := range h.buckets {
		k := &h.buckets[b]
		from := others.Owner(Bucket(b))
		if from == 0 || k.phase == phaseOther || k.phase == phaseAcquiring {
			continue
		}
		if owner := h.current.Owner(Bucket(b)); owner != h.self {
			*k = bucket{peer: owner}
		} else {
			h.acquire(k, from, others.Backup(Bucket(b)), false)
			k.lapsed = true
		}
		h.dirty = true
	}
}
