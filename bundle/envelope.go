package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// signatureContext separates bundle signatures from any other use of the same key.
const signatureContext = "marigoldwood bundle v1\n"

// maxKeyIDBytes bounds the key name in an envelope.
const maxKeyIDBytes = 128

// Envelope is the signed form of a bundle, encoded as a msgpack map.
type Envelope struct {
	KeyID     string `msgpack:"key_id"`
	Payload   []byte `msgpack:"payload"` // the document
	Signature []byte `msgpack:"signature"`
}

// Sign returns the encoded envelope of a document signed with the key named keyID. The payload of the envelope is the
// compact form of the document. The error is a *resultcode.Error.
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

// SignPayload returns the encoded envelope of a payload as it is, without checking it. It fails when the envelope is
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

// signedBytes covers the key name, so that a signature cannot be attributed to another key.
func signedBytes(keyID string, payload []byte) []byte {
	b := make([]byte, 0, len(signatureContext)+4+len(keyID)+len(payload))
	b = append(b, signatureContext...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(keyID)))
	b = append(b, keyID...)
	return append(b, payload...)
}

// Encode returns the msgpack form of the envelope.
func (e *Envelope) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(e)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "", "%v", err)
	}
	return data, nil
}

// DecodeEnvelope decodes an envelope. It accepts only the bytes that Encode writes, so that one envelope has one form:
// fields that are unknown, repeated or in another order, and bytes after the end, are refused. The error is a
// *resultcode.Error.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	if len(data) > MaxEnvelopeBytes {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "%d bytes, at most %d allowed", len(data), MaxEnvelopeBytes)
	}
	e := &Envelope{}
	if err := msgpack.Unmarshal(data, e); err != nil {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "", "%v", err)
	}
	if len(e.KeyID) > maxKeyIDBytes {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "key_id", "%d bytes, at most %d allowed", len(e.KeyID), maxKeyIDBytes)
	}
	again, err := e.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(again, data) {
		return nil, resultcode.Errorf(resultcode.BundleEnvelope, "", "not in the form that `bundle sign` writes")
	}
	return e, nil
}
