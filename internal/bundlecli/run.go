// Package bundlecli implements the commands with which operators generate keys and sign, verify, validate and compare bundles.
//
// None of them writes to the platform. Operators publish signed files with their own tools.
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
	ExitRefused = 1 // a refused input, or bundles that differ
	ExitUsage   = 2 // an invalid command line, or a file that cannot be read or written
)

// command holds the global options, the streams and the state that all commands share.
type command struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`

	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	now    func() time.Time
	exit   int // exit code of a successful command
}

// report is the output of a command.
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
	Public  string          `json:"public,omitempty"` // public key, base64
	Bytes   int             `json:"bytes,omitempty"`
	Changes []bundle.Change `json:"changes,omitempty"`
	Summary *summary        `json:"summary,omitempty"`
}

// Run executes "bundle ARGS..." and returns the exit code. Results go to stdout, errors to stderr.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &command{stdin: stdin, stdout: stdout, stderr: stderr, now: time.Now}
	parser := flags.NewNamedParser("bundle", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", c); err != nil {
		return c.failUsage(err)
	}
	for _, sub := range []struct {
		name, short string
		data        any
	}{
		{"keygen", "Generate a key pair for signing bundles", &keygen{cli: c}},
		{"sign", "Validate a document and write the signed envelope", &sign{cli: c}},
		{"verify", "Check whether a balancer would accept a signed envelope", &verify{cli: c}},
		{"check", "Validate a document or the document in an envelope, without checking signatures", &check{cli: c}},
		{"diff", "List the changes from one bundle to another", &diff{cli: c}},
		{"show", "Describe a bundle", &show{cli: c}},
	} {
		if _, err := parser.AddCommand(sub.name, sub.short, sub.short+".", sub.data); err != nil {
			return c.failUsage(err)
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

// fail reports an error and returns the exit code: ExitRefused for an input that its result code refuses, ExitUsage for
// usage errors and files that cannot be read or written.
func (c *command) fail(err error) int {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		return c.failUsage(err)
	}
	c.write(c.stderr, errorReport(coded))
	if coded.Code == resultcode.SettingsUnreadable || coded.Code == resultcode.Usage {
		return ExitUsage
	}
	return ExitRefused
}

// failUsage reports a usage error and returns ExitUsage.
func (c *command) failUsage(err error) int {
	c.write(c.stderr, errorReport(resultcode.Errorf(resultcode.Usage, "", "%v", err)))
	return ExitUsage
}

// errorReport returns the report of an error with a result code.
func errorReport(err *resultcode.Error) report {
	info, _ := resultcode.Lookup(err.Code)
	result := "refused"
	if err.Code == resultcode.Usage || err.Code == resultcode.SettingsUnreadable {
		result = "error"
	}
	return report{Result: result, Code: err.Code, Name: info.Name, Field: err.Field, Detail: err.Detail, Action: info.Action}
}

// reportResult reports a result and sets the exit code.
func (c *command) reportResult(r report, exit int) {
	r.Name = r.Code.String()
	c.exit = exit
	c.write(c.stdout, r)
}

// write writes the report in the selected output format.
func (c *command) write(w io.Writer, r report) {
	if c.Output == "json" {
		_ = json.NewEncoder(w).Encode(r)
		return
	}
	r.writeText(w)
}

// writeText writes the report as lines of text. Write errors are ignored because there is no other output to report them to.
func (r *report) writeText(w io.Writer) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	if r.Code != resultcode.OK {
		printLine("%s: %v", r.Result, &resultcode.Error{Code: r.Code, Field: r.Field, Detail: r.Detail})
		printLine("action: %s", r.Action)
		return
	}
	printLine("%s", r.Result)
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
			printLine("%s: %v", f.name, f.value)
		}
	}
	if r.Summary != nil {
		r.Summary.writeText(printLine)
	}
	for _, change := range r.Changes {
		printLine("%s", change)
	}
}
