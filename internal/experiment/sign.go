package experiment

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
)

// TODO: replace by bundle.Sign once it is merged, and remove this file but for signingKey.

// envelope is the signed form of a bundle.
type envelope struct {
	KeyID     string `msgpack:"key_id"`
	Payload   []byte `msgpack:"payload"`
	Signature []byte `msgpack:"signature"`
}

const signatureContext = "marigoldwood bundle v1\n"

func signBundle(payload []byte, keyID string, key ed25519.PrivateKey) ([]byte, error) {
	b := binary.BigEndian.AppendUint32([]byte(signatureContext), uint32(len(keyID)))
	b = append(append(b, keyID...), payload...)
	return msgpack.Marshal(&envelope{KeyID: keyID, Payload: payload, Signature: ed25519.Sign(key, b)})
}

// keyID names the key that signs the bundles of a deployment.
const keyID = "experiment"

// signingKey is the key of a deployment. It guards nothing, so that it can depend on the seed of the run.
type signingKey struct{ private ed25519.PrivateKey }

func newSigningKey(seed uint64) signingKey {
	var s [ed25519.SeedSize]byte
	binary.BigEndian.PutUint64(s[:], seed)
	return signingKey{ed25519.NewKeyFromSeed(s[:])}
}

func (k signingKey) public() string {
	return base64.StdEncoding.EncodeToString(k.private.Public().(ed25519.PublicKey))
}

func (k signingKey) sign(payload []byte) ([]byte, error) {
	return signBundle(payload, keyID, k.private)
}
