package bundle

import (
	"bytes"
	"encoding/json"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// The YAML library needs 0.3 to 0.5 s for a document of 1 MB, during which the control goroutine would neither
// probe nor answer. Sign therefore writes the compact form: JSON, which is also YAML, with one service or target a line.
// Parse decodes it with encoding/json when encoding the result again gives the same bytes, which excludes every
// document that the two decoders could read differently.

// Compact returns the compact form of a document. The error is a *resultcode.Error.
func Compact(doc *Document) ([]byte, error) {
	var out bytes.Buffer
	if err := encodeCompact(&out, *doc); err != nil {
		return nil, resultcode.Errorf(resultcode.BundleSyntax, "", "%v", err)
	}
	return out.Bytes(), nil
}

// encodeCompact breaks the line before every service and every target, so that a change of one of them changes one line.
// Services and Targets are the last fields of their structs, which lets it close them after their elements.
func encodeCompact(out *bytes.Buffer, doc Document) error {
	services := doc.Services
	doc.Services = []Service{}
	if err := encodeOpen(out, &doc, "]}"); err != nil {
		return err
	}
	for i := range services {
		separate(out, i)
		s := services[i]
		targets := s.Targets
		s.Targets = []Target{}
		if err := encodeOpen(out, &s, "]}"); err != nil {
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
	var decoded Document
	if err := json.Unmarshal(payload, &decoded); err != nil {
		return false
	}
	again, err := Compact(&decoded)
	if err != nil || !bytes.Equal(again, payload) {
		return false
	}
	*doc = decoded
	return true
}
