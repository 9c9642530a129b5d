package bundle

import (
	"bytes"
	"encoding/json"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// The YAML library needs about 0.4 s for a document of 1 MB, during which the control goroutine would neither
// probe nor answer. Sign therefore writes the compact form: JSON, which is also YAML, with one service or target a line.
// Parse decodes it with encoding/json when encoding the result again gives the same bytes, which excludes every
// document that the two decoders could read differently.

// compactDocument and its parts have the fields of the document types; encoding/json takes its names from other tags.
type compactDocument struct {
	Version     uint64             `json:"version"`
	Description string             `json:"description,omitempty"`
	Activation  *compactActivation `json:"activation,omitempty"`
	Services    []compactService   `json:"services"`
}

type compactActivation struct {
	MaxStageMS int `json:"max_stage_ms"`
}

type compactService struct {
	Name       string            `json:"name"`
	VNI        uint32            `json:"vni"`
	Protocol   string            `json:"protocol"`
	Endpoints  []string          `json:"endpoints"`
	Class      string            `json:"class"`
	Kind       string            `json:"kind"`
	Idempotent bool              `json:"idempotent"`
	DeadlineMS int               `json:"deadline_ms,omitempty"`
	Limits     *compactLimits    `json:"limits,omitempty"`
	Placement  *compactPlacement `json:"placement,omitempty"`
	Retry      *compactRetry     `json:"retry,omitempty"`
	Targets    []compactTarget   `json:"targets"`
}

type compactLimits struct {
	SlotsPerTarget       int `json:"slots_per_target,omitempty"`
	ConnectionsPerTarget int `json:"connections_per_target,omitempty"`
	ReservedUrgentSlots  int `json:"reserved_urgent_slots,omitempty"`
}

type compactPlacement struct {
	Strategy   string  `json:"strategy,omitempty"`
	LoadFactor float64 `json:"load_factor,omitempty"`
}

type compactRetry struct {
	BudgetPercent int `json:"budget_percent"`
}

type compactTarget struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Weight     int    `json:"weight,omitempty"`
	Drain      bool   `json:"drain,omitempty"`
	DataPort   int    `json:"data_port,omitempty"`
	HealthPort int    `json:"health_port,omitempty"`
}

// Compact returns the compact form of a document. The error is a *resultcode.Error.
func Compact(doc *Document) ([]byte, error) {
	var out bytes.Buffer
	if err := encodeCompact(&out, newCompact(doc)); err != nil {
		return nil, resultcode.Errorf(resultcode.BundleSyntax, "", "%v", err)
	}
	return out.Bytes(), nil
}

// encodeCompact breaks the line before every service and every target, so that a change of one of them changes one line.
func encodeCompact(out *bytes.Buffer, c compactDocument) error {
	services := c.Services
	c.Services = []compactService{}
	if err := encodeOpen(out, c, "]}"); err != nil {
		return err
	}
	for i := range services {
		separate(out, i)
		s := services[i]
		targets := s.Targets
		s.Targets = []compactTarget{}
		if err := encodeOpen(out, s, "]}"); err != nil {
			return err
		}
		for j := range targets {
			separate(out, j)
			if err := encodeOpen(out, &targets[j], ""); err != nil {
				return err
			}
		}
		out.WriteString("]}")
	}
	out.WriteString("]}\n")
	return nil
}

// encodeOpen appends the JSON form of v without its closing suffix.
func encodeOpen(out *bytes.Buffer, v any, suffix string) error {
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return err
	}
	out.Truncate(out.Len() - len("\n") - len(suffix))
	return nil
}

func separate(out *bytes.Buffer, i int) {
	if i > 0 {
		out.WriteByte(',')
	}
	out.WriteByte('\n')
}

// decodeCompact decodes a payload in compact form. It reports false for every other payload.
func decodeCompact(payload []byte, doc *Document) bool {
	if len(payload) == 0 || payload[0] != '{' {
		return false
	}
	var c compactDocument
	if err := json.Unmarshal(payload, &c); err != nil {
		return false
	}
	decoded := c.document()
	again, err := Compact(&decoded)
	if err != nil || !bytes.Equal(again, payload) {
		return false
	}
	*doc = decoded
	return true
}

func newCompact(d *Document) compactDocument {
	c := compactDocument{Version: d.Version, Description: d.Description, Services: make([]compactService, len(d.Services))}
	if d.Activation != (Activation{}) {
		c.Activation = &compactActivation{d.Activation.MaxStageMS}
	}
	for i := range d.Services {
		s := &d.Services[i]
		c.Services[i] = compactService{
			Name: s.Name, VNI: s.VNI, Protocol: s.Protocol, Endpoints: s.Endpoints, Class: s.Class, Kind: s.Kind,
			Idempotent: s.Idempotent, DeadlineMS: s.DeadlineMS, Targets: make([]compactTarget, len(s.Targets)),
		}
		if s.Limits != (Limits{}) {
			c.Services[i].Limits = (*compactLimits)(&s.Limits)
		}
		if s.Placement != (Placement{}) {
			c.Services[i].Placement = (*compactPlacement)(&s.Placement)
		}
		if s.Retry != (Retry{}) {
			c.Services[i].Retry = (*compactRetry)(&s.Retry)
		}
		for j := range s.Targets {
			c.Services[i].Targets[j] = compactTarget(s.Targets[j])
		}
	}
	return c
}

func (c *compactDocument) document() Document {
	d := Document{Version: c.Version, Description: c.Description, Services: make([]Service, len(c.Services))}
	if c.Activation != nil {
		d.Activation = Activation{c.Activation.MaxStageMS}
	}
	for i := range c.Services {
		s := &c.Services[i]
		d.Services[i] = Service{
			Name: s.Name, VNI: s.VNI, Protocol: s.Protocol, Endpoints: s.Endpoints, Class: s.Class, Kind: s.Kind,
			Idempotent: s.Idempotent, DeadlineMS: s.DeadlineMS, Targets: make([]Target, len(s.Targets)),
		}
		if s.Limits != nil {
			d.Services[i].Limits = Limits(*s.Limits)
		}
		if s.Placement != nil {
			d.Services[i].Placement = Placement(*s.Placement)
		}
		if s.Retry != nil {
			d.Services[i].Retry = Retry(*s.Retry)
		}
		for j := range s.Targets {
			d.Services[i].Targets[j] = Target(s.Targets[j])
		}
	}
	return d
}
