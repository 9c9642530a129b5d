package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	backendSlots = 2
	backendQueue = 8
	answerBytes  = 900
	firstResend  = 200 * time.Millisecond
	lastResend   = 1600 * time.Millisecond
	maxResends   = 8
)

type flowKey struct{ client, endpoint netip.AddrPort }

// backend serves requests over flows: it works on backendSlots of them at a time, queues some and rejects the others.
type backend struct {
	name       string
	id         uint64
	service    string
	zone       string
	address    netip.AddrPort
	clientPort uint16
	conn       *net.UDPConn
	record     *recorder
	born       int64
	sequence   int

	mu    sync.Mutex
	flows map[flowKey]*backendFlow
	busy  int
	queue []job
}

type job struct {
	key  flowKey
	text string
}

type backendFlow struct {
	echo     uint32
	open     bool
	expected uint32 // next byte of the client
	next     uint32 // next byte of the backend
	acked    uint32
	seen     int // data packets since the last one that was acknowledged
	answer   []byte
	answerAt uint32
	ended    bool
}

func startBackend(number int, service, zone string, address netip.AddrPort, clientPort uint16, r *recorder) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	id := uint64(0x5a0000000 + number)
	b := &backend{
		name: fmt.Sprintf("i-%x", id), id: id, service: service, zone: zone, address: address, clientPort: clientPort, conn: conn,
		record: r, born: time.Now().UnixMilli(), flows: map[flowKey]*backendFlow{},
	}
	go b.run()
	return b, nil
}

// entry is what the backend writes to the store.
func (b *backend) entry() map[string]any {
	b.sequence++
	return map[string]any{
		"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1", "capacity": backendSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence_number": b.sequence, "born": b.born,
	}
}

func (b *backend) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < prefixBytes {
			continue
		}
		p, ok := decodePacket(buffer[prefixBytes:n])
		if id := binary.BigEndian.Uint64(buffer); !ok || id != 0 && id != b.id {
			continue
		}
		if !p.valid {
			b.record.broken("UNASKED: %s got a packet that its sender did not write", b.name)
			continue
		}
		b.mu.Lock()
		b.receive(&p)
		b.mu.Unlock()
	}
}

func (b *backend) receive(p *packet) {
	key := flowKey{p.src, p.dst}
	f := b.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &backendFlow{expected: p.seq + 1, next: rand.Uint32()}
			f.acked = f.next
			b.flows[key] = f
		}
		f.echo = p.echo
		if !f.open {
			b.send(key, f, flagSYN|flagACK, f.next-1, nil)
		}
		return
	case p.flags&flagRST != 0:
		delete(b.flows, key)
		return
	case f == nil:
		b.send(key, &backendFlow{echo: p.echo, expected: p.seq}, flagRST, p.ack, nil)
		return
	}
	f.echo = p.echo
	if !f.open {
		if p.ack != f.next {
			return
		}
		f.open = true
		b.record.opened(key, b)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	switch {
	case len(p.payload) > 0 && p.seq == f.expected && !f.ended:
		f.expected += uint32(len(p.payload))
		f.seen++
		b.take(job{key, string(p.payload)})
	case len(p.payload) > 0:
		f.seen = 2
	}
	if f.seen >= 2 {
		f.seen = 0
		b.send(key, f, flagACK, f.next, nil)
	}
	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.payload)) == f.expected {
		if !f.ended {
			f.expected, f.ended = f.expected+1, true
			b.record.closed(key, b)
			b.send(key, f, flagFIN|flagACK, f.next, nil)
			f.next++
			time.AfterFunc(10*time.Second, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				delete(b.flows, key)
			})
			return
		}
	}
	if f.ended {
		b.send(key, f, flagACK, f.next, nil)
	}
}

// take starts the work on a request, queues it, or rejects it.
func (b *backend) take(j job) {
	switch {
	case b.busy < backendSlots:
		b.work(j)
	case len(b.queue) < backendQueue:
		b.queue = append(b.queue, j)
	default:
		b.answer(j, "503 not executed")
	}
}

// work runs a request, whose text is "ID MILLISECONDS".
func (b *backend) work(j job) {
	b.busy++
	id, ms, _ := strings.Cut(j.text, " ")
	n, _ := strconv.Atoi(strings.TrimSpace(ms))
	b.record.ran(id, j.key, b)
	time.AfterFunc(time.Duration(n)*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.answer(j, "200 "+id)
		b.busy--
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			b.work(next)
		}
	})
}

func (b *backend) answer(j job, text string) {
	f := b.flows[j.key]
	if f == nil || f.ended {
		return
	}
	body := make([]byte, answerBytes)
	copy(body, text+"\n")
	f.answer, f.answerAt, f.seen = body, f.next, 0
	f.next += uint32(len(body))
	b.resend(j.key, f, f.next, firstResend, 0)
}

// resend sends the answer until the client has acknowledged it.
func (b *backend) resend(key flowKey, f *backendFlow, end uint32, wait time.Duration, copies int) {
	if b.flows[key] != f || f.ended || int32(f.acked-end) >= 0 || f.next != end || copies > maxResends {
		return
	}
	b.send(key, f, flagACK, f.answerAt, f.answer)
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.resend(key, f, end, min(2*wait, lastResend), copies+1)
	})
}

func (b *backend) send(key flowKey, f *backendFlow, flags byte, seq uint32, payload []byte) {
	p := packet{src: key.endpoint, dst: key.client, flags: flags, seq: seq, ack: f.expected, echo: f.echo, payload: payload}
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.client.Addr(), b.clientPort))
}
