package membership

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/timeline"
)

// MaxUpdates is the maximum number of member updates in one message. It keeps a message within a datagram of 1,200
// bytes at any fleet size.
const MaxUpdates = 8

// Kind is the kind of a probe message.
type Kind uint8

// Kinds of probe messages.
const (
	Ping Kind = 1 + iota
	Ack
	PingReq
)

// Update is a gossip record about one member. All ports of a member are on one address.
type Update struct {
	Name, DataCentre              string
	Address                       netip.Addr
	DataPort, ProbePort, PeerPort uint16
	Incarnation                   uint64
	State                         State // announced state or Gone; never Suspect
	Suspected                     bool
}

// ID returns the ID of the member that the update is about.
func (u *Update) ID() HostID { return NewHostID(u.Name) }

// VersionDigest identifies a bundle.
type VersionDigest struct {
	Version uint64 // 0 when there is none
	Digest  [8]byte
}

// Status is what every probe message carries about its sender besides membership.
type Status struct {
	InForce, Staged VersionDigest
	PlatformAge     time.Duration // time since the last successful platform read; negative when there was none
	Stamp           timeline.Stamp
}

// Message is a probe message.
type Message struct {
	Kind       Kind
	Sequence   uint64 // chosen by the sender of a ping or ping-req and echoed in the ack
	Sender     Update
	Status     Status
	ViewDigest uint64         // digest of the sender's view of its data centre
	Target     HostID         // ping-req: member to ping; ack: member that responded
	TargetAddr netip.AddrPort // ping-req: probe address of Target
	Sync       bool           // ping: requests the members after Cursor; ack: Updates holds them
	Cursor     HostID         // ack with Sync: last member in Updates, 0 when there are no more
	Updates    []Update       // at most MaxUpdates
}

func (u *Update) member() Member {
	return Member{
		ID: u.ID(), Name: u.Name, DataCentre: u.DataCentre,
		Data:             netip.AddrPortFrom(u.Address, u.DataPort),
		Probe:            netip.AddrPortFrom(u.Address, u.ProbePort),
		Peer:             netip.AddrPortFrom(u.Address, u.PeerPort),
		Incarnation:      u.Incarnation,
		LastPlatformRead: -1, LastHeard: -1,
	}
}

func (u *Update) valid() bool {
	return u.Name != "" && u.Address.IsValid() && u.ProbePort != 0 && u.State <= Gone && u.State != Suspect
}
