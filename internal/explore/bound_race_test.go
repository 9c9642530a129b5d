//go:build race

package explore

// searchBound is lower with the race detector, which makes a sequence over ten times slower.
const searchBound = 600
