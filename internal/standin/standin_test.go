package standin_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/fabric"
	"github.com/marigoldwood/marigoldwood/internal/standin/process"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

const roundsVNI, claimsVNI = 101, 102

var (
	fabricAddr = netip.MustParseAddr("127.60.50.1")
	relayAddr  = netip.MustParseAddr("127.60.10.1")
	endpoint4  = netip.MustParseAddrPort("192.0.2.10:4000")
	endpoint6  = netip.MustParseAddrPort("[2001:db8::10]:4000")
	targets    = []netip.Addr{netip.MustParseAddr("127.60.20.1"), netip.MustParseAddr("127.60.20.2"), netip.MustParseAddr("127.60.20.3")}
)

// relay is a minimal balancer: it forwards the packets of callers to the target that pick returns for their flow hash.
type relay struct {
	conn *net.UDPConn
	port uint16
	vni  atomic.Uint32
	pick atomic.Pointer[func(hash uint64) netip.Addr]
}

func (r *relay) run() {
	b := make([]byte, wire.MaxPacket)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		vni, inner, err := wire.DecodeGeneve(b[:n])
		if err != nil {
			continue
		}
		to := netip.AddrPortFrom(fabricAddr, r.port)
		nextVNI := uint32(wire.CallerVNI)
		if vni == wire.CallerVNI {
			to, nextVNI = netip.AddrPortFrom((*r.pick.Load())(wire.FlowHash(inner)), r.port), r.vni.Load()
		}
		b[4], b[5], b[6] = byte(nextVNI>>16), byte(nextVNI>>8), byte(nextVNI)
		_, _ = r.conn.WriteToUDPAddrPort(b[:n], to)
	}
}

type setup struct {
	relay   *relay
	fabric  *fabric.Fabric
	targets *target.Process
	caller  *caller.Caller
}

