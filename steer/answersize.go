package steer

import (
	"math"
	"slices"
)

const (
	// sizeSample is the number of the newest answers of a route from which its usual size is computed, and sizeUpdate the number of
	// answers after which it is computed again.
	sizeSample = 256
	sizeUpdate = 16
	// shortSpreads and shortRatio tell a short answer from a small one: the logarithm of its size is below the median by this many times
	// the distance between the median and the lower quartile, and its size is below this share of the median. Sizes of one route vary by
	// a factor of 100 on some sites, and not at all on others.
	shortSpreads = 5.0
	shortRatio   = 0.5
	// smallSampleMargin is by what part the distance counts more for each time that the error of the quartile exceeds that of a full
	// sample, which falls with the square root of its size.
	smallSampleMargin = 0.4
)

// answerSizes holds the sizes of a route's newest answers. Median and quartile are used because the sample may hold answers of targets
// that fail, up to a quarter of it.
type answerSizes struct {
	sample [sizeSample]float32 // natural logarithms of sizes in bytes
	count  int                 // of all answers so far
	limit  float32             // below it an answer is short; 0 while the sample is smaller than sizeUpdate
}

// record adds an answer and reports whether it is much shorter than the usual ones of the route, and false for known while their size is
// not known. An error message is short; what an answer says cannot be read.
func (s *answerSizes) record(bytes uint32) (short, known bool) {
	size := float32(math.Log(float64(max(bytes, 1))))
	s.sample[s.count%sizeSample] = size
	s.count++
	if s.count%sizeUpdate == 0 {
		s.updateLimit()
	}
	return size < s.limit, s.count >= sizeUpdate
}

func (s *answerSizes) updateLimit() {
	sample := s.sample
	sorted := sample[:min(s.count, sizeSample)]
	slices.Sort(sorted)
	median, quartile := sorted[len(sorted)/2], sorted[len(sorted)/4]
	spreads := float32(shortSpreads * (1 + smallSampleMargin*(math.Sqrt(sizeSample/float64(len(sorted)))-1)))
	s.limit = median + min(spreads*(quartile-median), float32(math.Log(shortRatio)))
}
