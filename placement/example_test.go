package placement_test

import (
	"fmt"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/placement"
)

func Example() {
	b, err := bundle.Parse([]byte(`
version: 1
services:
  - name: claims
    vni: 102
    protocol: udp
    endpoints: ["192.0.2.10:4000"]
    class: bulk
    kind: short
    targets: [{address: 192.0.2.20, data_centre: regina}, {address: 192.0.2.21, data_centre: regina, drain: true}]
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	table := placement.NewTable(b.ServiceInfos()[0], "regina")
	fmt.Println(table.Targets[table.Default(12345)].Addr)
	// Output: 192.0.2.20
}
