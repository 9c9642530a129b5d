package dataplane

import (
	"bytes"
	"sync"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
)

// heldPerFlow bounds the datagrams of one waiting request.
const heldPerFlow = 4

// held keeps the packets of flows that wait for admission.
type held struct {
	mu      sync.Mutex
	limit   int
	packets int
	flows   map[flow.Key][]heldPacket
	// decided holds verdicts that came before the packet was kept.
	decided map[flow.Key]forward.Decision
	wake    chan struct{}
}

type heldPacket struct {
	inner  []byte
	packet forward.Packet
}

type heldResult uint8

const (
	heldKept    heldResult = iota
	heldDecided            // the decision came first
	heldFull               // nothing of the flow is kept
)

func newHeld(limit int) *held {
	return &held{
		limit: limit, flows: make(map[flow.Key][]heldPacket), decided: make(map[flow.Key]forward.Decision),
		wake: make(chan struct{}, 1),
	}
}

// put keeps a copy of a packet, or returns the decision that has already been made.
func (h *held) put(k flow.Key, inner []byte, p *forward.Packet) (forward.Decision, heldResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d, found := h.decided[k]; found {
		delete(h.decided, k)
		return d, heldDecided
	}
	have := h.flows[k]
	if len(have) > 0 && (len(have) >= heldPerFlow || h.packets >= h.limit) {
		return forward.Decision{}, heldKept // the first packet is kept; UDP may lose others
	}
	if h.packets >= h.limit {
		return forward.Decision{}, heldFull
	}
	h.packets++
	h.flows[k] = append(have, heldPacket{inner: bytes.Clone(inner), packet: *p})
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return forward.Decision{}, heldKept
}

// take returns the packets of a flow that has been decided about. Without packets it keeps the decision for put.
func (h *held) take(k flow.Key, d forward.Decision) []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	have, found := h.flows[k]
	if !found {
		if len(h.decided) < h.limit {
			h.decided[k] = d
		}
		return nil
	}
	delete(h.flows, k)
	h.packets -= len(have)
	return have
}

// empty reports whether nothing is kept.
func (h *held) empty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.packets == 0
}

// forget drops decisions that no packet came for, and packets of flows that do not wait any more.
func (h *held) forget(waiting func(flow.Key) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.decided)
	for k, have := range h.flows {
		if !waiting(k) {
			delete(h.flows, k)
			h.packets -= len(have)
		}
	}
}
