package proxy

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	copyBuffer  = 32 << 10
	dialTimeout = 5 * time.Second
	// cutPollInterval is the interval at which a connection checks whether a cut has ended or ResetConns is set.
	cutPollInterval = 20 * time.Millisecond
	// readPollInterval bounds how long a blocked read takes to detect ResetConns.
	readPollInterval = 200 * time.Millisecond
	// retransmissionDelay is the shortest time after which common kernels retransmit a lost segment.
	retransmissionDelay = 200 * time.Millisecond
	// maxQueuedChunks bounds the data that is delayed on one connection.
	maxQueuedChunks = 256
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func (l *link) startTCP(ctx context.Context) error {
	listener, err := net.Listen("tcp", l.Listen.String())
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serveTCP(ctx, conn)
		}
	}()
	return nil
}

func (l *link) serveTCP(ctx context.Context, client net.Conn) {
	defer client.Close()
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	p := l.sourceState(source)
	if !waitWhileCut(ctx, &p.forward) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if l.KeepSource {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	server, err := dialer.DialContext(ctx, "tcp", l.Forward.String())
	if err != nil {
		return
	}
	defer server.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = client.Close(); _ = server.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	opened := p.silenced.Load()
	silent := func() bool { return p.silenced.Load() != opened }
	go func() { l.copyTCP(ctx, &p.forward, server, client, silent); done <- struct{}{} }()
	go func() { l.copyTCP(ctx, &p.back, client, server, silent); done <- struct{}{} }()
	<-done
	// The second direction may still have bytes to send after one side has closed.
	select {
	case <-done:
	case <-time.After(dialTimeout):
	}
}

// waitWhileCut waits while the direction is cut. It returns false if the connection is to be closed.
func waitWhileCut(ctx context.Context, d *direction) bool {
	for {
		f := d.faults.Load()
		if f.ResetConns || ctx.Err() != nil {
			return false
		}
		if !f.Cut {
			return true
		}
		time.Sleep(cutPollInterval)
	}
}

type chunk struct {
	dueAt time.Time
	data  []byte
}

// copyTCP copies the bytes of one direction in order. Each chunk is written after its delay, and discarded while the connection
// is silent.
func (l *link) copyTCP(ctx context.Context, d *direction, to, from net.Conn, silent func() bool) {
	queue := make(chan chunk, maxQueuedChunks)
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.writeChunks(ctx, d, to, queue)
	}()
	buffer := make([]byte, copyBuffer)
	for ctx.Err() == nil && !d.faults.Load().ResetConns {
		_ = from.SetReadDeadline(time.Now().Add(readPollInterval))
		n, err := from.Read(buffer)
		if n > 0 && !silent() {
			wait := l.proxy.delay(d.faults.Load())
			if l.proxy.chance(d.faults.Load().Loss) {
				wait += retransmissionDelay
			}
			if limiter := d.limiter.Load(); limiter != nil {
				wait += limiter.ReserveN(time.Now(), n).Delay()
			}
			select {
			case queue <- chunk{time.Now().Add(wait), append([]byte(nil), buffer[:n]...)}:
			case <-written:
				return
			}
		}
		if ne, ok := err.(net.Error); err != nil && (!ok || !ne.Timeout()) {
			break
		}
	}
	close(queue)
	<-written
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (l *link) writeChunks(ctx context.Context, d *direction, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.dueAt))
		if !waitWhileCut(ctx, d) {
			_ = to.Close()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
		d.packets.Add(1)
		d.bytes.Add(uint64(len(c.data)))
	}
}
