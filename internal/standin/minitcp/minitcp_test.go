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
	clientAddr = netip.MustParseAddrPort("10.0.0.1:1024")
	serverAddr = netip.MustParseAddrPort("192.0.2.1:80")
)

// network connects two stacks with loss, duplication and reordering, on a simulated clock.
type network struct {
	client, server *Stack
	now            time.Duration
	random         *rand.Rand
	loss           float64
	queue          []delayedPacket
	partitioned    bool
}

type delayedPacket struct {
	dueAt  time.Duration
	packet wire.Packet
}

func newNetwork(seed uint64, loss float64, accept func(*wire.Packet) (Handler, Verdict)) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, 0)), loss: loss}
	n.client = NewStack(Config{Send: n.send, Random: rand.New(rand.NewPCG(seed, 1))})
	n.server = NewStack(Config{Send: n.send, Random: rand.New(rand.NewPCG(seed, 2)), Accept: accept})
	return n
}

func (n *network) send(p *wire.Packet) {
	if n.partitioned || n.random.Float64() < n.loss {
		return
	}
	copied := *p
	copied.Payload = bytes.Clone(p.Payload)
	delay := time.Duration(1+n.random.IntN(5)) * time.Millisecond
	n.queue = append(n.queue, delayedPacket{n.now + delay, copied})
	if n.random.Float64() < n.loss {
		n.queue = append(n.queue, delayedPacket{n.now + 2*delay, copied})
	}
}

// run advances the simulated clock in steps of a millisecond until done returns true or the limit has passed.
func (n *network) run(limit time.Duration, done func() bool) {
	for end := n.now + limit; n.now < end && !done(); n.now += time.Millisecond {
		queued := n.queue
		n.queue = nil
		for _, f := range queued {
			if f.dueAt > n.now {
				n.queue = append(n.queue, f)
				continue
			}
			if f.packet.Dst == serverAddr {
				n.server.Input(n.now, &f.packet)
			} else {
				n.client.Input(n.now, &f.packet)
			}
		}
		n.client.Advance(n.now)
		n.server.Advance(n.now)
	}
}

// recorder is a Handler that records the events of one end of a connection.
type recorder struct {
	opened, peerClosed bool
	received           []byte
	reasons            []Reason
	echo               bool
}

func (p *recorder) Opened(*Conn) { p.opened = true }

func (p *recorder) Received(c *Conn, data []byte) {
	p.received = append(p.received, data...)
	if p.echo {
		c.Write(data)
	}
}

func (p *recorder) PeerClosed(c *Conn) { p.peerClosed = true; c.Close() }

func (p *recorder) Closed(_ *Conn, r Reason) { p.reasons = append(p.reasons, r) }

// Guards against bytes that are lost, duplicated or out of order when the network loses, duplicates and reorders packets.
func TestTransfer(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			const seed = 7
			server, client := &recorder{echo: true}, &recorder{}
			n := newNetwork(seed, loss, func(*wire.Packet) (Handler, Verdict) { return server, Accepted })
			data := make([]byte, 100_000)
			for i := range data {
				data[i] = byte(n.random.Uint32())
			}
			var c *Conn
			n.client.Do(0, func() { c = n.client.Dial(clientAddr, serverAddr, client); c.Write(data) })
			n.run(10*time.Minute, func() bool { return len(client.received) >= len(data) })
			n.client.Do(n.now, c.Close)
			n.run(time.Minute, func() bool { return n.client.Len() == 0 && n.server.Len() == 0 })
			if !bytes.Equal(client.received, data) {
				t.Fatalf("seed %d: received %d bytes that differ from the %d sent", seed, len(client.received), len(data))
			}
			for _, p := range []*recorder{client, server} {
				if len(p.reasons) != 1 || p.reasons[0] != Finished {
					t.Fatalf("seed %d: closed with reasons %v, want one finished", seed, p.reasons)
				}
			}
		})
	}
}

// Guards against connections that end with the wrong reason, which would hide broken flows.
func TestReasons(t *testing.T) {
	tests := []struct {
		name    string
		verdict Verdict
		action  func(n *network, c *Conn)
		want    Reason
	}{
		{"refused", Rejected, nil, Refused},
		{"no answer to SYN", Ignored, nil, TimedOut},
		{"reset", Accepted, func(n *network, c *Conn) { n.server.Conn(serverAddr, clientAddr).Abort() }, Reset},
		{"moved to a target that does not know it", Accepted, func(n *network, c *Conn) {
			n.server = NewStack(Config{Send: n.send})
			c.Write([]byte("x"))
		}, Reset},
		{"no acknowledgement", Accepted, func(n *network, c *Conn) { n.partitioned = true; c.Write([]byte("x")) }, TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &recorder{}
			n := newNetwork(1, 0, func(*wire.Packet) (Handler, Verdict) { return &recorder{}, tt.verdict })
			var c *Conn
			n.client.Do(0, func() { c = n.client.Dial(clientAddr, serverAddr, client) })
			if tt.action != nil {
				n.run(time.Second, func() bool { return client.opened })
				n.client.Do(n.now, func() { tt.action(n, c) })
			}
			n.run(2*time.Minute, func() bool { return len(client.reasons) > 0 })
			if len(client.reasons) != 1 || client.reasons[0] != tt.want {
				t.Fatalf("closed with reasons %v, want %v", client.reasons, tt.want)
			}
		})
	}
}

// Guards against a late reset of another connection that ends this one: its sequence number is outside the window.
func TestResetOutsideWindow(t *testing.T) {
	client := &recorder{}
	n := newNetwork(1, 0, func(*wire.Packet) (Handler, Verdict) { return &recorder{}, Accepted })
	var c *Conn
	n.client.Do(0, func() { c = n.client.Dial(clientAddr, serverAddr, client) })
	n.run(time.Second, func() bool { return client.opened })
	n.client.Input(n.now, &wire.Packet{Kind: wire.TCP, Src: serverAddr, Dst: clientAddr, Flags: wire.RST, Seq: c.receiveNext - 1})
	if len(client.reasons) != 0 {
		t.Fatalf("a reset outside the receive window closed the connection: %v", client.reasons)
	}
}
