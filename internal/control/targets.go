package control

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/internal/platform"
	"github.com/marigoldwood/marigoldwood/internal/prober"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/timeline"
)

const (
	// hostListInterval is how often a reader reads the host list. At 1 s a notice reaches every balancer well within 3 s.
	hostListInterval = time.Second
	// noticeInterval is how often a reader repeats its notices, for balancers that missed them.
	noticeInterval = 5 * time.Second
	// observeInterval is how often the traffic observations of targets are passed to the health tracker.
	observeInterval = 500 * time.Millisecond
)

// Traffic provides what the traffic of this balancer shows about the health of targets.
type Traffic interface {
	// TrafficSamples appends to dst the observations of each target since the last call.
	TrafficSamples(now time.Duration, dst []health.TrafficSample) []health.TrafficSample
}

func (l *Loop) applyHealth(effects []health.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case health.Probe:
			l.probeTarget(e.Target)
		case health.SendReports:
			l.sendReports(e)
		case health.StateChanged:
			l.targetChanged(e)
		case health.TrustChanged:
			l.trustChanged(e)
		}
	}
}

func (l *Loop) sendReports(e health.SendReports) {
	m := &peer.HealthReport{Sequence: e.Sequence, Reports: append([]health.Report(nil), e.Reports...)}
	for _, p := range l.peers() {
		l.cfg.Transport.Send(p.Peer, m)
	}
}

func (l *Loop) targetChanged(e health.StateChanged) {
	l.snapshotStale, l.copiesStale = true, true
	service, address := l.targetNames(e.Target)
	l.record(timeline.Event{
		Kind: "target-state", Service: service, Target: address,
		Detail: fmt.Sprintf("%s to %s by %s", e.From, e.To, e.Cause),
	})
	if e.To == health.Down {
		l.cfg.Dataplane.SendResets(l.cfg.Engine.ResetTarget(l.now, e.Target, nil))
	}
}

func (l *Loop) trustChanged(e health.TrustChanged) {
	service, address := l.targetNames(e.Target)
	kind := "target-distrusted"
	if e.Reason == "" {
		kind = "target-trusted"
	}
	l.record(timeline.Event{Kind: kind, Service: service, Target: address, Detail: e.Reason})
}

// target returns a target of the bundle in force and its service.
func (l *Loop) target(id flow.TargetID) (*bundle.ServiceInfo, bundle.TargetInfo, bool) {
	if b := l.rollout.InForce(); b != nil {
		for _, s := range b.ServiceInfos() {
			if i := l.table(b, s).Index(id); i >= 0 {
				return s, l.table(b, s).Targets[i], true
			}
		}
	}
	return nil, bundle.TargetInfo{}, false
}

// targetNames returns the service name and the address of a target, or empty strings when the bundle in force lacks it.
func (l *Loop) targetNames(id flow.TargetID) (service, address string) {
	if s, t, found := l.target(id); found {
		return s.Name, t.Addr.String()
	}
	return "", ""
}

// probeTarget starts a health probe of a target, unless the target has no health port.
func (l *Loop) probeTarget(id flow.TargetID) {
	_, t, found := l.target(id)
	if !found || t.HealthPort == 0 {
		return
	}
	l.cfg.Prober.Probe(l.ctx, prober.Target{ID: id, HealthAddr: netip.AddrPortFrom(t.Addr, t.HealthPort)})
}

func (e healthProbed) apply(l *Loop) {
	r := e.result
	o := health.Observation{Failed: r.Err != nil}
	if r.Err == nil {
		signal, err := health.ParseSignal(r.State)
		o = health.Observation{
			Failed: err != nil, Signal: signal, InFlight: uint32(max(r.Load.InFlight, 0)),
			Connections: uint32(max(r.Load.Connections, 0)), Queue: uint32(max(r.Load.Queue, 0)),
		}
	}
	at := l.now - time.Since(r.Started)
	l.applyHealth(l.health.Handle(l.now, health.Probed{Target: r.Target, At: at, Observation: o}))
	if !o.Failed {
		l.updateLedgerLoad(r.Target, at, o)
	}
}

// observeTraffic passes the traffic observations that are due to the health tracker.
func (l *Loop) observeTraffic() {
	if l.cfg.Traffic == nil || l.now < l.nextObserve {
		return
	}
	l.nextObserve = l.now + observeInterval
	for _, s := range l.cfg.Traffic.TrafficSamples(l.now, nil) {
		l.applyHealth(l.health.Handle(l.now, s))
	}
	l.snapshotStale = true // loads and shares change with time
}

