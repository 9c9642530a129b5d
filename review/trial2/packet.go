//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagACK     = 1
	flagFIN     = 4
	flagRST     = 16
	flagBounced = 32
	flagSYN     = 64
)

const (
	headerBytes = 32
	prefixBytes = 8
	maxDatagram = prefixBytes + headerBytes + 1200
)

// packet is one packet of a flow.
type packet struct {
	src, dst  netip.AddrPort
	flags     byte
	seq, ack  uint32
	echo      uint32
	sum       uint32
	payload   []byte
	soundSum  bool // the keyed sum is that of an end of the flow
	byBalance bool // a reset of the system's own: no data and sum 0
}

// encode returns the bytes of the packet with its keyed sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.payload))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[0:], src[:])
	binary.BigEndian.PutUint16(b[4:], p.dst.Port())
	binary.BigEndian.PutUint16(b[6:], p.src.Port())
	copy(b[8:], dst[:])
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.payload)))
	binary.BigEndian.PutUint32(b[14:], p.seq)
	binary.BigEndian.PutUint32(b[18:], p.ack)
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[24:], p.echo)
	b = append(b, p.payload...)
	binary.BigEndian.PutUint32(b[28:], keyedSum(b))
	return b
}

// decode parses a packet. It returns false when the length is wrong.
func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:])), binary.BigEndian.Uint16(b[6:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:])), binary.BigEndian.Uint16(b[4:])),
		flags: b[22], seq: binary.BigEndian.Uint32(b[14:]), ack: binary.BigEndian.Uint32(b[18:]),
		echo: binary.BigEndian.Uint32(b[24:]), sum: binary.BigEndian.Uint32(b[28:]),
		payload: append([]byte(nil), b[headerBytes:]...),
	}
	p.soundSum = p.sum == keyedSum(b)
	p.byBalance = p.flags&flagRST != 0 && p.sum == 0 && len(p.payload) == 0
	return p, true
}

// keyedSum covers all fields but echo, pad and BOUNCED. It is never 0.
func keyedSum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[22] &^= flagBounced
	c[23] = 0
	clear(c[24:32])
	h := fnv.New64a()
	_, _ = h.Write([]byte("key of the two ends"))
	_, _ = h.Write(c)
	return uint32(h.Sum64()>>16) | 1
}
