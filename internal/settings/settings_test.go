package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

const validSettings = `
host: {name: h1, data_centre: regina}
listen: {address: 127.0.0.1}
fabric: {address: "127.0.0.2:6081"}
platform: {address: "127.0.0.3:80"}
peers: {plain: true}
operator: {plain: true}
bundle: {keys: [{id: k1, public: "AAAA"}]}
`

// Guards against defaults that are not applied to settings that the file leaves out.
func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.DataPort != 6081 || s.Platform.Timeout.Seconds() != 2 || s.Traffic.Workers != 2 {
		t.Fatalf("got %+v, want data port 6081, platform timeout 2s and 2 workers", s)
	}
}

// Guards against a daemon that starts with invalid settings. Each invalid value must be rejected with its result code and
// the name of the field.
func TestParseRejectsInvalidSettings(t *testing.T) {
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
		{"tag before text for a list", `[{id: k1, public: "AAAA"}]`, "!x y", resultcode.SettingsSyntax, "[8:16] tag !x"},
		{"no bundle key", `[{id: k1, public: "AAAA"}]`, "[]", resultcode.SettingsInvalidValue, "bundle.keys"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validSettings+"traffic: {}\n", tt.old, tt.new, 1)
			_, err := Parse([]byte(text))
			if resultcode.Of(err) != tt.code || !strings.Contains(err.Error(), tt.field) {
				t.Fatalf("got %v, want code %v and field %q", err, tt.code, tt.field)
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

// Guards against a panic on arbitrary input, and against a nil result without an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("peers: {seeds: !x y}"))
	f.Add([]byte("bundle: {keys: !x y}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if direct, err := ParseDirect(data); (direct == nil) == (err == nil) && err == nil {
			t.Fatal("ParseDirect returned neither settings nor an error")
		}
		s, err := Parse(data)
		if (s == nil) == (err == nil) && err == nil {
			t.Fatal("Parse returned neither settings nor an error")
		}
	})
}
