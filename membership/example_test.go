package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/membership"
)

func Example() {
	self := membership.Member{
		ID: membership.NewHostID("a"), Name: "a", DataCentre: "regina", Incarnation: 1,
		Probe: netip.MustParseAddrPort("192.0.2.11:7081"),
	}
	seed := netip.MustParseAddrPort("192.0.2.12:7081")
	core := membership.New(membership.Config{Self: self, Seeds: []netip.AddrPort{seed}}, 0, rand.New(rand.NewPCG(1, 1)))
	for _, e := range core.Handle(core.NextTick(), membership.Tick{}) {
		if s, ok := e.(membership.Send); ok {
			fmt.Println("ping to", s.To)
		}
	}
	// Output: ping to 192.0.2.12:7081
}
