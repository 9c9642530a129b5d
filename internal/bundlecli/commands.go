package bundlecli

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

type keygen struct {
	cli     *command
	ID      string `long:"id" required:"true" description:"name of the key, as in bundle.keys of the settings"`
	Private string `long:"private" required:"true" description:"file to write the private key to; it must not exist"`
}

// Execute generates an Ed25519 key pair, writes the private key to a file and reports the public key in the form that the
// settings use.
func (k *keygen) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	if err := writePrivateKey(k.Private, private); err != nil {
		return err
	}
	k.cli.reportResult(report{Result: "ok", KeyID: k.ID, Public: base64.StdEncoding.EncodeToString(public)}, ExitOK)
	return nil
}

type sign struct {
	cli     *command
	ID      string `long:"id" required:"true" description:"name of the key, as in bundle.keys of the settings"`
	Private string `long:"private" required:"true" description:"file of the private key; mode 0600"`
	Out     string `long:"out" required:"true" description:"file to write the envelope to; - for standard output, without a report"`
	Args    struct {
		Document string `positional-arg-name:"document" description:"YAML file; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute validates and signs a document, and writes the envelope.
func (s *sign) Execute([]string) error {
	key, err := readPrivateKey(s.Private)
	if err != nil {
		return err
	}
	document, err := s.cli.readInput(s.Args.Document)
	if err != nil {
		return err
	}
	b, err := bundle.Parse(document)
	if err != nil {
		return err
	}
	envelope, err := bundle.Sign(document, s.ID, key)
	if err != nil {
		return err
	}
	if err := s.cli.writeOutput(s.Out, envelope); err != nil {
		return err
	}
	if s.Out != "-" {
		signed, err := bundle.DecodeEnvelope(envelope)
		if err != nil {
			return err
		}
		digest := fmt.Sprintf("%x", sha256.Sum256(signed.Payload))
		s.cli.reportResult(report{Result: "ok", Version: b.Version, Digest: digest, KeyID: s.ID, Bytes: len(envelope)}, ExitOK)
	}
	return nil
}

type verify struct {
	cli      *command
	Settings string   `long:"settings" description:"settings file whose bundle.keys are trusted"`
	Public   []string `long:"public" description:"trusted key, ID=BASE64; may be repeated"`
	Current  string   `long:"current" description:"envelope or document that is in force"`
	At       string   `long:"at" description:"time of the judgement, RFC 3339; default now"`
	Args     struct {
		Envelope string `positional-arg-name:"envelope" description:"signed file; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute checks whether a balancer would accept an envelope.
func (v *verify) Execute([]string) error {
	keys, err := v.keyring()
	if err != nil {
		return err
	}
	checkTime := v.cli.now()
	if v.At != "" {
		if checkTime, err = time.Parse(time.RFC3339, v.At); err != nil {
			return resultcode.Errorf(resultcode.Usage, "--at", "%v", err)
		}
	}
	var current *bundle.Bundle
	if v.Current != "" {
		if current, err = v.cli.loadCompacted(v.Current); err != nil {
			return err
		}
	}
	data, err := v.cli.readInput(v.Args.Envelope)
	if err != nil {
		return err
	}
	verdict := bundle.Evaluate(current, data, keys, checkTime)
	if verdict.Outcome == bundle.Refused {
		return verdict.Err
	}
	r := report{Result: verdict.Outcome.String(), Version: verdict.Version, Bytes: len(data)}
	if verdict.Bundle != nil {
		r.Digest = fmt.Sprintf("%x", verdict.Bundle.Digest)
	}
	v.cli.reportResult(r, ExitOK)
	return nil
}

// keyring returns the trusted keys of the settings file and of the --public options. It is an error if there are none.
func (v *verify) keyring() (bundle.Keyring, error) {
	var trusted settings.Bundle
	if v.Settings != "" {
		data, err := v.cli.readInput(v.Settings)
		if err != nil {
			return nil, err
		}
		s, err := settings.Parse(data)
		if err != nil {
			return nil, err
		}
		trusted = s.Bundle
	}
	for _, text := range v.Public {
		id, public, found := strings.Cut(text, "=")
		if !found {
			return nil, resultcode.Errorf(resultcode.Usage, "--public", "%q is not ID=BASE64", text)
		}
		trusted.Keys = append(trusted.Keys, settings.BundleKey{ID: id, Public: public})
	}
	if len(trusted.Keys) == 0 {
		return nil, resultcode.Errorf(resultcode.Usage, "", "no trusted key: use --settings or --public")
	}
	return trusted.Keyring()
}

type check struct {
	cli  *command
	Args struct {
		File string `positional-arg-name:"file" description:"document or envelope; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute validates a document.
func (c *check) Execute([]string) error {
	b, _, err := c.cli.loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	c.cli.reportResult(report{Result: "ok", Version: b.Version}, ExitOK)
	return nil
}

type diff struct {
	cli  *command
	Args struct {
		Old string `positional-arg-name:"old" description:"document or envelope"`
		New string `positional-arg-name:"new" description:"document or envelope"`
	} `positional-args:"true" required:"true"`
}

// Execute lists the changes between two bundles. The exit code is ExitRefused if they differ.
func (d *diff) Execute([]string) error {
	older, _, err := d.cli.loadBundle(d.Args.Old)
	if err != nil {
		return err
	}
	newer, _, err := d.cli.loadBundle(d.Args.New)
	if err != nil {
		return err
	}
	changes := bundle.Diff(older, newer)
	if len(changes) == 0 {
		d.cli.reportResult(report{Result: "same"}, ExitOK)
		return nil
	}
	d.cli.reportResult(report{Result: "different", Changes: changes}, ExitRefused)
	return nil
}

type show struct {
	cli      *command
	Document bool `long:"document" description:"write the document itself"`
	Args     struct {
		File string `positional-arg-name:"file" description:"document or envelope; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints a summary of a bundle, or its document.
func (s *show) Execute([]string) error {
	b, envelope, err := s.cli.loadBundle(s.Args.File)
	if err != nil {
		return err
	}
	if s.Document {
		return s.cli.writeOutput("-", b.Payload)
	}
	r := report{Result: "ok", Version: b.Version, Digest: fmt.Sprintf("%x", b.Digest), Summary: summarize(b)}
	if envelope != nil {
		r.KeyID = envelope.KeyID
	}
	s.cli.reportResult(r, ExitOK)
	return nil
}

// summary is an overview of the content of a bundle.
type summary struct {
	Description string           `json:"description,omitempty"`
	Services    []serviceSummary `json:"services"`
}

// serviceSummary is an overview of a service.
type serviceSummary struct {
	Name      string   `json:"name"`
	Class     string   `json:"class"`
	Kind      string   `json:"kind"`
	Endpoints []string `json:"endpoints"`
	Targets   int      `json:"targets"`
	Draining  int      `json:"draining"`
}

func summarize(b *bundle.Bundle) *summary {
	s := &summary{Description: b.Description, Services: []serviceSummary{}}
	for i := range b.Services {
		service := &b.Services[i]
		item := serviceSummary{
			Name: service.Name, Class: service.Class, Kind: service.Kind, Endpoints: service.Endpoints, Targets: len(service.Targets),
		}
		for _, t := range service.Targets {
			if t.Drain {
				item.Draining++
			}
		}
		s.Services = append(s.Services, item)
	}
	return s
}

// writeText passes the lines of the summary to printLine.
func (s *summary) writeText(printLine func(format string, args ...any)) {
	if s.Description != "" {
		printLine("description: %s", s.Description)
	}
	for _, i := range s.Services {
		printLine("service %s: %s, %s, %s, targets %d, draining %d",
			i.Name, i.Class, i.Kind, strings.Join(i.Endpoints, " "), i.Targets, i.Draining)
	}
}
