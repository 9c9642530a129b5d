package bundle

import (
	"bytes"
	"encoding/json"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// The YAML library takes 0.3 to 0.5 s to decode a document of 1 MB, which would block the control goroutine: it could
// neither send probes nor answer requests. Sign therefore writes the compact form: JSON, which is also valid YAML, with
// one line per service and per target. Parse decodes it with encoding/json, but only if re-encoding the result gives
// the same bytes. This excludes every document that the two decoders could interpret differently.

// Compact encodes a document in the compact form. The error is a *resultcode.Error.
func Compact(doc *Document) ([]byte, error) {
	var out bytes.Buffer
	if err := encodeCompact(&out, *doc); err != nil {
		return nil, resultcode.Errorf(resultcode.BundleSyntax, "", "%v", err)
	}
	return out.Bytes(), nil
}

// encodeCompact starts a new line before every service and target, so that a change to one of them changes one line.
// It writes the closing brackets after the elements, which requires Services and Targets to be the last fields of their
// structs.
func encodeCompact(out *bytes.Buffer, doc Document) error {
	services := doc.Services
	doc.Services = []Service{}
	if err := encodeUnclosed(out, &doc, "]}"); err != nil {
		return err
	}
	for i := range services {
		writeSeparator(out, i)
		s := services[i]
		targets := s.Targets
		s.Targets = []Target{}
		if err := encodeUnclosed(out, &s, "]}"); err != nil {
			return err
		}
		for j := range targets {
			writeSeparator(out, j)
			if err := encodeUnclosed(out, &targets[j], ""); err != nil {
				return err
			}
		}
		out.WriteString("]}")
	}
	out.WriteString("]}\n")
	return nil
}

// encodeUnclosed appends the JSON encoding of v without its closing suffix.
func encodeUnclosed(out *bytes.Buffer, v any, suffix string) error {
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return err
	}
	out.Truncate(out.Len() - len("\n") - len(suffix))
	return nil
}

func writeSeparator(out *bytes.Buffer, i int) {
	if i > 0 {
		out.WriteByte(',')
	}
	out.WriteByte('\n')
}

// decodeCompact decodes a payload in the compact form. It returns false, and leaves doc unchanged, for any other payload.
func decodeCompact(payload []byte, doc *Document) bool {
	if len(payload) == 0 || payload[0] != '{' {
		return false
	}
	var decoded Document
	if err := json.Unmarshal(payload, &decoded); err != nil {
		return false
	}
	reencoded, err := Compact(&decoded)
	if err != nil || !bytes.Equal(reencoded, payload) {
		return false
	}
	*doc = decoded
	return true
}
