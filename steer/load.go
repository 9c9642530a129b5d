package steer

import (
	"math"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// answerTimeout is how long a target may take to answer before a retransmitted packet counts as evidence against it.
	// Callers and targets retransmit after 200 ms; the margin is for retransmissions that arrive early.
	answerTimeout = 150 * time.Millisecond
	// suspectThreshold is the number of flows that must go unanswered before a target is suspect: one datagram may be lost.
	suspectThreshold = 2
	// suspectFor is how long a suspect target gets no new flows before it is tried again.
	suspectFor = 1500 * time.Millisecond
	// lostSuspectFor replaces suspectFor when another balancer suspects the target too: the record of a target that
	// has ended lapses within 3 s.
	lostSuspectFor = 3 * time.Second
	// lostTimeout is how long a target that two balancers suspect must have sent no answer here before its flows are
	// reset. Few requests take longer.
	lostTimeout = time.Second
	// smallFleet is the number of balancers up to which the suspicions of two of them are enough to reset flows.
	smallFleet = 6
	// missRetention is how long unanswered data of open flows is evidence of silence, since a flow may move to another balancer and be
	// answered there, and how long unanswered opening packets outweigh answers on open flows.
	missRetention = 3 * time.Second
)

// load is the state of a target as this balancer has observed it.
type load struct {
	startedMS    int64
	pending      int            // flows and requests that wait for an answer
	open         int            // open flows
	lastAnswer   time.Duration  // time of the last answer, 0 for none
	lastOpened   time.Duration  // time of the last answer to an opening packet, 0 for none
	openMisses   int            // flows that were not opened since the last one was
	dataMisses   int            // open flows whose data went unanswered since the last answer
	lastOpenMiss time.Duration  // time at which an opening packet was last found unanswered
	lastDataMiss time.Duration  // time at which data of an open flow was last found unanswered
	suspectUntil time.Duration  // end of the current suspect period
	peers        directory.Load // reported by the other balancers
	answers      answers        // recent answers on flows of this balancer
	failingSince time.Duration  // when the target was last found to fail requests, 0 if it is not set aside
	peersMean    float64        // requests pending at other balancers, if their reports only give the sum over several targets
	times        answerTimes    // of the answers seen here
	waits        answerTimes    // of the requests that wait now, while loads are collected
	peerTimes    directory.AnswerTimes
	peerUpdates  int           // consecutive updates in which other hosts reported peerTimes, at most peerUpdates
	lastSlow     time.Duration // when the target was last slow, 0 for never
	slow         bool          // answers take markedly longer than usual
	extra        float64       // factor by which they do, less 1; 0 if the target is not slow
	silence      silence
}

// recordOpened records that the target has opened a flow later than since. Unless it has left data unanswered that was sent after since, this
// clears all evidence against it.
func (l *load) recordOpened(since time.Duration) {
	l.lastAnswer, l.lastOpened = max(l.lastAnswer, since), max(l.lastOpened, since)
	if since >= l.lastDataMiss {
		l.clearMisses()
	}
	l.silence.noteAnswer(since)
}

// recordAnswer records an answer of the target on an open flow. It shows that the target runs, but not that it opens flows: a target at
// its limit of flows goes on answering the open ones. Recent opening packets that went unanswered remain evidence, unless data of
// open flows went unanswered too: the target was silent and is back.
func (l *load) recordAnswer(now time.Duration) {
	l.lastAnswer = now
	l.silence.noteAnswer(now)
	if l.dataMisses > 0 || now-l.lastOpenMiss >= missRetention {
		l.clearMisses()
	}
}

// recordEarlierAnswer records an answer that arrived at the caller at an unknown time after its previous packet. The acknowledgement of the
// last bytes of an answer may come only with the next request or with the end of the flow, when the target has been silent for seconds.
func (l *load) recordEarlierAnswer(after time.Duration) {
	l.lastAnswer = max(l.lastAnswer, after)
	l.silence.noteAnswer(after)
}

func (l *load) clearMisses() { l.openMisses, l.dataMisses, l.suspectUntil = 0, 0, 0 }

// recordOpenMiss records that an opening packet went unanswered. It returns t when that makes the target suspect, else nil.
func (l *load) recordOpenMiss(t *Target, now time.Duration) *Target {
	l.openMisses++
	l.lastOpenMiss = now
	return l.recordMiss(t, l.lastOpened, now)
}

// recordDataMiss records that data of an open flow went unanswered. It returns t when that makes the target suspect, else nil.
func (l *load) recordDataMiss(t *Target, now time.Duration) *Target {
	l.dataMisses++
	l.lastDataMiss = now
	return l.recordMiss(t, l.lastAnswer, now)
}

// recordMiss updates the suspicion after a miss. answered is the time of the last answer to a packet of this kind.
func (l *load) recordMiss(t *Target, answered, now time.Duration) *Target {
	if l.openMisses+l.dataMisses < suspectThreshold || now < l.suspectUntil || now-answered < answerTimeout {
		return nil
	}
	l.suspectUntil = now + suspectFor
	if l.peers.Suspect {
		l.suspectUntil = now + lostSuspectFor
	}
	return t
}

