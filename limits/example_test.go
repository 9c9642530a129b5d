package limits_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
)

func Example() {
	const ledgerHost, holderHost membership.HostID = 1, 2
	slots := limits.SlotResource("regina", netip.MustParseAddr("192.0.2.20"))
	ledger := limits.NewLedger(0, slots, limits.LedgerSettings{Limit: 2, Linger: time.Second}, false)
	holder := limits.NewHolder(holderHost, 1)
	holder.Set(limits.Resource{ID: slots, Group: 9, Limit: 2, Ledger: ledgerHost})

	holder.SetWaiting(0, 9, limits.Urgent, 1)
	for _, s := range holder.Tick(10 * time.Millisecond) {
		for _, g := range ledger.HandleRequest(11*time.Millisecond, s.Request) {
			holder.HandleGrant(12*time.Millisecond, ledgerHost, g)
		}
	}
	fmt.Println("slot acquired:", holder.Acquire(13*time.Millisecond, slots, limits.Urgent))
	fmt.Println("free after the lease:", holder.Free(13*time.Millisecond+limits.LeaseTerm, slots, limits.Urgent))
	// Output:
	// slot acquired: true
	// free after the lease: 0
}
