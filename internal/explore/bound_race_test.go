//go:build race

package explore

// searchBound is lower with the race detector, under which a sequence takes over ten times as long.
const searchBound = 600
