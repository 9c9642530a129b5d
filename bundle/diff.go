package bundle

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two bundles, described for an operator.
type Change struct {
	Kind    string `json:"kind"`              // "version", "service", "endpoint", "target", "setting"
	Service string `json:"service,omitempty"` // empty if the change is not specific to a service
	Item    string `json:"item,omitempty"`    // endpoint, target address, field or service name
	Text    string `json:"text"`
}

// String formats the change as one line.
func (c Change) String() string {
	if c.Service == "" {
		return c.Text
	}
	return c.Service + ": " + c.Text
}

// Diff lists the changes from older to newer in the order of newer, with removals after the other changes of each list.
// Either bundle may be nil, which means a bundle without services.
func Diff(older, newer *Bundle) []Change {
	a, b := documentOf(older), documentOf(newer)
	var d differ
	d.compareSetting("version", "version", a.Version, b.Version)
	d.compareSetting("setting", "description", a.Description, b.Description)
	d.compareSetting("setting", "activation.max_stage_ms", a.Activation.MaxStageMS, b.Activation.MaxStageMS)
	before := servicesByName(a)
	for i := range b.Services {
		s := &b.Services[i]
		d.service = s.Name
		if previous := before[s.Name]; previous != nil {
			d.compareServices(previous, s)
		} else {
			d.add("service", s.Name, "service added with %s and %s",
				countNoun(len(s.Endpoints), "endpoint"), countNoun(len(s.Targets), "target"))
		}
	}
	after := servicesByName(b)
	for i := range a.Services {
		if s := &a.Services[i]; after[s.Name] == nil {
			d.service = s.Name
			d.add("service", s.Name, "service removed with %s and %s",
				countNoun(len(s.Endpoints), "endpoint"), countNoun(len(s.Targets), "target"))
		}
	}
	return d.changes
}

func documentOf(b *Bundle) *Document {
	if b == nil {
		return &Document{}
	}
	return &b.Document
}

func servicesByName(d *Document) map[string]*Service {
	m := make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		m[d.Services[i].Name] = &d.Services[i]
	}
	return m
}

func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

type differ struct {
	service string
	changes []Change
}

func (d *differ) add(kind, item, format string, args ...any) {
	d.changes = append(d.changes, Change{Kind: kind, Service: d.service, Item: item, Text: fmt.Sprintf(format, args...)})
}

func (d *differ) compareSetting(kind, field string, before, after any) {
	if before != after {
		d.add(kind, field, "%s: %s", field, formatChange(before, after))
	}
}

func formatChange(before, after any) string {
	return fmt.Sprintf("%s -> %s", formatValue(before), formatValue(after))
}

func formatValue(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

func (d *differ) compareServices(a, b *Service) {
	d.compareSetting("setting", "vni", a.VNI, b.VNI)
	d.compareSetting("setting", "protocol", a.Protocol, b.Protocol)
	d.compareSetting("setting", "class", a.Class, b.Class)
	d.compareSetting("setting", "kind", a.Kind, b.Kind)
	d.compareSetting("setting", "idempotent", a.Idempotent, b.Idempotent)
	d.compareSetting("setting", "deadline_ms", a.DeadlineMS, b.DeadlineMS)
	d.compareSetting("setting", "limits.slots_per_target", a.Limits.SlotsPerTarget, b.Limits.SlotsPerTarget)
	d.compareSetting("setting", "limits.connections_per_target", a.Limits.ConnectionsPerTarget, b.Limits.ConnectionsPerTarget)
	d.compareSetting("setting", "limits.reserved_urgent_slots", a.Limits.ReservedUrgentSlots, b.Limits.ReservedUrgentSlots)
	d.compareSetting("setting", "placement.strategy", a.Placement.Strategy, b.Placement.Strategy)
	d.compareSetting("setting", "placement.load_factor", a.Placement.LoadFactor, b.Placement.LoadFactor)
	d.compareSetting("setting", "retry.budget_percent", a.Retry.BudgetPercent, b.Retry.BudgetPercent)
	for _, e := range b.Endpoints {
		if !slices.Contains(a.Endpoints, e) {
			d.add("endpoint", e, "endpoint %s added", e)
		}
	}
	for _, e := range a.Endpoints {
		if !slices.Contains(b.Endpoints, e) {
			d.add("endpoint", e, "endpoint %s removed", e)
		}
	}
	d.compareTargets(a.Targets, b.Targets)
}

func (d *differ) compareTargets(a, b []Target) {
	before := make(map[string]Target, len(a))
	for _, t := range a {
		before[t.Address] = t
	}
	for _, t := range b {
		previous, found := before[t.Address]
		delete(before, t.Address)
		if !found {
			d.add("target", t.Address, "target %s added in %s%s", t.Address, t.DataCentre, drainSuffix(t))
		} else if previous != t {
			d.add("target", t.Address, "target %s: %s", t.Address, strings.Join(targetChanges(previous, t), ", "))
		}
	}
	for _, t := range a {
		if _, removed := before[t.Address]; removed {
			d.add("target", t.Address, "target %s removed from %s", t.Address, t.DataCentre)
		}
	}
}

func drainSuffix(t Target) string {
	if t.Drain {
		return ", draining"
	}
	return ""
}

func targetChanges(a, b Target) []string {
	var out []string
	if a.Drain != b.Drain {
		out = append(out, map[bool]string{true: "drains", false: "no longer drains"}[b.Drain])
	}
	if a.DataCentre != b.DataCentre {
		out = append(out, "data centre "+a.DataCentre+" -> "+b.DataCentre)
	}
	for _, f := range []struct {
		name          string
		before, after int
	}{{"weight", a.Weight, b.Weight}, {"data port", a.DataPort, b.DataPort}, {"health port", a.HealthPort, b.HealthPort}} {
		if f.before != f.after {
			out = append(out, f.name+" "+formatChange(f.before, f.after))
		}
	}
	return out
}
