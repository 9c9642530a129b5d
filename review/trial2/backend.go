//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flowKey names a flow by the ends that its packets show.
type flowKey struct{ client, route netip.AddrPort }

// backendFlow is a flow that a backend holds.
type backendFlow struct {
	echo      uint32
	clientSeq uint32 // next byte of the client
	seq       uint32 // next byte of the backend
	isn       uint32
	open      bool
	running   bool
	response  []byte
	respSeq   uint32
	lastUse   time.Time
	opened    time.Time
}

// backend is a stand-in for a server of the users.
type backend struct {
	w        *world
	name     string
	id       uint64
	service  string
	zone     string
	address  netip.AddrPort
	capacity int
	maxFlows int
	work     func() time.Duration
	born     int64
	conn     *net.UDPConn
	health   *http.Server

	mu       sync.Mutex
	state    string
	sequence int64
	flows    map[flowKey]*backendFlow
	busy     int
	queue    []func()
	full     int // opening packets that were left without an answer
	stopped  bool
	cut      bool      // no packet of a machine arrives
	cutEnd   time.Time // of the last cut
}

const heartbeat = 770 * time.Millisecond

func (w *world) startBackend(number int, service, zone string, work func() time.Duration) (*backend, error) {
	name := fmt.Sprintf("i-%08x", rand.Uint32())
	id, _ := strconv.ParseUint(strings.TrimPrefix(name, "i-"), 16, 64)
	b := &backend{
		w: w, name: name, id: id, service: service, zone: zone, address: w.addr(3, number, w.ports.backend), capacity: 3,
		maxFlows: w.maxConnections, work: work, born: time.Now().UnixMilli(), state: "ready", flows: map[flowKey]*backendFlow{},
	}
	var err error
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", b.address.String())
	if err != nil {
		return nil, err
	}
	b.health = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if b.currentState() != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = b.health.Serve(listener) }()
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	b.beat()
	go b.beats()
	go b.run()
	return b, nil
}

func (b *backend) currentState() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// entry returns what the backend says of itself in the store.
func (b *backend) entry() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return map[string]any{
		"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1", "capacity": b.capacity,
		"state": b.state, "cold_remaining_ms": 0, "sequence_number": b.sequence, "born": b.born,
	}
}

func (b *backend) key() string { return "servers/" + b.name }

func (b *backend) beat() {
	b.w.store.beat(b.key(), b.entry(), 3*heartbeat)
}

func (b *backend) beats() {
	for range time.Tick(heartbeat) {
		if b.isStopped() {
			return
		}
		b.beat()
	}
}

func (b *backend) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

func (b *backend) isCut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// setCut partitions the backend from all machines, or ends that.
func (b *backend) setCut(cut bool) {
	b.mu.Lock()
	b.cut, b.cutEnd = cut, time.Now()
	b.mu.Unlock()
	b.w.record.say("%s (%s) is cut off from all machines: %v", b.name, b.service, cut)
}

// disturbed reports whether a disruption on the backend's links lasts or has ended within stable_window_ms.
func (b *backend) disturbed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut || time.Since(b.cutEnd) < stableWindow
}

// drain reports that the backend is leaving. The store has accepted it on return.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
	b.w.record.line("backend %s (%s) reports draining, accepted by the store", b.name, b.service)
}

// leave ends the backend.
func (b *backend) leave() {
	b.mu.Lock()
	b.stopped = true
	b.flows = map[flowKey]*backendFlow{}
	b.mu.Unlock()
	_ = b.conn.Close()
	_ = b.health.Close()
	b.w.store.remove(b.key())
	b.w.record.line("backend %s (%s) has left", b.name, b.service)
}

// holds returns a copy of an open flow that the living backend holds.
func (b *backend) holds(k flowKey) (backendFlow, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[k]
	if f == nil || !f.open || b.stopped {
		return backendFlow{}, false
	}
	return *f, true
}

func (b *backend) openFlows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

