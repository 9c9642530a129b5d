package forward

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

func fromPeer(hops uint8, version uint64) PeerInfo {
	return PeerInfo{Version: version, Hops: hops, Direction: ToTarget, VNI: 20}
}

// Guards against packets that circle between balancers, and against two balancers that decide during a handover.
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
			expect(t, d, c.want, c.code)
			if d.Action == ForwardPeer && (d.Peer().Hops != c.hops+1 || d.Addr() != peerAddr) {
				t.Fatalf("hop %d to %v", d.Peer().Hops, d.Addr())
			}
		})
	}
	s := testSnapshot(testBundle(t, 1, tcpSession))
	setRole(s, BucketState{Role: RoleForward, Peer: hostPeer})
	s.Map = ownership.Build([]membership.HostID{hostPeer, hostThird})
	e, _ := newTestEngine(s)
	expect(t, e.FromPeer(0, tcp(SYN, 1, 0, 0), thirdAddr.Addr(), fromPeer(3, 1)), Drop, resultcode.PacketHopLimit)
	expect(t, e.FromPeer(0, tcp(SYN, 1, 0, 0), caller.Addr(), fromPeer(1, 1)), Drop, resultcode.PacketForeignSource)
}

// Guards against an owner that places flows by an old bundle, and against a loop between it and a current member.
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
		t.Fatalf("got %v to %v, want a current member", d.Action, d.Addr())
	}
	expectAction(t, e.FromCaller(0, known), ForwardTarget)
	e.Publish(s)
	if d := e.FromPeer(0, other, peerAddr.Addr(), fromPeer(1, 2)); d.Action != ForwardPeer || d.Addr() != peerAddr || e.NewestVersion() != 2 {
		t.Fatalf("got %v to %v, newest %d", d.Action, d.Addr(), e.NewestVersion())
	}

	current := testSnapshot(testBundle(t, 2, tcpSession))
	setRole(current, BucketState{Role: RoleForward, Peer: hostPeer})
	e, _ = newTestEngine(current)
	expectAction(t, e.FromPeer(0, other, peerAddr.Addr(), fromPeer(2, 1)), ForwardTarget)
}

// Guards against a restarted balancer with a newer bundle that delivers by default what a peer passes on because it still
// takes it for the owner: the flow may be at another target.
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
		expect(t, e.FromPeer(0, p, peerAddr.Addr(), info), Drop, resultcode.PacketNoOwner)
		info.VNI = 0 // the sender does not know the service, so it has decided about none of its packets
		expectAction(t, e.FromPeer(0, p, peerAddr.Addr(), info), ForwardTarget)
	}
}

// Guards against exceptions that a handover loses, and entries of an earlier ownership that come back into use.
func TestHandover(t *testing.T) {
	s := testSnapshot(testBundle(t, 1, tcpSession))
	p := tcp(SYN, 1, 0, 0)
	table, d := tableOf(s, "rounds", p)
	off := (d + 1) % len(table.Targets)
	e, r := newTestEngine(s)
	r.verdict = &Verdict{Target: off}
	expectAction(t, e.FromCaller(0, p), ForwardTarget)
	k := keyOf(s, p)
	b := bucketOf(&k)
	if r.copies[k] != table.Targets[off].ID {
		t.Fatalf("no copy of an exception: %v", r.copies)
	}

	released := *s
	released.Buckets = new([ownership.BucketCount]BucketState)
	setRole(&released, BucketState{Role: RoleForward, Peer: hostPeer})
	e.Publish(&released)
	got := e.Collect(0, b)
	if len(got) != 1 || got[0].Target != table.Targets[off].ID || e.Flows() != 0 || len(r.done) != 1 || len(r.copies) != 1 {
		t.Fatalf("collected %v; %d flows, %d done, copies %v", got, e.Flows(), len(r.done), r.copies)
	}

	next, _ := newTestEngine(&released)
	if lost := next.Install(0, b, got); lost != 0 {
		t.Fatalf("%d exceptions lost", lost)
	}
	next.Publish(s)
	data := tcp(ACK, 2, 2, 10)
	if d := next.FromCaller(0, data); d.Addr().Addr() != table.Targets[off].Addr {
		t.Fatalf("delivered to %v after the handover, want %v", d.Addr(), table.Targets[off].Addr)
	}
	if x := next.Explain(0, k); x.Rule != RuleException || x.TargetID != table.Targets[off].ID {
		t.Fatalf("explained as %+v", x)
	}
	next.Publish(&released) // lost by failure and regained: the old entry must not be used
	next.Publish(s)
	if got := next.FromCaller(0, data); got.Addr().Addr() != table.Targets[d].Addr {
		t.Fatalf("delivered to %v by an entry of an earlier ownership", got.Addr())
	}
}

