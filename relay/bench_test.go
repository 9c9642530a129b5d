package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// BenchmarkReply measures the relay's computation of the loads for one reply, in a data centre of the planned size, a
// third of 830 hosts.
func BenchmarkReply(b *testing.B) {
	const hosts = 277
	f := NewFleet(Host{Name: "self", DataCentre: "a", Weight: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}, nil)
	now := time.Second
	f.DueReports(HostState{Fresh: true, Revision: 1}, now)
	report := func(i int) *Report {
		h := Host{
			Name: fmt.Sprint("h-", i), DataCentre: "a", Weight: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1),
		}
		return &Report{Host: h, Loads: directory.Loads{Targets: []directory.Load{{Token: directory.Token(i%40 + 1), Pending: 1}}}}
	}
	for i := range hosts {
		f.HandleReport(report(i), now)
	}
	for b.Loop() {
		f.ReplyLoads("h-1", "a", nil, now)
	}
}
