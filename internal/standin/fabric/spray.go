package fabric

import (
	"net"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// Modes of spraying packets to balancers.
const (
	PerPacket = "packet" // a random balancer for every packet
	PerFlow   = "flow"   // one balancer for both directions of a flow, by addresses, ports, salt and list of balancers
)

// Config is the configuration that the control port can replace.
type Config struct {
	Mode string `json:"mode"`
	Salt uint64 `json:"salt"` // a new salt redistributes the flows of mode "flow"

	// Faults, as probabilities between 0 and 1.
	Loss      float64 `json:"loss"`
	Duplicate float64 `json:"duplicate"`
	Reorder   float64 `json:"reorder"`
}

// spray sends a packet to one of the live balancers.
func (w *worker) spray(conn *net.UDPConn, inner, b []byte) {
	live := *w.live.Load()
	if len(live) == 0 {
		w.counters.noBalancer.Add(1)
		return
	}
	c := w.config.Load()
	var i int
	if c.Mode == PerFlow {
		i = int((wire.FlowHash(inner) ^ c.Salt*0x9e3779b97f4a7c15) % uint64(len(live)))
	} else {
		i = w.random.IntN(len(live))
	}
	w.send(conn, live[i], b)
}

// send applies the faults and sends the packet. A packet chosen for reordering is held until the next one has been sent.
func (w *worker) send(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	c := w.config.Load()
	if c.Loss > 0 && w.random.Float64() < c.Loss {
		w.counters.lost.Add(1)
		return
	}
	if c.Reorder > 0 && w.held == nil && w.random.Float64() < c.Reorder {
		w.counters.reordered.Add(1)
		w.held = &heldPacket{conn: conn, to: to, data: append([]byte(nil), b...)}
		return
	}
	w.transmit(conn, to, b)
	if c.Duplicate > 0 && w.random.Float64() < c.Duplicate {
		w.counters.duplicated.Add(1)
		w.transmit(conn, to, b)
	}
	w.releaseHeld()
}

func (w *worker) releaseHeld() {
	if h := w.held; h != nil {
		w.held = nil
		w.transmit(h.conn, h.to, h.data)
	}
}

func (w *worker) transmit(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		w.counters.sendFailed.Add(1)
	}
}
