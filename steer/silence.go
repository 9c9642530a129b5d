package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// maxMisses bounds the unanswered flows of a target that are tracked as evidence. More of them prove no more.
	maxMisses = 4
	// doubtAfter is how long a flow must wait with retransmitted data before other hosts are told, unless they already doubt the target. A
	// running target without a queue finishes a request within 0.37 s (230 ms, 1.6 times that while cold).
	doubtAfter = 370 * time.Millisecond
	// avoidAfter is how long a target must have been silent at two balancers before new flows go to others.
	avoidAfter = 350 * time.Millisecond
	// cutOffAfter is how long data must have been unanswered, while the target answered another balancer at least cutOffMargin after it was
	// sent, for the path from here to be in doubt, not the target. A request without a queue takes up to 0.37 s, and 0.2 s more if its
	// first packet was lost. The margin is for ages from other hosts, which are too small by the transit of their messages.
	cutOffAfter  = 620 * time.Millisecond
	cutOffMargin = 100 * time.Millisecond
	// cutOffFor is how long no evidence from here counts after that: the fault is probably near this balancer, and concerns other targets too.
	cutOffFor = 3 * time.Second
	// minCutOffs and hostsPerCutOff give the number of balancers that are cut off from which on no target is dark: 2, or one of 40. With
	// so many of them the witnesses against a target may all be on the wrong side of a partition.
	minCutOffs     = 2
	hostsPerCutOff = 40
	// darkFor is how long a target stays dark without any further unanswered flow, as a target that has ended leaves the store within 3 s.
	darkFor = 3 * time.Second
	// answerTolerance is by how much an answer must be newer than the one known when a target became dark to show that it is alive. Ages
	// from other hosts are too small by the transit of their messages.
	answerTolerance = 250 * time.Millisecond
	// darkProbeInterval is the mean time between two new flows that the fleet offers to a dark target, to find out whether it answers.
	darkProbeInterval = time.Second
)

// silence is the evidence on whether a target has fallen silent. Times of 0 stand for none.
type silence struct {
	misses     [maxMisses]time.Duration // when unanswered data of open flows was first sent, since the last answer here
	count      int                      // number of misses in use
	missSent   time.Duration            // when the newest copy of such data was sent, 0 for never
	peers      directory.Silence        // of the other balancers, at peersAt
	peersAt    time.Duration
	peerAnswer time.Duration // newest answer at other balancers
	avoidUntil time.Duration // until when new flows go to other targets
	darkUntil  time.Duration // until when the target is dark
	resetUntil time.Duration // until when flows of the dark target are reset, unless more data goes unanswered
	darkAnswer time.Duration // newest answer that was known when it became dark
	wasDark    bool          // the change to dark was reported as an event
	toldFlows  uint16        // flows in the evidence that other hosts were told at once
	toldAnswer time.Duration // newest answer here that other hosts were told at once
	probeSlot  int64         // last slot of time in which this balancer probed the dark target
}

// SilenceEvent reports that a target is taken to be dark, or no longer.
type SilenceEvent struct {
	Target   *Target
	Dark     bool
	Answered bool              // it is no longer dark because it answered
	Evidence directory.Silence // of all balancers including this one
}

// addMiss records that data of an open flow that was first sent at start went unanswered.
func (s *silence) addMiss(start time.Duration) {
	if s.count < maxMisses {
		s.misses[s.count] = start
		s.count++
	}
}

// hasMiss reports whether data that went unanswered here was sent recently.
func (s *silence) hasMiss(now time.Duration) bool {
	return s.count > 0 && now-s.misses[s.count-1] < missRetention
}

// noteAnswer drops the evidence that an answer at the given time refutes. The target is no longer dark if it is newer than the one known then,
// and new flows no longer avoid it if it is newer than all unanswered data.
func (s *silence) noteAnswer(at time.Duration) {
	kept := 0
	for _, start := range s.misses[:s.count] {
		if start > at {
			s.misses[kept] = start
			kept++
		}
	}
	s.count = kept
	if s.isEndedBy(at) {
		s.setAlive()
	}
	if at > s.missSent {
		s.avoidUntil = 0
	}
}

// isEndedBy reports whether an answer at the given time is newer than the one that was known when the target became dark.
func (s *silence) isEndedBy(answer time.Duration) bool { return answer > s.darkAnswer+answerTolerance }

// setAlive ends the darkness of the target.
func (s *silence) setAlive() { s.darkUntil, s.resetUntil = 0, 0 }

// isDark reports whether the target is taken to be dark.
func (s *silence) isDark(now time.Duration) bool { return now < s.darkUntil }

// isResetting reports whether flows of the dark target are reset.
func (s *silence) isResetting(now time.Duration) bool { return now < min(s.darkUntil, s.resetUntil) }

// newestAnswer returns the time of the newest answer of the target anywhere.
func (l *load) newestAnswer() time.Duration { return max(l.lastAnswer, l.silence.peerAnswer) }

