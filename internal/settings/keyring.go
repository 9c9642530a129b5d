package settings

import (
	"github.com/marigoldwood/marigoldwood/bundle"
)

// Keyring returns the public keys that may sign bundles. The error is a *resultcode.Error.
func (b *Bundle) Keyring() (bundle.Keyring, error) {
	keys := make([]bundle.Key, 0, len(b.Keys))
	for _, k := range b.Keys {
		key, err := bundle.NewKey(k.ID, k.Public, k.NotBefore, k.NotAfter)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return bundle.NewKeyring(keys...)
}
