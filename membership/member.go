// Package membership detects which balancers of a data centre are alive, by a gossip protocol with direct and indirect
// probes, suspicions and incarnation numbers in the manner of SWIM.
//
// The package does no I/O: the caller passes in events with the current time and a random source, and carries out the
// returned effects.
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

// Member states. Only Serving and Suspect members own buckets: a suspected member keeps its buckets until it is declared
// gone, so that a single lost probe moves no flows.
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

// OwnsBuckets reports whether a member in this state owns buckets.
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
	Incarnation   uint64         // raised only by the member itself; a higher one supersedes earlier updates
	State         State
	BundleInForce uint64 // bundle version, 0 when none
	BundleStaged  uint64 // bundle version, 0 when none

	InForceDigest    [8]byte       // first bytes of the digest of the bundle in force
	StagedDigest     [8]byte       // first bytes of the digest of the staged bundle
	LastPlatformRead time.Duration // last successful platform read, on the local monotonic clock; negative when unknown
	LastHeard        time.Duration // receipt of the last message, on the local monotonic clock; negative when there was none
}
