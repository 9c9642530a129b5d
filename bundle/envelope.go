package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/internal/safedecode"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// signatureContext is a domain separator: a bundle signature is not valid in any other use of the same key.
const signatureContext = "marigoldwood bundle v1\n"

// maxKeyIDBytes is the maximum length of the key ID in an envelope.
const maxKeyIDBytes = 128

// Envelope is the signed form of a bundle, encoded as a msgpack map.
type Envelope struct {
	KeyID     string `msgpack:"key_id"`
	Payload   []byte `msgpack:"payload"` // the document, usually in the compact form
	Signature []byte `msgpack:"signature"`
}

// Sign validates a document and returns an encoded envelope with its compact form, signed with the key whose ID is
// keyID. The error is a *resultcode.Error.
func Sign(document []byte, keyID string, key ed25519.PrivateKey) ([]byte, error) {
	b, err := Parse(document)
	if err != nil {
		return nil, err
	}
	payload, err := Compact(&b.Document)
	if err != nil {
		return nil, err
	}
	return SignPayload(payload, keyID, key)
}

// SignPayload signs a payload without validating it and returns the encoded envelope. It fails if the envelope is
// larger than MaxEnvelopeBytes. The error is a *resultcode.Error.
func SignPayload(payload []byte, keyID string, key ed25519.PrivateKey) ([]byte, error) {
	e := Envelope{KeyID: keyID, Payload: payload, Signature: ed25519.Sign(key, signedBytes(keyID, payload))}
	encoded, err := e.Encode()
	if err != nil {
		return nil, err
	}
	if len(encoded) > MaxEnvelopeBytes {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "%d bytes, at most %d allowed", len(encoded), MaxEnvelopeBytes)
	}
	return encoded, nil
}

// signedBytes returns the bytes that the signature covers. They include the key ID, so that a signature cannot be
// attributed to a different key.
func signedBytes(keyID string, payload []byte) []byte {
	b := make([]byte, 0, len(signatureContext)+4+len(keyID)+len(payload))
	b = append(b, signatureContext...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(keyID)))
	b = append(b, keyID...)
	return append(b, payload...)
}

// Encode returns the msgpack encoding of the envelope. The error is a *resultcode.Error.
func (e *Envelope) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(e)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "", "%v", err)
	}
	return data, nil
}

// DecodeEnvelope decodes an envelope. It accepts only the canonical encoding that Encode writes, and rejects unknown,
// duplicate or reordered fields and trailing bytes. The error is a *resultcode.Error.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	if len(data) > MaxEnvelopeBytes {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "%d bytes, at most %d allowed", len(data), MaxEnvelopeBytes)
	}
	e := &Envelope{}
	if err := safedecode.Msgpack(data, e); err != nil {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "", "%v", err)
	}
	if len(e.KeyID) > maxKeyIDBytes {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "key_id", "%d bytes, at most %d allowed", len(e.KeyID), maxKeyIDBytes)
	}
	reencoded, err := e.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, data) {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "", "not in the canonical encoding that `bundle sign` writes")
	}
	return e, nil
}
