package forward

import (
	"encoding/binary"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
)

// endpointKey holds an endpoint's address and protocol as integers, which are fast to hash and compare.
type endpointKey struct {
	high, low uint64 // address as IPv6 or IPv4-mapped IPv6
	rest      uint32 // port and protocol
}

func newEndpointKey(p flow.Protocol, a netip.AddrPort) endpointKey {
	b := a.Addr().As16()
	return endpointKey{
		high: binary.BigEndian.Uint64(b[:8]), low: binary.BigEndian.Uint64(b[8:]),
		rest: uint32(a.Port())<<8 | uint32(p),
	}
}

func (k *endpointKey) hash() uint64 { return flow.Mix(k.high^k.low, uint64(k.rest)+1) }

// index is an open-addressing hash table that is filled once and then only read. Every packet looks up its endpoint and
// its target, and a built-in map takes several times as long for this.
type index[K comparable, V any] struct {
	mask  uint64
	slots []indexSlot[K, V]
}

type indexSlot[K comparable, V any] struct {
	key   K
	value *V // nil when the slot is empty
}

// newIndex returns an index for n keys, at most half full.
func newIndex[K comparable, V any](n int) index[K, V] {
	size := uint64(4)
	for size < 2*uint64(n) {
		size *= 2
	}
	return index[K, V]{mask: size - 1, slots: make([]indexSlot[K, V], size)}
}

// put adds a key that is not in the index.
func (x *index[K, V]) put(hash uint64, k K, v *V) {
	i := hash & x.mask
	for x.slots[i].value != nil {
		i = (i + 1) & x.mask
	}
	x.slots[i] = indexSlot[K, V]{k, v}
}

// get returns the value of a key, or nil.
func (x *index[K, V]) get(hash uint64, k K) *V {
	if len(x.slots) == 0 {
		return nil
	}
	for i := hash & x.mask; ; i = (i + 1) & x.mask {
		s := &x.slots[i]
		if s.value == nil || s.key == k {
			return s.value
		}
	}
}
