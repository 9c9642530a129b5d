package bundle

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two bundles, in words for an operator.
type Change struct {
	Kind    string `json:"kind"`              // "version", "service", "endpoint", "target", "setting"
	Service string `json:"service,omitempty"` // empty for changes of the whole bundle
	Item    string `json:"item,omitempty"`    // endpoint, target or field
	Text    string `json:"text"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Service == "" {
		return c.Text
	}
	return c.Service + ": " + c.Text
}

// Diff lists what changes from older to newer, in the order of newer with removals at the end of each part. Either
// may be nil, which stands for a bundle without services.
func Diff(older, newer *Bundle) []Change {
	a, b := documentOf(older), documentOf(newer)
	var d differ
	d.setting("version", "version", a.Version, b.Version)
	d.setting("setting", "description", a.Description, b.Description)
	d.setting("setting", "activation.max_stage_ms", a.Activation.MaxStageMS, b.Activation.MaxStageMS)
	before := byName(a)
	for i := range b.Services {
		s := &b.Services[i]
		d.service = s.Name
		if was := before[s.Name]; was != nil {
			d.services(was, s)
		} else {
			d.add("service", s.Name, "service added with %s and %s", count(len(s.Endpoints), "endpoint"), count(len(s.Targets), "target"))
		}
	}
	after := byName(b)
	for i := range a.Services {
		if s := &a.Services[i]; after[s.Name] == nil {
			d.service = s.Name
			d.add("service", s.Name, "service removed with %s and %s", count(len(s.Endpoints), "endpoint"), count(len(s.Targets), "target"))
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

func byName(d *Document) map[string]*Service {
	m := make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		m[d.Services[i].Name] = &d.Services[i]
	}
	return m
}

func count(n int, noun string) string {
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

func (d *differ) setting(kind, field string, before, after any) {
	if before != after {
		d.add(kind, field, "%s: %s", field, fromTo(before, after))
	}
}

func fromTo(before, after any) string {
	return fmt.Sprintf("%s -> %s", show(before), show(after))
}

func show(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

func (d *differ) services(a, b *Service) {
	d.setting("setting", "vni", a.VNI, b.VNI)
	d.setting("setting", "protocol", a.Protocol, b.Protocol)
	d.setting("setting", "class", a.Class, b.Class)
	d.setting("setting", "kind", a.Kind, b.Kind)
	d.setting("setting", "idempotent", a.Idempotent, b.Idempotent)
	d.setting("setting", "deadline_ms", a.DeadlineMS, b.DeadlineMS)
	d.setting("setting", "limits.slots_per_target", a.Limits.SlotsPerTarget, b.Limits.SlotsPerTarget)
	d.setting("setting", "limits.connections_per_target", a.Limits.ConnectionsPerTarget, b.Limits.ConnectionsPerTarget)
	d.setting("setting", "limits.reserved_urgent_slots", a.Limits.ReservedUrgentSlots, b.Limits.ReservedUrgentSlots)
	d.setting("setting", "placement.strategy", a.Placement.Strategy, b.Placement.Strategy)
	d.setting("setting", "placement.load_factor", a.Placement.LoadFactor, b.Placement.LoadFactor)
	d.setting("setting", "retry.budget_percent", a.Retry.BudgetPercent, b.Retry.BudgetPercent)
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
	d.targets(a.Targets, b.Targets)
}

func (d *differ) targets(a, b []Target) {
	before := make(map[string]Target, len(a))
	for _, t := range a {
		before[t.Address] = t
	}
	for _, t := range b {
		was, found := before[t.Address]
		delete(before, t.Address)
		if !found {
			d.add("target", t.Address, "target %s added in %s%s", t.Address, t.DataCentre, drainNote(t))
		} else if was != t {
			d.add("target", t.Address, "target %s: %s", t.Address, strings.Join(targetChanges(was, t), ", "))
		}
	}
	for _, t := range a {
		if _, left := before[t.Address]; left {
			d.add("target", t.Address, "target %s removed from %s", t.Address, t.DataCentre)
		}
	}
}

func drainNote(t Target) string {
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
			out = append(out, f.name+" "+fromTo(f.before, f.after))
		}
	}
	return out
}
