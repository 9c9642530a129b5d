package relay

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// earlyGap is the least time between two early reports to the same hosts, and earlyGapPerHost the same for each host of the data
	// centre, which bounds the work of a relay. Evidence on several targets is sent together.
	earlyGap        = 50 * time.Millisecond
	earlyGapPerHost = 2 * time.Millisecond
	// earlyBurst bounds the early reports to the same hosts in a row; later ones wait for Interval each. It covers a second in which
	// many targets fall silent, while queues that last for long at most double the messages of a relay.
	earlyBurst = 12
	// newsFlows bounds the unanswered flows of a target up to which each further one is news.
	newsFlows = 4
	// newAnswer is by how much the newest answer of a doubted target must be newer than the one that was told to be news.
	newAnswer = 250 * time.Millisecond
)

// toldSilence is what was told of a target in the last early report.
type toldSilence struct {
	flows     uint16
	answerAt  time.Duration
	pollAt    time.Duration // 0 without a poll
	confirmed bool
}

// earlyLimit limits the rate of early reports.
type earlyLimit struct {
	last   time.Duration // time of the last early report, 0 for none
	unused float64       // reports that may be sent in a row
}

// hasNews reports whether evidence differs so much from what was told that hosts should know it at once: unanswered flows of a target,
// an answer of a target that somebody doubts, the first answer of one that was silent, or the result of a poll.
func hasNews(sum *silenceSum, told map[directory.Token]toldSilence, silent silentTargets, dataCentres int, now time.Duration) bool {
	for token, s := range sum.targets {
		old, n := told[token], newTold(s, dataCentres, now)
		switch {
		case silent.hasAnswered(token, n.answerAt) && !silent.hasAnswered(token, old.answerAt):
			return true
		case n.flows > old.flows, s.Flows > 0 && n.answerAt > old.answerAt+newAnswer, n.confirmed && !old.confirmed:
			return true
		}
	}
	return false
}

// hasNewPoll reports whether a poll of the hosts of this data centre has ended that other relays do not know.
func hasNewPoll(sum *silenceSum, told map[directory.Token]toldSilence, now time.Duration) bool {
	for token, s := range sum.targets {
		if n := newTold(s, 1, now); n.pollAt > told[token].pollAt+earlyGap {
			return true
		}
	}
	return false
}

// forget reduces what was told to evidence that still exists, so that the same evidence is news when it arises again.
func forget(told map[directory.Token]toldSilence, sum *silenceSum) {
	for token, t := range told {
		s := sum.targets[token]
		t.flows, t.confirmed = min(t.flows, s.Flows), t.confirmed && s.Decisive()
		told[token] = t
	}
}

func newToldSilence(sum *silenceSum, dataCentres int, now time.Duration) map[directory.Token]toldSilence {
	out := make(map[directory.Token]toldSilence, len(sum.targets))
	for token, s := range sum.targets {
		out[token] = newTold(s, dataCentres, now)
	}
	return out
}

func newTold(s directory.Silence, dataCentres int, now time.Duration) toldSilence {
	t := toldSilence{flows: min(s.Flows, newsFlows), confirmed: s.Confirmed(dataCentres), answerAt: s.AnswerTime(now)}
	if s.Polls > 0 {
		t.pollAt = now - time.Duration(s.PollAge)*time.Millisecond
	}
	return t
}

// allowEarly reports whether an early report may be sent now. Each Interval allows one more, up to earlyBurst in a row.
func (f *Fleet) allowEarly(l *earlyLimit, now time.Duration) bool {
	interval, gap := f.Interval(), max(earlyGap, time.Duration(f.HostCount())*earlyGapPerHost)
	if l.last > 0 && now-l.last < gap {
		return false
	}
	if l.last == 0 {
		l.unused = earlyBurst
	}
	unused := min(l.unused+float64(now-l.last)/float64(interval), earlyBurst)
	if unused < 1 {
		return false
	}
	l.last, l.unused = now, unused-1
	return true
}
