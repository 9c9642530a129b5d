package steer

import "math"

const (
	// minSizedAnswers is the number of answers from which the usual size of a route's answers is known.
	minSizedAnswers = 20
	// sizeWeight is the weight of one answer in the moving averages of a route's sizes.
	sizeWeight = 1.0 / 64
	// shortDeviations and shortRatio tell a short answer from a small one: its logarithm is this many standard deviations below the mean,
	// and its size at most this share of the usual one. Sizes of one route vary by a factor of 100 on some sites, and not at all on others.
	shortDeviations = 4.0
	shortRatio      = 0.5
	// maxShortShare is the share of short answers of a route above which its usual size is learned anew: the answers themselves have changed.
	maxShortShare = 0.5
)

// answerSizes is the distribution of the sizes of a route's answers, on a logarithmic scale.
type answerSizes struct {
	answers        int
	mean, variance float64 // of the natural logarithm of the size in bytes
	shortShare     float64 // averaged share of short answers
}

// record adds an answer and reports whether it is much shorter than the usual ones of the route. An error message is, while the
// balancer cannot read what an answer says.
func (s *answerSizes) record(bytes uint32) (short bool) {
	size := math.Log(float64(max(bytes, 1)))
	if s.answers >= minSizedAnswers && size < s.limit() {
		if s.shortShare += sizeWeight * (1 - s.shortShare); s.shortShare > maxShortShare {
			*s = answerSizes{}
		}
		return true
	}
	s.shortShare -= sizeWeight * s.shortShare
	s.answers++
	weight := max(sizeWeight, 1/float64(s.answers))
	deviation := size - s.mean
	s.mean += weight * deviation
	s.variance = (1 - weight) * (s.variance + weight*deviation*deviation)
	return false
}

// limit returns the logarithm of the size below which an answer is short.
func (s *answerSizes) limit() float64 {
	return s.mean + min(-shortDeviations*math.Sqrt(s.variance), math.Log(shortRatio))
}
