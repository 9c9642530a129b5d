// Package peer implements the transport between balancers: probe datagrams over UDP, one-way messages over TCP with
// mutual TLS (Pool and Listener), and requests with responses over TCP (Client and Server).
//
// The size of received data is checked before it is decoded, and it is decoded completely before it is used.
package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/internal/safedecode"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// Bounds of a probe datagram.
const (
	MaxProbeBytes = 1200 // with IP and UDP headers, fits the minimum IPv6 MTU of 1,280 bytes
	macBytes      = 16   // truncated HMAC-SHA256
	maxNameBytes  = 63
	probeVersion  = 1
)

// ProbeCodec encodes and decodes probe datagrams. It is not safe for concurrent use.
type ProbeCodec struct {
	key     []byte // nil in plain mode
	epoch   uint64
	counter uint64
	replay  *replayGuard
}

// NewProbeCodec returns a codec. Without a key, datagrams are not authenticated. The epoch must be higher than that of
// any earlier process on the host; it is usually the wall clock time at start, in nanoseconds.
func NewProbeCodec(key []byte, epoch uint64) *ProbeCodec {
	return &ProbeCodec{key: bytes.Clone(key), epoch: epoch, replay: newReplayGuard()}
}

// probeWire is the encoded form of a datagram. Epoch and Counter make every datagram of a host unique.
type probeWire struct {
	Version                     uint8
	Epoch, Counter              uint64
	Kind                        uint8
	Sequence                    uint64
	Sender                      updateWire
	InForce, Staged             uint64
	InForceDigest, StagedDigest []byte
	PlatformAgeMS               int64 // -1 if unknown
	StampWall                   int64
	StampLogical                uint32
	ViewDigest                  uint64
	Target                      uint64
	TargetAddr                  []byte
	Sync                        bool
	Cursor                      uint64
	Updates                     []updateWire
}

// updateWire is the encoded form of a member update. An empty DataCentre means that of the sender.
type updateWire struct {
	Name, DataCentre              string
	Address                       []byte
	DataPort, ProbePort, PeerPort uint16
	Incarnation                   uint64
	State                         uint8 // with suspectedFlag set if the member is suspected
}

const suspectedFlag = 0x40

// Encode encodes a message. If it exceeds MaxProbeBytes, updates are removed from the end until it fits.
func (c *ProbeCodec) Encode(m *membership.Message) ([]byte, error) {
	c.counter++
	w := toWire(m)
	w.Epoch, w.Counter = c.epoch, c.counter
	for {
		b, err := encode(w)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if c.key != nil {
			b = append(b, c.mac(b)...)
		}
		if len(b) <= MaxProbeBytes {
			return b, nil
		}
		if len(w.Updates) == 0 {
			return nil, Error.Wrap(resultcode.Errorf(resultcode.PeerFrameTooLarge, "probe",
				"%d bytes, at most %d allowed", len(b), MaxProbeBytes))
		}
		w.Updates = w.Updates[:len(w.Updates)-1]
		if m.Sync && m.Kind == membership.Ack && len(w.Updates) > 0 {
			w.Cursor = uint64(m.Updates[len(w.Updates)-1].ID())
		}
	}
}

// Decode authenticates and decodes a datagram that was received at now. The error is a *resultcode.Error.
func (c *ProbeCodec) Decode(b []byte, now time.Duration) (*membership.Message, error) {
	if len(b) > MaxProbeBytes {
		return nil, resultcode.Errorf(resultcode.PeerFrameTooLarge, "probe", "%d bytes, at most %d allowed", len(b), MaxProbeBytes)
	}
	if c.key != nil {
		if len(b) < macBytes {
			return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "too short for an authentication code")
		}
		body, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
		if !hmac.Equal(mac, c.mac(body)) {
			return nil, resultcode.Errorf(resultcode.PeerIdentity, "probe", "authentication code does not match")
		}
		b = body
	}
	var w probeWire
	if err := safedecode.Msgpack(b, &w); err != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "%v", err)
	}
	if w.Version != probeVersion {
		return nil, resultcode.Errorf(resultcode.PeerVersion, "probe", "probe version %d, want %d", w.Version, probeVersion)
	}
	m, err := w.message()
	if err != nil {
		return nil, err
	}
	if !c.replay.accept(uint64(m.Sender.ID()), w.Epoch, w.Counter, now) {
		return nil, resultcode.Errorf(resultcode.PeerReplay, "probe", "datagram %d of %s was received before", w.Counter, m.Sender.Name)
	}
	return m, nil
}

func (c *ProbeCodec) mac(b []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}

