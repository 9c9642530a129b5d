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

// socketBuffer is the receive buffer of each lane in bytes.
const socketBuffer = 4 << 20

// lane is one socket with its share of the flows. The lock of its stack guards everything in it.
type lane struct {
	caller  *Caller
	index   int
	conn    *net.UDPConn
	stack   *minitcp.Stack
	encoder *wire.Encoder
	decoder wire.Decoder // used by the receiving goroutine alone
	random  *rand.Rand

	udp       map[addresses]*datagramFlow
	sessions  map[*session]struct{} // that have not ended
	next      map[allocation]uint32 // flows opened so far
	unsettled int                   // requests of loads that have no outcome
	strays    uint64
	damaged   uint64 // packets that cannot be decoded or do not come from the caller side of the fabric
}

type addresses struct{ local, remote netip.AddrPort }

// allocation is a range of caller addresses.
type allocation struct {
	tenant uint8
	spread int
	six    bool
}

func newLane(c *Caller, index int) (*lane, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.options.Address.Addr, 0)))
	if err != nil {
		return nil, err
	}
	l := &lane{
		caller: c, index: index, conn: conn, encoder: wire.NewEncoder(), udp: make(map[addresses]*datagramFlow),
		next: make(map[allocation]uint32), sessions: make(map[*session]struct{}), random: rand.New(rand.NewPCG(c.options.Seed, uint64(index))),
	}
	l.stack = minitcp.NewStack(minitcp.Config{Send: l.send, Random: l.random})
	return l, conn.SetReadBuffer(socketBuffer)
}

func (l *lane) do(fn func()) { l.stack.Do(l.caller.clock.Now(), fn) }

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
		l.do(func() { l.damaged++ })
		l.caller.log.WithField("event", "damaged").WithField("vni", vni).Warn(err)
	case p.Kind == wire.TCP:
		l.stack.Input(l.caller.clock.Now(), &p)
	case p.Kind == wire.UDP:
		l.do(func() { l.inputUDP(&p) })
	case p.Kind == wire.Prohibited:
		l.do(func() { l.inputProhibited(&p) })
	}
}

// inputProhibited handles a refusal by ICMP. The addresses are those of the refused packet.
func (l *lane) inputProhibited(p *wire.Packet) {
	if p.Quoted == wire.UDP {
		if f := l.udp[addresses{p.Src, p.Dst}]; f != nil {
			f.refused()
			return
		}
		l.strays++
		return
	}
	if c := l.stack.Conn(p.Src, p.Dst); c != nil && !c.Open() {
		c.Kill(minitcp.Refused)
	}
}

// address returns the caller address of a new flow. No address and port are used twice in a run, so that a flow can be
// followed through the targets' counters. Neighbouring flows have different prefixes, as the limits of balancers
// are per caller prefix.
func (l *lane) address(tenant uint8, spread int, endpoint netip.Addr) netip.AddrPort {
	if spread == 0 {
		spread = prefixes
	}
	a := allocation{tenant, spread, endpoint.Is6()}
	n := l.next[a]
	l.next[a]++
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

// requestIDs makes request IDs that are unique in a run.
type requestIDs struct{ last atomic.Uint64 }

func (r *requestIDs) next() uint64 { return r.last.Add(1) }

// Caller is the stand-in.
type Caller struct {
	options Options
	log     *logrus.Entry
	clock   process.Clock
	lanes   []*lane
	ids     requestIDs
	groups  groups
}
