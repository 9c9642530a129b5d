package bundle

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	defaultStrategy   = "bounded"
	defaultLoadFactor = 1.1
)

var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}()

// Parse decodes and validates a bundle document. The error is a *resultcode.Error that names the invalid field.
func Parse(payload []byte) (*Bundle, error) {
	if len(payload) > MaxEnvelopeBytes {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "%d bytes, at most %d allowed", len(payload), MaxEnvelopeBytes)
	}
	b := &Bundle{
		Payload:   bytes.Clone(payload),
		Digest:    sha256.Sum256(payload),
		endpoints: make(map[EndpointAddr]*Endpoint),
		byID:      make(map[flow.EndpointID]*Endpoint),
		byVNI:     make(map[uint32]*ServiceInfo),
	}
	if err := decode(payload, &b.Document); err != nil {
		return nil, err
	}
	if err := checkFields(&b.Document); err != nil {
		return nil, err
	}
	r := resolver{bundle: b, names: make(map[string]bool), targets: make(map[netip.Addr]string), ids: make(map[flow.TargetID]string)}
	for i := range b.Services {
		if err := r.addService(&b.Services[i]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func decode(payload []byte, doc *Document) error {
	if decodeCompact(payload, doc) {
		return nil
	}
	file, err := parser.ParseBytes(payload, 0)
	if err != nil {
		return syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return resultcode.Errorf(resultcode.BundleSyntax, "", "got %d YAML documents, want 1", len(file.Docs))
	}
	if err := checkNumbers(file.Docs[0].Body); err != nil {
		return err
	}
	if err := yaml.NewDecoder(bytes.NewReader(nil), yaml.DisallowUnknownField()).DecodeFromNode(file.Docs[0].Body, doc); err != nil {
		return syntaxError(err)
	}
	return nil
}

func syntaxError(err error) error {
	code := resultcode.BundleSyntax
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		code = resultcode.BundleUnknownField
	}
	return resultcode.Errorf(code, "", "%s", yaml.FormatError(err, false, false))
}

func checkFields(doc *Document) error {
	err := validate.Struct(doc)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		f := invalid[0]
		return resultcode.Errorf(resultcode.BundleInvalidValue, fieldPath(f.Namespace()),
			"value %v is not allowed: must satisfy %s %s", f.Value(), f.Tag(), f.Param())
	}
	if err != nil {
		return resultcode.Errorf(resultcode.BundleSyntax, "", "%v", err)
	}
	return nil
}

// fieldPath removes the name of the root struct from a validator namespace.
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return path
}

type resolver struct {
	bundle  *Bundle
	names   map[string]bool
	targets map[netip.Addr]string
	ids     map[flow.TargetID]string
}

func (r *resolver) addService(s *Service) error {
	if r.names[s.Name] {
		return resultcode.Errorf(resultcode.BundleDuplicateService, "services."+s.Name, "duplicate service name")
	}
	r.names[s.Name] = true
	if other := r.bundle.byVNI[s.VNI]; other != nil {
		return resultcode.Errorf(resultcode.BundleDuplicateVNI, "services."+s.Name+".vni",
			"%d is already the VNI of service %s", s.VNI, other.Name)
	}
	if err := checkLimits(s); err != nil {
		return err
	}
	info := newServiceInfo(s)
	r.bundle.byVNI[s.VNI] = info
	r.bundle.services = append(r.bundle.services, info)
	for _, e := range s.Endpoints {
		if err := r.addEndpoint(info, e); err != nil {
			return err
		}
	}
	for i := range s.Targets {
		if err := r.addTarget(info, &s.Targets[i]); err != nil {
			return err
		}
	}
	return nil
}