// ownSilence returns the evidence of this balancer. Data that was sent before the newest answer of the target anywhere does not count:
// the target was running then.
func (e *Engine) ownSilence(t *Target, now time.Duration) directory.Silence {
	l := t.load
	s, answer := &l.silence, l.newestAnswer()
	own := directory.Silence{Token: t.Token, AnswerAge: directory.NoAnswer}
	if l.lastAnswer > 0 {
		own.AnswerAge = directory.SilenceAge(now - l.lastAnswer)
	}
	if l.openMisses > 0 && now-l.lastOpenMiss < missRetention {
		own.Unopened = saturate(l.openMisses)
	}
	if now < e.cutOffUntil {
		return own
	}
	for _, start := range s.misses[:s.count] {
		if start > answer && now-start < missRetention {
			own.Flows++
			own.WaitAge = max(own.WaitAge, directory.SilenceAge(now-start))
		}
	}
	if own.Flows > 0 {
		own.Hosts, own.SentAge = 1, directory.SilenceAge(now-s.missSent)
		if t.local {
			own.Near = 1
		}
	}
	return own
}

// evidence returns the evidence of all balancers.
func (e *Engine) evidence(t *Target, now time.Duration) directory.Silence {
	s, own := &t.load.silence, e.ownSilence(t, now)
	if s.peersAt == 0 {
		return own
	}
	return own.Add(s.peers.Aged(now - s.peersAt))
}

// noteMiss records unanswered data of a flow at a target, of which the last copy was sent at sent. first reports that no copy was recorded
// before.
func (e *Engine) noteMiss(t *Target, start, sent time.Duration, first bool) {
	s := &t.load.silence
	s.missSent = max(s.missSent, sent)
	if first {
		s.addMiss(start)
	}
	e.doubted[t.Token] = true
}

// Peers is the evidence of the other balancers.
type Peers struct {
	Silence     []directory.Silence
	CutOffs     int // balancers that are cut off from some targets
	DataCentres int // data centres that must have been polled before the evidence is acted on
	Hosts       int // balancers of the fleet
}

// SetPeerSilence replaces the evidence of the other balancers at the time now.
func (e *Engine) SetPeerSilence(peers Peers, now time.Duration) {
	e.peers = peers
	if e.view == nil {
		return
	}
	for token := range e.doubted {
		if t := e.view.Resolve(token); t != nil {
			t.load.silence.peersAt = 0
		}
	}
	for _, p := range peers.Silence {
		t := e.view.Resolve(p.Token)
		if t == nil {
			continue
		}
		s := &t.load.silence
		s.peers, s.peersAt = p, now
		s.peerAnswer = max(s.peerAnswer, p.AnswerTime(now))
		e.doubted[p.Token] = true
	}
}

// Silence returns the evidence of this balancer on all targets that some balancer doubts.
func (e *Engine) Silence(now time.Duration) []directory.Silence {
	if e.view == nil {
		return nil
	}
	var list []directory.Silence
	for token := range e.doubted {
		if t := e.view.Resolve(token); t != nil {
			if own := e.ownSilence(t, now); own.Flows > 0 || own.Unopened > 0 || own.AnswerAge != directory.NoAnswer {
				list = append(list, own)
			}
		}
	}
	return list
}

// IsCutOff reports whether the evidence of this balancer is void, because targets that leave its data unanswered answer others.
func (e *Engine) IsCutOff(now time.Duration) bool { return now < e.cutOffUntil }

// isPartitioned reports whether so many balancers are cut off from targets that no target is taken to be dark.
func (e *Engine) isPartitioned(now time.Duration) bool {
	n := e.peers.CutOffs
	if e.IsCutOff(now) {
		n++
	}
	return n >= max(minCutOffs, e.peers.Hosts/hostsPerCutOff)
}

// Doubting reports whether any balancer has evidence of silence of a target, or this one is cut off, so that ReviewSilence must be called.
func (e *Engine) Doubting() bool { return len(e.doubted) > 0 || e.cutOffUntil > 0 }

// DarkTargets returns the targets that are taken to be dark.
func (e *Engine) DarkTargets(now time.Duration) map[directory.Token]bool {
	dark := map[directory.Token]bool{}
	for token := range e.doubted {
		if t := e.view.Resolve(token); t != nil && t.load.silence.isDark(now) {
			dark[token] = true
		}
	}
	return dark
}

// ReviewSilence updates which targets are dark. It returns the changes, and whether other hosts should know the evidence of this
// balancer at once. It must be called after SetPeerSilence and after packets.
func (e *Engine) ReviewSilence(now time.Duration) (events []SilenceEvent, tell bool) {
	if e.view == nil {
		return nil, false
	}
	wasCutOff := e.IsCutOff(now)
	if !wasCutOff {
		e.cutOffUntil = 0
	}
	e.reviewCutOff(now)
	tell = e.IsCutOff(now) && !wasCutOff
	for token := range e.doubted {
		t := e.view.Resolve(token)
		if t == nil {
			delete(e.doubted, token)
			continue
		}
		s, ev := &t.load.silence, e.reviewTarget(t, now)
		dark, wasDark := s.isDark(now), s.wasDark
		if dark != wasDark {
			s.wasDark = dark
			answered := !dark && s.isEndedBy(t.load.newestAnswer())
			events = append(events, SilenceEvent{Target: t, Dark: dark, Evidence: ev, Answered: answered})
		}
		tell = t.isTelling(e.ownSilence(t, now), wasDark, now) || tell
		if s.peersAt == 0 && !s.wasDark && ev.Flows == 0 && ev.Unopened == 0 && s.toldFlows == 0 && !s.hasMiss(now) {
			delete(e.doubted, token)
		}
	}
	return events, tell
}

