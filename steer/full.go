package steer

import (
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

const (
	// probeInterval is the time between two new flows that are placed although all targets of their service seem to be full, to find out
	// whether one has room again. A target answers an opening packet, or its caller sends a copy, within this time.
	probeInterval = 200 * time.Millisecond
	// runningFor is how long after an answer the targets of a service are taken to run, so that unanswered opening packets mean that
	// they are full and not, for example, cut off.
	runningFor = 2 * time.Second
)

// isFull reports whether a new flow of the route is refused because all targets of the service answer open flows and open no new
// ones: its caller would wait for each of its tries in vain. t is the target that was chosen. A flow from time to time is placed all the
// same. As for refusals of an overloaded service, the route must have a significant share of the new flows.
func (e *Engine) isFull(r *directory.Route, t *Target, now time.Duration) bool {
	d := t.demand
	if !t.load.opensNoFlows(now) || d.lastAnswer == 0 || now-d.lastAnswer >= runningFor || !d.isSignificant(r) {
		return false
	}
	p := e.view.placeable(t.Service, now, nil)
	for _, targets := range [...][]*Target{p.local, p.remote} {
		for _, other := range targets {
			if !other.load.opensNoFlows(now) {
				return false
			}
		}
	}
	if now-d.lastProbe < probeInterval {
		return true
	}
	d.lastProbe = now
	return false
}

// opensNoFlows reports whether the target has left several opening packets unanswered here, but no data of open flows.
func (l *load) opensNoFlows(now time.Duration) bool {
	return l.openMisses >= suspectThreshold && now-l.lastOpenMiss < missRetention && !l.missesData(now) && !l.peers.Silent
}
