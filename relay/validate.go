package relay

import (
	"math"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Bounds on the content of a message.
const (
	maxNameBytes = 63
	maxMembers   = 1024
)

// Validate checks a report from the network. The error has the code PeerFrame.
func (r *Report) Validate() error {
	switch {
	case !r.Host.valid():
		return invalid("invalid name, data centre, address or weight of host %q", r.Host.Name)
	case !r.Freshness.valid():
		return invalid("negative time in freshness %+v", r.Freshness)
	case len(r.Loads.Targets) > maxLoads || len(r.Loads.Rest) > maxServiceLoads || len(r.Loads.Times) > maxLoads:
		return invalid("too many loads: %d targets, %d services, %d times",
			len(r.Loads.Targets), len(r.Loads.Rest), len(r.Loads.Times))
	case len(r.Loads.Silence) > maxLoads:
		return invalid("evidence on too many targets: %d", len(r.Loads.Silence))
	}
	for _, l := range r.Loads.Rest {
		if l.Service == "" {
			return invalid("load of %d requests of a service without a name", l.Pending)
		}
	}
	return nil
}

// Validate checks a reply from the network, except its changes: directory.Batch.RejectUnusable checks each of them by itself, so that
// one that this host cannot use costs no other. The error has the code PeerFrame.
func (r *Reply) Validate() error {
	report := Report{Host: r.Host, Freshness: r.Freshness, Loads: r.Loads}
	if err := report.Validate(); err != nil {
		return err
	}
	if len(r.Hosts) > maxMembers || r.HostCount < 0 || r.KnownHosts < 0 {
		return invalid("too many hosts or negative host count: %d hosts, counts %d, %d", len(r.Hosts), r.HostCount, r.KnownHosts)
	}
	for i := range r.Hosts {
		if !r.Hosts[i].Host.valid() || r.Hosts[i].LastSeen < 0 {
			return invalid("invalid member %q", r.Hosts[i].Host.Name)
		}
	}
	return nil
}

func (h *Host) valid() bool {
	return h.Name != "" && len(h.Name) <= maxNameBytes && h.DataCentre != "" && len(h.DataCentre) <= maxNameBytes &&
		h.Address.IsValid() && h.Address.Port() != 0 && h.Weight > 0 && !math.IsInf(h.Weight, 0)
}

func (k *Freshness) valid() bool { return k.Age >= 0 && k.Confirmed >= 0 && k.Steady >= 0 }

func invalid(format string, args ...any) error {
	return resultcode.Errorf(resultcode.PeerFrame, "relay", format, args...)
}
