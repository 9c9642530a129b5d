package proxy

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagram = 65535
	// maxRateDelay is the longest time that the rate limit may delay a packet; one that would wait longer is dropped.
	maxRateDelay = 500 * time.Millisecond
	// sessionIdleTimeout is how long a UDP session is kept without packets from the receiver.
	sessionIdleTimeout = 5 * time.Minute
)

type udpSessions struct {
	mu       sync.Mutex
	bySender map[netip.AddrPort]*net.UDPConn
}

func (l *link) startUDP(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Listen))
	if err != nil {
		return err
	}
	sessions := &udpSessions{bySender: make(map[netip.AddrPort]*net.UDPConn)}
	context.AfterFunc(ctx, func() {
		_ = conn.Close()
		sessions.mu.Lock()
		defer sessions.mu.Unlock()
		for _, s := range sessions.bySender {
			_ = s.Close()
		}
	})
	go l.forwardUDP(conn, sessions)
	return nil
}

func (l *link) forwardUDP(conn *net.UDPConn, sessions *udpSessions) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		upstream, err := l.upstream(conn, sessions, from)
		if err != nil {
			continue
		}
		l.applyFaults(&l.sourceState(from.Addr()).forward, buffer[:n], func(b []byte) { _, _ = upstream.Write(b) })
	}
}

// upstream returns the socket that carries the packets of one sender.
func (l *link) upstream(conn *net.UDPConn, sessions *udpSessions, from netip.AddrPort) (*net.UDPConn, error) {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	if s := sessions.bySender[from]; s != nil {
		return s, nil
	}
	var local *net.UDPAddr
	if l.KeepSource {
		local = net.UDPAddrFromAddrPort(netip.AddrPortFrom(from.Addr(), 0))
	}
	s, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(l.Forward))
	if err != nil {
		return nil, err
	}
	sessions.bySender[from] = s
	go l.returnUDP(conn, sessions, s, from)
	return s, nil
}

func (l *link) returnUDP(conn *net.UDPConn, sessions *udpSessions, upstream *net.UDPConn, to netip.AddrPort) {
	defer func() {
		sessions.mu.Lock()
		defer sessions.mu.Unlock()
		_ = upstream.Close()
		delete(sessions.bySender, to)
	}()
	buffer := make([]byte, maxDatagram)
	for {
		_ = upstream.SetReadDeadline(time.Now().Add(sessionIdleTimeout))
		n, err := upstream.Read(buffer)
		if ne, ok := err.(net.Error); err != nil && (!ok || ne.Timeout()) {
			return
		}
		if err != nil { // the receiver is unreachable now, but may return
			if isClosed(err) {
				return
			}
			continue
		}
		l.applyFaults(&l.sourceState(to.Addr()).back, buffer[:n], func(b []byte) { _, _ = conn.WriteToUDPAddrPort(b, to) })
	}
}

// applyFaults sends a packet with the faults of its direction.
func (l *link) applyFaults(d *direction, b []byte, send func([]byte)) {
	f := d.faults.Load()
	if f.Cut || l.proxy.chance(f.Loss) {
		d.dropped.Add(1)
		return
	}
	wait := l.proxy.delay(f)
	if l.proxy.chance(f.Reorder) {
		wait += time.Duration(f.ReorderMS) * time.Millisecond
	}
	if limiter := d.limiter.Load(); limiter != nil {
		r := limiter.ReserveN(time.Now(), len(b))
		if r.Delay() > maxRateDelay {
			r.Cancel()
			d.dropped.Add(1)
			return
		}
		wait += r.Delay()
	}
	copies := 1
	if l.proxy.chance(f.Duplicate) {
		copies = 2
	}
	d.packets.Add(1)
	d.bytes.Add(uint64(len(b)))
	if wait > 0 {
		kept := bytes.Clone(b)
		time.AfterFunc(wait, func() { sendCopies(send, kept, copies) })
		return
	}
	sendCopies(send, b, copies)
}

func sendCopies(send func([]byte), b []byte, copies int) {
	for range copies {
		send(b)
	}
}
