package forward

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// takeoverWindow is the time after a change of owner in which packets that the earlier owner forwarded may be retransmitted.
const takeoverWindow = 5 * time.Second

// Config holds the parameters of an Engine.
type Config struct {
	Flows     int           // capacity of the flow table
	Admission Admission     // nil selects StrategyAdmission
	Sink      ExceptionSink // nil discards changes of exceptions
}

// Engine decides what happens to each packet. It is safe for concurrent use, except for Poll and Sweep, each of which
// may be called by one goroutine at a time.
type Engine struct {
	table        *flow.Table
	admission    Admission
	sink         ExceptionSink
	state        atomic.Pointer[lookupState]
	counters     counters
	newest       atomic.Pointer[newerBundle]
	ownerChanges ownerChanges
	history      bundleHistory

	mu                sync.Mutex // serializes Publish; guards openFlows and receivedBaselines
	openFlows         map[flow.TargetID]*atomic.Int64
	receivedBaselines map[ownership.Bucket]*Baseline // baselines of buckets that are about to be owned
	released          []Released                     // buffer that Poll reuses
}

// NewEngine returns an engine that drops every packet until a snapshot is published.
func NewEngine(c Config) *Engine {
	e := &Engine{
		table: flow.NewTable(c.Flows), admission: c.Admission, sink: c.Sink, openFlows: make(map[flow.TargetID]*atomic.Int64),
		receivedBaselines: make(map[ownership.Bucket]*Baseline),
	}
	if e.admission == nil {
		e.admission = StrategyAdmission{}
	}
	if e.sink == nil {
		e.sink = noSink{}
	}
	return e
}

type noSink struct{}

func (noSink) ExceptionAdded(ownership.Bucket, Exception)  {}
func (noSink) ExceptionRemoved(ownership.Bucket, flow.Key) {}

// Publish puts a snapshot in force. If it makes this balancer the owner of a bucket, the exceptions of the bucket must
// already be installed. The snapshot must not be modified afterwards.
func (e *Engine) Publish(s *Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := compile(s, e.counterLocked)
	if s.Bundle != nil {
		e.history.start()
	}
	if old := e.state.Load(); old != nil && old.Bundle != nil && old.Bundle != s.Bundle {
		e.history.add(currentBaseline(old))
	}
	st.inherit(e.state.Load(), &e.ownerChanges, e.receivedBaselines)
	e.state.Store(st)
	for id, c := range e.openFlows {
		if st.target(id) == nil && c.Load() == 0 {
			delete(e.openFlows, id)
		}
	}
}

// Snapshot returns the snapshot in force, or nil.
func (e *Engine) Snapshot() *Snapshot {
	if st := e.state.Load(); st != nil {
		return st.Snapshot
	}
	return nil
}

// newerBundle is the highest bundle version that a forwarded packet has reported, and the peer that sent the packet.
type newerBundle struct {
	version uint64
	peer    membership.HostID
}

// NewestVersion returns the highest bundle version that a packet from a peer has reported as in force there, or 0 when
// no packet has reported a version above that of this balancer.
func (e *Engine) NewestVersion() uint64 {
	if a := e.newest.Load(); a != nil {
		return a.version
	}
	return 0
}

// recordVersion records the peer if its bundle version is higher than any recorded before.
func (e *Engine) recordVersion(version uint64, peer membership.HostID) {
	for {
		old := e.newest.Load()
		if old != nil && old.version >= version || e.newest.CompareAndSwap(old, &newerBundle{version, peer}) {
			return
		}
	}
}

// Flows returns the number of flows in the table.
func (e *Engine) Flows() int { return e.table.Len() }

// OpenFlows returns the number of open flows of a target on this balancer.
func (e *Engine) OpenFlows(id flow.TargetID) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.openFlows[id]; c != nil {
		return c.Load()
	}
	return 0
}

func (e *Engine) counterLocked(id flow.TargetID) *atomic.Int64 {
	c := e.openFlows[id]
	if c == nil {
		c = new(atomic.Int64)
		e.openFlows[id] = c
	}
	return c
}

// serviceOf returns the service of a target in the snapshot in force, or 0 when the snapshot does not contain the target.
func (e *Engine) serviceOf(id flow.TargetID) flow.ServiceID {
	if st := e.state.Load(); st != nil && st.target(id) != nil {
		return st.target(id).service.id
	}
	return 0
}

// countOpen counts the flow of an entry as open at its target.
func (e *Engine) countOpen(st *lookupState, en *flow.Entry) {
	en.Flags |= flow.FlagCounted
	e.addOpen(st, en.Target, 1)
}

