package directory

import (
	"math"
	"time"
)

// Silence is the evidence of one or several balancers on whether a target responds. Times are ages, because the clocks of hosts differ.
type Silence struct {
	Token     Token
	Flows     uint16 // open flows with data that was retransmitted, and that the target has not answered
	Unopened  uint16 // flows that the target has not opened
	Hosts     uint16 // balancers that count Flows
	Near      uint16 // those of them in the data centre of the target
	WaitAge   uint16 // ms since the oldest unanswered data was sent, 0 without Flows
	SentAge   uint16 // ms since the newest copy of unanswered data was sent, 0 without Flows
	AnswerAge uint16 // ms since the newest answer, NoAnswer if none is known
	// Polls is the number of data centres whose relay has asked all hosts for their evidence on this target, PollAge how long ago
	// the earliest of these polls was, ms. Answers until then are included in AnswerAge.
	Polls, PollAge uint16
}

// NoAnswer is the AnswerAge of a target of which no answer is known.
const NoAnswer = math.MaxUint16

// Add returns the evidence of both together, which must be of the same age.
func (s Silence) Add(other Silence) Silence {
	return Silence{
		Token: s.Token, Flows: addSaturated(s.Flows, other.Flows), Unopened: addSaturated(s.Unopened, other.Unopened),
		Hosts: addSaturated(s.Hosts, other.Hosts), Near: addSaturated(s.Near, other.Near),
		WaitAge: max(s.WaitAge, other.WaitAge), SentAge: newestSent(s, other), AnswerAge: min(s.AnswerAge, other.AnswerAge),
		Polls: addSaturated(s.Polls, other.Polls), PollAge: max(s.PollAge, other.PollAge),
	}
}

// newestSent returns the SentAge of both together. Evidence without flows has none.
func newestSent(a, b Silence) uint16 {
	switch {
	case a.Flows == 0:
		return b.SentAge
	case b.Flows == 0:
		return a.SentAge
	}
	return min(a.SentAge, b.SentAge)
}

// Aged returns the evidence d later.
func (s Silence) Aged(d time.Duration) Silence {
	if s.AnswerAge != NoAnswer {
		s.AnswerAge = SilenceAge(time.Duration(s.AnswerAge)*time.Millisecond + d)
	}
	if s.Flows > 0 {
		s.WaitAge = SilenceAge(time.Duration(s.WaitAge)*time.Millisecond + d)
		s.SentAge = SilenceAge(time.Duration(s.SentAge)*time.Millisecond + d)
	}
	if s.Polls > 0 {
		s.PollAge = SilenceAge(time.Duration(s.PollAge)*time.Millisecond + d)
	}
	return s
}

// SilentFor returns the time for which the target has left data unanswered without any other answer.
func (s Silence) SilentFor() time.Duration {
	return time.Duration(min(s.WaitAge, s.AnswerAge)) * time.Millisecond
}

// RemainingValidity returns for how much longer the evidence justifies resets: a target that has been sent nothing since may answer again.
func (s Silence) RemainingValidity() time.Duration {
	if s.Flows == 0 {
		return 0
	}
	return max(EvidenceValidity-time.Duration(s.SentAge)*time.Millisecond, 0)
}

const (
	// EvidenceValidity is how long a packet that went unanswered shows, from the time at which it was sent, that its target is silent.
	EvidenceValidity = time.Second
	// silentAfter is how long a target must leave data unanswered, and send no other answer to any balancer. A running target finishes a
	// request in each busy slot within 0.37 s (230 ms, 1.6 times that while cold); an answer that is lost once comes 0.2 s later.
	silentAfter = 800 * time.Millisecond
	// silentHosts is the number of balancers that must each have a flow with unanswered data: a few may have faulty links. In a small fleet
	// two are enough, with fewSilentFlows flows after fewSilentAfter.
	silentHosts    = 3
	fewSilentHosts = 2
	fewSilentFlows = 4
	fewSilentAfter = time.Second
	// ageTolerance bounds the error of ages from other hosts, which do not include the transit of messages.
	ageTolerance = 50 * time.Millisecond
)

// Decisive reports whether the evidence, apart from polls, shows that the target has fallen silent: flows at several balancers, one of
// them in the data centre of the target, got no answer, and nobody got one since the first of them sent its data. A target that is not
// known to have answered anyone is not judged.
func (s Silence) Decisive() bool {
	after, enough := s.requires()
	return enough && s.Near > 0 && s.AnswerAge != NoAnswer && s.SilentFor() >= after &&
		int(s.WaitAge) <= int(s.AnswerAge)+int(ageTolerance.Milliseconds())
}

// requires returns how long a target must have been silent for this number of balancers and flows, and false if they are too few.
func (s Silence) requires() (after time.Duration, enough bool) {
	if s.Hosts >= silentHosts {
		return silentAfter, true
	}
	return fewSilentAfter, s.Hosts >= fewSilentHosts && s.Flows >= fewSilentFlows
}

// NeedsPoll reports whether the evidence is decisive, but the hosts were not polled late enough to confirm it. The tolerance makes the
// poll late enough for hosts that compute slightly smaller ages. polled is how long ago the last poll was.
func (s Silence) NeedsPoll(polled time.Duration) bool {
	after, _ := s.requires()
	return s.Decisive() && s.SilentFor() >= after+ageTolerance && s.SilentFor()-polled < after+ageTolerance/2
}

// Confirmed reports whether the evidence is decisive, and already was when each data centre polled its hosts.
func (s Silence) Confirmed(dataCentres int) bool {
	after, _ := s.requires()
	return s.Decisive() && int(s.Polls) >= dataCentres && s.SilentFor()-time.Duration(s.PollAge)*time.Millisecond >= after
}

// AnswerTime returns the time of the newest answer, or 0 if none is known or it is older than an age can express: the time that would
// follow from the largest age moves on with now, as if the target answered.
func (s Silence) AnswerTime(now time.Duration) time.Duration {
	if s.AnswerAge >= NoAnswer-1 {
		return 0
	}
	return now - time.Duration(s.AnswerAge)*time.Millisecond
}

// SilenceAge returns an age in the unit of Silence. Ages above the largest one that can be expressed are reduced to it.
func SilenceAge(age time.Duration) uint16 {
	return uint16(min(max(age.Milliseconds(), 0), NoAnswer-1))
}

func addSaturated(a, b uint16) uint16 { return uint16(min(uint32(a)+uint32(b), math.MaxUint16)) }
