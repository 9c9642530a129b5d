package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ClockTolerance widens the validity of keys at both ends, so that hosts whose clocks differ by seconds do not come
// to different verdicts around a validity date that operators choose with more than an hour to spare.
const ClockTolerance = time.Hour

// Key is a public key that may sign bundles. A zero time means no bound.
type Key struct {
	ID        string
	Public    ed25519.PublicKey
	NotBefore time.Time
	NotAfter  time.Time
}

// Keyring holds the public keys that may sign bundles, by ID.
type Keyring map[string]Key

// NewKey returns a key from the base64 form of its public part. The error is a *resultcode.Error.
func NewKey(id, public string, notBefore, notAfter time.Time) (Key, error) {
	raw, err := base64.StdEncoding.DecodeString(public)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return Key{}, resultcode.Errorf(resultcode.SettingsInvalidValue, "public", "key %q is not a base64 Ed25519 public key", id)
	}
	return Key{ID: id, Public: raw, NotBefore: notBefore, NotAfter: notAfter}, nil
}

// NewKeyring returns a keyring. Two keys with the same ID are an error, which is a *resultcode.Error.
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

// ValidAt reports whether the key may be used at now, within ClockTolerance.
func (k *Key) ValidAt(now time.Time) bool {
	if !k.NotBefore.IsZero() && now.Before(k.NotBefore.Add(-ClockTolerance)) {
		return false
	}
	return k.NotAfter.IsZero() || !now.After(k.NotAfter.Add(ClockTolerance))
}

// Verify checks the signature of an envelope at now. The error is a *resultcode.Error.
func Verify(e *Envelope, keys Keyring, now time.Time) error {
	if len(e.Signature) == 0 || e.KeyID == "" {
		return resultcode.Errorf(resultcode.BundleUnsigned, "", "no signature or no key ID")
	}
	key, found := keys[e.KeyID]
	if !found {
		return resultcode.Errorf(resultcode.BundleUnknownKey, "", "key %q", e.KeyID)
	}
	if len(key.Public) != ed25519.PublicKeySize || !ed25519.Verify(key.Public, signedBytes(e.KeyID, e.Payload), e.Signature) {
		return resultcode.Errorf(resultcode.BundleBadSignature, "", "key %q", e.KeyID)
	}
	if !key.ValidAt(now) {
		return resultcode.Errorf(resultcode.BundleKeyNotValid, "", "key %q is valid from %s to %s", e.KeyID, bound(key.NotBefore), bound(key.NotAfter))
	}
	return nil
}

func bound(t time.Time) string {
	if t.IsZero() {
		return "any time"
	}
	return t.Format(time.RFC3339)
}