func toWire(m *membership.Message) *probeWire {
	w := &probeWire{
		Version: probeVersion, Kind: uint8(m.Kind), Sequence: m.Sequence, Sender: toUpdateWire(&m.Sender, ""),
		InForce: m.Status.InForce.Version, Staged: m.Status.Staged.Version, PlatformAgeMS: -1,
		StampWall: m.Status.Stamp.Wall, StampLogical: m.Status.Stamp.Logical,
		ViewDigest: m.ViewDigest, Target: uint64(m.Target), Sync: m.Sync, Cursor: uint64(m.Cursor),
	}
	if w.InForce > 0 {
		w.InForceDigest = m.Status.InForce.Digest[:]
	}
	if w.Staged > 0 {
		w.StagedDigest = m.Status.Staged.Digest[:]
	}
	if m.Status.PlatformAge >= 0 {
		w.PlatformAgeMS = m.Status.PlatformAge.Milliseconds()
	}
	if m.TargetAddr.IsValid() {
		w.TargetAddr, _ = m.TargetAddr.MarshalBinary()
	}
	for i := range m.Updates[:min(len(m.Updates), membership.MaxUpdates)] {
		w.Updates = append(w.Updates, toUpdateWire(&m.Updates[i], m.Sender.DataCentre))
	}
	return w
}

func toUpdateWire(u *membership.Update, senderDC string) updateWire {
	w := updateWire{
		Name: u.Name, Address: u.Address.AsSlice(), DataPort: u.DataPort, ProbePort: u.ProbePort,
		PeerPort: u.PeerPort, Incarnation: u.Incarnation, State: uint8(u.State),
	}
	if u.DataCentre != senderDC {
		w.DataCentre = u.DataCentre
	}
	if u.Suspected {
		w.State |= suspectedFlag
	}
	return w
}

func (w *probeWire) message() (*membership.Message, error) {
	m := &membership.Message{
		Kind: membership.Kind(w.Kind), Sequence: w.Sequence, ViewDigest: w.ViewDigest,
		Target: membership.HostID(w.Target), Sync: w.Sync, Cursor: membership.HostID(w.Cursor),
	}
	if m.Kind < membership.Ping || m.Kind > membership.PingReq || len(w.Updates) > membership.MaxUpdates {
		return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "invalid kind %d, or too many updates: %d", w.Kind, len(w.Updates))
	}
	m.Status = membership.Status{
		InForce: membership.VersionDigest{Version: w.InForce}, Staged: membership.VersionDigest{Version: w.Staged},
		PlatformAge: -1, Stamp: timeline.Stamp{Wall: w.StampWall, Logical: w.StampLogical},
	}
	copy(m.Status.InForce.Digest[:], w.InForceDigest)
	copy(m.Status.Staged.Digest[:], w.StagedDigest)
	if w.PlatformAgeMS >= 0 {
		m.Status.PlatformAge = time.Duration(min(w.PlatformAgeMS, maxAgeMS)) * time.Millisecond
	}
	if len(w.TargetAddr) > 0 && m.TargetAddr.UnmarshalBinary(w.TargetAddr) != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "invalid target address")
	}
	var err error
	if m.Sender, err = w.Sender.update(""); err != nil {
		return nil, err
	}
	for i := range w.Updates {
		u, err := w.Updates[i].update(m.Sender.DataCentre)
		if err != nil {
			return nil, err
		}
		m.Updates = append(m.Updates, u)
	}
	return m, nil
}

// maxAgeMS bounds ages (1 year in milliseconds), so that adding them to a clock cannot overflow.
const maxAgeMS = 365 * 24 * 3600 * 1000

func (w *updateWire) update(senderDC string) (membership.Update, error) {
	addr, ok := netip.AddrFromSlice(w.Address)
	state := membership.State(w.State &^ suspectedFlag)
	if !ok || w.Name == "" || len(w.Name) > maxNameBytes || len(w.DataCentre) > maxNameBytes || state > membership.Gone ||
		state == membership.Suspect {
		return membership.Update{}, resultcode.Errorf(resultcode.PeerFrame, "probe", "invalid member update")
	}
	u := membership.Update{
		Name: w.Name, DataCentre: w.DataCentre, Address: addr.Unmap(), DataPort: w.DataPort, ProbePort: w.ProbePort,
		PeerPort: w.PeerPort, Incarnation: w.Incarnation, State: state, Suspected: w.State&suspectedFlag != 0,
	}
	if u.DataCentre == "" {
		u.DataCentre = senderDC
	}
	return u, nil
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	e.UseArrayEncodedStructs(true)
	err := e.Encode(v)
	return buf.Bytes(), err
}
