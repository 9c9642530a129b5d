package minitcp

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

var (
	near = netip.MustParseAddrPort("10.0.0.1:1024")
	far  = netip.MustParseAddrPort("192.0.2.1:80")
)

// network connects two stacks with loss, duplication and reordering, on a simulated clock.
type network struct {
	client, server *Stack
	now            time.Duration
	random         *rand.Rand
	loss           float64
	queue          []flight
	cut            bool
}

type flight struct {
	at     time.Duration
	packet wire.Packet
}

func newNetwork(seed uint64, loss float64, accept func(*wire.Packet) (Handler, Verdict)) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, 0)), loss: loss}
	n.client = NewStack(Config{Send: n.send, Random: rand.New(rand.NewPCG(seed, 1))})
	n.server = NewStack(Config{Send: n.send, Random: rand.New(rand.NewPCG(seed, 2)), Accept: accept})
	return n
}

func (n *network) send(p *wire.Packet) {
	if n.cut || n.random.Float64() < n.loss {
		return
	}
	copied := *p
	copied.Payload = bytes.Clone(p.Payload)
	delay := time.Duration(1+n.random.IntN(5)) * time.Millisecond
	n.queue = append(n.queue, flight{n.now + delay, copied})
	if n.random.Float64() < n.loss {
		n.queue = append(n.queue, flight{n.now + 2*delay, copied})
	}
}

// run runs the network in steps of a millisecond until done or the limit.
func (n *network) run(limit time.Duration, done func() bool) {
	for end := n.now + limit; n.now < end && !done(); n.now += time.Millisecond {
		due := n.queue
		n.queue = nil
		for _, f := range due {
			if f.at > n.now {
				n.queue = append(n.queue, f)
				continue
			}
			if f.packet.Dst == far {
				n.server.Input(n.now, &f.packet)
			} else {
				n.client.Input(n.now, &f.packet)
			}
		}
		n.client.Advance(n.now)
		n.server.Advance(n.now)
	}
}

// peer records what happens to one end of a connection.
type peer struct {
	opened, peerClosed bool
	received           []byte
	reasons            []Reason
	echo               bool
}

func (p *peer) Opened(*Conn) { p.opened = true }

func (p *peer) Received(c *Conn, data []byte) {
	p.received = append(p.received, data...)
	if p.echo {
		c.Write(data)
	}
}

func (p *peer) PeerClosed(c *Conn) { p.peerClosed = true; c.Close() }

func (p *peer) Closed(_ *Conn, r Reason) { p.reasons = append(p.reasons, r) }

// Guards against bytes that are lost, doubled or out of order when the network loses, doubles and reorders packets.
func TestTransfer(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			const seed = 7
			server, client := &peer{echo: true}, &peer{}
			n := newNetwork(seed, loss, func(*wire.Packet) (Handler, Verdict) { return server, Accepted })
			data := make([]byte, 100_000)
			for i := range data {
				data[i] = byte(n.random.Uint32())
			}
			var c *Conn
			n.client.Do(0, func() { c = n.client.Dial(near, far, client); c.Write(data) })
			n.run(10*time.Minute, func() bool { return len(client.received) >= len(data) })
			n.client.Do(n.now, c.Close)
			n.run(time.Minute, func() bool { return n.client.Len() == 0 && n.server.Len() == 0 })
			if !bytes.Equal(client.received, data) {
				t.Fatalf("seed %d: received %d bytes that differ from the %d sent", seed, len(client.received), len(data))
			}
			for _, p := range []*peer{client, server} {
				if len(p.reasons) != 1 || p.reasons[0] != Finished {
					t.Fatalf("seed %d: reasons %v, want one finished", seed, p.reasons)
				}
			}
		})
	}
}

// Guards against ends of connections that are reported as something else, which would hide broken flows.
func TestReasons(t *testing.T) {
	tests := []struct {
		name    string
		verdict Verdict
		then    func(n *network, c *Conn)
		want    Reason
	}{
		{"refused", Rejected, nil, Refused},
		{"no answer to SYN", Ignored, nil, TimedOut},
		{"reset", Accepted, func(n *network, c *Conn) { n.server.Conn(far, near).Abort() }, Reset},
		{"moved to a target that does not know it", Accepted, func(n *network, c *Conn) {
			n.server = NewStack(Config{Send: n.send})
			c.Write([]byte("x"))
		}, Reset},
		{"silent", Accepted, func(n *network, c *Conn) { n.cut = true; c.Write([]byte("x")) }, TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &peer{}
			n := newNetwork(1, 0, func(*wire.Packet) (Handler, Verdict) { return &peer{}, tt.verdict })
			var c *Conn
			n.client.Do(0, func() { c = n.client.Dial(near, far, client) })
			if tt.then != nil {
				n.run(time.Second, func() bool { return client.opened })
				n.client.Do(n.now, func() { tt.then(n, c) })
			}
			n.run(2*time.Minute, func() bool { return len(client.reasons) > 0 })
			if len(client.reasons) != 1 || client.reasons[0] != tt.want {
				t.Fatalf("reasons %v, want %v", client.reasons, tt.want)
			}
		})
	}
}

// Guards against a late reset of another connection that ends this one.
func TestResetOutsideWindow(t *testing.T) {
	client := &peer{}
	n := newNetwork(1, 0, func(*wire.Packet) (Handler, Verdict) { return &peer{}, Accepted })
	var c *Conn
	n.client.Do(0, func() { c = n.client.Dial(near, far, client) })
	n.run(time.Second, func() bool { return client.opened })
	n.client.Input(n.now, &wire.Packet{Kind: wire.TCP, Src: far, Dst: near, Flags: wire.RST, Seq: c.receiveNext - 1})
	if len(client.reasons) != 0 {
		t.Fatalf("ended with %v", client.reasons)
	}
}
