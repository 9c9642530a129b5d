package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	openTimeout = 1400 * time.Millisecond
	ackDelay    = 40 * time.Millisecond
)

var (
	errRefused = errors.New("refused")
	errReset   = errors.New("reset by the system")
	errBackend = errors.New("reset by the backend")
	errLate    = errors.New("no answer before the deadline")
)

// client is a machine with clients. All of its flows use one socket.
type client struct {
	address netip.Addr
	conn    *net.UDPConn
	route   func(netip.AddrPort) netip.AddrPort // the node that the routers select for a flow
	record  *recorder

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func startClient(address netip.AddrPort, route func(netip.AddrPort) netip.AddrPort, r *recorder) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{address: address.Addr(), conn: conn, route: route, record: r, port: 1024, flows: map[uint16]chan packet{}}
	go c.run()
	return c, nil
}

func (c *client) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decodePacket(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if flow != nil {
			select {
			case flow <- p:
			default:
			}
		}
	}
}

// session is one flow of a client.
type session struct {
	c        *client
	key      flowKey
	received chan packet
	seq, ack uint32
	echo     uint32
	start    uint32
	unacked  *time.Timer
}

func (c *client) open(endpoint netip.AddrPort) (*session, error) {
	c.mu.Lock()
	c.port++
	s := &session{c: c, key: flowKey{netip.AddrPortFrom(c.address, c.port), endpoint}, received: make(chan packet, 64), start: rand.Uint32()}
	c.flows[c.port] = s.received
	c.mu.Unlock()
	s.seq = s.start
	begun := time.Now()
	for copies, wait := uint32(0), []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}; copies < 3; copies++ {
		s.send(flagSYN, s.seq, copies, nil)
		for deadline := time.Now().Add(wait[copies]); ; {
			p, ok := s.await(deadline)
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				s.forget()
				return nil, errRefused
			}
			if p.flags&flagSYN != 0 {
				s.seq, s.ack, s.echo = s.seq+1, p.seq+1, p.echo
				return s, nil
			}
		}
		if time.Since(begun) >= openTimeout {
			break
		}
	}
	s.forget()
	return nil, errLate
}

// request sends a request of one packet and returns the first line of the answer.
func (s *session) request(text string, deadline time.Time) (string, error) {
	payload := make([]byte, 200)
	copy(payload, text)
	for i := len(text); i < len(payload); i++ {
		payload[i] = ' '
	}
	if s.unacked != nil {
		s.unacked.Stop()
	}
	end, acked := s.seq+uint32(len(payload)), false
	s.send(flagACK, s.seq, s.ack, payload)
	for wait := firstResend; ; wait = min(2*wait, lastResend) {
		next := time.Now().Add(wait)
		if next.After(deadline) || acked {
			next = deadline
		}
		for {
			p, ok := s.await(next)
			if !ok {
				break
			}
			switch {
			case p.flags&flagRST != 0 && p.sum == 0:
				s.forget()
				return "", errReset
			case p.flags&flagRST != 0:
				s.forget()
				return "", errBackend
			case p.flags&flagSYN != 0:
				continue
			}
			s.echo = p.echo
			if int32(p.ack-end) >= 0 && !acked {
				acked, next = true, deadline
			}
			if len(p.payload) > 0 && p.seq == s.ack {
				s.seq, s.ack = end, p.seq+uint32(len(p.payload))
				late := packet{src: s.key.client, dst: s.key.endpoint, flags: flagACK, seq: s.seq, ack: s.ack, echo: s.echo}
				s.unacked = time.AfterFunc(ackDelay, func() { s.c.write(&late) })
				line, _, _ := strings.Cut(string(p.payload), "\n")
				return line, nil
			}
			if len(p.payload) > 0 {
				s.send(flagACK, s.seq, s.ack, nil) // a copy of an earlier answer
			}
		}
		if !time.Now().Before(deadline) {
			s.close()
			return "", errLate
		}
		s.send(flagACK, s.seq, s.ack, payload)
	}
}

func (s *session) close() {
	s.send(flagFIN|flagACK, s.seq, s.ack, nil)
	s.forget()
}

func (s *session) forget() {
	if s.unacked != nil {
		s.unacked.Stop()
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	delete(s.c.flows, s.key.client.Port())
}

func (s *session) await(until time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-s.received:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

func (s *session) send(flags byte, seq, ack uint32, payload []byte) {
	s.c.write(&packet{src: s.key.client, dst: s.key.endpoint, flags: flags, seq: seq, ack: ack, echo: s.echo, payload: payload})
}

func (c *client) write(p *packet) { _, _ = c.conn.WriteToUDPAddrPort(p.encode(), c.route(p.src)) }

// use keeps a flow open for many requests, with pauses between them, until end.
func (c *client) use(number int, endpoint netip.AddrPort, end time.Time, work func() int, pause func() time.Duration, limit time.Duration) {
	var s *session
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(pause())
		if s == nil {
			var err error
			if s, err = c.open(endpoint); err != nil {
				c.record.note("client %s flow %d not opened: %v", c.address, number, err)
				s = nil
				continue
			}
		}
		id, ms := fmt.Sprintf("q-%s-%d-%d", c.address, number, n), work()
		c.record.sent(id, s.key, ms)
		line, err := s.request(fmt.Sprintf("%s %d", id, ms), time.Now().Add(limit))
		c.record.answered(id, s.key, line, err)
		if err != nil {
			s = nil
		}
	}
	if s != nil {
		s.close()
	}
}
