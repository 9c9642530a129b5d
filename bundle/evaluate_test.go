package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

var (
	now        = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)
	privateKey = keyFromSeed("a")
	otherKey   = keyFromSeed("b")
	keys, _    = bundle.NewKeyring(
		bundle.Key{ID: "k1", Public: privateKey.Public().(ed25519.PublicKey)},
		bundle.Key{ID: "old", Public: privateKey.Public().(ed25519.PublicKey), NotAfter: now.Add(-2 * time.Hour)},
		bundle.Key{ID: "edge", Public: privateKey.Public().(ed25519.PublicKey), NotAfter: now.Add(-59 * time.Minute)},
		bundle.Key{ID: "next", Public: privateKey.Public().(ed25519.PublicKey), NotBefore: now.Add(2 * time.Hour)},
	)
)

func keyFromSeed(seed string) ed25519.PrivateKey {
	sum := sha256.Sum256([]byte(seed))
	return ed25519.NewKeyFromSeed(sum[:])
}

// document returns a YAML document with n targets, 40 per service.
func document(version, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\ndescription: \"a <b> & c\"\nservices:\n", version)
	for k := range n {
		if k%40 == 0 {
			s := k / 40
			fmt.Fprintf(&b, "- name: svc%d\n  vni: %d\n  protocol: tcp\n  endpoints: [\"10.0.%d.%d:443\"]\n  class: urgent\n  kind: session\n  idempotent: false\n  limits: {slots_per_target: 3}\n  placement: {strategy: bounded, load_factor: 1.1}\n  targets:\n", s, 100+s, s/256, s%256)
		}
		fmt.Fprintf(&b, "  - address: 10.%d.%d.%d\n    data_centre: Krāslava\n    weight: 10\n    health_port: 8080\n", 1+k/65536, k/256%256, k%256)
	}
	return []byte(b.String())
}

func sign(t testing.TB, doc []byte) []byte {
	t.Helper()
	envelope, err := bundle.Sign(doc, "k1", privateKey)
	if err != nil {
		t.Fatal(err)
	}
	return envelope
}

func signRaw(t testing.TB, payload []byte, id string, key ed25519.PrivateKey) []byte {
	t.Helper()
	envelope, err := bundle.SignPayload(payload, id, key)
	if err != nil {
		t.Fatal(err)
	}
	return envelope
}

func accept(t testing.TB, current *bundle.Bundle, envelope []byte) *bundle.Bundle {
	t.Helper()
	v := bundle.Evaluate(current, envelope, keys, now)
	if v.Outcome != bundle.Accepted {
		t.Fatalf("outcome %v (%v), want accepted", v.Outcome, v.Err)
	}
	return v.Bundle
}

// Guards against accepting an envelope that is corrupt, untrusted, signed with an expired key, or older than the current
// bundle, and against refusing a valid one.
func TestEvaluate(t *testing.T) {
	current := accept(t, nil, sign(t, document(5, 2)))
	valid := sign(t, document(6, 2))
	unsigned, err := (&bundle.Envelope{KeyID: "k1", Payload: document(6, 2)}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	altered := bytes.Replace(bytes.Clone(valid), []byte("svc0"), []byte("svc1"), 1)
	for name, tt := range map[string]struct {
		envelope []byte
		outcome  bundle.Outcome
		code     resultcode.Code
	}{
		"newer":             {valid, bundle.Accepted, resultcode.OK},
		"newer, plain YAML": {signRaw(t, document(6, 2), "k1", privateKey), bundle.Accepted, resultcode.OK},
		"key in tolerance":  {signRaw(t, document(6, 2), "edge", privateKey), bundle.Accepted, resultcode.OK},
		"same":              {current.Envelope, bundle.Unchanged, resultcode.OK},
		"same, other key":   {signRaw(t, current.Payload, "edge", privateKey), bundle.Unchanged, resultcode.OK},
		"stale":             {sign(t, document(4, 2)), bundle.Refused, resultcode.BundleStaleVersion},
		"conflict":          {sign(t, document(5, 3)), bundle.Refused, resultcode.BundleVersionConflict},
		"empty":             {nil, bundle.Refused, resultcode.BundleEnvelope},
		"truncated":         {valid[:len(valid)-9], bundle.Refused, resultcode.BundleEnvelope},
		"trailing bytes":    {append(bytes.Clone(valid), 0), bundle.Refused, resultcode.BundleEnvelope},
		"payload altered":   {altered, bundle.Refused, resultcode.BundleBadSignature},
		"oversized":         {make([]byte, bundle.MaxEnvelopeBytes+1), bundle.Refused, resultcode.BundleTooLarge},
		"unsigned":          {unsigned, bundle.Refused, resultcode.BundleUnsigned},
		"wrong private key": {signRaw(t, document(6, 2), "k1", otherKey), bundle.Refused, resultcode.BundleBadSignature},
		"unknown key":       {signRaw(t, document(6, 2), "k9", privateKey), bundle.Refused, resultcode.BundleUnknownKey},
		"key expired":       {signRaw(t, document(6, 2), "old", privateKey), bundle.Refused, resultcode.BundleKeyNotValid},
		"key not yet valid": {signRaw(t, document(6, 2), "next", privateKey), bundle.Refused, resultcode.BundleKeyNotValid},
		"signed but invalid": {
			signRaw(t, []byte("version: 6\nservices: [{}]"), "k1", privateKey), bundle.Refused, resultcode.BundleInvalidValue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := bundle.Evaluate(current, tt.envelope, keys, now)
			if v.Outcome != tt.outcome || v.Code != tt.code || (v.Bundle != nil) != (tt.outcome == bundle.Accepted) {
				t.Fatalf("got %v %v (%v), want %v %v", v.Outcome, v.Code, v.Err, tt.outcome, tt.code)
			}
		})
	}
}

