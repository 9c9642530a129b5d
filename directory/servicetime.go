package directory

import "math"

// timesUnit is the unit of the numbers in AnswerTimes. Small numbers take one byte in messages.
const timesUnit = 1.0 / 4

// AnswerTimes is the evidence of answers about the service time of a target, weighted by age.
type AnswerTimes struct {
	Answers uint16 // number of answers, in quarters
	Excess  uint16 // sum of the logarithms to base 2 of their times relative to the usual time, in quarters
}

// priorAnswers is the number of usual answers that is added to the evidence about a target, so that it fades without new answers.
const priorAnswers = 1.0

// UsualExcess is the mean excess below which the answers of a target take about as long as usual: a factor of 1.7.
const UsualExcess = 0.8

// IsUsual reports whether the evidence shows no markedly slow answers.
func IsUsual(answers, excess float64) bool { return excess < UsualExcess*(answers+priorAnswers) }

// NewAnswerTimes returns the evidence with a number of answers and the sum of their excesses.
func NewAnswerTimes(answers, excess float64) AnswerTimes {
	return AnswerTimes{Answers: toUnits(answers), Excess: toUnits(excess)}
}

func toUnits(x float64) uint16 { return uint16(min(max(math.Round(x/timesUnit), 0), math.MaxUint16)) }

// Values returns the number of answers and the sum of their excesses.
func (a AnswerTimes) Values() (answers, excess float64) {
	return timesUnit * float64(a.Answers), timesUnit * float64(a.Excess)
}

// TargetTimes is the evidence about one target in a message.
type TargetTimes struct {
	Token Token
	Times AnswerTimes
}
