package forward

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// fromPeer returns the PeerInfo of a packet for the service of tcpSession.
func fromPeer(hops uint8, version uint64) PeerInfo {
	return PeerInfo{Version: version, Hops: hops, Direction: ToTarget, VNI: 20}
}

// Guards against packets that are forwarded between balancers without end, and against two balancers that both decide
// about a flow during a handover.
func TestHops(t *testing.T) {
	for name, c := range map[string]struct {
		bucket BucketState
		hops   uint8 // 0: from the fabric
		want   Action
		code   resultcode.Code
	}{
		"owner":                             {BucketState{Role: RoleOwner}, 2, ForwardTarget, 0},
		"first hop":                         {BucketState{Role: RoleForward, Peer: hostPeer}, 0, ForwardPeer, 0},
		"second hop":                        {BucketState{Role: RoleForward, Peer: hostPeer}, 1, ForwardPeer, 0},
		"waiting for the grant":             {BucketState{Role: RoleAcquiring, Peer: hostPeer}, 0, ForwardPeer, 0},
		"limit while waiting for the grant": {BucketState{Role: RoleAcquiring, Peer: hostPeer}, 3, Drop, resultcode.PacketHopLimit},
		"limit at owner or backup by view":  {BucketState{Role: RoleForward, Peer: hostPeer}, 3, ForwardTarget, 0},
		"beyond the limit":                  {BucketState{Role: RoleOwner}, 4, Drop, resultcode.PacketMalformed},
		"no owner":                          {BucketState{Role: RoleForward}, 0, Drop, resultcode.PacketNoOwner},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSnapshot(testBundle(t, 1, tcpSession))
			setRole(s, c.bucket)
			e, _ := newTestEngine(s)
			var d Decision
			if c.hops == 0 {
				d = e.FromCaller(0, tcp(SYN, 1, 0, 0))
			} else {
				d = e.FromPeer(0, tcp(SYN, 1, 0, 0), thirdAddr.Addr(), fromPeer(c.hops, 1))
			}
			expectDecision(t, d, c.want, c.code)
			if d.Action == ForwardPeer && (d.Peer().Hops != c.hops+1 || d.Addr() != peerAddr) {
				t.Fatalf("forwarded as hop %d to %v, want the next hop and the peer of the bucket", d.Peer().Hops, d.Addr())
			}
		})
	}
	s := testSnapshot(testBundle(t, 1, tcpSession))
	setRole(s, BucketState{Role: RoleForward, Peer: hostPeer})
	s.Map = ownership.Build([]membership.HostID{hostPeer, hostThird})
	e, _ := newTestEngine(s)
	expectDecision(t, e.FromPeer(0, tcp(SYN, 1, 0, 0), thirdAddr.Addr(), fromPeer(3, 1)), Drop, resultcode.PacketHopLimit)
	expectDecision(t, e.FromPeer(0, tcp(SYN, 1, 0, 0), caller.Addr(), fromPeer(1, 1)), Drop, resultcode.PacketForeignSource)
}

// Guards against an owner that places flows by an outdated bundle, and against a forwarding loop between it and a member
// with the newer bundle.
func TestBehind(t *testing.T) {
	s := testSnapshot(testBundle(t, 1, tcpSession))
	e, _ := newTestEngine(s)
	known := tcp(SYN, 1, 0, 0)
	expectAction(t, e.FromCaller(0, known), ForwardTarget)
	behind := *s
	behind.Behind, behind.CurrentPeer = true, hostThird
	e.Publish(&behind)
	other := tcp(SYN, 1, 0, 0)
	other.Source = udp(9).Source
	if d := e.FromCaller(0, other); d.Action != ForwardPeer || d.Addr() != thirdAddr {
		t.Fatalf("decision is %v to %v, want forwarding to a member with the newer bundle", d.Action, d.Addr())
	}
	expectAction(t, e.FromCaller(0, known), ForwardTarget)
	e.Publish(s)
	if d := e.FromPeer(0, other, peerAddr.Addr(), fromPeer(1, 2)); d.Action != ForwardPeer || d.Addr() != peerAddr || e.NewestVersion() != 2 {
		t.Fatalf("decision is %v to %v, want forwarding to the sender; newest version is %d, want 2",
			d.Action, d.Addr(), e.NewestVersion())
	}

	current := testSnapshot(testBundle(t, 2, tcpSession))
	setRole(current, BucketState{Role: RoleForward, Peer: hostPeer})
	e, _ = newTestEngine(current)
	expectAction(t, e.FromPeer(0, other, peerAddr.Addr(), fromPeer(2, 1)), ForwardTarget)
}

