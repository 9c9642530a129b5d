// Package membership detects which balancers of a data centre are alive.
//
// The package does no I/O: the caller passes in messages, ticks, a clock and a random source, and carries out
// the returned effects.
package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID identifies a balancer host by the hash of its name.
type HostID uint64

// NewHostID returns the ID of the host called name.
func NewHostID(name string) HostID {
	return HostID(xxhash.Sum64String(name))
}

// State is the state of a member as seen by one balancer.
type State uint8

// Member states. Only Serving and Suspect members own buckets: a suspected member keeps its buckets until it
// is declared gone, so that one lost probe moves no flow.
const (
	Joining State = iota
	Warm
	Serving
	Suspect
	Leaving
	Gone
)

var stateNames = [...]string{"joining", "warm", "serving", "suspect", "leaving", "gone"}

// String returns the lower-case name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// OwnsBuckets reports whether a member in this state takes part in bucket ownership.
func (s State) OwnsBuckets() bool {
	return s == Serving || s == Suspect
}

// Member describes one balancer.
type Member struct {
	ID            HostID
	Name          string
	DataCentre    string
	Data          netip.AddrPort // Geneve packets, UDP
	Probe         netip.AddrPort // membership probes, UDP
	Peer          netip.AddrPort // peer messages, TCP
	Incarnation   uint64         // raised by the member itself; a higher one overrides what is known
	State         State
	BundleInForce uint64 // bundle version, 0 when none
	BundleStaged  uint64 // bundle version, 0 when none

	InForceDigest    [8]byte       // first bytes of the digest of the bundle in force
	StagedDigest     [8]byte       // first bytes of the digest of the staged bundle
	LastPlatformRead time.Duration // last successful read of the platform on the local monotonic clock; negative when unknown
	LastHeard        time.Duration // receipt of the last message on the local monotonic clock; negative when never
}
