package bundle

import (
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Outcome is what a verdict says about an envelope.
type Outcome uint8

// Outcomes of a verdict.
const (
	Refused   Outcome = iota // Verdict.Code says why
	Accepted                 // newer than the current bundle, and valid
	Unchanged                // the content of the current bundle
)

// String returns the lower-case name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Unchanged:
		return "unchanged"
	}
	return "refused"
}

// Decision is the result of judging an envelope.
type Decision struct {
	Outcome Outcome
	Bundle  *Bundle         // set when accepted
	Version uint64          // version of the document, 0 when it could not be read
	KeyID   string          // key that signed it; set unless refused
	Code    resultcode.Code // OK unless refused
	Err     error           // a *resultcode.Error when refused
}

// Evaluate decides whether an envelope may replace the current bundle, which is nil when there is none. It depends on
// nothing but its arguments, so that every balancer comes to the same verdict.
func Evaluate(current *Bundle, envelope []byte, keys Keyring, now time.Time) Decision {
	e, err := DecodeEnvelope(envelope)
	if err != nil {
		return refuse(0, err)
	}
	// The signature comes first: the content of an envelope that nobody signed is not worth parsing.
	if err := Verify(e, keys, now); err != nil {
		return refuse(0, err)
	}
	if current != nil && string(e.Payload) == string(current.Payload) {
		return Decision{Outcome: Unchanged, Version: current.Version, KeyID: e.KeyID}
	}
	b, err := Parse(e.Payload)
	if err != nil {
		return refuse(0, err)
	}
	b.Envelope = envelope
	if current != nil && b.Version < current.Version {
		return refuse(b.Version, resultcode.Errorf(resultcode.BundleStaleVersion, "version", "%d, held is %d", b.Version, current.Version))
	}
	if current != nil && b.Version == current.Version {
		return refuse(b.Version, resultcode.Errorf(resultcode.BundleVersionConflict, "version", "%d is held with digest %x, this is %x", b.Version, current.Digest[:8], b.Digest[:8]))
	}
	return Decision{Outcome: Accepted, Bundle: b, Version: b.Version, KeyID: e.KeyID}
}

func refuse(version uint64, err error) Decision {
	return Decision{Outcome: Refused, Version: version, Code: resultcode.Of(err), Err: err}
}
