package forward

import (
	"net/netip"
	"sync/atomic"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// lookupState is a snapshot with the lookup tables that decisions use. It is immutable once published.
type lookupState struct {
	*Snapshot
	version   uint64
	endpoints index[endpointKey, endpoint]
	targets   index[flow.TargetID, target]
	byID      map[flow.EndpointID]*endpoint
	byAddr    map[netip.Addr]*target
	services  map[flow.ServiceID]*service
	peers     map[membership.HostID]*netip.AddrPort
	// baselines holds for each bucket the targets that were in force when this balancer received the bucket.
	baselines [ownership.BucketCount]*Baseline
	// owned tells which buckets this balancer owns, in a form compact enough for the first-level cache.
	owned [ownership.BucketCount]bool
	// epochs counts for each bucket how often this balancer lost its ownership. Entries of an earlier epoch are not
	// valid, because another owner may have moved their flows to other targets.
	epochs [ownership.BucketCount]uint8
}

type endpoint struct {
	id      flow.EndpointID
	addr    netip.AddrPort
	service *service
}

type service struct {
	*ServiceState
	id      flow.ServiceID
	targets []*target // by position in Table.Targets; nil where the isolation check failed
	retired []*target
	view    serviceView
	// replicated reports that flows off their default target are exceptions, of which the backup holds copies. It is false
	// for short idempotent services, whose flows can be placed again.
	replicated bool
	// prefersDefault reports that a new flow goes to its default target whenever that is eligible. A new owner cannot tell
	// a packet of an unknown UDP flow from a new flow, so both owners must select the same target.
	prefersDefault bool
	short          bool // the flows of the service are single requests
}

type target struct {
	id       flow.TargetID
	addr     netip.AddrPort
	vni      uint32
	service  *service
	position int // in the service's table, -1 when retired
	open     *atomic.Int64
}

// usable reports whether the target may get packets of running flows. A retired target is always usable.
func (t *target) usable() bool {
	return t.position < 0 || t.position >= len(t.service.Targets) || t.service.Targets[t.position].Usable
}

// counterOf returns the counter of open flows of a target.
type counterOf func(flow.TargetID) *atomic.Int64

// compile builds the lookup tables of a snapshot.
func compile(s *Snapshot, counter counterOf) *lookupState {
	st := &lookupState{
		Snapshot: s, byID: make(map[flow.EndpointID]*endpoint), byAddr: make(map[netip.Addr]*target),
		services: make(map[flow.ServiceID]*service), peers: make(map[membership.HostID]*netip.AddrPort),
	}
	for id, addr := range s.Peers {
		st.peers[id] = &addr
	}
	if s.Buckets != nil {
		for b := range s.Buckets {
			st.owned[b] = s.Buckets[b].Role == RoleOwner
		}
	}
	if s.Bundle == nil {
		return st
	}
	st.version = s.Bundle.Version
	endpoints, targets := 0, len(s.Retired)
	for _, info := range s.Bundle.ServiceInfos() {
		endpoints += len(info.Endpoints)
		if ss := s.Services[info.ID]; ss != nil {
			targets += len(ss.Table.Targets)
		}
	}
	st.endpoints = newIndex[endpointKey, endpoint](endpoints)
	st.targets = newIndex[flow.TargetID, target](targets)
	for _, info := range s.Bundle.ServiceInfos() {
		if ss := s.Services[info.ID]; ss != nil {
			st.addService(info, ss, counter)
		}
	}
	for id, r := range s.Retired {
		st.addRetired(id, r, counter)
	}
	return st
}

func (st *lookupState) addService(info *bundle.ServiceInfo, ss *ServiceState, counter counterOf) {
	sv := newService(info, ss)
	st.services[info.ID] = sv
	members := 1
	if st.Map != nil {
		members = max(len(st.Map.Members()), 1)
	}
	sv.view = serviceView{service: sv, members: float64(members)}
	for i := range ss.Table.Targets {
		t := &ss.Table.Targets[i]
		if owner := st.TargetAddrs[t.Addr]; owner != nil && owner.ID != info.ID {
			continue // isolation: the address belongs to another service
		}
		ref := &target{
			id: t.ID, addr: netip.AddrPortFrom(t.Addr, t.DataPort), vni: info.VNI, service: sv, position: i, open: counter(t.ID),
		}
		sv.targets[i] = ref
		st.targets.put(uint64(t.ID), t.ID, ref)
		st.byAddr[t.Addr] = ref
	}
	for _, text := range info.Endpoints {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			continue // not reached: bundle.Parse rejects such an endpoint
		}
		addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		e := st.Bundle.Endpoint(bundle.EndpointAddr{Protocol: info.Proto, Addr: addr})
		if e == nil || e.Service.ID != info.ID {
			continue
		}
		ref := &endpoint{id: e.ID, addr: addr, service: sv}
		key := newEndpointKey(info.Proto, addr)
		st.endpoints.put(key.hash(), key, ref)
		st.byID[e.ID] = ref
	}
}

