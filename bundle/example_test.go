package bundle_test

import (
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
)

const exampleDocument = `
version: 7
services:
  - name: rounds
    vni: 101
    protocol: tcp
    endpoints: ["192.0.2.10:443"]
    class: urgent
    kind: session
    targets: [{address: 192.0.2.20, data_centre: regina}]
`

func Example() {
	public, private, _ := ed25519.GenerateKey(nil)
	envelope, err := bundle.Sign([]byte(exampleDocument), "ops", private)
	if err != nil {
		fmt.Println(err)
		return
	}
	keys, _ := bundle.NewKeyring(bundle.Key{ID: "ops", Public: public})
	first := bundle.Evaluate(nil, envelope, keys, time.Now())
	again := bundle.Evaluate(first.Bundle, envelope, keys, time.Now())
	fmt.Println(first.Outcome, first.Bundle.Version, again.Outcome)
	// Output: accepted 7 unchanged
}
