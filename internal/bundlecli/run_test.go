package bundlecli

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a mistake on the command line that scripts take for a verdict.
func TestUsage(t *testing.T) {
	for _, tt := range []struct {
		args string
		exit int
	}{
		{"", ExitUsage},
		{"publish", ExitUsage},
		{"check", ExitUsage},
		{"check --output xml -", ExitUsage},
		{"check /does/not/exist", ExitUsage},
		{"verify -", ExitUsage},
		{"verify --public k1 -", ExitUsage},
		{"verify --public k1=x -", ExitRefused},
		{"check -", ExitRefused},
		{"--help", ExitOK},
		{"sign --help", ExitOK},
	} {
		var out, errs bytes.Buffer
		if exit := Run(strings.Fields(tt.args), strings.NewReader("x: ["), &out, &errs); exit != tt.exit {
			t.Errorf("%q: exit %d, want %d: %s%s", tt.args, exit, tt.exit, &out, &errs)
		}
	}
}