// Guards against flows that change their target when a bundle does, and copies that come too late or stay for ever.
func TestRebase(t *testing.T) {
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
		t.Fatalf("%d added, copies %v", added, r.copies)
	}
	e.ReconcileExceptions(s, next)
	e.Publish(next)
	for _, p := range packets {
		data := *p
		data.Flags, data.Seq = ACK, 2
		table, i := tableOf(s, "rounds", p)
		if d := e.FromCaller(0, &data); d.Addr().Addr() != table.Targets[i].Addr {
			t.Fatalf("a running flow moved from %v to %v", table.Targets[i].Addr, d.Addr())
		}
	}
	for port := range uint16(200) { // a retired target gets no new flow
		p := tcp(SYN, 1, 0, 0)
		p.Source = udp(2000 + port).Source
		if d := e.FromCaller(0, p); d.Addr().Addr() == dropped.Addr {
			t.Fatal("a new flow went to a retired target")
		}
	}
}

// Guards against waiting flows that are asked for twice, or whose slot is lost when the flow is no longer wanted.
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
		t.Fatalf("got %+v", got)
	}
	if got := e.Poll(time.Second, nil); got[0].Decision.Action != Drop || len(r.done) != 1 {
		t.Fatalf("a second verdict gave %+v and %d returned slots", got, len(r.done))
	}
	r.toRelease = nil
	p.Source = udp(9).Source
	expectAction(t, e.FromCaller(0, p), Hold)
	e.Cancel(0, keyOf(s, p))
	if r.cancelled != 1 || e.Flows() != 1 {
		t.Fatalf("%d cancelled, %d flows", r.cancelled, e.Flows())
	}
}

// Guards against a silent connection that is not ended, or is ended with sequence numbers that the ends ignore.
func TestSweepEndsSilentConnection(t *testing.T) {
	e, r := newTestEngine(testSnapshot(testBundle(t, 1, tcpSession)))
	to := e.FromCaller(0, tcp(SYN, 100, 0, 0))
	e.FromTarget(0, answer(tcp(SYN, 100, 500, 0), SYN|ACK), to.Addr().Addr(), to.VNI) // sequence 500, acknowledges 101
	e.FromCaller(0, tcp(ACK, 101, 501, 0))
	for i := range time.Duration(6) {
		e.FromCaller(time.Second+i*3*time.Second, tcp(ACK, 101, 501, 10))
	}
	var endings []ConnectionReset
	for range sweepParts {
		endings = e.Sweep(17*time.Second, endings)
	}
	if len(endings) != 1 || endings[0].SeqToCaller != 501 || endings[0].SeqToTarget != 101 || endings[0].Target != to.Addr() || len(r.done) != 1 {
		t.Fatalf("got %+v, done %v", endings, r.done)
	}
}

// Guards against a refusal that says "not run" for a request that the other side of a partition has run.
func TestNoRefusalWhilePossiblyDivided(t *testing.T) {
	for divided, want := range map[bool]Action{false: Refuse, true: Drop} {
		s := testSnapshot(testBundle(t, 1, udpShort))
		setRole(s, BucketState{Role: RoleOwner, InSync: true})
		s.PossiblyPartitioned = divided
		e, r := newTestEngine(s)
		r.verdict = &Verdict{Outcome: Refused, Code: resultcode.RefusedNoSlot}
		expect(t, e.FromCaller(20*time.Second, udp(9)), want, resultcode.RefusedNoSlot)
	}
}

// Guards against a reset of a connection that is whole on the other side of a partition, and against one that is left to
// hang when its owner has died.
func TestUnknownConnectionAfterLoss(t *testing.T) {
	for recent, want := range map[bool]Action{true: Drop, false: Reset} {
		s := testSnapshot(testBundle(t, 1, tcpSession))
		setRole(s, BucketState{Role: RoleOwner})
		s.LostRecently = recent
		e, _ := newTestEngine(s)
		expect(t, e.FromCaller(20*time.Second, tcp(ACK, 5, 5, 10)), want, resultcode.PacketUnknownFlow)
	}
}
