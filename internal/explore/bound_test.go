//go:build !race

package explore

// searchBound is the number of sequences that keeps the search under 60 s on two processors.
const searchBound = 6000
