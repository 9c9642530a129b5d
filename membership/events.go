package membership

import (
	"net/netip"
	"time"
)

// Event is an input of a Core.
type Event interface{ event() }

// Tick advances time. It is due at Core.NextTick, or at least every 50 ms.
type Tick struct{}

// Received delivers an authenticated message.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Candidate is a host that the platform lists. It is only a hint, because the list lags: a listed host may have failed,
// and a host that is not listed may be serving.
type Candidate struct {
	Name, DataCentre string
	Probe            netip.AddrPort
	Leaving          bool
}

// HostList replaces the list of candidates.
type HostList struct{ Candidates []Candidate }

// LocalChanged replaces the state and status that this member announces.
type LocalChanged struct {
	State            State // Joining, Warm, Serving or Leaving; an earlier state than the announced one is ignored
	InForce, Staged  VersionDigest
	LastPlatformRead time.Duration // last successful platform read, on the monotonic clock; negative when there was none
}

// PauseDetected reports that the process did not run for a while.
type PauseDetected struct{ Gap time.Duration }

func (Tick) event()          {}
func (Received) event()      {}
func (HostList) event()      {}
func (LocalChanged) event()  {}
func (PauseDetected) event() {}

// Effect is an output of a Core, to be carried out in order.
type Effect interface{ effect() }

// Send sends a message to a probe address.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// MemberChanged reports a new state or incarnation of a member.
type MemberChanged struct {
	Member   Member
	Previous State // equal to Member.State when only the incarnation changed
	New      bool  // the member was unknown
}

// ViewChanged reports a change in the set of bucket owners of this data centre.
type ViewChanged struct{ Owners []HostID }

// StatusReceived reports the status of a member, once for each accepted message.
type StatusReceived struct {
	Member HostID
	Local  bool // the member is in this data centre
	Status Status
}

// SelfDeclaredGone reports that other members declared this one gone. It rejoins under a higher incarnation; Hold is how
// long it announces Warm before it serves again. Isolated tells that this member was paused or cut off from most of the
// others, rather than on one side of a partition into halves. An isolated member must not act on what it knew before
// (see ownership.Evicted).
type SelfDeclaredGone struct {
	Isolated    bool
	Incarnation uint64
	Hold        time.Duration
}

// MemberListedLeaving reports that the platform lists a member as leaving.
type MemberListedLeaving struct{ Member HostID }

// Refreshed reports the end of the refresh after a pause: a peer has answered with its view, or none did in time and
// NoPeerAnswered is set.
type Refreshed struct{ NoPeerAnswered bool }

func (Send) effect()                {}
func (MemberChanged) effect()       {}
func (ViewChanged) effect()         {}
func (StatusReceived) effect()      {}
func (SelfDeclaredGone) effect()    {}
func (MemberListedLeaving) effect() {}
func (Refreshed) effect()           {}
