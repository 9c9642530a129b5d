package caller

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
	"github.com/marigoldwood/marigoldwood/internal/standin/process"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// socketBuffer is the size of the receive buffer of each lane in bytes.
const socketBuffer = 4 << 20

// lane is one socket and the flows that use it. The lock of its stack guards all fields.
type lane struct {
	caller  *Caller
	index   int
	conn    *net.UDPConn
	stack   *minitcp.Stack
	encoder *wire.Encoder
	decoder wire.Decoder // used by the receiving goroutine alone
	random  *rand.Rand

	udpExchanges map[flowKey]*udpExchange
	sessions     map[*session]struct{}   // sessions that have not ended
	flowCounts   map[addressRange]uint32 // number of flows opened so far
	outstanding  int                     // requests of loads without an outcome
	unmatched    uint64
	damaged      uint64 // packets that cannot be decoded or do not come from the caller side of the fabric
}

type flowKey struct{ local, remote netip.AddrPort }

// addressRange identifies a range of caller addresses.
type addressRange struct {
	tenant uint8
	spread int
	ipv6   bool
}

func newLane(c *Caller, index int) (*lane, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.options.Address.Addr, 0)))
	if err != nil {
		return nil, err
	}
	l := &lane{
		caller: c, index: index, conn: conn, encoder: wire.NewEncoder(), udpExchanges: make(map[flowKey]*udpExchange),
		flowCounts: make(map[addressRange]uint32), sessions: make(map[*session]struct{}), random: rand.New(rand.NewPCG(c.options.Seed, uint64(index))),
	}
	l.stack = minitcp.NewStack(minitcp.Config{Send: l.send, Random: l.random})
	return l, conn.SetReadBuffer(socketBuffer)
}

func (l *lane) withLock(fn func()) { l.stack.Do(l.caller.clock.Now(), fn) }

func (l *lane) send(p *wire.Packet) {
	if b, err := l.encoder.Encode(wire.CallerVNI, p); err == nil {
		_, _ = l.conn.WriteToUDPAddrPort(b, l.caller.options.Fabric.AddrPort)
	}
}

func (l *lane) receive() {
	buffer := make([]byte, wire.MaxPacket)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		l.handle(buffer[:n])
	}
}

func (l *lane) handle(b []byte) {
	vni, inner, err := wire.DecodeGeneve(b)
	var p wire.Packet
	if err == nil {
		p, err = l.decoder.Decode(inner)
	}
	switch {
	case err != nil || vni != wire.CallerVNI:
		l.withLock(func() { l.damaged++ })
		l.caller.log.WithField("event", "damaged").WithField("vni", vni).Warn(err)
	case p.Kind == wire.TCP:
		l.stack.Input(l.caller.clock.Now(), &p)
	case p.Kind == wire.UDP:
		l.withLock(func() { l.handleUDP(&p) })
	case p.Kind == wire.Prohibited:
		l.withLock(func() { l.handleProhibited(&p) })
	}
}

// handleProhibited processes a refusal by ICMP. The addresses are those of the refused packet.
func (l *lane) handleProhibited(p *wire.Packet) {
	if p.Quoted == wire.UDP {
		if f := l.udpExchanges[flowKey{p.Src, p.Dst}]; f != nil {
			f.handleRefusal()
			return
		}
		l.unmatched++
		return
	}
	if c := l.stack.Conn(p.Src, p.Dst); c != nil && !c.Open() {
		c.Kill(minitcp.Refused)
	}
}

// nextAddress returns the caller address of a new flow. No address and port are used twice in a run, so that a flow can
// be followed through the targets' counters. Consecutive flows have different prefixes, as the limits of balancers are
// per caller prefix.
func (l *lane) nextAddress(tenant uint8, spread int, endpoint netip.Addr) netip.AddrPort {
	if spread == 0 {
		spread = maxPrefixes
	}
	key := addressRange{tenant, spread, endpoint.Is6()}
	n := l.flowCounts[key]
	l.flowCounts[key]++
	prefix, host := byte(n%uint32(spread)), byte(l.index+1)
	host += byte(n/uint32(spread)/portRange) * byte(len(l.caller.lanes)) // further addresses once the ports are used up
	port := firstPort + n/uint32(spread)%portRange
	if endpoint.Is4() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, tenant, prefix, host}), uint16(port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte{0: 0xfd, 3: tenant, 5: prefix, 15: host}), uint16(port))
}

const (
	firstPort = 1024
	portRange = 64000
)

// requestIDs generates request IDs that are unique in a run.
type requestIDs struct{ last atomic.Uint64 }

func (r *requestIDs) next() uint64 { return r.last.Add(1) }

// Caller is the stand-in for callers.
type Caller struct {
	options Options
	log     *logrus.Entry
	clock   process.Clock
	lanes   []*lane
	ids     requestIDs
	groups  groups
}
