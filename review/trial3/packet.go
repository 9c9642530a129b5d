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
	maxPayload  = 1200
)

// packet is a packet between a client and a backend.
type packet struct {
	src, dst       netip.AddrPort
	flags          byte
	seq, ack, echo uint32
	sum            uint32
	valid          bool // the sum is that of the sender
	payload        []byte
}

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

func decodePacket(b []byte) (packet, bool) {
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
	p.valid = p.sum == keyedSum(b)
	return p, true
}

// keyedSum covers all fields but echo, pad and the bounced flag. It is never 0, which marks a reset of the system.
func keyedSum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[22] &^= flagBounced
	c[23] = 0
	clear(c[24:32])
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the clients and backends"))
	_, _ = h.Write(c)
	return h.Sum32() | 1
}
