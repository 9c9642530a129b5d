// Package bundlecli implements the operator commands that make, sign, check and compare bundles.
//
// None of them writes to the platform: publishing the signed file is up to the operator's own tools.
package bundlecli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Exit codes of Run.
const (
	ExitOK      = 0
	ExitRefused = 1 // refused, or different
	ExitUsage   = 2 // wrong command line, or a file that cannot be read or written
)

// command is the environment of all commands.
type command struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`

	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	now    func() time.Time
	exit   int
}

// report is the result of a command.
type report struct {
	Result  string          `json:"result"` // "ok", "accepted", "unchanged", "refused", "different", "same" or "error"
	Code    resultcode.Code `json:"code"`
	Name    string          `json:"name"`
	Field   string          `json:"field,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Action  string          `json:"action,omitempty"`
	Version uint64          `json:"version,omitempty"`
	Digest  string          `json:"digest,omitempty"`
	KeyID   string          `json:"key_id,omitempty"`
	Public  string          `json:"public,omitempty"` // base64
	Bytes   int             `json:"bytes,omitempty"`
	Changes []bundle.Change `json:"changes,omitempty"`
	Summary *summary        `json:"summary,omitempty"`
}

// Run carries out "bundle ARGS..." and returns the exit code. Results go to stdout, errors to stderr.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &command{stdin: stdin, stdout: stdout, stderr: stderr, now: time.Now}
	parser := flags.NewNamedParser("bundle", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", c); err != nil {
		return c.usage(err)
	}
	for _, sub := range []struct {
		name, short string
		data        any
	}{
		{"keygen", "Make a key pair that signs bundles", &keygen{cli: c}},
		{"sign", "Check a document and write the signed envelope", &sign{cli: c}},
		{"verify", "Judge a signed envelope as a balancer would", &verify{cli: c}},
		{"check", "Check a document or the document in an envelope, without signatures", &check{cli: c}},
		{"diff", "List what changes from one bundle to another", &diff{cli: c}},
		{"show", "Describe a bundle", &show{cli: c}},
	} {
		if _, err := parser.AddCommand(sub.name, sub.short, sub.short+".", sub.data); err != nil {
			return c.usage(err)
		}
	}
	_, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return c.exit
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, flagError.Message)
		return ExitOK
	default:
		return c.fail(err)
	}
}

// fail reports an error: a refusal of what the operator gave when it has a bundle or settings code, else a usage error.
func (c *command) fail(err error) int {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		return c.usage(err)
	}
	c.write(c.stderr, refusal(coded))
	if coded.Code == resultcode.SettingsUnreadable || coded.Code == resultcode.Usage {
		return ExitUsage
	}
	return ExitRefused
}

func (c *command) usage(err error) int {
	c.write(c.stderr, refusal(resultcode.Errorf(resultcode.Usage, "", "%v", err)))
	return ExitUsage
}

func refusal(err *resultcode.Error) report {
	info, _ := resultcode.Lookup(err.Code)
	result := "refused"
	if err.Code == resultcode.Usage || err.Code == resultcode.SettingsUnreadable {
		result = "error"
	}
	return report{Result: result, Code: err.Code, Name: info.Name, Field: err.Field, Detail: err.Detail, Action: info.Action}
}

// ok reports a result and sets the exit code.
func (c *command) ok(r report, exit int) {
	r.Name = r.Code.String()
	c.exit = exit
	c.write(c.stdout, r)
}

func (c *command) write(w io.Writer, r report) {
	if c.Output == "json" {
		_ = json.NewEncoder(w).Encode(r)
		return
	}
	r.text(w)
}

// text writes the report as lines for people. Errors of the terminal have nowhere to go.
func (r *report) text(w io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	if r.Code != resultcode.OK {
		line("%s: %v", r.Result, &resultcode.Error{Code: r.Code, Field: r.Field, Detail: r.Detail})
		line("action: %s", r.Action)
		return
	}
	line("%s", r.Result)
	for _, f := range []struct {
		name  string
		value any
		set   bool
	}{
		{"version", r.Version, r.Version != 0},
		{"digest", r.Digest, r.Digest != ""},
		{"key id", r.KeyID, r.KeyID != ""},
		{"public", r.Public, r.Public != ""},
		{"bytes", r.Bytes, r.Bytes != 0},
	} {
		if f.set {
			line("%s: %v", f.name, f.value)
		}
	}
	if r.Summary != nil {
		r.Summary.text(line)
	}
	for _, change := range r.Changes {
		line("%s", change)
	}
}
