package bundle

import (
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Outcome is the outcome of a decision about an envelope.
type Outcome uint8

// Outcomes of a decision.
const (
	Refused   Outcome = iota // for the reason in Decision.Code
	Accepted                 // valid and newer than the current bundle
	Unchanged                // same payload as the current bundle
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

// Decision is the result of evaluating an envelope.
type Decision struct {
	Outcome Outcome
	Bundle  *Bundle         // nil unless accepted
	Version uint64          // version of the document; 0 if the document was not parsed
	KeyID   string          // ID of the signing key; empty if refused
	Code    resultcode.Code // OK unless refused
	Err     error           // a *resultcode.Error if refused, otherwise nil
}

// Evaluate decides whether an envelope may replace the current bundle, which is nil if there is none. It depends only on
// its arguments, so that all balancers make the same decision.
func Evaluate(current *Bundle, envelope []byte, keys Keyring, now time.Time) Decision {
	e, err := DecodeEnvelope(envelope)
	if err != nil {
		return refused(0, err)
	}
	// The signature is verified first, so that unauthenticated content is never parsed.
	if err := Verify(e, keys, now); err != nil {
		return refused(0, err)
	}
	if current != nil && string(e.Payload) == string(current.Payload) {
		return Decision{Outcome: Unchanged, Version: current.Version, KeyID: e.KeyID}
	}
	b, err := Parse(e.Payload)
	if err != nil {
		return refused(0, err)
	}
	b.Envelope = envelope
	if current != nil && b.Version < current.Version {
		return refused(b.Version, resultcode.Errorf(resultcode.BundleStaleVersion, "version",
			"%d is older than the current version %d", b.Version, current.Version))
	}
	if current != nil && b.Version == current.Version {
		return refused(b.Version, resultcode.Errorf(resultcode.BundleVersionConflict, "version",
			"%d is already current with digest %x, received digest %x", b.Version, current.Digest[:8], b.Digest[:8]))
	}
	return Decision{Outcome: Accepted, Bundle: b, Version: b.Version, KeyID: e.KeyID}
}

func refused(version uint64, err error) Decision {
	return Decision{Outcome: Refused, Version: version, Code: resultcode.Of(err), Err: err}
}
