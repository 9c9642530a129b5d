package peer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Time limits of a connection. A sender that stays within them can hold a connection, but not a growing amount of
// memory: a frame's memory is taken only after its length was checked.
const (
	handshakeLimit = 5 * time.Second  // TLS handshake and Hello
	frameLimit     = 10 * time.Second // from the first byte of a frame to its last
	idleLimit      = 2 * time.Minute  // between frames
	writeLimit     = 5 * time.Second
)

// Bounds of the server.
const (
	maxConnections     = 1024
	maxConnectionsHost = 8 // from one address
	maxHandshakes      = 64
	framesPerSecond    = 2000 // per connection; a sender above it is read more slowly
	framesBurst        = 2000
	bytesPerSecond     = 16 << 20
)

// Limits are the bounds that a test or a small host may lower. Zero values stand for the defaults.
type Limits struct {
	Handshake, Frame, Idle      time.Duration
	Connections, PerHost        int
	FramesPerSecond, FrameBurst int
}

func (l Limits) withDefaults() Limits {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	number := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	set(&l.Handshake, handshakeLimit)
	set(&l.Frame, frameLimit)
	set(&l.Idle, idleLimit)
	number(&l.Connections, maxConnections)
	number(&l.PerHost, maxConnectionsHost)
	number(&l.FramesPerSecond, framesPerSecond)
	number(&l.FrameBurst, framesBurst)
	return l
}

// Identity describes the local process. It is safe for use by several goroutines.
type Identity struct {
	Host, DataCentre string
	incarnation      atomic.Uint64
	sequence         atomic.Uint64
}

// NewIdentity returns the identity of a host.
func NewIdentity(host, dataCentre string, incarnation uint64) *Identity {
	id := &Identity{Host: host, DataCentre: dataCentre}
	id.incarnation.Store(incarnation)
	return id
}

// SetIncarnation changes the incarnation that later frames carry.
func (i *Identity) SetIncarnation(n uint64) { i.incarnation.Store(n) }

// frame returns a frame without its sequence. The error tells that the message is too large.
func (i *Identity) frame(m Message) (*Frame, error) {
	body, err := encode(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if n := len(body) + maxEnvelopeBytes; n > m.Type().limit() {
		return nil, tooLarge(m.Type(), n)
	}
	return &Frame{
		Version: ProtocolVersion, Type: m.Type(), Sender: uint64(membership.NewHostID(i.Host)),
		Incarnation: i.incarnation.Load(), Body: body,
	}, nil
}

func (i *Identity) encode(f *Frame) ([]byte, error) {
	f.Sequence = i.sequence.Add(1)
	return EncodeFrame(f)
}

func (i *Identity) hello() (*Frame, error) {
	return i.frame(&Hello{
		Host: i.Host, DataCentre: i.DataCentre, Incarnation: i.incarnation.Load(), ProtocolVersion: ProtocolVersion,
	})
}

// Refusal reports something that was not accepted.
type Refusal struct {
	Code   resultcode.Code
	Remote netip.AddrPort
	Err    error
}

// Received is an accepted message.
type Received struct {
	From        membership.HostID
	Host        string
	DataCentre  string
	Incarnation uint64
	Remote      netip.AddrPort // of the connection; not the peer's listening address
	Message     Message
}

// Traffic counts bytes and frames, with length prefixes and without TLS.
type Traffic struct {
	FramesSent, FramesReceived, BytesSent, BytesReceived uint64
}

type counters struct {
	framesSent, framesReceived, bytesSent, bytesReceived atomic.Uint64
}

func (c *counters) traffic() Traffic {
	return Traffic{c.framesSent.Load(), c.framesReceived.Load(), c.bytesSent.Load(), c.bytesReceived.Load()}
}

// incarnations keeps the highest incarnation of each sender, and refuses repeated frames.
type incarnations struct {
	mu    sync.Mutex
	guard *replayGuard
	start time.Time
}

func newIncarnations() *incarnations {
	return &incarnations{guard: newReplayGuard(), start: time.Now()}
}

// check refuses a frame with an incarnation below a known one, and a frame that was received before. known is what
// membership knows of the sender; 0 when nothing.
func (i *incarnations) check(f *Frame, known uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if w := i.guard.senders[f.Sender]; w != nil {
		known = max(known, w.epoch)
	}
	if f.Incarnation < known {
		return resultcode.Errorf(resultcode.PeerStaleIncarnation, f.Type.String(), "incarnation %d, known %d", f.Incarnation, known)
	}
	if !i.guard.accept(f.Sender, f.Incarnation, f.Sequence, time.Since(i.start)) {
		return resultcode.Errorf(resultcode.PeerReplay, f.Type.String(), "sequence %d was received before", f.Sequence)
	}
	return nil
}
