package rollout

import (
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// DigestPrefix is the first 8 bytes of the digest of a bundle. It serves only for comparison between peers; the acceptance
// of a received bundle depends on its signature.
type DigestPrefix [8]byte

// PrefixOf returns the digest prefix of b, or zero when b is nil.
func PrefixOf(b *bundle.Bundle) DigestPrefix {
	if b == nil {
		return DigestPrefix{}
	}
	return DigestPrefix(b.Digest[:8])
}

// Announcement is the state of a balancer's bundles that probes carry. It is encoded in msgpack as an array without field
// names, because announcements are most of the traffic that a change causes.
type Announcement struct {
	//lint:ignore U1000 the msgpack library reads its tag
	_msgpack      struct{}          `msgpack:",as_array"`
	Host          membership.HostID `msgpack:"h"`
	DataCentre    string            `msgpack:"d"`
	InForce       uint64            `msgpack:"f"` // version, 0 when none
	Staged        uint64            `msgpack:"s"` // version, 0 when none
	InForceDigest DigestPrefix      `msgpack:"fd"`
	StagedDigest  DigestPrefix      `msgpack:"sd"`
	// SinceReadMS is the time in milliseconds since the latest successful platform read by the host or, as far as it knows,
	// by another member of its data centre; -1 when it knows of none.
	SinceReadMS int64 `msgpack:"r"`
	// Conflict is a version that the host has seen with two contents, 0 when none.
	Conflict uint64 `msgpack:"c"`
}

// newest returns the highest version that the host holds and its digest.
func (a *Announcement) newest() (uint64, DigestPrefix) {
	if a.Staged > a.InForce {
		return a.Staged, a.StagedDigest
	}
	return a.InForce, a.InForceDigest
}

// digestOf returns the digest of a version that the host holds.
func (a *Announcement) digestOf(version uint64) (DigestPrefix, bool) {
	switch {
	case version == 0:
		return DigestPrefix{}, false
	case a.InForce == version:
		return a.InForceDigest, true
	case a.Staged == version:
		return a.StagedDigest, true
	}
	return DigestPrefix{}, false
}

// Request requests a bundle from a peer. Without Chunks, the peer answers with a delta if it holds the envelope identified
// by BaseSum, and otherwise with the first chunk.
type Request struct {
	Version uint64       `msgpack:"v"`
	Digest  DigestPrefix `msgpack:"d"`
	BaseSum uint64       `msgpack:"h"` // xxhash64 of the envelope that a delta may be based on, 0 for none
	Chunks  []uint16     `msgpack:"c"` // indexes of chunks; at most maxChunksPerRequest are answered
}

// Data answers a Request with a delta or with one chunk of the envelope.
type Data struct {
	Version uint64       `msgpack:"v"`
	Digest  DigestPrefix `msgpack:"d"`
	Delta   []byte       `msgpack:"x,omitempty"` // set for a delta; the other fields are for a chunk
	Sum     uint64       `msgpack:"s,omitempty"` // xxhash64 of the whole envelope
	Index   uint16       `msgpack:"i,omitempty"`
	Count   uint16       `msgpack:"n,omitempty"`
	Bytes   []byte       `msgpack:"b,omitempty"` // at most ChunkBytes
}

// Event is an input of a Core.
type Event interface{ event() }

type (
	// Tick advances time. It is due every 100 ms.
	Tick struct{ Wall time.Time } // wall clock, for the validity dates of keys

	// PlatformBundle is a response of the platform with a bundle.
	PlatformBundle struct {
		Revision string
		Envelope []byte
	}

	// PlatformNotModified is a response of the platform without a new bundle.
	PlatformNotModified struct{ Revision string }

	// PlatformFailed reports a platform read without a usable response.
	PlatformFailed struct{ Err error }

	// PeerAnnounced is an announcement from another balancer.
	PeerAnnounced struct{ Announcement Announcement }

	// PeerInForce reports that a packet, probe or message revealed the version in force at a peer.
	PeerInForce struct {
		From    membership.HostID
		Version uint64
		Digest  DigestPrefix // zero when unknown
	}

	// PeerRequested is a request from a peer.
	PeerRequested struct {
		From    membership.HostID
		Request Request
	}

	// PeerData is a delta or chunk from a peer.
	PeerData struct {
		From membership.HostID
		Data Data
	}

	// MemberView replaces the known members of all data centres. It may include the balancer itself.
	MemberView struct{ Members []membership.Member }
)

func (Tick) event()                {}
func (PlatformBundle) event()      {}
func (PlatformNotModified) event() {}
func (PlatformFailed) event()      {}
func (PeerAnnounced) event()       {}
func (PeerInForce) event()         {}
func (PeerRequested) event()       {}
func (PeerData) event()            {}
func (MemberView) event()          {}

// Effect is an output of a Core, to be carried out in order.
type Effect interface{ effect() }

type (
	// WatchPlatform requests a bundle with a revision other than After from the platform and waits for one up to Wait. One
	// of the events PlatformBundle, PlatformNotModified and PlatformFailed must follow.
	WatchPlatform struct {
		After string
		Wait  time.Duration
	}

	// RequestBundle sends a request to a peer.
	RequestBundle struct {
		To      membership.HostID
		Request Request
	}

	// SendData sends a delta or chunk to a peer.
	SendData struct {
		To   membership.HostID
		Data Data
	}

	// BundleStaged reports that a bundle was accepted and awaits activation.
	BundleStaged struct{ Bundle *bundle.Bundle }

	// BundleInForce reports that a bundle was put in force.
	BundleInForce struct {
		Bundle   *bundle.Bundle
		Previous *bundle.Bundle // nil when there was none
		Reason   Reason
	}

	// BundleRefused reports that a received bundle was refused.
	BundleRefused struct {
		Version uint64 // 0 when the envelope could not be decoded
		Code    resultcode.Code
		Err     error
		From    membership.HostID // 0 for the platform
	}

	// Announce sends the announcement of the balancer to hosts immediately, without waiting for the next probe.
	Announce struct{ To []membership.HostID }

	// PushActivate notifies peers of the data centre that a version is in force.
	PushActivate struct {
		To      []membership.HostID
		Version uint64
		Digest  DigestPrefix
	}

	// AddTimeline adds an event to the timeline.
	AddTimeline struct{ Event timeline.Event }
)

func (WatchPlatform) effect() {}
func (RequestBundle) effect() {}
func (SendData) effect()      {}
func (BundleStaged) effect()  {}
func (BundleInForce) effect() {}
func (BundleRefused) effect() {}
func (Announce) effect()      {}
func (PushActivate) effect()  {}
func (AddTimeline) effect()   {}

// Reason is the reason why a bundle was put in force.
type Reason string

// Reasons to put a staged bundle in force.
const (
	ReasonAllStaged Reason = "all-staged" // every live member of the data centre reports it staged
	ReasonDeadline  Reason = "deadline"   // some member did not report it staged in time
	ReasonPeer      Reason = "peer"       // a peer of the data centre has it, or a later version, in force
)
