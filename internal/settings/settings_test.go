package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

const valid = `
host: {name: h1, data_centre: regina}
listen: {address: 127.0.0.1}
fabric: {address: "127.0.0.2:6081"}
platform: {address: "127.0.0.3:80"}
peers: {plain: true}
operator: {plain: true}
bundle: {keys: [{id: k1, public: "AAAA"}]}
`

func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.DataPort != 6081 || s.Platform.Timeout.Seconds() != 2 || s.Traffic.Workers != 2 {
		t.Fatalf("defaults not set: %+v", s)
	}
}

// Guards against a daemon that starts with a setting it misread: every wrong value must be refused with its code and
// the name of the field.
func TestRefused(t *testing.T) {
	tests := []struct {
		name, old, new string
		code           resultcode.Code
		field          string
	}{
		{"unknown field", "traffic: {}", "traffic: {threads: 3}", resultcode.SettingsUnknownField, "threads"},
		{"syntax", "host:", "host: [", resultcode.SettingsSyntax, ""},
		{"missing name", "name: h1, ", "", resultcode.SettingsInvalidValue, "host.name"},
		{"too many workers", "traffic: {}", "traffic: {workers: 1000}", resultcode.SettingsInvalidValue, "traffic.workers"},
		{"fabric without port", `"127.0.0.2:6081"`, `"127.0.0.2"`, resultcode.SettingsSyntax, ""},
		{"no certificate", "peers: {plain: true}", "peers: {}", resultcode.SettingsInvalidValue, "peers.tls.certificate"},
		{"no bundle key", `[{id: k1, public: "AAAA"}]`, "[]", resultcode.SettingsInvalidValue, "bundle.keys"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid+"traffic: {}\n", tt.old, tt.new, 1)
			_, err := Parse([]byte(text))
			if resultcode.Of(err) != tt.code || !strings.Contains(err.Error(), tt.field) {
				t.Fatalf("got %v, want code %v naming %q", err, tt.code, tt.field)
			}
		})
	}
}

// Guards against a private key that other users of the host can read.
func TestKeyPermissions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte("k"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := CheckKeyFile(path); resultcode.Of(err) != resultcode.SettingsKeyPermissions {
		t.Fatalf("got %v, want %v", err, resultcode.SettingsKeyPermissions)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if (s == nil) == (err == nil) && err == nil {
			t.Fatal("neither settings nor an error")
		}
	})
}