func newServiceInfo(s *Service) *ServiceInfo {
	info := &ServiceInfo{Service: *s, ID: flow.NewServiceID(s.Name), Proto: flow.TCP}
	if s.Protocol == flow.UDP.String() {
		info.Proto = flow.UDP
	}
	info.Deadline = time.Duration(s.DeadlineMS) * time.Millisecond
	if info.Placement.Strategy == "" {
		info.Placement.Strategy = defaultStrategy
	}
	if info.Placement.LoadFactor == 0 {
		info.Placement.LoadFactor = defaultLoadFactor
	}
	return info
}

func checkLimits(s *Service) error {
	l := s.Limits
	if l.ReservedUrgentSlots > l.SlotsPerTarget {
		return resultcode.Errorf(resultcode.BundleImpossibleLimit, "services."+s.Name+".limits.reserved_urgent_slots",
			"%d exceeds slots_per_target, which is %d", l.ReservedUrgentSlots, l.SlotsPerTarget)
	}
	if s.Class == ClassBulk && l.SlotsPerTarget > 0 && l.ReservedUrgentSlots == l.SlotsPerTarget {
		return resultcode.Errorf(resultcode.BundleImpossibleLimit, "services."+s.Name+".limits.reserved_urgent_slots",
			"reserves all slots, which leaves none for this bulk service")
	}
	return nil
}

func (r *resolver) addEndpoint(info *ServiceInfo, text string) error {
	field := "services." + info.Name + ".endpoints"
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || !routable(addr.Addr()) {
		return resultcode.Errorf(resultcode.BundleInvalidValue, field,
			"%q is not allowed: must be ADDRESS:PORT with a unicast address without an IPv6 zone", text)
	}
	key := EndpointAddr{Protocol: info.Proto, Addr: netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())}
	if other := r.bundle.endpoints[key]; other != nil {
		return resultcode.Errorf(resultcode.BundleDuplicateEndpoint, field,
			"%s %s is already an endpoint of service %s", info.Proto, text, other.Service.Name)
	}
	e := &Endpoint{ID: flow.NewEndpointID(info.Name, info.Proto, key.Addr), Addr: key, Service: info}
	if r.bundle.byID[e.ID] != nil {
		return resultcode.Errorf(resultcode.BundleHashCollision, field, "hash of %s collides with that of another endpoint", text)
	}
	r.bundle.endpoints[key] = e
	r.bundle.byID[e.ID] = e
	return nil
}

// routable reports whether addr is a unicast address that is valid on every host. An IPv6 zone is not: it names an
// interface of one host.
func routable(addr netip.Addr) bool {
	return addr.Zone() == "" && !addr.IsUnspecified() && !addr.IsMulticast()
}

func (r *resolver) addTarget(info *ServiceInfo, t *Target) error {
	field := "services." + info.Name + ".targets"
	addr, err := netip.ParseAddr(t.Address)
	if err != nil || !routable(addr) {
		return resultcode.Errorf(resultcode.BundleInvalidValue, field,
			"%q is not allowed: must be a unicast IP address without an IPv6 zone", t.Address)
	}
	addr = addr.Unmap()
	if other, found := r.targets[addr]; found {
		return resultcode.Errorf(resultcode.BundleDuplicateTarget, field, "%s is already a target of service %s", addr, other)
	}
	r.targets[addr] = info.Name
	id := flow.NewTargetID(info.Name, t.DataCentre, addr)
	if other, found := r.ids[id]; found {
		return resultcode.Errorf(resultcode.BundleHashCollision, field, "hash of %s collides with that of %s", addr, other)
	}
	r.ids[id] = fmt.Sprintf("%s of %s", addr, info.Name)
	info.Resolved = append(info.Resolved, TargetInfo{
		ID: id, Addr: addr, DataCentre: t.DataCentre, Weight: uint32(max(t.Weight, 1)), Drain: t.Drain,
		DataPort: uint16(orDefault(t.DataPort, DefaultDataPort)), HealthPort: uint16(t.HealthPort),
	})
	return nil
}

func orDefault(v, fallback int) int {
	if v == 0 {
		return fallback
	}
	return v
}
