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

// takeoverWindow is the time after a change of owner in which packets that the earlier owner forwarded may come again.
const takeoverWindow = 5 * time.Second

// Config holds what an Engine needs.
type Config struct {
	Flows     int           // capacity of the flow table
	Admission Admission     // nil means StrategyAdmission
	Sink      ExceptionSink // nil means that exceptions are not reported
}

// Engine decides about packets. It is safe for use by several goroutines, but for Poll and Sweep, each of which one
// goroutine may call at a time.
type Engine struct {
	table     *flow.Table
	admission Admission
	sink      ExceptionSink
	state     atomic.Pointer[state]
	counters  counters
	ahead     atomic.Pointer[ahead]
	moves     moves
	history   history

	mu       sync.Mutex // guards Publish, open and received
	open     map[flow.TargetID]*atomic.Int64
	received map[ownership.Bucket]*Baseline // bases of buckets that are about to be owned
	released []Released                     // scratch space of Poll
}

// NewEngine returns an engine that drops every packet until a snapshot is published.
func NewEngine(c Config) *Engine {
	e := &Engine{
		table: flow.NewTable(c.Flows), admission: c.Admission, sink: c.Sink, open: make(map[flow.TargetID]*atomic.Int64),
		received: make(map[ownership.Bucket]*Baseline),
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

// Publish puts a snapshot in force. Exceptions of buckets that it makes this balancer the owner of must have been
// installed before. The snapshot must not be changed afterwards.
func (e *Engine) Publish(s *Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := compile(s, e.counterLocked)
	if s.Bundle != nil {
		e.history.start()
	}
	if old := e.state.Load(); old != nil && old.Bundle != nil && old.Bundle != s.Bundle {
		e.history.add(newBase(old))
	}
	st.inherit(e.state.Load(), &e.moves, e.received)
	e.state.Store(st)
	for id, c := range e.open {
		if st.target(id) == nil && c.Load() == 0 {
			delete(e.open, id)
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

// ahead is the highest bundle version that a packet has shown to be in force, and the peer that sent it.
type ahead struct {
	version uint64
	peer    membership.HostID
}

// NewestVersion returns the highest bundle version that a packet has shown to be in force at a peer, 0 when there was
// none.
func (e *Engine) NewestVersion() uint64 {
	if a := e.ahead.Load(); a != nil {
		return a.version
	}
	return 0
}

// noteVersion remembers a peer with a newer bundle than any seen before.
func (e *Engine) noteVersion(version uint64, peer membership.HostID) {
	for {
		old := e.ahead.Load()
		if old != nil && old.version >= version || e.ahead.CompareAndSwap(old, &ahead{version, peer}) {
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
	if c := e.open[id]; c != nil {
		return c.Load()
	}
	return 0
}

func (e *Engine) counterLocked(id flow.TargetID) *atomic.Int64 {
	c := e.open[id]
	if c == nil {
		c = new(atomic.Int64)
		e.open[id] = c
	}
	return c
}

// serviceOf returns the service that a target had in the last snapshot that knew it, 0 when there was none.
func (e *Engine) serviceOf(id flow.TargetID) flow.ServiceID {
	if st := e.state.Load(); st != nil && st.target(id) != nil {
		return st.target(id).service.id
	}
	return 0
}

// countOpen counts the flow of an entry as open at its target.
func (e *Engine) countOpen(st *state, en *flow.Entry) {
	en.Flags |= flow.FlagCounted
	e.addOpen(st, en.Target, 1)
}

// uncount ends countOpen, once.
func (e *Engine) uncount(st *state, en *flow.Entry) {
	if en.Has(flow.FlagCounted) {
		en.Flags &^= flow.FlagCounted
		e.addOpen(st, en.Target, -1)
	}
}

func (e *Engine) addOpen(st *state, id flow.TargetID, delta int64) {
	if t := st.target(id); t != nil {
		t.open.Add(delta)
		return
	}
	e.mu.Lock()
	e.counterLocked(id).Add(delta)
	e.mu.Unlock()
}

// query is one packet under decision.
type query struct {
	st        *state
	now       time.Duration
	nowMS     uint32
	p         *Packet
	direction Direction
	ep        *endpoint
	key       flow.Key
	hash      uint64
	bucket    ownership.Bucket
	source    uint16            // low bits of the ID of the sending target
	sender    membership.HostID // peer that passed the packet on, 0 for none
	info      PeerInfo          // of that peer
}

// FromCaller decides about a packet that the fabric brought from a caller.
func (e *Engine) FromCaller(now time.Duration, p *Packet) Decision {
	q := query{now: now, p: p, direction: ToTarget}
	code := e.begin(&q)
	if code == resultcode.OK {
		code = q.find(p.Source, p.Destination)
	}
	if code != resultcode.OK {
		return e.count(e.lost(&q, code))
	}
	return e.count(e.route(&q))
}

// FromTarget decides about a packet that the target at source sent with the VNI.
func (e *Engine) FromTarget(now time.Duration, p *Packet, source netip.Addr, vni uint32) Decision {
	q := query{now: now, p: p, direction: ToCaller}
	code := e.begin(&q)
	if code == resultcode.OK {
		code = q.findTarget(source, vni)
	}
	if code != resultcode.OK {
		return e.count(drop(code))
	}
	return e.count(e.route(&q))
}

// FromPeer decides about a packet that the balancer at source passed on.
func (e *Engine) FromPeer(now time.Duration, p *Packet, source netip.Addr, info PeerInfo) Decision {
	q := query{now: now, p: p, direction: info.Direction, info: info, source: info.Target}
	code := e.begin(&q)
	if code == resultcode.OK {
		code = e.findPeer(&q, source)
	}
	if code == resultcode.OK {
		code = q.findFromPeer()
	}
	if code != resultcode.OK {
		return e.count(e.lost(&q, code))
	}
	return e.count(e.route(&q))
}

// begin loads the state and reports why nothing can be decided.
func (e *Engine) begin(q *query) resultcode.Code {
	q.st, q.nowMS = e.state.Load(), uint32(q.now.Milliseconds())
	switch {
	case q.st == nil || q.st.Bundle == nil || q.st.Buckets == nil:
		return resultcode.BundleNotAvailable
	case q.st.Fenced:
		return resultcode.PacketFenced
	}
	return resultcode.OK
}

func (e *Engine) findPeer(q *query, source netip.Addr) resultcode.Code {
	q.sender = q.st.PeerAddrs[source]
	if q.sender == 0 {
		return resultcode.PacketForeignSource
	}
	if q.info.Hops == 0 || q.info.Hops > HopLimit || q.info.Direction != ToTarget && q.info.Direction != ToCaller {
		return resultcode.PacketMalformed
	}
	if q.info.Version > q.st.version {
		e.noteVersion(q.info.Version, q.sender)
	}
	return resultcode.OK
}

// find sets the flow of the packet.
func (q *query) find(caller, at netip.AddrPort) resultcode.Code {
	q.ep = q.st.endpoint(q.p.Protocol, at)
	if q.ep == nil {
		return resultcode.PacketUnknownEndpoint
	}
	q.key = flow.NewKey(caller, q.ep.id)
	q.hash = q.key.Hash()
	q.bucket = ownership.BucketOf(q.hash)
	return resultcode.OK
}

// findTarget checks that a target of the endpoint's service sent the packet.
func (q *query) findTarget(source netip.Addr, vni uint32) resultcode.Code {
	t := q.st.byAddr[source]
	if t == nil || t.vni != vni {
		if q.st.Bundle.ServiceByVNI(vni) == nil && t == nil {
			return resultcode.PacketUnknownVNI
		}
		return resultcode.PacketForeignSource
	}
	if code := q.find(q.p.Destination, q.p.Source); code != resultcode.OK {
		return code
	}
	if q.ep.service != t.service {
		return resultcode.PacketForeignSource
	}
	q.source = uint16(t.id)
	return resultcode.OK
}

// findFromPeer sets the flow of a packet from a peer and checks that both balancers take it for the same service.
func (q *query) findFromPeer() resultcode.Code {
	caller, at := q.p.Source, q.p.Destination
	if q.direction == ToCaller {
		caller, at = at, caller
	}
	if code := q.find(caller, at); code != resultcode.OK {
		return code
	}
	if q.info.VNI == q.ep.service.Info.VNI {
		return resultcode.OK
	}
	if q.direction == ToTarget && q.info.Version != q.st.version {
		return resultcode.OK // the newer bundle decides, here or at a current member
	}
	return resultcode.PacketForeignSource
}

func drop(code resultcode.Code) Decision { return Decision{Attributes: Attributes{Code: code}} }

// lost decides about a packet whose flow cannot be found. A newer bundle may know its endpoint.
func (e *Engine) lost(q *query, code resultcode.Code) Decision {
	if code == resultcode.PacketUnknownEndpoint && q.direction == ToTarget {
		if behind, current := e.behind(q); behind {
			return q.toPeer(current, code)
		}
	}
	return drop(code)
}

// route decides by the role for the bucket.
func (e *Engine) route(q *query) Decision {
	if q.st.owns(q.bucket) {
		if q.direction == ToTarget {
			return e.ownerFromCaller(q)
		}
		return e.ownerFromTarget(q)
	}
	b := &q.st.Buckets[q.bucket]
	if q.sender != 0 && q.sender == b.Peer && q.info.Version < q.st.version {
		return e.byDefault(q, true) // the owner is behind and has passed on a flow that it does not know
	}
	if q.info.Hops >= HopLimit {
		return e.atHopLimit(q, b)
	}
	return q.toPeer(b.Peer, resultcode.PacketNoOwner)
}

// atHopLimit decides when the views of the balancers conflict. During a handover packets also pass to and fro, but then
// neither balancer may decide, since no entry would tell the new owner; a retransmission finds that.
func (e *Engine) atHopLimit(q *query, b *BucketState) Decision {
	m, self := q.st.Map, q.st.Self
	if b.Role == RoleAcquiring || e.moves.recent(q.bucket, q.now) || m == nil || m.Owner(q.bucket) != self && m.Backup(q.bucket) != self {
		return drop(resultcode.PacketHopLimit)
	}
	if behind, _ := e.behind(q); behind {
		return drop(resultcode.PacketHopLimit)
	}
	return e.byDefault(q, false)
}

// toPeer passes the packet to a balancer, or drops it with the code when that has no address.
func (q *query) toPeer(id membership.HostID, code resultcode.Code) Decision {
	addr := q.st.peers[id]
	if addr == nil || id == q.st.Self {
		return drop(code)
	}
	if q.info.Hops >= HopLimit {
		return drop(resultcode.PacketHopLimit)
	}
	d := decide(ForwardPeer, q.direction)
	d.hops, d.source, d.to, d.snapshot = q.info.Hops+1, q.source, addr, q.st.Snapshot
	if q.ep != nil {
		d.VNI = q.ep.service.Info.VNI
	}
	return d
}

// behind reports whether a newer bundle is known to be in force elsewhere, and a member that has it, or 0. Packets show it
// before control does. From the first on every unknown flow goes to a current member, so that the packets of one flow
// are not decided by two bundles.
func (e *Engine) behind(q *query) (behind bool, current membership.HostID) {
	if q.info.Version > q.st.version {
		return true, q.sender
	}
	if a := e.ahead.Load(); a != nil && a.version > q.st.version {
		if q.st.peers[a.peer] == nil { // it has left meanwhile
			return true, q.st.CurrentPeer
		}
		return true, a.peer
	}
	return q.st.Behind, q.st.CurrentPeer
}
