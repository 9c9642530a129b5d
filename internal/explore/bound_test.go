//go:build !race

package explore

// searchBound is the maximum number of sequences in TestSmallScope. It keeps the search under 60 s on two processors.
const searchBound = 6000
