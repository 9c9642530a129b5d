package dataplane

import (
	"bytes"
	"sync"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
)

// maxHeldPerFlow is the maximum number of packets held for one flow, such as the datagrams of one request.
const maxHeldPerFlow = 4

// holdBuffer holds the packets of flows that wait for admission.
type holdBuffer struct {
	mu      sync.Mutex
	limit   int // maximum number of packets, and of early decisions
	packets int
	flows   map[flow.Key][]heldPacket
	// decided holds decisions that were made before the packet was put.
	decided map[flow.Key]forward.Decision
	wake    chan struct{} // receives a value when a packet was put
}

type heldPacket struct {
	inner  []byte
	packet forward.Packet
}

type holdResult uint8

const (
	holdKept    holdResult = iota
	holdDecided            // the decision was made before put
	holdFull               // no packet of the flow is held
)

func newHoldBuffer(limit int) *holdBuffer {
	return &holdBuffer{
		limit: limit, flows: make(map[flow.Key][]heldPacket), decided: make(map[flow.Key]forward.Decision),
		wake: make(chan struct{}, 1),
	}
}

// put adds a copy of a packet to the buffer, or returns the decision about its flow that has already been made.
func (h *holdBuffer) put(k flow.Key, inner []byte, p *forward.Packet) (forward.Decision, holdResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d, found := h.decided[k]; found {
		delete(h.decided, k)
		return d, holdDecided
	}
	queued := h.flows[k]
	if len(queued) > 0 && (len(queued) >= maxHeldPerFlow || h.packets >= h.limit) {
		return forward.Decision{}, holdKept // the first packet of the flow is held; loss of others is normal for UDP
	}
	if h.packets >= h.limit {
		return forward.Decision{}, holdFull
	}
	h.packets++
	h.flows[k] = append(queued, heldPacket{inner: bytes.Clone(inner), packet: *p})
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return forward.Decision{}, holdKept
}

// take removes and returns the packets of a flow that has been decided about. Without packets it stores the decision for
// put.
func (h *holdBuffer) take(k flow.Key, d forward.Decision) []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	queued, found := h.flows[k]
	if !found {
		if len(h.decided) < h.limit {
			h.decided[k] = d
		}
		return nil
	}
	delete(h.flows, k)
	h.packets -= len(queued)
	return queued
}

// empty reports whether no packet is held.
func (h *holdBuffer) empty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.packets == 0
}

// prune removes decisions that no packet was put for, and packets of flows that no longer wait.
func (h *holdBuffer) prune(waiting func(flow.Key) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.decided)
	for k, queued := range h.flows {
		if !waiting(k) {
			delete(h.flows, k)
			h.packets -= len(queued)
		}
	}
}
