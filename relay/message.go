// Package relay decides from which hosts a balancer learns of the store's changes and of the load of other balancers.
// In each data centre one balancer, the relay, distributes both to the others. One of the relays, the reader, reads the
// store for all of them, so that the calls to the store do not grow with the fleet. Any balancer can take either role,
// and reads the store itself when no other one keeps it up to date. The package does no I/O.
package relay

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// Host is a balancer.
type Host struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort // where it accepts reports
	Weight     float64        // speed of its processor; a host with more weight is preferred as the relay
}

// Freshness describes how current the sender's knowledge of the store is.
type Freshness struct {
	Known bool          // it has read the store, or received its content from a host that has
	Age   time.Duration // since the store's last answer
	// Confirmed is the time since the last read that the store answered was sent. Steady is how long the store had
	// answered without interruption before that.
	Confirmed, Steady time.Duration
	Revision          directory.Revision // revision of the store up to which every change is known
	ReadFailed        bool               // the store did not answer the sender's last read
	// Version is the version of the operator's configuration that the sender uses. It can be higher than that of the store, which may
	// have been restored from a copy.
	Version   uint64
	KeepsLost bool // it keeps targets or evacuations that a restored store has lost
}

// Report is what a balancer periodically sends to a relay.
type Report struct {
	Host      Host
	Leaving   bool
	Freshness Freshness
	Loads     directory.Loads
	// WholeDataCentre reports that Loads cover the sender's whole data centre, as in reports between relays, or those of all other
	// hosts, as in early reports of a relay to a host of its data centre.
	WholeDataCentre bool
	// WantsChanges requests the changes after the revision in Freshness.
	WantsChanges bool
	// Early reports that the report is sent before its regular time, and that Loads hold only evidence of silence.
	Early bool
}

// Reply is the answer to a report.
type Reply struct {
	Host      Host
	Leaving   bool
	Freshness Freshness
	Changes   directory.Batch // after the revision in the report, if they were requested
	// Hosts are the best candidates for the relay in the data centre of the recipient and in the others.
	Hosts []Member
	// HostCount is the number of hosts in the sender's data centre, including itself, that it knows or was told by the relay.
	HostCount int
	// KnownHosts is the number of those that the sender itself knows.
	KnownHosts int
	Loads      directory.Loads // of all balancers but the recipient
	// Early reports that this is the reply to an early report. It holds no changes, no hosts, and only evidence of silence.
	Early bool
}

// Member describes a balancer that the sender of a reply knows.
type Member struct {
	Host     Host
	LastSeen time.Duration // time since its last message
	State    HostState
}

// HostState holds the properties by which hosts are ranked as candidates for the relay.
type HostState struct {
	Fresh      bool // its knowledge of the store is recent
	Leaving    bool
	Revision   directory.Revision // revision of the store up to which it knows every change; 0 while it knows nothing
	ReadFailed bool               // the store did not answer its last read
	Version    uint64             // of the operator's configuration that it uses; 0 while it knows nothing
	KeepsLost  bool               // it keeps targets or evacuations that a restored store has lost
}