// uncountOpen reverses countOpen. It does nothing if the flow is not counted.
func (e *Engine) uncountOpen(st *lookupState, en *flow.Entry) {
	if en.Has(flow.FlagCounted) {
		en.Flags &^= flow.FlagCounted
		e.addOpen(st, en.Target, -1)
	}
}

func (e *Engine) addOpen(st *lookupState, id flow.TargetID, delta int64) {
	if t := st.target(id); t != nil {
		t.open.Add(delta)
		return
	}
	e.mu.Lock()
	e.counterLocked(id).Add(delta)
	e.mu.Unlock()
}

// query holds a packet and what is known about it while the engine decides.
type query struct {
	st         *lookupState
	now        time.Duration
	nowMS      uint32
	p          *Packet
	direction  Direction
	ep         *endpoint
	key        flow.Key
	hash       uint64
	bucket     ownership.Bucket
	targetBits uint16            // low 16 bits of the ID of a target, as in PeerInfo.Target
	sender     membership.HostID // peer that forwarded the packet, 0 for none
	info       PeerInfo          // sent by that peer
}

// FromCaller decides about a packet of a caller that the fabric delivered to this balancer.
func (e *Engine) FromCaller(now time.Duration, p *Packet) Decision {
	q := query{now: now, p: p, direction: ToTarget}
	code := e.loadState(&q)
	if code == resultcode.OK {
		code = q.setFlow(p.Source, p.Destination)
	}
	if code != resultcode.OK {
		return e.count(e.unresolved(&q, code))
	}
	return e.count(e.route(&q))
}

// FromTarget decides about a packet that the target at source sent with the VNI.
func (e *Engine) FromTarget(now time.Duration, p *Packet, source netip.Addr, vni uint32) Decision {
	q := query{now: now, p: p, direction: ToCaller}
	code := e.loadState(&q)
	if code == resultcode.OK {
		code = q.setFlowFromTarget(source, vni)
	}
	if code != resultcode.OK {
		return e.count(drop(code))
	}
	return e.count(e.route(&q))
}

// FromPeer decides about a packet that the balancer at source forwarded.
func (e *Engine) FromPeer(now time.Duration, p *Packet, source netip.Addr, info PeerInfo) Decision {
	q := query{now: now, p: p, direction: info.Direction, info: info, targetBits: info.Target}
	code := e.loadState(&q)
	if code == resultcode.OK {
		code = e.checkPeer(&q, source)
	}
	if code == resultcode.OK {
		code = q.setFlowFromPeer()
	}
	if code != resultcode.OK {
		return e.count(e.unresolved(&q, code))
	}
	return e.count(e.route(&q))
}

// loadState loads the state in force. It returns a code other than OK when no packet can be decided about.
func (e *Engine) loadState(q *query) resultcode.Code {
	q.st, q.nowMS = e.state.Load(), uint32(q.now.Milliseconds())
	switch {
	case q.st == nil || q.st.Bundle == nil || q.st.Buckets == nil:
		return resultcode.BundleNotAvailable
	case q.st.Fenced:
		return resultcode.PacketFenced
	}
	return resultcode.OK
}

// checkPeer identifies the peer that forwarded the packet and validates its option.
func (e *Engine) checkPeer(q *query, source netip.Addr) resultcode.Code {
	q.sender = q.st.PeerAddrs[source]
	if q.sender == 0 {
		return resultcode.PacketForeignSource
	}
	if q.info.Hops == 0 || q.info.Hops > HopLimit || q.info.Direction != ToTarget && q.info.Direction != ToCaller {
		return resultcode.PacketMalformed
	}
	if q.info.Version > q.st.version {
		e.recordVersion(q.info.Version, q.sender)
	}
	return resultcode.OK
}

// setFlow sets the endpoint, flow key and bucket of the packet.
func (q *query) setFlow(caller, endpointAddr netip.AddrPort) resultcode.Code {
	q.ep = q.st.endpoint(q.p.Protocol, endpointAddr)
	if q.ep == nil {
		return resultcode.PacketUnknownEndpoint
	}
	q.key = flow.NewKey(caller, q.ep.id)
	q.hash = q.key.Hash()
	q.bucket = ownership.BucketOf(q.hash)
	return resultcode.OK
}

