package peer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Time limits of a connection. A sender that stays within them can keep a connection open, but cannot make its memory
// use grow: memory for a frame is allocated only after its length was checked.
const (
	handshakeTimeout = 5 * time.Second  // TLS handshake and Hello
	frameTimeout     = 10 * time.Second // from the first byte of a frame to its last
	idleTimeout      = 2 * time.Minute  // without a new frame
	writeTimeout     = 5 * time.Second
)

// Bounds of a Listener.
const (
	maxConnections        = 1024
	maxConnectionsPerHost = 8 // from one IP address
	maxHandshakes         = 64
	framesPerSecond       = 2000 // per connection; frames beyond the rate are read with a delay
	frameBurst            = 2000
	bytesPerSecond        = 16 << 20
)

// Limits holds the bounds that a test or a small host may lower. A zero value means the default.
type Limits struct {
	Handshake, Frame, Idle      time.Duration
	Connections, PerHost        int
	FramesPerSecond, FrameBurst int
}

func (l Limits) withDefaults() Limits {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setInt := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setDuration(&l.Handshake, handshakeTimeout)
	setDuration(&l.Frame, frameTimeout)
	setDuration(&l.Idle, idleTimeout)
	setInt(&l.Connections, maxConnections)
	setInt(&l.PerHost, maxConnectionsPerHost)
	setInt(&l.FramesPerSecond, framesPerSecond)
	setInt(&l.FrameBurst, frameBurst)
	return l
}

// Identity identifies the local process to its peers and numbers the frames that it sends. It is safe for concurrent use.
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

// SetIncarnation changes the incarnation of all later frames.
func (i *Identity) SetIncarnation(n uint64) { i.incarnation.Store(n) }

// frame returns a frame without a sequence number. It fails if the message cannot be encoded or is too large.
func (i *Identity) frame(m Message) (*Frame, error) {
	body, err := encode(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if n := len(body) + maxFrameOverhead; n > m.Type().limit() {
		return nil, tooLargeError(m.Type(), n)
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

// Refusal reports a refused connection or message, or a failed connection attempt.
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
	Remote      netip.AddrPort // remote address of the connection, not the listening address of the peer
	Message     Message
}

// Traffic counts frames, and their bytes with length prefixes and without TLS overhead.
type Traffic struct {
	FramesSent, FramesReceived, BytesSent, BytesReceived uint64
}

type counters struct {
	framesSent, framesReceived, bytesSent, bytesReceived atomic.Uint64
}

func (c *counters) snapshot() Traffic {
	return Traffic{c.framesSent.Load(), c.framesReceived.Load(), c.bytesSent.Load(), c.bytesReceived.Load()}
}

// frameFilter rejects frames of an earlier incarnation of their sender, and replayed frames. It is safe for concurrent use.
type frameFilter struct {
	mu    sync.Mutex
	guard *replayGuard
	start time.Time
}

func newFrameFilter() *frameFilter {
	return &frameFilter{guard: newReplayGuard(), start: time.Now()}
}

// check returns an error if the incarnation of a frame is below the highest known one, or if the frame was received
// before. known is the incarnation of the sender according to membership, 0 if unknown.
func (ff *frameFilter) check(f *Frame, known uint64) error {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	if w := ff.guard.senders[f.Sender]; w != nil {
		known = max(known, w.epoch)
	}
	if f.Incarnation < known {
		return resultcode.Errorf(resultcode.PeerStaleIncarnation, f.Type.String(),
			"incarnation %d is below the known incarnation %d", f.Incarnation, known)
	}
	if !ff.guard.accept(f.Sender, f.Incarnation, f.Sequence, time.Since(ff.start)) {
		return resultcode.Errorf(resultcode.PeerReplay, f.Type.String(),
			"frame with sequence number %d was received before", f.Sequence)
	}
	return nil
}