// isSilent reports whether the target is suspect and also leaves data of open flows unanswered, which a running target answers even if
// it opens no more flows.
func (l *load) isSilent(now time.Duration) bool { return now < l.suspectUntil && l.missesData(now) }

// missesData reports whether data of an open flow recently went unanswered, and none has been answered since.
func (l *load) missesData(now time.Duration) bool {
	return l.dataMisses > 0 && now-l.lastDataMiss < missRetention
}

// isLost reports whether the target is taken to have ended: the evidence of all balancers shows that it is dark, or it answered before,
// but nobody within lostTimeout, and several flows, open ones among them, went unanswered both here and at another balancer. The latter
// serves small fleets. It holds only in the target's own data centre: elsewhere a partition between the data centres looks the same.
func (e *Engine) isLost(t *Target, now time.Duration) bool {
	l := t.load
	if l.silence.isResetting(now) {
		return true
	}
	if e.peers.Hosts > smallFleet || !t.local || e.IsCutOff(now) || l.lastAnswer == 0 {
		return false
	}
	return l.isSilent(now) && now-l.silence.missSent < directory.EvidenceValidity && l.peers.Suspect && l.peers.Silent &&
		now-l.newestAnswer() >= lostTimeout
}

// clearSuspicions drops the evidence against all targets. After a long time without packets the process may have been
// paused, and retransmissions that queued up meanwhile prove nothing.
func (e *Engine) clearSuspicions() {
	for _, l := range e.loads {
		l.lastAnswer, l.lastOpened = 0, 0
		l.clearMisses()
	}
}

// recentMiss reports whether a flow went unanswered within the last suspectFor. In a large fleet a balancer has few
// flows at each target; without this check each of them would be sent to an unresponsive target again. A lost datagram
// looks the same, so this is not reported to other balancers.
func (l *load) recentMiss(now time.Duration) bool {
	return l.openMisses+l.dataMisses > 0 && now-max(l.lastOpenMiss, l.lastDataMiss) < suspectFor
}

// isSuspect reports whether the target gets no new flows because it does not answer here or at another balancer.
func (l *load) isSuspect(now time.Duration) bool {
	return now < l.suspectUntil || now < max(l.silence.avoidUntil, l.silence.darkUntil) || l.peers.Suspect && now-l.lastAnswer >= answerTimeout
}

// Loads returns the observed loads of the targets that this balancer uses or suspects.
func (e *Engine) Loads(now time.Duration) []directory.Load {
	if e.view == nil {
		return nil
	}
	e.expireWaits(now)
	e.collectWaits(now)
	loads := make([]directory.Load, 0, len(e.view.tokens))
	for token, t := range e.view.tokens {
		l := directory.Load{
			Token: token, Pending: saturate(t.load.pending), Open: saturate(t.load.open), Suspect: now < t.load.suspectUntil,
			Silent: t.load.isSilent(now), Times: t.load.reportedTimes(now),
		}
		evidence := t.ownEvidence(now)
		evidence.addTo(&l)
		e.updateSlow(t, now)
		if l.Pending > 0 || l.Open > 0 || l.Suspect || l.Answers > 0 || l.Times.Answers > 0 {
			loads = append(loads, l)
		}
	}
	e.countSlow()
	e.updateRooms(now)
	return loads
}

func saturate(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// SetPeerLoads replaces the loads that other balancers have reported.
func (e *Engine) SetPeerLoads(loads directory.Loads) {
	for _, l := range e.loads {
		l.peers, l.peersMean = directory.Load{}, 0
	}
	if e.view == nil {
		return
	}
	for _, l := range loads.Targets {
		if t := e.view.Resolve(l.Token); t != nil {
			t.load.peers = l
		}
	}
	e.setPeerTimes(loads.Times)
	for _, rest := range loads.Rest {
		if p := e.view.pools[rest.Service]; p != nil {
			p.spreadRest(float64(rest.Pending))
		}
	}
}

// spreadRest distributes pending requests evenly over the targets that the reports of other balancers do not name. When most
// targets are busy, the reports name only some of them, and the others would look idle.
func (p *pool) spreadRest(pending float64) {
	var unnamed []*load
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, t := range targets {
			if t.load.peers.Pending == 0 {
				unnamed = append(unnamed, t.load)
			}
		}
	}
	for _, l := range unnamed {
		l.peersMean = pending / float64(len(unnamed))
	}
}

// releaseFlow removes a flow that has ended from the counts.
func (l *load) releaseFlow(f *flowState) {
	if f.waiting {
		l.pending = max(l.pending-1, 0)
	}
	if f.opened {
		l.open = max(l.open-1, 0)
	}
}

