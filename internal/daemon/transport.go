package daemon

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// receiver handles the messages that arrive from other balancers. Its methods do not block.
type receiver interface {
	ReceiveProbe(from netip.AddrPort, m membership.Message)
	ReceivePeer(from membership.HostID, incarnation uint64, m peer.Message)
}

// transport implements control.Transport with a UDP socket for probes and the peer package for messages.
type transport struct {
	probeConn *net.UDPConn
	codec     *peer.ProbeCodec
	mu        sync.Mutex // guards codec
	pool      *peer.Pool
	identity  *peer.Identity
	listener  *peer.Listener
	receiver  receiver
	config    peer.ListenConfig
	log       *logrus.Entry
	now       func() time.Duration

	probesSent, probesReceived         atomic.Uint64
	probeBytesSent, probeBytesReceived atomic.Uint64
	rejected                           atomic.Uint64
}

func newTransport(s *settings.Settings, self membership.Member, log *logrus.Entry, clock monotonicClock) (*transport, error) {
	key, err := readProbeKey(s)
	if err != nil {
		return nil, err
	}
	var credentials *peer.Credentials
	if !s.Peers.Plain {
		if credentials, err = peer.LoadCredentials(s.Peers.TLS); err != nil {
			return nil, err
		}
	}
	t := &transport{
		codec:    peer.NewProbeCodec(key, self.Incarnation),
		identity: peer.NewIdentity(self.Name, self.DataCentre, self.Incarnation),
		log:      log,
		now:      clock,
	}
	t.pool = peer.NewPool(peer.PoolConfig{
		Identity: t.identity, Credentials: credentials, Local: s.Listen.Address, Refused: t.connectionFailed,
	})
	t.config = peer.ListenConfig{
		Address: netip.AddrPortFrom(s.Listen.Address, s.Listen.PeerPort), Identity: t.identity, Credentials: credentials,
		Handler: t.receivePeer, Refused: t.connectionFailed,
	}
	t.probeConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.Listen.Address, s.Listen.ProbePort)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return t, nil
}

// readProbeKey returns the key that authenticates probes, or nil when the settings name no key file.
func readProbeKey(s *settings.Settings) ([]byte, error) {
	if s.Peers.ProbeKeyFile == "" {
		return nil, nil
	}
	key, err := os.ReadFile(s.Peers.ProbeKeyFile)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, "peers.probe_key_file", "%v", err)
	}
	return []byte(strings.TrimSpace(string(key))), nil
}

// run passes received probes and peer messages to r until the context ends.
func (t *transport) run(ctx context.Context, r receiver) error {
	t.receiver = r
	listener, err := peer.Listen(t.config)
	if err != nil {
		return Error.Wrap(err)
	}
	t.listener = listener
	stop := context.AfterFunc(ctx, func() { _ = t.probeConn.Close() })
	defer stop()
	err = t.receiveProbes()
	if ctx.Err() != nil {
		err = nil
	}
	t.pool.Close()
	return combineErrors(err, listener.Close())
}

func (t *transport) receiveProbes() error {
	buffer := make([]byte, peer.MaxProbeBytes+1)
	for {
		n, from, err := t.probeConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return Error.Wrap(err)
		}
		t.probesReceived.Add(1)
		t.probeBytesReceived.Add(uint64(n))
		t.mu.Lock()
		m, err := t.codec.Decode(buffer[:n], t.now())
		t.mu.Unlock()
		if err != nil {
			t.rejected.Add(1)
			t.log.WithError(err).WithField("from", from).Debug("rejected a received probe")
			continue
		}
		t.receiver.ReceiveProbe(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), *m)
	}
}

func (t *transport) receivePeer(r peer.Received) {
	t.receiver.ReceivePeer(r.From, r.Incarnation, r.Message)
}

func (t *transport) connectionFailed(r peer.Refusal) {
	t.rejected.Add(1)
	t.log.WithError(r.Err).WithField("remote", r.Remote).WithField("code", uint16(r.Code)).Debug("peer connection failed")
}

// SendProbe implements control.Transport.
func (t *transport) SendProbe(to netip.AddrPort, m *membership.Message) {
	t.mu.Lock()
	b, err := t.codec.Encode(m)
	t.mu.Unlock()
	if err != nil {
		t.log.WithError(err).Warn("could not encode a probe")
		return
	}
	if n, err := t.probeConn.WriteToUDPAddrPort(b, to); err == nil {
		t.probesSent.Add(1)
		t.probeBytesSent.Add(uint64(n))
	}
}

// Send implements control.Transport.
func (t *transport) Send(to netip.AddrPort, m peer.Message) {
	if err := t.pool.Send(to, m); err != nil {
		t.log.WithError(err).WithField("to", to).WithField("type", m.Type().String()).Debug("peer message not sent")
	}
}

// SetIncarnation implements control.Transport.
func (t *transport) SetIncarnation(n uint64) { t.identity.SetIncarnation(n) }

// Counters implements control.Transport.
func (t *transport) Counters() map[string]uint64 {
	sent := t.pool.Traffic()
	counters := map[string]uint64{
		"probe-messages-sent": t.probesSent.Load(), "probe-messages-received": t.probesReceived.Load(),
		"probe-bytes-sent": t.probeBytesSent.Load(), "probe-bytes-received": t.probeBytesReceived.Load(),
		"peer-frames-sent": sent.FramesSent, "peer-bytes-sent": sent.BytesSent,
		"peer-refused": t.rejected.Load(),
	}
	if t.listener != nil {
		received := t.listener.Traffic()
		counters["peer-frames-received"], counters["peer-bytes-received"] = received.FramesReceived, received.BytesReceived
	}
	return counters
}