// setFlowFromTarget sets the flow of a packet from a target after checking that the target belongs to the endpoint's
// service.
func (q *query) setFlowFromTarget(source netip.Addr, vni uint32) resultcode.Code {
	t := q.st.byAddr[source]
	if t == nil || t.vni != vni {
		if q.st.Bundle.ServiceByVNI(vni) == nil && t == nil {
			return resultcode.PacketUnknownVNI
		}
		return resultcode.PacketForeignSource
	}
	if code := q.setFlow(q.p.Destination, q.p.Source); code != resultcode.OK {
		return code
	}
	if q.ep.service != t.service {
		return resultcode.PacketForeignSource
	}
	q.targetBits = uint16(t.id)
	return resultcode.OK
}

// setFlowFromPeer sets the flow of a packet from a peer and checks that both balancers map it to the same service.
func (q *query) setFlowFromPeer() resultcode.Code {
	caller, endpointAddr := q.p.Source, q.p.Destination
	if q.direction == ToCaller {
		caller, endpointAddr = endpointAddr, caller
	}
	if code := q.setFlow(caller, endpointAddr); code != resultcode.OK {
		return code
	}
	if q.info.VNI == q.ep.service.Info.VNI {
		return resultcode.OK
	}
	if q.direction == ToTarget && q.info.Version != q.st.version {
		return resultcode.OK // the newer bundle decides, here or at a member that has it in force
	}
	return resultcode.PacketForeignSource
}

func drop(code resultcode.Code) Decision { return Decision{Attributes: Attributes{Code: code}} }

// unresolved decides about a packet whose flow cannot be determined. When its endpoint is unknown, it is forwarded to a
// member with a newer bundle, if there is one, since that bundle may contain the endpoint.
func (e *Engine) unresolved(q *query, code resultcode.Code) Decision {
	if code == resultcode.PacketUnknownEndpoint && q.direction == ToTarget {
		if behind, current := e.behind(q); behind {
			return q.forwardToPeer(current, code)
		}
	}
	return drop(code)
}

// route decides according to this balancer's role for the bucket of the flow.
func (e *Engine) route(q *query) Decision {
	if q.st.owns(q.bucket) {
		if q.direction == ToTarget {
			return e.ownerFromCaller(q)
		}
		return e.ownerFromTarget(q)
	}
	b := &q.st.Buckets[q.bucket]
	if q.sender != 0 && q.sender == b.Peer && q.info.Version < q.st.version {
		return e.decideByDefault(q, true) // the owner has an older bundle and has forwarded an unknown flow
	}
	if q.info.Hops >= HopLimit {
		return e.atHopLimit(q, b)
	}
	return q.forwardToPeer(b.Peer, resultcode.PacketNoOwner)
}

// atHopLimit decides about a packet that has reached the hop limit because the views of the balancers conflict. During a
// handover packets also go back and forth between two balancers. Neither may then decide, since no entry would inform the
// new owner: the packet is dropped, and a retransmission reaches the new owner.
func (e *Engine) atHopLimit(q *query, b *BucketState) Decision {
	m, self := q.st.Map, q.st.Self
	if b.Role == RoleAcquiring || e.ownerChanges.recent(q.bucket, q.now) || m == nil ||
		m.Owner(q.bucket) != self && m.Backup(q.bucket) != self {
		return drop(resultcode.PacketHopLimit)
	}
	if behind, _ := e.behind(q); behind {
		return drop(resultcode.PacketHopLimit)
	}
	return e.decideByDefault(q, false)
}

// forwardToPeer forwards the packet to a balancer, or drops it with the code when the balancer has no known address.
func (q *query) forwardToPeer(id membership.HostID, code resultcode.Code) Decision {
	addr := q.st.peers[id]
	if addr == nil || id == q.st.Self {
		return drop(code)
	}
	if q.info.Hops >= HopLimit {
		return drop(resultcode.PacketHopLimit)
	}
	d := decide(ForwardPeer, q.direction)
	d.hops, d.targetBits, d.to, d.snapshot = q.info.Hops+1, q.targetBits, addr, q.st.Snapshot
	if q.ep != nil {
		d.VNI = q.ep.service.Info.VNI
	}
	return d
}

// behind reports whether a newer bundle is known to be in force elsewhere, and returns a member that has it, or 0.
// Packets report a newer bundle before the control messages do. From the first such packet on, every unknown flow is
// forwarded to a member with the newer bundle, so that the packets of one flow are not decided by two bundles.
func (e *Engine) behind(q *query) (behind bool, current membership.HostID) {
	if q.info.Version > q.st.version {
		return true, q.sender
	}
	if a := e.newest.Load(); a != nil && a.version > q.st.version {
		if q.st.peers[a.peer] == nil { // the peer has left since
			return true, q.st.CurrentPeer
		}
		return true, a.peer
	}
	return q.st.Behind, q.st.CurrentPeer
}
