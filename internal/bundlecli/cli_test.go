package bundlecli

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/marigoldwood/marigoldwood/bundle"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bundle": func() { os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
		"damage": damage,
	})
}

// damage is a testscript program that writes an invalid copy of an envelope: damage KIND IN OUT.
func damage() {
	data, err := os.ReadFile(os.Args[2])
	if err != nil {
		panic(err)
	}
	e, err := bundle.DecodeEnvelope(data)
	if err != nil {
		panic(err)
	}
	switch os.Args[1] {
	case "truncate":
		data = data[:len(data)/2]
	case "unsign":
		e.Signature = nil
		data, err = e.Encode()
	case "edit":
		e.Payload = bytes.Replace(e.Payload, []byte("10.0.0.1"), []byte("10.0.0.9"), 1)
		data, err = e.Encode()
	case "grow":
		data = append(data, make([]byte, bundle.MaxEnvelopeBytes)...)
	}
	if err == nil {
		err = os.WriteFile(os.Args[3], data, 0o644)
	}
	if err != nil {
		panic(err)
	}
}

// Guards against a command that accepts bundles that balancers refuse, or that reports a wrong result code or exit status.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			return os.WriteFile(e.WorkDir+"/large.yaml", []byte(fmt.Sprintf("version: 1\ndescription: %q\nservices: []\n", strings.Repeat("x", bundle.MaxEnvelopeBytes))), 0o644)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"trust": trust,
		},
	})
}

// trust is a testscript command that writes a settings file from a template and the public key in the JSON report of keygen:
// trust OUT TEMPLATE REPORT.
func trust(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[1])
	_, public, _ := strings.Cut(ts.ReadFile(args[2]), `"public":"`)
	public, _, _ = strings.Cut(public, `"`)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, "PUBLIC", public)), 0o644))
}

// Guards against usage errors whose exit code scripts cannot distinguish from the refusal of a bundle.
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
			t.Errorf("%q: exit code %d, want %d; output: %s%s", tt.args, exit, tt.exit, &out, &errs)
		}
	}
}
