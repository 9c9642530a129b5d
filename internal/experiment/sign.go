package experiment

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/binary"

	"github.com/marigoldwood/marigoldwood/bundle"
)

// keyID identifies the key that signs the bundles of a deployment.
const keyID = "experiment"

// signingKey is the key of a deployment. It protects nothing of value and is therefore derived from the seed of the run.
type signingKey struct{ private ed25519.PrivateKey }

func newSigningKey(seed uint64) signingKey {
	var keySeed [ed25519.SeedSize]byte
	binary.BigEndian.PutUint64(keySeed[:], seed)
	return signingKey{ed25519.NewKeyFromSeed(keySeed[:])}
}

func (k signingKey) public() string {
	return base64.StdEncoding.EncodeToString(k.private.Public().(ed25519.PublicKey))
}

func (k signingKey) sign(payload []byte) ([]byte, error) {
	return bundle.Sign(payload, keyID, k.private)
}