// reviewTarget decides whether the target is dark, and returns the evidence of all balancers.
func (e *Engine) reviewTarget(t *Target, now time.Duration) directory.Silence {
	ev := e.evidence(t, now)
	t.reviewDark(ev, e.peers.DataCentres, now)
	if e.isPartitioned(now) {
		t.load.silence.setAlive()
	}
	return ev
}

// reviewCutOff finds out whether data from here has been unanswered for long although its target, which has no queue, answered another
// balancer after it was sent. A dark target that answers others was silent and is back, which says nothing about the path from here.
func (e *Engine) reviewCutOff(now time.Duration) {
	for token := range e.doubted {
		t := e.view.Resolve(token)
		if t == nil || t.load.silence.isDark(now) {
			continue
		}
		s := &t.load.silence
		for _, start := range s.misses[:s.count] {
			waited := now - start
			if waited >= cutOffAfter && waited < missRetention && s.peerAnswer-start >= cutOffMargin && t.pending() <= float64(t.Capacity) {
				e.cutOffUntil = now + cutOffFor
			}
		}
	}
}

// reviewDark decides by the evidence whether the target is dark, and whether new flows avoid it. Flows of a dark target are reset only while data
// that was sent to it within directory.EvidenceValidity is unanswered. Packets that come later are forwarded and show whether it answers
// again, so that no balancer goes on to reset its flows for want of an answer that it knows.
func (t *Target) reviewDark(ev directory.Silence, dataCentres int, now time.Duration) {
	s, answer := &t.load.silence, t.load.newestAnswer()
	valid := ev.RemainingValidity()
	if ev.Hosts >= 2 && ev.SilentFor() >= avoidAfter && valid > 0 {
		s.avoidUntil = now + avoidAfter
	}
	switch {
	case s.isDark(now) && s.isEndedBy(answer):
		s.noteAnswer(answer)
		t.load.clearMisses()
	case !s.isDark(now) && ev.Confirmed(dataCentres):
		s.darkUntil, s.resetUntil, s.darkAnswer = now+darkFor, now+valid, answer
	case s.isDark(now) && valid > 0 && isDoubtful(ev):
		s.darkUntil, s.resetUntil = now+darkFor, max(s.resetUntil, now+valid)
	case s.isDark(now) && ev.Unopened > 0:
		s.darkUntil = max(s.darkUntil, now+darkFor/2)
	}
}

// isDoubtful reports whether the evidence is more than that of one lost datagram.
func isDoubtful(ev directory.Silence) bool {
	return ev.Flows >= suspectThreshold || time.Duration(ev.WaitAge)*time.Millisecond >= doubtAfter
}

// isTelling reports whether other hosts should know the evidence of this balancer at once: a flow has waited for long, or longer
// than the answer takes of a target that others doubt; or the target that others doubt or that was dark has answered here.
func (t *Target) isTelling(own directory.Silence, wasDark bool, now time.Duration) bool {
	s := &t.load.silence
	doubted := s.peersAt > 0 && s.peers.Flows > 0 || s.toldFlows > 0 || wasDark
	waited := isDoubtful(own)
	answered := t.load.lastAnswer > s.peerAnswer+answerTolerance && t.load.lastAnswer > s.toldAnswer+answerTolerance
	switch {
	case own.Flows > s.toldFlows && (waited || doubted), own.Flows < s.toldFlows:
	case doubted && answered:
		s.toldAnswer = t.load.lastAnswer
	default:
		return false
	}
	s.toldFlows = own.Flows
	return true
}

// probeTarget returns a dark target of the service that gets a new flow to find out whether it answers, or nil. On average one balancer
// of the fleet offers it a flow in each darkProbeInterval. The copy of an opening packet goes to another target.
func (e *Engine) probeTarget(r *directory.Route, key FlowKey, now time.Duration) *Target {
	if len(e.doubted) == 0 {
		return nil
	}
	slot, service := int64(now/darkProbeInterval), chooseService(r, key.hash())
	for token := range e.doubted {
		t := e.view.Resolve(token)
		if t == nil || t.Service != service || t.Presence != directory.Ready || t.evacuated || !t.load.silence.isDark(now) {
			continue
		}
		if t.isLimited(now) && !t.permits.available(now) {
			continue
		}
		if s := &t.load.silence; s.probeSlot != slot {
			s.probeSlot = slot
			if uniform(key.hash(), t.seed+uint64(slot))*float64(e.peers.Hosts) < 1 {
				return t
			}
		}
	}
	return nil
}