// addRetired adds a target that is no longer in the bundle, unless its address now belongs to another service.
func (st *lookupState) addRetired(id flow.TargetID, r RetiredTarget, counter counterOf) {
	sv := st.services[r.Service]
	if sv == nil || st.target(id) != nil || st.byAddr[r.Addr] != nil || st.TargetAddrs[r.Addr] != nil {
		return
	}
	ref := &target{id: id, addr: netip.AddrPortFrom(r.Addr, r.DataPort), vni: r.VNI, service: sv, position: -1, open: counter(id)}
	st.targets.put(uint64(id), id, ref)
	st.byAddr[r.Addr] = ref
	sv.retired = append(sv.retired, ref)
}

// target returns a target of the bundle or a retired one, or nil.
func (st *lookupState) target(id flow.TargetID) *target { return st.targets.get(uint64(id), id) }

// endpoint returns the endpoint with a protocol and address, or nil.
func (st *lookupState) endpoint(p flow.Protocol, a netip.AddrPort) *endpoint {
	k := newEndpointKey(p, a)
	return st.endpoints.get(k.hash(), k)
}

// inherit takes the epochs and baselines over from the previous state and records the buckets whose ownership changes.
func (st *lookupState) inherit(old *lookupState, m *ownerChanges, received map[ownership.Bucket]*Baseline) {
	now := currentBaseline(st)
	if old == nil {
		for b := range st.baselines {
			st.baselines[b] = now
		}
		return
	}
	st.epochs, st.baselines = old.epochs, old.baselines
	for b := range st.epochs {
		before, after := old.owns(ownership.Bucket(b)), st.owns(ownership.Bucket(b))
		switch {
		case before && !after:
			st.epochs[b]++
			m.record(ownership.Bucket(b))
		case after && !before:
			m.record(ownership.Bucket(b))
			st.baselines[b] = now
			if earlier := received[ownership.Bucket(b)]; earlier != nil {
				st.baselines[b] = earlier.withMissingServices(now)
				delete(received, ownership.Bucket(b))
			}
		}
		if st.baselines[b] == nil {
			st.baselines[b] = now
		}
	}
}

func (st *lookupState) owns(b ownership.Bucket) bool { return st.owned[b%ownership.BucketCount] }

// defaultTarget returns the default target of a flow, or nil.
func (sv *service) defaultTarget(hash uint64) *target {
	i := sv.Table.Default(hash)
	if i < 0 {
		return nil
	}
	return sv.targets[i]
}

// eligible reports whether the target may get new flows.
func (sv *service) eligible(t *target) bool {
	return t != nil && t.position >= 0 && t.position < len(sv.Targets) && sv.Targets[t.position].Eligible
}

// needsCopy reports whether a new owner without an entry might send the next packet of a flow to another target, so that
// the flow is an exception.
func (sv *service) needsCopy(hash uint64, id flow.TargetID) bool {
	if !sv.replicated {
		return false
	}
	d := sv.defaultTarget(hash)
	return d == nil || d.id != id || sv.prefersDefault && !sv.eligible(d)
}

// serviceView implements placement.View for the targets of a service.
type serviceView struct {
	service *service
	members float64
}

// Eligible implements placement.View.
func (v *serviceView) Eligible(i int) bool { return v.service.eligible(v.service.targets[i]) }

// Load returns the higher of the target's open flows on this balancer and this balancer's share of the load that the
// target reports. A target that wrongly reports no load is thus still counted with the flows that it was given.
func (v *serviceView) Load(i int) float64 {
	t := v.service.targets[i]
	if t == nil {
		return 0
	}
	open := float64(t.open.Load())
	if i < len(v.service.Targets) {
		return max(open, v.service.Targets[i].ReportedLoad/v.members)
	}
	return open
}

// Share implements placement.View.
func (v *serviceView) Share(i int) float64 {
	if i < len(v.service.Targets) {
		return v.service.Targets[i].Share
	}
	return 0
}

// singleTargetView is a placement.View in which at most one target is eligible.
type singleTargetView struct {
	*serviceView
	index int
}

// Eligible implements placement.View.
func (v singleTargetView) Eligible(i int) bool { return i == v.index && v.serviceView.Eligible(i) }
