package forward

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/placement"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	hostSelf  membership.HostID = 1
	hostPeer  membership.HostID = 2
	hostThird membership.HostID = 3
	testDC                      = "dc"
)

var (
	peerAddr  = netip.MustParseAddrPort("127.9.0.2:6081")
	thirdAddr = netip.MustParseAddrPort("127.9.0.3:6081")
	caller    = netip.MustParseAddrPort("192.0.2.7:40000")
)

// testService is a service in the bundles that testBundle builds.
type testService struct {
	name, protocol, kind string
	vni                  int
	endpoint             string
	idempotent           bool
	targets              []string
}

var tcpSession = testService{
	name: "rounds", protocol: "tcp", kind: "session", vni: 20, endpoint: "10.0.0.1:80",
	targets: []string{"127.1.0.1", "127.1.0.2", "127.1.0.3", "127.1.0.4"},
}

var udpShort = testService{
	name: "claims", protocol: "udp", kind: "short", vni: 21, endpoint: "10.0.0.1:80",
	targets: []string{"127.2.0.1", "127.2.0.2", "127.2.0.3"},
}

// fataler is the part of testing.TB that rapid.T implements too.
type fataler interface{ Fatal(...any) }

// testBundle returns a bundle with the services.
func testBundle(t fataler, version int, services ...testService) *bundle.Bundle {
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\nservices:\n", version)
	for _, s := range services {
		fmt.Fprintf(&b, "- {name: %s, vni: %d, protocol: %s, endpoints: [%q], class: urgent, kind: %s, idempotent: %v, targets: [",
			s.name, s.vni, s.protocol, s.endpoint, s.kind, s.idempotent)
		for _, a := range s.targets {
			fmt.Fprintf(&b, "{address: %s, data_centre: %s}, ", a, testDC)
		}
		b.WriteString("]}\n")
	}
	parsed, err := bundle.Parse([]byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// testSnapshot returns a snapshot in which this balancer owns every bucket in sync and every target is eligible.
func testSnapshot(b *bundle.Bundle) *Snapshot {
	s := NewSnapshot(b, testDC)
	s.Self, s.Incarnation = hostSelf, 5
	s.Map = ownership.Build([]membership.HostID{hostSelf, hostPeer})
	s.Peers[hostPeer], s.Peers[hostThird] = peerAddr, thirdAddr
	s.PeerAddrs[peerAddr.Addr()], s.PeerAddrs[thirdAddr.Addr()] = hostPeer, hostThird
	setRole(s, BucketState{Role: RoleOwner, InSync: true})
	for _, ss := range s.Services {
		for i := range ss.Targets {
			ss.Targets[i] = TargetState{Eligible: true, Usable: true, Share: 1}
		}
	}
	return s
}

// setRole sets the state of every bucket.
func setRole(s *Snapshot, state BucketState) {
	for i := range s.Buckets {
		s.Buckets[i] = state
	}
}

// recorder is an ExceptionSink and an Admission that records the calls that it gets.
type recorder struct {
	StrategyAdmission
	verdict      *Verdict                   // returned by Admit; nil selects that of StrategyAdmission
	copies       map[flow.Key]flow.TargetID // exceptions that were added and not removed
	done         []bool                     // the refused argument of each Done
	cancelled    int                        // calls of Cancel
	toRelease    []Released                 // returned by Poll
	lastEligible []bool                     // targets that the view of the last request showed as eligible
}

func (r *recorder) ExceptionAdded(_ ownership.Bucket, e Exception)  { r.copies[e.Key] = e.Target }
func (r *recorder) ExceptionRemoved(_ ownership.Bucket, k flow.Key) { delete(r.copies, k) }
func (r *recorder) Cancel(time.Duration, flow.Key)                  { r.cancelled++ }
func (r *recorder) Poll(_ time.Duration, dst []Released) []Released {
	return append(dst, r.toRelease...)
}

func (r *recorder) Done(_ time.Duration, _ flow.ServiceID, _ flow.TargetID, _ time.Duration, refused bool) {
	r.done = append(r.done, refused)
}

func (r *recorder) Admit(now time.Duration, q Request) Verdict {
	r.lastEligible = r.lastEligible[:0]
	for i := range q.Service.Table.Targets {
		r.lastEligible = append(r.lastEligible, q.View.Eligible(i))
	}
	if r.verdict != nil {
		return *r.verdict
	}
	return r.StrategyAdmission.Admit(now, q)
}

func newTestEngine(s *Snapshot) (*Engine, *recorder) {
	r := &recorder{copies: make(map[flow.Key]flow.TargetID)}
	e := NewEngine(Config{Flows: 1 << 12, Admission: r, Sink: r})
	e.Publish(s)
	return e, r
}

func tcp(flags TCPFlags, seq, ack, payload uint32) *Packet {
	return &Packet{
		Source: caller, Destination: netip.MustParseAddrPort("10.0.0.1:80"), Protocol: flow.TCP,
		Flags: flags, Seq: seq, Ack: ack, Payload: payload,
	}
}

func udp(port uint16) *Packet {
	return &Packet{
		Source: netip.AddrPortFrom(caller.Addr(), port), Destination: netip.MustParseAddrPort("10.0.0.1:80"),
		Protocol: flow.UDP, Payload: 10,
	}
}

// answer returns an answer to p with the given flags: source and destination are exchanged, and p is acknowledged.
func answer(p *Packet, flags TCPFlags) *Packet {
	a := *p
	a.Source, a.Destination, a.Flags = p.Destination, p.Source, flags
	a.Seq, a.Ack = p.Ack, p.Seq+p.SequenceLength()
	return &a
}

// keyOf returns the flow key of a packet of a caller.
func keyOf(s *Snapshot, p *Packet) flow.Key {
	e := s.Bundle.Endpoint(bundle.EndpointAddr{Protocol: p.Protocol, Addr: p.Destination})
	return flow.NewKey(p.Source, e.ID)
}

// tableOf returns the service's table and the position of the default target of the packet's flow.
func tableOf(s *Snapshot, name string, p *Packet) (*placement.Table, int) {
	k := keyOf(s, p)
	table := s.Services[flow.NewServiceID(name)].Table
	return table, table.Default(k.Hash())
}

func expectDecision(t *testing.T, d Decision, a Action, code resultcode.Code) {
	t.Helper()
	if d.Action != a || d.Code != code {
		t.Fatalf("decision is %v with code %v, want %v with code %v", d.Action, d.Code, a, code)
	}
}
