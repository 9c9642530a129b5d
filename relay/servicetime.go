package relay

import (
	"cmp"
	"slices"

	"github.com/marigoldwood/marigoldwood/directory"
)

// addAnswerTimes adds the evidence of two sources.
func addAnswerTimes(a, b directory.AnswerTimes) directory.AnswerTimes {
	return directory.AnswerTimes{Answers: saturate(a.Answers, b.Answers), Excess: saturate(a.Excess, b.Excess)}
}

// dropUsualTimes drops the evidence about targets whose answers took about as long as usual, over all hosts. A host reports on a target
// if it saw slow answers itself, or if the relay names the target: so the sum soon holds the usual answers of the other hosts too.
func (s *loadSum) dropUsualTimes() {
	for token, l := range s.targets {
		if directory.IsUsual(l.Times.Values()) {
			l.Times = directory.AnswerTimes{}
			s.targets[token] = l
		}
	}
}

// compareTimes orders targets with evidence of slow answers before others.
func compareTimes(a, b directory.Load) int {
	switch x, y := a.Times.Answers > 0, b.Times.Answers > 0; {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// addTimes adds the evidence of a message.
func (s *loadSum) addTimes(times []directory.TargetTimes) {
	for _, t := range times {
		l := s.targets[t.Token]
		l.Token, l.Times = t.Token, addAnswerTimes(l.Times, t.Times)
		s.targets[t.Token] = l
	}
}

// takeTimes removes the evidence from the named targets and returns it for a message.
func takeTimes(named []directory.Load) []directory.TargetTimes {
	var out []directory.TargetTimes
	for i := range named {
		if l := &named[i]; l.Times.Answers > 0 {
			out = append(out, directory.TargetTimes{Token: l.Token, Times: l.Times})
			l.Times = directory.AnswerTimes{}
		}
	}
	slices.SortFunc(out, func(a, b directory.TargetTimes) int { return cmp.Compare(a.Token, b.Token) })
	return out
}