func start(t *testing.T, behaviour target.Behaviour) *setup {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(relayAddr, 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	s := &setup{relay: &relay{conn: conn, port: port}}
	s.relay.vni.Store(roundsVNI)
	s.setPick(func(hash uint64) netip.Addr { return targets[hash%uint64(len(targets))] })
	go s.relay.run()

	at := process.AddrPort{AddrPort: netip.AddrPortFrom(fabricAddr, port)}
	s.fabric = fabric.New(fabric.Options{
		Address: at, DataPort: port, Workers: 2, Seed: 1, Balancers: process.Prefix{Prefix: netip.MustParsePrefix("127.60.10.0/24")},
	}, process.NewLog("fabric"))
	if err := s.fabric.Start(ctx); err != nil {
		t.Fatal(err)
	}
	s.fabric.SetLive([]netip.Addr{relayAddr})
	var specs []target.Spec
	for _, a := range targets {
		specs = append(specs, target.Spec{Address: a, Service: "rounds", VNI: roundsVNI, Slots: 2, Work: target.Work{ShortMicros: 1000}, Behaviour: behaviour})
	}
	if s.targets, err = target.Start(ctx, specs, target.Options{Fabric: at, DataPort: port, HealthPort: port, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	s.caller, err = caller.New(ctx, caller.Options{Address: process.Addr{Addr: netip.MustParseAddr("127.60.30.1")}, Fabric: at, Lanes: 2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *setup) setPick(pick func(uint64) netip.Addr) { s.relay.pick.Store(&pick) }

func (s *setup) startPlan(t *testing.T, p caller.Plan) {
	t.Helper()
	if err := s.caller.Start(t.Context(), p); err != nil {
		t.Fatal(err)
	}
}

func load(protocol string, endpoint netip.AddrPort) caller.Load {
	return caller.Load{
		Name: protocol, Service: "rounds", Endpoint: endpoint, Protocol: protocol, AnswerBytes: 3000 * uint32(len(protocol)%2+1) / 4,
		Steps: []caller.Step{{Rate: 200, Seconds: 1}}, TimeoutMS: 5000,
	}
}

func sessions(endpoint netip.AddrPort) caller.Sessions {
	return caller.Sessions{Name: "s", Service: "rounds", Endpoint: endpoint, Count: 50, IntervalMS: 200, FeedMS: 100, AnswerBytes: 100}
}

// Guards against stand-ins that report faults that do not exist: behind a relay that forwards correctly, and a network
// that loses, duplicates and reorders some packets, every request must get exactly one intact response.
func TestFaultless(t *testing.T) {
	s := start(t, target.Behaviour{})
	s.fabric.SetConfig(fabric.Config{Mode: fabric.PerPacket, Loss: 0.01, Duplicate: 0.02, Reorder: 0.02})
	s.startPlan(t, caller.Plan{
		Loads:    []caller.Load{load("tcp", endpoint4), load("udp", endpoint4), load("tcp", endpoint6), load("udp", endpoint6)},
		Sessions: []caller.Sessions{sessions(endpoint4), sessions(endpoint6)},
	})
	time.Sleep(1500 * time.Millisecond)
	r := s.caller.Finish(t.Context(), 20*time.Second)
	for _, l := range r.Loads {
		if l.Sent == 0 || l.OK != l.Sent || l.Foreign+l.Mixed+l.Truncated+l.RefusedAfterAnswer > 0 {
			t.Errorf("load %+v", l.LoadCounts)
		}
	}
	for _, g := range r.Sessions {
		if g.Opened != 50 || g.Closed != 50 || g.Answers != g.Requests || g.Pushes == 0 || g.Broken+g.Lost+g.Foreign+g.Mixed+g.Truncated+g.Reordered > 0 {
			t.Errorf("sessions %+v %v", g.SessionCounts, g.Samples)
		}
	}
	for _, c := range s.targets.Counters() {
		if c.Foreign+c.Malformed > 0 {
			t.Errorf("target %+v", c)
		}
	}
	if runs := s.targets.Runs(); len(runs.Twice)+len(runs.Moved) > 0 {
		t.Errorf("runs %+v", runs)
	}
}

// Guards against checks that detect nothing: each fault of the relay must be reported.
func TestFaultsAreNoticed(t *testing.T) {
	t.Run("foreign VNI", func(t *testing.T) {
		s := start(t, target.Behaviour{})
		s.relay.vni.Store(claimsVNI)
		s.startPlan(t, caller.Plan{Loads: []caller.Load{load("udp", endpoint4)}})
		time.Sleep(300 * time.Millisecond)
		if sumCounters(s, func(c target.Counters) uint64 { return c.Foreign }) == 0 {
			t.Error("targets counted no foreign packets, want some")
		}
	})
	t.Run("sessions that move to another target", func(t *testing.T) {
		s := start(t, target.Behaviour{})
		s.startPlan(t, caller.Plan{Sessions: []caller.Sessions{sessions(endpoint4)}})
		time.Sleep(500 * time.Millisecond)
		s.setPick(func(uint64) netip.Addr { return targets[0] })
		time.Sleep(500 * time.Millisecond)
		r := s.caller.Finish(t.Context(), time.Second)
		if r.Sessions[0].Broken == 0 || len(s.targets.Runs().Moved) == 0 {
			t.Errorf("got %d broken sessions and %d moved flows, want some of both", r.Sessions[0].Broken, len(s.targets.Runs().Moved))
		}
	})
	t.Run("requests given to two targets", func(t *testing.T) {
		s := start(t, target.Behaviour{})
		var n atomic.Uint64
		s.setPick(func(uint64) netip.Addr { return targets[n.Add(1)%2] })
		s.fabric.SetConfig(fabric.Config{Mode: fabric.PerPacket, Duplicate: 1})
		s.startPlan(t, caller.Plan{Loads: []caller.Load{load("udp", endpoint4)}})
		time.Sleep(500 * time.Millisecond)
		if runs := s.targets.Runs(); len(runs.Twice) == 0 || len(runs.Moved) == 0 {
			t.Errorf("ran %d requests, %d twice, %d flows moved; want some of each", runs.Requests, len(runs.Twice), len(runs.Moved))
		}
	})
}

// Guards against refusals that count as failures, and against refusals by a target that count as false.
func TestRefusals(t *testing.T) {
	s := start(t, target.Behaviour{Shed: target.ShedReset})
	s.startPlan(t, caller.Plan{Loads: []caller.Load{load("tcp", endpoint4), load("udp", endpoint4), load("tcp", endpoint6), load("udp", endpoint6)}})
	time.Sleep(1200 * time.Millisecond)
	r := s.caller.Finish(t.Context(), 5*time.Second)
	var refused []target.FlowID
	for _, f := range r.Refused {
		refused = append(refused, target.FlowID(f))
	}
	for _, l := range r.Loads {
		if l.Sent == 0 || l.Refused != l.Sent {
			t.Errorf("load %+v", l.LoadCounts)
		}
	}
	if known := s.targets.Known(refused); len(known) > 0 {
		t.Errorf("%d flows that a target refused count as accepted, want none", len(known))
	}
}

// Guards against results without all requests: Finish must wait for TCP requests whose packets were lost, even if every
// session and UDP request has an outcome.
func TestFinishWaitsForEveryRequest(t *testing.T) {
	s := start(t, target.Behaviour{})
	s.fabric.SetConfig(fabric.Config{Mode: fabric.PerPacket, Loss: 1})
	lost := load("tcp", endpoint4)
	lost.Steps, lost.TimeoutMS = []caller.Step{{Rate: 100, Seconds: 0.2}}, 500
	s.startPlan(t, caller.Plan{Loads: []caller.Load{lost}})
	time.Sleep(250 * time.Millisecond)
	r := s.caller.Finish(t.Context(), 20*time.Second)
	if l := r.Loads[0]; l.Sent == 0 || l.TimedOut != l.Sent {
		t.Errorf("load %+v", l.LoadCounts)
	}
}

func sumCounters(s *setup, counter func(target.Counters) uint64) (sum uint64) {
	for _, c := range s.targets.Counters() {
		sum += counter(c)
	}
	return sum
}