// Guards against a compact form that either decoder (JSON or YAML) reads as a different document than the original.
func TestCompactRoundTrip(t *testing.T) {
	b, err := bundle.Parse(document(3, 90))
	if err != nil {
		t.Fatal(err)
	}
	payload, err := bundle.Compact(&b.Document)
	if err != nil {
		t.Fatal(err)
	}
	fromCompact, err := bundle.Parse(payload)
	if err != nil {
		t.Fatal(err)
	}
	fromYAML, err := bundle.Parse(append(bytes.Clone(payload), '\n')) // the extra line break makes Parse use the YAML library
	if err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string]*bundle.Bundle{"compact": fromCompact, "YAML": fromYAML} {
		if c := bundle.Diff(b, got); len(c) != 0 {
			t.Errorf("%s decoder changed the document: %v", name, c)
		}
	}
}

// Guards against accepting a document that would be misread: fractions truncated to integers, additional YAML documents
// ignored, addresses without the same meaning on every host, and fields that only one of the two decoders accepts.
func TestParseRejectsInvalidDocuments(t *testing.T) {
	const service = "{name: a, vni: 16, protocol: tcp, endpoints: [%q], class: bulk, kind: short, idempotent: true, targets: [{address: %q, data_centre: x, weight: %s}]}"
	for _, tt := range []struct {
		text string
		code resultcode.Code
	}{
		{"version: 1\nservices: [" + fmt.Sprintf(service, "10.0.0.1:1", "10.1.0.1", "2") + "]", resultcode.OK},
		{"version: 1\nservices: [" + fmt.Sprintf(service, "10.0.0.1:1", "10.1.0.1", "1.9") + "]", resultcode.BundleInvalidValue},
		{"version: 1\nservices: [" + fmt.Sprintf(service, "10.0.0.1:1", "10.1.0.1", `"1.9"`) + "]", resultcode.BundleInvalidValue},
		{"version: 1\nservices: [" + fmt.Sprintf(service, "10.0.0.1:1", "224.0.0.1", "2") + "]", resultcode.BundleInvalidValue},
		{"version: 1\nservices: [" + fmt.Sprintf(service, "0.0.0.0:1", "10.1.0.1", "2") + "]", resultcode.BundleInvalidValue},
		{"version: 1\nservices: [" + fmt.Sprintf(service, "[fe80::1%eth0]:1", "10.1.0.1", "2") + "]", resultcode.BundleInvalidValue},
		{"version: 1\nservices: []\n---\nservices: []", resultcode.BundleSyntax},
		{"", resultcode.BundleSyntax},
		{`{"Version":1,"services":[]}`, resultcode.BundleUnknownField},
		{`{"version":1,"version":2,"services":[]}`, resultcode.BundleSyntax},
		{`{"version":1,"services":[],"x":1}`, resultcode.BundleUnknownField},
	} {
		if _, err := bundle.Parse([]byte(tt.text)); resultcode.Of(err) != tt.code {
			t.Errorf("%s: got %v, want %v", tt.text, err, tt.code)
		}
	}
}

// Guards against a delta of more than 16 KiB for a small change to a large bundle, and against applying a delta to a
// different base.
func TestDeltaSize(t *testing.T) {
	older := sign(t, document(7, 11000))
	edited := bytes.Replace(document(8, 11000), []byte("weight: 10"), []byte("drain: true"), 3)
	newer := sign(t, edited)
	data := bundle.MakeDelta(older, newer)
	got, err := bundle.ApplyDelta(older, data)
	if err != nil || !bytes.Equal(got, newer) {
		t.Fatalf("the result of the delta is not the new envelope: %v", err)
	}
	t.Logf("envelope %d bytes, delta %d bytes", len(newer), len(data))
	if len(data) > 16<<10 {
		t.Fatalf("delta has %d bytes, want at most 16 KiB", len(data))
	}
	if _, err := bundle.ApplyDelta(newer, data); err == nil {
		t.Fatal("a delta was applied to a different base than it was made for")
	}
}

