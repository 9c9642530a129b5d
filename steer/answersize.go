package steer

import (
	"math"
	"slices"
)

const (
	// sizeSample is the number of the newest answers of a route from which its usual size is computed, and sizeUpdate the number of
	// answers after which it is computed again.
	sizeSample = 64
	sizeUpdate = 16
	// minSizeSample is the number of answers from which the usual size is known.
	minSizeSample = 32
	// shortSpreads and shortRatio tell a short answer from a small one: the logarithm of its size is below the median by this many times
	// the distance between the median and the lower quartile, and its size is below this share of the median. Sizes of one route vary by
	// a factor of 100 on some sites, and not at all on others.
	shortSpreads = 5.0
	shortRatio   = 0.5
)

// answerSizes holds the sizes of a route's newest answers. Median and quartile are used because the sample may hold answers of targets
// that fail, up to a quarter of it.
type answerSizes struct {
	sample [sizeSample]float32 // natural logarithms of sizes in bytes
	count  int                 // of all answers so far
	limit  float32             // below it an answer is short; 0 while the sample is too small
}

// record adds an answer and reports whether it is much shorter than the usual ones of the route. An error message is; what an answer
// says cannot be read.
func (s *answerSizes) record(bytes uint32) (short bool) {
	size := float32(math.Log(float64(max(bytes, 1))))
	s.sample[s.count%sizeSample] = size
	s.count++
	if s.count%sizeUpdate == 0 && s.count >= minSizeSample {
		s.updateLimit()
	}
	return size < s.limit
}

func (s *answerSizes) updateLimit() {
	sample := s.sample
	sorted := sample[:min(s.count, sizeSample)]
	slices.Sort(sorted)
	median, quartile := sorted[len(sorted)/2], sorted[len(sorted)/4]
	s.limit = median + min(shortSpreads*(quartile-median), float32(math.Log(shortRatio)))
}
