package flow_test

import (
	"fmt"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/flow"
)

func Example() {
	endpoint := netip.MustParseAddrPort("192.0.2.10:443")
	caller := netip.MustParseAddrPort("198.51.100.7:40000")
	rounds := flow.NewKey(caller, flow.NewEndpointID("rounds", flow.TCP, endpoint))
	claims := flow.NewKey(caller, flow.NewEndpointID("claims", flow.TCP, endpoint))
	fmt.Println("keys of two services differ:", rounds != claims)
	fmt.Println(rounds.CallerAddrPort())
	// Output:
	// keys of two services differ: true
	// 198.51.100.7:40000
}