// Guards against a diff that omits a change or describes it wrongly to an operator.
func TestDiff(t *testing.T) {
	parse := func(text string) *bundle.Bundle {
		b, err := bundle.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	const service = "{name: a, vni: 16, protocol: tcp, endpoints: [\"10.0.0.1:1\"], class: bulk, kind: short, idempotent: true, targets: [%s]}"
	older := parse("version: 1\nservices: [" + fmt.Sprintf(service, "{address: 10.1.0.1, data_centre: x}, {address: 10.1.0.2, data_centre: x}") + "]")
	newer := parse("version: 2\nservices: [" + fmt.Sprintf(strings.Replace(service, "bulk", "urgent", 1), "{address: 10.1.0.1, data_centre: x, drain: true, weight: 3}, {address: 10.1.0.3, data_centre: y}") + "]")
	want := "version: 1 -> 2\na: class: \"bulk\" -> \"urgent\"\na: target 10.1.0.1: drains, weight 0 -> 3\na: target 10.1.0.3 added in y\na: target 10.1.0.2 removed from x\n"
	var got strings.Builder
	for _, c := range bundle.Diff(older, newer) {
		got.WriteString(c.String() + "\n")
	}
	if got.String() != want {
		t.Fatalf("got\n%swant\n%s", got.String(), want)
	}
}

// FuzzEvaluate guards against different decisions for the same input, and against a refusal without a result code.
func FuzzEvaluate(f *testing.F) {
	current := accept(f, nil, sign(f, document(5, 2)))
	f.Add(sign(f, document(6, 2)))
	f.Add(signRaw(f, []byte("version: 6"), "k1", privateKey))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := bundle.Evaluate(current, data, keys, now), bundle.Evaluate(current, bytes.Clone(data), keys, now)
		if a.Outcome != b.Outcome || a.Code != b.Code {
			t.Fatalf("two decisions for the same input: %v %v, %v %v", a.Outcome, a.Code, b.Outcome, b.Code)
		}
		if (a.Outcome == bundle.Refused) != (a.Code != resultcode.OK) || a.Code == resultcode.Internal {
			t.Fatalf("outcome %v has code %v", a.Outcome, a.Code)
		}
	})
}

// FuzzParse guards against errors without a result code, and against a compact form that differs from its document.
func FuzzParse(f *testing.F) {
	f.Add(document(5, 2))
	f.Add([]byte(`{"version":1,"services":[` + "\n]}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundle.Parse(data)
		if err != nil {
			if resultcode.Of(err) == resultcode.Internal {
				t.Fatalf("error has no result code of its own: %v", err)
			}
			return
		}
		payload, err := bundle.Compact(&b.Document)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := bundle.Parse(payload)
		if err != nil || len(bundle.Diff(b, reparsed)) != 0 {
			t.Fatalf("the compact form does not parse to the same document: %v", err)
		}
	})
}

// Guards against memory for operations or bytes that a received delta or envelope only claims to hold.
func TestClaimsBeyondReceivedData(t *testing.T) {
	for name, decode := range map[string]func() error{
		"delta": func() error {
			_, err := bundle.ApplyDelta([]byte("old"), []byte("\x81\xa1o\xdd\x04\x00\x00\x00\x01"))
			return err
		},
		"envelope": func() error {
			_, err := bundle.DecodeEnvelope([]byte("\x81\xa7payload\xc6\x40\x00\x00\x00a"))
			return err
		},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := decode()
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; resultcode.Of(err) != resultcode.BundleEnvelope || n > 1<<20 {
			t.Errorf("%s: got %v after %d bytes of memory, want an invalid envelope and at most 1 MiB", name, err, n)
		}
	}
}

// FuzzDelta guards against a delta that does not reproduce the new content, and against results over the size limit.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("old content"), []byte("new content"))
	f.Add([]byte("\x94H!"), []byte("\x94H!\xdd\xff\x80i\aK\aK"))
	f.Fuzz(func(t *testing.T, older, newer []byte) {
		got, err := bundle.ApplyDelta(older, bundle.MakeDelta(older, newer))
		if err != nil || !bytes.Equal(got, newer) {
			t.Fatalf("the delta does not reproduce the new content: got %q, %v", got, err)
		}
		if out, err := bundle.ApplyDelta(older, newer); err == nil && len(out) > bundle.MaxEnvelopeBytes {
			t.Fatal("the result of a delta exceeds MaxEnvelopeBytes")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	yaml := document(7, 11000)
	doc, err := bundle.Parse(yaml)
	if err != nil {
		b.Fatal(err)
	}
	payload, _ := bundle.Compact(&doc.Document)
	for name, data := range map[string][]byte{"yaml": yaml, "compact": payload} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				_, _ = bundle.Parse(data)
			}
		})
	}
}

func BenchmarkMakeDelta(b *testing.B) {
	older, newer := sign(b, document(7, 11000)),
		sign(b, bytes.Replace(document(8, 11000), []byte("weight: 10"), []byte("weight: 9"), 1))
	for b.Loop() {
		bundle.MakeDelta(older, newer)
	}
}
