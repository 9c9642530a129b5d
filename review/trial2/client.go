//go:build review

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

var (
	errRefused      = errors.New("refused by a reset")
	errNotOpened    = errors.New("not opened in 1.4 s")
	errSystemReset  = errors.New("reset by the system")
	errBackendReset = errors.New("reset by the backend")
	errDeadline     = errors.New("no answer before the deadline")
)

// client is a stand-in for a client machine with one address.
type client struct {
	w    *world
	name string
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is the client's end of a flow.
type flow struct {
	c        *client
	src, dst netip.AddrPort
	hop      func() netip.AddrPort // where the routers send the next packet
	in       chan packet
	echo     uint32
	seq, ack uint32
	opened   time.Time
	lastUse  time.Time
	closed   bool
}

func (w *world) startClient(number int, zone string) (*client, error) {
	address := w.addr(2, number, w.ports.data)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: fmt.Sprintf("client-%d", number), zone: zone, addr: address.Addr(), conn: conn, port: 1024, flows: map[uint16]*flow{}}
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
		p, ok := decode(buffer[:n])
		if !ok || !p.soundSum && !p.byBalance {
			c.w.record.broken("MIXED", "%s received a packet that its sender did not write so", c.name)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.dst != p.src {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// open opens a flow. hop is called for each packet; nil means the routers of the client's zone.
func (c *client) open(route netip.AddrPort, hop func() netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, src: netip.AddrPortFrom(c.addr, c.port), dst: route, in: make(chan packet, 16), seq: rand.Uint32()}
	f.hop = hop
	if hop == nil {
		f.hop = func() netip.AddrPort { return c.w.nextHop(c.zone, f.src, f.dst) }
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	deadline := start.Add(1400 * time.Millisecond)
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(flagSYN, uint32(copies), nil)
		p, ok := f.await(time.Until(minTime(start.Add(until), deadline)), func(p *packet) bool { return p.flags&(flagSYN|flagRST) != 0 })
		if !ok {
			continue
		}
		if p.flags&flagRST != 0 {
			f.forget()
			return nil, errRefused
		}
		f.seq, f.ack, f.echo = f.seq+1, p.seq+1, p.echo
		f.opened, f.lastUse = time.Now(), time.Now()
		if !c.w.requestEndsHandshake {
			f.send(flagACK, f.ack, nil)
		}
		return f, nil
	}
	f.forget()
	return nil, errNotOpened
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// request sends a request and waits for its answer.
func (f *flow) request(deadline time.Duration) (id string, err error) {
	id = f.c.w.newRequest(f.dst)
	text := []byte(fmt.Sprintf("GET / HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", f.dst.Addr(), id))
	f.c.w.record.line("%s sends request %s on flow %v>%v", f.c.name, id, f.src, f.dst)
	defer func() {
		if err != nil {
			f.c.w.record.line("request %s ends: %v", id, err)
		} else {
			f.c.w.record.line("request %s is answered", id)
		}
	}()
	end := time.Now().Add(deadline)
	for wait := 200 * time.Millisecond; time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(flagACK, f.ack, text)
		p, ok := f.await(min(wait, time.Until(end)), func(p *packet) bool {
			return p.flags&flagRST != 0 || p.flags&flagSYN == 0 && len(p.payload) > 0 && p.seq == f.ack
		})
		if !ok {
			continue
		}
		if p.flags&flagRST != 0 {
			f.forget()
			if !p.byBalance {
				return id, errBackendReset
			}
			return id, errSystemReset
		}
		f.seq += uint32(len(text))
		f.ack += uint32(len(p.payload))
		f.echo, f.lastUse = p.echo, time.Now()
		body := string(p.payload)
		if !strings.Contains(body, "X-Request-Id: "+id+"\r\n") || !strings.Contains(body, "X-Server-Signature: ") {
			f.c.w.record.broken("MIXED", "request %s got another answer: %q", id, body)
		}
		if p.flags&flagFIN != 0 { // the backend closes the flow
			f.ack++
			f.send(flagACK|flagFIN, f.ack, nil)
			f.forget()
			return id, nil
		}
		f.send(flagACK, f.ack, nil)
		return id, nil
	}
	return id, errDeadline
}

// close ends the flow in order.
func (f *flow) close() {
	if f.closed {
		return
	}
	f.send(flagACK|flagFIN, f.ack, nil)
	f.forget()
}

func (f *flow) forget() {
	f.closed = true
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.src.Port())
}

// await returns the next packet that fits. It judges each reset of the system's own.
func (f *flow) await(wait time.Duration, fits func(*packet) bool) (packet, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			if p.byBalance && !f.opened.IsZero() && !f.acceptsReset(&p) {
				continue
			}
			if p.byBalance && !f.opened.IsZero() {
				f.c.w.judgeReset(f)
			}
			if fits(&p) {
				return p, true
			}
		case <-timer.C:
			return packet{}, false
		}
	}
}

// acceptsReset reports whether a reset of the system's own is valid on the open flow.
func (f *flow) acceptsReset(p *packet) bool {
	d := int32(p.seq - f.ack)
	return d >= -76800 && d <= 76800
}

func (f *flow) send(flags byte, ack uint32, payload []byte) {
	p := packet{src: f.src, dst: f.dst, flags: flags, seq: f.seq, ack: ack, echo: f.echo, payload: payload}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), f.hop())
}