// observe tracks the progress of an open flow by its sequence numbers, and adds to the decision what the packet shows
// about the target.
func (e *Engine) observe(p *Packet, d *Decision, now time.Duration) {
	t, key := d.Target, p.Flow()
	f, found := e.flows[key]
	switch {
	case p.Reset || p.Finish:
		if found && f.token == p.Token { // otherwise the caller uses the port for another flow by now
			f.handleAck(p, t, now)
			if !p.Reset {
				e.recordAnswerSize(p, &f, t, now)
			}
			e.flows[key] = f
			e.removeFlow(key)
		}
		return
	case !found && p.Payload == 0:
		return // a bare acknowledgement of an unknown flow carries no information about its load
	case !found || f.token != p.Token:
		d.Adopted = true
		e.adopt(p, t, now)
		return
	case !f.opened:
		d.OpenLatency = now - f.waitStart
		f.opened, f.waiting, f.missCounted = true, false, false
		f.sentEnd, f.lastAck = p.Sequence, p.Acknowledgement
		t.load.pending = max(t.load.pending-1, 0)
		t.load.open++
		t.load.recordOpened(f.openedSince(p, now))
		t.demand.lastAnswer = now
	}
	f.handleAck(p, t, now)
	sent := f.lastPacket
	f.lastPacket = now
	wasWaiting, wasMissed := f.waiting, f.missCounted
	d.Suspected = f.handleData(p, t, now)
	if f.missCounted && p.Payload > 0 {
		if now-sent < answerTimeout { // another packet of the flow came between the copies
			sent = f.waitStart
		}
		e.noteMiss(t, f.waitStart, sent, !wasMissed)
	}
	if f.waiting && !wasWaiting {
		e.recordAnswerSize(p, &f, t, now)
		f.answerStart, f.hasRequest = f.lastAck, true
		e.addWait(key, now, now)
	}
	e.flows[key] = f
}

// openedSince returns a time after which the target answered the opening packet of the flow, when p ends the handshake. With data it may be
// a copy of a packet that was lost, and come long after the answer.
func (f *flowState) openedSince(p *Packet, now time.Duration) time.Duration {
	if p.Payload > 0 {
		return f.waitStart
	}
	return now
}

// adopt starts to track an open flow whose earlier packets went through another balancer.
func (e *Engine) adopt(p *Packet, t *Target, now time.Duration) {
	e.removeFlow(p.Flow())
	waiting := t.load.silence.isDark(now) // a copy of the data then shows that the target still does not answer
	if !e.addFlow(p.Flow(), flowState{
		token: p.Token, opened: true, waiting: waiting, sentEnd: p.endSequence(), lastAck: p.Acknowledgement, waitStart: now, lastPacket: now,
	}) {
		return
	}
	t.load.open++
	if waiting {
		e.addWait(p.Flow(), now, now)
		t.load.pending++
	}
}

// recordAnswerSize counts the answer to the last request of a flow, of which the caller has acknowledged the last byte.
func (e *Engine) recordAnswerSize(p *Packet, f *flowState, t *Target, now time.Duration) {
	if !f.hasRequest || f.lastAck == f.answerStart {
		return
	}
	sizes := e.answerSizes[p.Endpoint]
	if sizes == nil {
		sizes = &answerSizes{}
		e.answerSizes[p.Endpoint] = sizes
	}
	short, known := sizes.record(f.lastAck - f.answerStart)
	if !known {
		return
	}
	t.load.answers.record(short, now)
	t.load.answers.limitTo(maxOwnAnswers)
	t.demand.answers.record(short, now)
}

// handleAck processes the caller's acknowledgement. If it covers new data, the target has answered.
func (f *flowState) handleAck(p *Packet, t *Target, now time.Duration) {
	if !f.opened || !p.Acknowledges || int32(p.Acknowledgement-f.lastAck) <= 0 {
		return
	}
	f.lastAck = p.Acknowledgement
	if p.Payload > 0 || p.Finish {
		t.load.recordEarlierAnswer(f.lastPacket)
	} else {
		t.load.recordAnswer(now)
	}
	t.demand.lastAnswer = now
	if f.waiting {
		if f.queued == 0 {
			t.demand.recordServiceTime(now - f.waitStart)
		}
		f.recordAnswerTime(p.Endpoint, t, now)
		f.waiting, f.missCounted = false, false
		t.load.pending = max(t.load.pending-1, 0)
	}
}

// handleData processes data of the caller. New data starts the wait for an answer; retransmitted data after
// answerTimeout counts the flow as unanswered. It returns the target when that makes it suspect.
func (f *flowState) handleData(p *Packet, t *Target, now time.Duration) *Target {
	switch {
	case p.Payload == 0:
	case int32(p.endSequence()-f.sentEnd) > 0:
		f.sentEnd = p.endSequence()
		if !f.waiting {
			f.waiting, f.waitStart, f.queued = true, now, t.queued(now)
			t.load.pending++
		}
	case f.waiting && !f.missCounted && now-f.waitStart >= answerTimeout:
		f.missCounted = true
		return t.load.recordDataMiss(t, now)
	}
	return nil
}

// endSequence returns the sequence number after the last byte of the packet.
func (p *Packet) endSequence() uint32 { return p.Sequence + uint32(p.Payload) }