func (b *backend) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < prefixBytes {
			b.w.record.broken("UNASKED", "%s received %d bytes", b.name, n)
			continue
		}
		if b.isCut() {
			continue
		}
		p, ok := decode(buffer[prefixBytes:n])
		if id := binary.BigEndian.Uint64(buffer); id != 0 && id != b.id {
			if ok { // the intended backend is another one: nothing is sent
				b.w.strayed(flowKey{p.src, p.dst}, b)
			}
			continue
		}
		b.w.arrived(flowKey{p.src, p.dst}, b)
		if !ok || !p.soundSum {
			b.w.record.broken("UNASKED", "%s received a packet that its sender did not write so", b.name)
			continue
		}
		b.receive(&p)
	}
}

func (b *backend) receive(p *packet) {
	k := flowKey{p.src, p.dst}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[k]
	switch {
	case p.flags&flagSYN != 0:
		b.receiveSYN(k, f, p)
	case f == nil:
		if p.flags&flagRST != 0 {
			return
		}
		reply := &backendFlow{echo: p.echo, clientSeq: p.seq + uint32(len(p.payload))}
		if p.flags&flagFIN != 0 {
			reply.clientSeq++
			b.send(k, reply, flagACK, p.ack, nil)
			return
		}
		if len(p.payload) > 0 {
			b.send(k, reply, flagRST, p.ack, nil)
		}
	case p.flags&flagRST != 0:
		delete(b.flows, k)
	case !f.open && p.ack != f.isn+1: // acknowledges another backend's answer
	default:
		b.receiveOnFlow(k, f, p)
	}
}

func (b *backend) receiveSYN(k flowKey, f *backendFlow, p *packet) {
	if f == nil {
		for key, old := range b.flows { // a flow that never opened is forgotten
			if !old.open && time.Since(old.lastUse) > 3*time.Second {
				delete(b.flows, key)
			}
		}
		if len(b.flows) >= b.maxFlows {
			b.full++
			return
		}
		f = &backendFlow{clientSeq: p.seq + 1, isn: rand.Uint32()}
		f.seq = f.isn + 1
		b.flows[k] = f
	}
	f.echo, f.lastUse = p.echo, time.Now()
	b.send(k, f, flagSYN|flagACK, f.isn, nil)
}

func (b *backend) receiveOnFlow(k flowKey, f *backendFlow, p *packet) {
	f.echo, f.lastUse = p.echo, time.Now()
	if !f.open {
		f.open, f.opened = true, time.Now()
		b.w.record.line("flow %v>%v opens at %s (%s)", k.client, k.route, b.name, b.service)
	}
	switch {
	case p.flags&flagFIN != 0:
		f.clientSeq = p.seq + uint32(len(p.payload)) + 1
		b.send(k, f, flagACK|flagFIN, f.seq, nil)
		delete(b.flows, k)
	case len(p.payload) == 0:
	case p.seq == f.clientSeq:
		f.clientSeq += uint32(len(p.payload))
		f.running = true
		b.start(func() { b.execute(k, string(p.payload)) })
	case f.response != nil && !f.running:
		b.send(k, f, flagACK, f.respSeq, f.response)
	}
}

// start begins a piece of work when one of the slots is free.
func (b *backend) start(job func()) {
	if b.busy >= b.capacity {
		b.queue = append(b.queue, job)
		return
	}
	b.busy++
	go job()
}

var requestID = regexp.MustCompile(`X-Request-Id: (\S+)`)

func (b *backend) execute(k flowKey, request string) {
	id := "?"
	if m := requestID.FindStringSubmatch(request); m != nil {
		id = m[1]
	}
	b.w.record.line("request %s on %v runs at %s (%s)", id, k.route, b.name, b.service)
	b.w.ran(id, k, b)
	time.Sleep(b.work())
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		go next()
	} else {
		b.busy--
	}
	f := b.flows[k]
	if f == nil || b.stopped {
		return
	}
	f.running = false
	f.response = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", b.name, id))
	f.respSeq = f.seq
	f.seq += uint32(len(f.response))
	flags := byte(flagACK)
	if b.state == "draining" { // closes each flow after its next response
		flags |= flagFIN
	}
	b.send(k, f, flags, f.respSeq, f.response)
}

// send sends a packet to the client directly.
func (b *backend) send(k flowKey, f *backendFlow, flags byte, seq uint32, payload []byte) {
	p := packet{src: k.route, dst: k.client, flags: flags, seq: seq, ack: f.clientSeq, echo: f.echo, payload: payload}
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(k.client.Addr(), b.w.ports.data))
}
