package steer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnDuration is the time for which all attempts of a caller on a route get the same decision. Callers make their attempts
	// within milliseconds, each from a new port and through any balancer.
	turnDuration = 250 * time.Millisecond
	// turnStep is the part of the callers by which the turn advances after each turnDuration: the golden ratio, by which the
	// turns of each caller are spread evenly over time for any refused share.
	turnStep = 0.6180339887498949
	// maxRefusedShare bounds the part of the turns in which a caller is refused, so that each caller has its turn.
	maxRefusedShare = 0.95
)

// callerHash returns a hash of the caller's address and the route of a flow, which is the same on every balancer.
func (k FlowKey) callerHash() uint64 {
	var b [10]byte
	copy(b[:], k.Caller.Address[:])
	copy(b[4:], k.Endpoint.Address[:])
	binary.BigEndian.PutUint16(b[8:], k.Endpoint.Port)
	return xxhash.Sum64(b[:])
}

// turn returns the position of a caller at a wall-clock time, from 0 to 1. The callers whose position is below the refused share
// are refused. Positions move by turnStep, so a caller that was refused is admitted a bounded number of turns later, whoever else
// asks. It needs no state, and balancers whose clocks agree compute the same.
func turn(callerHash uint64, wall time.Duration) float64 {
	start := time.Duration(callerHash % uint64(turnDuration)) // the callers' turns do not all change at the same time
	_, position := math.Modf(uniform(callerHash, admissionSeed) + float64((wall+start)/turnDuration)*turnStep)
	return position
}