// Guards against a restarted balancer with a newer bundle that delivers packets to default targets when a peer forwards
// them because it still regards the balancer as the owner: the flow may be on another target.
func TestTakenForOwnerAfterRestart(t *testing.T) {
	s := testSnapshot(testBundle(t, 2, tcpSession, udpShort))
	setRole(s, BucketState{Role: RoleForward, Peer: hostPeer})
	e, _ := newTestEngine(s)
	for _, p := range []*Packet{udp(9), tcp(ACK, 2, 2, 10)} {
		info := fromPeer(1, 1)
		info.VNI = uint32(tcpSession.vni)
		if p.Protocol == flow.UDP {
			info.VNI = uint32(udpShort.vni)
		}
		expectDecision(t, e.FromPeer(0, p, peerAddr.Addr(), info), Drop, resultcode.PacketNoOwner)
		info.VNI = 0 // the sender does not know the service, so it has decided about none of its packets
		expectAction(t, e.FromPeer(0, p, peerAddr.Addr(), info), ForwardTarget)
	}
}

// Guards against exceptions that are lost in a handover, and entries of an earlier ownership that are used again.
func TestHandover(t *testing.T) {
	s := testSnapshot(testBundle(t, 1, tcpSession))
	p := tcp(SYN, 1, 0, 0)
	table, d := tableOf(s, "rounds", p)
	nonDefault := (d + 1) % len(table.Targets)
	e, r := newTestEngine(s)
	r.verdict = &Verdict{Target: nonDefault}
	expectAction(t, e.FromCaller(0, p), ForwardTarget)
	k := keyOf(s, p)
	b := bucketOf(&k)
	if r.copies[k] != table.Targets[nonDefault].ID {
		t.Fatalf("reported exceptions are %v, want the flow on its non-default target", r.copies)
	}

	released := *s
	released.Buckets = new([ownership.BucketCount]BucketState)
	setRole(&released, BucketState{Role: RoleForward, Peer: hostPeer})
	e.Publish(&released)
	got := e.Collect(0, b)
	if len(got) != 1 || got[0].Target != table.Targets[nonDefault].ID || e.Flows() != 0 || len(r.done) != 1 || len(r.copies) != 1 {
		t.Fatalf("Collect returned %v, want the exception; %d flows left, want 0; %d calls of Done, want 1; exceptions %v, want 1",
			got, e.Flows(), len(r.done), r.copies)
	}

	next, _ := newTestEngine(&released)
	if lost := next.Install(0, b, got); lost != 0 {
		t.Fatalf("Install found no room for %d exceptions, want 0", lost)
	}
	next.Publish(s)
	data := tcp(ACK, 2, 2, 10)
	if d := next.FromCaller(0, data); d.Addr().Addr() != table.Targets[nonDefault].Addr {
		t.Fatalf("delivered to %v after the handover, want %v", d.Addr(), table.Targets[nonDefault].Addr)
	}
	if x := next.Explain(0, k); x.Rule != RuleException || x.TargetID != table.Targets[nonDefault].ID {
		t.Fatalf("Explain returned %+v, want an exception on the non-default target", x)
	}
	next.Publish(&released) // the bucket is lost and regained: the old entry must not be used
	next.Publish(s)
	if got := next.FromCaller(0, data); got.Addr().Addr() != table.Targets[d].Addr {
		t.Fatalf("delivered to %v by an entry of an earlier ownership, want the default target", got.Addr())
	}
}

// Guards against running flows that change their target when a bundle changes the targets, and against exceptions that are
// reported too late or never removed.
func TestReconcileExceptions(t *testing.T) {
	s := testSnapshot(testBundle(t, 1, tcpSession))
	e, r := newTestEngine(s)
	var packets []*Packet
	for port := range uint16(200) {
		p := tcp(SYN, 1, 0, 0)
		p.Source = udp(1000 + port).Source
		e.FromCaller(0, p)
		packets = append(packets, p)
	}
	fewer := tcpSession
	fewer.targets = fewer.targets[1:]
	next := testSnapshot(testBundle(t, 2, fewer))
	dropped := s.Services[flow.NewServiceID("rounds")].Table.Targets[0]
	next.Retired[dropped.ID] = RetiredTarget{Addr: dropped.Addr, DataPort: dropped.DataPort, Service: flow.NewServiceID("rounds"), VNI: 20}
	added := e.ReconcileExceptions(s, next)
	if added == 0 || added != len(r.copies) || e.ReconcileExceptions(next, s) != 0 || len(r.copies) != 0 {
		t.Fatalf("%d exceptions added, want some; exceptions after the reverse change are %v, want none", added, r.copies)
	}
	e.ReconcileExceptions(s, next)
	e.Publish(next)
	for _, p := range packets {
		data := *p
		data.Flags, data.Seq = ACK, 2
		table, i := tableOf(s, "rounds", p)
		if d := e.FromCaller(0, &data); d.Addr().Addr() != table.Targets[i].Addr {
			t.Fatalf("running flow on target %v delivered to %v after the change of targets", table.Targets[i].Addr, d.Addr())
		}
	}
	for port := range uint16(200) { // a retired target gets no new flow
		p := tcp(SYN, 1, 0, 0)
		p.Source = udp(2000 + port).Source
		if d := e.FromCaller(0, p); d.Addr().Addr() == dropped.Addr {
			t.Fatal("new flow delivered to a retired target")
		}
	}
}

