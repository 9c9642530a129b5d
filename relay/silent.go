package relay

import (
	"maps"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// silentRetention is how long after the last decisive evidence against a target its answers are told to all hosts. Some hosts may take it for
// dark for that long.
const silentRetention = 4 * time.Second

// silentTarget is a target that the evidence of all hosts has shown to be silent.
type silentTarget struct {
	at       time.Duration // when it last did
	answerAt time.Duration // newest answer known then, 0 for none
}

// silentTargets holds the targets that were shown to be silent within silentRetention.
type silentTargets map[directory.Token]silentTarget

// note records which targets the evidence shows to be silent, and forgets those for which it has not for silentRetention.
func (s silentTargets) note(sum *silenceSum, now time.Duration) {
	maps.DeleteFunc(s, func(_ directory.Token, t silentTarget) bool { return now-t.at > silentRetention })
	for token, e := range sum.targets {
		if e.Decisive() {
			s[token] = silentTarget{at: now, answerAt: e.AnswerTime(now)}
		}
	}
}

// isRecent reports whether hosts may still take the target for silent.
func (s silentTargets) isRecent(token directory.Token, now time.Duration) bool {
	t, found := s[token]
	return found && now-t.at <= silentRetention
}

// hasAnswered reports whether the target was silent and has answered by the given time of its newest known answer.
func (s silentTargets) hasAnswered(token directory.Token, answerAt time.Duration) bool {
	t, found := s[token]
	return found && answerAt > t.answerAt+newAnswer
}
