// Package relay decides from whom a balancer learns of the store's changes and of other balancers' load. In each data
// centre one balancer, the relay, tells the others, and one of the relays, the reader, reads the store for all of them, so that the
// calls to the store do not grow with the fleet. Any balancer can be either, and reads the store itself when nobody keeps it up to
// date. The package does no I/O.
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
	Address    netip.AddrPort // where it answers reports
	Weight     float64        // speed of its processor; a heavier host is the better relay
}

// Freshness tells how well the sender of a message knows the store.
type Freshness struct {
	Known bool          // it has read the store, or heard from one that has
	Age   time.Duration // since the store's last answer
	// Confirmed is the time since the last read was sent that the store answered, and Steady for how long it had answered
	// without a break before that.
	Confirmed, Steady time.Duration
	Revision          uint64 // up to which every change is known
	Refused           bool   // the store did not answer the sender's last read
}

// Report is what a balancer tells a relay.
type Report struct {
	Host      Host
	Leaving   bool
	Freshness Freshness
	Loads     []directory.Load
	// Centre reports that Loads are those of the sender's whole data centre, which a relay tells other data centres.
	Centre bool
	// Wants asks for the changes after the revision of Freshness.
	Wants bool
}

// Reply answers a report.
type Reply struct {
	Host      Host
	Leaving   bool
	Freshness Freshness
	Changes   directory.Batch // after the revision of the report, if it asks for them
	// Hosts are the best candidates for the relay, of the asker's data centre and of the others.
	Hosts []Member
	// Count is the number of hosts that the sender knows in its own data centre, itself included.
	Count int
	Loads []directory.Load // of all balancers but the one that asked
}

// Member is what the sender of a reply knows of a balancer.
type Member struct {
	Host     Host
	Heard    time.Duration // since it last reported
	Standing Standing
}

// Standing is what ranks a host as the relay.
type Standing struct {
	Fresh    bool // it knows the store well
	Leaving  bool
	Revision uint64 // of the store, up to which it knows every change; 0 when it knows nothing
	Refused  bool   // the store did not answer its last read
}
