// Package flow defines the identity and state of flows and a flow table of fixed capacity.
//
// The package does no I/O. Times are milliseconds on a monotonic clock that the caller passes in.
package flow

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Protocol is the IP protocol number of a flow.
type Protocol uint8

// Supported protocols.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the lower-case protocol name that bundles use.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return strconv.Itoa(int(p))
}

// EndpointID identifies one address, port and protocol of one service. It is a hash, so that every host
// computes the same ID. The hash covers the service name, so that an address that moves from one service
// to another gets a new ID.
type EndpointID uint64

// TargetID identifies a target of one service in one data centre.
type TargetID uint64

// ServiceID identifies a service by name.
type ServiceID uint64

// NewServiceID returns the ID of the service with a name.
func NewServiceID(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// NewEndpointID returns the ID of an endpoint of the named service.
func NewEndpointID(service string, protocol Protocol, endpoint netip.AddrPort) EndpointID {
	return EndpointID(xxhash.Sum64String(service + "|" + protocol.String() + "|" + endpoint.String()))
}

// NewTargetID returns the ID of the target of the named service at address in a data centre.
func NewTargetID(service, dataCentre string, address netip.Addr) TargetID {
	return TargetID(xxhash.Sum64String(service + "|" + dataCentre + "|" + address.String()))
}

// Key identifies a flow by the caller's address and port and the endpoint that the caller sends to. IPv4
// addresses are stored as IPv4-mapped IPv6 addresses. The endpoint's ID covers service and protocol, so
// keys of different services are never equal.
type Key struct {
	Caller     [16]byte
	Endpoint   EndpointID
	CallerPort uint16
}

// KeyLength is the length in bytes of the encoded form of a Key.
const KeyLength = 26

// NewKey returns the key of the flow from caller to endpoint.
func NewKey(caller netip.AddrPort, endpoint EndpointID) Key {
	k := Key{CallerPort: caller.Port(), Endpoint: endpoint}
	a := caller.Addr().As16()
	binary.NativeEndian.PutUint64(k.Caller[0:], binary.NativeEndian.Uint64(a[0:]))
	binary.NativeEndian.PutUint64(k.Caller[8:], binary.NativeEndian.Uint64(a[8:]))
	return k
}

// AppendTo appends the encoded key, KeyLength bytes in network byte order, to b.
func (k *Key) AppendTo(b []byte) []byte {
	b = append(b, k.Caller[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Endpoint))
	return binary.BigEndian.AppendUint16(b, k.CallerPort)
}

// DecodeKey decodes a key from the start of b. It reports false when b is shorter than KeyLength.
func DecodeKey(b []byte) (Key, bool) {
	if len(b) < KeyLength {
		return Key{}, false
	}
	var k Key
	copy(k.Caller[:], b)
	k.Endpoint = EndpointID(binary.BigEndian.Uint64(b[16:]))
	k.CallerPort = binary.BigEndian.Uint16(b[24:])
	return k, true
}

// Hash returns a 64-bit hash of the key that is the same on every host.
func (k *Key) Hash() uint64 {
	// The loads are as wide as the stores in NewKey; wider loads would wait until those stores are complete.
	var b [KeyLength]byte
	binary.NativeEndian.PutUint64(b[0:], binary.NativeEndian.Uint64(k.Caller[0:]))
	binary.NativeEndian.PutUint64(b[8:], binary.NativeEndian.Uint64(k.Caller[8:]))
	binary.BigEndian.PutUint64(b[16:], uint64(k.Endpoint))
	binary.BigEndian.PutUint16(b[24:], k.CallerPort)
	return xxhash.Sum64(b[:])
}

// CallerAddrPort returns the caller's address, with IPv4-mapped addresses unmapped, and port.
func (k *Key) CallerAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.CallerPort)
}

// Mix combines two 64-bit hashes into one. It is the score function of rendezvous hashing: with the finalizer
// of SplitMix64 every input bit affects the whole result.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