// Guards against waiting flows that request admission twice, and against a slot that is not returned when the verdict on a
// flow comes after the flow has ended its wait.
func TestWaiting(t *testing.T) {
	s := testSnapshot(testBundle(t, 1, tcpSession))
	e, r := newTestEngine(s)
	r.verdict = &Verdict{Outcome: Waiting}
	p := tcp(SYN, 1, 0, 0)
	k := keyOf(s, p)
	expectAction(t, e.FromCaller(0, p), Hold)
	expectAction(t, e.FromCaller(0, p), Drop)
	r.toRelease = []Released{{Key: k, Verdict: Verdict{Target: 2}}}
	if got := e.Poll(time.Second, nil); len(got) != 1 || got[0].Decision.Action != ForwardTarget {
		t.Fatalf("Poll returned %+v, want one delivery to a target", got)
	}
	if got := e.Poll(time.Second, nil); got[0].Decision.Action != Drop || len(r.done) != 1 {
		t.Fatalf("second verdict gave %+v and %d returned slots, want a drop and 1", got, len(r.done))
	}
	r.toRelease = nil
	p.Source = udp(9).Source
	expectAction(t, e.FromCaller(0, p), Hold)
	e.Cancel(0, keyOf(s, p))
	if r.cancelled != 1 || e.Flows() != 1 {
		t.Fatalf("%d requests cancelled and %d flows in the table, want 1 and 1", r.cancelled, e.Flows())
	}
}

// Guards against a silent connection that is not reset, or is reset with sequence numbers that its ends ignore.
func TestSweepEndsSilentConnection(t *testing.T) {
	e, r := newTestEngine(testSnapshot(testBundle(t, 1, tcpSession)))
	to := e.FromCaller(0, tcp(SYN, 100, 0, 0))
	e.FromTarget(0, answer(tcp(SYN, 100, 500, 0), SYN|ACK), to.Addr().Addr(), to.VNI) // sequence 500, acknowledges 101
	e.FromCaller(0, tcp(ACK, 101, 501, 0))
	for i := range time.Duration(6) {
		e.FromCaller(time.Second+i*3*time.Second, tcp(ACK, 101, 501, 10))
	}
	var resets []ConnectionReset
	for range sweepParts {
		resets = e.Sweep(17*time.Second, resets)
	}
	if len(resets) != 1 || resets[0].SeqToCaller != 501 || resets[0].SeqToTarget != 101 || resets[0].Target != to.Addr() || len(r.done) != 1 {
		t.Fatalf("resets are %+v, want one with sequence numbers 501 and 101; calls of Done are %v, want one", resets, r.done)
	}
}

// Guards against a refusal for a request that may have run on the other side of a partition.
func TestNoRefusalWhilePossiblyPartitioned(t *testing.T) {
	for partitioned, want := range map[bool]Action{false: Refuse, true: Drop} {
		s := testSnapshot(testBundle(t, 1, udpShort))
		setRole(s, BucketState{Role: RoleOwner, InSync: true})
		s.PossiblyPartitioned = partitioned
		e, r := newTestEngine(s)
		r.verdict = &Verdict{Outcome: Refused, Code: resultcode.RefusedNoSlot}
		expectDecision(t, e.FromCaller(20*time.Second, udp(9)), want, resultcode.RefusedNoSlot)
	}
}

// Guards against a reset of a connection that is intact on the other side of a partition, and against a connection that is
// never reset after its owner has failed.
func TestUnknownConnectionAfterLoss(t *testing.T) {
	for recent, want := range map[bool]Action{true: Drop, false: Reset} {
		s := testSnapshot(testBundle(t, 1, tcpSession))
		setRole(s, BucketState{Role: RoleOwner})
		s.LostRecently = recent
		e, _ := newTestEngine(s)
		expectDecision(t, e.FromCaller(20*time.Second, tcp(ACK, 5, 5, 10)), want, resultcode.PacketUnknownFlow)
	}
}
