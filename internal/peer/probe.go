// Package peer carries messages between balancers: probe datagrams over UDP, and framed messages over TCP with mutual
// TLS.
//
// Everything that arrives is bounded and checked before it is decoded, and decoded before it is acted on.
package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// Bounds of a probe datagram.
const (
	MaxProbeBytes = 1200 // fits the smallest IPv6 MTU with headers
	macBytes      = 16   // truncated HMAC-SHA256
	maxNameBytes  = 63
	probeVersion  = 1
)

// ProbeCodec encodes and decodes probe datagrams. It is not safe for use by several goroutines.
type ProbeCodec struct {
	key     []byte // nil in plain mode
	epoch   uint64
	counter uint64
	replay  *replayGuard
}

// NewProbeCodec returns a codec. Without a key, datagrams are not authenticated. Epoch must be higher than in any
// earlier life of the process: the wall clock at start, in nanoseconds.
func NewProbeCodec(key []byte, epoch uint64) *ProbeCodec {
	return &ProbeCodec{key: bytes.Clone(key), epoch: epoch, replay: newReplayGuard()}
}

// probeWire is a datagram. Epoch and Counter make every datagram of a host unique.
type probeWire struct {
	Version                     uint8
	Epoch, Counter              uint64
	Kind                        uint8
	Sequence                    uint64
	Sender                      updateWire
	InForce, Staged             uint64
	InForceDigest, StagedDigest []byte
	PlatformAgeMS               int64 // -1 when unknown
	StampWall                   int64
	StampLogical                uint32
	ViewDigest                  uint64
	Target                      uint64
	TargetAddr                  []byte
	Sync                        bool
	Cursor                      uint64
	Updates                     []updateWire
}

// updateWire is a member update. An empty DataCentre means that of the sender.
type updateWire struct {
	Name, DataCentre              string
	Address                       []byte
	DataPort, ProbePort, PeerPort uint16
	Incarnation                   uint64
	State                         uint8 // suspectedFlag is added when the member is suspected
}

const suspectedFlag = 0x40

// Encode encodes a message. Updates that do not fit are left out, the last ones first.
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
			return nil, Error.Wrap(resultcode.Errorf(resultcode.PeerFrameTooLarge, "probe", "%d bytes, at most %d allowed", len(b), MaxProbeBytes))
		}
		w.Updates = w.Updates[:len(w.Updates)-1]
		if m.Sync && m.Kind == membership.Ack && len(w.Updates) > 0 {
			w.Cursor = uint64(m.Updates[len(w.Updates)-1].ID())
		}
	}
}

// Decode checks and decodes a datagram. The error carries a resultcode.Code.
func (c *ProbeCodec) Decode(b []byte, now time.Duration) (*membership.Message, error) {
	if len(b) > MaxProbeBytes {
		return nil, resultcode.Errorf(resultcode.PeerFrameTooLarge, "probe", "%d bytes, at most %d allowed", len(b), MaxProbeBytes)
	}
	if c.key != nil {
		if len(b) < macBytes {
			return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "no authentication code")
		}
		body, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
		if !hmac.Equal(mac, c.mac(body)) {
			return nil, resultcode.Errorf(resultcode.PeerIdentity, "probe", "wrong authentication code")
		}
		b = body
	}
	var w probeWire
	if err := decode(b, &w); err != nil {
		return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "%v", err)
	}
	if w.Version != probeVersion {
		return nil, resultcode.Errorf(resultcode.PeerVersion, "probe", "version %d, want %d", w.Version, probeVersion)
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
		return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "kind %d with %d updates", w.Kind, len(w.Updates))
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
		return nil, resultcode.Errorf(resultcode.PeerFrame, "probe", "invalid address of the target")
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

// maxAgeMS bounds ages, so that no sum with a clock overflows.
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

// decode decodes exactly one value. It is read through first: the library takes memory for as many elements as a message
// says that it holds, whatever its size.
func decode(b []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(b)).Skip(); err != nil {
		return err
	}
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return err
	}
	if r.Len() > 0 {
		return Error.New("%d bytes after the message", r.Len())
	}
	return nil
}
