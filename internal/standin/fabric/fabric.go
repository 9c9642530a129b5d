// Package fabric is a stand-in for the network between callers, balancers and targets. It can deliver any packet of
// callers and targets to any live balancer.
package fabric

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// Options configure the stand-in.
type Options struct {
	Address   process.AddrPort `long:"address" required:"true" description:"Geneve address:port"`
	Control   string           `long:"control" required:"true" description:"address:port of the control port"`
	Balancers process.Prefix   `long:"balancers" default:"127.10.0.0/16" description:"prefix of the balancers' addresses"`
	DataPort  uint16           `long:"data-port" required:"true" description:"Geneve port of the balancers"`
	Workers   int              `long:"workers" default:"4" description:"receiving goroutines"`
	Platform  string           `long:"platform" description:"address:port of a platform whose host list is followed"`
	LagMS     int              `long:"lag-ms" default:"200" description:"delay after which a change of the host list takes effect"`
	Seed      uint64           `long:"seed" default:"1" description:"seed of random choices"`
}

// socketBuffer is the receive buffer of each socket in bytes: about 100 ms at 50,000 packets of 200 bytes a second.
const socketBuffer = 4 << 20

// Counters are the counters of packets.
type Counters struct {
	FromCallers   uint64 `json:"from_callers"`
	FromBalancers uint64 `json:"from_balancers"`
	FromTargets   uint64 `json:"from_targets"`
	NoBalancer    uint64 `json:"no_balancer"`
	NoCaller      uint64 `json:"no_caller"`
	Malformed     uint64 `json:"malformed"`
	Lost          uint64 `json:"lost"`
	Duplicated    uint64 `json:"duplicated"`
	Reordered     uint64 `json:"reordered"`
	SendFailed    uint64 `json:"send_failed"`
}

type counters struct {
	fromCallers, fromBalancers, fromTargets, noBalancer, noCaller, malformed, lost, duplicated, reordered, sendFailed atomic.Uint64
}

// Fabric is the stand-in for the network.
type Fabric struct {
	options  Options
	log      *logrus.Entry
	counters counters
	config   atomic.Pointer[Config]
	live     atomic.Pointer[[]netip.AddrPort]

	mu            sync.RWMutex
	callerAddrs   map[netip.Addr]netip.AddrPort // outer address of each caller, by inner address
	targetSockets map[netip.Addr]*net.UDPConn   // sockets bound to the addresses of targets
}

// New returns a fabric without live balancers.
func New(o Options, log *logrus.Entry) *Fabric {
	f := &Fabric{
		options: o, log: log,
		callerAddrs: make(map[netip.Addr]netip.AddrPort), targetSockets: make(map[netip.Addr]*net.UDPConn),
	}
	f.config.Store(&Config{Mode: PerPacket})
	f.live.Store(&[]netip.AddrPort{})
	return f
}

// Run runs the stand-in until ctx ends.
func Run(ctx context.Context, o Options) error {
	f := New(o, process.NewLog("fabric"))
	if err := f.Start(ctx); err != nil {
		return err
	}
	if o.Platform != "" {
		go f.followHostList(ctx)
	}
	f.log.WithFields(logrus.Fields{"address": o.Address, "workers": o.Workers}).Info("started")
	return process.Serve(ctx, o.Control, f.Control())
}

// Start opens the sockets and starts the receiving goroutines. They stop when ctx ends.
func (f *Fabric) Start(ctx context.Context) error {
	for i := range max(1, f.options.Workers) {
		conn, err := listenShared(ctx, f.options.Address.AddrPort)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		go f.newWorker(conn, uint64(i)).run()
	}
	context.AfterFunc(ctx, f.closeTargets)
	return nil
}

// listenShared opens a UDP socket that shares its port with others; the kernel distributes the senders over them.
func listenShared(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	conn, err := config.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, err
	}
	udp := conn.(*net.UDPConn)
	return udp, udp.SetReadBuffer(socketBuffer)
}

func (f *Fabric) closeTargets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.targetSockets {
		_ = conn.Close()
	}
}

// SetLive replaces the list of live balancers.
func (f *Fabric) SetLive(balancers []netip.Addr) {
	live := make([]netip.AddrPort, len(balancers))
	for i, a := range balancers {
		live[i] = netip.AddrPortFrom(a, f.options.DataPort)
	}
	f.live.Store(&live)
	f.log.WithFields(logrus.Fields{"event": "live", "balancers": fmt.Sprint(balancers)}).Info("live balancers replaced")
}

// worker receives on one socket.
type worker struct {
	*Fabric
	conn   *net.UDPConn
	random *rand.Rand
	held   *heldPacket // packet that is held back for reordering
}

type heldPacket struct {
	conn *net.UDPConn
	to   netip.AddrPort
	data []byte
}

func (f *Fabric) newWorker(conn *net.UDPConn, id uint64) *worker {
	return &worker{Fabric: f, conn: conn, random: rand.New(rand.NewPCG(f.options.Seed, id))}
}

// maxReorderWait bounds how long a packet is held back for reordering.
const maxReorderWait = 20 * time.Millisecond

func (w *worker) run() {
	buffer := make([]byte, wire.MaxPacket)
	for {
		if w.held != nil {
			_ = w.conn.SetReadDeadline(time.Now().Add(maxReorderWait))
		}
		n, from, err := w.conn.ReadFromUDPAddrPort(buffer)
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			w.releaseHeld()
			_ = w.conn.SetReadDeadline(time.Time{})
			continue
		}
		if err != nil {
			return
		}
		w.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

func (w *worker) handle(from netip.AddrPort, b []byte) {
	vni, inner, err := wire.DecodeGeneve(b)
	src, dst, ok := wire.Addresses(inner)
	if err != nil || !ok {
		w.counters.malformed.Add(1)
		return
	}
	switch {
	case w.options.Balancers.Contains(from.Addr()):
		w.counters.fromBalancers.Add(1)
		if vni != wire.CallerVNI {
			w.counters.malformed.Add(1)
			return
		}
		w.sendToCaller(dst, b)
	case vni == wire.CallerVNI:
		w.counters.fromCallers.Add(1)
		w.learnCaller(src, from)
		w.spray(w.conn, inner, b)
	default:
		w.counters.fromTargets.Add(1)
		conn, err := w.targetSocket(from.Addr())
		if err != nil {
			w.counters.sendFailed.Add(1)
			return
		}
		w.spray(conn, inner, b)
	}
}

func (w *worker) learnCaller(inner netip.Addr, outer netip.AddrPort) {
	w.mu.RLock()
	known := w.callerAddrs[inner]
	w.mu.RUnlock()
	if known == outer {
		return
	}
	w.mu.Lock()
	w.callerAddrs[inner] = outer
	w.mu.Unlock()
}

func (w *worker) sendToCaller(inner netip.Addr, b []byte) {
	w.mu.RLock()
	outer, ok := w.callerAddrs[inner]
	w.mu.RUnlock()
	if !ok {
		w.counters.noCaller.Add(1)
		return
	}
	w.send(w.conn, outer, b)
}

// targetSocket returns a socket bound to the target's address, so that balancers see that address as the source.
func (f *Fabric) targetSocket(target netip.Addr) (*net.UDPConn, error) {
	f.mu.RLock()
	conn := f.targetSockets[target]
	f.mu.RUnlock()
	if conn != nil {
		return conn, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn := f.targetSockets[target]; conn != nil {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(target, 0)))
	if err != nil {
		return nil, err
	}
	f.targetSockets[target] = conn
	return conn, nil
}
