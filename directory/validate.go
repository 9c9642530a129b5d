package directory

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Error is the class of errors of this package.
var Error = errs.Class("directory")

// Bounds of what a record may say. The reader of the store and the hosts that learn of a change from another host apply the same
// ones, so that no host refuses what another one has accepted.
const (
	maxNameBytes = 200            // of a target, a service or a data centre
	maxCapacity  = math.MaxUint16 // loads are counted up to this number
	maxColdFor   = MaxColdStart
)

// MaxColdStart is the maximum time for which a target is slow after its start.
const MaxColdStart = 24 * time.Hour

// MaxColdPerSecond is the maximum of Service.ColdPerSecond.
const MaxColdPerSecond = 1e6

// MaxWeight is the maximum weight of a service on a route. The weights of all services of a route are added up.
const MaxWeight = math.MaxInt32

// Validate reports whether the target can be used.
func (t *Target) Validate() error {
	switch {
	case !validName(t.Name) || !validName(t.Service) || !validName(t.DataCentre):
		return Error.New("name, service or data centre is empty or longer than %d bytes", maxNameBytes)
	case !validAddress(t.Address):
		return Error.New("address %v is not an IPv4 address and port of a host", t.Address)
	case t.Capacity < 1 || t.Capacity > maxCapacity:
		return Error.New("capacity %d is not between 1 and %d", t.Capacity, maxCapacity)
	case t.ColdFor < 0 || t.ColdFor > maxColdFor:
		return Error.New("warm-up time %v is not between 0 and %v", t.ColdFor, maxColdFor)
	case t.StartedMS < 0:
		return Error.New("start %d ms is negative", t.StartedMS)
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func validAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	return ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast && a.Port() != 0
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Validate reports whether the change describes a usable target, or the removal or an unusable record of one.
func (c *Change) Validate() error {
	switch {
	case !validName(c.Name):
		return Error.New("name of %d bytes", len(c.Name))
	case c.Kept != nil && (c.Target == nil || c.Removed || c.Unusable):
		return Error.New("kept record beside none of the store")
	case c.Target == nil && !c.Removed && !c.Unusable:
		return Error.New("neither a record nor a removal")
	case c.Target == nil:
		return nil
	case c.Target.Name != c.Name:
		return Error.New("record of another target, %q", c.Target.Name)
	case c.Kept != nil && c.Kept.Target.Name != c.Name:
		return Error.New("kept record of another target, %q", c.Kept.Target.Name)
	case c.Kept != nil:
		return errs.Combine(c.Kept.Target.Validate(), c.Target.Validate())
	}
	return c.Target.Validate()
}

// Validate reports whether the configuration can be used: each route needs services with positive weights for placement.
func (c *Configuration) Validate() error {
	if c.Version == 0 || c.Revision == 0 {
		return Error.New("version %d or revision %d is 0", c.Version, c.Revision)
	}
	for i := range c.Services {
		if err := c.Services[i].validate(); err != nil {
			return err
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Services) == 0 {
			return Error.New("route %.40q has no service", r.Name)
		}
		for _, s := range r.Services {
			if s.Weight < 1 || s.Weight > MaxWeight {
				return Error.New("weight %d of a service of route %.40q is not between 1 and %d", s.Weight, r.Name, MaxWeight)
			}
		}
	}
	return nil
}

func (s *Service) validate() error {
	if s.ColdStart < 0 || s.ColdStart > maxColdFor || !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= MaxColdPerSecond) {
		return Error.New("cold start %v or requests while cold %v of service %.40q are out of range", s.ColdStart, s.ColdPerSecond, s.Name)
	}
	return nil
}

// RejectUnusable replaces the changes that cannot be used by unusable records, leaves out those without a valid name, unusable
// evacuations and an unusable configuration, and returns a *resultcode.Error for each. The other changes of the batch are not affected.
func (b *Batch) RejectUnusable() []error {
	var rejected []error
	kept := b.Changes[:0]
	for _, c := range b.Changes {
		if err := c.Validate(); err != nil {
			rejected = append(rejected, resultcode.Errorf(resultcode.PlatformRecord, c.Name, "%v", err))
			if !validName(c.Name) {
				continue
			}
			c = Change{Name: c.Name, Revision: c.Revision, Removed: c.Removed, Unusable: true}
		}
		kept = append(kept, c)
	}
	b.Changes = kept
	b.Evacuations = slices.DeleteFunc(b.Evacuations, func(e Evacuation) bool {
		err := e.Validate()
		if err != nil {
			rejected = append(rejected, resultcode.Errorf(resultcode.PlatformRecord, "", "%v", err))
		}
		return err != nil
	})
	if b.Configuration != nil {
		if err := b.Configuration.Validate(); err != nil {
			rejected = append(rejected, resultcode.Errorf(resultcode.ConfigurationInvalid, "", "%v", err))
			b.Configuration = nil
		}
	}
	return rejected
}
