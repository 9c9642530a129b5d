package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ClockTolerance extends the validity period of keys at both ends, so that hosts whose clocks differ by seconds decide the
// same near the limits of the period. Operators choose these limits with a margin of more than one hour.
const ClockTolerance = time.Hour

// Key is a public key that bundle signatures are verified with. A zero NotBefore or NotAfter means no limit.
type Key struct {
	ID        string
	Public    ed25519.PublicKey
	NotBefore time.Time
	NotAfter  time.Time
}

// Keyring holds the trusted public keys by ID.
type Keyring map[string]Key

// NewKey returns a key with the base64-encoded Ed25519 public key. The error is a *resultcode.Error.
func NewKey(id, public string, notBefore, notAfter time.Time) (Key, error) {
	raw, err := base64.StdEncoding.DecodeString(public)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return Key{}, resultcode.Errorf(resultcode.SettingsInvalidValue, "public", "key %q is not a base64 Ed25519 public key", id)
	}
	return Key{ID: id, Public: raw, NotBefore: notBefore, NotAfter: notAfter}, nil
}

// NewKeyring returns a keyring of the keys. It fails if two keys have the same ID. The error is a *resultcode.Error.
func NewKeyring(keys ...Key) (Keyring, error) {
	ring := make(Keyring, len(keys))
	for _, k := range keys {
		if _, found := ring[k.ID]; found {
			return nil, resultcode.Errorf(resultcode.SettingsInvalidValue, "id", "key %q is listed twice", k.ID)
		}
		ring[k.ID] = k
	}
	return ring, nil
}

// ValidAt reports whether now is in the validity period of the key, extended by ClockTolerance.
func (k *Key) ValidAt(now time.Time) bool {
	if !k.NotBefore.IsZero() && now.Before(k.NotBefore.Add(-ClockTolerance)) {
		return false
	}
	return k.NotAfter.IsZero() || !now.After(k.NotAfter.Add(ClockTolerance))
}

// Verify checks the signature of an envelope, and that its key is trusted and valid at now. The error is a
// *resultcode.Error.
func Verify(e *Envelope, keys Keyring, now time.Time) error {
	if len(e.Signature) == 0 || e.KeyID == "" {
		return resultcode.Errorf(resultcode.BundleUnsigned, "", "the envelope has no signature or no key ID")
	}
	key, found := keys[e.KeyID]
	if !found {
		return resultcode.Errorf(resultcode.BundleUnknownKey, "", "key %q is not in the keyring", e.KeyID)
	}
	if len(key.Public) != ed25519.PublicKeySize || !ed25519.Verify(key.Public, signedBytes(e.KeyID, e.Payload), e.Signature) {
		return resultcode.Errorf(resultcode.BundleBadSignature, "", "the signature does not match key %q", e.KeyID)
	}
	if !key.ValidAt(now) {
		return resultcode.Errorf(resultcode.BundleKeyNotValid, "",
			"key %q is valid from %s to %s", e.KeyID, formatBound(key.NotBefore), formatBound(key.NotAfter))
	}
	return nil
}

func formatBound(t time.Time) string {
	if t.IsZero() {
		return "any time"
	}
	return t.Format(time.RFC3339)
}