// hostList is the state of the hosts by the platform's host list.
type hostList struct {
	nextRead, nextNotice time.Duration
	reading              bool
	leaving              map[netip.Addr]bool // true while the host is leaving; false when it is live again
}

// readHosts reads the host list from the platform, if this balancer is a reader of its data centre.
func (l *Loop) readHosts() {
	if l.hosts.reading || l.now < l.hosts.nextRead || !l.rollout.Status(l.now).Reader {
		return
	}
	l.hosts.reading, l.hosts.nextRead = true, l.now+hostListInterval
	l.platform.calls++
	go func() {
		hosts, err := l.cfg.Platform.Hosts(l.ctx)
		l.post(l.ctx, hostsRead{hosts: hosts, err: err})
	}()
}

func (e hostsRead) apply(l *Loop) {
	l.hosts.reading = false
	if e.err != nil {
		return
	}
	l.platform.lastRead = l.now
	changed := l.mergeHosts(e.hosts)
	if !changed && l.now < l.hosts.nextNotice {
		return
	}
	l.hosts.nextNotice = l.now + noticeInterval
	notices := l.hostNotices()
	l.receiveNotices(notices)
	if len(notices.Leaving)+len(notices.Live) == 0 {
		return
	}
	for _, m := range l.peers() {
		l.cfg.Transport.Send(m.Peer, notices)
	}
}

// mergeHosts updates the state from the host list and reports whether a host began to leave or is live again.
func (l *Loop) mergeHosts(hosts []platform.Host) (changed bool) {
	if l.hosts.leaving == nil {
		l.hosts.leaving = make(map[netip.Addr]bool)
	}
	var candidates []membership.Candidate
	for _, h := range hosts {
		addr, err := netip.ParseAddr(h.Address)
		if err != nil || h.DataCentre != l.cfg.Self.DataCentre {
			continue
		}
		leaving := h.State == "leaving"
		if previous, known := l.hosts.leaving[addr]; previous != leaving && (known || leaving) {
			l.hosts.leaving[addr] = leaving
			changed = true
		}
		probe := netip.AddrPortFrom(addr, l.cfg.Self.Probe.Port())
		candidates = append(candidates, membership.Candidate{Name: h.Name, DataCentre: h.DataCentre, Probe: probe, Leaving: leaving})
	}
	l.applyMembers(l.members.Handle(l.now, membership.HostList{Candidates: l.withoutTargets(candidates)}))
	return changed
}

// withoutTargets returns the candidates that are not targets, since no balancer runs on a target.
func (l *Loop) withoutTargets(candidates []membership.Candidate) []membership.Candidate {
	targets := make(map[netip.Addr]bool)
	if b := l.rollout.InForce(); b != nil {
		for _, s := range b.ServiceInfos() {
			for _, t := range s.Resolved {
				targets[t.Addr] = true
			}
		}
	}
	var out []membership.Candidate
	for _, c := range candidates {
		if !targets[c.Probe.Addr()] {
			out = append(out, c)
		}
	}
	return out
}

// hostNotices returns notices of the hosts that are leaving and of those that were leaving and are live again.
func (l *Loop) hostNotices() *peer.HostNotices {
	n := &peer.HostNotices{}
	for addr, leaving := range l.hosts.leaving {
		if leaving {
			n.Leaving = append(n.Leaving, addr.String())
		} else {
			n.Live = append(n.Live, addr.String())
		}
	}
	return n
}

// receiveNotices passes the notices of a reader to the health tracker.
func (l *Loop) receiveNotices(n *peer.HostNotices) {
	leaving := make(map[netip.Addr]bool)
	for _, text := range n.Leaving {
		if addr, err := netip.ParseAddr(text); err == nil {
			leaving[addr] = true
		}
	}
	for _, text := range n.Live {
		if addr, err := netip.ParseAddr(text); err == nil {
			leaving[addr] = false
		}
	}
	l.applyHealth(l.health.Handle(l.now, health.HostList{Leaving: leaving}))
}

// ForwardProbeResults queues the results of health probes of targets for the loop until the context ends.
func (l *Loop) ForwardProbeResults(ctx context.Context, results <-chan prober.Result) error {
	for {
		select {
		case r := <-results:
			l.post(ctx, healthProbed{result: r})
		case <-ctx.Done():
			return nil
		}
	}
}
