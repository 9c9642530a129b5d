package steer

import (
	"cmp"
	"slices"
	"time"
)

// ServiceDemand is what this balancer takes the demand for a service to be, and what it does about it.
type ServiceDemand struct {
	Service       string
	Overloaded    bool          // targets are reserved for urgent flows, and bulk flows are refused when they would queue
	ReservedShare float64       // part of the slots that gets no new bulk flows, 0 without overload
	UrgentShare   float64       // part of the requests that belongs to routes more urgent than bulk
	Wait          time.Duration // expected wait of a new request for a slot
	BulkWait      time.Duration // the same at targets that are not reserved
	ServiceTime   time.Duration // 0 while unknown
	Age           time.Duration // of the waits
}

// Demands returns the demand for each service that had new flows here, sorted by service name.
func (e *Engine) Demands(now time.Duration) []ServiceDemand {
	var out []ServiceDemand
	for service, d := range e.demands {
		if d.lastUpdate == 0 {
			continue
		}
		s := ServiceDemand{
			Service: service, UrgentShare: d.urgentShare(), Wait: d.wait, BulkWait: d.bulkWait, ServiceTime: d.serviceTime,
			Age: now - d.lastUpdate,
		}
		if d.reserve.inForce(now) {
			s.Overloaded, s.ReservedShare = true, d.reserve.share
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Admission describes what would become of a new flow under the present load.
type Admission struct {
	ServiceDemand
	Bulk         bool    // the flow may not use reserved targets
	RefusedShare float64 // part of the time in which the caller's new flows on the route are refused
	Refused      bool    // they are refused now, unless the target that is chosen has room
}

// Admission returns what would become of a new flow, and false when the service had no new flows here.
func (e *Engine) Admission(key FlowKey, now time.Duration) (Admission, bool) {
	if e.view == nil {
		return Admission{}, false
	}
	r := e.view.Route(key.Endpoint)
	if r == nil {
		return Admission{}, false
	}
	service := chooseService(r, key.hash())
	for _, s := range e.Demands(now) {
		if s.Service != service {
			continue
		}
		d, callerHash := e.demands[service], key.callerHash()
		share := d.refusedPart(r, callerHash, now)
		return Admission{
			ServiceDemand: s, Bulk: d.isBulk(r), RefusedShare: share, Refused: turn(callerHash, now+e.wallOffset) < share,
		}, true
	}
	return Admission{}, false
}
